import json
import os
import pathlib

import hypothesis
import pytest

from banyanshed.gateway import logs

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Child processes import the packages from this checkout.
os.environ["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"

# Reproducible runs: derandomized examples and no deadline by wall clock.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture(name="lines")
def capture_lines():
    """Returns a function that reads the new log lines."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    logs.start(writer, "h1")

    def read():
        data = os.read(reader, 1 << 16)
        return [json.loads(line) for line in data.splitlines()]

    yield read
    logs.stop()
    os.close(reader)
    os.close(writer)

import os
import pathlib

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Child processes import the packages from this checkout.
os.environ["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"

# Reproducible runs: derandomized examples and no deadline by wall clock.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")

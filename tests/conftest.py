import os
import pathlib

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Child processes import the packages from this checkout.
os.environ["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"

# The same verdict on every run: fixed seeds, no wall-clock bounds.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")

"""Starts an entry host of the platform from a source checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from banyanshed.gateway import host  # noqa: E402

host.run()

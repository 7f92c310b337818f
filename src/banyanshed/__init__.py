"""Banyanshed steers traffic between regions without spare capacity."""

from banyanshed.api import call
from banyanshed.api import lookup
from banyanshed.callers import Caller
from banyanshed.callers import Response
from banyanshed.exceptions import BanyanshedError

__version__ = "0.1.0"
__all__ = ["BanyanshedError", "Caller", "Response", "call", "lookup"]

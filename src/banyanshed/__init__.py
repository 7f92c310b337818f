"""Routes requests between regions that have no spare capacity."""

import importlib
from typing import Any

__version__ = "0.1.0"
__all__ = ["BanyanshedError", "Caller", "Response", "call", "lookup"]

# Imported on first use, so that a daemon does not load the client library.
_MODULES = {
    "BanyanshedError": "banyanshed.exceptions",
    "Caller": "banyanshed.callers",
    "Response": "banyanshed.callers",
    "call": "banyanshed.api",
    "lookup": "banyanshed.api",
}


def __getattr__(name: str) -> Any:
    """Imports a public name from its module on first access."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES[name]), name)

"""Logging of the daemon: eliot messages as JSON lines on standard error."""

import sys
from typing import Any, TextIO

import eliot


def start(stream: TextIO | None = None) -> None:
    """Writes all log messages to a stream, by default standard error."""
    eliot.to_file(stream or sys.stderr)


def log(event: str, **fields: Any) -> None:
    """Logs one event.

    Args:
        event: Name of the event, in lower case with underscores.
        **fields: JSON-serializable values; never keys, tokens or secrets.
    """
    eliot.log_message(message_type=event, **fields)

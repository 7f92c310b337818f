"""Logs of a daemon, written by eliot as JSON lines to standard error."""

import sys
from typing import Any, TextIO

import eliot


def start(stream: TextIO | None = None) -> None:
    """Sends all log messages to a stream, standard error by default."""
    eliot.to_file(stream or sys.stderr)


def log(event: str, **fields: Any) -> None:
    """Logs one event.

    Args:
        event: Name of the event in lower case with underscores.
        **fields: Values that JSON can hold; never keys, tokens or secrets.
    """
    eliot.log_message(message_type=event, **fields)

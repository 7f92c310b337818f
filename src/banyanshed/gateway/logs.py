"""Structured logs on standard output that never block the event loop.

Lines are kept in a bounded buffer while the reader is slow; lines that do not
fit are dropped and counted. Three rate limits apply: one for successful
requests, a higher one for other requests and one for all other events.
"""

import collections
import os
import time
from typing import Any

import eliot
import msgspec

from banyanshed.core import buckets

MAX_BUFFERED_BYTES = 512 << 10
ROUTINE_LINES_PER_S = 100.0
OTHER_LINES_PER_S = 400.0
BURST_S = 2.0


class Output:
    """Eliot destination that writes to a descriptor without blocking."""

    def __init__(self, descriptor: int):
        """Makes the descriptor non-blocking."""
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.routine = _make_bucket(ROUTINE_LINES_PER_S)
        self.other = _make_bucket(OTHER_LINES_PER_S)
        self.events = _make_bucket(OTHER_LINES_PER_S)
        self.host = ""

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffers an eliot message as a JSON line; drops it when full."""
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message["host"] = self.host
        message["timestamp"] = round(message["timestamp"], 4)
        line = msgspec.json.encode(message) + b"\n"
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffer.append(line)
        self.buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self.buffer:
            line = self.buffer[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reading end was closed, so that lines can't be written.
                self.dropped += len(self.buffer)
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffer[0] = line[written:]
                return
            self.buffer.popleft()


_output: Output | None = None


def start(descriptor: int, host: str) -> Output:
    """Writes all log messages to a file descriptor from now on."""
    global _output
    _output = Output(descriptor)
    _output.host = host
    eliot.add_destinations(_output)
    return _output


def stop() -> None:
    """Stops logging to the descriptor."""
    global _output
    if _output is not None:
        eliot.remove_destination(_output)
        _output.flush()
        _output = None


def log_request(event: str, routine: bool, **fields: Any) -> None:
    """Logs how a request ended; routine ones have a lower rate limit."""
    if _output is not None:
        _log(
            _output,
            _output.routine if routine else _output.other,
            event,
            fields,
        )


def log_event(event: str, **fields: Any) -> None:
    """Logs an event of the host, such as a change of its state or view."""
    if _output is not None:
        _log(_output, _output.events, event, fields)


def _log(
    output: Output,
    bucket: buckets.TokenBucket,
    event: str,
    fields: dict[str, Any],
) -> None:
    if not bucket.take(time.monotonic()):
        output.dropped += 1
        return
    eliot.log_message(message_type=event, **fields)


def _make_bucket(lines_per_s: float) -> buckets.TokenBucket:
    """Returns a full token bucket for log lines."""
    burst = lines_per_s * BURST_S
    return buckets.TokenBucket(lines_per_s, burst, burst, time.monotonic())

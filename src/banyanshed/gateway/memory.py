"""Limit on the memory of all buffered responses.

A response is buffered until it is complete, and a faulty backend server may
send bytes without end. After that it is buffered until the caller has read it,
and a caller may never read. When all responses together exceed the limit, the
one with the highest product of size and age is terminated; small or recent
responses are expected to finish soon.
"""

import dataclasses
from typing import Protocol


class Holder(Protocol):
    """A connection that buffers bytes of a response."""

    def terminate(self, reason: str) -> None:
        """Drops the buffered bytes; the response is not delivered."""


@dataclasses.dataclass(slots=True)
class HeldBytes:
    """Memory that one holder uses.

    Attributes:
        size: Number of buffered bytes.
        since: When it began to buffer, in loop time.
    """

    size: int
    since: float


class ResponseMemory:
    """Counts the bytes of buffered responses and enforces a limit.

    Times are in seconds of the event loop's clock.

    Attributes:
        max_bytes: Limit on the sum of all buffered bytes.
        held: Buffered bytes by holder.
        total: Sum of all buffered bytes.
    """

    def __init__(self, max_bytes: int):
        """Starts with no buffered bytes."""
        self.max_bytes = max_bytes
        self.held: dict[Holder, HeldBytes] = {}
        self.total = 0

    def add_bytes(self, holder: Holder, size: int, now: float) -> None:
        """Adds buffered bytes; terminates holders while over the limit."""
        held = self.held.setdefault(holder, HeldBytes(0, now))
        held.size += size
        self.total += size
        while self.total > self.max_bytes:
            greatest = max(self.held, key=lambda h: self._cost(h, now))
            self.release(greatest)
            greatest.terminate("buffered responses exceed the memory limit")

    def release(self, holder: Holder) -> None:
        """Removes all bytes of a holder: they were delivered or dropped."""
        held = self.held.pop(holder, None)
        if held is not None:
            self.total -= held.size

    def _cost(self, holder: Holder, now: float) -> tuple[float, int]:
        """Returns the key by which holders are chosen for termination.

        Bytes times seconds, then bytes.
        """
        held = self.held[holder]
        return held.size * (now - held.since), held.size

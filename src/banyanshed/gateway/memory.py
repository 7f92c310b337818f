"""Memory that the answers of backend servers may take together.

An answer is held whole until it is complete, and a server in trouble may send
bytes without end; then it is held until the caller has read it, and a caller
may read nothing. When all answers together hold too much, one is given up that
holds much and has for long: others pass soon.
"""

import dataclasses
from typing import Protocol


class Holder(Protocol):
    """Something that holds bytes of an answer on their way."""

    def terminate(self, reason: str) -> None:
        """Drops the bytes; they will not arrive."""


@dataclasses.dataclass(slots=True)
class HeldBytes:
    """What one holder holds.

    Attributes:
        size: Bytes.
        since: When it began to hold any.
    """

    size: int
    since: float


class ResponseMemory:
    """Counts the bytes of answers that are under way.

    Attributes:
        max_bytes: What all of them may hold together.
        held: What each holds.
        total: Sum of their bytes.
    """

    def __init__(self, max_bytes: int):
        """Starts with nothing held."""
        self.max_bytes = max_bytes
        self.held: dict[Holder, HeldBytes] = {}
        self.total = 0

    def add_bytes(self, holder: Holder, size: int, now: float) -> None:
        """Counts more bytes of an answer; one may be given up for them."""
        held = self.held.setdefault(holder, HeldBytes(0, now))
        held.size += size
        self.total += size
        while self.total > self.max_bytes:
            greatest = max(self.held, key=lambda h: self._cost(h, now))
            self.release(greatest)
            greatest.terminate("answers hold too much memory")

    def release(self, holder: Holder) -> None:
        """Counts an answer as passed on or dropped."""
        held = self.held.pop(holder, None)
        if held is not None:
            self.total -= held.size

    def _cost(self, holder: Holder, now: float) -> tuple[float, int]:
        """Returns what an answer takes from others: bytes times seconds."""
        held = self.held[holder]
        return held.size * (now - held.since), held.size

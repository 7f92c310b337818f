"""Memory that the answers of backend servers may take together.

An answer is held whole until it is complete, and a server in trouble may send
bytes without end. When all answers together hold too much, the one that holds
most is given up: it is the most likely to have no end.
"""

from typing import Protocol


class Holder(Protocol):
    """Something that holds the bytes of an answer that is not complete."""

    def give_up(self, reason: str) -> None:
        """Drops the bytes; the answer will not be complete."""


class AnswerMemory:
    """Counts the bytes of answers that are under way.

    Attributes:
        max_bytes: What all of them may hold together.
        held: Bytes by who holds them.
        total: Their sum.
    """

    def __init__(self, max_bytes: int):
        """Starts with nothing held."""
        self.max_bytes = max_bytes
        self.held: dict[Holder, int] = {}
        self.total = 0

    def take(self, holder: Holder, size: int) -> None:
        """Counts more bytes of an answer; the longest may be given up."""
        self.held[holder] = self.held.get(holder, 0) + size
        self.total += size
        while self.total > self.max_bytes:
            longest = max(self.held, key=lambda known: self.held[known])
            self.release(longest)
            longest.give_up("answers hold too much memory")

    def release(self, holder: Holder) -> None:
        """Counts an answer as complete or dropped."""
        self.total -= self.held.pop(holder, 0)

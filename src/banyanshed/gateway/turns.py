"""Divides the parsing of received bytes into turns of the event loop.

Bytes that arrive at once may hold tens of thousands of small chunks. A
connection parses a limited number of events of the HTTP parser in one turn and
then lets the loop run. In each further turn a single connection of all those
that wait goes on, so that many of them hold up the loop no longer than one.
"""

import asyncio
import collections
from collections.abc import Callable
import weakref

# Events of the HTTP parser that a connection reads in one turn.
EVENTS_PER_TURN = 100


class _Queue:
    """The connections of an event loop with bytes that are not parsed yet."""

    def __init__(self) -> None:
        """Starts empty."""
        self.waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def add(self, parse: Callable[[], None]) -> None:
        """Calls a function in a later turn, after those that wait already."""
        self.waiting.append(parse)
        if len(self.waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        try:
            self.waiting[0]()
        finally:
            self.waiting.popleft()
            if self.waiting:
                asyncio.get_running_loop().call_soon(self._run)


_QUEUES: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _Queue] = (
    weakref.WeakKeyDictionary()
)


class Turns:
    """The turns in which one connection parses what it has received.

    The connection reads nothing while it waits for its next turn.

    Attributes:
        read_turn: Parses for one turn; returns whether more may be left.
        transport: The connection's transport; set when it is connected.
        is_waiting: Whether the connection waits for its next turn.
    """

    def __init__(self, read_turn: Callable[[], bool]):
        """Starts without a transport.

        Args:
            read_turn: Parses for one turn; returns whether more may be left.
        """
        loop = asyncio.get_running_loop()
        self.queue = _QUEUES.setdefault(loop, _Queue())
        self.read_turn = read_turn
        self.transport: asyncio.Transport | None = None
        self.is_waiting = False

    def read(self) -> None:
        """Parses what was received, in this turn and as many as it takes."""
        if self.is_waiting or not self.read_turn():
            return
        self.is_waiting = True
        if self.transport is not None:
            self.transport.pause_reading()
        self.queue.add(self._go_on)

    def _go_on(self) -> None:
        self.is_waiting = False
        self.read()
        if self.is_waiting or self.transport is None:
            return
        if not self.transport.is_closing():
            self.transport.resume_reading()

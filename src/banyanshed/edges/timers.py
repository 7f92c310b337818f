"""Periodic actions on the event loop that can be brought forward."""

import asyncio
from collections.abc import Awaitable, Callable
import math


class Timer:
    """Runs an action periodically; owned by the event loop's thread.

    Attributes:
        action: The action; must not raise.
        delay_s: Returns the seconds from the end of a run to the next.
        due_s: Time of the next run by the loop's clock; minus infinity while
            the action runs.
    """

    def __init__(
        self,
        action: Callable[[], Awaitable[None]],
        delay_s: Callable[[], float],
    ):
        """Creates a timer; `run` starts it."""
        self.action = action
        self.delay_s = delay_s
        self.due_s = -math.inf
        self._due = asyncio.Event()
        self._handle: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Repeats the action until the task is cancelled."""
        while True:
            await self.action()
            self._due.clear()
            loop = asyncio.get_running_loop()
            self._schedule(loop.time() + self.delay_s())
            try:
                await self._due.wait()
            finally:
                self.due_s = -math.inf
                self._cancel()

    def bring_forward(self, at_s: float) -> None:
        """Makes the action due at a time of the loop's clock, if earlier.

        Has no effect while the action runs: `delay_s` is called afterwards.
        """
        if at_s < self.due_s:
            self._schedule(at_s)

    def _schedule(self, at_s: float) -> None:
        self._cancel()
        self.due_s = at_s
        loop = asyncio.get_running_loop()
        self._handle = loop.call_at(at_s, self._due.set)

    def _cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

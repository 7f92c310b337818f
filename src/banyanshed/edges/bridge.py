"""Passes events from pool threads to the event loop and awaits decisions."""

import asyncio
from collections.abc import Callable
import concurrent.futures
from typing import TypeVar

from banyanshed.core import events

T = TypeVar("T")


class LoopBridge:
    """Runs calls of other threads on the event loop that owns the core."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Callable[[events.Event], None],
    ):
        """Creates a bridge to a loop, where `handle` processes events."""
        self.loop = loop
        self.handle = handle

    def post_event(self, event: events.Event) -> None:
        """Schedules an event on the loop without waiting."""
        self.loop.call_soon_threadsafe(self.handle, event)

    def request_decision(
        self, make_event: Callable[[events.Reply], events.Event]
    ) -> events.Decision:
        """Schedules an event on the loop and blocks until the core decided.

        Args:
            make_event: Creates the event from a callback that receives the
                decision.
        """
        future: concurrent.futures.Future[events.Decision] = (
            concurrent.futures.Future()
        )
        event = make_event(future.set_result)
        self.loop.call_soon_threadsafe(self._handle_or_fail, event, future)
        return future.result()

    def run(self, function: Callable[[], T]) -> T:
        """Runs a function on the loop's thread and returns its result."""
        future: concurrent.futures.Future[T] = concurrent.futures.Future()
        self.loop.call_soon_threadsafe(_run_and_resolve, function, future)
        return future.result()

    def _handle_or_fail(
        self,
        event: events.Event,
        future: "concurrent.futures.Future[events.Decision]",
    ) -> None:
        try:
            self.handle(event)
        except Exception as error:  # The waiting thread must not hang.
            if not future.done():
                future.set_exception(error)


def _run_and_resolve(
    function: Callable[[], T], future: "concurrent.futures.Future[T]"
) -> None:
    try:
        future.set_result(function())
    except Exception as error:  # Re-raised in the waiting thread.
        future.set_exception(error)

"""Passes events from worker threads to the event loop, awaiting decisions.

The HTTP server handles each request in a thread of its pool. The core's state
(core.entry.EntryHost) is not thread-safe: only the event loop's thread may use
it. Threads of the pool send it events and block until it has decided, for
example to which backend server a request goes.
"""

import asyncio
from collections.abc import Callable
import concurrent.futures
from typing import TypeVar

from banyanshed.core import events

T = TypeVar("T")


class LoopBridge:
    """Runs calls of other threads on the event loop that runs the core."""

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

        An exception raised by `handle` is raised again here.

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
        """Runs a function on the loop's thread and returns its result.

        Blocks until then; an exception is raised again here.
        """
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

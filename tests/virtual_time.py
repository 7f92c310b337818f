"""Event loop with virtual time: its clock jumps to the next timer."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is not None and timeout > 0.0:
            self.now += timeout
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    """Event loop for code that waits only for timers."""

    def __init__(self):
        self.virtual_selector = _Selector()
        super().__init__(self.virtual_selector)

    def time(self):
        return self.virtual_selector.now


def run(coroutine):
    """Runs a coroutine on a new loop with virtual time."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(coroutine)

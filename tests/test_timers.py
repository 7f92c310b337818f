"""Tests of periodic actions on the event loop."""

import asyncio
import contextlib

import pytest

from banyanshed.edges import timers

LONG_DELAY_S = 3600.0
MAX_POLLS = 200


class TimerHarness:
    """A timer whose action counts its runs and can be blocked."""

    def __init__(self, delay_s):
        self.runs = 0
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.timer = timers.Timer(self.act, lambda: delay_s)

    async def act(self):
        self.runs += 1
        await self.may_finish.wait()

    async def wait_for_runs(self, runs):
        """Waits until the action has run `runs` times, and not more often."""
        for _ in range(MAX_POLLS):
            await asyncio.sleep(0.001)
            if self.runs >= runs:
                break
        assert self.runs == runs


@contextlib.asynccontextmanager
async def running(delay_s):
    harness = TimerHarness(delay_s)
    task = asyncio.create_task(harness.timer.run())
    try:
        await harness.wait_for_runs(1)
        yield harness
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def test_brought_forward_run_happens_once_and_restores_the_delay():
    async def play():
        loop = asyncio.get_running_loop()
        async with running(LONG_DELAY_S) as harness:
            harness.timer.bring_forward(loop.time())
            await harness.wait_for_runs(2)
            await asyncio.sleep(0)
            assert harness.timer.due_s > loop.time() + LONG_DELAY_S / 2

    asyncio.run(play())


def test_a_later_time_does_not_delay_a_run():
    async def play():
        loop = asyncio.get_running_loop()
        async with running(LONG_DELAY_S) as harness:
            due_s = harness.timer.due_s
            harness.timer.bring_forward(loop.time() + 2 * LONG_DELAY_S)
            assert harness.timer.due_s == due_s
            harness.timer.bring_forward(loop.time() + 1)
            assert harness.timer.due_s < due_s
            harness.timer.bring_forward(loop.time() + 2)
            assert harness.timer.due_s < loop.time() + 1.5

    asyncio.run(play())


@pytest.mark.parametrize("count", [1, 5])
def test_runs_do_not_overlap(count):
    async def play():
        loop = asyncio.get_running_loop()
        async with running(LONG_DELAY_S) as harness:
            harness.may_finish.clear()
            harness.timer.bring_forward(loop.time())
            await harness.wait_for_runs(2)
            for _ in range(count):
                harness.timer.bring_forward(loop.time())
            await harness.wait_for_runs(2)
            harness.may_finish.set()
            await harness.wait_for_runs(2)
            harness.timer.bring_forward(loop.time())
            await harness.wait_for_runs(3)

    asyncio.run(play())


def test_repeats_at_its_pace_until_cancelled():
    async def play():
        async with running(0.001) as harness:
            for _ in range(MAX_POLLS):
                await asyncio.sleep(0.001)
                if harness.runs > 3:
                    break
            assert harness.runs > 3
        runs = harness.runs
        await asyncio.sleep(0.01)
        assert harness.runs == runs

    asyncio.run(play())

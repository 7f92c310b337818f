"""Tests of repeated actions on the event loop."""

import asyncio
import contextlib

import pytest

from banyanshed.edges import timers

FAR_S = 3600.0
STEPS = 200


class Bench:
    """A timer whose action counts its runs, and may be held up."""

    def __init__(self, delay_s):
        self.runs = 0
        self.gate = asyncio.Event()
        self.gate.set()
        self.timer = timers.Timer(self.act, lambda: delay_s)

    async def act(self):
        self.runs += 1
        await self.gate.wait()

    async def settle(self, runs):
        """Lets the loop run until the action ran so often and it idles."""
        for _ in range(STEPS):
            await asyncio.sleep(0.001)
            if self.runs >= runs:
                break
        assert self.runs == runs


@contextlib.asynccontextmanager
async def running(delay_s):
    bench = Bench(delay_s)
    task = asyncio.create_task(bench.timer.run())
    try:
        await bench.settle(1)
        yield bench
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def test_brought_forward_runs_once_and_is_due_late_again():
    async def play():
        loop = asyncio.get_running_loop()
        async with running(FAR_S) as bench:
            bench.timer.bring_forward(loop.time())
            await bench.settle(2)
            await asyncio.sleep(0)
            assert bench.timer.due_s > loop.time() + FAR_S / 2

    asyncio.run(play())


def test_a_later_time_does_not_put_a_run_off():
    async def play():
        loop = asyncio.get_running_loop()
        async with running(FAR_S) as bench:
            due_s = bench.timer.due_s
            bench.timer.bring_forward(loop.time() + 2 * FAR_S)
            assert bench.timer.due_s == due_s
            bench.timer.bring_forward(loop.time() + 1)
            assert bench.timer.due_s < due_s
            bench.timer.bring_forward(loop.time() + 2)
            assert bench.timer.due_s < loop.time() + 1.5

    asyncio.run(play())


@pytest.mark.parametrize("count", [1, 5])
def test_runs_do_not_overlap(count):
    async def play():
        loop = asyncio.get_running_loop()
        async with running(FAR_S) as bench:
            bench.gate.clear()
            bench.timer.bring_forward(loop.time())
            await bench.settle(2)
            for _ in range(count):
                bench.timer.bring_forward(loop.time())
            await bench.settle(2)
            bench.gate.set()
            await bench.settle(2)
            bench.timer.bring_forward(loop.time())
            await bench.settle(3)

    asyncio.run(play())


def test_repeats_at_its_pace_until_cancelled():
    async def play():
        async with running(0.001) as bench:
            for _ in range(STEPS):
                await asyncio.sleep(0.001)
                if bench.runs > 3:
                    break
            assert bench.runs > 3
        runs = bench.runs
        await asyncio.sleep(0.01)
        assert bench.runs == runs

    asyncio.run(play())

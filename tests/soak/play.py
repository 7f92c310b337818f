"""Plays one seed: real hosts, callers, troubles; returns what was broken."""

import asyncio
import contextlib
import dataclasses
import random

from tests.soak import promises
from tests.soak import records as r
from tests.soak import troubles as troubles_lib
from tests.soak import world as world_lib

SIZES = ((3, 6), (4, 8), (6, 9))
# Enough hosts for relays between regions.
LARGE = (15, 12)
CALLERS_PER_HOST = 4
SERVED_IN_A_ROW = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a play.

    Attributes:
        seed: Its seed.
        broken: Broken promises, a line each.
        requests: Number of requests.
        served: Number of those that were answered with success.
        troubles: What went wrong.
    """

    seed: int
    broken: list[str]
    requests: int
    served: int
    troubles: list[troubles_lib.Trouble]


async def play(seed, length_s, folder, size=None):
    """Plays one seed.

    Args:
        seed: Decides all that is drawn.
        length_s: How long troubles begin.
        folder: For settings and logs.
        size: Numbers of hosts and servers; drawn if None.
    """
    # Connections that are still open at the end are dropped.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    rng = random.Random(seed)
    hosts, servers = size or rng.choice(SIZES)
    async with contextlib.AsyncExitStack() as stack:
        world = world_lib.World(folder, seed, stack)
        await world.start(hosts, servers)
        world.started_at = world.loop.time()
        drawn = troubles_lib.draw(rng, length_s)
        callers = [
            world_lib.Caller(world, n) for n in range(hosts * CALLERS_PER_HOST)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        stack.push_async_callback(_stop, tasks)
        await troubles_lib.Troubles(world).play(drawn)
        await _await_service(world)
        await _let_end(callers)
        records = world.records
    served = sum(request.status == 200 for request in records.requests)
    broken = promises.check(records)
    return Result(seed, broken, len(records.requests), served, drawn)


async def _await_service(world):
    """Notes when callers with valid keys are served as before."""
    start = world.now()
    while world.now() - start < promises.RECOVER_S:
        await asyncio.sleep(0.1)
        recent = [
            request
            for request in world.records.requests
            if request.sent_at >= start
            and request.key in world.keys
            and request.ending not in (r.Ending.LEFT, r.Ending.PENDING)
        ]
        last = recent[-SERVED_IN_A_ROW:]
        if len(last) < SERVED_IN_A_ROW:
            continue
        if all(request.status == 200 for request in last):
            world.records.served_again_s = world.now() - start
            return


async def _let_end(callers):
    """Lets requests that callers have left end at their servers."""
    for caller in callers:
        caller.may_leave = False
    await asyncio.sleep(2.0 * promises.HELD_S)


async def _stop(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_with_stack(scenario):
    """Runs a coroutine function with an exit stack that closes after it."""

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(run())

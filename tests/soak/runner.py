"""Plays one seed: real hosts, callers, faults; returns what was broken."""

import asyncio
import contextlib
import dataclasses
import random

from tests.soak import cluster as cluster_lib
from tests.soak import faults as faults_lib
from tests.soak import invariants
from tests.soak import records as records_lib

SIZES = ((3, 6), (4, 8), (6, 9))
# Enough hosts for relays between regions.
LARGE = (15, 12)
CALLERS_PER_HOST = 4
CONSECUTIVE_SERVED = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a play.

    Attributes:
        seed: Its seed.
        broken: Broken promises, a line each.
        requests: Number of requests.
        served: Number of those that were answered with success.
        faults: What went wrong.
    """

    seed: int
    violations: list[str]
    requests: int
    served: int
    faults: list[faults_lib.Fault]


async def run_seed(seed, length_s, folder, size=None):
    """Plays one seed.

    Args:
        seed: Decides all that is drawn.
        length_s: How long faults begin.
        folder: For settings and logs.
        size: Numbers of hosts and servers; drawn if None.
    """
    # Connections that are still open at the end are dropped.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    rng = random.Random(seed)
    hosts, servers = size or rng.choice(SIZES)
    async with contextlib.AsyncExitStack() as stack:
        cluster = cluster_lib.Cluster(folder, seed, stack)
        await cluster.start(hosts, servers)
        cluster.started_at = cluster.loop.time()
        drawn = faults_lib.draw_faults(rng, length_s)
        callers = [
            cluster_lib.Caller(cluster, n)
            for n in range(hosts * CALLERS_PER_HOST)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        stack.push_async_callback(_stop, tasks)
        await faults_lib.FaultInjector(cluster).inject(drawn)
        await _await_recovery(cluster)
        await _wait_for_cancellations(callers)
        records = cluster.records
    served = sum(request.status == 200 for request in records.requests)
    violations = invariants.check(records)
    return Result(seed, violations, len(records.requests), served, drawn)


async def _await_recovery(cluster):
    """Notes when callers with valid keys are served as before."""
    start = cluster.now()
    while cluster.now() - start < invariants.RECOVERY_BOUND_S:
        await asyncio.sleep(0.1)
        recent = [
            request
            for request in cluster.records.requests
            if request.sent_at >= start
            and request.key in cluster.keys
            and request.ending
            not in (records_lib.Ending.LEFT, records_lib.Ending.PENDING)
        ]
        last = recent[-CONSECUTIVE_SERVED:]
        if len(last) < CONSECUTIVE_SERVED:
            continue
        if all(request.status == 200 for request in last):
            cluster.records.recovery_s = cluster.now() - start
            return


async def _wait_for_cancellations(callers):
    """Lets requests that callers have left end at their servers."""
    for caller in callers:
        caller.may_disconnect = False
    await asyncio.sleep(2.0 * invariants.TOLERANCE_S)


async def _stop(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_with_exit_stack(scenario):
    """Runs a coroutine function with an exit stack that closes after it."""

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(run())

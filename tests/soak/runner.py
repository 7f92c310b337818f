"""Runs one soak: host processes, callers and faults drawn from a seed."""

import asyncio
import contextlib
import dataclasses
import random

from tests.soak import cluster as cluster_lib
from tests.soak import faults as faults_lib
from tests.soak import invariants
from tests.soak import records as records_lib

SIZES = ((3, 6), (4, 8), (6, 9))
# Enough hosts for gossip relays between regions.
LARGE = (15, 12)
CALLERS_PER_HOST = 4
CONSECUTIVE_SERVED = 20
RESTORES_SEED = 1 << 32
DEADLY_SEED = 1 << 33
DEPARTURES_SEED = 1 << 34


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a soak run.

    Attributes:
        seed: Seed of the run.
        violations: Violated invariants, one line each.
        requests: Number of requests.
        served: Number of requests answered with status 200.
        faults: Injected faults.
    """

    seed: int
    violations: list[str]
    requests: int
    served: int
    faults: list[faults_lib.Fault]


async def run_seed(seed, length_s, folder, size=None):
    """Runs a soak with one seed.

    Args:
        seed: Seed of all random choices.
        length_s: Faults begin within this many seconds.
        folder: Folder for settings and logs.
        size: Numbers of hosts and servers; drawn if None.
    """
    # Errors of connections that are still open at the end are ignored.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    rng = random.Random(seed)
    hosts, servers = size or rng.choice(SIZES)
    async with contextlib.AsyncExitStack() as stack:
        cluster = cluster_lib.Cluster(folder, seed, stack)
        await cluster.start(hosts, servers)
        cluster.started_at = cluster.loop.time()
        drawn = faults_lib.draw_faults(rng, length_s)
        # A generator of its own, so that the faults of a seed stay the same.
        limits = faults_lib.draw_limits(random.Random(-seed), length_s)
        restores = faults_lib.draw_restores(
            random.Random(seed + RESTORES_SEED), length_s
        )
        deadly = faults_lib.draw_deadly_requests(
            random.Random(seed + DEADLY_SEED), length_s
        )
        departures = faults_lib.draw_departures(
            random.Random(seed + DEPARTURES_SEED), length_s
        )
        drawn = sorted(
            drawn + limits + restores + deadly + departures,
            key=lambda fault: fault.at,
        )
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
    """Waits until callers with valid keys are served and records the time."""
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
    """Waits for the cancellation of requests whose callers disconnected."""
    for caller in callers:
        caller.may_disconnect = False
    await asyncio.sleep(2.0 * invariants.TOLERANCE_S)


async def _stop(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_with_exit_stack(scenario):
    """Runs a coroutine function with an exit stack as its argument."""

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(run())

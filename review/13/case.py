"""A late write of a worker that has left brings its entry back.

The store does not answer one write of three workers, and performs it seconds
later. Meanwhile these workers leave as planned, without reporting `draining`:
their entries are removed, and they go on serving for a while.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness3 import rig as rig_lib  # noqa: E402

SEED = 13
DRAIN_S = 2.5
STABLE_S = 3.0
BEAT_S = 1.5
# An entry is removed after three heartbeat intervals of silence.
LAPSE_S = 3 * BEAT_S
# Time from the unanswered write until the entries are removed: the store has
# been without disruption for longer than `stable`, 3 s.
REMOVED_AFTER_S = 3.2
# The store performs a write without an answer 1 to 6 s later.
LATE_S = 5.9
# A worker that leaves goes on for `drain` and a little longer, at times many
# seconds.
SERVES_ON_S = 10.0
DEADLINE_MS = 3000
WORK_S = 0.1
INTERVAL_S = 0.1
WORKERS = 21
# Share of the workers that leave: 0.143.
LEAVING = 3

# With TROUBLE=0 the case plays without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def scenario(
    stack: contextlib.AsyncExitStack, folder: pathlib.Path
) -> bool:
    """Plays the case; returns whether the rule held."""
    rng = random.Random(SEED)

    async def work(worker: rig_lib.Worker, request: rig_lib.Message) -> bytes:
        del worker, request
        await asyncio.sleep(WORK_S)
        return b"booked"

    rig = rig_lib.Rig(stack, folder, work)
    route = {
        "name": "booking-charge",
        "prefix": "/booking/",
        "kind": "unsafe",
        "timeout": "1500ms",
        "targetLatency": "400ms",
        "priority": 1,
        "attempts": 2,
        "backend": "bookings",
    }
    zones = list(rig.zones)
    workers = [
        rig_lib.Worker(rig, f"i-{n}", "bookings", zones[n % 2])
        for n in range(WORKERS)
    ]
    configuration = rig_lib.make_configuration([route], ["bookings"])
    await rig.start(configuration, workers, [zones[0], zones[1], zones[0]])
    hosts = list(rig.hosts.values())
    leaving = workers[:LEAVING]
    calls = []

    async def send() -> None:
        while True:
            call = rig.request(
                rng.choice(hosts), "POST", "/booking/new", DEADLINE_MS
            )
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(INTERVAL_S)

    async def beat() -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for worker in workers:
                if not worker.has_left:
                    await worker.register()

    tasks = [asyncio.ensure_future(send()), asyncio.ensure_future(beat())]
    await asyncio.sleep(5.0)
    late = [(worker, worker.next_entry()) for worker in leaving]
    rig.record.write("writes without an answer", workers=len(late))
    await asyncio.sleep(REMOVED_AFTER_S)
    for worker in leaving:
        await worker.leave()
    removed_at = rig.record.now()
    rig.record.write("entries removed")
    await asyncio.sleep(LATE_S - REMOVED_AFTER_S)
    if TROUBLE:
        for worker, entry in late:
            await rig.store.put("servers", worker.id, entry)
        rig.record.write("late writes performed")
    await asyncio.sleep(LAPSE_S)
    for worker in leaving:
        await rig.store.remove("servers", worker.id)
    rig.record.write("entries lapsed")
    await asyncio.sleep(SERVES_ON_S - (LATE_S - REMOVED_AFTER_S) - LAPSE_S)
    for worker in leaving:
        worker.crash()
    rig.record.write("workers ended")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*calls)
    gone = {worker.id for worker in leaving}
    broken = [
        run
        for run in rig.runs
        if run.worker in gone and run.at > removed_at + DRAIN_S
    ]
    for run in broken:
        rig.record.write(
            "BROKEN",
            id=run.id,
            after_removal=f"{run.at - removed_at:.3f}",
            worker=run.worker,
            sent_by=run.host,
        )
    # For the report only: those later than `stable` after the late write, too.
    calm_from = removed_at + LATE_S - REMOVED_AFTER_S + STABLE_S
    late = sum(run.at > calm_from for run in broken)
    rig.record.write(
        "result",
        sent=len(calls),
        broken=len(broken),
        broken_after_stable=late,
    )
    return not broken


rig_lib.main(scenario)

"""A host that reaches no worker gets SIGTERM while peers serve for it.

Bookings are sent to a host whose links to all workers are cut, and which
therefore passes them on to its peer. The host is stopped as in a rolling
restart. A booking that is still at work near the end of the grace is answered
by the stopping host.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness3 import rig as rig_lib  # noqa: E402

SEED = 11
# As booking-charge of the site halvorsen-fleet-grown.
TIMEOUT_S = 4.0
DEADLINE_MS = 8000
WORK_S = 1.5
# Within the longest work of the sheet, 4,680 ms.
LONG_WORK_S = 3.5
LONG_SHARE = 0.2
# A statement that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
SEND_INTERVAL_S = 0.1
# The host accepts requests for some seconds after SIGTERM; nothing is sent
# later than this.
SENT_UNTIL_S = 4.0
GRACE_S = 6.0

# With TROUBLE=0 the case plays without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def scenario(
    stack: contextlib.AsyncExitStack, folder: pathlib.Path
) -> bool:
    """Plays the case; returns whether the rule held."""
    rng = random.Random(SEED)

    async def work(worker: rig_lib.Worker, request: rig_lib.Message) -> bytes:
        del worker, request
        is_long = rng.random() < LONG_SHARE
        await asyncio.sleep(LONG_WORK_S if is_long else WORK_S)
        return b"booked"

    rig = rig_lib.Rig(stack, folder, work)
    route = {
        "name": "booking-charge",
        "prefix": "/booking/",
        "kind": "unsafe",
        "timeout": f"{TIMEOUT_S:g}s",
        "targetLatency": "1000ms",
        "priority": 1,
        "attempts": 2,
        "backend": "bookings",
    }
    zones = list(rig.zones)
    workers = [
        rig_lib.Worker(rig, f"i-{n}", "bookings", zones[n % 2])
        for n in range(8)
    ]
    configuration = rig_lib.make_configuration([route], ["bookings"])
    await rig.start(configuration, workers, [zones[0], zones[1], zones[0]])
    first = next(iter(rig.hosts.values()))
    # Hosts hear each other.
    await asyncio.sleep(4.0)
    if TROUBLE:
        first.cut_workers()
    calls = []

    async def send_for(seconds: float) -> None:
        ends_at = rig.record.now() + seconds
        while rig.record.now() < ends_at:
            calls.append(
                asyncio.ensure_future(
                    rig.request(
                        first, "POST", "/booking/new", DEADLINE_MS, b"cart=7"
                    )
                )
            )
            await asyncio.sleep(SEND_INTERVAL_S)

    await send_for(3.0)
    first.send(rig_lib.signal.SIGTERM)
    await send_for(SENT_UNTIL_S)
    # The platform kills what is left at the end of the grace.
    await asyncio.sleep(GRACE_S - SENT_UNTIL_S)
    first.end()
    answers = await asyncio.gather(*calls)
    # A request may also run later.
    await asyncio.sleep(1.0)
    broken = []
    for id_, answer in answers:
        runs = rig.runs_of(id_)
        if answer is not None and answer.status in PROMISES and runs:
            broken.append(id_)
            rig.record.write(
                "BROKEN",
                id=id_,
                status=answer.status,
                ran_at=runs[0].worker,
                run=runs[0].ended,
            )
    served = sum(a is not None and a.status == 200 for _, a in answers)
    rig.record.write(
        "result", sent=len(answers), served=served, broken=len(broken)
    )
    if not served:
        raise RuntimeError("no request was served")
    return not broken


rig_lib.main(scenario)

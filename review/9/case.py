"""A machine cut off from the store sends work to a worker that leaves."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from review.harness2 import deployment as deployment_lib

RUN_S = 18.0
CUT_AT_S = 6.0
# The length that the site file gives a cut from the store.
CUT_S = 5.5
DRAIN_S = 2.5
# The worker serves this long after the store has its report, then exits.
SERVES_S = DRAIN_S + 2.0
LEAVING = "i-1"
HOST = "front-1"


def make_booking(count):
    """Returns a request that may run at most once."""
    return f"POST /booking/{count}", b"cart", 4000


async def leave(deployment, notices):
    """Lets a worker leave as planned while the machine is cut off."""
    worker = deployment.workers[LEAVING]
    await asyncio.sleep(CUT_AT_S)
    if deployment_lib.is_disrupted():
        # The store serves the workers and the operator, but not this machine.
        deployment.record("cut_begins", host=HOST)
        deployment.store.is_down = True
    await asyncio.sleep(0.2)
    worker["process"].send_signal(signal.SIGUSR1)
    await deployment.register(LEAVING, "draining")
    deployment.record("draining_acknowledged", worker=LEAVING)
    notices.append(deployment.now())
    await asyncio.sleep(SERVES_S)
    worker["process"].send_signal(signal.SIGTERM)
    deployment.record("exits", worker=LEAVING)
    await asyncio.sleep(CUT_AT_S + CUT_S - deployment.now())
    deployment.store.is_down = False
    deployment.record("cut_ends", host=HOST)
    await deployment.store.remove("servers", LEAVING)


async def play(deployment):
    """Plays the case; returns whether the rule broke, and the verdict."""
    await deployment.start_store()
    routes = [deployment_lib.route("booking", "bookings", "unsafe", "4000ms")]
    services = [deployment_lib.service("bookings")]
    await deployment.configure(7, routes, services)
    for number in range(4):
        zone = list(deployment_lib.ZONES)[number % 3]
        await deployment.add_worker(
            f"i-{number}", "bookings", zone, "leaving", work_ms=400, slots=4
        )
    deployment.add_host(HOST, "z1")
    await deployment.wait_until_ready()
    deployment.started_at = time.monotonic()
    clients = [
        deployment_lib.Client(deployment, HOST, number, make_booking, 1.0)
        for number in range(20)
    ]
    notices = []
    await asyncio.gather(
        leave(deployment, notices),
        *(client.run(RUN_S) for client in clients),
    )
    bookings = {r["id"]: r for c in clients for r in c.requests}
    passed_on = [
        r["ended_at"]
        for r in bookings.values()
        if r["leaving"] and r.get("worker") == LEAVING
    ]
    since = min(passed_on, default=float("inf"))
    events = deployment.worker_events()
    late = [
        e["id"]
        for e in events
        if e["event"] == "run"
        and e["worker"] == LEAVING
        and bookings[e["id"]]["sent_at"] > since + DRAIN_S
    ]
    lost = [id_ for id_ in late if bookings[id_]["status"] != 200]
    verdict = [
        "rule DRAIN: a request that a client sent later than `drain` after a"
        " machine had passed on an answer with `Server-Leaving` reaches that"
        " worker from that machine, in touch or not",
        f"first answer with Server-Leaving passed on at {since:.2f} s,"
        f" the worker exited at {notices[0] + SERVES_S:.2f} s",
        f"bookings sent more than {DRAIN_S} s later that reached the worker:"
        f" {len(late)}; begun there and lost when it exited: {len(lost)}",
        f"bookings {len(bookings)}, served"
        f" {sum(r['status'] == 200 for r in bookings.values())}",
    ]
    broken = bool(late)
    verdict.append("BROKEN" if broken else "held")
    return broken, verdict


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        code = deployment_lib.run_case(
            play, temporary, pathlib.Path(__file__).parent
        )
    sys.exit(code)

"""A worker whose answer has no end stops the entry hosts that call it."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from review.harness2 import deployment as deployment_lib

RUN_S = 24.0
FAULT_AT_S = 6.0
FAULT_S = 10.0
TIMEOUT_S = 2.0
LATE_S = 0.5
# The rule names eight or more, and over a quarter.
MIN_LATE = 8
MAX_LATE_SHARE = 0.25
HOSTS = {"front-1": "z1", "front-2": "z2"}
CLIENTS_PER_HOST = 24


def make_request(count):
    """Returns a request; every third goes to a service without a fault."""
    if count % 3:
        return f"GET /lookup/{count % 11}", None, 5000
    return f"GET /records/{count}", None, 5000


async def ask_readiness(deployment, host, unanswered):
    """Asks a host once a second whether it is ready, as the platform does."""
    ip = deployment.hosts[host]["ip"]
    while deployment.now() < RUN_S:
        asked_at = deployment.now()
        if not await deployment.is_ready(ip):
            unanswered.append(asked_at)
            deployment.record("not_ready", host=host)
        left_s = asked_at + 1.0 - deployment.now()
        await asyncio.sleep(max(0.01, left_s))


async def play(deployment):
    """Plays the case; returns whether the rule broke, and the verdict."""
    await deployment.start_store()
    routes = [
        deployment_lib.route("lookup", "board", "safe", "2000ms"),
        deployment_lib.route("records", "records", "safe", "2000ms"),
    ]
    names = ("board", "records")
    services = [deployment_lib.service(name) for name in names]
    await deployment.configure(7, routes, services)
    for name in names:
        for number in range(6):
            zone = list(deployment_lib.ZONES)[number % 3]
            await deployment.add_worker(
                f"i-{name}-{number}", name, zone, "endless", work_ms=300
            )
    for host, zone in HOSTS.items():
        deployment.add_host(host, zone)
    await deployment.wait_until_ready()
    deployment.started_at = time.monotonic()
    clients = [
        deployment_lib.Client(
            deployment, host, f"{host}-{number}", make_request, 0.5
        )
        for host in HOSTS
        for number in range(CLIENTS_PER_HOST)
    ]
    tasks = [asyncio.create_task(client.run(RUN_S)) for client in clients]
    unanswered = []
    for host in HOSTS:
        question = ask_readiness(deployment, host, unanswered)
        tasks.append(asyncio.create_task(question))
    await asyncio.sleep(FAULT_AT_S)
    faulty = deployment.workers["i-board-1"]["process"]
    if deployment_lib.is_disrupted():
        deployment.record("fault_begins", worker="i-board-1")
        faulty.send_signal(signal.SIGUSR1)
    await asyncio.sleep(FAULT_S)
    deployment.record("fault_ends", worker="i-board-1")
    faulty.send_signal(signal.SIGUSR2)
    await asyncio.gather(*tasks)
    requests = [request for c in clients for request in c.requests]
    took = [r["ended_at"] - r["sent_at"] for r in requests]
    over = [t for t in took if t > TIMEOUT_S]
    late = [t for t in took if t > TIMEOUT_S + LATE_S]
    others = [
        r["ended_at"] - r["sent_at"]
        for r in requests
        if "/records/" in r["line"]
    ]
    verdict = [
        "rule CONFIG: some requests last longer than their route's timeout;"
        " eight or more of them, and over a quarter, have no final answer from"
        " machines in touch 0.5 s after it",
        f"requests {len(requests)}, served"
        f" {sum(r['status'] == 200 for r in requests)}; unanswered at the"
        f" timeout of {TIMEOUT_S} s: {len(over)}; unanswered {LATE_S} s"
        f" later: {len(late)}; longest {max(took):.2f} s",
        f"requests to the service without a fault: {len(others)}, of these"
        f" unanswered {TIMEOUT_S + LATE_S} s after they were sent:"
        f" {sum(t > TIMEOUT_S + LATE_S for t in others)}; longest"
        f" {max(others):.2f} s",
        "questions for readiness without an answer within 1 s:"
        f" {len(unanswered)}",
    ]
    broken = len(late) >= MIN_LATE and len(late) > MAX_LATE_SHARE * len(over)
    verdict.append("BROKEN" if broken else "held")
    return broken, verdict


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        code = deployment_lib.run_case(
            play, temporary, pathlib.Path(__file__).parent
        )
    sys.exit(code)

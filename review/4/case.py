"""A server that restarts under its id while the store is away gets too much.

Without the disruption the server restarts in the same way, and the store
serves all the while.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import platform  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = {"a1": "a", "b1": "b"}
COLD_S = 3.0
COLD_PER_S = 2.6
ALLOWED = COLD_PER_S * 1.5 + 5.0
REQUESTS_PER_S = 160.0
OUTAGE_S = 4.5
CRASHED_S = 1.5


async def scenario(site):
    """Runs the case; returns whether the rule was broken."""
    record = site.record
    service = {"name": "board", "cold": "3s", "coldPerS": COLD_PER_S}
    routes = [platform.route("board", "safe", "board")]
    await site.start_store(platform.configuration(routes, [service]))
    for number in range(8):
        zone = "a1" if number % 2 else "b1"
        await site.add_server(
            f"i-{number}",
            "board",
            zone=zone,
            slots=8,
            cold_s=COLD_S,
        )
    await site.start_hosts(["a1", "b1", "a1", "b1"])
    traffic = asyncio.ensure_future(
        platform.send_steadily(site, "board", "GET", REQUESTS_PER_S)
    )
    await asyncio.sleep(4.0)
    server = site.servers["i-0"]
    if HAS_TROUBLE:
        record.add("the store is down: it answers 503")
        site.store.is_down = True
    await asyncio.sleep(0.5)
    server.crash()
    await asyncio.sleep(CRASHED_S)
    await server.start(server.address[0], is_cold=True)
    await asyncio.sleep(OUTAGE_S - 0.5 - CRASHED_S)
    record.add("the store answers")
    site.store.is_down = False
    await asyncio.sleep(3.0)
    traffic.cancel()
    cold = [
        (site.sent_at[run.id], run.at) for run in server.runs if run.is_cold
    ]
    most = platform.most_in_window(cold, 1.0)
    record.add(f"{len(cold)} requests ran while {server.id} was cold")
    record.add(f"most in one second: {most}, allowed: {ALLOWED:g}")
    return most > ALLOWED


platform.run_case(FOLDER, scenario, ZONES)

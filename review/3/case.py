"""A withdrawn key stays in use after the zone of both relays lost power.

Without the disruption the zone runs through.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import platform  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REGION = "a"
ZONES = {"a1": REGION, "a2": REGION, "b1": "b"}
HOSTS = ["a1"] * 4 + ["a2"] * 5 + ["b1"] * 5
CONFIG_S = 2.5
# The zone is without power for this long.
LOST_S = 5.5
# Right after it has lost power, keys are withdrawn one after the other.
GAP_S = 0.1
KEYS_PER_ROUND = 3
ROUNDS = 3
KEYS = [f"key-{number}" for number in range(KEYS_PER_ROUND * ROUNDS + 1)]
SETTLE_S = 6.0
PAUSE_S = 0.02
# Time in which all keys work, before the zone loses power.
CALM_S = 1.0


def configure(withdrawn):
    """Returns a configuration without the first keys of the customer."""
    return platform.configuration(
        [platform.route("board", "safe", "board")],
        [{"name": "board"}],
        version=f"r{1 + 2 * withdrawn}",
        tenants=[{"name": "club", "apiKeys": KEYS[withdrawn:]}],
    )


async def withdraw_keys(site, first, acknowledged):
    """Withdraws a few keys, one after the other."""
    for number in range(first, first + KEYS_PER_ROUND):
        await site.store.put("op", "config", configure(number + 1))
        acknowledged[KEYS[number]] = site.record.now()
        site.record.add(f"store acknowledges that {KEYS[number]} is gone")
        await asyncio.sleep(GAP_S)


async def use_key(site, key, acknowledged, late):
    """Sends requests with a key to the hosts of the calm zone."""
    calm = [host for host in site.hosts if host.zone == "a2"]
    number = 0
    while True:
        number += 1
        sent_at = site.record.now()
        host = calm[number % len(calm)]
        answer = await site.send(host, f"/board/{number}", key=key)
        age_s = sent_at - acknowledged.get(key, float("inf"))
        if answer.status == 200 and age_s > CONFIG_S:
            late.append(age_s)
        await asyncio.sleep(PAUSE_S)


async def lose_zone(site, first, acknowledged):
    """Takes the power from a zone while keys are withdrawn."""
    lost = [host for host in site.hosts if host.zone == "a1"]
    if HAS_TROUBLE:
        site.record.add("zone a1 loses power")
        for host in lost:
            host.process.send_signal(signal.SIGSTOP)
    await withdraw_keys(site, first, acknowledged)
    await asyncio.sleep(LOST_S)
    if HAS_TROUBLE:
        site.record.add("zone a1 has power again, and its hosts start anew")
        for host in lost:
            host.kill()
            host.start()


async def scenario(site):
    """Runs the case; returns whether the rule was broken."""
    record = site.record
    await site.start_store(configure(0))
    for number in range(6):
        zone = "b1" if number % 2 else "a2"
        await site.add_server(f"i-{number}", "board", zone=zone, slots=8)
    await site.start_hosts(HOSTS)
    acknowledged = {}
    late = []
    for round_number in range(ROUNDS):
        await site.wait_until_ready()
        # Hosts have found their relays by then.
        await asyncio.sleep(SETTLE_S)
        first = KEYS_PER_ROUND * round_number
        tasks = [
            asyncio.ensure_future(use_key(site, key, acknowledged, late))
            for key in KEYS[first : first + KEYS_PER_ROUND]
        ]
        await asyncio.sleep(CALM_S)
        await lose_zone(site, first, acknowledged)
        for task in tasks:
            task.cancel()
    record.add(
        f"requests with a withdrawn key that ran later than config: "
        f"{len(late)}, allowed: 0"
    )
    if late:
        record.add(f"sent up to {max(late):.2f} s after it was withdrawn")
    return bool(late)


platform.run_case(FOLDER, scenario, ZONES)

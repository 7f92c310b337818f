"""Measures look-ups of entry hosts without HTTP.

Run with `python -m benchmarks.lookups`. Times are processor time of this
process.
"""

import random
import time

from banyanshed.core import blocks
from banyanshed.core import lookups
from banyanshed.core import models

REGIONS = 4
ZONES = 9
TENANTS = 200
SERVICES = 6
LOOKUPS = 50_000
SEED = 1


def make_hosts(count: int) -> list[models.ListedHost]:
    """Returns hosts spread over the availability zones."""
    hosts = []
    for number in range(count):
        zone = number % ZONES
        hosts.append(
            models.ListedHost(
                models.HostId(f"host-{number}"),
                models.RegionId(f"region-{zone % REGIONS}"),
                models.ZoneId(f"zone-{zone}"),
                "127.0.0.1:1",
                "127.0.0.1:2",
                models.HostState.LIVE,
            )
        )
    return hosts


def measure(host_count: int, tenants: int) -> float:
    """Returns the processor time of one look-up in microseconds.

    With 0 tenants, the services are open to all.
    """
    rng = random.Random(SEED)
    table = lookups.Lookup(5, 3)
    table.set_hosts(make_hosts(host_count))
    callers = []
    for _ in range(LOOKUPS):
        zone = rng.randrange(ZONES)
        site = blocks.Site(
            models.RegionId(f"region-{zone % REGIONS}"),
            models.ZoneId(f"zone-{zone}"),
        )
        tenant = None
        if tenants:
            tenant = models.TenantId(f"tenant-{rng.randrange(tenants)}")
        callers.append(
            lookups.Caller(
                f"10.{rng.randrange(256)}.{rng.randrange(256)}.0",
                site,
                tenant,
                models.ServiceId(f"service-{rng.randrange(SERVICES)}"),
            )
        )
    started_s = time.process_time()
    for caller in callers:
        table.lookup(caller)
    return (time.process_time() - started_s) / LOOKUPS * 1e6


def main() -> None:
    """Prints the results."""
    for host_count in (25, 550):
        for tenants in (TENANTS, 0):
            kind = f"{tenants} tenants" if tenants else "open to all"
            used_us = measure(host_count, tenants)
            print(f"{host_count:>4} hosts, {kind:<12} {used_us:>8.1f} us")


if __name__ == "__main__":
    main()

import dataclasses

import pytest

from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares
from tests import fleet

UNITS, CAP = 24, 4
INTERVAL_TICKS = round(shares.SHIFT_INTERVAL_S / fleet.TICK_S)


def set_weight(hosts, version, weight):
    """Changes the placement's weight as an operator does."""
    placement = dataclasses.replace(
        hosts.limits[1], version=models.ConfigVersion(version), weight=weight
    )
    hosts.limits = (hosts.limits[0], placement, hosts.limits[2])
    for node in hosts.nodes.values():
        node.holder.set_limits(hosts.limits)


def measure_use(hosts, seconds):
    """Returns the number of running requests at each tick under full load.

    The demand exceeds the limit. Requests last one tick, so that use follows
    the shares at once.
    """
    used = []
    for _ in range(round(seconds / fleet.TICK_S)):
        for name in hosts.names:
            hosts.begin_requests(name, 2 * UNITS, 0.01, size=0.001)
        used.append(hosts.in_use())
        hosts.tick()
    return used


def largest_change(used, sign):
    """Returns the largest rise (sign 1) or fall (-1) within one interval."""
    largest = 0
    for start, before in enumerate(used):
        window = used[start : start + INTERVAL_TICKS]
        largest = max(largest, max(sign * (use - before) for use in window))
    return largest


def start_fleet():
    limits = fleet.make_limits(units=UNITS, cap=CAP)
    return fleet.Fleet(hosts=3, limits=limits, lease_s=sessions.LEASE_S)


@pytest.mark.invariant("shift-cap")
def test_cold_region_fills_at_the_cap_and_fully():
    hosts = start_fleet()
    used = measure_use(hosts, 90)
    assert used[-1] == UNITS
    assert largest_change(used, 1) <= CAP


@pytest.mark.invariant("shift-cap")
def test_drain_reverted_midway_stays_under_the_cap():
    hosts = start_fleet()
    measure_use(hosts, 90)
    set_weight(hosts, 2, 0)
    used = measure_use(hosts, 25)
    assert UNITS / 4 < used[-1] < UNITS * 3 / 4
    set_weight(hosts, 3, 100)
    used += measure_use(hosts, 60)
    assert used[-1] == UNITS
    set_weight(hosts, 4, 50)
    set_weight(hosts, 5, 0)
    used += measure_use(hosts, 70)
    assert used[-1] == 0
    assert largest_change(used, 1) <= CAP
    assert largest_change(used, -1) <= CAP


@pytest.mark.invariant("region-load")
def test_lowered_limit_holds_once_each_host_has_renewed():
    hosts = start_fleet()
    measure_use(hosts, 90)
    lowered = fleet.make_limits(version=2, units=10, cap=CAP)
    for node in hosts.nodes.values():
        node.holder.set_limits(lowered)
    measure_use(hosts, 4)
    hosts.limits = lowered
    used = measure_use(hosts, 20)
    assert 8 <= max(used) <= 10

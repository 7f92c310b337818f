import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from banyanshed.core import blocks
from banyanshed.core import lookups
from banyanshed.core import models

DISTANCES_MS = {"sask": {"alberta": 20.0, "manitoba": 30.0}}
SITE = blocks.Site("sask", "sask-a")


def make_hosts(per_zone):
    hosts = []
    for region in ("sask", "alberta", "manitoba"):
        for number in range(2 * per_zone):
            zone = f"{region}-{'ab'[number % 2]}"
            name = f"{region}-{number}"
            hosts.append(
                models.ListedHost(
                    name, region, zone, "", "", models.HostState.LIVE
                )
            )
    return hosts


def make_lookup(hosts, answer_hosts=3):
    table = lookups.Lookup(5, answer_hosts)
    table.set_hosts(hosts)
    table.set_distances(DISTANCES_MS)
    return table


def caller(address="10.0.0.1", site=SITE, tenant="club", subset=4):
    return lookups.Caller(address, site, tenant, "bookings", subset)


def test_near_hosts_come_first_and_another_region_last():
    answer = make_lookup(make_hosts(4)).lookup(caller(tenant=None))
    assert [host.zone for host in answer.hosts[:2]] == ["sask-a"] * 2
    assert answer.hosts[2].region == "alberta"
    assert answer.ttl_s == 5


@pytest.mark.parametrize("state", ["LEAVING", "SUSPECTED"])
def test_hosts_that_are_not_live_are_absent(state):
    hosts = make_hosts(1)
    table = make_lookup(hosts, answer_hosts=10)
    assert len(table.lookup(caller()).hosts) == 6
    gone = hosts[0]
    hosts[0] = models.ListedHost(
        gone.host, gone.region, gone.zone, "", "", models.HostState[state]
    )
    table.set_hosts(hosts)
    named = [host.host for host in table.lookup(caller()).hosts]
    assert len(named) == 5
    assert gone.host not in named


def test_lookup_without_hosts_is_empty():
    assert make_lookup([]).lookup(caller(site=None)).hosts == ()


@hypothesis.given(st.integers(0, 15), st.integers(1, 4), st.integers(1, 5))
def test_losing_a_host_moves_only_its_own_callers(lost, subset, answer_hosts):
    hosts = make_hosts(8)
    before = make_lookup(hosts, answer_hosts)
    after = make_lookup(hosts[:lost] + hosts[lost + 1 :], answer_hosts)
    # With as many answer hosts as possible, the whole subset is returned.
    whole = make_lookup(hosts, 99).lookup(caller(subset=subset)).hosts
    for number in range(40):
        client = caller(f"10.0.0.{number}", subset=subset)
        old = before.lookup(client).hosts
        new = after.lookup(client).hosts
        assert len(set(new)) == len(new) == len(old)
        entered = [host for host in new if host not in old]
        assert len(entered) <= (1 if hosts[lost] in whole else 0)
        # Hosts in both answers keep their relative order.
        in_old = [host for host in old if host in new]
        assert in_old == [host for host in new if host in old]


def test_callers_spread_over_the_subset_and_tenants_over_hosts():
    table = make_lookup(make_hosts(8))
    first_hosts = collections.Counter()
    for number in range(2000):
        client = caller(f"10.0.{number // 250}.{number % 250}", tenant=None)
        first_hosts[table.lookup(client).hosts[0].host] += 1
    assert len(first_hosts) == 8
    assert max(first_hosts.values()) < 1.25 * 2000 / 8
    subset = set()
    for number in range(200):
        client = caller(f"10.0.0.{number}", subset=3)
        for host in table.lookup(client).hosts:
            if host.region == "sask":
                subset.add(host.host)
    assert len(subset) <= 3


def test_callers_outside_all_blocks_spread_over_regions():
    table = make_lookup(make_hosts(2))
    regions = collections.Counter()
    for number in range(200):
        answer = table.lookup(caller(f"10.1.0.{number}", site=None))
        regions[answer.hosts[0].region] += 1
    assert min(regions[region] for region in table.regions) > 40


@pytest.mark.parametrize(
    ("rate", "burst", "expected"),
    [(1, 100, 2), (1000, 500, 5), (1000, 6, 2), (1, 1, 1)],
)
def test_subset_grows_with_rate_and_stays_below_burst(rate, burst, expected):
    assert lookups.subset_hosts(rate, burst, 3) == expected


def test_few_hosts_in_all_zones_serve_a_service_with_few_units():
    table = make_lookup(make_hosts(8))
    named = collections.Counter()
    for number in range(400):
        client = lookups.Caller(
            f"10.0.{number // 250}.{number % 250}",
            caller().site,
            f"tenant-{number % 9}",
            "bookings",
            subset_hosts=2,
            service_hosts=2,
        )
        for host in table.lookup(client).hosts:
            named[host.region, host.host, host.zone] += 1
    for region in table.regions:
        zones = [zone for found, _, zone in named if found == region]
        assert len(zones) <= 2
        assert len(set(zones)) == len(zones)


@pytest.mark.parametrize(
    ("units", "expected"), [(1, 2), (48, 2), (49, 3), (4800, 200)]
)
def test_hosts_of_a_service_grow_with_its_units(units, expected):
    assert lookups.service_hosts(units, 3) == expected

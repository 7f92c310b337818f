"""Simulates customers' demand on many hosts whose reports are delayed."""

import heapq
import itertools
import random

import pytest

from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import quotas

WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20


class Fleet:
    """Hosts that serve one customer and exchange delayed reports."""

    def __init__(self, hosts, rate, burst, delay_s=0.06, report_interval_s=1.0):
        self.names = [f"h{number}" for number in range(hosts)]
        self.buckets = {
            name: quotas.CustomerBucket(
                rate, burst, 0.0, random.Random(1).random
            )
            for name in self.names
        }
        self.delay_s = delay_s
        self.report_interval_s = report_interval_s
        self.partitioned = set()
        self.down = set()
        self.sent_at = {
            name: report_interval_s * index / hosts
            for index, name in enumerate(self.names)
        }
        self.in_transit = []
        self.sequence = itertools.count()
        self.admitted = []
        self.refused = []

    def tick(self, now):
        while self.in_transit and self.in_transit[0][0] <= now:
            _, _, name, usage = heapq.heappop(self.in_transit)
            for other, bucket in self.buckets.items():
                if other == name or other in self.partitioned | self.down:
                    continue
                bucket.apply_report(name, usage, now)
        for name in self.names:
            if name in self.down:
                continue
            bucket = self.buckets[name]
            bucket.charge_peers(now)
            due = now - self.sent_at[name] >= self.report_interval_s
            if not due and not bucket.needs_report(len(self.names), now):
                continue
            self.sent_at[name] = now
            usage = bucket.report("club", now)
            if name not in self.partitioned:
                entry = (now + self.delay_s, next(self.sequence), name, usage)
                heapq.heappush(self.in_transit, entry)

    def send_request(self, rng, now):
        up = [name for name in self.names if name not in self.down]
        name = rng.choice(up)
        if self.buckets[name].admit(now):
            self.admitted.append(now)
        else:
            self.refused.append(now)


def simulate(fleet, demand, length_s=20.0, seed=1, events=()):
    rng = random.Random(seed)
    events = list(events)
    tick_at = 0.0
    now = 0.0
    while now < length_s:
        now += rng.expovariate(demand(now))
        while tick_at < now:
            while events and events[0][0] <= tick_at:
                events.pop(0)[1]()
            fleet.tick(tick_at)
            tick_at += 0.1
        fleet.send_request(rng, now)


def max_in_window(times):
    worst = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def max_admitted(rate, burst):
    return (rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK


SIZES = [(25, 254.0, 254.0), (25, 20.0, 20.0), (16, 8.0, 8.0), (3, 60.0, 60.0)]


@pytest.mark.parametrize(("hosts", "rate", "burst"), SIZES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_demand_within_the_limit_is_not_refused(hosts, rate, burst, seed):
    fleet = Fleet(hosts, rate, burst)
    simulate(fleet, lambda now: rate / 1.6, seed=seed)
    # The bucket starts partly filled, so the first second is left out.
    refused = [at for at in fleet.refused if at > 2.0]
    assert len(refused) <= 0.002 * (len(fleet.admitted) + len(refused)) + 1


@pytest.mark.parametrize(("hosts", "rate", "burst"), SIZES)
@pytest.mark.parametrize("factor", [3.0, 7.5])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_customer_with_excess_demand_stays_within_its_limit(
    hosts, rate, burst, factor, seed
):
    fleet = Fleet(hosts, rate, burst)
    usual = rate / 1.6

    def demand(now):
        return usual * factor if 5.0 < now < 12.0 else usual

    simulate(fleet, demand, seed=seed)
    assert max_in_window(fleet.admitted) <= max_admitted(rate, burst)
    # The customer still gets most of its rate.
    during = [at for at in fleet.admitted if 6.0 < at < 11.0]
    assert len(during) >= 0.7 * rate * 5.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_the_limit_holds_with_partitioned_and_killed_hosts(seed):
    hosts, rate, burst = 25, 254.0, 254.0
    fleet = Fleet(hosts, rate, burst)
    partitioned = set(fleet.names[:8])
    down = set(fleet.names[8:14])
    events = [
        (6.0, lambda: fleet.partitioned.update(partitioned)),
        (7.0, lambda: fleet.down.update(down)),
        (11.0, lambda: fleet.partitioned.clear()),
    ]

    def demand(now):
        return rate / 1.6 * (4.0 if 5.0 < now < 13.0 else 1.0)

    simulate(fleet, demand, seed=seed, events=events)
    assert max_in_window(fleet.admitted) <= max_admitted(rate, burst)


def test_a_lowered_limit_takes_effect_within_a_window():
    fleet = Fleet(25, 254.0, 254.0)

    def lower():
        for bucket in fleet.buckets.values():
            bucket.set_limits(30.0, 30.0, 8.0)

    simulate(fleet, lambda now: 150.0, events=[(8.0, lower)])
    late = [at for at in fleet.admitted if at > 8.0 + WINDOW_S]
    assert max_in_window(late) <= max_admitted(30.0, 30.0)


def test_only_recently_active_customers_are_reported():
    fleet = members.Members(members.Host("h", "10.0.0.1", "a1", 1), {"a1": "a"})
    customer_quotas = quotas.Quotas(
        fleet, models.QuotaTolerance(), lambda: 0.0, 0.0
    )
    busy = models.Customer("busy", (), rate=10.0, burst=10.0)
    idle = models.Customer("idle", (), rate=10.0, burst=10.0)
    customer_quotas.admit(idle, 0.0)
    customer_quotas.admit(busy, 0.0)
    customer_quotas.admit(busy, 3.0)
    names = [usage.customer for usage in customer_quotas.report(3.2)]
    assert names == ["idle", "busy"]
    names = [usage.customer for usage in customer_quotas.report(4.0)]
    assert names == ["busy"]


def test_a_restarted_relay_does_not_charge_past_usage_to_other_regions():
    # After a restart, the relay receives each host's total count since that
    # host's start. Other regions were already charged for those requests.
    relay = quotas.CustomerBucket(100.0, 100.0, 0.0, lambda: 0.0)
    receiver = quotas.CustomerBucket(100.0, 100.0, 0.0, lambda: 0.0)
    for number in range(5):
        now = 1.0 + number / 5
        usage = quotas.Usage("club", 500, 1.0)
        relay.apply_report(f"h{number}", usage, now)
        receiver.apply_region_report("b", relay.region_report("club", now), now)
    receiver.charge_peers(2.0)
    assert receiver.tokens > 0.0

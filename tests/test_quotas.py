"""Plays customers' demand on many hosts that report with a delay."""

import heapq
import itertools
import random

import pytest

from banyanshed.steering import models
from banyanshed.steering import quotas

WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20


class Fleet:
    """Hosts with one customer, whose reports arrive after a delay."""

    def __init__(self, hosts, rate, burst, delay_s=0.06, beat_s=1.0):
        self.names = [f"h{number}" for number in range(hosts)]
        self.buckets = {
            name: quotas.CustomerBucket(rate, burst, 0.0) for name in self.names
        }
        self.delay_s = delay_s
        self.beat_s = beat_s
        self.cut = set()
        self.down = set()
        self.sent_at = {
            name: beat_s * index / hosts
            for index, name in enumerate(self.names)
        }
        self.mail = []
        self.order = itertools.count()
        self.admitted = []
        self.refused = []

    def tick(self, now):
        while self.mail and self.mail[0][0] <= now:
            _, _, name, usage = heapq.heappop(self.mail)
            for other, bucket in self.buckets.items():
                if other == name or other in self.cut | self.down:
                    continue
                bucket.take_report(name, usage, now)
        for name in self.names:
            if name in self.down:
                continue
            bucket = self.buckets[name]
            bucket.charge_peers(now)
            due = now - self.sent_at[name] >= self.beat_s
            if not due and not bucket.needs_report(len(self.names), now):
                continue
            self.sent_at[name] = now
            usage = bucket.report("club", now)
            if name not in self.cut:
                entry = (now + self.delay_s, next(self.order), name, usage)
                heapq.heappush(self.mail, entry)

    def ask(self, rng, now):
        up = [name for name in self.names if name not in self.down]
        name = rng.choice(up)
        if self.buckets[name].admit(now):
            self.admitted.append(now)
        else:
            self.refused.append(now)


def play(fleet, demand, length_s=20.0, seed=1, events=()):
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
        fleet.ask(rng, now)


def worst_window(times):
    worst = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def bound(rate, burst):
    return (rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK


SIZES = [(25, 254.0, 254.0), (25, 20.0, 20.0), (16, 8.0, 8.0), (3, 60.0, 60.0)]


@pytest.mark.parametrize(("hosts", "rate", "burst"), SIZES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_demand_within_the_limit_is_not_refused(hosts, rate, burst, seed):
    fleet = Fleet(hosts, rate, burst)
    play(fleet, lambda now: rate / 1.6, seed=seed)
    # The bucket starts partly filled, so the first second is left out.
    refused = [at for at in fleet.refused if at > 2.0]
    assert len(refused) <= 0.002 * (len(fleet.admitted) + len(refused)) + 1


@pytest.mark.parametrize(("hosts", "rate", "burst"), SIZES)
@pytest.mark.parametrize("factor", [3.0, 7.5])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_hot_customer_stays_within_its_limit(
    hosts, rate, burst, factor, seed
):
    fleet = Fleet(hosts, rate, burst)
    usual = rate / 1.6

    def demand(now):
        return usual * factor if 5.0 < now < 12.0 else usual

    play(fleet, demand, seed=seed)
    assert worst_window(fleet.admitted) <= bound(rate, burst)
    # It gets most of what it pays for all the while.
    during = [at for at in fleet.admitted if 6.0 < at < 11.0]
    assert len(during) >= 0.7 * rate * 5.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_the_limit_holds_with_hosts_cut_off_and_killed(seed):
    hosts, rate, burst = 25, 254.0, 254.0
    fleet = Fleet(hosts, rate, burst)
    cut = set(fleet.names[:8])
    down = set(fleet.names[8:14])
    events = [
        (6.0, lambda: fleet.cut.update(cut)),
        (7.0, lambda: fleet.down.update(down)),
        (11.0, lambda: fleet.cut.clear()),
    ]

    def demand(now):
        return rate / 1.6 * (4.0 if 5.0 < now < 13.0 else 1.0)

    play(fleet, demand, seed=seed, events=events)
    assert worst_window(fleet.admitted) <= bound(rate, burst)


def test_a_lower_limit_binds_within_a_window():
    fleet = Fleet(25, 254.0, 254.0)

    def lower():
        for bucket in fleet.buckets.values():
            bucket.set_limits(30.0, 30.0, 8.0)

    play(fleet, lambda now: 150.0, events=[(8.0, lower)])
    late = [at for at in fleet.admitted if at > 8.0 + WINDOW_S]
    assert worst_window(late) <= bound(30.0, 30.0)


def test_only_customers_that_asked_lately_are_told():
    known = quotas.Quotas()
    busy = models.Customer("busy", (), rate=10.0, burst=10.0)
    idle = models.Customer("idle", (), rate=10.0, burst=10.0)
    known.admit(idle, 0.0)
    known.admit(busy, 0.0)
    known.admit(busy, 3.0)
    names = [usage.customer for usage in known.report(3.2)]
    assert names == ["idle", "busy"]
    names = [usage.customer for usage in known.report(4.0)]
    assert names == ["busy"]


def test_a_relay_that_starts_anew_charges_other_regions_nothing_old():
    # It hears its region's hosts one after the other, each with all that it
    # ever admitted; other regions were charged for that long ago.
    relay = quotas.CustomerBucket(100.0, 100.0, 0.0)
    receiver = quotas.CustomerBucket(100.0, 100.0, 0.0)
    for number in range(5):
        now = 1.0 + number / 5
        usage = quotas.Usage("club", 500, 1.0)
        relay.take_report(f"h{number}", usage, now)
        receiver.take_region_report("b", relay.region_report("club", now), now)
    receiver.charge_peers(2.0)
    assert receiver.tokens > 0.0

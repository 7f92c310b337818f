"""Exchange of state between the regions of a large fleet through relays."""

import random

import pytest

from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import relays
from tests import steering_cases as cases
from tests import test_quotas

REGIONS = ("a", "b", "c")
ZONES = {f"{region}{number}": region for region in REGIONS for number in "12"}
CUSTOMER = models.Customer("club", (), rate=254.0, burst=254.0)


class Host:
    def __init__(self, number, ids, view, started_ms=1):
        zones = list(ZONES)
        self.number = number
        self.identity = members.Host(
            f"h{number}",
            f"10.0.0.{number}",
            zones[number % len(zones)],
            started_ms,
        )
        self.fleet = members.Members(self.identity, dict(ZONES))
        self.fleet.own_state = members.HostState.READY
        self.quotas = quotas_lib.Quotas(
            self.fleet,
            models.QuotaTolerance(),
            random.Random(number).random,
            0.0,
        )
        self.now = 0.0
        self.placing = cases.make_placement(
            view,
            ids,
            self.identity.id,
            ZONES[self.identity.zone],
            lambda: self.fleet.sharing_hosts(self.now),
        )
        self.limits = self.placing.throttle.limits
        self.outliers = self.placing.health.outliers
        self.relays = relays.Relays(
            self.fleet, self.quotas, self.placing, self.placing.throttle.limits
        )
        self.region = ZONES[self.identity.zone]
        self.summary_at = number / 40


class Fleet:
    """Hosts that exchange reports as the gateway does, without a network."""

    def __init__(self, count=48):
        self.view = cases.make_view()
        configuration = cases.make_configuration(2, customers=[CUSTOMER])
        self.view.accept_configuration(configuration)
        ids = [f"h{number}" for number in range(count)]
        self.hosts = [Host(number, ids, self.view) for number in range(count)]
        self.by_ip = {host.identity.ip: host for host in self.hosts}
        self.down = set()
        self.sent_between_regions = 0
        for host in self.hosts:
            for other in self.hosts:
                host.fleet.discover(other.identity, 0.0)

    def up(self):
        return [host for host in self.hosts if host not in self.down]

    def send_heartbeat(self, sender, now):
        usages = sender.quotas.report(now)
        work = dict(sender.placing.health.in_flight_by_server())
        evidence = sender.outliers.report(now)
        limits = sender.limits.report(now)
        demand = sender.placing.throttle.report_demand(now)
        for host in self.up():
            if host is sender or host.region != sender.region:
                continue
            known = host.fleet.peers.get(sender.identity.id)
            host.fleet.record_state(
                sender.identity, sender.fleet.own_state, now
            )
            if known is None or known.host != sender.identity:
                reply = host.limits.report_all(now)
                sender.limits.apply_reports(reply, now)
            host.limits.apply_reports(limits, now)
            host.placing.throttle.set_peer_demand(
                sender.identity.id, demand, now
            )
            host.placing.set_peer_in_flight(sender.identity.id, work)
            host.outliers.set_peer_report(sender.identity.id, evidence, now)
            host.quotas.apply_reports(
                sender.identity.id, usages, self.view.configuration, now
            )

    def send_summary(self, sender, now):
        own_index = sender.relays.own_index(now)
        if own_index is None:
            return
        summary = sender.relays.summarize(
            members.TableReport(), members.TableReport(), (), {}, now
        )
        for partner in sender.relays.partners(own_index, now):
            self.sent_between_regions += 1
            receiver = self.by_ip[partner.ip]
            if receiver in self.down:
                continue
            for host in self.up():
                if host.region == receiver.region:
                    host.limits.apply_reports(summary.limits, now)
                    configuration = self.view.configuration
                    host.relays.apply_summary(summary, configuration, now)

    def run(self, start, end, on_step=lambda host, now: None):
        """Lets each host send heartbeats and summaries once a second.

        Hosts send at different times within the second.
        """
        step = 0.05
        beat_at = {host: start + n / 40 for n, host in enumerate(self.hosts)}
        now = start
        while now < end:
            for host in self.up():
                host.now = now
                host.placing.throttle.record_run(now)
                on_step(host, now)
                urgent = host.quotas.needs_report(len(self.hosts), now)
                if now >= beat_at[host] or urgent:
                    beat_at[host] = now + 1.0
                    self.send_heartbeat(host, now)
                if now >= host.summary_at:
                    host.summary_at = now + 1.0
                    self.send_summary(host, now)
                host.relays.drop_silent_regions(now)
            now += step


def live(host, now):
    return {member.host.id for member in host.fleet.live(now)}


def test_all_hosts_are_known_with_few_messages_between_regions():
    fleet = Fleet()
    fleet.run(0.0, 6.0)
    for host in fleet.hosts:
        assert len(live(host, 6.0)) == len(fleet.hosts) - 1
    # Each second, two relays per region send to two other regions.
    assert fleet.sent_between_regions <= 6 * len(REGIONS) * 2 * 2 + len(
        fleet.hosts
    )


def test_all_hosts_of_a_region_choose_the_same_relays():
    fleet = Fleet()
    fleet.run(0.0, 4.0)
    relaying = [h for h in fleet.hosts if h.relays.own_index(4.0) is not None]
    assert len(relaying) == relays.RELAYS_PER_REGION * len(REGIONS)


def test_requests_in_flight_in_other_regions_are_counted_once():
    fleet = Fleet()
    fleet.run(0.0, 3.0)
    for host in fleet.hosts:
        host.placing.health.start_attempt("i1", 3.0)
    fleet.run(3.0, 5.5)
    for host in fleet.hosts:
        load = host.placing.load_of(fleet.view.servers["i1"])
        assert load == len(fleet.hosts) / 4


def test_summaries_continue_when_a_relay_is_killed():
    fleet = Fleet()
    fleet.run(0.0, 4.0)
    first = next(h for h in fleet.hosts if h.relays.own_index(4.0) == 0)
    fleet.down.add(first)
    fleet.run(4.0, 5.0)
    busy = next(h for h in fleet.up() if h.region == first.region)
    busy.placing.health.start_attempt("i1", 5.0)
    # The other relay still forwards before the failure is detected.
    fleet.run(5.0, 6.5)
    for host in fleet.up():
        assert host.placing.load_of(fleet.view.servers["i1"]) == 1 / 4
    fleet.run(6.5, 12.0)
    for host in fleet.up():
        assert first.identity.id not in live(host, 12.0)
    relaying = [h for h in fleet.up() if h.relays.own_index(12.0) is not None]
    assert len(relaying) == relays.RELAYS_PER_REGION * len(REGIONS)


def test_requests_in_flight_of_a_partitioned_region_are_dropped():
    fleet = Fleet()
    fleet.run(0.0, 3.0)
    for host in fleet.hosts:
        host.placing.health.start_attempt("i1", 3.0)
    fleet.run(3.0, 5.0)
    cut = [host for host in fleet.hosts if host.region == "c"]
    fleet.down.update(cut)
    fleet.run(5.0, 10.0)
    live_count = len(fleet.hosts) - len(cut)
    for host in fleet.up():
        load = host.placing.load_of(fleet.view.servers["i1"])
        assert load == live_count / 4


@pytest.mark.parametrize("partition_s", [9.0, 45.0])
def test_hosts_of_a_region_are_rediscovered_after_a_partition(partition_s):
    fleet = Fleet()
    fleet.run(0.0, 3.0)
    cut = {host for host in fleet.hosts if host.region == "c"}
    fleet.down.update(cut)
    back_at = 3.0 + partition_s
    fleet.run(3.0, back_at)
    fleet.down.clear()
    fleet.run(back_at, back_at + 6.0)
    for host in fleet.hosts:
        assert len(live(host, back_at + 6.0)) == len(fleet.hosts) - 1


def test_evidence_of_all_regions_ejects_a_server():
    fleet = Fleet()
    fleet.run(0.0, 3.0)
    for region in REGIONS:
        seen = [host for host in fleet.hosts if host.region == region][:2]
        for host in seen:
            host.outliers.record_attempt("i1", True, 3.0)
            host.outliers.record_attempt("i1", True, 3.0)
    fleet.run(3.0, 4.5)
    for host in fleet.hosts:
        host.outliers.update_ejections(fleet.view.by_service, 4.5)
        assert set(host.outliers.ejections) == {"i1"}


def test_a_successful_probe_is_not_reported_indefinitely():
    fleet = Fleet()
    fleet.run(0.0, 3.0)
    fleet.hosts[0].outliers.own_recovered_at["i1"] = 3.0
    until = 3.0 + outliers.RECOVERY_REPORT_S + 4.0
    fleet.run(3.0, until)
    for host in fleet.hosts:
        assert not host.outliers.report(until)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("killed", [False, True])
def test_a_customer_with_excess_demand_stays_within_its_limit(seed, killed):
    fleet = Fleet(96)
    rng = random.Random(seed)
    admitted = []
    relaying = []

    def send_requests(host, now):
        demand = CUSTOMER.rate / 1.6 * (4.0 if 6.0 < now < 14.0 else 1.0)
        if killed and now > 8.0 and not relaying:
            relaying.append(host)
            fleet.down.update(
                h for h in fleet.hosts if h.relays.own_index(now) == 0
            )
        # Callers of killed hosts use the remaining ones.
        expected_requests = demand / len(fleet.up()) * 0.05
        while rng.random() < expected_requests:
            expected_requests -= 1.0
            if host.quotas.admit(CUSTOMER, now):
                admitted.append(now)

    fleet.run(0.0, 18.0, send_requests)
    bound = test_quotas.max_admitted(CUSTOMER.rate, CUSTOMER.burst)
    assert test_quotas.max_in_window(admitted) <= bound
    # The customer still gets most of its rate.
    during = [at for at in admitted if 8.0 < at < 13.0]
    assert len(during) >= 0.7 * CUSTOMER.rate * 5.0

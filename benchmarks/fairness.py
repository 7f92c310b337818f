"""Measures how the core divides limits: fairness, headroom and drains.

Run with `python -m benchmarks.fairness`. Arrivals are Poisson processes; calls
to the table service take a round trip between regions. A request is refused
wrongfully if the hosts refuse it although a single token bucket with the
tenant's whole rate and burst would admit it. This is measured per tenant as
the shortfall of admitted requests compared with that bucket. An entry host
lets a request wait up to WAIT_S for its token or unit before it refuses it.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import sys
from typing import Any

import xxhash

from banyanshed import exceptions
from banyanshed.core import admissions
from banyanshed.core import buckets
from banyanshed.core import leases
from banyanshed.core import lookups
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares
from standins import memory

HOSTS = 25
REGIONS = 3
WARM_S = 40.0
MEASURE_S = 20.0
POLL_S = 0.05
WAIT_S = 0.25
SERVICE = models.ServiceId("reads")
REGION = models.RegionId("here")
SHORT_LEASE_S = 10.0


@dataclasses.dataclass(frozen=True)
class Site:
    """Size of one user's installation.

    Attributes:
        name: Name of the installation.
        round_trip_s: Round-trip time to the table service in another region.
        rates: Rate of each tenant in requests per second; the burst has the
            same number.
        units: Slots of one service in one region.
        answer_s: Mean response time of a backend server in seconds.
    """

    name: str
    round_trip_s: float
    rates: tuple[float, ...]
    units: int
    answer_s: float


SITES = (
    Site("halvorsen", 0.020, (300, 200, 100, 30, 20, 20, 10, 10), 84, 0.1),
    Site("kagit-kanat", 0.055, (200, 120, 80, 20, 20, 10, 10, 10), 42, 0.1),
)


@dataclasses.dataclass(frozen=True)
class Policy:
    """How limits are divided among hosts.

    Attributes:
        name: Name of the policy.
        lease_s: Duration of leases in seconds; None divides statically.
        witnesses: Whether sessions have witnesses.
    """

    name: str
    lease_s: float | None
    witnesses: bool = False


POLICIES = (
    Policy("static", None),
    Policy("long+witness", sessions.LEASE_S, True),
    Policy("short", SHORT_LEASE_S),
    Policy("long", sessions.LEASE_S),
)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What happens during a measurement.

    Attributes:
        name: Name of the scenario.
        skewed: Whether most of a tenant's requests reach one of its hosts.
        skew_moves: Whether the skew moves to another host half-way.
        first_tenant_factor: Factor of the first tenant's demand.
        kill: Whether one host dies at the start of the measurement.
        outage: Whether the store is down during the measurement.
    """

    name: str
    skewed: bool = False
    skew_moves: bool = False
    first_tenant_factor: float = 1.0
    kill: bool = False
    outage: bool = False


SCENARIOS = (
    Scenario("even"),
    Scenario("skewed", skewed=True),
    Scenario("moving", skewed=True, skew_moves=True),
    Scenario("5x", first_tenant_factor=5.0),
    Scenario("killed", kill=True),
    Scenario("outage", outage=True),
    Scenario("killed+outage", kill=True, outage=True),
)
LOAD = 0.7
"""Demand of each tenant as a share of its rate."""


class Simulation:
    """Discrete-event simulation of hosts that share limits."""

    def __init__(
        self,
        site: Site,
        policy: Policy,
        limits: tuple[shares.Limit, ...],
        seed: int = 1,
    ):
        """Starts all hosts, each at a random phase of its polling interval."""
        self.site = site
        self.policy = policy
        self.rng = random.Random(seed)
        self.table = memory.MemoryTable()
        self.start_s = self.table.now_s
        self.now_s = 0.0
        self.down = False
        self.sequence = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], Any]]] = []
        self.host_ids = [models.HostId(f"h{i:02}") for i in range(HOSTS)]
        self.holders: dict[models.HostId, leases.ShareHolder] = {}
        if policy.lease_s is None:
            return
        for name in self.host_ids:
            holder = leases.ShareHolder(
                name,
                sessions.Incarnation("1"),
                random.Random(f"{seed}{name}"),
                policy.lease_s,
            )
            holder.set_limits(limits)
            if policy.witnesses:
                holder.set_peers(self.host_ids)
            self.holders[name] = holder
            self.call_later(
                self.rng.uniform(0, POLL_S), lambda n=name: self.poll(n)
            )

    def call_later(self, delay_s: float, action: Callable[[], Any]) -> None:
        """Schedules an action after a delay in seconds."""
        heapq.heappush(
            self.queue, (self.now_s + delay_s, next(self.sequence), action)
        )

    def run(self, until_s: float) -> None:
        """Runs all events until a time in seconds."""
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
        self.now_s = until_s

    def poll(self, name: models.HostId) -> None:
        """Sends one host's due requests and heartbeats at intervals."""
        if name not in self.holders:
            return
        self.call_later(POLL_S, lambda: self.poll(name))
        self.send_due(name)

    def send_due(self, name: models.HostId) -> None:
        """Sends the requests and heartbeats that are due."""
        holder = self.holders[name]
        request = holder.next_request(self.now_s)
        half_s = self.site.round_trip_s / 2
        if request is not None:
            self.call_later(half_s, lambda: self.serve_request(name, request))
        for peer, heartbeat in holder.heartbeats(self.now_s):
            self.call_later(
                half_s,
                lambda p=peer, b=heartbeat: self.deliver_heartbeat(name, p, b),
            )

    def serve_request(
        self, name: models.HostId, request: leases.Request
    ) -> None:
        """Handles a request at the table service and schedules its response."""
        self.table.now_s = self.start_s + self.now_s
        half_s = self.site.round_trip_s / 2
        if self.down:
            self.deliver_response(
                name, lambda h: h.on_unavailable(self.now_s), half_s
            )
            return
        if isinstance(request, leases.ReadRequest):
            page = self.table.read(request.keys)
            self.deliver_response(
                name, lambda h: h.on_page(self.now_s, page), half_s
            )
            return
        try:
            commit = self.table.transact(request)
        except exceptions.ConditionFailed as error:
            rows = error.rows
            self.deliver_response(
                name, lambda h: h.on_conflict(self.now_s, rows), half_s
            )
            return
        self.deliver_response(
            name, lambda h: h.on_commit(self.now_s, commit), half_s
        )

    def deliver_response(
        self,
        name: models.HostId,
        action: Callable[[leases.ShareHolder], Any],
        delay_s: float,
    ) -> None:
        """Delivers a response to a host after a delay, if it is still alive."""

        def deliver() -> None:
            holder = self.holders.get(name)
            if holder is not None:
                action(holder)
                self.send_due(name)

        self.call_later(delay_s, deliver)

    def deliver_heartbeat(
        self,
        name: models.HostId,
        peer: models.HostId,
        heartbeat: sessions.Heartbeat,
    ) -> None:
        """Delivers a heartbeat to a peer and schedules its answer."""
        witness = self.holders.get(peer)
        if witness is None:
            return
        answer = witness.on_heartbeat(self.now_s, heartbeat)
        self.deliver_response(
            name,
            lambda h: h.on_acknowledgement(self.now_s, answer),
            self.site.round_trip_s / 2,
        )


@dataclasses.dataclass
class Tally:
    """Request counts of a tenant.

    Attributes:
        ideal: Single token bucket with the tenant's whole rate and burst.
        offered: Requests that arrived.
        expected: Requests that the ideal bucket admitted.
        admitted: Requests that the hosts admitted.
    """

    ideal: buckets.TokenBucket
    offered: int = 0
    expected: int = 0
    admitted: int = 0

    @property
    def shortfall(self) -> float:
        """Shortfall of admitted requests as a share of the expected ones."""
        return max(0, self.expected - self.admitted) / max(1, self.expected)

    @property
    def served(self) -> float:
        """Admitted requests as a share of the expected ones, at most 1."""
        return min(1.0, self.admitted / max(1, self.expected))


class TenantRun:
    """Measurement of the tenants' rate limits in one scenario."""

    def __init__(self, site: Site, policy: Policy, scenario: Scenario):
        """Creates the hosts and tenants."""
        self.scenario = scenario
        self.tenants = [
            models.TenantId(f"t{i}") for i in range(len(site.rates))
        ]
        self.rates = dict(zip(self.tenants, site.rates, strict=True))
        limits = tuple(
            shares.RateLimit(
                shares.tenant_key(tenant), models.ConfigVersion(1), rate, rate
            )
            for tenant, rate in self.rates.items()
        )
        self.simulation = Simulation(site, policy, limits)
        self.tallies: dict[models.TenantId, Tally] = {}
        self.static_buckets: dict[tuple[str, str], buckets.TokenBucket] = {}
        self.dead: set[models.HostId] = set()
        self.skew_moved = False
        self.assigned_hosts: dict[models.TenantId, list[models.HostId]] = {}
        for tenant in self.tenants:
            self.reset(tenant)
            self.schedule_arrival(tenant)

    def reset(self, tenant: models.TenantId) -> None:
        """Resets a tenant's counts; its ideal bucket is kept."""
        rate = self.rates[tenant]
        old = self.tallies.get(tenant)
        ideal = buckets.TokenBucket(rate, rate, rate, self.simulation.now_s)
        self.tallies[tenant] = Tally(old.ideal if old else ideal)

    def hosts(self, tenant: models.TenantId) -> list[models.HostId]:
        """Returns the hosts that a tenant's callers are assigned to."""
        if tenant in self.assigned_hosts:
            return self.assigned_hosts[tenant]
        live = [h for h in self.simulation.host_ids if h not in self.dead]
        count = shares.hosts_for_burst(self.rates[tenant], HOSTS)
        live.sort(
            key=lambda h: xxhash.xxh3_64_intdigest(f"{tenant}/{h}".encode())
        )
        self.assigned_hosts[tenant] = live[:count]
        return live[:count]

    def schedule_arrival(self, tenant: models.TenantId) -> None:
        """Schedules the next arrival of a tenant's request."""
        rate = self.rates[tenant] * LOAD
        if tenant == self.tenants[0]:
            rate *= self.scenario.first_tenant_factor
        delay_s = self.simulation.rng.expovariate(rate)
        self.simulation.call_later(delay_s, lambda: self.arrive(tenant))

    def arrive(self, tenant: models.TenantId) -> None:
        """Handles the arrival of a request at one of the tenant's hosts."""
        self.schedule_arrival(tenant)
        hosts = self.hosts(tenant)
        rng = self.simulation.rng
        host = rng.choice(hosts)
        if self.scenario.skewed and rng.random() < 0.6:
            host = hosts[-1 if self.skew_moved else 0]
        tally = self.tallies[tenant]
        tally.offered += 1
        tally.expected += tally.ideal.take(self.simulation.now_s)
        self.request_admission(
            tenant, host, tally, self.simulation.now_s + WAIT_S
        )

    def request_admission(
        self,
        tenant: models.TenantId,
        host: models.HostId,
        tally: Tally,
        until_s: float,
    ) -> None:
        """Requests admission from a host; retries until the wait limit."""
        admission = self.admit(tenant, host)
        if admission.admitted:
            tally.admitted += 1
            return
        wait_s = max(0.001, admission.retry_after_s or WAIT_S)
        if self.simulation.now_s + wait_s <= until_s:
            self.simulation.call_later(
                wait_s,
                lambda: self.request_admission(tenant, host, tally, until_s),
            )

    def admit(
        self, tenant: models.TenantId, host: models.HostId
    ) -> admissions.Admission:
        """Returns the admission decision under the policy."""
        now_s = self.simulation.now_s
        holder = self.simulation.holders.get(host)
        if holder is not None:
            return holder.admit(now_s, tenant)
        bucket = self.static_buckets.get((tenant, host))
        if bucket is None:
            count = shares.hosts_for_burst(self.rates[tenant], HOSTS)
            part = self.rates[tenant] / count
            bucket = buckets.TokenBucket(part, part, part, now_s)
            self.static_buckets[tenant, host] = bucket
        if bucket.take(now_s):
            return admissions.ADMITTED
        return admissions.Admission(False, bucket.wait_s())

    def kill_busiest_host(self) -> None:
        """Kills the first tenant's first host and reassigns its callers."""
        host = self.hosts(self.tenants[0])[0]
        self.simulation.holders.pop(host, None)
        self.dead.add(host)
        self.assigned_hosts.clear()

    def run(self) -> "TenantRun":
        """Runs the scenario and returns this object."""
        simulation = self.simulation
        simulation.run(WARM_S)
        for tenant in self.tenants:
            self.reset(tenant)
        self.base_calls = dataclasses.replace(
            TableCalls(), **count_table_calls(simulation.table)
        )
        if self.scenario.kill:
            self.kill_busiest_host()
        simulation.down = self.scenario.outage
        if self.scenario.skew_moves:
            simulation.run(WARM_S + MEASURE_S / 2)
            self.skew_moved = True
        simulation.run(WARM_S + MEASURE_S)
        return self


@dataclasses.dataclass
class TableCalls:
    """Counts of calls to the table service."""

    reads: int = 0
    commits: int = 0
    conflicts: int = 0


def count_table_calls(table: memory.MemoryTable) -> dict[str, int]:
    """Returns the counts of calls to a table service."""
    return {
        "reads": table.reads,
        "commits": table.commits,
        "conflicts": table.conflicts,
    }


def report_tenants(site: Site, scenario: Scenario, policy: Policy) -> None:
    """Measures one scenario under one policy and prints the results."""
    run = TenantRun(site, policy, scenario).run()
    tallies = run.tallies.values()
    due = sum(tally.expected for tally in tallies)
    shortfall = sum(
        max(0, tally.expected - tally.admitted) for tally in tallies
    )
    worst = min(tally.served for tally in tallies)
    over = max(tally.admitted / max(1, tally.expected) for tally in tallies)
    after = count_table_calls(run.simulation.table)
    per_host_s = HOSTS * MEASURE_S
    print(
        f"{site.name:12} {scenario.name:14} {policy.name:13}"
        f" {100 * shortfall / due:9.3f} {100 * worst:8.2f} {100 * over:8.2f}"
        f" {(after['reads'] - run.base_calls.reads) / per_host_s:7.2f}"
        f" {(after['commits'] - run.base_calls.commits) / per_host_s:7.3f}"
        f" {(after['conflicts'] - run.base_calls.conflicts) / per_host_s:9.3f}"
    )
    sys.stdout.flush()


class RegionRun:
    """Measurement of headroom and drain of a service in one region."""

    def __init__(self, site: Site, cap: int, hosts: int):
        """Creates the hosts, of which callers use the first `hosts`."""
        self.site = site
        self.hosts = hosts
        self.limit = shares.UnitLimit(
            shares.placement_key(SERVICE, REGION),
            models.ConfigVersion(1),
            site.units,
            100,
            cap,
            10.0,
        )
        self.simulation = Simulation(site, POLICIES[1], (self.limit,))
        self.waiting: dict[str, list[float]] = {
            name: [] for name in self.simulation.host_ids
        }
        self.load = 0.3
        self.in_use = 0
        self.peak_use = 0
        self.refused = 0
        self.offered = 0
        self.used_s = 0.0
        self.since_s = 0.0
        self.arrive()

    def record_use(self, change: int) -> None:
        """Updates the integral of units in use over time."""
        now_s = self.simulation.now_s
        self.used_s += self.in_use * (now_s - self.since_s)
        self.since_s = now_s
        self.in_use += change
        self.peak_use = max(self.peak_use, self.in_use)

    def arrive(self) -> None:
        """Handles an arrival at a random host and schedules the next."""
        rate = self.load * self.site.units / self.site.answer_s
        delay_s = self.simulation.rng.expovariate(rate)
        self.simulation.call_later(delay_s, self.arrive)
        host = self.simulation.rng.choice(
            self.simulation.host_ids[: self.hosts]
        )
        self.offered += 1
        if self.start(host):
            return
        self.waiting[host].append(self.simulation.now_s)
        self.simulation.call_later(WAIT_S, lambda: self.give_up(host))

    def start(self, host: models.HostId) -> bool:
        """Starts a request if the host has a free unit; returns whether."""
        holder = self.simulation.holders[host]
        unit = holder.acquire(self.simulation.now_s, SERVICE, REGION)
        if unit is None:
            return False
        self.record_use(1)
        answer_s = self.site.answer_s * self.simulation.rng.uniform(0.5, 1.5)
        self.simulation.call_later(answer_s, lambda: self.end(host, unit))
        return True

    def end(self, host: models.HostId, unit: admissions.Unit) -> None:
        """Ends a request and starts waiting requests."""
        self.record_use(-1)
        self.simulation.holders[host].release(self.simulation.now_s, unit)
        self.serve_waiting(host)

    def serve_waiting(self, host: models.HostId) -> None:
        """Starts waiting requests while there are free units."""
        while self.waiting[host] and self.start(host):
            self.waiting[host].pop(0)

    def give_up(self, host: models.HostId) -> None:
        """Refuses requests that have waited for WAIT_S."""
        self.serve_waiting(host)
        latest_s = self.simulation.now_s - WAIT_S + 1e-9
        while self.waiting[host] and self.waiting[host][0] <= latest_s:
            self.waiting[host].pop(0)
            self.refused += 1

    def measure_period(self, seconds: float) -> tuple[float, float, float]:
        """Returns mean and peak use by the limit, and the share refused."""
        self.record_use(0)
        self.used_s, self.offered, self.refused = 0.0, 0, 0
        self.peak_use = self.in_use
        self.simulation.run(self.simulation.now_s + seconds)
        self.record_use(0)
        return (
            self.used_s / seconds / self.site.units,
            self.peak_use / self.site.units,
            self.refused / max(1, self.offered),
        )


def report_headroom(site: Site, hosts: int) -> None:
    """Prints use and refusals at increasing loads."""
    run = RegionRun(site, max(1, site.units // 6), hosts)
    run.simulation.run(60)
    for percent in (50, 80, 90, 95, 100, 110):
        run.load = percent / 100
        run.measure_period(20)
        used, most, refused = run.measure_period(20)
        print(
            f"{site.name:12} headroom  {hosts:2} hosts  load {percent:3}%  used"
            f" {100 * used:6.1f}%  most {100 * most:6.1f}%"
            f"  refused {100 * refused:7.3f}%"
        )
        sys.stdout.flush()


def report_drain(site: Site) -> None:
    """Drains a region in use; compares with the least time the cap allows."""
    cap = max(1, site.units // 6)
    run = RegionRun(site, cap, HOSTS)
    run.load = 0.8
    run.simulation.run(100)
    used, most, _ = run.measure_period(10)
    started_s = run.simulation.now_s
    drained = dataclasses.replace(
        run.limit, version=models.ConfigVersion(2), weight=0
    )
    for holder in run.simulation.holders.values():
        holder.set_limits((drained,))
    while run.in_use and run.simulation.now_s < started_s + 600:
        run.simulation.run(run.simulation.now_s + 0.1)
    took_s = run.simulation.now_s - started_s
    least_s = most * site.units / cap * shares.SHIFT_INTERVAL_S
    print(
        f"{site.name:12} drain     used {100 * used:.1f}%, most"
        f" {100 * most:.1f}%, took {took_s:.1f} s, least {least_s:.1f} s,"
        f" ratio {took_s / least_s:.3f}"
    )
    sys.stdout.flush()


def main() -> None:
    """Runs all measurements and prints the results."""
    print(
        f"{'site':12} {'scenario':14} {'policy':13} wrongful% worst%"
        "    over%  reads/s writes/s conflicts/s (a host)"
    )
    for site in SITES:
        for scenario in SCENARIOS:
            faulty = scenario.kill or scenario.outage
            for policy in POLICIES if faulty else POLICIES[:2]:
                report_tenants(site, scenario, policy)
    for site in SITES:
        report_headroom(site, HOSTS)
        host_count = REGIONS * lookups.service_hosts(site.units, REGIONS)
        report_headroom(site, host_count)
        report_drain(site)


if __name__ == "__main__":
    main()

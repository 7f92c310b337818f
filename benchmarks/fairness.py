"""Measures the policy of limits on the core: fairness, headroom and drains.

Run as `python -m benchmarks.fairness`. Arrivals are Poisson; answers of the
table service take a round trip between regions. A request is refused
wrongfully when the hosts together refused it although one token bucket with
the tenant's whole rate and burst would have admitted it: per tenant, the
shortfall of admitted requests against that bucket. An entry host lets a
request wait for its token or unit for WAIT_S before it refuses it.
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
    """Sizes of one user's site.

    Attributes:
        name: The site.
        round_trip_s: To the table service, from another region.
        rates: Requests a second of its tenants; the burst is the same.
        units: Slots of one service in one region.
        answer_s: Mean time of a backend server's answer.
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
    """How limits are divided.

    Attributes:
        name: The policy.
        lease_s: Length of leases; None divides statically.
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
        name: The scenario.
        skewed: Most of a tenant's requests come to one of its hosts.
        moves: The skew moves to another host in the middle.
        flood: Factor of the first tenant's demand.
        kill: One host dies at the start of the measurement.
        outage: The store is down while it is measured.
    """

    name: str
    skewed: bool = False
    moves: bool = False
    flood: float = 1.0
    kill: bool = False
    outage: bool = False


SCENARIOS = (
    Scenario("even"),
    Scenario("skewed", skewed=True),
    Scenario("moving", skewed=True, moves=True),
    Scenario("5x", flood=5.0),
    Scenario("killed", kill=True),
    Scenario("outage", outage=True),
    Scenario("killed+outage", kill=True, outage=True),
)
LOAD = 0.7
"""Demand of each tenant, as part of its rate."""


class Simulation:
    """Events in order of time, and hosts that share the limits."""

    def __init__(
        self,
        site: Site,
        policy: Policy,
        limits: tuple[shares.Limit, ...],
        seed: int = 1,
    ):
        """Starts all hosts, at random moments of their schedules."""
        self.site = site
        self.policy = policy
        self.rng = random.Random(seed)
        self.table = memory.MemoryTable()
        self.start_s = self.table.now_s
        self.now_s = 0.0
        self.down = False
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], Any]]] = []
        self.names = [models.HostId(f"h{i:02}") for i in range(HOSTS)]
        self.holders: dict[models.HostId, leases.ShareHolder] = {}
        if policy.lease_s is None:
            return
        for name in self.names:
            holder = leases.ShareHolder(
                name,
                sessions.Incarnation("1"),
                random.Random(f"{seed}{name}"),
                policy.lease_s,
            )
            holder.set_limits(limits)
            if policy.witnesses:
                holder.set_peers(self.names)
            self.holders[name] = holder
            self.at(self.rng.uniform(0, POLL_S), lambda n=name: self.poll(n))

    def at(self, delay_s: float, action: Callable[[], Any]) -> None:
        """Lets something happen after a delay."""
        heapq.heappush(
            self.queue, (self.now_s + delay_s, next(self.order), action)
        )

    def run(self, until_s: float) -> None:
        """Lets everything happen until a time."""
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
        self.now_s = until_s

    def poll(self, name: models.HostId) -> None:
        """Carries the requests and heartbeats of one host, at intervals."""
        if name not in self.holders:
            return
        self.at(POLL_S, lambda: self.poll(name))
        self.carry(name)

    def carry(self, name: models.HostId) -> None:
        """Carries the requests and heartbeats that are due."""
        holder = self.holders[name]
        request = holder.next_request(self.now_s)
        half_s = self.site.round_trip_s / 2
        if request is not None:
            self.at(half_s, lambda: self.serve(name, request))
        for peer, heartbeat in holder.heartbeats(self.now_s):
            self.at(half_s, lambda p=peer, b=heartbeat: self.beat(name, p, b))

    def serve(self, name: models.HostId, request: leases.Request) -> None:
        """Lets the table service handle a request and answer."""
        self.table.now_s = self.start_s + self.now_s
        half_s = self.site.round_trip_s / 2
        if self.down:
            self.answer(name, lambda h: h.on_unavailable(self.now_s), half_s)
            return
        if isinstance(request, leases.ReadRequest):
            page = self.table.read(request.keys)
            self.answer(name, lambda h: h.on_page(self.now_s, page), half_s)
            return
        try:
            commit = self.table.transact(request)
        except exceptions.ConditionFailed as error:
            rows = error.rows
            self.answer(name, lambda h: h.on_conflict(self.now_s, rows), half_s)
            return
        self.answer(name, lambda h: h.on_commit(self.now_s, commit), half_s)

    def answer(
        self,
        name: models.HostId,
        action: Callable[[leases.ShareHolder], Any],
        delay_s: float,
    ) -> None:
        """Hands an answer to a host, if it still lives then."""

        def deliver() -> None:
            holder = self.holders.get(name)
            if holder is not None:
                action(holder)
                self.carry(name)

        self.at(delay_s, deliver)

    def beat(
        self,
        name: models.HostId,
        peer: models.HostId,
        heartbeat: sessions.Heartbeat,
    ) -> None:
        """Lets a peer answer a heartbeat."""
        witness = self.holders.get(peer)
        if witness is None:
            return
        answer = witness.on_heartbeat(self.now_s, heartbeat)
        self.answer(
            name,
            lambda h: h.on_acknowledgement(self.now_s, answer),
            self.site.round_trip_s / 2,
        )


@dataclasses.dataclass
class Tally:
    """What a tenant asked for and got.

    Attributes:
        ideal: The bucket of the whole rate and burst.
        asked: Requests.
        due: Requests that the ideal bucket admitted.
        admitted: Requests that the hosts admitted.
    """

    ideal: buckets.TokenBucket
    asked: int = 0
    due: int = 0
    admitted: int = 0

    @property
    def wrongful(self) -> float:
        """Returns the shortfall as part of what was due."""
        return max(0, self.due - self.admitted) / max(1, self.due)

    @property
    def served(self) -> float:
        """Returns what was admitted as part of what was due."""
        return min(1.0, self.admitted / max(1, self.due))


class TenantRun:
    """One measurement of tenants' rates."""

    def __init__(self, site: Site, policy: Policy, scenario: Scenario):
        """Prepares hosts and tenants."""
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
        self.static: dict[tuple[str, str], buckets.TokenBucket] = {}
        self.dead: set[models.HostId] = set()
        self.moved = False
        self.steered: dict[models.TenantId, list[models.HostId]] = {}
        for tenant in self.tenants:
            self.reset(tenant)
            self.arrive_later(tenant)

    def reset(self, tenant: models.TenantId) -> None:
        """Starts counting anew; the ideal bucket goes on."""
        rate = self.rates[tenant]
        old = self.tallies.get(tenant)
        ideal = buckets.TokenBucket(rate, rate, rate, self.simulation.now_s)
        self.tallies[tenant] = Tally(old.ideal if old else ideal)

    def hosts(self, tenant: models.TenantId) -> list[models.HostId]:
        """Returns the hosts that callers of a tenant are steered to."""
        if tenant in self.steered:
            return self.steered[tenant]
        live = [h for h in self.simulation.names if h not in self.dead]
        count = shares.hosts_for_burst(self.rates[tenant], HOSTS)
        live.sort(
            key=lambda h: xxhash.xxh3_64_intdigest(f"{tenant}/{h}".encode())
        )
        self.steered[tenant] = live[:count]
        return live[:count]

    def arrive_later(self, tenant: models.TenantId) -> None:
        """Lets the next request of a tenant arrive."""
        rate = self.rates[tenant] * LOAD
        if tenant == self.tenants[0]:
            rate *= self.scenario.flood
        delay_s = self.simulation.rng.expovariate(rate)
        self.simulation.at(delay_s, lambda: self.arrive(tenant))

    def arrive(self, tenant: models.TenantId) -> None:
        """Lets a request arrive at one of the tenant's hosts."""
        self.arrive_later(tenant)
        hosts = self.hosts(tenant)
        rng = self.simulation.rng
        host = rng.choice(hosts)
        if self.scenario.skewed and rng.random() < 0.6:
            host = hosts[-1 if self.moved else 0]
        tally = self.tallies[tenant]
        tally.asked += 1
        tally.due += tally.ideal.take(self.simulation.now_s)
        self.ask(tenant, host, tally, self.simulation.now_s + WAIT_S)

    def ask(
        self,
        tenant: models.TenantId,
        host: models.HostId,
        tally: Tally,
        until_s: float,
    ) -> None:
        """Asks a host for admission, again while there is time to wait."""
        admission = self.admit(tenant, host)
        if admission.admitted:
            tally.admitted += 1
            return
        wait_s = max(0.001, admission.retry_after_s or WAIT_S)
        if self.simulation.now_s + wait_s <= until_s:
            self.simulation.at(
                wait_s, lambda: self.ask(tenant, host, tally, until_s)
            )

    def admit(
        self, tenant: models.TenantId, host: models.HostId
    ) -> admissions.Admission:
        """Returns the policy's decision."""
        now_s = self.simulation.now_s
        holder = self.simulation.holders.get(host)
        if holder is not None:
            return holder.admit(now_s, tenant)
        bucket = self.static.get((tenant, host))
        if bucket is None:
            count = shares.hosts_for_burst(self.rates[tenant], HOSTS)
            part = self.rates[tenant] / count
            bucket = buckets.TokenBucket(part, part, part, now_s)
            self.static[tenant, host] = bucket
        if bucket.take(now_s):
            return admissions.ADMITTED
        return admissions.Admission(False, bucket.wait_s())

    def kill(self) -> None:
        """Kills the busiest host; its callers go elsewhere at once."""
        host = self.hosts(self.tenants[0])[0]
        self.simulation.holders.pop(host, None)
        self.dead.add(host)
        self.steered.clear()

    def run(self) -> "TenantRun":
        """Runs the scenario and returns itself."""
        simulation = self.simulation
        simulation.run(WARM_S)
        for tenant in self.tenants:
            self.reset(tenant)
        self.before = dataclasses.replace(Counts(), **count(simulation.table))
        if self.scenario.kill:
            self.kill()
        simulation.down = self.scenario.outage
        if self.scenario.moves:
            simulation.run(WARM_S + MEASURE_S / 2)
            self.moved = True
        simulation.run(WARM_S + MEASURE_S)
        return self


@dataclasses.dataclass
class Counts:
    """Calls to the table service."""

    reads: int = 0
    commits: int = 0
    conflicts: int = 0


def count(table: memory.MemoryTable) -> dict[str, int]:
    """Returns the calls that a table has served."""
    return {
        "reads": table.reads,
        "commits": table.commits,
        "conflicts": table.conflicts,
    }


def report_tenants(site: Site, scenario: Scenario, policy: Policy) -> None:
    """Measures one scenario under one policy and prints a line."""
    run = TenantRun(site, policy, scenario).run()
    tallies = run.tallies.values()
    due = sum(tally.due for tally in tallies)
    short = sum(max(0, tally.due - tally.admitted) for tally in tallies)
    worst = min(tally.served for tally in tallies)
    over = max(tally.admitted / max(1, tally.due) for tally in tallies)
    after = count(run.simulation.table)
    per_host_s = HOSTS * MEASURE_S
    print(
        f"{site.name:12} {scenario.name:14} {policy.name:13}"
        f" {100 * short / due:9.3f} {100 * worst:8.2f} {100 * over:8.2f}"
        f" {(after['reads'] - run.before.reads) / per_host_s:7.2f}"
        f" {(after['commits'] - run.before.commits) / per_host_s:7.3f}"
        f" {(after['conflicts'] - run.before.conflicts) / per_host_s:9.3f}"
    )
    sys.stdout.flush()


class RegionRun:
    """Measures headroom and drain of one service in one region."""

    def __init__(self, site: Site, cap: int, hosts: int):
        """Prepares hosts; callers are steered to some of them."""
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
            name: [] for name in self.simulation.names
        }
        self.load = 0.3
        self.in_use = 0
        self.most = 0
        self.refused = 0
        self.asked = 0
        self.used_s = 0.0
        self.since_s = 0.0
        self.arrive()

    def note(self, change: int) -> None:
        """Counts the use of units over time."""
        now_s = self.simulation.now_s
        self.used_s += self.in_use * (now_s - self.since_s)
        self.since_s = now_s
        self.in_use += change
        self.most = max(self.most, self.in_use)

    def arrive(self) -> None:
        """Lets a request arrive at some host, and the next one later."""
        rate = self.load * self.site.units / self.site.answer_s
        delay_s = self.simulation.rng.expovariate(rate)
        self.simulation.at(delay_s, self.arrive)
        host = self.simulation.rng.choice(self.simulation.names[: self.hosts])
        self.asked += 1
        if self.start(host):
            return
        self.waiting[host].append(self.simulation.now_s)
        self.simulation.at(WAIT_S, lambda: self.give_up(host))

    def start(self, host: models.HostId) -> bool:
        """Starts a request if the host has a free unit."""
        holder = self.simulation.holders[host]
        unit = holder.acquire(self.simulation.now_s, SERVICE, REGION)
        if unit is None:
            return False
        self.note(1)
        answer_s = self.site.answer_s * self.simulation.rng.uniform(0.5, 1.5)
        self.simulation.at(answer_s, lambda: self.end(host, unit))
        return True

    def end(self, host: models.HostId, unit: admissions.Unit) -> None:
        """Ends a request and starts one that waits."""
        self.note(-1)
        self.simulation.holders[host].release(self.simulation.now_s, unit)
        self.serve_waiting(host)

    def serve_waiting(self, host: models.HostId) -> None:
        """Starts waiting requests while there are free units."""
        while self.waiting[host] and self.start(host):
            self.waiting[host].pop(0)

    def give_up(self, host: models.HostId) -> None:
        """Refuses requests that have waited too long."""
        self.serve_waiting(host)
        latest_s = self.simulation.now_s - WAIT_S + 1e-9
        while self.waiting[host] and self.waiting[host][0] <= latest_s:
            self.waiting[host].pop(0)
            self.refused += 1

    def period(self, seconds: float) -> tuple[float, float, float]:
        """Returns mean use and most use by the limit, and part refused."""
        self.note(0)
        self.used_s, self.asked, self.refused = 0.0, 0, 0
        self.most = self.in_use
        self.simulation.run(self.simulation.now_s + seconds)
        self.note(0)
        return (
            self.used_s / seconds / self.site.units,
            self.most / self.site.units,
            self.refused / max(1, self.asked),
        )


def report_headroom(site: Site, hosts: int) -> None:
    """Raises the load step by step and prints use and refusals."""
    run = RegionRun(site, max(1, site.units // 6), hosts)
    run.simulation.run(60)
    for percent in (50, 80, 90, 95, 100, 110):
        run.load = percent / 100
        run.period(20)
        used, most, refused = run.period(20)
        print(
            f"{site.name:12} headroom  {hosts:2} hosts  load {percent:3}%  used"
            f" {100 * used:6.1f}%  most {100 * most:6.1f}%"
            f"  refused {100 * refused:7.3f}%"
        )
        sys.stdout.flush()


def report_drain(site: Site) -> None:
    """Drains a region in use and compares with the least its cap allows."""
    cap = max(1, site.units // 6)
    run = RegionRun(site, cap, HOSTS)
    run.load = 0.8
    run.simulation.run(100)
    used, most, _ = run.period(10)
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
    """Prints all measurements."""
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
        steered = REGIONS * lookups.service_hosts(site.units, REGIONS)
        report_headroom(site, steered)
        report_drain(site)


if __name__ == "__main__":
    main()

"""Compares the selection of backend servers with simpler policies.

Simulates hosts of one region that choose concurrently among its backend
servers. Each host holds an equal share of the region's units, and requests
arrive at hosts with a free unit. Two shares are measured: attempts shed by a
backend server whose slots are all taken by choices of other hosts, and
requests shed three times. Reported loads are up to one probe interval old.
"independent" is the product's policy without knowledge of the hosts' units.
In "outdated", half of the hosts know an earlier division of the units, from
before every second host gave one unit to its neighbour.

Run with `python -m benchmarks.choices`.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import time

from banyanshed.core import backends
from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import rows

SERVICE = models.ServiceId("board")
REGION = models.RegionId("sask")
PROBE_INTERVAL_S = 2.0
RUN_S = 20.0
COST_ROUNDS = 20_000
SHED = requests.AttemptFailure(models.Ran.NO, "backend_refused")
ANSWER = requests.Answer(200, {}, b"")


@dataclasses.dataclass(frozen=True)
class Site:
    """Size of one region.

    Attributes:
        name: Name shown in the results.
        hosts: Number of hosts.
        slots: Concurrent requests of each backend server.
        work_s: Mean processing time of a request in seconds.
    """

    name: str
    hosts: int
    slots: tuple[int, ...]
    work_s: float


POLICIES = (
    "least reported",
    "round robin",
    "independent",
    "outdated",
    "banyanshed",
)
SITES = (
    Site("halvorsen, one region", 8, (4, 5, 7, 8, 9), 0.05),
    Site("kagit-kanat, one region", 8, (3, 4, 4, 3), 0.05),
    Site("halvorsen, all workers", 25, (4, 5, 6, 7, 8, 9, 9) * 2, 0.05),
)


def make_host(site: Site, number: int) -> backends.BackendRegistry:
    """Returns a host that knows the site's backend servers."""
    registry = backends.BackendRegistry(
        models.HostId(f"host{number}"), random.Random(number)
    )
    registry.set_host_count(site.hosts)
    registry.configure(
        0.0,
        [
            rows.BackendRow(
                service=SERVICE,
                backend=f"b{index}",
                region=REGION,
                zone="a",
                address=f"127.0.0.1:{index + 1}",
                slots=slots,
            )
            for index, slots in enumerate(site.slots)
        ],
        1,
    )
    return registry


def divide_units(site: Site) -> dict[models.HostId, int]:
    """Returns each host's units, an equal share of all slots."""
    part, rest = divmod(sum(site.slots), site.hosts)
    return {
        models.HostId(f"host{number}"): part + (number < rest)
        for number in range(site.hosts)
    }


def move_units(
    units: dict[models.HostId, int],
) -> dict[models.HostId, int]:
    """Returns the units with one moved from each even host to the next."""
    moved = dict(units)
    names = list(units)
    for source, target in zip(names[::2], names[1::2], strict=False):
        moved[source] -= 1
        moved[target] += 1
    return moved


class Simulation:
    """Discrete-event simulation at a load given as a share of all slots.

    Attributes:
        arrived: Requests that found a host with a free unit.
        shed: Attempts at a backend server without a free slot.
        exhausted: Requests that found no free slot in up to three attempts.
    """

    def __init__(self, site: Site, share: float, policy: str):
        """Creates an idle region."""
        self.site = site
        self.policy = policy
        self.rng = random.Random(7)
        self.hosts = [make_host(site, n) for n in range(site.hosts)]
        self.slots = {f"b{i}": slots for i, slots in enumerate(site.slots)}
        self.busy = dict.fromkeys(self.slots, 0)
        self.reported = dict.fromkeys(self.slots, 0)
        self.units = divide_units(site)
        if policy in ("banyanshed", "outdated"):
            for host in self.hosts:
                host.set_units(SERVICE, REGION, self.units)
        if policy == "outdated":
            for host in self.hosts[::2]:
                host.set_units(SERVICE, REGION, move_units(self.units))
        self.rate = share * sum(site.slots) / site.work_s
        self.turns = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.arrived = self.shed = self.exhausted = 0

    def call_at(self, when_s: float, action: Callable[[float], None]) -> None:
        """Schedules an action at a time in seconds."""
        heapq.heappush(self.events, (when_s, next(self.sequence), action))

    def run(self) -> None:
        """Runs for RUN_S seconds of simulated time."""
        self.call_at(0.0, self.arrive)
        for number in range(self.site.hosts):
            self.call_at(
                PROBE_INTERVAL_S * self.rng.random(), self.probe(number)
            )
        while self.events[0][0] < RUN_S:
            now_s, _, action = heapq.heappop(self.events)
            action(now_s)

    def probe(self, number: int) -> Callable[[float], None]:
        """Returns an action that probes all backend servers for a host."""

        def action(now_s: float) -> None:
            self.call_at(now_s + PROBE_INTERVAL_S, action)
            for name, slots in self.slots.items():
                report = reports.LoadReported(
                    SERVICE,
                    models.BackendId(name),
                    self.busy[name],
                    slots,
                    now_s,
                )
                self.hosts[number].handle(report, now_s)
            self.reported = dict(self.busy)

        return action

    def arrive(self, now_s: float) -> None:
        """Handles the arrival of a request at a random host."""
        self.call_at(now_s + self.rng.expovariate(self.rate), self.arrive)
        free = [host for host in self.hosts if self.has_unit(host)]
        if not free:
            return
        self.arrived += 1
        host = self.rng.choice(free)
        tried: set[models.BackendId] = set()
        for _ in range(3):
            attempt = self.choose(host, now_s, tried)
            if attempt is None:
                break
            name = attempt.target.backend
            if self.busy[name] < self.slots[name]:
                self.start(host, attempt, now_s)
                return
            self.shed += 1
            tried.add(name)
            host.handle(reports.AttemptFinished(attempt, SHED), now_s)
        self.exhausted += 1

    def has_unit(self, host: backends.BackendRegistry) -> bool:
        """Returns whether a host has a free unit."""
        in_flight = sum(server.in_flight for server in host.registered.values())
        return in_flight < self.units[host.host]

    def start(
        self,
        host: backends.BackendRegistry,
        attempt: reports.Attempt,
        now_s: float,
    ) -> None:
        """Starts a request at a backend server."""
        name = attempt.target.backend
        self.busy[name] += 1

        def end(end_s: float) -> None:
            self.busy[name] -= 1
            host.handle(reports.AttemptFinished(attempt, ANSWER), end_s)

        work_s = self.rng.expovariate(1 / self.site.work_s)
        self.call_at(now_s + work_s, end)

    def choose(
        self,
        host: backends.BackendRegistry,
        now_s: float,
        tried: set[models.BackendId],
    ) -> reports.Attempt | None:
        """Selects a backend server by the measured policy."""
        if self.policy in ("banyanshed", "outdated", "independent"):
            return host.choose(now_s, SERVICE, REGION, tried)
        names = [name for name in self.slots if name not in tried]
        if self.policy == "round robin":
            name = names[next(self.turns) % len(names)]
        else:
            name = min(names, key=lambda n: self.reported[n] / self.slots[n])
        others = {models.BackendId(n) for n in self.slots if n != name}
        return host.choose(now_s, SERVICE, REGION, others)


def measure_cost() -> None:
    """Prints the processor time of a choice and the end of its attempt."""
    host = make_host(SITES[2], 1)
    start_s = time.process_time()
    for number in range(COST_ROUNDS):
        now_s = number / 1000
        attempt = host.choose(now_s, SERVICE, REGION)
        if attempt is not None:
            host.handle(reports.AttemptFinished(attempt, ANSWER), now_s)
    cost_us = (time.process_time() - start_s) / COST_ROUNDS * 1e6
    print(f"choice among 14 and its end: {cost_us:.1f} us")


def run() -> None:
    """Prints shed and exhausted requests by site, load and policy."""
    measure_cost()
    for site in SITES:
        for share in (0.7, 0.9):
            for policy in POLICIES:
                simulation = Simulation(site, share, policy)
                simulation.run()
                print(
                    f"{site.name:<24} load {share:.0%}  {policy:<15} "
                    f"shed {simulation.shed / simulation.arrived:7.2%}  "
                    f"lost {simulation.exhausted / simulation.arrived:7.2%}"
                )


if __name__ == "__main__":
    run()

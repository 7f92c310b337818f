"""Discrete-event simulation of hosts, backend servers and callers.

Hosts decide with the product's steering package and exchange the content of
its heartbeats; these messages are delayed and may be lost.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

from banyanshed.lab import policies
from banyanshed.lab import requests
from banyanshed.lab import scenarios
from banyanshed.lab import servers as servers_lib
from banyanshed.steering import cold
from banyanshed.steering import health
from banyanshed.steering import limits
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import placement
from banyanshed.steering import throttling
from banyanshed.steering import views
from banyanshed.steering import warmth

SERVICE = models.ServiceName("service")
ZONES = {
    models.ZoneName(zone): models.RegionName(zone[0])
    for zone in ("a1", "a2", "b1", "b2")
}
ROUTE_NAME = models.RouteName("route")
_SETUP_AT_S = -10.0


class Host:
    """A simulated host: its view of the servers and its placement."""

    def __init__(
        self,
        number: int,
        variant: scenarios.Variant,
        entries: list[models.Registration],
        route: models.Route,
        hosts: list[models.HostId],
        seed: int,
    ):
        """Creates a host that knows all servers from the start."""
        self.id = make_host_id(number)
        regions = sorted(set(ZONES.values()))
        self.region = regions[number % len(regions)]
        view = views.View(dict(ZONES))
        services = [models.Service(SERVICE, 3.0, 8.0)]
        view.accept_configuration(
            models.Configuration(1, routes=[route], services=services)
        )
        for entry in entries:
            view.put_server(entry, _SETUP_AT_S, 10**6)
        rng = random.Random(seed * 1000 + number)
        self.placement = placement.Placement(
            self.region,
            view,
            health.Health(outliers.Outliers(self.id, lambda: hosts)),
            cold.ColdRateLimiter(self.id, view, lambda: hosts),
            warmth.Warmth(),
            throttling.ServerThrottle(
                self.id,
                view,
                limits.ServerLimits(view),
                lambda: dict.fromkeys(hosts, self.region),
            ),
            rng.random,
        )
        self.chooser = policies.Chooser(variant.policy, self.placement, rng)


class Simulation:
    """Simulates a scenario and counts outcomes.

    All counters are by the second in which the caller first sent the request.

    Attributes:
        sent: Requests sent.
        in_time: Answers within the latency objective.
        late: Later answers.
        refused: Requests whose last try by the caller was rejected.
        failed: Requests without an answer.
        timed_out: Attempts that reached their deadline at a server.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        variant: scenarios.Variant,
        seed: int,
    ):
        """Creates the hosts and servers."""
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.route = models.Route(
            ROUTE_NAME,
            "host",
            "/",
            (models.RouteTarget(SERVICE, 1.0),),
            True,
            scenario.timeout_s,
            scenario.objective_s,
            scenario.attempts,
        )
        entries = _make_entries(scenario)
        self.servers = {
            entry.id: servers_lib.Server(scenario, self.rng)
            for entry in entries
        }
        ids = [make_host_id(number) for number in range(scenario.hosts)]
        self.hosts = [
            Host(number, variant, entries, self.route, ids, seed)
            for number in range(scenario.hosts)
        ]
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.sequence = itertools.count()
        self.sent: collections.Counter[int] = collections.Counter()
        self.in_time: collections.Counter[int] = collections.Counter()
        self.late: collections.Counter[int] = collections.Counter()
        self.refused: collections.Counter[int] = collections.Counter()
        self.failed: collections.Counter[int] = collections.Counter()
        self.timed_out: collections.Counter[int] = collections.Counter()

    def run(self) -> None:
        """Runs the whole scenario."""
        self._schedule_requests()
        self._schedule_faults()
        for host in self.hosts:
            at = self.rng.random() * self.scenario.beat_s
            self._call_at(at, self._send_heartbeat, host)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def add_request(self, at: float, request: requests.Request) -> None:
        """Adds a request to the load at a time in seconds."""
        self._call_at(at, self._submit, request)

    def share(
        self, counter: collections.Counter[int], start_s: int, end_s: int
    ) -> float:
        """Returns a counter as a share of the requests of some seconds."""
        seconds = range(start_s, end_s)
        asked = sum(self.sent[second] for second in seconds)
        return sum(counter[second] for second in seconds) / max(1, asked)

    def _call_at(
        self, when: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(
            self.events, (when, next(self.sequence), action, arguments)
        )

    def _schedule_requests(self) -> None:
        now = 0.0
        while now < self.scenario.length_s:
            now += self.rng.expovariate(self.scenario.rate)
            host = self.rng.randrange(len(self.hosts))
            # Callers of each region ask for a set of objects of their own.
            number = self.rng.randrange(max(1, self.scenario.objects // 2))
            key = f"{self.hosts[host].region}{number}"
            self.sent[int(now)] += 1
            self._call_at(now, self._submit, requests.Request(now, key, host))

    def _schedule_faults(self) -> None:
        names = sorted(self.servers)
        for fault in self.scenario.faults:
            affected = self.rng.sample(names, round(fault.share * len(names)))
            self._call_at(fault.at_s, self._set_fault, affected, fault)
            self._call_at(
                fault.at_s + fault.for_s, self._set_fault, affected, None
            )

    def _set_fault(
        self,
        _: float,
        names: list[models.ServerId],
        fault: scenarios.Fault | None,
    ) -> None:
        for name in names:
            self.servers[name].fault = fault

    def _send_heartbeat(self, now: float, sender: Host) -> None:
        placing = sender.placement
        work = dict(placing.health.in_flight_by_server())
        pairs = placing.warmth.take_unsent(warmth.Audience.ALL)
        evidence = placing.health.outliers.report(now)
        for host in self.hosts:
            if host is sender or self.rng.random() < self.scenario.beat_lost:
                continue
            at = now + self.scenario.beat_delay_s
            self._call_at(
                at, self._receive_heartbeat, host, sender, work, pairs, evidence
            )
        if now < self.scenario.length_s:
            self._call_at(
                now + self.scenario.beat_s, self._send_heartbeat, sender
            )

    def _receive_heartbeat(
        self,
        now: float,
        host: Host,
        sender: Host,
        work: dict[models.ServerId, int],
        pairs: list[int],
        evidence: dict[models.ServerId, outliers.Evidence],
    ) -> None:
        host.placement.set_peer_in_flight(sender.id, work)
        host.placement.warmth.add_pairs(pairs, now)
        host.placement.health.outliers.set_peer_report(sender.id, evidence, now)

    def _submit(self, now: float, request: requests.Request) -> None:
        request.caller_attempts += 1
        request.tried_servers = []
        request.expires_at = now + self.scenario.timeout_s
        self._dispatch(now, request)

    def _dispatch(self, now: float, request: requests.Request) -> None:
        attempts_exhausted = (
            len(request.tried_servers) >= self.scenario.attempts
        )
        if attempts_exhausted or request.expires_at <= now:
            self.failed[int(request.sent_at)] += 1
            return
        host = self.hosts[request.host]
        demand = placement.PlacementRequest(
            self.route,
            SERVICE,
            request.object_key,
            (),
            0,
            request.tried_servers,
            request.expires_at - now,
        )
        choice = host.chooser.choose(demand, now)
        if isinstance(choice, placement.Rejection):
            self._reject(now, request, choice.retry_after_s)
            return
        name = choice.server.registration.id
        request.tried_servers.append(name)
        number = host.placement.health.start_attempt(
            name, now, choice.expected_s
        )
        self._deliver(now, requests.Attempt(request, choice, number, now))

    def _reject(
        self, now: float, request: requests.Request, retry_after_s: float
    ) -> None:
        if request.tried_servers:
            self.failed[int(request.sent_at)] += 1
            return
        if request.caller_attempts >= self.scenario.caller_tries:
            self.refused[int(request.sent_at)] += 1
            return
        self._call_at(now + retry_after_s, self._submit, request)

    def _deliver(self, now: float, attempt: requests.Attempt) -> None:
        server = self._server_of(attempt)
        if server.has_fault(scenarios.FaultKind.DOWN):
            self._end_attempt(now, attempt, health.Outcome.UNREACHABLE)
            return
        if server.running < self.scenario.slots:
            self._start_work(now, attempt, server)
            return
        if len(server.queue) >= self.scenario.queue:
            self._end_attempt(now, attempt, health.Outcome.REJECTED)
            return
        server.queue.append(attempt)
        self._call_at(
            attempt.request.expires_at, self._expire_queued, attempt, server
        )

    def _expire_queued(
        self, now: float, attempt: requests.Attempt, server: servers_lib.Server
    ) -> None:
        """Drops a queued attempt whose caller has stopped waiting."""
        if attempt not in server.queue:
            return
        server.queue.remove(attempt)
        self.timed_out[int(attempt.request.sent_at)] += 1
        self._end_attempt(now, attempt, health.Outcome.TIMED_OUT)

    def _start_work(
        self, now: float, attempt: requests.Attempt, server: servers_lib.Server
    ) -> None:
        ends_at = server.start(attempt, now)
        self._call_at(ends_at, self._finish_work, attempt, server)

    def _finish_work(
        self, now: float, attempt: requests.Attempt, server: servers_lib.Server
    ) -> None:
        server.finish(attempt)
        if now >= attempt.request.expires_at:
            self.timed_out[int(attempt.request.sent_at)] += 1
        self._end_attempt(now, attempt, attempt.outcome)
        while server.queue and server.running < self.scenario.slots:
            self._start_work(now, server.queue.popleft(), server)

    def _end_attempt(
        self, now: float, attempt: requests.Attempt, outcome: health.Outcome
    ) -> None:
        request, choice = attempt.request, attempt.choice
        placing = self.hosts[request.host].placement
        name = choice.server.registration.id
        placing.health.finish_attempt(
            name, SERVICE, attempt.number, outcome, now
        )
        if outcome is not health.Outcome.SUCCESS:
            self._dispatch(now, request)
            return
        on_time = now - request.sent_at <= self.scenario.objective_s
        counter = self.in_time if on_time else self.late
        counter[int(request.sent_at)] += 1
        placing.warmth.record_answer(
            self.route,
            choice.pair,
            choice.load < placement.FULL_LOAD,
            now - attempt.started_at,
            now,
        )

    def _server_of(self, attempt: requests.Attempt) -> servers_lib.Server:
        return self.servers[attempt.choice.server.registration.id]


def make_host_id(number: int) -> models.HostId:
    """Returns the id of a simulated host."""
    return models.HostId(f"h{number}")


def _make_entries(
    scenario: scenarios.Scenario,
) -> list[models.Registration]:
    zones = list(ZONES)
    return [
        models.Registration(
            models.ServerId(f"i{number}"),
            ("10.0.0.1", number + 1),
            SERVICE,
            zones[number % len(zones)],
            scenario.slots,
            state=models.ServerState.READY,
            cold_left_s=0.0,
            started_ms=1000,
        )
        for number in range(scenario.servers)
    ]

"""Places requests on backend servers by object affinity and load.

Each object has an owner among the servers of its service: the first server in
a weighted rendezvous order. Weights are the servers' slots and the locality
weights of their regions, so that all hosts of a region compute the same order.
A warm server, one that has handled the object recently, is several times
faster. A request therefore waits for its owner, rather than warm another
server, as long as it is expected to finish in time. It overflows to a server
that is not warm only if that one has slots to spare. A request that no server
is expected to finish in time is rejected immediately: work that is cut off at
its deadline occupies slots without a result (load shedding).

A saturated server accepts only few requests for objects that are not warm.
Such requests occupy slots several times as long and displace warm objects,
until none of the requested objects is warm.
"""

from collections.abc import Callable, Collection, Mapping
import dataclasses

from banyanshed.steering import cold
from banyanshed.steering import health as health_lib
from banyanshed.steering import locality
from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import saturation as saturation_lib
from banyanshed.steering import throttling
from banyanshed.steering import views
from banyanshed.steering import warmth as warmth_lib

# Load (requests per slot, running and waiting) from which a server has no
# free slot; from then on an owner is compared with other warm servers.
FULL_LOAD = 1.0
# Load of an owner from which its requests may go to servers that are not warm.
OVERFLOW_LOAD = 2.3
# Highest load at which a server has slots to spare for objects that are not
# warm there.
SPARE_LOAD = 0.5
# Highest load at which a saturated server accepts any request.
IDLE_LOAD = 0.25
# Share of requests for objects that are not warm which a server accepts all
# the same: an owner that is expected to miss the latency objective although
# another server may be warm, and a server that is saturated with requests for
# objects that are warm there.
LEARN_SHARE = 0.1
# After this many servers without a token, a request goes to a server with a
# limit only if its object is warm there.
MAX_LIMITED_SKIPS = 3
# Maximum number of servers that are compared for a request.
MAX_CANDIDATES = 24
# Share of the remaining time that the expected time to an answer may take,
# and the fraction by which each lower priority reduces it.
FINISH_SHARE = 0.85
PRIORITY_STEP = 0.05
# The queue of a saturated server delays every answer and speeds up none, so
# only requests expected to end within this multiple of their latency objective
# are added to it.
SATURATED_MAX_OBJECTIVES = 1.75
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 2.0
# Load from which hosts report their requests in flight more often.
BUSY_LOAD = 0.6
MAX_CACHED_ORDERS = 4096
# Number of rendezvous orders over which requests without an object spread.
SPREAD_ORDERS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """No server can accept the request now.

    Attributes:
        reason: Stable code for logs and metrics.
        retry_after_s: Seconds after which to retry.
        inputs: Values that led to the decision, for logs.
    """

    reason: str
    retry_after_s: float
    inputs: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a request that decide where it runs.

    Attributes:
        route: Its route.
        service: Service that must run it.
        object_key: Key of its object; equal keys have the same owner. None
            when no server is faster with the request than another.
        home_regions: Regions that may serve it; empty for all.
        priority: Its priority; 0 is the most urgent.
        tried: Servers that were already tried.
        remaining_s: Seconds until nobody waits for the answer.
    """

    route: models.Route
    service: models.ServiceName
    object_key: str | None
    home_regions: Collection[models.RegionName]
    priority: int
    tried: Collection[models.ServerId]
    remaining_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A server for a request, with its load and the expected latency.

    Attributes:
        server: The server.
        pair: Hash of the object and the server; None without an object.
        warm: Whether the object is warm at the server, or there is none.
        load: Requests of all hosts in flight at the server, per slot.
        expected_s: Expected seconds to the answer, including time in the
            server's queue.
        token_taken_at: When a token of the server's limit was taken; None if
            the server named no limit.
        skipped: Servers before it in the object's order that have a limit and
            no token.
    """

    server: views.Server
    pair: int | None
    warm: bool
    load: float
    expected_s: float
    token_taken_at: float | None = None
    skipped: tuple[models.ServerId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Found:
    """The servers that may serve a request, in its object's order.

    Attributes:
        choices: Servers that may be used at once.
        cold: Cold servers, whose rate is limited.
        limited: Servers that named a limit and have no token on this host, or
            would learn an object too many.
    """

    choices: list[Choice]
    cold: list[views.Server]
    limited: list[views.Server]


class Placement:
    """Chooses backend servers for the requests of one host.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        region: models.RegionName,
        view: views.View,
        health: health_lib.Health,
        cold_limiter: cold.ColdRateLimiter,
        warmth: warmth_lib.Warmth,
        throttle: throttling.ServerThrottle,
        random: Callable[[], float],
        caps: throttling.ServerThrottle | None = None,
    ):
        """Sets up the placement without any reports of peers.

        Args:
            region: Region of this host's callers.
            view: Configuration and servers known to this host.
            health: Health of the servers.
            cold_limiter: Rate limit for cold servers.
            warmth: Warm objects and expected service times.
            throttle: Rate limit for servers that name one.
            random: Returns random numbers from 0 up to 1.
            caps: Rate limit for all servers while this host is partitioned;
                None without one.
        """
        self.region = region
        self.view = view
        self.health = health
        self.cold_limiter = cold_limiter
        self.warmth = warmth
        self.throttle = throttle
        self.caps = caps or throttling.make_unlimited(view)
        self.random = random
        self.peer_in_flight: dict[
            models.HostId, dict[models.ServerId, int]
        ] = {}
        self.peer_in_flight_totals: dict[models.ServerId, int] = {}
        self.was_busy = False
        self.saturation = saturation_lib.Saturation()
        self.orders: dict[
            tuple[models.ServiceName, str], list[views.Server]
        ] = {}
        self.orders_version = -1
        self.weights: dict[
            models.ServiceName, dict[models.ZoneName, float]
        ] = {}

    def set_peer_in_flight(
        self, host: models.HostId, in_flight: dict[models.ServerId, int]
    ) -> None:
        """Replaces the number of a peer's requests in flight, by server."""
        for server, count in self.peer_in_flight.pop(host, {}).items():
            self.peer_in_flight_totals[server] -= count
        if in_flight:
            self.peer_in_flight[host] = dict(in_flight)
        for server, count in in_flight.items():
            known = self.peer_in_flight_totals.get(server, 0)
            self.peer_in_flight_totals[server] = known + count

    def drop_peer(self, host: models.HostId) -> None:
        """Drops a peer's requests in flight and its evidence on servers."""
        self.set_peer_in_flight(host, {})
        self.health.outliers.drop_peer(host)

    def choose(
        self, request: PlacementRequest, now: float
    ) -> Choice | Rejection:
        """Returns the server for a request, or the reason for its rejection."""
        self._update_health(now)
        found = self._find_candidates(request, now)
        chosen = self._choose_best(found.choices, request.route.objective_s)
        share = FINISH_SHARE * (1.0 - PRIORITY_STEP * min(request.priority, 5))
        limit_s = request.remaining_s * share
        if chosen is not None:
            self.was_busy |= chosen.load >= BUSY_LOAD
            if self._should_admit(chosen, request, limit_s, now):
                return self._accept(chosen, found, now)
        for server in found.cold:
            if self.cold_limiter.admit(server, now):
                choice = self._estimate(request, server, now)
                return self._accept(choice, found, now)
        if chosen is None:
            return self._reject_without_candidate(request, found, now)
        wait_s = _clamp_retry_after(chosen.expected_s - limit_s)
        best = chosen.server.registration.id
        inputs = (
            f"best={best} load={chosen.load:.2f} warm={chosen.warm}"
            f" saturated={self.saturation.is_saturated(best)}"
            f" expected_ms={chosen.expected_s * 1000:.0f}"
            f" left_ms={request.remaining_s * 1000:.0f}"
            f" limited={len(found.limited)}"
        )
        return Rejection("overloaded", wait_s, inputs)

    def may_send(self, choice: Choice, now: float) -> bool:
        """Returns whether a chosen server may still get the request."""
        server = choice.server
        return self.throttle.is_valid(server, choice.token_taken_at, now)

    def report_demand(self, now: float) -> dict[models.ServerId, float]:
        """Returns this host's demand for servers with a limit, for peers."""
        demand = self.caps.report_demand(now)
        return demand | self.throttle.report_demand(now)

    def region_demand(
        self, hosts: Collection[models.HostId], now: float
    ) -> dict[models.ServerId, float]:
        """Returns the demand of this host and the given peers together."""
        demand = self.caps.region_report(hosts, now)
        return demand | self.throttle.region_report(hosts, now)

    def set_peer_demand(
        self,
        host: models.HostId,
        rates: Mapping[models.ServerId, float],
        now: float,
    ) -> None:
        """Replaces the demand that a peer reported."""
        self.throttle.set_peer_demand(host, rates, now)
        self.caps.set_peer_demand(host, rates, now)

    def set_region_demand(
        self,
        region: models.RegionName,
        rates: Mapping[models.ServerId, float],
        now: float,
    ) -> None:
        """Replaces the demand that a relay reported for its region."""
        self.throttle.set_region_demand(region, rates, now)
        self.caps.set_region_demand(region, rates, now)

    def _accept(self, choice: Choice, found: _Found, now: float) -> Choice:
        """Takes a token of the chosen server's limit, if it has one."""
        taken = self.throttle.take(choice.server, now)
        self.caps.take(choice.server, now)
        skipped = tuple(server.registration.id for server in found.limited)
        if not taken and not skipped:
            return choice
        return dataclasses.replace(
            choice, token_taken_at=now if taken else None, skipped=skipped
        )

    def _reject_without_candidate(
        self, request: PlacementRequest, found: _Found, now: float
    ) -> Rejection:
        """Returns the rejection when no server but cold ones may be used."""
        known = len(self.view.by_service.get(request.service, ()))
        inputs = (
            f"known={known} cold={len(found.cold)} limited={len(found.limited)}"
        )
        if found.limited:
            # The first ones have no token; later ones may only be unsuitable.
            wait_s = min(
                self._limited_s(server, now)
                for server in found.limited[:MAX_LIMITED_SKIPS]
            )
            wait_s = _clamp_retry_after(wait_s)
            return Rejection("servers_limited", wait_s, inputs)
        reason = "servers_cold" if found.cold else "no_server"
        return Rejection(reason, MAX_RETRY_AFTER_S / 4.0, inputs)

    def _has_tokens(
        self, server: views.Server, found: _Found, now: float
    ) -> bool:
        """Returns whether this host may send a request to a server now."""
        # Caps limit all servers: only the first in an object's order is wanted.
        is_first = not found.limited and not found.choices
        if not self.caps.has_token(server, now, counts=is_first):
            return False
        return self.throttle.has_token(server, now)

    def _limited_s(self, server: views.Server, now: float) -> float:
        """Returns the seconds until this host may send to a server."""
        return max(
            self.throttle.retry_after_s(server, now),
            self.caps.retry_after_s(server, now),
        )

    def _update_health(self, now: float) -> None:
        self.health.count_slow_attempts(now)
        self.health.outliers.update_ejections(self.view.by_service, now)

    def _should_admit(
        self,
        choice: Choice,
        request: PlacementRequest,
        limit_s: float,
        now: float,
    ) -> bool:
        """Returns whether to send a request to a server, queued if it is full.

        Args:
            choice: The best server for the request.
            request: The request.
            limit_s: Longest acceptable time to the answer, in seconds.
            now: Current time in seconds.
        """
        server = choice.server.registration.id
        full = choice.load >= FULL_LOAD
        self.saturation.record_sample(server, full, now)
        saturated = self.saturation.is_saturated(server)
        if saturated and not self._may_admit_when_saturated(choice):
            return False
        if not full:
            # The server has a free slot: a later retry would be no faster.
            return True
        if choice.expected_s > limit_s:
            return False
        if not saturated:
            return True
        return (
            choice.expected_s
            <= SATURATED_MAX_OBJECTIVES * request.route.objective_s
        )

    def _may_admit_when_saturated(self, choice: Choice) -> bool:
        """Returns whether a saturated server may still get a request."""
        if choice.warm or choice.load <= IDLE_LOAD:
            return True
        return self.random() < LEARN_SHARE

    def _find_candidates(self, request: PlacementRequest, now: float) -> _Found:
        """Returns the servers that may serve a request, in its order."""
        found = _Found([], [], [])
        for server in self._order_for(request):
            if len(found.choices) >= MAX_CANDIDATES:
                break
            if not self._may_serve(server, request, now):
                continue
            if not self._has_tokens(server, found, now):
                found.limited.append(server)
                continue
            if self.view.is_cold(server, now):
                found.cold.append(server)
                continue
            choice = self._estimate(request, server, now)
            if self._would_scatter(choice, found):
                found.limited.append(server)
                continue
            found.choices.append(choice)
            if choice.warm and choice.load < FULL_LOAD:
                break
        return found

    def _would_scatter(self, choice: Choice, found: _Found) -> bool:
        """Returns whether a limited server would learn one object too many.

        Servers without a token differ from host to host and from moment to
        moment. If requests went on to any server with a token, each server
        would soon have to learn all objects, and none would be warm.
        """
        if choice.warm or len(found.limited) < MAX_LIMITED_SKIPS:
            return False
        limit = self.throttle.limits.rate(choice.server.registration)
        return limit is not None

    def estimate_all(
        self, request: PlacementRequest, now: float
    ) -> list[Choice]:
        """Returns every server that may serve a request, in its order."""
        return [
            self._estimate(request, server, now)
            for server in self._order_for(request)
            if self._may_serve(server, request, now)
        ]

    def _choose_best(
        self, candidates: list[Choice], objective_s: float
    ) -> Choice | None:
        """Returns the owner, or an eligible server expected to be faster."""
        if not candidates:
            return None
        owner = candidates[0]
        if owner.load < FULL_LOAD and self._should_use_owner(
            owner, objective_s
        ):
            return owner
        best = owner
        for choice in candidates[1:]:
            if not choice.warm and not self._may_overflow(owner, choice):
                continue
            if choice.expected_s < best.expected_s:
                best = choice
        return best

    def _may_overflow(self, owner: Choice, other: Choice) -> bool:
        """Returns whether requests may go to a server that is not warm."""
        return owner.load >= OVERFLOW_LOAD and other.load <= SPARE_LOAD

    def _should_use_owner(self, owner: Choice, objective_s: float) -> bool:
        """Returns whether to use a free owner although others may be warm."""
        if owner.warm or owner.expected_s <= objective_s:
            return True
        return owner.load <= SPARE_LOAD and self.random() < LEARN_SHARE

    def _estimate(
        self, request: PlacementRequest, server: views.Server, now: float
    ) -> Choice:
        """Returns a server with its load and expected latency."""
        entry = server.registration
        pair, warm = None, True
        if request.object_key is not None:
            pair = warmth_lib.hash_pair(
                request.route.name, request.object_key, entry.id
            )
            warm = self.warmth.is_warm(pair, now)
        load = self.load_of(server)
        slots = max(1, entry.slots)
        ahead = max(0.0, load * slots - slots + 1.0)
        expected_s = self.warmth.service_time_s(request.route, warm)
        expected_s += (
            self.warmth.queued_service_time_s(request.route) * ahead / slots
        )
        return Choice(server, pair, warm, load, expected_s)

    def load_of(self, server: views.Server) -> float:
        """Returns the requests of all hosts in flight at a server, per slot."""
        id_ = server.registration.id
        in_flight = self.health.in_flight(id_) + self.peer_in_flight_totals.get(
            id_, 0
        )
        return in_flight / max(1, server.registration.slots)

    def _may_serve(
        self,
        server: views.Server,
        request: PlacementRequest,
        now: float,
    ) -> bool:
        entry = server.registration
        if entry.id in request.tried or not self.view.accepts_requests(server):
            return False
        home_regions = request.home_regions
        if home_regions and self.view.region_of(server) not in home_regions:
            return False
        return self.health.is_usable(entry.id, entry.service, now)

    def _order_for(self, request: PlacementRequest) -> list[views.Server]:
        """Returns the servers for a request, in the order to try them."""
        key = request.object_key
        if key is None:
            key = str(int(self.random() * SPREAD_ORDERS))
        return self._order(request.service, key)

    def _order(
        self, service: models.ServiceName, object_key: str
    ) -> list[views.Server]:
        if self.orders_version != self.view.servers_version:
            self.orders.clear()
            self.weights.clear()
            self.orders_version = self.view.servers_version
        key = (service, object_key)
        order = self.orders.get(key)
        if order is not None:
            return order
        if len(self.orders) >= MAX_CACHED_ORDERS:
            self.orders.clear()
        weights = self.weights.get(service)
        if weights is None:
            weights = locality.compute_zone_weights(
                self.view.by_service.get(service, ()),
                self.view.zones,
                self.region,
            )
            self.weights[service] = weights
        order = sorted(
            self.view.by_service.get(service, []),
            key=lambda s: _rendezvous_score(object_key, s, weights),
        )
        self.orders[key] = order
        return order


def _clamp_retry_after(wait_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def _rendezvous_score(
    object_key: str,
    server: views.Server,
    weights: Mapping[models.ZoneName, float],
) -> float:
    """Returns the sort key of a server in an object's rendezvous order."""
    entry = server.registration
    weight = max(1, entry.slots) * weights.get(entry.zone, 1.0)
    return rendezvous.weighted_rank(object_key, entry.id, weight)

"""Places requests on backend servers: object owners first, then by load.

Each object has an owner among the servers of its service: the first of a
rendezvous order weighted by slots and by room in the callers' region, which
all hosts of a region compute alike. Work with
an object that a server knows is several times faster, so a request waits for
its owner rather than teach the object to another server, as long as it is
expected to finish in time. Another server is taught only while it has slots
to spare. A request that no server is expected to finish in time is rejected
at once: work that is cut off at its deadline takes slots and serves nobody.

A server that stays full is taught only now and then: objects that it does not
know would take several times the slots and displace those that it does, until
it knows none of those asked for.
"""

import collections
from collections.abc import Callable, Collection, Mapping
import dataclasses
import math

import xxhash

from banyanshed.steering import cold
from banyanshed.steering import health as health_lib
from banyanshed.steering import locality
from banyanshed.steering import models
from banyanshed.steering import saturation as saturation_lib
from banyanshed.steering import views
from banyanshed.steering import warmth as warmth_lib

# Requests per slot, running and waiting, from which servers that know the
# object are compared and from which another server may learn it.
FULL_LOAD = 1.0
# Load of an owner from which another server may learn its object.
OVERFLOW_LOAD = 2.3
# A server with more requests per slot does not learn other servers' objects.
SPARE_LOAD = 0.5
# Requests per slot up to which a server is taught although it was saturated.
IDLE_LOAD = 0.25
# Part of the requests that teach an owner although the answer then comes
# after the objective: while another server knows the object, or while the
# owner is saturated with requests for objects that it knows.
LEARN_SHARE = 0.1
# Servers that are compared at most for one request.
MAX_CANDIDATES = 24
# Part of the time left that the expected time to an answer may take, and
# what each lower rank of priority gives up of it.
FINISH_SHARE = 0.85
PRIORITY_STEP = 0.05
# The queue of a saturated server holds each answer back and serves nobody
# sooner: only requests whose answers come in so many times their objective
# are added to it.
SATURATED_MAX_OBJECTIVES = 1.75
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 2.0
# From this load on, hosts tell each other of their requests more often.
BUSY_LOAD = 0.6
MAX_CACHED_ORDERS = 4096
# Orders over which requests without an object are spread.
SPREAD_ORDERS = 256
_HASH_SPACE = float(1 << 64)


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """No server can take the request now.

    Attributes:
        reason: Stable code for logs and metrics.
        retry_after_s: When to come back.
        inputs: What decided, for logs.
    """

    reason: str
    retry_after_s: float
    inputs: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What of a request decides where it runs.

    Attributes:
        route: Its route.
        service: Service that must run it.
        object_key: Names the object; equal keys share an owner. None when
            no server is faster with the request than another.
        home_regions: Regions that may serve; empty for all.
        priority: Rank of the request; 0 is the most urgent.
        tried: Servers that it was sent to before.
        remaining_s: Time until nobody waits for the answer.
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
    """A server and what to expect of it.

    Attributes:
        server: The server.
        pair: The server and the request's object, as told to peers.
        warm: The server knows the object, or there is none to know.
        load: Requests of all hosts at the server, per slot.
        expected_s: Expected time to the answer, with the queue ahead.
    """

    server: views.Server
    pair: int | None
    warm: bool
    load: float
    expected_s: float


class Placement:
    """Chooses backend servers for the requests of one host."""

    def __init__(
        self,
        region: models.RegionName,
        view: views.View,
        health: health_lib.Health,
        cold_limiter: cold.ColdRateLimiter,
        warmth: warmth_lib.Warmth,
        random: Callable[[], float],
    ):
        """Takes the callers' region and what is known of the servers."""
        self.region = region
        self.view = view
        self.health = health
        self.cold_limiter = cold_limiter
        self.warmth = warmth
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
        """Takes how many requests a peer has at work, by server."""
        for server, count in self.peer_in_flight.pop(host, {}).items():
            self.peer_in_flight_totals[server] -= count
        if in_flight:
            self.peer_in_flight[host] = dict(in_flight)
        for server, count in in_flight.items():
            known = self.peer_in_flight_totals.get(server, 0)
            self.peer_in_flight_totals[server] = known + count

    def drop_peer(self, host: models.HostId) -> None:
        """Forgets what a peer told of servers: its requests and evidence."""
        self.set_peer_in_flight(host, {})
        self.health.outliers.drop_peer(host)

    def choose(
        self, request: PlacementRequest, now: float
    ) -> Choice | Rejection:
        """Returns the server for a request, or why there is none."""
        self._update_health(now)
        candidates, cold_servers = self._find_candidates(request, now)
        chosen = self._choose_best(candidates, request.route.objective_s)
        share = FINISH_SHARE * (1.0 - PRIORITY_STEP * min(request.priority, 5))
        limit_s = request.remaining_s * share
        if chosen is not None:
            self.was_busy |= chosen.load >= BUSY_LOAD
            if self._should_admit(chosen, request, limit_s, now):
                return chosen
        for server in cold_servers:
            if self.cold_limiter.admit(server, now):
                return self._estimate(request, server, now)
        if chosen is None:
            reason = "servers_cold" if cold_servers else "no_server"
            known = len(self.view.by_service.get(request.service, ()))
            inputs = f"known={known} cold={len(cold_servers)}"
            return Rejection(reason, MAX_RETRY_AFTER_S / 4.0, inputs)
        wait_s = chosen.expected_s - limit_s
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        best = chosen.server.registration.id
        inputs = (
            f"best={best} load={chosen.load:.2f} warm={chosen.warm}"
            f" saturated={self.saturation.is_saturated(best)}"
            f" expected_ms={chosen.expected_s * 1000:.0f}"
            f" left_ms={request.remaining_s * 1000:.0f}"
        )
        return Rejection("overloaded", wait_s, inputs)

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
        """Whether a request should go to a server, behind those it queues."""
        server = choice.server.registration.id
        full = choice.load >= FULL_LOAD
        self.saturation.record_sample(server, full, now)
        saturated = self.saturation.is_saturated(server)
        if saturated and not self._may_admit_when_saturated(choice):
            return False
        if not full:
            # With a free slot a request can't be served any sooner later.
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
        """Whether a saturated server gets a request all the same."""
        if choice.warm or choice.load <= IDLE_LOAD:
            return True
        return self.random() < LEARN_SHARE

    def _find_candidates(
        self, request: PlacementRequest, now: float
    ) -> tuple[list[Choice], list[views.Server]]:
        """Returns the usable servers in the object's order, and cold ones."""
        candidates: list[Choice] = []
        cold_servers = []
        for server in self._order_for(request):
            if len(candidates) >= MAX_CANDIDATES:
                break
            if not self._may_serve(server, request, now):
                continue
            if self.view.is_cold(server, now):
                cold_servers.append(server)
                continue
            choice = self._estimate(request, server, now)
            candidates.append(choice)
            if choice.warm and choice.load < FULL_LOAD:
                break
        return candidates, cold_servers

    def estimate_all(
        self, request: PlacementRequest, now: float
    ) -> list[Choice]:
        """Returns every server that may take a request, in its order."""
        return [
            self._estimate(request, server, now)
            for server in self._order_for(request)
            if self._may_serve(server, request, now)
        ]

    def _choose_best(
        self, candidates: list[Choice], objective_s: float
    ) -> Choice | None:
        """Returns the owner, unless another server is clearly better."""
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
        """Whether another server may learn an object because of its load."""
        return owner.load >= OVERFLOW_LOAD and other.load <= SPARE_LOAD

    def _should_use_owner(self, owner: Choice, objective_s: float) -> bool:
        """Whether an owner gets a request though others may know its object."""
        if owner.warm or owner.expected_s <= objective_s:
            return True
        return owner.load <= SPARE_LOAD and self.random() < LEARN_SHARE

    def _estimate(
        self, request: PlacementRequest, server: views.Server, now: float
    ) -> Choice:
        """Returns what to expect of a server."""
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
        """Returns the requests of all hosts at a server, per slot."""
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

    def _compute_weights(
        self, service: models.ServiceName
    ) -> dict[models.ZoneName, float]:
        """Returns the weight of a slot in each availability zone."""
        zones = self.view.zones
        capacity: dict[models.RegionName, float] = {}
        for server in self.view.by_service.get(service, ()):
            region = zones.get(server.registration.zone)
            if region is not None:
                slots = max(1, server.registration.slots)
                capacity[region] = capacity.get(region, 0.0) + slots
        demand = collections.Counter(zones.values())
        weights = locality.compute_weights(capacity, demand, self.region)
        return {
            zone: weights.get(region, 1.0) for zone, region in zones.items()
        }

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
            weights = self._compute_weights(service)
            self.weights[service] = weights
        order = sorted(
            self.view.by_service.get(service, []),
            key=lambda s: _rendezvous_score(object_key, s, weights),
        )
        self.orders[key] = order
        return order


def _rendezvous_score(
    object_key: str,
    server: views.Server,
    weights: Mapping[models.ZoneName, float],
) -> float:
    """Returns the place of a server in an object's rendezvous order."""
    entry = server.registration
    digest = xxhash.xxh3_64_intdigest(f"{object_key}\0{entry.id}".encode())
    weight = max(1, entry.slots) * weights.get(entry.zone, 1.0)
    return -math.log((digest + 1.0) / (_HASH_SPACE + 2.0)) / weight

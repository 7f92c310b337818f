"""What the steering decisions know: configuration, servers and requests.

Times are in seconds of the caller's monotonic clock unless a name says more.
"""

from collections.abc import Sequence
import dataclasses
import enum
from typing import NewType

HostId = NewType("HostId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
CustomerName = NewType("CustomerName", str)
ApiKey = NewType("ApiKey", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)
Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """One service of a route, with the share of requests it gets.

    Attributes:
        service: Where the requests go.
        weight: Share of the route's requests, relative to the other targets.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and how.

    Attributes:
        name: Name in the configuration.
        hostname: Host header it matches, in lower case, without port.
        prefix: Start of the paths it matches.
        targets: Services that share the requests.
        idempotent: Requests may run more than once.
        timeout_s: Longest time until the final answer.
        objective_s: Latency objective.
        attempts: Most backend servers for one client attempt.
        priority: Rank of the requests; 0 is the most urgent.
        public: No API key is needed.
        affinity: Servers are faster with objects they know.
        home_regions: Only these regions may serve; empty for all.
    """

    name: RouteName
    hostname: str
    prefix: str
    targets: tuple[RouteTarget, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    attempts: int = 1
    priority: int = 0
    public: bool = False
    affinity: bool = False
    home_regions: frozenset[RegionName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        name: Name in the configuration.
        cold_s: How long a server stays cold after its start.
        cold_rate: Requests per second that a cold server bears.
        max_connections: Connections that a server accepts from all callers.
    """

    name: ServiceName
    cold_s: float = 0.0
    cold_rate: float = 0.0
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its keys and its limit over all hosts.

    Attributes:
        name: Name that backend servers are told.
        keys: Valid API keys.
        priority: Rank of its requests; None leaves the route's.
        rate: Requests per second; 0 for no limit.
        burst: Requests above the rate that may come at once.
        home_regions: Only these regions may serve; empty for all.
    """

    name: CustomerName
    keys: tuple[ApiKey, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[RegionName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send and how long it may take.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_s: Longest time for a request head.
        idle_timeout_s: Longest time between two requests of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class Configuration:
    """One version of routes, services, customers and limits."""

    def __init__(
        self,
        version: int,
        routes: Sequence[Route] = (),
        services: Sequence[Service] = (),
        customers: Sequence[Customer] = (),
        limits: ClientLimits | None = None,
    ):
        """Indexes the routes by host name and the customers by key."""
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.customers = {customer.name: customer for customer in customers}
        self.limits = limits or ClientLimits()
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.routes_by_host.setdefault(route.hostname, []).append(route)
        for host_routes in self.routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.customers_by_key = {
            key: customer for customer in customers for key in customer.keys
        }

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        for route in self.routes_by_host.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: ApiKey) -> Customer | None:
        """Returns the customer that holds the key."""
        return self.customers_by_key.get(key)


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A backend server's entry in the store.

    Attributes:
        id: Id of the server.
        address: Where it listens.
        service: Service that it belongs to.
        zone: Availability zone.
        slots: Requests that it runs at once.
        state: What it says of itself.
        cold_left_s: How long it stays cold, from the writing of the entry.
        started_ms: Unix time of its start in milliseconds; 0 when not told.
    """

    id: ServerId
    address: Address
    service: ServiceName
    zone: ZoneName
    slots: int
    state: ServerState
    cold_left_s: float
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A backend server's report of its load.

    Attributes:
        running: Requests at work.
        waiting: Requests in its queue.
        slots: Requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times in which the platform wants changes to be known, in seconds.

    Attributes:
        drain_s: From a server's leaving until it gets no more requests.
        config_s: From a configuration until it is in force.
        evacuate_s: From an evacuation until the zone gets no more requests.
        revoke_s: From a key's withdrawal until it is refused.
        stable_s: Time without trouble after which a host is bound by these.
    """

    drain_s: float = 2.5
    config_s: float = 2.5
    evacuate_s: float = 5.0
    revoke_s: float = 5.0
    stable_s: float = 3.0

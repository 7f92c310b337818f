"""Data types of the steering package: configuration and backend servers.

Times are in seconds of the caller's monotonic clock unless noted otherwise.
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
# Hash of what a backend server gets of a request, but for its id.
Fingerprint = NewType("Fingerprint", int)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class WriterOrder:
    """Position of a row in the order in which its writer wrote it.

    Unlike the store's numbers it does not depend on the store.

    Attributes:
        incarnation: Version of a configuration, or Unix time of the start of a
            backend server in milliseconds.
        sequence: Number of the change within the incarnation.
    """

    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TableVersion:
    """How new a copy of a table is.

    Attributes:
        era: Era of the store; rises when it is restored from an older copy.
        number: Number of the newest transaction within the era.
    """

    era: int = 0
    number: int = 0


NO_TABLE = TableVersion()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route sends requests to, with its weight.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the other targets.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and under which rules.

    Attributes:
        name: Name in the configuration.
        hostname: Host header that it matches, in lower case without port.
        prefix: Path prefix that it matches.
        targets: Services that share the requests.
        idempotent: Whether requests may run more than once.
        timeout_s: Longest time until the final answer, in seconds.
        objective_s: Latency objective in seconds.
        attempts: Maximum number of backend servers for a client's request.
        priority: Priority of the requests; 0 is the most urgent.
        public: Whether requests need no API key.
        affinity: Whether servers are faster with objects they have handled.
        home_regions: Regions that may serve the requests; empty for all.
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
        cold_s: Seconds that a server stays cold after its start.
        cold_rate: Requests per second that a cold server can take.
        max_connections: Connections that a server accepts from all callers.
        health_path: Path of the servers' health checks; empty without them.
    """

    name: ServiceName
    cold_s: float = 0.0
    cold_rate: float = 0.0
    max_connections: int = 0
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its API keys and its rate limit over all hosts.

    Attributes:
        name: Name that backend servers receive.
        keys: Valid API keys.
        priority: Priority of its requests; None for that of the route.
        rate: Rate limit in requests per second; 0 for none.
        burst: Requests that may exceed the rate at once.
        home_regions: Regions that may serve it; empty for all.
    """

    name: CustomerName
    keys: tuple[ApiKey, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[RegionName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of requests that a host receives.

    Attributes:
        header_bytes: Maximum size of a request head in bytes.
        body_bytes: Maximum size of a request body in bytes.
        header_timeout_s: Timeout for a request head in seconds.
        idle_timeout_s: Longest time between two requests of a connection,
            in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """By how much a customer's requests may exceed its rate and burst.

    Attributes:
        window_s: Time over which requests are counted, in seconds.
        excess: Tolerated excess as a fraction of rate and burst.
        slack: Tolerated number of requests in addition.
    """

    window_s: float = 1.0
    excess: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTolerance:
    """By how much the requests to a cold server may exceed its rate.

    Attributes:
        excess: Factor by which the rate may be exceeded in a second.
        slack: Tolerated number of requests in addition.
    """

    excess: float
    slack: float


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
        """Indexes the routes by host name and the customers by API key."""
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
        """Returns the route with the longest matching path prefix."""
        for route in self.routes_by_host.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: ApiKey) -> Customer | None:
        """Returns the customer that holds the key."""
        return self.customers_by_key.get(key)


class ServerState(enum.Enum):
    """State that a backend server reports of itself.

    Attributes:
        READY: It accepts new requests.
        DRAINING: It gets no new requests.
    """

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A backend server's entry in the store.

    Attributes:
        id: Id of the server.
        address: Host and port that it listens on.
        service: Service that it belongs to.
        zone: Availability zone.
        slots: Requests that it runs concurrently.
        state: State that it reports.
        cold_left_s: Seconds that it stays cold after the entry was written.
        started_ms: Unix time of its start in milliseconds; 0 if not known.
        sequence: Number of the entry among those of the server's process.
    """

    id: ServerId
    address: Address
    service: ServiceName
    zone: ZoneName
    slots: int
    state: ServerState
    cold_left_s: float
    started_ms: int
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRemoval:
    """The removal of a backend server's entry from the store.

    Attributes:
        at: Version of the table that no longer has the entry.
        sequence: Highest number that was known of the process's entries. Later
            ones may have been written, as beats that change nothing else are
            not told.
    """

    at: TableVersion
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessRemoval:
    """The removal of the entry of one process of a backend server.

    Attributes:
        server: Id of the server.
        started_ms: Unix time of the process's start in milliseconds.
        removal: The removal.
    """

    server: ServerId
    started_ms: int
    removal: EntryRemoval


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a backend server says of its process, or a peer of it.

    Attributes:
        is_leaving: Whether it says that it leaves.
        cold_left_s: Seconds that it stays cold; None if it doesn't say.
        removal: Removal of its entry that puts it in doubt, as told by a peer.
    """

    is_leaving: bool
    cold_left_s: float | None = None
    removal: EntryRemoval | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a backend server reports.

    Attributes:
        running: Requests that it is running.
        waiting: Requests in its queue.
        slots: Requests that it runs concurrently.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Deadlines that the platform sets for changes to take effect.

    Attributes:
        drain_s: Seconds from a server's departure until it gets no requests.
        config_s: Seconds until a new configuration is in force.
        evacuate_s: Seconds until an evacuated zone gets no requests.
        revoke_s: Seconds until a revoked key is refused.
        stable_s: Seconds without faults after which the other deadlines
            apply to a host.
        lapse_s: Seconds of silence after which the store drops a server's
            entry.
    """

    drain_s: float = 2.5
    config_s: float = 2.5
    evacuate_s: float = 5.0
    revoke_s: float = 5.0
    stable_s: float = 3.0
    lapse_s: float = 4.5

"""Routing: matches a request to a route, a customer and a service."""

from collections.abc import Callable
import dataclasses
import enum

from banyanshed.steering import models
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import views

STARTUP_RETRY_AFTER_S = 0.5


class Reason(enum.Enum):
    """Why a request is rejected before it is sent to a backend server.

    Attributes:
        NO_CONFIGURATION: This host has not read the platform's tables yet.
        NO_ROUTE: No route matches the host name and path.
        UNKNOWN_KEY: The request has no API key of a customer.
        OVER_QUOTA: The customer exceeds its rate and burst.
        NO_HOME: The route and the customer have no home region in common.
    """

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_HOME = "no_home"


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a request that decide its route.

    Attributes:
        hostname: Host header in lower case without port.
        path: Path without the query.
        key: API key; None if the request has none.
        deadline_s: Seconds that the client waits; None if not given.
        arrived_at: When the request's head was read.
    """

    hostname: str
    path: str
    key: models.ApiKey | None
    deadline_s: float | None
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How to serve a request.

    Attributes:
        route: Its route.
        customer: The customer; None on public routes, and if the
            configuration has no customers.
        service: Service that runs it.
        home_regions: Regions that may serve it; empty for all.
        priority: Its priority; 0 is the most urgent.
        expires_at: When the timeout of the client or the route ends.
        config_version: Version of the configuration that was used.
    """

    route: models.Route
    customer: models.Customer | None
    service: models.ServiceName
    home_regions: frozenset[models.RegionName]
    priority: int
    expires_at: float
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The rejection of a request.

    Attributes:
        reason: Why it is rejected.
        status: HTTP status of the answer.
        retry_after_s: Seconds after which to retry; None if a retry won't
            help.
        inputs: Values that led to the decision, for logs.
    """

    reason: Reason
    status: int
    retry_after_s: float | None = None
    inputs: str = ""


class Router:
    """Plans how to serve requests, by the configuration in force."""

    def __init__(
        self,
        view: views.View,
        quotas: quotas_lib.Quotas,
        random: Callable[[], float],
    ):
        """Sets up the router.

        Args:
            view: Configuration and servers known to this host.
            quotas: Rate limits of the customers.
            random: Returns random numbers from 0 up to 1.
        """
        self.view = view
        self.quotas = quotas
        self.random = random

    def plan(
        self, request: RoutingRequest, is_admitted: bool = False
    ) -> Plan | Refusal:
        """Returns how to serve a request, or why to reject it.

        Args:
            request: What decides on its route.
            is_admitted: Whether a peer has admitted it under the quota.
        """
        configuration = self.view.configuration
        if configuration is None or not self.view.is_ready():
            return Refusal(Reason.NO_CONFIGURATION, 503, STARTUP_RETRY_AFTER_S)
        route = configuration.find_route(request.hostname, request.path)
        if route is None:
            inputs = f"config_version={configuration.version}"
            return Refusal(Reason.NO_ROUTE, 404, None, inputs)
        customer = None
        if configuration.customers and not route.public:
            customer = configuration.find_customer(
                request.key or models.ApiKey("")
            )
            if customer is None:
                inputs = f"config_version={configuration.version}"
                return Refusal(Reason.UNKNOWN_KEY, 401, None, inputs)
        home_regions = route.home_regions
        if customer is not None and customer.home_regions:
            if home_regions and not home_regions & customer.home_regions:
                return Refusal(Reason.NO_HOME, 503, STARTUP_RETRY_AFTER_S)
            home_regions = (
                home_regions & customer.home_regions or customer.home_regions
            )
        now = request.arrived_at
        if (
            customer is not None
            and not is_admitted
            and not self.quotas.admit(customer, now)
        ):
            bucket = self.quotas.bucket(customer, now)
            wait_s = bucket.retry_after_s(now)
            inputs = f"customer={customer.name} {bucket.describe(now)}"
            return Refusal(Reason.OVER_QUOTA, 429, wait_s, inputs)
        return Plan(
            route,
            customer,
            self._choose_service(route),
            home_regions,
            self._priority(route, customer),
            self._expiry(route, request),
            configuration.version,
        )

    def _choose_service(self, route: models.Route) -> models.ServiceName:
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(part.weight for part in route.targets)
        point = self.random() * total
        for target in route.targets:
            point -= target.weight
            if point < 0.0:
                return target.service
        return route.targets[-1].service

    def _priority(
        self, route: models.Route, customer: models.Customer | None
    ) -> int:
        if customer is not None and customer.priority is not None:
            return customer.priority
        return route.priority

    def _expiry(self, route: models.Route, request: RoutingRequest) -> float:
        wait_s = route.timeout_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        return request.arrived_at + wait_s

"""Decides what becomes of a request before it is sent anywhere."""

from collections.abc import Callable
import dataclasses
import enum

from banyanshed.steering import models
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import views

STARTUP_RETRY_AFTER_S = 0.5


class Reason(enum.Enum):
    """Why a request is rejected before any backend server saw it."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_HOME = "no_home"


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """What of a request decides where it goes.

    Attributes:
        hostname: Host header in lower case, without port.
        path: Path without query.
        key: API key; None when there is none.
        deadline_s: How long the client waits; None when it did not say.
        arrived_at: When the request's head was read.
    """

    hostname: str
    path: str
    key: models.ApiKey | None
    deadline_s: float | None
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How a request is to be served.

    Attributes:
        route: Its route.
        customer: Whose request it is; None on public routes.
        service: Service that runs it.
        home_regions: Regions that may serve it; empty for all.
        priority: Its rank; 0 is the most urgent.
        expires_at: When the client or the route stops waiting.
        config_version: Configuration that decided.
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
    """A request that is rejected.

    Attributes:
        reason: Why.
        status: HTTP status of the answer.
        retry_after_s: When to come back; None when it is no use.
        inputs: What decided, for logs.
    """

    reason: Reason
    status: int
    retry_after_s: float | None = None
    inputs: str = ""


class Router:
    """Turns requests into plans by the configuration in force."""

    def __init__(
        self,
        view: views.View,
        quotas: quotas_lib.Quotas,
        random: Callable[[], float],
    ):
        """Takes what is known and a source of numbers from 0 to 1."""
        self.view = view
        self.quotas = quotas
        self.random = random

    def plan(self, request: RoutingRequest) -> Plan | Refusal:
        """Returns how to serve a request, or why it is rejected."""
        configuration = self.view.configuration
        if configuration is None or not self.view.servers_known:
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
        if customer is not None and not self.quotas.admit(customer, now):
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

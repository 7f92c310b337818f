"""Events that worker threads pass to the core, and the core's decisions."""

from collections.abc import Callable
import dataclasses

from banyanshed.core import models
from banyanshed.core import requests

LAPSED_CODE = "lease_lapsed"
"""Code of an attempt not sent because the lease of its shares had expired."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request was counted against its tenant's rate and may be claimed.

    Attributes:
        ticket: Handle of the request in the core.
        tenant: Tenant of the request's key; None if the service is open to
            all and the request has no key.
        answer_bytes: Maximum size of the response to accept.
        deadline_at_s: Monotonic time of the request's deadline in seconds.
    """

    ticket: str
    tenant: models.TenantId | None
    answer_bytes: int
    deadline_at_s: float


@dataclasses.dataclass(frozen=True)
class Placed:
    """A backend server was chosen; the request's thread sends the request.

    Attributes:
        admitted: The request's admission.
        target: Backend server to send the request to.
        valid_until_s: Monotonic time in seconds after which it must not be
            sent.
    """

    admitted: Admitted
    target: requests.Target
    valid_until_s: float


Decision = Admitted | Placed | models.Refusal
Reply = Callable[[Decision], None]


@dataclasses.dataclass(frozen=True)
class RequestArrived:
    """A complete request was received.

    Attributes:
        request: The request.
        arrived_s: Monotonic time in seconds at which its head had been read.
        place_at_once: False if the request must be claimed before a backend
            server is chosen.
        reply: Called once with Admitted, Placed or a refusal.
    """

    request: requests.CallerRequest
    arrived_s: float
    place_at_once: bool
    reply: Reply


@dataclasses.dataclass(frozen=True)
class PlacementRequested:
    """An admitted request needs a backend server; `reply` is called once."""

    ticket: str
    reply: Reply


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        ticket: Handle of the request.
        outcome: The complete response, or the failure.
        reply: Called with Placed for a further attempt, or with the refusal;
            None if the outcome is a response.
    """

    ticket: str
    outcome: requests.Answer | requests.AttemptFailure
    reply: Reply | None


@dataclasses.dataclass(frozen=True)
class RequestEnded:
    """A request ended without a further attempt; its units are released."""

    ticket: str


Event = RequestArrived | PlacementRequested | AttemptEnded | RequestEnded


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """Result of reading a backend server's health and load endpoints.

    Attributes:
        state: Live or leaving; None if unknown.
        in_flight: Number of running requests; None if unknown.
        slots: Number of requests that it can run concurrently; None if
            unknown.
        refused: Nothing listens at the address.
        code: Stable code of a failure; None if both endpoints were read.
    """

    state: models.BackendState | None
    in_flight: int | None = None
    slots: int | None = None
    refused: bool = False
    code: str | None = None

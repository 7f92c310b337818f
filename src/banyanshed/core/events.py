"""Events that pool threads hand to the core, and the core's decisions."""

from collections.abc import Callable
import dataclasses

from banyanshed.core import models
from banyanshed.core import requests

LAPSED_CODE = "lease_lapsed"
"""Code of an attempt that was not sent, as its shares had lapsed."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request counts against its tenant's rate and may be claimed.

    Attributes:
        ticket: Handle of the request in the core.
        tenant: Tenant whose key came; None on routes open to all.
        answer_bytes: Largest answer to accept.
        deadline_at_s: Monotonic time at which the request is given up.
    """

    ticket: str
    tenant: models.TenantId | None
    answer_bytes: int
    deadline_at_s: float


@dataclasses.dataclass(frozen=True)
class Placed:
    """A backend server was chosen; the caller's thread sends the request.

    Attributes:
        admitted: The admission that this belongs to.
        target: Backend server to send to.
        valid_until_s: Monotonic time after which it must not be sent.
    """

    admitted: Admitted
    target: requests.Target
    valid_until_s: float


Decision = Admitted | Placed | models.Refusal
Reply = Callable[[Decision], None]


@dataclasses.dataclass(frozen=True)
class RequestArrived:
    """A whole request came in.

    Attributes:
        request: The request.
        arrived_s: Monotonic time at which its head had been read.
        place_at_once: False when a claim must come before a backend server.
        reply: Receives Admitted, Placed or a refusal, once.
    """

    request: requests.CallerRequest
    arrived_s: float
    place_at_once: bool
    reply: Reply


@dataclasses.dataclass(frozen=True)
class PlacementRequested:
    """An admitted request wants a backend server; answered once."""

    ticket: str
    reply: Reply


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        ticket: Handle of the request.
        outcome: Whole answer, or failure.
        reply: Receives Placed for another attempt, or the refusal; None when
            the outcome is an answer.
    """

    ticket: str
    outcome: requests.Answer | requests.AttemptFailure
    reply: Reply | None


@dataclasses.dataclass(frozen=True)
class RequestEnded:
    """A request ended without a further attempt; its units are given back."""

    ticket: str


Event = RequestArrived | PlacementRequested | AttemptEnded | RequestEnded


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """What a backend server's health and load endpoints said.

    Attributes:
        state: Live or leaving; None when it could not be learnt.
        in_flight: Requests at work; None when unknown.
        slots: Requests it works on at once; None when unknown.
        refused: Nothing listens at the address.
        code: Stable code of a failure; None when both were read.
    """

    state: models.BackendState | None
    in_flight: int | None = None
    slots: int | None = None
    refused: bool = False
    code: str | None = None

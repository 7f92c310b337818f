"""Reports about backend servers from attempts, probes and other sources."""

import dataclasses
import enum

from banyanshed.core import models
from banyanshed.core import requests

# Duration in seconds from which an attempt that reached its deadline counts as
# failed.
MIN_FAILED_TIMEOUT_S = 1.0
# Failures that indicate nothing about the backend server.
NEUTRAL_CODES = frozenset({"answer_too_large", "not_sendable"})


class StateSource(enum.Enum):
    """Sources that may report that a backend server is leaving.

    Attributes:
        CONFIG: The backend server's row of the configuration.
        DRAIN: A drain planned by an operator.
        HOST_LIST: The platform's list of hosts.
        HEALTH: A probe of the backend server.
        ANSWER: A response of the backend server to a request.
    """

    CONFIG = "config"
    DRAIN = "drain"
    HOST_LIST = "host_list"
    HEALTH = "health"
    ANSWER = "answer"


class Outcome(enum.Enum):
    """What the result of an attempt indicates about its backend server.

    Attributes:
        WORKED: It answered with a status below 500.
        FAILED: It failed: status 5xx other than 503, or no valid response.
        SHED: It rejected the request, as with status 503.
        NEUTRAL: Nothing; the request, a limit or a short deadline is the cause.
    """

    WORKED = "worked"
    FAILED = "failed"
    SHED = "shed"
    NEUTRAL = "neutral"


@dataclasses.dataclass(frozen=True)
class StateReport:
    """Last state reported by a source.

    Attributes:
        state: Reported state.
        order: Time or version of the report; older reports are ignored.
    """

    state: models.BackendState
    order: float


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A slot of a backend server, held until AttemptFinished.

    Attributes:
        service: Service of the request.
        target: Selected backend server.
        registration: Registration number of that backend server.
        started_s: Monotonic time of the selection.
    """

    service: models.ServiceId
    target: requests.Target
    registration: int
    started_s: float


@dataclasses.dataclass(frozen=True)
class AttemptFinished:
    """An attempt ended; occurs exactly once for each attempt not dropped."""

    attempt: Attempt
    result: requests.Answer | requests.AttemptFailure


@dataclasses.dataclass(frozen=True)
class AttemptDropped:
    """An attempt was released without having been sent."""

    attempt: Attempt


@dataclasses.dataclass(frozen=True)
class LoadReported:
    """A backend server reported its load.

    Attributes:
        service: Service of the backend server.
        backend: Id of the backend server.
        in_flight: Requests in flight, from all hosts.
        slots: Number of requests that it executes concurrently.
        probe_sent_s: Monotonic time at which the probe was sent.
    """

    service: models.ServiceId
    backend: models.BackendId
    in_flight: int
    slots: int
    probe_sent_s: float


@dataclasses.dataclass(frozen=True)
class HealthReported:
    """Result of a health probe of a backend server.

    Attributes:
        service: Service of the backend server.
        backend: Id of the backend server.
        state: Reported state; None when the probe got none.
        refused: Nothing listens at its address.
        probe_sent_s: Monotonic time at which the probe was sent.
    """

    service: models.ServiceId
    backend: models.BackendId
    state: models.BackendState | None
    refused: bool
    probe_sent_s: float


@dataclasses.dataclass(frozen=True)
class StateReported:
    """Another source reported whether a backend server is leaving.

    Attributes:
        service: Service of the backend server.
        backend: Id of the backend server.
        source: Source of the report.
        state: Reported state.
        order: Time or version of the report; higher for newer reports.
    """

    service: models.ServiceId
    backend: models.BackendId
    source: StateSource
    state: models.BackendState
    order: float


def classify(
    result: requests.Answer | requests.AttemptFailure, duration_s: float
) -> Outcome:
    """Returns what an attempt's result indicates about its backend server."""
    if isinstance(result, requests.Answer):
        if result.status == 503:
            return Outcome.SHED
        return Outcome.FAILED if result.status >= 500 else Outcome.WORKED
    if result.code == "backend_refused":
        return Outcome.SHED
    if result.code in NEUTRAL_CODES:
        return Outcome.NEUTRAL
    # Callers with short deadlines must not cause a backend server's ejection.
    if result.code == "deadline" and duration_s < MIN_FAILED_TIMEOUT_S:
        return Outcome.NEUTRAL
    return Outcome.FAILED

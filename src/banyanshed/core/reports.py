"""What attempts, probes and peers report of backend servers; plain data."""

import dataclasses
import enum

from banyanshed.core import models
from banyanshed.core import requests

MIN_FAILED_TIMEOUT_S = 1.0
NEUTRAL_CODES = frozenset({"answer_too_large", "not_sendable"})


class StateSource(enum.Enum):
    """Sources that may say that a backend server is leaving."""

    CONFIG = "config"
    DRAIN = "drain"
    HOST_LIST = "host_list"
    HEALTH = "health"
    ANSWER = "answer"


class Outcome(enum.Enum):
    """What an attempt says about its backend server."""

    WORKED = "worked"
    FAILED = "failed"
    SHED = "shed"
    NEUTRAL = "neutral"


@dataclasses.dataclass(frozen=True)
class StateReport:
    """Last word of one source.

    Attributes:
        state: What it said.
        order: Time or version of the word; older words are ignored.
    """

    state: models.BackendState
    order: float


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A slot of a backend server, held until AttemptFinished.

    Attributes:
        service: Service of the request.
        target: Backend server chosen.
        registration: Registration of the backend server chosen.
        started_s: Monotonic time of the choice.
    """

    service: models.ServiceId
    target: requests.Target
    registration: int
    started_s: float


@dataclasses.dataclass(frozen=True)
class AttemptFinished:
    """An attempt ended; just one comes for each attempt chosen."""

    attempt: Attempt
    result: requests.Answer | requests.AttemptFailure


@dataclasses.dataclass(frozen=True)
class AttemptDropped:
    """An attempt was given back without having been sent."""

    attempt: Attempt


@dataclasses.dataclass(frozen=True)
class LoadReported:
    """A backend server's load endpoint answered.

    Attributes:
        service: Service of the backend server.
        backend: Its id.
        in_flight: Requests at work, of all hosts.
        slots: Requests it works on at once.
        asked_s: Monotonic time at which the question was sent.
    """

    service: models.ServiceId
    backend: models.BackendId
    in_flight: int
    slots: int
    asked_s: float


@dataclasses.dataclass(frozen=True)
class HealthReported:
    """A backend server's health endpoint answered, or did not.

    Attributes:
        service: Service of the backend server.
        backend: Its id.
        state: What it said; None when nothing was learnt.
        refused: Nothing listens at its address.
        asked_s: Monotonic time at which the question was sent.
    """

    service: models.ServiceId
    backend: models.BackendId
    state: models.BackendState | None
    refused: bool
    asked_s: float


@dataclasses.dataclass(frozen=True)
class StateReported:
    """Another source said whether a backend server is leaving.

    Attributes:
        service: Service of the backend server.
        backend: Its id.
        sign: The source.
        state: What it said.
        order: Time or version of its word, rising with each newer word.
    """

    service: models.ServiceId
    backend: models.BackendId
    source: StateSource
    state: models.BackendState
    order: float


def classify(
    result: requests.Answer | requests.AttemptFailure, duration_s: float
) -> Outcome:
    """Returns what an attempt's result says about its backend server."""
    if isinstance(result, requests.Answer):
        if result.status == 503:
            return Outcome.SHED
        return Outcome.FAILED if result.status >= 500 else Outcome.WORKED
    if result.code == "backend_refused":
        return Outcome.SHED
    if result.code in NEUTRAL_CODES:
        return Outcome.NEUTRAL
    # Callers with short deadlines must not get a backend server ejected.
    if result.code == "deadline" and duration_s < MIN_FAILED_TIMEOUT_S:
        return Outcome.NEUTRAL
    return Outcome.FAILED

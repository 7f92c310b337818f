"""Retry policy for failed attempts, limited by a retry budget."""

import dataclasses
import random

from banyanshed.core import models
from banyanshed.core import requests

# The retry budget: retries allowed per request, and maximum number allowed at
# once.
BUDGET_RATIO = 0.1
BUDGET_RESERVE = 10.0
# Maximum number of attempts of a request, the first one included.
MAX_ATTEMPTS = 3
# Base in seconds and growth factor of the maximum random delay before a retry;
# the first retry is not delayed.
BACKOFF_S = 0.02
BACKOFF_FACTOR = 2.0
# Minimum time in seconds left until the deadline for a retry.
MIN_TIME_LEFT_S = 0.05
# Time in seconds after which the caller may retry, unless the backend server
# gave one.
RETRY_AFTER_S = 1.0

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class RetryBudget:
    """Limits retries to a ratio of recent requests.

    Attributes:
        ratio: Tokens added by each request that is not a retry.
        reserve: Maximum number of tokens.
        tokens: Number of retries allowed now.
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, reserve: float = BUDGET_RESERVE
    ):
        """Initializes a budget with a full reserve."""
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def record_request(self) -> None:
        """Adds the tokens of a request that is not a retry."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Takes a token for a retry; returns False when none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclasses.dataclass
class AttemptHistory:
    """Failed attempts of a request.

    Attributes:
        attempts: Number of failed attempts.
        ran: NO as long as no attempt can have been executed.
        failed: Backend servers that must not be used again.
        last_code: Code of the last failure.
    """

    attempts: int = 0
    ran: models.Ran = models.Ran.NO
    failed: frozenset[models.BackendId] = frozenset()
    last_code: str = ""

    def record(
        self, backend: models.BackendId, failure: requests.AttemptFailure
    ) -> None:
        """Records a failed attempt."""
        self.attempts += 1
        self.failed |= {backend}
        self.last_code = failure.code
        if failure.ran is models.Ran.UNKNOWN:
            self.ran = models.Ran.UNKNOWN


@dataclasses.dataclass(frozen=True)
class Retry:
    """Decision to send the request again.

    Attributes:
        delay_s: Delay before the next attempt, in seconds.
        exclude: Backend servers that must not be used.
    """

    delay_s: float
    exclude: frozenset[models.BackendId]


def decide(
    request: requests.CallerRequest,
    history: AttemptHistory,
    failure: requests.AttemptFailure,
    time_left_s: float,
    budget: RetryBudget,
    rng: random.Random,
) -> Retry | models.Refusal:
    """Returns a retry, or the final refusal.

    Args:
        request: Request whose attempt failed.
        history: Failed attempts of the request, including the last one.
        failure: Failure of the last attempt.
        time_left_s: Time left until the deadline, in seconds.
        budget: Retry budget of this host.
        rng: Random source of the backoff's jitter.
    """
    if not may_repeat(request, history, failure):
        return refusal(history, failure)
    delay_s = 0.0
    if history.attempts > 1:
        longest_s = BACKOFF_S * BACKOFF_FACTOR ** (history.attempts - 1)
        delay_s = rng.uniform(0, longest_s)
    if time_left_s - delay_s < MIN_TIME_LEFT_S or not budget.try_spend():
        return refusal(history, failure)
    return Retry(delay_s, history.failed)


def may_repeat(
    request: requests.CallerRequest,
    history: AttemptHistory,
    failure: requests.AttemptFailure,
) -> bool:
    """Returns whether a retry cannot execute unsafe work twice.

    An idempotency key does not make a retry safe here, as the backend server
    may not support the key. Retries by the caller itself are deduplicated by
    the ledger of claims.
    """
    if history.attempts >= MAX_ATTEMPTS or failure.code == "not_sendable":
        return False
    if request.method in SAFE_METHODS:
        return True
    return history.ran is models.Ran.NO


def refusal(
    history: AttemptHistory, failure: requests.AttemptFailure
) -> models.Refusal:
    """Returns the final refusal of a request whose attempts failed."""
    if failure.code == "not_sendable":
        return models.Refusal(
            400,
            "not_sendable",
            history.ran,
            None,
            "The request's path or headers can't be sent on.",
        )
    if history.ran is models.Ran.NO:
        retry_after_s = failure.retry_after_s
        if retry_after_s is None:
            retry_after_s = RETRY_AFTER_S
        return models.Refusal(
            503,
            failure.code,
            models.Ran.NO,
            retry_after_s,
            "No backend server took the request.",
        )
    status = 504 if failure.code == "deadline" else 502
    return models.Refusal(
        status,
        failure.code,
        models.Ran.UNKNOWN,
        None,
        "No whole answer came; the request may have been executed.",
    )

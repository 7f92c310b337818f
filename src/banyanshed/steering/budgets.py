"""Retry budgets: limit each service's retries over all hosts.

Each host spends its own part of the budget without coordination: a ratio of
the requests that it serves itself, and an equal part of a fixed allowance.
"""

import dataclasses

from banyanshed.steering import models

# Fraction of the budget that hosts use, so that the retries of all hosts in
# any window never add up to more than the whole budget.
USABLE_SHARE = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """The retry budget of a service, shared by all hosts.

    Attributes:
        ratio: Retries allowed per request.
        extra: Retries allowed in each window in addition to the ratio.
        window_s: Length of the sliding window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """This host's part of the retry budgets of all services.

    Attributes:
        host_count: Number of hosts that share the budgets.
    """

    def __init__(self, limits: RetryLimits):
        """Starts with the full allowance for every service."""
        self.limits = limits
        self.host_count = 1
        self.spent: dict[models.ServiceName, tuple[float, float]] = {}

    def set_host_count(self, host_count: int) -> None:
        """Sets the number of hosts that share the budgets."""
        self.host_count = max(1, host_count)

    def record_request(self, service: models.ServiceName, now: float) -> None:
        """Adds the fraction of a retry that a client's request allows."""
        self._add(service, -self.limits.ratio * USABLE_SHARE, now)

    def try_spend(self, service: models.ServiceName, now: float) -> bool:
        """Spends one retry; returns false when the budget is exhausted."""
        if self._spent_after_refill(service, now) + 1.0 > max(
            1.0, self.allowance
        ):
            return False
        self._add(service, 1.0, now)
        return True

    @property
    def allowance(self) -> float:
        """This host's part of the fixed allowance, in retries per window."""
        return USABLE_SHARE * self.limits.extra / self.host_count

    def _spent_after_refill(
        self, service: models.ServiceName, now: float
    ) -> float:
        spent, at = self.spent.get(service, (0.0, now))
        refill = (now - at) * self.allowance / self.limits.window_s
        return max(0.0, spent - refill)

    def _add(
        self, service: models.ServiceName, amount: float, now: float
    ) -> None:
        spent = self._spent_after_refill(service, now) + amount
        self.spent[service] = (max(0.0, spent), now)

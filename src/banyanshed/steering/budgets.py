"""Retry budgets: limit each service's retries over all hosts.

Each host spends its own part of the budget without coordination: a ratio of
the requests that it serves itself, and an equal part of a fixed allowance.

The budget limits the retries of all hosts in any window only while a host's
part of the fixed allowance is at least 1 retry. With a smaller part, each host
may still spend a single retry and wait until it has refilled; many hosts
together may then exceed the budget.
"""

import dataclasses

from banyanshed.steering import models

# Fraction of the budget that hosts use. A host that has spent nothing may spend
# its part of the allowance at once, and within the same window what refills
# meanwhile: twice its part in total. Less than half keeps that within the
# budget.
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

    All methods take the current time in seconds of one monotonic clock.

    Attributes:
        limits: The budget of each service over all hosts.
        host_count: Number of hosts that share the budgets.
        spent: For each service the retries that were spent and have not been
            refilled, never below 0, and the time of that value in seconds.
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
        """Lowers what was spent by the part of a retry that a request allows.

        This is the ratio times USABLE_SHARE. When nothing was spent, the
        request has no effect: budgets don't grow beyond the fixed allowance.

        Args:
            service: Service of the caller's request.
            now: Current time in seconds.
        """
        self._add(service, -self.limits.ratio * USABLE_SHARE, now)

    def try_spend(self, service: models.ServiceName, now: float) -> bool:
        """Spends one retry; returns false when the budget is exhausted.

        A host that has nothing left to refill may always spend one, even if
        its part of the allowance is less than 1.
        """
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

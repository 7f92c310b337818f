"""Keeps each service's repeated requests within the budget of all hosts.

Each host spends its own part without talking: a share of the requests that
it sees, and an equal part of the allowance that is granted on top.
"""

import dataclasses

from banyanshed.steering import models

# Part of the granted budget that is spent, so that the windows of different
# hosts never add up to more than all of it.
USABLE_SHARE = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """The budget that all hosts share, per service.

    Attributes:
        ratio: Repeats per request.
        extra: Repeats granted on top, in each window.
        window_s: Length of the sliding window.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """This host's part of the budgets of all services.

    Attributes:
        host_count: Number of hosts that share the budgets.
    """

    def __init__(self, limits: RetryLimits):
        """Starts with full allowances."""
        self.limits = limits
        self.host_count = 1
        self.spent: dict[models.ServiceName, tuple[float, float]] = {}

    def set_host_count(self, host_count: int) -> None:
        """Takes the number of hosts that share the budgets."""
        self.host_count = max(1, host_count)

    def record_request(self, service: models.ServiceName, now: float) -> None:
        """Earns a part of a repeat with a client's request."""
        self._add(service, -self.limits.ratio * USABLE_SHARE, now)

    def try_spend(self, service: models.ServiceName, now: float) -> bool:
        """Takes one repeat from the budget if it allows it."""
        if self._spent_after_refill(service, now) + 1.0 > max(
            1.0, self.allowance
        ):
            return False
        self._add(service, 1.0, now)
        return True

    @property
    def allowance(self) -> float:
        """This host's part of the repeats granted on top."""
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

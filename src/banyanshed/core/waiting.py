"""Bounded queue of requests that wait for capacity.

Interactive requests have priority, but a fixed share of the turns belongs to
background work; tenants are served round-robin. A request that cannot be served
soon is refused immediately or after a short wait, well before its deadline.
"""

import collections
from collections.abc import Callable, Iterator
import dataclasses
import heapq
import itertools
import random
from typing import Generic, TypeVar

from banyanshed.core import models

MAX_WAITING = 256
MAX_WAITING_PER_TENANT = 64
BACKGROUND_TURN_INTERVAL = 8
"""In one of this many turns, background work is served first."""

MAX_WAIT_S = {
    models.Priority.INTERACTIVE: 0.5,
    models.Priority.BACKGROUND: 5.0,
}
MAX_WAIT_RATIO = 0.25
"""Fraction of the time left that a request may wait."""

RETRY_AFTER_S = {
    models.Priority.INTERACTIVE: 1.0,
    models.Priority.BACKGROUND: 30.0,
}
RETRY_JITTER = 0.5

P = TypeVar("P")


@dataclasses.dataclass(frozen=True)
class Waiter:
    """A request that waits.

    Attributes:
        ticket: Handle of the request; unique in the queue.
        service: Requested service.
        tenant: Tenant of the request; None for services open to all.
        priority: Interactive or background work.
        deadline_at_s: Monotonic time of the request's deadline.
    """

    ticket: str
    service: models.ServiceId
    tenant: models.TenantId | None
    priority: models.Priority
    deadline_at_s: float


@dataclasses.dataclass(frozen=True)
class RejectedWaiter:
    """A waiter that was removed from the queue, and its refusal."""

    waiter: Waiter
    refusal: models.Refusal


@dataclasses.dataclass(frozen=True)
class PlacedWaiter(Generic[P]):
    """A waiter that was placed, and the result of the placement."""

    waiter: Waiter
    placed: P


class FairQueue:
    """Waiters of one service and priority, served round-robin by tenant.

    Attributes:
        tenants: Waiters of each tenant, oldest first; the first tenant is
            served next.
    """

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self.tenants: collections.OrderedDict[
            models.TenantId | None, collections.OrderedDict[str, Waiter]
        ] = collections.OrderedDict()

    def add(self, waiter: Waiter) -> None:
        """Appends a waiter to the queue of its tenant."""
        queue = self.tenants.setdefault(
            waiter.tenant, collections.OrderedDict()
        )
        queue[waiter.ticket] = waiter

    def next_waiter(self) -> Waiter:
        """Returns the waiter to be served next."""
        queue = next(iter(self.tenants.values()))
        return next(iter(queue.values()))

    def remove(self, waiter: Waiter, *, served: bool) -> None:
        """Removes a waiter; if it was served, its tenant moves to the end."""
        queue = self.tenants[waiter.tenant]
        del queue[waiter.ticket]
        if not queue:
            del self.tenants[waiter.tenant]
        elif served:
            self.tenants.move_to_end(waiter.tenant)


class WaitQueue:
    """All waiting requests of a host.

    Attributes:
        waiters: Waiters by ticket.
        queues: Queues by priority and service; the first service is served
            next.
        placed_count: Number of waiters placed so far.
    """

    def __init__(
        self,
        rng: random.Random,
        limit: int = MAX_WAITING,
        tenant_limit: int = MAX_WAITING_PER_TENANT,
    ):
        """Initializes an empty queue.

        Args:
            rng: Random source of the jitter of retry times.
            limit: Maximum number of waiters.
            tenant_limit: Maximum number of waiters of one tenant.
        """
        self.rng = rng
        self.limit = limit
        self.tenant_limit = tenant_limit
        self.waiters: dict[str, Waiter] = {}
        self.per_tenant: collections.Counter[models.TenantId | None] = (
            collections.Counter()
        )
        self.queues: dict[
            models.Priority,
            collections.OrderedDict[models.ServiceId, FairQueue],
        ] = {
            priority: collections.OrderedDict() for priority in models.Priority
        }
        self.expiries: list[tuple[float, int, Waiter]] = []
        self.sequence = itertools.count()
        self.placed_count = 0

    def __len__(self) -> int:
        """Returns the number of waiters."""
        return len(self.waiters)

    def add(self, now_s: float, waiter: Waiter) -> models.Refusal | None:
        """Queues a request, or returns a refusal if it cannot wait."""
        if waiter.deadline_at_s <= now_s:
            return self.refusal(waiter)
        if len(self.waiters) >= self.limit:
            return self.refusal(waiter)
        if self.per_tenant[waiter.tenant] >= self.tenant_limit:
            return self.refusal(waiter)
        wait_s = min(
            MAX_WAIT_S[waiter.priority],
            MAX_WAIT_RATIO * (waiter.deadline_at_s - now_s),
        )
        self.waiters[waiter.ticket] = waiter
        self.per_tenant[waiter.tenant] += 1
        queues = self.queues[waiter.priority]
        queues.setdefault(waiter.service, FairQueue()).add(waiter)
        heapq.heappush(
            self.expiries, (now_s + wait_s, next(self.sequence), waiter)
        )
        return None

    def serve(
        self, now_s: float, place: Callable[[Waiter], P | None]
    ) -> Iterator[PlacedWaiter[P]]:
        """Places waiters in turn until no service can place its next waiter.

        Args:
            now_s: Monotonic time.
            place: Tries to place a waiter; returns None when there is no
                capacity.

        Yields:
            Each placed waiter, which is removed from the queue.
        """
        full_services: dict[models.Priority, set[models.ServiceId]] = {
            priority: set() for priority in models.Priority
        }
        while True:
            served = self._serve_one(place, full_services)
            if served is None:
                return
            yield served

    def _serve_one(
        self,
        place: Callable[[Waiter], P | None],
        full_services: dict[models.Priority, set[models.ServiceId]],
    ) -> PlacedWaiter[P] | None:
        for priority in self._priorities():
            for service, queue in list(self.queues[priority].items()):
                if service in full_services[priority]:
                    continue
                waiter = queue.next_waiter()
                placed = place(waiter)
                if placed is None:
                    full_services[priority].add(service)
                    continue
                self.placed_count += 1
                self._remove(waiter, served=True)
                return PlacedWaiter(waiter, placed)
        return None

    def _priorities(self) -> tuple[models.Priority, ...]:
        interactive = models.Priority.INTERACTIVE
        background = models.Priority.BACKGROUND
        if (
            self.placed_count % BACKGROUND_TURN_INTERVAL
            == BACKGROUND_TURN_INTERVAL - 1
        ):
            return (background, interactive)
        return (interactive, background)

    def _remove(self, waiter: Waiter, *, served: bool) -> None:
        del self.waiters[waiter.ticket]
        self.per_tenant[waiter.tenant] -= 1
        if not self.per_tenant[waiter.tenant]:
            del self.per_tenant[waiter.tenant]
        queues = self.queues[waiter.priority]
        queue = queues[waiter.service]
        queue.remove(waiter, served=served)
        if not queue.tenants:
            del queues[waiter.service]
        elif served:
            queues.move_to_end(waiter.service)

    def cancel(self, ticket: str) -> None:
        """Removes a waiter whose caller has disconnected, if it is queued."""
        waiter = self.waiters.get(ticket)
        if waiter is not None:
            self._remove(waiter, served=False)

    def expire(self, now_s: float) -> list[RejectedWaiter]:
        """Removes and returns the waiters whose wait has expired."""
        rejected = []
        while self.expiries and self.expiries[0][0] <= now_s:
            _, _, waiter = heapq.heappop(self.expiries)
            if self.waiters.get(waiter.ticket) is not waiter:
                continue
            self._remove(waiter, served=False)
            rejected.append(RejectedWaiter(waiter, self.refusal(waiter)))
        return rejected

    def reject_all(self) -> list[RejectedWaiter]:
        """Removes and returns all waiters, for a planned stop."""
        rejected = []
        for waiter in list(self.waiters.values()):
            self._remove(waiter, served=False)
            rejected.append(RejectedWaiter(waiter, self.refusal(waiter)))
        return rejected

    def next_expiry_s(self) -> float | None:
        """Returns when `expire` is due next; None when the queue is empty."""
        while self.expiries:
            expiry_s, _, waiter = self.expiries[0]
            if self.waiters.get(waiter.ticket) is waiter:
                return expiry_s
            heapq.heappop(self.expiries)
        return None

    def has_waiters(
        self, service: models.ServiceId, priority: models.Priority
    ) -> bool:
        """Returns whether requests of a service and priority are waiting."""
        return service in self.queues[priority]

    def refusal(self, waiter: Waiter) -> models.Refusal:
        """Returns the refusal of a request that cannot be placed."""
        jitter = 1 + self.rng.uniform(0, RETRY_JITTER)
        return models.Refusal(
            503,
            "no_capacity",
            models.Ran.NO,
            RETRY_AFTER_S[waiter.priority] * jitter,
            "No region has capacity for the request now.",
        )

"""Requests in progress on a host: admission, placement, retries, queueing.

It performs no I/O: events are passed in with the time of a monotonic clock, and
decisions are passed to the reply callbacks of the events.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from typing import Any

from banyanshed import settings as settings_module
from banyanshed.core import admission_control
from banyanshed.core import admissions
from banyanshed.core import backends
from banyanshed.core import configuration
from banyanshed.core import events
from banyanshed.core import freshness
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import probes
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import retries
from banyanshed.core import routing
from banyanshed.core import rows
from banyanshed.core import slots
from banyanshed.core import waiting

HEADER_ALLOWANCE_BYTES = 512
"""Allowance in bytes for the start line and the headers that a host adds."""

SHARE_WAIT_S = 0.5
MAX_SHARE_WAITERS = 64
NO_DIGEST = models.KeyDigest("")

RequestPlacement = routing.RequestPlacement[
    admissions.Unit, admissions.Reservation
]


@dataclasses.dataclass
class ActiveRequest:
    """An admitted request without a final answer.

    Attributes:
        request: Request of the caller.
        service: Row of the service at the time of admission.
        admitted: Admission of the request.
        history: Failed attempts.
        placement: Resources held by the attempt in flight, if any.
        reply: Callback for the decision that the caller's thread waits for.
        failure: Failure of the last attempt.
    """

    request: requests.CallerRequest
    service: rows.ServiceRow
    admitted: events.Admitted
    history: retries.AttemptHistory = dataclasses.field(
        default_factory=retries.AttemptHistory
    )
    placement: RequestPlacement | None = None
    reply: events.Reply | None = None
    failure: requests.AttemptFailure | None = None


@dataclasses.dataclass(frozen=True)
class ShareWaiter:
    """A request that waits for this host to hold a share of its tenant's rate.

    Attributes:
        event: Arrival of the request.
        tenant: Tenant of the request.
        expires_s: Monotonic time at which the request stops waiting.
    """

    event: events.RequestArrived
    tenant: models.TenantId
    expires_s: float


class Traffic:
    """All requests of a host; used only on the thread of the event loop."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        shares: leases.ShareHolder,
        config_freshness: freshness.Freshness,
        rng: random.Random,
    ):
        """Creates traffic without requests.

        Args:
            settings: Settings of this host.
            config: Configuration in force; updated by the host.
            shares: This host's shares of the limits; updated by the host.
            config_freshness: Age of the configuration; updated by the host.
            rng: Source of random numbers.
        """
        self.config = config
        self.shares = shares
        self.rng = rng
        self.admission_control = admission_control.AdmissionControl(
            settings, config, shares, config_freshness
        )
        self.active_requests: dict[str, ActiveRequest] = {}
        self.backends = backends.BackendRegistry(settings.host_id(), rng)
        self.router: routing.Router[admissions.Unit, admissions.Reservation] = (
            routing.Router(
                models.RegionId(settings.region), shares, self.backends
            )
        )
        self.probes = probes.Probes(self.backends, rng)
        self.unit_grant_watcher = slots.UnitGrantWatcher()
        self.budget = retries.RetryBudget()
        self.queue = waiting.WaitQueue(rng, settings.waiting_limit)
        self.share_waiters: list[ShareWaiter] = []
        self.delayed_retries: list[tuple[float, int, str]] = []
        self.retry_sequence = itertools.count()
        self.state_sequence = itertools.count(1)
        self.leaving_addresses: frozenset[str] = frozenset()
        self.retry_count = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self.active_requests) + len(self.share_waiters)

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for a unit, a share or a retry."""
        return bool(
            self.queue.waiters or self.delayed_retries or self.share_waiters
        )

    def close(self) -> None:
        """Refuses new requests; those in progress continue."""
        self.admission_control.closed = True

    def on_config(self, now_s: float, drained: frozenset[str]) -> None:
        """Applies a new configuration.

        Args:
            now_s: Monotonic time.
            drained: Keys of drained placements and backend servers.
        """
        self.router.configure(
            self.config.regions.values(),
            [
                placement
                for placements in self.config.placements.values()
                for placement in placements.values()
            ],
        )
        backend_rows = [
            row
            for servers in self.config.backends.values()
            for row in servers.values()
        ]
        self.backends.configure(now_s, backend_rows, self.config.version)
        for row in backend_rows:
            leaving = rows.row_key(row) in drained
            self._report_state(now_s, row, reports.StateSource.DRAIN, leaving)
            self._report_host_list(now_s, row)

    def on_leaving_hosts(self, now_s: float, addresses: frozenset[str]) -> None:
        """Sets the "IP:port" of backend servers leaving by the host list."""
        if addresses == self.leaving_addresses:
            return
        self.leaving_addresses = addresses
        for backend in self.backends.registered.values():
            self._report_host_list(now_s, backend.row)

    def _report_host_list(self, now_s: float, row: rows.BackendRow) -> None:
        leaving = row.address in self.leaving_addresses
        self._report_state(now_s, row, reports.StateSource.HOST_LIST, leaving)

    def _report_state(
        self,
        now_s: float,
        row: rows.BackendRow,
        source: reports.StateSource,
        leaving: bool,
    ) -> None:
        state = models.BackendState.LIVE
        if leaving:
            state = models.BackendState.LEAVING
        report = reports.StateReported(
            models.ServiceId(row.service),
            models.BackendId(row.backend),
            source,
            state,
            next(self.state_sequence),
        )
        self.backends.handle(report, now_s)

    @functools.singledispatchmethod
    def handle(self, event: Any, now_s: float) -> None:
        """Dispatches an event that occurred at a monotonic time."""
        raise TypeError(type(event).__name__)

    # Admission.

    @handle.register
    def _on_request_arrived(
        self, event: events.RequestArrived, now_s: float
    ) -> None:
        admitted = self.admission_control.admit(event, now_s)
        if isinstance(admitted, models.Refusal):
            if not self._wait_for_share(event, admitted, now_s):
                event.reply(admitted)
            return
        self._start(event, admitted, now_s)

    def _start(
        self,
        event: events.RequestArrived,
        admitted: events.Admitted,
        now_s: float,
    ) -> None:
        service = self.config.services[event.request.service]
        active = ActiveRequest(event.request, service, admitted)
        self.active_requests[admitted.ticket] = active
        self.budget.record_request()
        if not event.place_at_once:
            event.reply(admitted)
            return
        active.reply = event.reply
        self._place_or_wait(active, now_s)

    def _wait_for_share(
        self,
        event: events.RequestArrived,
        refusal: models.Refusal,
        now_s: float,
    ) -> bool:
        """Queues a request that was refused because this host has no share.

        Returns:
            Whether the request waits.
        """
        if refusal.code != admission_control.NO_SHARE_CODE:
            return False
        key = self.config.keys.get(event.request.key_digest or NO_DIGEST)
        if key is None or len(self.share_waiters) >= MAX_SHARE_WAITERS:
            return False
        expires_s = now_s + min(SHARE_WAIT_S, event.request.deadline_s / 2)
        tenant = models.TenantId(key.tenant)
        self.share_waiters.append(ShareWaiter(event, tenant, expires_s))
        return True

    def _serve_share_waiters(self, now_s: float) -> None:
        """Admits or refuses requests whose wait for a share has ended."""
        remaining = []
        for waiter in self.share_waiters:
            shared = self.admission_control.has_share(waiter.tenant, now_s)
            if not shared and now_s < waiter.expires_s:
                remaining.append(waiter)
                continue
            admitted = self.admission_control.admit(waiter.event, now_s)
            if isinstance(admitted, models.Refusal):
                waiter.event.reply(admitted)
                continue
            self._start(waiter.event, admitted, now_s)
        self.share_waiters = remaining

    # Placement.

    @handle.register
    def _on_placement_requested(
        self, event: events.PlacementRequested, now_s: float
    ) -> None:
        active = self.active_requests[event.ticket]
        active.reply = event.reply
        self._place_or_wait(active, now_s)

    def _place_or_wait(self, active: ActiveRequest, now_s: float) -> None:
        may_place = not self._must_wait(active)
        if may_place and self._place(active, now_s):
            return
        waiter = waiting.Waiter(
            active.admitted.ticket,
            active.request.service,
            active.admitted.tenant,
            active.service.priority,
            active.admitted.deadline_at_s,
        )
        refusal = self.queue.add(now_s, waiter)
        if refusal is not None:
            self._refuse(active, refusal)

    def _must_wait(self, active: ActiveRequest) -> bool:
        """Returns whether requests wait that must be served first."""
        service = active.request.service
        if self.queue.has_waiters(service, models.Priority.INTERACTIVE):
            return True
        return self.queue.has_waiters(service, active.service.priority)

    def _place(self, active: ActiveRequest, now_s: float) -> bool:
        """Places a request and notifies its thread; False when not possible."""
        placement = self.router.place(
            now_s,
            active.request.service,
            sent_bytes(active.request),
            active.admitted.answer_bytes + HEADER_ALLOWANCE_BYTES,
            active.history.failed,
        )
        if isinstance(placement, models.Refusal):
            return False
        active.placement = placement
        self._reply(
            active,
            events.Placed(
                active.admitted,
                placement.attempt.target,
                self.shares.usable_until_s(now_s),
            ),
        )
        return True

    def _reply(self, active: ActiveRequest, decision: events.Decision) -> None:
        reply = active.reply
        active.reply = None
        if reply is not None:
            reply(decision)

    def _refuse(self, active: ActiveRequest, refusal: models.Refusal) -> None:
        """Ends a request with a refusal that states whether it may have run."""
        failure = active.failure
        may_have_run = active.history.ran is models.Ran.UNKNOWN
        if failure is not None and may_have_run:
            refusal = retries.refusal(active.history, failure)
        self.active_requests.pop(active.admitted.ticket, None)
        self._reply(active, refusal)

    # Ends of attempts.

    @handle.register
    def _on_attempt_ended(
        self, event: events.AttemptEnded, now_s: float
    ) -> None:
        active = self.active_requests[event.ticket]
        active.reply = event.reply
        self._end_attempt(active, event.outcome, now_s)
        if isinstance(event.outcome, requests.Answer):
            del self.active_requests[event.ticket]
        else:
            self._handle_failure(active, event.outcome, now_s)
        self._serve_waiting(now_s)

    def _handle_failure(
        self,
        active: ActiveRequest,
        failure: requests.AttemptFailure,
        now_s: float,
    ) -> None:
        """Readmits, retries or refuses a request after a failed attempt."""
        active.failure = failure
        refusal = self._recheck_key(active, now_s)
        if refusal is not None:
            self._refuse(active, refusal)
        elif failure.code == events.LAPSED_CODE:
            self._readmit(active, now_s)
        else:
            self._retry_or_refuse(active, failure, now_s)

    @handle.register
    def _on_request_ended(
        self, event: events.RequestEnded, now_s: float
    ) -> None:
        self.active_requests.pop(event.ticket, None)

    def _end_attempt(
        self,
        active: ActiveRequest,
        outcome: requests.Answer | requests.AttemptFailure,
        now_s: float,
    ) -> None:
        """Frees the resources of an attempt and reports its outcome."""
        placement = active.placement
        active.placement = None
        if placement is None:
            return
        sent, received = _used_bytes(active, outcome)
        self.router.release(now_s, placement, sent, received)
        lapsed = (
            isinstance(outcome, requests.AttemptFailure)
            and outcome.code == events.LAPSED_CODE
        )
        if lapsed:
            self.backends.handle(
                reports.AttemptDropped(placement.attempt), now_s
            )
            return
        self.backends.handle(
            reports.AttemptFinished(placement.attempt, outcome), now_s
        )
        if isinstance(outcome, requests.AttemptFailure):
            backend = placement.attempt.target.backend
            active.history.record(backend, outcome)

    def _readmit(self, active: ActiveRequest, now_s: float) -> None:
        """Charges a request again whose lease lapsed before it was sent."""
        refusal = self.admission_control.charge(active.admitted.tenant, now_s)
        if refusal is not None:
            self._refuse(active, refusal)
            return
        self._place_or_wait(active, now_s)

    def _recheck_key(
        self, active: ActiveRequest, now_s: float
    ) -> models.Refusal | None:
        """Returns a refusal if the request's key is no longer valid."""
        tenant = self.admission_control.authenticate(
            active.service, active.request, now_s
        )
        return tenant if isinstance(tenant, models.Refusal) else None

    def _retry_or_refuse(
        self,
        active: ActiveRequest,
        failure: requests.AttemptFailure,
        now_s: float,
    ) -> None:
        decision = retries.decide(
            active.request,
            active.history,
            failure,
            active.admitted.deadline_at_s - now_s,
            self.budget,
            self.rng,
        )
        if isinstance(decision, models.Refusal):
            self._refuse(active, decision)
            return
        self.retry_count += 1
        if decision.delay_s == 0:
            self._place_or_wait(active, now_s)
            return
        ticket = active.admitted.ticket
        due_s = now_s + decision.delay_s
        heapq.heappush(
            self.delayed_retries, (due_s, next(self.retry_sequence), ticket)
        )

    # Periodic work.

    def tick(self, now_s: float) -> None:
        """Refuses expired waiters, then places due retries and waiters."""
        for rejected in self.queue.expire(now_s):
            self._refuse(
                self.active_requests[rejected.waiter.ticket], rejected.refusal
            )
        while self.delayed_retries and self.delayed_retries[0][0] <= now_s:
            _, _, ticket = heapq.heappop(self.delayed_retries)
            self._place_or_wait(self.active_requests[ticket], now_s)
        if self.share_waiters:
            self._serve_share_waiters(now_s)
        self._update_slots()
        self._serve_waiting(now_s)

    def _update_slots(self) -> None:
        """Passes changed unit grants to the backend registry."""
        for changed in self.unit_grant_watcher.changes(self.shares):
            self.backends.set_units(
                changed.service, changed.region, changed.units
            )

    def _serve_waiting(self, now_s: float) -> None:
        if not self.queue.waiters:
            return

        def place(waiter: waiting.Waiter) -> bool | None:
            return (
                self._place(self.active_requests[waiter.ticket], now_s) or None
            )

        for _ in self.queue.serve(now_s, place):
            continue

    def state(self, now_s: float) -> dict[str, Any]:
        """Returns the state as JSON data."""
        return {
            "closed": self.admission_control.closed,
            "in_flight": self.in_flight,
            "waiting": len(self.queue),
            "retries": self.retry_count,
            "retry_tokens": self.budget.tokens,
            "backends": [
                {
                    "service": service,
                    "backend": backend_id,
                    "in_flight": backend.in_flight,
                    "leaving": backend.leaving,
                    "ejected": backend.is_ejected(now_s),
                }
                for (service, backend_id), backend in sorted(
                    self.backends.registered.items()
                )
            ],
        }


def sent_bytes(request: requests.CallerRequest) -> int:
    """Returns the number of bytes that a request uses on a link."""
    size = HEADER_ALLOWANCE_BYTES + len(request.target) + len(request.body)
    for name, value in request.headers.items():
        size += len(name) + len(value) + 4
    return size


def _used_bytes(
    active: ActiveRequest,
    outcome: requests.Answer | requests.AttemptFailure,
) -> tuple[int, int]:
    """Returns bytes sent and received; the maximum when unknown."""
    sent = sent_bytes(active.request)
    if isinstance(outcome, requests.Answer):
        received = HEADER_ALLOWANCE_BYTES + len(outcome.body)
        return sent, received
    if outcome.ran is models.Ran.NO:
        return 0, HEADER_ALLOWANCE_BYTES
    return sent, active.admitted.answer_bytes + HEADER_ALLOWANCE_BYTES

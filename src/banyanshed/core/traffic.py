"""Requests at work on one host: admission, placement, retries, waiting.

No input or output: events come in with the time of a monotonic clock, and
decisions go to the reply functions that the events carry.
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

HEAD_BYTES = 512
"""Allowance for the start line and the headers that a host adds."""

SHARE_WAIT_S = 0.5
MAX_UNSHARED = 64
NO_DIGEST = models.KeyDigest("")

Placement = routing.Placement[admissions.Unit, admissions.Reservation]


@dataclasses.dataclass
class Serving:
    """One request at work.

    Attributes:
        request: The request.
        service: Its service's row when it was admitted.
        admitted: Its admission.
        history: Failed attempts.
        placement: What the attempt at work holds.
        reply: Receives the decision that the caller's thread waits for.
        failure: The last failure.
    """

    request: requests.CallerRequest
    service: rows.ServiceRow
    admitted: events.Admitted
    history: retries.History = dataclasses.field(
        default_factory=retries.History
    )
    placement: Placement | None = None
    reply: events.Reply | None = None
    failure: requests.AttemptFailure | None = None


@dataclasses.dataclass(frozen=True)
class Unshared:
    """A request that waits until this host holds a share of its tenant.

    Attributes:
        event: Its arrival.
        tenant: Its tenant.
        give_up_s: Monotonic time of its final answer.
    """

    event: events.RequestArrived
    tenant: models.TenantId
    give_up_s: float


class Traffic:
    """All requests of one host; owned by the loop's thread."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        shares: leases.ShareHolder,
        fresh: freshness.Freshness,
        rng: random.Random,
    ):
        """Takes the parts that decide with it."""
        self.config = config
        self.shares = shares
        self.rng = rng
        self.entrance = admission_control.AdmissionControl(
            settings, config, shares, fresh
        )
        self.serving: dict[str, Serving] = {}
        self.backends = backends.Backends(settings.host_id(), rng)
        self.router: routing.Router[admissions.Unit, admissions.Reservation] = (
            routing.Router(
                models.RegionId(settings.region), shares, self.backends
            )
        )
        self.probes = probes.Probes(self.backends, rng)
        self.unit_watch = slots.UnitGrantWatcher()
        self.budget = retries.RetryBudget()
        self.queue = waiting.WaitQueue(rng, settings.waiting_limit)
        self.unshared: list[Unshared] = []
        self.delayed: list[tuple[float, int, str]] = []
        self.sequence = itertools.count()
        self.words = itertools.count(1)
        self.leaving_addresses: frozenset[str] = frozenset()
        self.retried = 0

    @property
    def in_flight(self) -> int:
        """Requests that have no final answer yet."""
        return len(self.serving) + len(self.unshared)

    @property
    def waits(self) -> bool:
        """Whether a request waits for a unit, a share or a retry."""
        return bool(self.queue.waiters or self.delayed or self.unshared)

    def close(self) -> None:
        """Refuses further requests; those at work go on."""
        self.entrance.closed = True

    def on_config(self, now_s: float, drained: frozenset[str]) -> None:
        """Takes a new configuration.

        Args:
            now_s: Monotonic time.
            drained: Keys of placements and backend servers being drained.
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
            self._report(now_s, row, reports.Sign.DRAIN, leaving)
            self._report_listed(now_s, row)

    def on_leaving_hosts(self, now_s: float, addresses: frozenset[str]) -> None:
        """Takes "IP:port" of backend servers that the host list says leave."""
        if addresses == self.leaving_addresses:
            return
        self.leaving_addresses = addresses
        for backend in self.backends.known.values():
            self._report_listed(now_s, backend.row)

    def _report_listed(self, now_s: float, row: rows.BackendRow) -> None:
        leaving = row.address in self.leaving_addresses
        self._report(now_s, row, reports.Sign.HOST_LIST, leaving)

    def _report(
        self,
        now_s: float,
        row: rows.BackendRow,
        sign: reports.Sign,
        leaving: bool,
    ) -> None:
        state = models.BackendState.LIVE
        if leaving:
            state = models.BackendState.LEAVING
        report = reports.SignReported(
            models.ServiceId(row.service),
            models.BackendId(row.backend),
            sign,
            state,
            next(self.words),
        )
        self.backends.handle(report, now_s)

    @functools.singledispatchmethod
    def handle(self, event: Any, now_s: float) -> None:
        """Takes an event, at a monotonic time."""
        raise TypeError(type(event).__name__)

    # Admission.

    @handle.register
    def _on_arrived(self, event: events.RequestArrived, now_s: float) -> None:
        admitted = self.entrance.admit(event, now_s)
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
        serving_now = Serving(event.request, service, admitted)
        self.serving[admitted.ticket] = serving_now
        self.budget.record_request()
        if not event.place_at_once:
            event.reply(admitted)
            return
        serving_now.reply = event.reply
        self._place_or_wait(serving_now, now_s)

    def _wait_for_share(
        self,
        event: events.RequestArrived,
        refusal: models.Refusal,
        now_s: float,
    ) -> bool:
        """Lets a request wait for a share that this host has just asked for."""
        if refusal.code != admission_control.NO_SHARE_CODE:
            return False
        key = self.config.keys.get(event.request.key_digest or NO_DIGEST)
        if key is None or len(self.unshared) >= MAX_UNSHARED:
            return False
        give_up_s = now_s + min(SHARE_WAIT_S, event.request.deadline_s / 2)
        tenant = models.TenantId(key.tenant)
        self.unshared.append(Unshared(event, tenant, give_up_s))
        return True

    def _serve_unshared(self, now_s: float) -> None:
        """Admits or refuses requests that waited for a share."""
        waiting_still = []
        for unshared in self.unshared:
            shared = self.entrance.has_share(unshared.tenant, now_s)
            if not shared and now_s < unshared.give_up_s:
                waiting_still.append(unshared)
                continue
            admitted = self.entrance.admit(unshared.event, now_s)
            if isinstance(admitted, models.Refusal):
                unshared.event.reply(admitted)
                continue
            self._start(unshared.event, admitted, now_s)
        self.unshared = waiting_still

    # Placement.

    @handle.register
    def _on_wanted(
        self, event: events.PlacementRequested, now_s: float
    ) -> None:
        serving_now = self.serving[event.ticket]
        serving_now.reply = event.reply
        self._place_or_wait(serving_now, now_s)

    def _place_or_wait(self, serving_now: Serving, now_s: float) -> None:
        free = not self._must_wait(serving_now)
        if free and self._place(serving_now, now_s):
            return
        waiter = waiting.Waiter(
            serving_now.admitted.ticket,
            serving_now.request.service,
            serving_now.admitted.tenant,
            serving_now.service.priority,
            serving_now.admitted.deadline_at_s,
        )
        refusal = self.queue.add(now_s, waiter)
        if refusal is not None:
            self._refuse(serving_now, refusal)

    def _must_wait(self, serving_now: Serving) -> bool:
        """Returns whether others wait that must not be overtaken."""
        service = serving_now.request.service
        if self.queue.must_wait(service, models.Priority.INTERACTIVE):
            return True
        return self.queue.must_wait(service, serving_now.service.priority)

    def _place(self, serving_now: Serving, now_s: float) -> bool:
        """Places a request and tells its thread; false when it can't be."""
        placement = self.router.place(
            now_s,
            serving_now.request.service,
            sent_bytes(serving_now.request),
            serving_now.admitted.answer_bytes + HEAD_BYTES,
            serving_now.history.failed,
        )
        if isinstance(placement, models.Refusal):
            return False
        serving_now.placement = placement
        self._reply(
            serving_now,
            events.Placed(
                serving_now.admitted,
                placement.attempt.target,
                self.shares.usable_until_s(now_s),
            ),
        )
        return True

    def _reply(self, serving_now: Serving, decision: events.Decision) -> None:
        reply = serving_now.reply
        serving_now.reply = None
        if reply is not None:
            reply(decision)

    def _refuse(self, serving_now: Serving, refusal: models.Refusal) -> None:
        """Ends a request with a refusal that tells what may have run."""
        failure = serving_now.failure
        may_have_run = serving_now.history.ran is models.Ran.UNKNOWN
        if failure is not None and may_have_run:
            refusal = retries.refusal(serving_now.history, failure)
        self.serving.pop(serving_now.admitted.ticket, None)
        self._reply(serving_now, refusal)

    # Ends of attempts.

    @handle.register
    def _on_ended(self, event: events.AttemptEnded, now_s: float) -> None:
        serving_now = self.serving[event.ticket]
        serving_now.reply = event.reply
        self._end_attempt(serving_now, event.outcome, now_s)
        if isinstance(event.outcome, requests.Answer):
            del self.serving[event.ticket]
        else:
            self._go_on(serving_now, event.outcome, now_s)
        self._serve_waiting(now_s)

    def _go_on(
        self,
        serving_now: Serving,
        failure: requests.AttemptFailure,
        now_s: float,
    ) -> None:
        """Decides what follows a failed attempt."""
        serving_now.failure = failure
        refusal = self._check_key_again(serving_now, now_s)
        if refusal is not None:
            self._refuse(serving_now, refusal)
        elif failure.code == events.LAPSED_CODE:
            self._admit_again(serving_now, now_s)
        else:
            self._retry_or_refuse(serving_now, failure, now_s)

    @handle.register
    def _on_request_ended(
        self, event: events.RequestEnded, now_s: float
    ) -> None:
        self.serving.pop(event.ticket, None)

    def _end_attempt(
        self,
        serving_now: Serving,
        outcome: requests.Answer | requests.AttemptFailure,
        now_s: float,
    ) -> None:
        """Gives back what the attempt held and tells the backend's record."""
        placement = serving_now.placement
        serving_now.placement = None
        if placement is None:
            return
        sent, received = _used_bytes(serving_now, outcome)
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
            serving_now.history.record(backend, outcome)

    def _admit_again(self, serving_now: Serving, now_s: float) -> None:
        """Charges a request anew whose lease lapsed before it was sent."""
        refusal = self.entrance.charge(serving_now.admitted.tenant, now_s)
        if refusal is not None:
            self._refuse(serving_now, refusal)
            return
        self._place_or_wait(serving_now, now_s)

    def _check_key_again(
        self, serving_now: Serving, now_s: float
    ) -> models.Refusal | None:
        """Returns the refusal of a request whose key was withdrawn since."""
        tenant = self.entrance.authenticate(
            serving_now.service, serving_now.request, now_s
        )
        return tenant if isinstance(tenant, models.Refusal) else None

    def _retry_or_refuse(
        self,
        serving_now: Serving,
        failure: requests.AttemptFailure,
        now_s: float,
    ) -> None:
        decision = retries.decide(
            serving_now.request,
            serving_now.history,
            failure,
            serving_now.admitted.deadline_at_s - now_s,
            self.budget,
            self.rng,
        )
        if isinstance(decision, models.Refusal):
            self._refuse(serving_now, decision)
            return
        self.retried += 1
        if decision.delay_s == 0:
            self._place_or_wait(serving_now, now_s)
            return
        ticket = serving_now.admitted.ticket
        due_s = now_s + decision.delay_s
        heapq.heappush(self.delayed, (due_s, next(self.sequence), ticket))

    # Time.

    def tick(self, now_s: float) -> None:
        """Gives up waiters that are due and places what can be placed."""
        for given_up in self.queue.expire(now_s):
            self._refuse(self.serving[given_up.waiter.ticket], given_up.refusal)
        while self.delayed and self.delayed[0][0] <= now_s:
            _, _, ticket = heapq.heappop(self.delayed)
            self._place_or_wait(self.serving[ticket], now_s)
        if self.unshared:
            self._serve_unshared(now_s)
        self._divide_slots()
        self._serve_waiting(now_s)

    def _divide_slots(self) -> None:
        """Tells the backend servers' record of hosts whose units changed."""
        for changed in self.unit_watch.changes(self.shares):
            self.backends.set_units(
                changed.service, changed.region, changed.units
            )

    def _serve_waiting(self, now_s: float) -> None:
        if not self.queue.waiters:
            return

        def place(waiter: waiting.Waiter) -> bool | None:
            return self._place(self.serving[waiter.ticket], now_s) or None

        for _ in self.queue.serve(now_s, place):
            continue

    def state(self, now_s: float) -> dict[str, Any]:
        """Returns the state as JSON data."""
        return {
            "closed": self.entrance.closed,
            "in_flight": self.in_flight,
            "waiting": len(self.queue),
            "retries": self.retried,
            "retry_tokens": self.budget.tokens,
            "backends": [
                {
                    "service": service,
                    "backend": backend_id,
                    "in_flight": backend.in_flight,
                    "leaving": backend.leaving,
                    "ejected": backend.ejected(now_s),
                }
                for (service, backend_id), backend in sorted(
                    self.backends.known.items()
                )
            ],
        }


def sent_bytes(request: requests.CallerRequest) -> int:
    """Returns the bytes that a request takes on a link."""
    size = HEAD_BYTES + len(request.target) + len(request.body)
    for name, value in request.headers.items():
        size += len(name) + len(value) + 4
    return size


def _used_bytes(
    serving_now: Serving, outcome: requests.Answer | requests.AttemptFailure
) -> tuple[int, int]:
    """Returns bytes sent and received; the most possible when unknown."""
    sent = sent_bytes(serving_now.request)
    if isinstance(outcome, requests.Answer):
        received = HEAD_BYTES + len(outcome.body)
        return sent, received
    if outcome.ran is models.Ran.NO:
        return 0, HEAD_BYTES
    return sent, serving_now.admitted.answer_bytes + HEAD_BYTES

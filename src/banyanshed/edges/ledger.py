"""Runs the steps of idempotency claims against the platform; blocking."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import random
import threading
import time
from typing import Any, TypeVar
import uuid

from banyanshed import exceptions
from banyanshed.core import claims
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.core import services
from banyanshed.edges import commits

# Limits on the responses that wait to be recorded: number and bytes.
MAX_PENDING_COUNT = 1000
MAX_PENDING_BYTES = 32 << 20
MAX_FLUSH_FAILURES = 3
# Time between deletions of old claims, in seconds.
SWEEP_INTERVAL_S = 10.0
HEX_DIGITS = "0123456789abcdef"

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class PendingRecord:
    """A response that is still to be recorded."""

    claim: claims.Claim
    answer: requests.Answer = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True)
class PendingRelease:
    """A claim whose request did not run and that is still to be released."""

    claim: claims.Claim


Pending = PendingRecord | PendingRelease


class Ledger:
    """One host's access to the ledger of idempotent requests; thread-safe.

    Attributes:
        pending: Writes that the platform did not accept yet, oldest first, by
            the claim's token. `flush` retries them.
        results: Number of claim results by name, for metrics.
    """

    def __init__(
        self,
        table: services.Table,
        objects: services.ObjectStore,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates a ledger; `clock` returns monotonic seconds."""
        self.table: services.Table = commits.GroupCommit(table)
        self.objects = objects
        self.clock = clock
        self.store_clock = claims.StoreClockEstimate()
        self.lock = threading.Lock()
        self.pending: dict[str, Pending] = {}
        self.pending_bytes = 0
        self.results: collections.Counter[str] = collections.Counter()

    def claim(
        self,
        tenant: models.TenantId | None,
        request: requests.CallerRequest,
        time_left_s: float,
    ) -> claims.Claim | requests.Answer | models.Refusal:
        """Reserves a request that carries an idempotency key.

        Args:
            tenant: Tenant of the request; None on routes open to all.
            request: The request; must have an idempotency key.
            time_left_s: Time until the request's deadline, in seconds.

        Returns:
            The claim, whose holder alone may send the request and must then
            record or release it; the recorded response; or a refusal.
        """
        result = self._claim(tenant, request, time_left_s)
        name = type(result).__name__.lower()
        if isinstance(result, models.Refusal):
            name = result.code
        with self.lock:
            self.results[name] += 1
        return result

    def record(self, claim: claims.Claim, answer: requests.Answer) -> None:
        """Records a response; keeps it for `flush` if the platform fails."""
        self._finish_or_keep(PendingRecord(claim, answer))

    def release(self, claim: claims.Claim) -> None:
        """Releases the claim of a request that certainly did not run."""
        self._finish_or_keep(PendingRelease(claim))

    def flush(self) -> int:
        """Retries pending writes; returns how many are left.

        Stops after MAX_FLUSH_FAILURES; failed writes move to the end.
        """
        with self.lock:
            pending_writes = list(self.pending.values())
        failures = 0
        for pending in pending_writes:
            if failures == MAX_FLUSH_FAILURES:
                break
            settled = self._try_finish(pending)
            self._remove_pending(pending)
            if not settled:
                self._add_pending(pending)
                failures += 1
        return len(self.pending)

    def sweep(self, rng: random.Random) -> int:
        """Deletes expired claims in one random part of the ledger.

        Every host calls it about every SWEEP_INTERVAL_S, without coordination.

        Returns:
            The number of deleted claims; 0 also if the platform failed.
        """
        digits = rng.choices(HEX_DIGITS, k=claims.SWEEP_PREFIX_DIGITS)
        prefix = claims.CLAIM_PREFIX + "".join(digits)
        try:
            return self._run_steps(claims.sweep(prefix))
        except exceptions.PlatformError:
            return 0

    def _claim(
        self,
        tenant: models.TenantId | None,
        request: requests.CallerRequest,
        time_left_s: float,
    ) -> claims.Claim | requests.Answer | models.Refusal:
        assert request.idempotency_key is not None
        end_s = self.clock() + time_left_s
        key = claims.claim_key(tenant, request.idempotency_key)
        fingerprint = claims.fingerprint(request)
        pending_result = self._find_pending(key, fingerprint)
        if pending_result is not None:
            return pending_result
        if self._is_full():
            return claims.refuse_full()
        try:
            self._init_store_clock(key)
        except exceptions.PlatformError:
            return claims.refuse_unreachable()
        created_s = self.store_clock.estimate_s(self.clock())
        claim = claims.Claim(
            key=key,
            fingerprint=fingerprint,
            token=uuid.uuid4().hex,
            created_s=created_s,
            ends_s=created_s + time_left_s,
            send_before_s=end_s,
        )
        result = self._run_steps(claims.reserve(claim), end_s)
        if not isinstance(result, claims.InDoubt):
            return result
        self._add_pending(PendingRelease(result.claim))
        return result.refusal

    def _find_pending(
        self, key: str, fingerprint: str
    ) -> requests.Answer | models.Refusal | None:
        with self.lock:
            waiting = list(self.pending.values())
        for pending in waiting:
            if pending.claim.key != key:
                continue
            if isinstance(pending, PendingRelease):
                continue
            if pending.claim.fingerprint != fingerprint:
                return claims.refuse_reused()
            return pending.answer
        return None

    def _is_full(self) -> bool:
        full = len(self.pending) >= MAX_PENDING_COUNT
        return full or self.pending_bytes >= MAX_PENDING_BYTES

    def _init_store_clock(self, key: str) -> None:
        if self.store_clock.offset_s is None:
            self._run_step(claims.ReadRow(key))

    def _finish_or_keep(self, pending: Pending) -> None:
        if not self._try_finish(pending):
            self._add_pending(pending)

    def _try_finish(self, pending: Pending) -> bool:
        try:
            self._run_steps(_pending_steps(pending))
        except exceptions.PlatformError:
            return False
        return True

    def _add_pending(self, pending: Pending) -> None:
        with self.lock:
            self.pending[pending.claim.token] = pending
            self.pending_bytes += _size_bytes(pending)

    def _remove_pending(self, pending: Pending) -> None:
        with self.lock:
            if self.pending.pop(pending.claim.token, None) is not None:
                self.pending_bytes -= _size_bytes(pending)

    def _run_steps(
        self, steps: claims.Steps[T], end_s: float | None = None
    ) -> T:
        """Runs steps; steps after `end_s` fail with StoreUnavailable."""
        advance: Callable[[], claims.Step] = functools.partial(next, steps)
        while True:
            try:
                step = advance()
            except StopIteration as stop:
                return stop.value
            try:
                if end_s is not None and self.clock() >= end_s:
                    raise exceptions.StoreUnavailable("deadline passed")
                result = self._run_step(step)
            except exceptions.PlatformError as error:
                advance = functools.partial(steps.throw, error)
                continue
            advance = functools.partial(steps.send, result)

    def _run_step(self, step: claims.Step) -> Any:
        result = _perform_step(step, self.table, self.objects)
        if isinstance(result, models.Commit | models.TablePage):
            self.store_clock.observe(self.clock(), result.now_s)
        return result


@functools.singledispatch
def _pending_steps(pending: Pending) -> claims.Steps[Any]:
    raise TypeError(type(pending).__name__)


@_pending_steps.register
def _record_steps(pending: PendingRecord) -> claims.Steps[Any]:
    return claims.record(pending.claim, pending.answer)


@_pending_steps.register
def _release_steps(pending: PendingRelease) -> claims.Steps[Any]:
    return claims.withdraw(pending.claim)


def _size_bytes(pending: Pending) -> int:
    if isinstance(pending, PendingRecord):
        return len(pending.answer.body)
    return 0


@functools.singledispatch
def _perform_step(
    step: claims.Step, table: services.Table, objects: services.ObjectStore
) -> Any:
    raise TypeError(type(step).__name__)


@_perform_step.register
def _transact(
    step: claims.Transact, table: services.Table, _: services.ObjectStore
) -> models.Commit:
    return table.transact(step.transaction)


@_perform_step.register
def _read_row(
    step: claims.ReadRow, table: services.Table, _: services.ObjectStore
) -> models.TablePage:
    return table.read([step.key])


@_perform_step.register
def _scan_rows(
    step: claims.ScanRows, table: services.Table, _: services.ObjectStore
) -> models.TablePage:
    return table.scan(step.prefix, 0)


@_perform_step.register
def _read_object(
    step: claims.ReadObject, _: services.Table, objects: services.ObjectStore
) -> bytes | None:
    return objects.get(step.name)


@_perform_step.register
def _write_object(
    step: claims.WriteObject, _: services.Table, objects: services.ObjectStore
) -> None:
    objects.put(step.name, step.content)


@_perform_step.register
def _delete_object(
    step: claims.DeleteObject, _: services.Table, objects: services.ObjectStore
) -> None:
    objects.delete(step.name)

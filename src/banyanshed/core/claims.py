"""At-most-once execution of requests that carry an idempotency key.

A request is claimed in the table service and sent at most once, by the host
that holds the claim, and its response is recorded for repeated requests. Each
operation here is a generator that performs no I/O itself: it yields one I/O
step at a time, receives its result or the platform's error, and returns the
outcome.

A claim is never taken over by another host. At-most-once execution therefore
depends on conditional writes alone and on no clock, except for the retention
of old claims.
"""

import base64
from collections.abc import Generator, Sequence
import dataclasses
import enum
import hashlib
import json
from typing import Any, TypeVar

import pydantic

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.core import requests

CLAIM_PREFIX = "claim/"
# Age in seconds from which a claim is deleted.
CLAIM_RETENTION_S = 24 * 3600.0
# Maximum number of attempts to write a claim.
MAX_CLAIM_ATTEMPTS = 4
# Size in bytes above which a response's body is stored as an object instead of
# in the claim's row.
INLINE_ANSWER_BYTES = 4096
# Times in seconds after which the caller may retry: while a request with the
# key is served; when the ledger is full or unreachable, or an answer can't be
# read; when it is unknown whether a request ran.
IN_PROGRESS_RETRY_AFTER_S = 1.0
STORE_RETRY_AFTER_S = 2.0
UNKNOWN_OUTCOME_RETRY_AFTER_S = 30.0
# Number of random hexadecimal digits that select the claims of a sweep, and
# maximum number of claims that a sweep deletes.
SWEEP_PREFIX_DIGITS = 3
MAX_SWEEP_ROWS = 50
NO_TENANT = "-"

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Transact:
    """I/O step that applies a transaction; its result is a Commit."""

    transaction: models.Transaction


@dataclasses.dataclass(frozen=True)
class ReadRow:
    """I/O step that reads a row; its result is a TablePage of this row."""

    key: str


@dataclasses.dataclass(frozen=True)
class ScanRows:
    """I/O step that reads the rows under a prefix; results in a TablePage."""

    prefix: str


@dataclasses.dataclass(frozen=True)
class ReadObject:
    """I/O step that reads an object; its result is the bytes, or None."""

    name: str


@dataclasses.dataclass(frozen=True)
class WriteObject:
    """I/O step that writes an object."""

    name: str
    content: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True)
class DeleteObject:
    """I/O step that deletes an object."""

    name: str


Step = Transact | ReadRow | ScanRows | ReadObject | WriteObject | DeleteObject
Steps = Generator[Step, Any, T]


class ClaimState(enum.Enum):
    """State of a claimed request.

    Attributes:
        CLAIMED: It may have been sent, and its response is not recorded.
        DONE: It was executed and its response is recorded.
        RELEASED: It was not sent; the key may be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class StoredAnswer(pydantic.BaseModel):
    """A recorded response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward.
        digest: SHA-256 of the body in hex.
        body: The body in base64; None if it is in the object store.
    """

    status: int
    headers: dict[str, str]
    digest: str
    body: str | None = None


class ClaimRow(pydantic.BaseModel):
    """The row of a claim.

    Attributes:
        state: State of the request.
        fingerprint: Digest of the request that the key was used for.
        token: Unique token of the attempt that made the claim.
        created_s: Time of the claim, in seconds of the table service's clock.
        ends_s: Deadline of the request, by the same clock.
        answer: The recorded response, once the request is done.
    """

    state: ClaimState
    fingerprint: str
    token: str
    created_s: float
    ends_s: float
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True)
class Claim:
    """One attempt to claim a request; the claim is held once it is written.

    Attributes:
        key: Key of the claim's row.
        fingerprint: Digest of the request.
        token: Unique token of this claim.
        created_s: Time of the claim, in seconds of the table service's clock.
        ends_s: Deadline of the request, by the same clock.
        send_before_s: Monotonic time from which it must not be sent.
        base_version: Version of the row that the claim replaces.
        version: Version of the claim's row; 0 until it is known to be written.
    """

    key: str
    fingerprint: str
    token: str
    created_s: float
    ends_s: float
    send_before_s: float
    base_version: int = models.ABSENT_VERSION
    version: int = 0


@dataclasses.dataclass(frozen=True)
class InDoubt:
    """A claim whose write may still take effect, and must be withdrawn.

    Attributes:
        claim: The claim, whose request is not sent.
        refusal: Response to the caller.
    """

    claim: Claim
    refusal: models.Refusal


class StoreClockEstimate:
    """Estimates the table service's clock.

    The estimate is not ahead of the clock, because it ignores the time that
    the response was in transit.
    """

    def __init__(self) -> None:
        """Creates a clock without an estimate."""
        self.offset_s: float | None = None

    def observe(self, now_s: float, store_now_s: float) -> None:
        """Updates the estimate from a response.

        Args:
            now_s: Monotonic time at which the response was received.
            store_now_s: The service's clock, as stated in the response.
        """
        self.offset_s = store_now_s - now_s

    def estimate_s(self, now_s: float) -> float:
        """Returns the service's time; requires an earlier `observe`."""
        assert self.offset_s is not None
        return now_s + self.offset_s


def claim_key(tenant: models.TenantId | None, idempotency_key: str) -> str:
    """Returns the key of a claim's row, a digest of tenant and caller's key."""
    digest_input = json.dumps([tenant or NO_TENANT, idempotency_key])
    return CLAIM_PREFIX + hashlib.sha256(digest_input.encode()).hexdigest()


def fingerprint(request: requests.CallerRequest) -> str:
    """Returns a digest of method, service, target and body.

    Requests with the same digest are considered the same request.
    """
    body_digest = hashlib.sha256(request.body).hexdigest()
    parts = [request.method, request.service, request.target, body_digest]
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()


def may_send(claim: Claim, now_s: float) -> bool:
    """Returns whether the claim is held and its request may still be sent."""
    return claim.version > 0 and now_s < claim.send_before_s


ReserveResult = Claim | requests.Answer | models.Refusal | InDoubt


def reserve(claim: Claim) -> Steps[ReserveResult]:
    """Claims a request, or returns the outcome of an earlier one.

    A write whose response was lost is sent again. If the first one took
    effect, the second is refused and the row contains this claim's token.

    Returns:
        The claim that is now held, the recorded response, a refusal, or
        InDoubt.
    """
    outcome_unknown = False
    for _ in range(MAX_CLAIM_ATTEMPTS):
        try:
            commit = yield _write(claim, claim.base_version, ClaimState.CLAIMED)
            return dataclasses.replace(claim, version=commit.version)
        except exceptions.StoreTimeout:
            outcome_unknown = True
            continue
        except exceptions.StoreUnavailable:
            break
        except exceptions.ConditionFailed as failure:
            row = failure.rows[0]
        # The row has a newer version, so that no write sent so far can still
        # take effect.
        outcome_unknown = False
        if _is_own_row(row, claim, ClaimState.CLAIMED):
            return dataclasses.replace(claim, version=row.version)
        if not _is_claimable(row, claim.created_s):
            return (yield from _answer_repeat(claim, row))
        claim = dataclasses.replace(claim, base_version=row.version)
    refusal = refuse_unreachable()
    return InDoubt(claim, refusal) if outcome_unknown else refusal


def record(claim: Claim, answer: requests.Answer) -> Steps[bool]:
    """Records the response to a request that was executed; may be repeated.

    Returns:
        False when the row no longer contains the claim.
    """
    body: str | None = base64.b64encode(answer.body).decode()
    if len(answer.body) > INLINE_ANSWER_BYTES:
        yield WriteObject(object_name(claim.key, claim.token), answer.body)
        body = None
    stored = StoredAnswer(
        status=answer.status,
        headers=dict(answer.headers),
        body=body,
        digest=hashlib.sha256(answer.body).hexdigest(),
    )
    try:
        yield _write(claim, claim.version, ClaimState.DONE, stored)
    except exceptions.ConditionFailed as failure:
        return _is_own_row(failure.rows[0], claim, ClaimState.DONE)
    return True


def withdraw(claim: Claim) -> Steps[None]:
    """Releases a claim whose request was not sent; may be repeated.

    The row is marked rather than deleted, because a write of the claim that
    is still in flight would take effect on an absent row.
    """
    version = claim.version
    while True:
        if version == 0:
            page = yield ReadRow(claim.key)
            row = page.rows[0]
            if not _is_withdrawable(row, claim):
                return
            version = row.version
        try:
            yield _write(claim, version, ClaimState.RELEASED)
            return
        except exceptions.ConditionFailed as failure:
            if not _is_withdrawable(failure.rows[0], claim):
                return
            version = failure.rows[0].version


def sweep(prefix: str) -> Steps[int]:
    """Deletes claims under a prefix that are older than CLAIM_RETENTION_S.

    Returns:
        Number of deleted claims, at most MAX_SWEEP_ROWS.
    """
    page = yield ScanRows(prefix)
    expired = _expired_rows(page)[:MAX_SWEEP_ROWS]
    if not expired:
        return 0
    for row in expired:
        claim_row = _parse_claim_row(row)
        if claim_row is not None and _may_have_object(claim_row):
            yield DeleteObject(object_name(row.key, claim_row.token))
    conditions = tuple(
        models.Condition(row.key, row.version) for row in expired
    )
    writes = tuple(models.Write(row.key, None) for row in expired)
    try:
        yield Transact(models.Transaction(conditions, writes))
    except exceptions.ConditionFailed:
        return 0
    return len(expired)


def object_name(key: str, token: str) -> str:
    """Returns the name of the object that stores a large response body."""
    return f"{key}/{token}"


def decode_answer(stored: StoredAnswer, body: bytes) -> requests.Answer | None:
    """Returns a recorded response; None if the body has the wrong digest."""
    if hashlib.sha256(body).hexdigest() != stored.digest:
        return None
    return requests.Answer(stored.status, stored.headers, body)


def refuse_reused() -> models.Refusal:
    """Returns the refusal for a key that was used for another request."""
    return models.Refusal(
        422,
        "key_reused",
        models.Ran.NO,
        None,
        "The idempotency key was used for another request.",
    )


def refuse_full() -> models.Refusal:
    """Returns the refusal for a full queue of responses to be recorded."""
    return _refuse_uncertain(
        "ledger_full",
        STORE_RETRY_AFTER_S,
        "Too many answers wait for the table service. This request was not "
        "sent; whether an earlier one with its key ran is not known.",
    )


def refuse_unreachable() -> models.Refusal:
    """Returns the refusal for a table service that does not respond."""
    return _refuse_uncertain(
        exceptions.StoreUnavailable.code,
        STORE_RETRY_AFTER_S,
        "The table service does not answer. This request was not sent; "
        "whether an earlier one with its key ran is not known.",
    )


def _answer_repeat(claim: Claim, row: models.TableRow) -> Steps[ReserveResult]:
    claim_row = _parse_claim_row(row)
    if claim_row is None:
        return _refuse_unreadable()
    if claim_row.fingerprint != claim.fingerprint:
        return refuse_reused()
    if claim_row.state is ClaimState.CLAIMED:
        return _refuse_claimed(claim_row, claim.created_s)
    stored = claim_row.answer
    if stored is None:
        return _refuse_unreadable()
    try:
        body = yield from _load_body(claim.key, claim_row.token, stored)
    except exceptions.PlatformError:
        body = None
    answer = None if body is None else decode_answer(stored, body)
    return _refuse_unreadable() if answer is None else answer


def _load_body(
    key: str, token: str, stored: StoredAnswer
) -> Steps[bytes | None]:
    if stored.body is not None:
        return base64.b64decode(stored.body)
    return (yield ReadObject(object_name(key, token)))


def _write(
    claim: Claim,
    version: int,
    state: ClaimState,
    answer: StoredAnswer | None = None,
) -> Transact:
    row = ClaimRow(
        state=state,
        fingerprint=claim.fingerprint,
        token=claim.token,
        created_s=claim.created_s,
        ends_s=claim.ends_s,
        answer=answer,
    )
    value = row.model_dump(mode="json", exclude_none=True)
    return Transact(
        models.Transaction(
            (models.Condition(claim.key, version),),
            (models.Write(claim.key, value),),
        )
    )


def _parse_claim_row(row: models.TableRow) -> ClaimRow | None:
    """Returns the claim of a row; None when it is absent or malformed."""
    try:
        return ClaimRow.model_validate(row.value)
    except pydantic.ValidationError:
        return None


def _is_expired(claim_row: ClaimRow, now_s: float) -> bool:
    return claim_row.created_s + CLAIM_RETENTION_S < now_s


def _is_claimable(row: models.TableRow, now_s: float) -> bool:
    claim_row = _parse_claim_row(row)
    if claim_row is None:
        return row.value is None
    return claim_row.state is ClaimState.RELEASED or _is_expired(
        claim_row, now_s
    )


def _is_own_row(row: models.TableRow, claim: Claim, state: ClaimState) -> bool:
    claim_row = _parse_claim_row(row)
    if claim_row is None:
        return False
    return claim_row.token == claim.token and claim_row.state is state


def _may_have_object(claim_row: ClaimRow) -> bool:
    # A host that died may have written an object before recording its name.
    if claim_row.state is ClaimState.CLAIMED:
        return True
    return claim_row.answer is not None and claim_row.answer.body is None


def _is_withdrawable(row: models.TableRow, claim: Claim) -> bool:
    if _is_own_row(row, claim, ClaimState.CLAIMED):
        return True
    # On a row in this state, the claim's write could still take effect.
    unchanged = row.version == claim.base_version
    absent = claim.base_version == 0 and row.value is None
    return claim.version == 0 and (unchanged or absent)


def _expired_rows(page: models.TablePage) -> Sequence[models.TableRow]:
    rows = []
    for row in page.rows:
        claim_row = _parse_claim_row(row)
        if claim_row is not None and _is_expired(claim_row, page.now_s):
            rows.append(row)
    return rows


def _refuse_uncertain(
    code: str, retry_after_s: float, detail: str, status: int = 503
) -> models.Refusal:
    return models.Refusal(
        status, code, models.Ran.UNKNOWN, retry_after_s, detail
    )


def _refuse_claimed(claim_row: ClaimRow, now_s: float) -> models.Refusal:
    if now_s < claim_row.ends_s:
        return _refuse_uncertain(
            "in_progress",
            IN_PROGRESS_RETRY_AFTER_S,
            "A request with this key is being served.",
            409,
        )
    return _refuse_uncertain(
        "outcome_unknown",
        UNKNOWN_OUTCOME_RETRY_AFTER_S,
        "A request with this key was sent and its answer is not recorded; "
        "it may have run and will not be sent again.",
        409,
    )


def _refuse_unreadable() -> models.Refusal:
    return _refuse_uncertain(
        "answer_unavailable",
        STORE_RETRY_AFTER_S,
        "A request with this key ran; its answer can't be read now.",
    )

"""A host's holding of each limit, and how plans change it.

A plan's reductions are applied before its transaction is sent. When the
outcome is known, its additions are applied, its reductions are reverted, or
the grant is read from the row.
"""

import dataclasses
import functools
import math
from typing import Any

from banyanshed.core import buckets
from banyanshed.core import planning
from banyanshed.core import sessions
from banyanshed.core import shares

DRIFT_LOWER_FACTOR = 1 - 2 * sessions.CLOCK_DRIFT
"""Factor by which a rate or duration is reduced to allow for clock drift.

A rate scaled by it is not exceeded on a clock that runs too fast.
"""


@dataclasses.dataclass(slots=True)
class HeldRate:
    """Part of a rate limit held by this host.

    Attributes:
        limit: The limit, as configured on this host.
        bucket: Tokens that may be spent.
        meter: Rate requested of this host, refused requests included.
        refused: Requests (or bytes) refused since the last committed plan or
            scheduled read.
        uncertain: Tokens that each transaction of unknown outcome would add,
            by write id.
        uncertain_version: Row version on which those transactions were
            conditional.
    """

    limit: shares.RateLimit
    bucket: buckets.TokenBucket = dataclasses.field(
        default_factory=buckets.TokenBucket
    )
    meter: buckets.RateMeter = dataclasses.field(
        default_factory=buckets.RateMeter
    )
    refused: float = 0
    uncertain: dict[str, float] = dataclasses.field(default_factory=dict)
    uncertain_version: int = 0


@dataclasses.dataclass(slots=True)
class HeldUnits:
    """Units of a placement held by this host.

    Attributes:
        limit: The limit, as configured on this host.
        units: Units held.
        target: Units that new requests may use; those above are returned as
            requests end.
        in_use: Running requests.
        peak: Recent peak of running requests.
        meter: Rate of requests to this host, refused ones included.
        mean_duration_s: Moving average of a request's run time in seconds.
        refused: Requests refused since the last committed plan or scheduled
            read.
        uncertain: Transactions of unknown outcome, by write id; the values
            are not used.
        uncertain_version: Row version on which those transactions were
            conditional.
    """

    limit: shares.UnitLimit
    units: int = 0
    target: int = 0
    in_use: int = 0
    peak: buckets.PeakMeter = dataclasses.field(
        default_factory=lambda: buckets.PeakMeter(planning.PEAK_WINDOW_S)
    )
    meter: buckets.RateMeter = dataclasses.field(
        default_factory=buckets.RateMeter
    )
    mean_duration_s: float = 0.1
    refused: int = 0
    uncertain: dict[str, float] = dataclasses.field(default_factory=dict)
    uncertain_version: int = 0


Held = HeldRate | HeldUnits
Plan = planning.RatePlan | planning.UnitPlan


@functools.singledispatch
def make_held(limit: shares.Limit) -> Held:
    """Returns an empty holding of a limit."""
    raise TypeError(type(limit).__name__)


@make_held.register
def _make_held_rate(limit: shares.RateLimit) -> HeldRate:
    return HeldRate(limit)


@make_held.register
def _make_held_units(limit: shares.UnitLimit) -> HeldUnits:
    return HeldUnits(limit)


@functools.singledispatch
def make_plan(
    held: Held,
    share: Any,
    session: shares.SessionId,
    write_id: str,
    now_s: float,
    view: shares.StoreView,
    leaving: bool,
) -> Plan:
    """Returns a plan that adjusts one limit's share to this host's demand."""
    raise TypeError(type(held).__name__)


@make_plan.register
def _plan_rate(
    held: HeldRate,
    share: Any,
    session: shares.SessionId,
    write_id: str,
    now_s: float,
    view: shares.StoreView,
    leaving: bool,
) -> Plan:
    held.bucket.refill(now_s)
    request = planning.RateGrantRequest(
        session,
        write_id,
        held.meter.read(now_s),
        held.bucket.tokens,
        held.bucket.reserved,
        leaving,
        held.refused > 0,
    )
    return planning.plan_rate(held.limit, share, request, view)


@make_plan.register
def _plan_units(
    held: HeldUnits,
    share: Any,
    session: shares.SessionId,
    write_id: str,
    now_s: float,
    view: shares.StoreView,
    leaving: bool,
) -> Plan:
    peak = held.peak.read(now_s, held.in_use)
    load = held.meter.read(now_s) * held.mean_duration_s
    wanted = max(1, math.ceil(load + math.sqrt(load)))
    request = planning.UnitGrantRequest(
        session, write_id, held.in_use, peak, wanted, leaving
    )
    return planning.plan_units(held.limit, share, request, view)


@functools.singledispatch
def apply_reductions(held: Held, now_s: float, plan: Any) -> None:
    """Applies a plan's reductions, before its transaction is sent."""
    raise TypeError(type(held).__name__)


@apply_reductions.register
def _apply_rate_reductions(
    held: HeldRate, now_s: float, plan: planning.RatePlan
) -> None:
    bucket = held.bucket
    bucket.refill(now_s)
    bucket.tokens = max(0.0, bucket.tokens + min(0.0, plan.tokens))
    bucket.resize(
        now_s,
        min(bucket.rate, plan.grant.rate * DRIFT_LOWER_FACTOR),
        min(bucket.burst, plan.grant.burst),
    )


def _resize_bucket(
    held: HeldRate, now_s: float, grant: shares.RateGrant
) -> None:
    """Sets a bucket's rate and burst to a grant, allowing for clock drift."""
    held.bucket.resize(now_s, grant.rate * DRIFT_LOWER_FACTOR, grant.burst)


@apply_reductions.register
def _apply_unit_reductions(
    held: HeldUnits, now_s: float, plan: planning.UnitPlan
) -> None:
    held.units = min(held.units, plan.grant.units)
    held.target = min(held.target, plan.target)


@functools.singledispatch
def apply_committed(held: Held, now_s: float, plan: Any) -> None:
    """Applies a plan whose transaction was committed."""
    raise TypeError(type(held).__name__)


@apply_committed.register
def _apply_committed_rate(
    held: HeldRate, now_s: float, plan: planning.RatePlan
) -> None:
    held.uncertain.clear()
    held.refused = 0
    _resize_bucket(held, now_s, plan.grant)
    held.bucket.add_tokens(max(0.0, plan.tokens))


@apply_committed.register
def _apply_committed_units(
    held: HeldUnits, now_s: float, plan: planning.UnitPlan
) -> None:
    held.uncertain.clear()
    held.refused = 0
    held.units = plan.grant.units
    held.target = plan.target


@functools.singledispatch
def revert_reductions(held: Held, now_s: float, plan: Any) -> None:
    """Restores tokens taken by `apply_reductions`, after no commit."""
    raise TypeError(type(held).__name__)


@revert_reductions.register
def _revert_rate_reductions(
    held: HeldRate, now_s: float, plan: planning.RatePlan
) -> None:
    held.bucket.add_tokens(max(0.0, -plan.tokens))


@revert_reductions.register
def _revert_unit_reductions(
    held: HeldUnits, now_s: float, plan: planning.UnitPlan
) -> None:
    return None


@functools.singledispatch
def apply_grant(held: Held, now_s: float, grant: Any) -> None:
    """Applies this host's grant as read from the row; None if it has none."""
    raise TypeError(type(held).__name__)


@apply_grant.register
def _apply_rate_grant(
    held: HeldRate, now_s: float, grant: shares.RateGrant | None
) -> None:
    if grant is None:
        held.bucket.resize(now_s, 0.0, 0.0)
        held.uncertain.clear()
        return
    _resize_bucket(held, now_s, grant)
    held.bucket.add_tokens(held.uncertain.get(grant.write_id, 0.0))
    held.uncertain.clear()


@apply_grant.register
def _apply_unit_grant(
    held: HeldUnits, now_s: float, grant: shares.UnitGrant | None
) -> None:
    held.units = grant.units if grant else 0
    held.target = held.units
    held.uncertain.clear()


@functools.singledispatch
def apply_skipped(held: Held, plan: Any) -> None:
    """Applies a plan that changes too little to be written."""
    raise TypeError(type(held).__name__)


@apply_skipped.register
def _apply_skipped_rate(held: HeldRate, plan: planning.RatePlan) -> None:
    return None


@apply_skipped.register
def _apply_skipped_units(held: HeldUnits, plan: planning.UnitPlan) -> None:
    held.target = min(held.units, plan.target)


@functools.singledispatch
def is_short(held: Held) -> bool:
    """Returns whether requests were refused because the share is too small."""
    raise TypeError(type(held).__name__)


@is_short.register(HeldRate)
@is_short.register(HeldUnits)
def _is_short(held: Held) -> bool:
    return held.refused > 0

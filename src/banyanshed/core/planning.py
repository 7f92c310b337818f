"""Plans how a host's shares are adjusted to demand; performs no I/O."""

from collections.abc import Sequence
import dataclasses
import math
from typing import Any, TypeVar

from banyanshed.core import shares

# Window in seconds of the peak of running requests.
PEAK_WINDOW_S = 20.0
# Weight of a session without demand in the division of the unused rate,
# relative to the weight of one whose demand is an equal part of the limit.
IDLE_WEIGHT = 0.1
# Relative changes from which a rate grant is written again: of the demand, of
# the rate, and of the rate while a session gets less of its demand than the
# limit allows for all.
MIN_DEMAND_CHANGE = 0.25
MIN_RATE_CHANGE = 0.25
MIN_RATE_CHANGE_STARVED = 0.08
# Fraction of a rate limit that is not granted when demand reaches the limit.
HEADROOM_FRACTION = 0.02
# Fraction of the unused rate that is not granted.
POOL_FRACTION = 0.3
# Levels of use within this many seconds are merged.
MIN_LEVEL_INTERVAL_S = 0.4

Grant = TypeVar("Grant", shares.RateGrant, shares.UnitGrant)


@dataclasses.dataclass(frozen=True, slots=True)
class RateGrantRequest:
    """A session's request for a part of a rate limit.

    Attributes:
        session: The session.
        write_id: Id of the transaction that will write the grant.
        demand: Rate requested of the host, refused requests included.
        tokens: Tokens that the host has now.
        reserved: Tokens reserved and not settled.
        leaving: The whole part is to be returned.
        short: The host refuses requests for lack of tokens.
    """

    session: shares.SessionId
    write_id: str
    demand: float
    tokens: float
    reserved: float = 0.0
    leaving: bool = False
    short: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UnitGrantRequest:
    """A session's request for units of a placement.

    Attributes:
        session: The session.
        write_id: Id of the transaction that will write the grant.
        in_use: Running requests, whose units can't be returned yet.
        used: Peak of running requests within PEAK_WINDOW_S.
        wanted: Number of units that the host needs.
        leaving: All units are to be returned.
    """

    session: shares.SessionId
    write_id: str
    in_use: int
    used: int
    wanted: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RatePlan:
    """A row of a rate limit to write.

    Attributes:
        share: The row.
        grant: The session's part.
        tokens: Tokens that the session receives; it returns tokens if
            negative.
        worthwhile: The row differs enough to be written.
    """

    share: shares.RateShare
    grant: shares.RateGrant
    tokens: float
    worthwhile: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnitPlan:
    """A row of a unit limit to write.

    Attributes:
        share: The row.
        grant: The session's units.
        target: Units that new requests may use from now on; the host returns
            those above it as their requests end.
        worthwhile: The row differs enough to be written.
    """

    share: shares.UnitShare
    grant: shares.UnitGrant
    target: int
    worthwhile: bool


def newer_limit(limit: shares.Limit, share: shares.Share | None) -> Any:
    """Returns the newer of the limits known to the host and to the row."""
    if share is None or limit.version >= share.limit.version:
        return limit
    return share.limit


def is_reclaimable(
    session: shares.SessionId, limit: shares.Limit, view: shares.StoreView
) -> bool:
    """Returns whether a session was closed and its last requests have ended."""
    closed_s = view.closed.get(session)
    if closed_s is None:
        return False
    return view.earliest_s > closed_s + limit.linger_s


def plan_rate(
    limit: shares.RateLimit,
    share: shares.RateShare | None,
    request: RateGrantRequest,
    view: shares.StoreView,
) -> RatePlan:
    """Plans a rate limit's row with the session's part adjusted to its demand.

    The sum of all parts and of the pool never exceeds the limit, and tokens
    are only moved between them: a host must stop using tokens that it returns
    before the row is written, and may use those that it receives afterwards.

    Args:
        limit: The limit, as configured on this host.
        share: The row, or None if it does not exist.
        request: The session's request.
        view: Bounds of the store's clock, and the closed sessions.
    """
    limit = newer_limit(limit, share)
    is_new_row = share is None
    if share is None:
        share = shares.RateShare(limit, limit.burst, view.latest_s)
    old, others = _split_grants(share.grants, request.session, limit, view)
    if old is None:
        old = shares.RateGrant(
            request.session, request.write_id, 0, 0, 0, limit.rate, limit.burst
        )
    pool_tokens = _refilled_pool(share, view)
    free_rate = max(0.0, limit.rate - sum(grant.rate for grant in others))
    free_burst = max(0.0, limit.burst - sum(grant.burst for grant in others))
    rate, burst = _rate_target(limit, others, request)
    rate, burst = _clamp_rate(limit, old, rate, burst, free_rate, free_burst)
    burst = max(burst, min(request.reserved, old.burst))
    grant = shares.RateGrant(
        request.session,
        request.write_id,
        rate,
        burst,
        request.demand,
        limit.rate,
        limit.burst,
    )
    tokens = min(burst - request.reserved - request.tokens, pool_tokens)
    pool_room = max(0.0, free_burst - burst)
    pool_tokens = min(pool_room, pool_tokens - tokens)
    removes_grant = request.leaving and burst == 0
    grants = others if removes_grant else (*others, grant)
    return RatePlan(
        shares.RateShare(limit, pool_tokens, view.latest_s, grants),
        grant,
        tokens,
        is_new_row
        or removes_grant
        or len(others) + (old in share.grants) < len(share.grants)
        or (request.short and tokens >= min(1.0, limit.burst))
        or _rate_worthwhile(limit, share, old, grant, tokens),
    )


def _split_grants(
    grants: Sequence[Grant],
    session: shares.SessionId,
    limit: shares.Limit,
    view: shares.StoreView,
) -> tuple[Grant | None, tuple[Grant, ...]]:
    """Returns a session's grant, and the others that can't be reclaimed."""
    own = None
    others = []
    for grant in grants:
        if grant.session == session:
            own = grant
        elif not is_reclaimable(grant.session, limit, view):
            others.append(grant)
    return own, tuple(others)


def _refilled_pool(share: shares.RateShare, view: shares.StoreView) -> float:
    """Returns the tokens of the part of a rate limit that is not granted."""
    held_rate = sum(grant.rate for grant in share.grants)
    held_burst = sum(grant.burst for grant in share.grants)
    elapsed_s = max(0.0, view.earliest_s - share.stamp_s)
    refill = max(0.0, share.limit.rate - held_rate) * elapsed_s
    room = max(0.0, share.limit.burst - held_burst)
    return min(room, share.pool_tokens + refill)


def _rate_target(
    limit: shares.RateLimit,
    others: Sequence[shares.RateGrant],
    request: RateGrantRequest,
) -> tuple[float, float]:
    """Returns the rate and burst to grant, before they are clamped.

    If the total demand reaches the limit less HEADROOM_FRACTION, that rate is
    divided in proportion to demand. Otherwise each session gets its demand and
    a weighted part of the unused rate, POOL_FRACTION of which stays in the
    pool.
    """
    if request.leaving:
        return 0.0, 0.0
    if not _gets_whole_token(limit, others, request):
        return 0.0, 0.0
    usable = limit.rate * (1 - HEADROOM_FRACTION)
    demand = request.demand + sum(grant.demand for grant in others)
    if demand >= usable:
        rate = usable * request.demand / demand
        return rate, max(1.0, limit.burst * rate / limit.rate)
    weight = _spare_weight(limit, others, request.demand)
    weights = weight + sum(
        _spare_weight(limit, others, grant.demand) for grant in others
    )
    if weight == 0:
        return 0.0, 0.0
    spare = (limit.rate - demand) * (1 - POOL_FRACTION)
    rate = request.demand + spare * weight / weights
    return rate, max(1.0, limit.burst * rate / limit.rate)


def _spare_weight(
    limit: shares.RateLimit, others: Sequence[shares.RateGrant], demand: float
) -> float:
    """Returns a session's weight in the division of the unused rate.

    Random variation of the demand on a host is about its square root. Hosts
    without demand get a small part for their first requests, if the burst is
    at least MIN_HOST_BURST per session.
    """
    holders = len(others) + 1
    scale = math.sqrt(limit.rate / holders)
    if limit.burst < shares.MIN_HOST_BURST * holders:
        return math.sqrt(demand)
    return math.sqrt(demand) + IDLE_WEIGHT * scale


def _gets_whole_token(
    limit: shares.RateLimit,
    others: Sequence[shares.RateGrant],
    request: RateGrantRequest,
) -> bool:
    """Returns whether the session is among those that get a whole token.

    A burst below twice the number of sessions goes to those with the highest
    demand.
    """
    if limit.burst >= 2 * (len(others) + 1):
        return True
    if request.demand <= 0:
        return False
    rank = sum(
        (grant.demand, grant.session) > (request.demand, request.session)
        for grant in others
    )
    return rank < int(limit.burst)


def _clamp_rate(
    limit: shares.RateLimit,
    old: shares.RateGrant,
    rate: float,
    burst: float,
    free_rate: float,
    free_burst: float,
) -> tuple[float, float]:
    """Returns the wanted rate and burst, clamped to what is available.

    A grant of an earlier, larger limit shrinks in proportion, so that the
    parts fit the new limit once each session has written its grant again.
    """
    scaled_rate = old.rate * min(1.0, limit.rate / old.of_rate)
    scaled_burst = old.burst * min(1.0, limit.burst / old.of_burst)
    rate = min(rate, max(free_rate, min(scaled_rate, rate)))
    burst = min(burst, max(free_burst, min(scaled_burst, burst)))
    if limit.burst >= 1 and burst < 1:
        return 0.0, 0.0
    return rate, burst


def _rate_worthwhile(
    limit: shares.RateLimit,
    share: shares.RateShare,
    old: shares.RateGrant,
    grant: shares.RateGrant,
    tokens: float,
) -> bool:
    """Returns whether a change of a rate grant is worth a transaction."""
    if old.of_rate != limit.rate or old.of_burst != limit.burst:
        return True
    if old not in share.grants:
        return grant.rate > 0 or grant.demand > 0
    if abs(grant.demand - old.demand) > MIN_DEMAND_CHANGE * (
        old.demand + limit.rate / len(share.grants) / 4
    ):
        return True
    demand = sum(one.demand for one in share.grants)
    covered = min(1.0, limit.rate / demand) if demand > 0 else 1.0
    lowest_coverage = min(
        (one.rate / one.demand for one in share.grants if one.demand > 0),
        default=1.0,
    )
    min_change = MIN_RATE_CHANGE
    if lowest_coverage < 0.95 * covered:
        min_change = MIN_RATE_CHANGE_STARVED
    return (
        abs(grant.rate - old.rate) > min_change * old.rate + 0.002 * limit.rate
    )


def plan_units(
    limit: shares.UnitLimit,
    share: shares.UnitShare | None,
    request: UnitGrantRequest,
    view: shares.StoreView,
) -> UnitPlan:
    """Plans a unit limit's row with the session's units adjusted to its need.

    The number of units that may be granted in total is the smallest of the
    ceiling, the limit, and the lowest use within the last SHIFT_INTERVAL_S plus
    the shift cap.

    Args:
        limit: The limit, as configured on this host.
        share: The row, or None if it does not exist.
        request: The session's request.
        view: Bounds of the store's clock, and the closed sessions.
    """
    limit = newer_limit(limit, share)
    is_new_row = share is None
    if share is None:
        start = (shares.Level(view.latest_s, 0),)
        share = shares.UnitShare(limit, limit.target, view.latest_s, start)
    old, others = _split_grants(share.grants, request.session, limit, view)
    held = old.units if old else 0
    ceiling, ceiling_s = _next_ceiling(limit, share, view)
    open_units = min(
        math.ceil(ceiling),
        limit.limit,
        _lowest_recent_use(share, view) + limit.shift_cap,
    )
    free = open_units - sum(grant.units for grant in others)
    target = _unit_target(limit, share, others, old, request, open_units, free)
    units = min(held, max(target, request.in_use)) if target < held else target
    used = min(units, request.used)
    grant = shares.UnitGrant(
        request.session,
        request.write_id,
        units,
        used,
        request.wanted,
        limit.limit,
    )
    grants = others if request.leaving and units == 0 else (*others, grant)
    levels = _next_levels(share, sum(g.used for g in grants), view)
    new_share = shares.UnitShare(limit, ceiling, ceiling_s, levels, grants)
    worthwhile = (
        is_new_row
        or (request.leaving and old is not None and units == 0)
        or old is None
        or (old is not None and _units_worthwhile(old, grant))
        or limit != share.limit
        or len(others) + (old is not None) < len(share.grants)
        or levels[-1].used > share.levels[-1].used
    )
    return UnitPlan(new_share, grant, target, worthwhile)


def _units_worthwhile(old: shares.UnitGrant, grant: shares.UnitGrant) -> bool:
    """Returns whether a change of a unit grant is worth a transaction."""
    return (
        grant.units != old.units
        or grant.used > old.used
        or old.used - grant.used > old.used // 4
        or abs(grant.wanted - old.wanted) > 1 + old.wanted // 4
    )


def _next_ceiling(
    limit: shares.UnitLimit, share: shares.UnitShare, view: shares.StoreView
) -> tuple[float, float]:
    """Returns the ceiling on units, and the time from which it falls further.

    A raised target applies at once. A lowered one first reduces the ceiling to
    the units in use, and then by the shift cap per SHIFT_INTERVAL_S.
    """
    used = sum(grant.used for grant in share.grants)
    ceiling = min(share.ceiling, max(used, share.limit.target))
    if limit.target >= ceiling:
        return float(limit.target), view.latest_s
    if share.limit.target >= ceiling and limit != share.limit:
        return float(min(ceiling, max(used, limit.target))), view.latest_s
    elapsed_s = max(0.0, view.earliest_s - share.ceiling_s)
    decrease = limit.shift_cap * elapsed_s / shares.SHIFT_INTERVAL_S
    ceiling_s = max(share.ceiling_s, view.earliest_s)
    return max(limit.target, ceiling - decrease), ceiling_s


def _lowest_recent_use(share: shares.UnitShare, view: shares.StoreView) -> int:
    """Returns the lowest use within the last SHIFT_INTERVAL_S."""
    start_s = view.earliest_s - shares.SHIFT_INTERVAL_S
    lowest = share.levels[-1].used
    for level in reversed(share.levels):
        lowest = min(lowest, level.used)
        if level.at_s <= start_s:
            return lowest
    return lowest if share.levels[0].at_s <= start_s else 0


def _next_levels(
    share: shares.UnitShare, used: int, view: shares.StoreView
) -> tuple[shares.Level, ...]:
    """Returns the levels of use with the present use added.

    Levels that ended more than SHIFT_INTERVAL_S ago are dropped. Use within
    MIN_LEVEL_INTERVAL_S of the last level is merged into it, as the lower of
    the two.
    """
    last = share.levels[-1]
    if used == last.used:
        return share.levels
    start_s = view.earliest_s - shares.SHIFT_INTERVAL_S
    kept = list(share.levels)
    while len(kept) > 1 and kept[1].at_s <= start_s:
        del kept[0]
    if view.latest_s - last.at_s < MIN_LEVEL_INTERVAL_S:
        kept[-1] = shares.Level(last.at_s, min(last.used, used))
        return tuple(kept)
    kept.append(shares.Level(view.latest_s, used))
    return tuple(kept)


def _unit_target(
    limit: shares.UnitLimit,
    share: shares.UnitShare,
    others: Sequence[shares.UnitGrant],
    old: shares.UnitGrant | None,
    request: UnitGrantRequest,
    open_units: int,
    free: int,
) -> int:
    """Returns the number of units that new requests may use from now on.

    Args:
        limit: The newest limit.
        share: The row as read.
        others: Grants of other sessions.
        old: The session's present grant, if any.
        request: The session's request.
        open_units: Units that may be granted in total.
        free: Open units that other sessions do not hold.
    """
    if request.leaving:
        return 0
    held = old.units if old else 0
    if old is not None and old.of_limit > limit.limit:
        return min(held * limit.limit // old.of_limit, request.wanted)
    wanted = [grant.wanted for grant in others] + [request.wanted]
    sessions = [grant.session for grant in others] + [request.session]
    fair = apportion(max(0, open_units), wanted, sessions)[-1]
    excess = held - free
    if excess > 0:
        return held - min(held, excess, max(0, held - fair))
    lacking = any(grant.units < grant.wanted for grant in others)
    if sum(wanted) <= open_units and not lacking:
        # No session lacks units, so that spare ones are kept for bursts.
        return max(held, min(fair, free))
    if fair < held <= fair + 1 and fair > 0:
        return held
    return max(0, min(fair, free))


def apportion(
    total: int, weights: Sequence[int], names: Sequence[str]
) -> list[int]:
    """Divides whole units in proportion to weights, by largest remainder."""
    weight = sum(weights)
    if weight == 0 or total <= 0:
        return [0] * len(weights)
    counts = [total * one // weight for one in weights]
    order = sorted(
        range(len(weights)),
        key=lambda i: (-(total * weights[i] % weight), names[i]),
    )
    for i in order[: total - sum(counts)]:
        counts[i] += 1
    return counts

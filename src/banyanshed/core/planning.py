"""Plans how a host's shares move towards demand; no input or output."""

from collections.abc import Sequence
import dataclasses
import math
from typing import Any, TypeVar

from banyanshed.core import shares

COOLING_S = 20.0
IDLE_PART = 0.1
DEMAND_STEP = 0.25
CALM_STEP = 0.25
STARVING_STEP = 0.08
RESERVE_PART = 0.02
POOL_PART = 0.3
LEVEL_STEP_S = 0.4

Grant = TypeVar("Grant", shares.RateGrant, shares.UnitGrant)


@dataclasses.dataclass(frozen=True, slots=True)
class RateAsk:
    """What a holder asks of a rate limit.

    Attributes:
        demand: Rate asked of it, refused requests included.
        tokens: Tokens that it has now.
        reserved: Tokens reserved and not settled.
        leaving: Everything is returned.
        short: It refuses requests for want of tokens.
    """

    session: shares.SessionId
    write_id: str
    demand: float
    tokens: float
    reserved: float = 0.0
    leaving: bool = False
    short: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UnitAsk:
    """What a holder asks of a unit limit.

    Attributes:
        in_use: Requests at work now; their units can't be returned.
        used: Most requests at work within COOLING_S.
        wanted: Units that it asks for.
        leaving: Everything is returned.
    """

    session: shares.SessionId
    write_id: str
    in_use: int
    used: int
    wanted: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RatePlan:
    """A row to write, and the tokens that the holder gets or gives up."""

    share: shares.RateShare
    grant: shares.RateGrant
    tokens: float
    worthwhile: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnitPlan:
    """A row to write.

    Attributes:
        share: The row.
        grant: The holder's part.
        target: Units that the holder may fill from now on; it returns those
            above as their requests end.
        worthwhile: The row differs enough to be written.
    """

    share: shares.UnitShare
    grant: shares.UnitGrant
    target: int
    worthwhile: bool


def newer_limit(limit: shares.Limit, share: shares.Share | None) -> Any:
    """Returns the newer of the limit known to a host and the row's."""
    if share is None or limit.version >= share.limit.version:
        return limit
    return share.limit


def is_free(
    session: shares.SessionId, limit: shares.Limit, moment: shares.Moment
) -> bool:
    """Returns whether a closed session can't have any effect any more."""
    closed_s = moment.closed.get(session)
    if closed_s is None:
        return False
    return moment.earliest_s > closed_s + limit.linger_s


def plan_rate(
    limit: shares.RateLimit,
    share: shares.RateShare | None,
    ask: RateAsk,
    moment: shares.Moment,
) -> RatePlan:
    """Returns a rate limit's row with the holder's part moved to its demand.

    The sum of all parts and of the pool never exceeds the limit, and tokens
    are only moved: what a holder gives up it must stop spending before the
    row is written, and what it gets it may spend after.
    """
    limit = newer_limit(limit, share)
    fresh = share is None
    if share is None:
        share = shares.RateShare(limit, limit.burst, moment.latest_s)
    old, others = _split_grants(share.grants, ask.session, limit, moment)
    if old is None:
        old = shares.RateGrant(
            ask.session, ask.write_id, 0, 0, 0, limit.rate, limit.burst
        )
    pool_tokens = _refilled_pool(share, moment)
    free_rate = max(0.0, limit.rate - sum(grant.rate for grant in others))
    free_burst = max(0.0, limit.burst - sum(grant.burst for grant in others))
    rate, burst = _rate_target(limit, others, ask)
    rate, burst = _fit_rate(limit, old, rate, burst, free_rate, free_burst)
    burst = max(burst, min(ask.reserved, old.burst))
    grant = shares.RateGrant(
        ask.session,
        ask.write_id,
        rate,
        burst,
        ask.demand,
        limit.rate,
        limit.burst,
    )
    tokens = min(burst - ask.reserved - ask.tokens, pool_tokens)
    pool_room = max(0.0, free_burst - burst)
    pool_tokens = min(pool_room, pool_tokens - tokens)
    gone = ask.leaving and burst == 0
    grants = others if gone else (*others, grant)
    return RatePlan(
        shares.RateShare(limit, pool_tokens, moment.latest_s, grants),
        grant,
        tokens,
        fresh
        or gone
        or len(others) + (old in share.grants) < len(share.grants)
        or (ask.short and tokens >= min(1.0, limit.burst))
        or _rate_worthwhile(limit, share, old, grant, tokens),
    )


def _split_grants(
    grants: Sequence[Grant],
    session: shares.SessionId,
    limit: shares.Limit,
    moment: shares.Moment,
) -> tuple[Grant | None, tuple[Grant, ...]]:
    """Returns a session's own grant, and those of others that still hold."""
    own = None
    others = []
    for grant in grants:
        if grant.session == session:
            own = grant
        elif not is_free(grant.session, limit, moment):
            others.append(grant)
    return own, tuple(others)


def _refilled_pool(share: shares.RateShare, moment: shares.Moment) -> float:
    """Returns the tokens of the part of a rate limit that nobody holds."""
    held_rate = sum(grant.rate for grant in share.grants)
    held_burst = sum(grant.burst for grant in share.grants)
    elapsed_s = max(0.0, moment.earliest_s - share.stamp_s)
    refill = max(0.0, share.limit.rate - held_rate) * elapsed_s
    room = max(0.0, share.limit.burst - held_burst)
    return min(room, share.pool_tokens + refill)


def _rate_target(
    limit: shares.RateLimit, others: Sequence[shares.RateGrant], ask: RateAsk
) -> tuple[float, float]:
    """Returns the rate and the burst that suit the holder's demand."""
    if ask.leaving:
        return 0.0, 0.0
    if not _has_whole_token(limit, others, ask):
        return 0.0, 0.0
    usable = limit.rate * (1 - RESERVE_PART)
    demand = ask.demand + sum(grant.demand for grant in others)
    if demand >= usable:
        rate = usable * ask.demand / demand
        return rate, max(1.0, limit.burst * rate / limit.rate)
    weight = _spare_weight(limit, others, ask.demand)
    weights = weight + sum(
        _spare_weight(limit, others, grant.demand) for grant in others
    )
    if weight == 0:
        return 0.0, 0.0
    spare = (limit.rate - demand) * (1 - POOL_PART)
    rate = ask.demand + spare * weight / weights
    return rate, max(1.0, limit.burst * rate / limit.rate)


def _spare_weight(
    limit: shares.RateLimit, others: Sequence[shares.RateGrant], demand: float
) -> float:
    """Returns a holder's weight in the division of what nobody asks for.

    Chance varies the demand on a host by about its square root. Hosts without
    demand keep a little for their first requests, if there are tokens enough.
    """
    holders = len(others) + 1
    scale = math.sqrt(limit.rate / holders)
    if limit.burst < shares.MIN_HOST_BURST * holders:
        return math.sqrt(demand)
    return math.sqrt(demand) + IDLE_PART * scale


def _has_whole_token(
    limit: shares.RateLimit, others: Sequence[shares.RateGrant], ask: RateAsk
) -> bool:
    """Returns whether the holder is among those that get a whole token.

    A burst below the number of holders goes to those with most demand.
    """
    if limit.burst >= 2 * (len(others) + 1):
        return True
    if ask.demand <= 0:
        return False
    rank = sum(
        (grant.demand, grant.session) > (ask.demand, ask.session)
        for grant in others
    )
    return rank < int(limit.burst)


def _fit_rate(
    limit: shares.RateLimit,
    old: shares.RateGrant,
    rate: float,
    burst: float,
    free_rate: float,
    free_burst: float,
) -> tuple[float, float]:
    """Returns the wanted rate and burst cut to what the limit leaves.

    A grant of an earlier, larger limit shrinks in proportion, so that the
    parts fit the new limit when each holder has renewed once.
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
    if abs(grant.demand - old.demand) > DEMAND_STEP * (
        old.demand + limit.rate / len(share.grants) / 4
    ):
        return True
    demand = sum(one.demand for one in share.grants)
    covered = min(1.0, limit.rate / demand) if demand > 0 else 1.0
    lowest = min(
        (one.rate / one.demand for one in share.grants if one.demand > 0),
        default=1.0,
    )
    step = CALM_STEP
    if lowest < 0.95 * covered:
        step = STARVING_STEP
    return abs(grant.rate - old.rate) > step * old.rate + 0.002 * limit.rate


def plan_units(
    limit: shares.UnitLimit,
    share: shares.UnitShare | None,
    ask: UnitAsk,
    moment: shares.Moment,
) -> UnitPlan:
    """Returns a unit limit's row with the holder's units moved to its need.

    Units are open up to the smallest of the ceiling and the lowest use within
    the last SHIFT_INTERVAL_S plus the shift cap.
    """
    limit = newer_limit(limit, share)
    fresh = share is None
    if share is None:
        start = (shares.Level(moment.latest_s, 0),)
        share = shares.UnitShare(limit, limit.target, moment.latest_s, start)
    old, others = _split_grants(share.grants, ask.session, limit, moment)
    held = old.units if old else 0
    ceiling, ceiling_s = _ceiling(limit, share, moment)
    open_units = min(
        math.ceil(ceiling), limit.limit, _base(share, moment) + limit.shift_cap
    )
    free = open_units - sum(grant.units for grant in others)
    target = _unit_target(limit, share, others, old, ask, open_units, free)
    units = min(held, max(target, ask.in_use)) if target < held else target
    used = min(units, ask.used)
    grant = shares.UnitGrant(
        ask.session, ask.write_id, units, used, ask.wanted, limit.limit
    )
    grants = others if ask.leaving and units == 0 else (*others, grant)
    levels = _levels(share, sum(g.used for g in grants), moment)
    new = shares.UnitShare(limit, ceiling, ceiling_s, levels, grants)
    worthwhile = (
        fresh
        or (ask.leaving and old is not None and units == 0)
        or old is None
        or (old is not None and _units_worthwhile(old, grant))
        or limit != share.limit
        or len(others) + (old is not None) < len(share.grants)
        or levels[-1].used > share.levels[-1].used
    )
    return UnitPlan(new, grant, target, worthwhile)


def _units_worthwhile(old: shares.UnitGrant, grant: shares.UnitGrant) -> bool:
    """Returns whether a change of a unit grant is worth a transaction."""
    return (
        grant.units != old.units
        or grant.used > old.used
        or old.used - grant.used > old.used // 4
        or abs(grant.wanted - old.wanted) > 1 + old.wanted // 4
    )


def _ceiling(
    limit: shares.UnitLimit, share: shares.UnitShare, moment: shares.Moment
) -> tuple[float, float]:
    """Returns the most units and the time from which it falls further."""
    used = sum(grant.used for grant in share.grants)
    ceiling = min(share.ceiling, max(used, share.limit.target))
    if limit.target >= ceiling:
        return float(limit.target), moment.latest_s
    if share.limit.target >= ceiling and limit != share.limit:
        return float(min(ceiling, max(used, limit.target))), moment.latest_s
    elapsed_s = max(0.0, moment.earliest_s - share.ceiling_s)
    closed = limit.shift_cap * elapsed_s / shares.SHIFT_INTERVAL_S
    ceiling_s = max(share.ceiling_s, moment.earliest_s)
    return max(limit.target, ceiling - closed), ceiling_s


def _base(share: shares.UnitShare, moment: shares.Moment) -> int:
    """Returns the lowest use within the last SHIFT_INTERVAL_S."""
    start_s = moment.earliest_s - shares.SHIFT_INTERVAL_S
    lowest = share.levels[-1].used
    for level in reversed(share.levels):
        lowest = min(lowest, level.used)
        if level.at_s <= start_s:
            return lowest
    return lowest if share.levels[0].at_s <= start_s else 0


def _levels(
    share: shares.UnitShare, used: int, moment: shares.Moment
) -> tuple[shares.Level, ...]:
    """Returns the levels of use with the present one added."""
    last = share.levels[-1]
    if used == last.used:
        return share.levels
    start_s = moment.earliest_s - shares.SHIFT_INTERVAL_S
    kept = list(share.levels)
    while len(kept) > 1 and kept[1].at_s <= start_s:
        del kept[0]
    if moment.latest_s - last.at_s < LEVEL_STEP_S:
        kept[-1] = shares.Level(last.at_s, min(last.used, used))
        return tuple(kept)
    kept.append(shares.Level(moment.latest_s, used))
    return tuple(kept)


def _unit_target(
    limit: shares.UnitLimit,
    share: shares.UnitShare,
    others: Sequence[shares.UnitGrant],
    old: shares.UnitGrant | None,
    ask: UnitAsk,
    open_units: int,
    free: int,
) -> int:
    """Returns the units that the holder may fill from now on."""
    if ask.leaving:
        return 0
    held = old.units if old else 0
    if old is not None and old.of_limit > limit.limit:
        return min(held * limit.limit // old.of_limit, ask.wanted)
    wants = [grant.wanted for grant in others] + [ask.wanted]
    sessions = [grant.session for grant in others] + [ask.session]
    fair = apportion(max(0, open_units), wants, sessions)[-1]
    excess = held - free
    if excess > 0:
        return held - min(held, excess, max(0, held - fair))
    lacking = any(grant.units < grant.wanted for grant in others)
    if sum(wants) <= open_units and not lacking:
        # Nobody lacks units; spare ones are held for bursts of requests.
        return max(held, min(fair, free))
    if fair < held <= fair + 1 and fair > 0:
        return held
    return max(0, min(fair, free))


def apportion(
    total: int, weights: Sequence[int], names: Sequence[str]
) -> list[int]:
    """Divides whole units in proportion to weights, by largest remainders."""
    weight = sum(weights)
    if weight == 0 or total <= 0:
        return [0] * len(weights)
    parts = [total * one // weight for one in weights]
    order = sorted(
        range(len(weights)),
        key=lambda i: (-(total * weights[i] % weight), names[i]),
    )
    for i in order[: total - sum(parts)]:
        parts[i] += 1
    return parts

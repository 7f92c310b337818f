"""Limits divided into shares: the rows share/LIMIT of the table service.

All functions are pure. Times are seconds of the table service's clock, known
to a host only between two bounds.
"""

from collections.abc import Mapping, Sequence
import dataclasses
import functools
from typing import Any, Literal, NewType

import pydantic

from banyanshed.core import models
from banyanshed.core import rows

SHARE_PREFIX = "share/"
TENANT_PREFIX = SHARE_PREFIX + "tenant/"
PLACEMENT_PREFIX = SHARE_PREFIX + "placement/"
LINK_PREFIX = SHARE_PREFIX + "link/"
SHIFT_INTERVAL_S = 10.0
LINK_BURST_S = 1.0
MIN_HOST_BURST = 8

LimitKey = NewType("LimitKey", str)
SessionId = NewType("SessionId", str)


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A rate and a burst over all hosts: of a tenant, or bytes of a link.

    Attributes:
        key: Key of its row in the table service.
        version: Version of the configuration that gave it.
        rate: Requests or bytes a second.
        burst: Requests or bytes.
        linger_s: Longest time a request may go on after its admission.
    """

    key: LimitKey
    version: models.ConfigVersion
    rate: float
    burst: float
    linger_s: float = 0.0
    kind: Literal["rate"] = "rate"


@dataclasses.dataclass(frozen=True, slots=True)
class UnitLimit:
    """Concurrent requests of a service in a region, over all hosts.

    Attributes:
        key: Key of its row in the table service.
        version: Version of the configuration that gave it.
        limit: Most requests at once.
        weight: Part of the limit in use, in percent.
        shift_cap: Most requests that may move in SHIFT_INTERVAL_S.
        linger_s: Longest deadline of a request.
    """

    key: LimitKey
    version: models.ConfigVersion
    limit: int
    weight: int
    shift_cap: int
    linger_s: float = 0.0
    kind: Literal["units"] = "units"

    @property
    def target(self) -> int:
        """Units that the weight leaves in use."""
        return self.limit * self.weight // 100


Limit = RateLimit | UnitLimit


@dataclasses.dataclass(frozen=True, slots=True)
class RateGrant:
    """A holder's part of a rate limit.

    Attributes:
        session: The holder's session.
        write_id: Id of the holder's transaction that wrote the grant.
        rate: Part of the rate.
        burst: Part of the burst.
        demand: Rate asked of the holder, refused requests included.
        of_rate: Rate of the limit when it was granted.
        of_burst: Burst of the limit when it was granted.
    """

    session: SessionId
    write_id: str
    rate: float
    burst: float
    demand: float
    of_rate: float
    of_burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnitGrant:
    """A holder's units of a placement.

    Attributes:
        session: The holder's session.
        write_id: Id of the holder's transaction that wrote the grant.
        units: Requests that the holder may have at work.
        used: Most requests that it had at work within PEAK_WINDOW_S.
        wanted: Units that it asks for.
        of_limit: The limit when they were granted.
    """

    session: SessionId
    write_id: str
    units: int
    used: int
    wanted: int
    of_limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Units in use over all hosts from a time on."""

    at_s: float
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateShare:
    """Row of a rate limit.

    Attributes:
        limit: Newest form of the limit that a holder applied.
        pool_tokens: Tokens of the part that nobody holds, at `stamp_s`.
        stamp_s: The pool refills from this time on.
        grants: Parts that are held.
    """

    limit: RateLimit
    pool_tokens: float
    stamp_s: float
    grants: tuple[RateGrant, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UnitShare:
    """Row of a unit limit.

    Attributes:
        limit: Newest form of the limit that a holder applied.
        ceiling: Most units, at `ceiling_s`; falls at the cap's pace.
        ceiling_s: Time of the ceiling.
        levels: Units in use over the last SHIFT_INTERVAL_S, oldest first.
        grants: Units that are held.
    """

    limit: UnitLimit
    ceiling: float
    ceiling_s: float
    levels: tuple[Level, ...]
    grants: tuple[UnitGrant, ...] = ()


Share = RateShare | UnitShare
RATE_ADAPTER: pydantic.TypeAdapter[RateShare] = pydantic.TypeAdapter(RateShare)
UNIT_ADAPTER: pydantic.TypeAdapter[UnitShare] = pydantic.TypeAdapter(UnitShare)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreView:
    """Bounds of the table service's clock, and what is known of sessions.

    Attributes:
        earliest_s: The clock has surely reached this.
        latest_s: The clock has surely not passed this.
        closed: Time at which each closed session had surely stopped.
    """

    earliest_s: float
    latest_s: float
    closed: Mapping[SessionId, float]


def tenant_key(tenant: models.TenantId) -> LimitKey:
    """Returns the key of a tenant's share row."""
    return LimitKey(f"{TENANT_PREFIX}{tenant}")


def placement_key(
    service: models.ServiceId, region: models.RegionId
) -> LimitKey:
    """Returns the key of a placement's share row."""
    return LimitKey(f"{PLACEMENT_PREFIX}{service}/{region}")


def link_key(source: models.RegionId, target: models.RegionId) -> LimitKey:
    """Returns the key of a link's share row."""
    return LimitKey(f"{LINK_PREFIX}{source}/{target}")


def limits_of(
    config_rows: Sequence[rows.AnyRow], version: models.ConfigVersion
) -> tuple[Limit, ...]:
    """Returns the limits that rows of the configuration set."""
    deadlines_s = {
        row.service: row.deadline_s
        for row in config_rows
        if isinstance(row, rows.ServiceRow)
    }
    longest_s = max(deadlines_s.values(), default=0.0)
    limits: list[Limit] = []
    for row in config_rows:
        if isinstance(row, rows.TenantRow):
            key = tenant_key(models.TenantId(row.tenant))
            limits.append(RateLimit(key, version, row.rate, row.burst))
            continue
        if isinstance(row, rows.LinkRow):
            limits.append(link_limit(row, version, longest_s))
            continue
        if not isinstance(row, rows.PlacementRow):
            continue
        key = placement_key(
            models.ServiceId(row.service), models.RegionId(row.region)
        )
        limits.append(
            UnitLimit(
                key,
                version,
                row.limit,
                row.weight,
                row.shift_cap,
                deadlines_s.get(row.service, longest_s),
            )
        )
    return tuple(limits)


def link_limit(
    row: rows.LinkRow, version: models.ConfigVersion, linger_s: float
) -> RateLimit:
    """Returns the limit of a link; its burst is LINK_BURST_S of its rate."""
    key = link_key(models.RegionId(row.source), models.RegionId(row.target))
    burst = row.bytes_per_s * LINK_BURST_S
    return RateLimit(key, version, row.bytes_per_s, burst, linger_s)


def hosts_for_burst(burst: float, hosts: int) -> int:
    """Returns the number of hosts that a tenant is best steered to.

    A tenant's burst is divided between the hosts that serve it; with too few
    tokens each, chance alone exhausts one host while another has plenty.
    """
    return max(1, min(hosts, int(burst // MIN_HOST_BURST)))


@functools.singledispatch
def parse_share(limit: Limit, value: Mapping[str, Any] | None) -> Share | None:
    """Returns a share from the value of its row; None when absent."""
    raise TypeError(type(limit).__name__)


@parse_share.register
def _parse_rate(
    limit: RateLimit, value: Mapping[str, Any] | None
) -> RateShare | None:
    return None if value is None else RATE_ADAPTER.validate_python(value)


@parse_share.register
def _parse_units(
    limit: UnitLimit, value: Mapping[str, Any] | None
) -> UnitShare | None:
    return None if value is None else UNIT_ADAPTER.validate_python(value)


def share_value(share: Share) -> dict[str, Any]:
    """Returns the value of a share's row."""
    return dataclasses.asdict(share)

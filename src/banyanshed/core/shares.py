"""Limits divided into shares: the rows share/LIMIT of the table service.

All functions are pure. Times are in seconds of the table service's clock, of
which a host knows only a lower and an upper bound.
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
# Interval of the shift cap, in seconds.
SHIFT_INTERVAL_S = 10.0
# Burst of a link, as the time in seconds that it takes at the link's rate.
LINK_BURST_S = 1.0
# Minimum burst per session for which hosts without demand get a share as well.
MIN_HOST_BURST = 8

LimitKey = NewType("LimitKey", str)
SessionId = NewType("SessionId", str)


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit over all hosts: a tenant's requests or the bytes of a link.

    Attributes:
        key: Key of its row in the table service.
        version: Version of the configuration that sets it.
        rate: Requests or bytes per second.
        burst: Requests or bytes.
        linger_s: Longest time in seconds that a request may run after its
            admission.
    """

    key: LimitKey
    version: models.ConfigVersion
    rate: float
    burst: float
    linger_s: float = 0.0
    kind: Literal["rate"] = "rate"


@dataclasses.dataclass(frozen=True, slots=True)
class UnitLimit:
    """Concurrency limit of a service in a region (a placement), over all hosts.

    A unit is the right to run one request at a time.

    Attributes:
        key: Key of its row in the table service.
        version: Version of the configuration that sets it.
        limit: Maximum number of concurrent requests.
        weight: Percentage of the limit that may be used.
        shift_cap: Maximum change of use, in requests, within
            SHIFT_INTERVAL_S.
        linger_s: Longest deadline of a request in seconds.
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
        """Number of units that may be used at the present weight."""
        return self.limit * self.weight // 100


Limit = RateLimit | UnitLimit


@dataclasses.dataclass(frozen=True, slots=True)
class RateGrant:
    """A session's part of a rate limit.

    Attributes:
        session: The session that holds it.
        write_id: Id of the session's transaction that wrote the grant.
        rate: Granted rate, per second.
        burst: Granted burst.
        demand: Rate requested of the host, refused requests included.
        of_rate: Rate of the limit when the grant was written.
        of_burst: Burst of the limit when the grant was written.
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
    """A session's units of a placement.

    Attributes:
        session: The session that holds them.
        write_id: Id of the session's transaction that wrote the grant.
        units: Number of requests that the host may run concurrently.
        used: Peak of its concurrent requests within planning.PEAK_WINDOW_S.
        wanted: Number of units that it needs.
        of_limit: The limit when the grant was written.
    """

    session: SessionId
    write_id: str
    units: int
    used: int
    wanted: int
    of_limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Total number of units in use by all hosts from a time on.

    Attributes:
        at_s: Start of the period, by the table service's clock.
        used: Units in use.
    """

    at_s: float
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateShare:
    """Row of a rate limit.

    Attributes:
        limit: Newest version of the limit that a host has applied.
        pool_tokens: Tokens at `stamp_s` of the part that is not granted.
        stamp_s: Time of the pool's last refill.
        grants: Granted parts.
    """

    limit: RateLimit
    pool_tokens: float
    stamp_s: float
    grants: tuple[RateGrant, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UnitShare:
    """Row of a unit limit.

    Attributes:
        limit: Newest version of the limit that a host has applied.
        ceiling: Maximum number of units at `ceiling_s`; above the limit's
            target it falls by the shift cap per SHIFT_INTERVAL_S.
        ceiling_s: Time of the ceiling.
        levels: Units in use over the last SHIFT_INTERVAL_S, oldest first.
        grants: Granted units.
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
    """Bounds of the table service's clock, and the known closed sessions.

    Attributes:
        earliest_s: Lower bound of the clock.
        latest_s: Upper bound of the clock.
        closed: Time by which each closed session had stopped using its
            shares.
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
    """Returns the limits that the rows of a configuration set."""
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
    """Returns a link's limit, with a burst of LINK_BURST_S at its rate."""
    key = link_key(models.RegionId(row.source), models.RegionId(row.target))
    burst = row.bytes_per_s * LINK_BURST_S
    return RateLimit(key, version, row.bytes_per_s, burst, linger_s)


def hosts_for_burst(burst: float, hosts: int) -> int:
    """Returns the number of hosts among which to spread a tenant's requests.

    A tenant's burst is divided between the hosts that serve it. With fewer
    than MIN_HOST_BURST tokens each, random variation alone exhausts one host's
    tokens while another has plenty.

    Args:
        burst: The tenant's burst in requests.
        hosts: Number of available hosts.
    """
    return max(1, min(hosts, int(burst // MIN_HOST_BURST)))


@functools.singledispatch
def parse_share(limit: Limit, value: Mapping[str, Any] | None) -> Share | None:
    """Parses the value of a share row; returns None for an absent row."""
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
    """Returns the row value that stores a share."""
    return dataclasses.asdict(share)

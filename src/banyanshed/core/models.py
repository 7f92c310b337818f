"""Ids, states and data objects shared by all modules."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any, NewType

HostId = NewType("HostId", str)
RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
TenantId = NewType("TenantId", str)
ServiceId = NewType("ServiceId", str)
BackendId = NewType("BackendId", str)
KeyDigest = NewType("KeyDigest", str)
ConfigVersion = NewType("ConfigVersion", int)

ABSENT_VERSION = 0
"""Version of a table row that was never written."""


class HostState(enum.Enum):
    """Whether an entry host may be listed in lookup responses.

    Attributes:
        LIVE: It may be listed.
        LEAVING: It is stopping.
        SUSPECTED: It did not reply to its peers and may be down.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"


class BackendState(enum.Enum):
    """Whether a backend server may be sent new requests."""

    LIVE = "live"
    LEAVING = "leaving"


class Priority(enum.Enum):
    """Order in which waiting requests are served."""

    INTERACTIVE = "interactive"
    BACKGROUND = "background"


class Ran(enum.Enum):
    """Whether a refused request was executed by a backend server.

    Attributes:
        NO: No backend server can have executed it.
        UNKNOWN: A backend server may have executed it.
    """

    NO = "no"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class TableRow:
    """One row of the platform's table service.

    Attributes:
        key: Key of the row; its parts are separated by "/".
        version: Commit number of the last write; 0 if never written.
        value: JSON object; None if absent or deleted.
    """

    key: str
    version: int
    value: Mapping[str, Any] | None


@dataclasses.dataclass(frozen=True)
class TablePage:
    """Rows as of one commit.

    Attributes:
        rows: The requested rows; a scan also returns deleted rows.
        version: Commit number that the rows reflect.
        now_s: Clock of the table service in seconds, at that commit.
    """

    rows: tuple[TableRow, ...]
    version: int
    now_s: float


@dataclasses.dataclass(frozen=True)
class Condition:
    """Requires that a row has a version; 0 requires that it is absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """Replaces a row; a value of None deletes it."""

    key: str
    value: Mapping[str, Any] | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True)
class Commit:
    """Result of a transaction that was applied.

    Attributes:
        version: Its commit number, the version of every row that it wrote.
        now_s: Clock of the table service in seconds, at the commit.
    """

    version: int
    now_s: float


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """One entry of the platform's list of hosts, which may be out of date.

    Attributes:
        host: Id of the entry host.
        region: Its region.
        zone: Its availability zone.
        caller_address: "IP:port" for callers and operators.
        peer_address: "IP:port" for other entry hosts.
        state: Live or leaving.
    """

    host: HostId
    region: RegionId
    zone: ZoneId
    caller_address: str
    peer_address: str
    state: HostState


@dataclasses.dataclass(frozen=True)
class HostPage:
    """The platform's list of hosts as of one read.

    Attributes:
        hosts: The entry hosts.
        leaving_addresses: "IP:port" of backend servers whose hosts are
            leaving.
    """

    hosts: tuple[ListedHost, ...]
    leaving_addresses: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A final response that does not come from a backend server.

    Attributes:
        status: HTTP status.
        code: Stable code of the reason.
        ran: Whether the request was executed.
        retry_after_s: Seconds after which to retry; None if a retry is
            useless.
        detail: Human-readable explanation; contains no secrets.
    """

    status: int
    code: str
    ran: Ran
    retry_after_s: float | None
    detail: str

"""Messages of the platform, decoded into and encoded from own types."""

import base64
import binascii
from collections.abc import Sequence
import dataclasses
import functools
import re
from typing import Annotated, Any

import msgspec

from banyanshed import exceptions
from banyanshed.platform import durations
from banyanshed.platform import settings
from banyanshed.steering import models

# Tables that the platform writes and the product only reads.
OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"


# Limits on numbers in the entries of backend servers.
MAX_SLOTS = 1_000_000
_Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# What the decoder raises for other than well-formed messages; nested ones may
# exceed the interpreter's stack.
_DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class MalformedMessage(exceptions.PlatformError):
    """A message or row of the platform can't be decoded."""

    code = "malformed_message"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Attributes:
        key: Key in the table.
        value: Value as bytes; None when the row was deleted.
        version: Number of the transaction that wrote the row.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Rows of a table with the version at which they were read.

    Attributes:
        rows: Rows in the store's order.
        version: Number of the newest transaction that the page reflects.
        more: Whether the table has more rows after these.
        era: Era of the store in which they were read. Versions of different
            eras can't be compared.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool
    era: int = 0


class _WireRow(msgspec.Struct):
    key: str
    ver: int
    value: str | None = None
    deleted: bool = False


class _WirePage(msgspec.Struct):
    rows: list[_WireRow]
    ver: int
    # Whether rows-get left out further rows.
    hasMore: bool = False  # noqa: N815


class _WirePart(msgspec.Struct):
    # Name of a service.
    backend: str
    weight: float


class _WireRoute(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    kind: str
    timeout: str
    # Latency objective: responses within it get the full credit.
    targetLatency: str  # noqa: N815
    attempts: int = 1
    priority: int = 0
    # Name of a service; absent when the route is split.
    backend: str | None = None
    split: list[_WirePart] | None = None
    # Whether requests need no API key.
    public: bool = False
    affinity: bool = False
    homeRegions: list[str] | None = None  # noqa: N815


class _WireService(msgspec.Struct):
    name: str
    healthPath: str = ""  # noqa: N815
    cold: str = "0s"
    # Requests per second that a cold server can handle.
    coldPerS: float = 0.0  # noqa: N815
    maxConns: int = 0  # noqa: N815


class _WireLimits(msgspec.Struct):
    maxHeaderBytes: int  # noqa: N815
    maxBodyBytes: int  # noqa: N815
    headerTimeout: str  # noqa: N815
    idleTimeout: str  # noqa: N815


class _WireCustomer(msgspec.Struct):
    name: str
    apiKeys: list[str]  # noqa: N815
    priority: int | None = None
    ratePerS: float = 0.0  # noqa: N815
    burst: float = 0.0
    homeRegions: list[str] | None = None  # noqa: N815


class _WireConfiguration(msgspec.Struct):
    version: str
    routes: list[_WireRoute]
    # Services, which the platform calls back ends.
    backends: list[_WireService]
    limits: _WireLimits | None = None
    tenants: list[_WireCustomer] | None = None


class _WireInfo(msgspec.Struct):
    backend: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class _WireStatus(msgspec.Struct):
    state: str
    # Number of what the server has said since its start.
    seq: _Counter = 0
    # How long the server stays cold after the entry was written.
    coldLeft: str = "0ms"  # noqa: N815


class _WireServer(msgspec.Struct):
    addr: str
    info: _WireInfo
    status: _WireStatus
    # Unix time of the start of the server, in milliseconds.
    born: _Counter = 0


# A path that can stand in a request line.
_PATH = re.compile("/[!-~]*")
_PAGE = msgspec.json.Decoder(_WirePage)
_CONFIGURATION = msgspec.json.Decoder(_WireConfiguration)
_SERVER = msgspec.json.Decoder(_WireServer)


def decode_page(body: bytes, era: int = 0) -> Page:
    """Decodes the response to a read of a table.

    Args:
        body: Body of the response.
        era: Era of the store, from the response's headers.

    Raises:
        MalformedMessage: The response can't be decoded.
    """
    try:
        wire = _PAGE.decode(body)
        rows = tuple(_decode_row(row) for row in wire.rows)
    except (*_DECODE_ERRORS, binascii.Error) as error:
        raise MalformedMessage(f"rows: {error}") from error
    return Page(rows, wire.ver, wire.hasMore, era)


def encode_write(table: str, key: str, value: bytes) -> bytes:
    """Encodes a transaction that writes one row unconditionally."""
    encoded = base64.b64encode(value).decode()
    write = {"table": table, "part": "", "key": key, "value": encoded}
    return msgspec.json.encode(
        {"precondition": [], "writes": [write], "remove": []}
    )


def encode_remove(table: str, key: str) -> bytes:
    """Encodes a transaction that removes one row unconditionally."""
    remove = {"table": table, "part": "", "key": key}
    return msgspec.json.encode(
        {"precondition": [], "writes": [], "remove": [remove]}
    )


def encode_addresses(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Encodes the directory's response: hosts to use and a time to live."""
    return msgspec.json.encode({"addrs": list(addresses), "ttl": f"{ttl_s:g}s"})


@functools.lru_cache(maxsize=2)
def decode_configuration(value: bytes) -> models.Configuration:
    """Decodes a configuration.

    Raises:
        MalformedMessage: The configuration can't be decoded.
    """
    try:
        wire = _CONFIGURATION.decode(value)
        return models.Configuration(
            _decode_version(wire.version),
            [_decode_route(route) for route in wire.routes],
            [_decode_service(service) for service in wire.backends],
            [_decode_customer(customer) for customer in wire.tenants or ()],
            _decode_limits(wire.limits),
        )
    except (*_DECODE_ERRORS, ValueError) as error:
        raise MalformedMessage(f"configuration: {error}") from error


def decode_server(id_: str, value: bytes) -> models.Registration:
    """Decodes the registration of a backend server.

    Raises:
        MalformedMessage: The entry is not a valid registration.
    """
    try:
        wire = _SERVER.decode(value)
        cold_left_s = durations.decode(wire.status.coldLeft)
        if cold_left_s > durations.MAX_COLD_S:
            raise ValueError(f"cold for {wire.status.coldLeft}")
        return models.Registration(
            models.ServerId(id_),
            settings.decode_address(wire.addr),
            models.ServiceName(wire.info.backend),
            models.ZoneName(wire.info.zone),
            max(1, wire.info.slots),
            models.ServerState(wire.status.state),
            cold_left_s,
            wire.born,
            wire.status.seq,
        )
    except (*_DECODE_ERRORS, ValueError) as error:
        raise MalformedMessage(f"server {id_}: {error}") from error


def decode_order(
    table: str, key: str, value: bytes
) -> models.WriterOrder | None:
    """Decodes the number that a row's writer gave it.

    Args:
        table: Table of the row.
        key: Key of the row.
        value: Value of the row.

    Returns:
        The number; None if rows of this kind have none, or if the row can't be
        decoded.
    """
    try:
        if table == OPERATOR_TABLE and key == CONFIGURATION_KEY:
            configuration = decode_configuration(value)
            return models.WriterOrder(configuration.version, 0)
        if table == SERVER_TABLE:
            wire = _SERVER.decode(value)
            return models.WriterOrder(wire.born, wire.status.seq)
    except (*_DECODE_ERRORS, MalformedMessage):
        return None
    return None


def _decode_row(wire: _WireRow) -> Row:
    if wire.deleted or wire.value is None:
        return Row(wire.key, None, wire.ver)
    return Row(wire.key, base64.b64decode(wire.value), wire.ver)


def _decode_version(text: str) -> int:
    """Decodes a version such as "r12" into its number."""
    if not text.startswith("r"):
        raise ValueError(f"version does not start with r: {text!r}")
    return int(text[1:])


def _decode_route(wire: _WireRoute) -> models.Route:
    if wire.kind not in ("safe", "unsafe"):
        raise ValueError(f"route {wire.name}: unknown kind {wire.kind!r}")
    parts = [
        models.RouteTarget(models.ServiceName(part.backend), part.weight)
        for part in wire.split or ()
        if part.weight > 0
    ]
    if not parts and wire.backend:
        parts = [models.RouteTarget(models.ServiceName(wire.backend), 1.0)]
    if not parts:
        raise ValueError(f"route {wire.name}: no service")
    return models.Route(
        models.RouteName(wire.name),
        wire.hostname.lower(),
        wire.prefix,
        tuple(parts),
        wire.kind == "safe",
        durations.decode(wire.timeout),
        durations.decode(wire.targetLatency),
        max(1, wire.attempts),
        wire.priority,
        wire.public,
        wire.affinity,
        _decode_homes(wire.homeRegions),
    )


def _decode_service(wire: _WireService) -> models.Service:
    return models.Service(
        models.ServiceName(wire.name),
        durations.decode(wire.cold),
        wire.coldPerS,
        wire.maxConns,
        wire.healthPath if _PATH.fullmatch(wire.healthPath) else "",
    )


def _decode_customer(wire: _WireCustomer) -> models.Customer:
    return models.Customer(
        models.CustomerName(wire.name),
        tuple(models.ApiKey(key) for key in wire.apiKeys),
        wire.priority,
        wire.ratePerS,
        wire.burst,
        _decode_homes(wire.homeRegions),
    )


def _decode_limits(wire: _WireLimits | None) -> models.ClientLimits:
    if wire is None:
        return models.ClientLimits()
    return models.ClientLimits(
        wire.maxHeaderBytes,
        wire.maxBodyBytes,
        durations.decode(wire.headerTimeout),
        durations.decode(wire.idleTimeout),
    )


def _decode_homes(wire: Any) -> frozenset[models.RegionName]:
    return frozenset(models.RegionName(region) for region in wire or ())

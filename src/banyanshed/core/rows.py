"""Rows of the configuration table, validated by pydantic.

A row is stored in the table service under "config/" + kind + "/" + its name.
Every accepted change also writes the row "config-head" in the same transaction,
conditional on its version, so that changes are totally ordered; the commit
number of that row is the version of the configuration.
"""

import ipaddress
from typing import Annotated, Literal

import pydantic

from banyanshed.core import models

CONFIG_PREFIX = "config/"
HEAD_KEY = "config-head"

Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")
]


class ConfigRow(pydantic.BaseModel):
    """Base class of all rows; unknown columns are rejected."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class RegionRow(ConfigRow):
    """region/REGION: a region and its distances to others in milliseconds."""

    kind: Literal["region"] = "region"
    region: Name
    distances_ms: dict[Name, Annotated[float, pydantic.Field(gt=0)]] = {}


class ServiceRow(ConfigRow):
    """service/SERVICE: a service and how its requests are handled.

    Attributes:
        open_to_all: Requests do not need a key.
        priority: Interactive or background work.
        deadline_s: Maximum duration of a request, in seconds.
        answer_bytes: Maximum size of an answer in bytes, reserved on links
            between regions.
    """

    kind: Literal["service"] = "service"
    service: Name
    open_to_all: bool = False
    priority: models.Priority = models.Priority.INTERACTIVE
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 10
    answer_bytes: Annotated[int, pydantic.Field(gt=0, le=8 << 20)] = 65536


class PlacementRow(ConfigRow):
    """placement/SERVICE/REGION: weight and limits of a service in a region.

    Attributes:
        weight: Percentage of the limit that may be used; 0 means drained.
        limit: Maximum number of concurrent requests in the region, over all
            hosts.
        shift_cap: Maximum number of concurrent requests that may move to or
            from the region per interval of shares.SHIFT_INTERVAL_S.
    """

    kind: Literal["placement"] = "placement"
    service: Name
    region: Name
    weight: Annotated[int, pydantic.Field(ge=0, le=100)]
    limit: Annotated[int, pydantic.Field(ge=0)]
    shift_cap: Annotated[int, pydantic.Field(gt=0)]


class BackendRow(ConfigRow):
    """backend/SERVICE/BACKEND: a backend server.

    Attributes:
        address: "IP:port" of the backend server.
        slots: Number of requests that it executes concurrently.
        connections: Maximum number of open connections over all hosts.
        state: Whether it is live; a leaving one gets no new work.
    """

    kind: Literal["backend"] = "backend"
    service: Name
    backend: Name
    region: Name
    zone: Name
    address: str
    slots: Annotated[int, pydantic.Field(gt=0)]
    connections: Annotated[int, pydantic.Field(gt=0)] = 650
    state: models.BackendState = models.BackendState.LIVE


class TenantRow(ConfigRow):
    """tenant/TENANT: rate in requests per second and burst in requests."""

    kind: Literal["tenant"] = "tenant"
    tenant: Name
    rate: Annotated[float, pydantic.Field(gt=0)]
    burst: Annotated[int, pydantic.Field(gt=0)]


class KeyRow(ConfigRow):
    """key/DIGEST: SHA-256 of a tenant's key; withdrawal deletes the row."""

    kind: Literal["key"] = "key"
    digest: Annotated[str, pydantic.StringConstraints(pattern="^[0-9a-f]{64}$")]
    tenant: Name
    label: str = ""


class LinkRow(ConfigRow):
    """link/SOURCE/TARGET: bytes per second from one region to another."""

    kind: Literal["link"] = "link"
    source: Name
    target: Name
    bytes_per_s: Annotated[float, pydantic.Field(gt=0)]


class BlockRow(ConfigRow):
    """block/CIDR, "/" as "_": site (region and zone) of caller addresses."""

    kind: Literal["block"] = "block"
    cidr: str
    region: Name
    zone: Name

    @pydantic.field_validator("cidr")
    @classmethod
    def check_cidr(cls, value: str) -> str:
        """Rejects a value that is not a network in canonical form."""
        return str(ipaddress.ip_network(value, strict=True))


class DrainRow(ConfigRow):
    """drain/DRAIN: a period without new work for a placement or backend server.

    Exactly one of `region` and `backend` is given.

    Attributes:
        service: Service of the placement or backend server.
        region: Region of the drained placement, or None.
        backend: Id of the drained backend server, or None.
        starts_s: Start, in seconds of the table service's clock.
        ends_s: End, in seconds of the table service's clock.
    """

    kind: Literal["drain"] = "drain"
    drain: Name
    service: Name
    region: Name | None = None
    backend: Name | None = None
    starts_s: float
    ends_s: float

    @pydantic.model_validator(mode="after")
    def check_target(self) -> "DrainRow":
        """Checks for exactly one target and an end after the start."""
        if (self.region is None) == (self.backend is None):
            raise ValueError("give just one of region and backend")
        if self.ends_s <= self.starts_s:
            raise ValueError("ends_s must be after starts_s")
        return self


AnyRow = Annotated[
    RegionRow
    | ServiceRow
    | PlacementRow
    | BackendRow
    | TenantRow
    | KeyRow
    | LinkRow
    | BlockRow
    | DrainRow,
    pydantic.Field(discriminator="kind"),
]
ROW_ADAPTER: pydantic.TypeAdapter[AnyRow] = pydantic.TypeAdapter(AnyRow)

KEY_COLUMNS: dict[str, tuple[str, ...]] = {
    "region": ("region",),
    "service": ("service",),
    "placement": ("service", "region"),
    "backend": ("service", "backend"),
    "tenant": ("tenant",),
    "key": ("digest",),
    "link": ("source", "target"),
    "block": ("cidr",),
    "drain": ("drain",),
}


def row_key(row: AnyRow) -> str:
    """Returns the key of a row in the table service."""
    columns = [
        str(getattr(row, column)).replace("/", "_")
        for column in KEY_COLUMNS[row.kind]
    ]
    return CONFIG_PREFIX + "/".join([row.kind, *columns])

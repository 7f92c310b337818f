"""Configuration rows of a small installation with two regions."""

from collections.abc import Mapping, Sequence
import dataclasses

from banyanshed.core import configuration
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.core import sheets
from standins import fleet as fleets

REGIONS = ("sask", "alberta")
TENANT = "prairie-links"
SERVICES = ("board", "bookings")
HOSTS = (
    ("sask-a-1", fleets.Location("sask", "sask-a")),
    ("sask-b-1", fleets.Location("sask", "sask-b")),
    ("alberta-a-1", fleets.Location("alberta", "alberta-a")),
)
SLOTS = 8


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the installation.

    Attributes:
        rate: The tenant's rate in requests per second.
        burst: The tenant's burst in requests.
        limit: Concurrent requests in each placement.
        shift_cap: Most requests that may shift to another region in an
            interval.
        link_bytes_per_s: Capacity of each link between the regions.
        deadline_s: Longest time of a request in seconds.
    """

    rate: float = 200
    burst: int = 400
    limit: int = SLOTS
    shift_cap: int = SLOTS
    link_bytes_per_s: float = 50e6
    deadline_s: float = 10


def region_rows(limits: Limits) -> list[rows.AnyRow]:
    """Returns the regions, the links between them and the callers' block."""
    first, second = REGIONS
    return [
        rows.RegionRow(region=first, distances_ms={second: 20}),
        rows.RegionRow(region=second, distances_ms={first: 20}),
        rows.LinkRow(
            source=first, target=second, bytes_per_s=limits.link_bytes_per_s
        ),
        rows.LinkRow(
            source=second, target=first, bytes_per_s=limits.link_bytes_per_s
        ),
        rows.BlockRow(cidr="127.0.0.0/8", region=first, zone=f"{first}-a"),
    ]


def placement_rows(
    addresses: Mapping[tuple[str, str], Sequence[str]],
    limits: Limits,
    slots: int = SLOTS,
) -> list[rows.AnyRow]:
    """Returns placements and backend servers.

    Args:
        addresses: Addresses of backend servers by service and region.
        limits: Limits of the installation.
        slots: Concurrent requests of each backend server.
    """
    result: list[rows.AnyRow] = []
    for (service, region), servers in addresses.items():
        result.append(
            rows.PlacementRow(
                service=service,
                region=region,
                weight=100,
                limit=limits.limit,
                shift_cap=limits.shift_cap,
            )
        )
        for number, address in enumerate(servers, 1):
            result.append(
                rows.BackendRow(
                    service=service,
                    backend=f"{service}-{region}-{number}",
                    region=region,
                    zone=f"{region}-a",
                    address=address,
                    slots=slots,
                )
            )
    return result


def all_rows(
    addresses: Mapping[tuple[str, str], Sequence[str]], limits: Limits
) -> list[rows.AnyRow]:
    """Returns all rows of an installation with one tenant."""
    services: list[rows.AnyRow] = [
        rows.ServiceRow(service=service, deadline_s=limits.deadline_s)
        for service in SERVICES
    ]
    tenant = rows.TenantRow(tenant=TENANT, rate=limits.rate, burst=limits.burst)
    return [
        *region_rows(limits),
        *services,
        tenant,
        *placement_rows(addresses, limits),
    ]


def as_sheet(result: Sequence[rows.AnyRow]) -> str:
    """Returns rows as a CSV sheet that can be imported."""
    stored = [
        models.TableRow(
            rows.row_key(row),
            models.ABSENT_VERSION,
            configuration.encode_row(row),
        )
        for row in result
    ]
    return sheets.export(stored)


@dataclasses.dataclass
class Installation:
    """A running installation whose configuration is in force.

    Attributes:
        fleet: The processes of the installation.
        key: The tenant's API key.
        digest: Digest of the key.
    """

    fleet: fleets.Fleet
    key: str = ""
    digest: str = ""


def start(
    fleet: fleets.Fleet,
    limits: Limits | None = None,
    servers: int = 1,
    work_ms: float = 5,
    hosts: Sequence[tuple[str, fleets.Location]] = HOSTS,
    **settings: object,
) -> Installation:
    """Starts backend servers and hosts and applies a configuration.

    Args:
        fleet: Starts and owns the processes.
        limits: Limits of the installation.
        servers: Number of backend servers of each placement.
        work_ms: Processing time of a request in milliseconds.
        hosts: Entry hosts and their locations.
        **settings: Settings of the hosts that differ from the defaults.
    """
    addresses: dict[tuple[str, str], list[str]] = {}
    for service in SERVICES:
        for region in REGIONS:
            addresses[service, region] = [
                fleet.add_backend(
                    service,
                    f"{service}-{region}-{number}",
                    slots=SLOTS,
                    work_ms=work_ms,
                )
                for number in range(1, servers + 1)
            ]
    fleet.add_hosts(hosts, **settings)
    sheet = as_sheet(all_rows(addresses, limits or Limits()))
    fleet.call_operator("POST", "sheet", sheet.encode())
    issued = fleet.call_operator("POST", "key", {"tenant": TENANT})
    fleet.await_version(issued["version"])
    return Installation(fleet, issued["key"], issued["digest"])

"""Division of backend servers' slots between the hosts that hold units.

A unit lets a host run one request in a region, but does not determine the
backend server. Hosts that choose independently collide on the same backend
servers, which then shed requests. All hosts read the same grants of units, from
which each computes the same division of slots, and uses its own slots first.
The division only orders the choices: hosts that have read different grants may
collide, but exceed no limit.
"""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses

import xxhash

from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import shares


@dataclasses.dataclass(frozen=True)
class PlacementUnits:
    """Units of a placement held by each host."""

    service: models.ServiceId
    region: models.RegionId
    units: Mapping[models.HostId, int]


class UnitGrantWatcher:
    """Detects changes in the grants of units that this host has read.

    Attributes:
        versions: Row version last reported, by limit.
    """

    def __init__(self) -> None:
        """Creates a watcher that has reported nothing."""
        self.versions: dict[shares.LimitKey, int] = {}

    def changes(self, holder: leases.ShareHolder) -> Iterator[PlacementUnits]:
        """Yields the placements whose row has changed since the last call."""
        for names, held in holder.placements.items():
            service, region = names
            key = held.limit.key
            row = holder.snapshot.get(key)
            if row is None or self.versions.get(key) == row.version:
                continue
            self.versions[key] = row.version
            share = holder.snapshot.share(held.limit)
            if isinstance(share, shares.UnitShare):
                units = units_by_host(share.grants)
                yield PlacementUnits(
                    models.ServiceId(service), models.RegionId(region), units
                )


def units_by_host(
    grants: Iterable[shares.UnitGrant],
) -> dict[models.HostId, int]:
    """Returns the units of each host, over all of its sessions."""
    units: dict[models.HostId, int] = {}
    for grant in grants:
        host = models.HostId(grant.session.rpartition("/")[0])
        units[host] = units.get(host, 0) + grant.units
    return units


def own_slots(
    host: models.HostId,
    slots: Mapping[models.BackendId, int],
    units: Mapping[models.HostId, int],
) -> dict[models.BackendId, int]:
    """Returns how many slots of each backend server are this host's own.

    Each slot is assigned by rendezvous hashing among the hosts that have
    unassigned units. Each host thus gets at most as many slots as it has
    units, and few slots are reassigned when units move.

    Args:
        host: This host.
        slots: Slots of each backend server that accepts requests.
        units: Units of each host.
    """
    remaining_units = {
        name: count for name, count in units.items() if count > 0
    }
    own: dict[models.BackendId, int] = {}
    for backend, index in _interleaved_slots(slots):
        if host not in remaining_units:
            break
        suffix = f"\0{backend}\0{index}"
        holder = max(
            remaining_units, key=lambda name: _rendezvous_score(name + suffix)
        )
        remaining_units[holder] -= 1
        if remaining_units[holder] == 0:
            del remaining_units[holder]
        if holder == host:
            own[backend] = own.get(backend, 0) + 1
    return own


def _rendezvous_score(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())


def _interleaved_slots(
    slots: Mapping[models.BackendId, int],
) -> Iterator[tuple[models.BackendId, int]]:
    """Yields all slots so that any prefix is spread evenly over the servers."""
    positions = [
        ((index + 0.5) / count, backend, index)
        for backend, count in slots.items()
        for index in range(count)
    ]
    for _, backend, index in sorted(positions):
        yield backend, index

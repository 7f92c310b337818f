"""Locality weights: how requests of a region are divided over regions.

Requests stay in their own region as far as its servers have capacity; the
rest goes to regions with spare capacity. The weights depend only on inputs
that all hosts share, so that hosts of a region agree without coordination.
"""

import collections
from collections.abc import Iterable, Mapping

from banyanshed.steering import models
from banyanshed.steering import views

# Largest share of a region's requests that goes to its own servers.
MAX_LOCAL_SHARE = 0.97
# Least spare capacity of a region, as a fraction of its capacity, so that
# regions without any still have a weight.
MIN_SPARE_SHARE = 0.01


def compute_weights(
    capacity: Mapping[models.RegionName, float],
    demand: Mapping[models.RegionName, float],
    region: models.RegionName,
) -> dict[models.RegionName, float]:
    """Returns the weight of a slot in each region for one region's requests.

    Args:
        capacity: Slots by region.
        demand: Request volume by region, in any unit.
        region: Region whose requests are placed.

    Returns:
        Weight per slot by region.
    """
    slots = sum(capacity.values())
    total = sum(demand.values())
    if slots <= 0.0 or total <= 0.0 or region not in capacity:
        return dict.fromkeys(capacity, 1.0)
    demand_share = {name: demand.get(name, 0.0) / total for name in capacity}
    capacity_share = {name: held / slots for name, held in capacity.items()}
    spare = {
        name: max(
            MIN_SPARE_SHARE * capacity_share[name],
            capacity_share[name] - demand_share[name],
        )
        for name in capacity
        if name != region
    }
    if not spare:
        return {region: 1.0}
    local_share = MAX_LOCAL_SHARE
    if demand_share[region] > 0.0:
        local_share = min(
            local_share, capacity_share[region] / demand_share[region]
        )
    weights = {region: local_share / capacity_share[region]}
    remote_weight = (1.0 - local_share) / sum(spare.values())
    for name, amount in spare.items():
        weights[name] = remote_weight * amount / capacity_share[name]
    return weights


def compute_zone_weights(
    servers: Iterable[views.Server],
    zones: Mapping[models.ZoneName, models.RegionName],
    region: models.RegionName,
) -> dict[models.ZoneName, float]:
    """Returns the weight of a slot in each zone for one region's requests.

    Args:
        servers: All servers of a service.
        zones: Region of each availability zone.
        region: Region whose requests are placed.
    """
    capacity: dict[models.RegionName, float] = {}
    for server in servers:
        held_in = zones.get(server.registration.zone)
        if held_in is not None:
            slots = max(1, server.registration.slots)
            capacity[held_in] = capacity.get(held_in, 0.0) + slots
    demand = collections.Counter(zones.values())
    weights = compute_weights(capacity, demand, region)
    return {zone: weights.get(name, 1.0) for zone, name in zones.items()}

"""Size of the subset of backend servers that a host uses; no I/O."""

import dataclasses
import math

from banyanshed.core import servers

# The subset is reduced until this host may have at least MIN_CONNECTIONS
# connections to each of its backend servers, but not below MIN_SUBSET servers.
MIN_SUBSET = 4
MIN_CONNECTIONS = 2
SUBSET_DEVIATIONS = 4.0
"""Margin, in standard deviations, on the number of hosts per server."""


@dataclasses.dataclass(frozen=True)
class SubsetPlan:
    """How many backend servers of a placement a host uses.

    Attributes:
        size: Number of backend servers in the host's subset.
        connections: Maximum number of the host's connections to each.
    """

    size: int
    connections: int


def plan_subset(live: list[servers.Backend], host_count: int) -> SubsetPlan:
    """Returns the largest subset for which the connections suffice.

    The number of hosts that have a backend server in their subset is binomially
    distributed with mean `host_count * size / len(live)`. The connections of a
    backend server are divided by that mean plus SUBSET_DEVIATIONS standard
    deviations, which is almost never exceeded.

    Args:
        live: Backend servers to choose from.
        host_count: Number of entry hosts that choose subsets.
    """
    if not live:
        return SubsetPlan(0, 1)
    max_connections = min(backend.row.connections for backend in live)
    size = len(live)
    while True:
        fraction = size / len(live)
        mean = host_count * fraction
        margin = SUBSET_DEVIATIONS * math.sqrt(mean * (1 - fraction))
        connections = int(max_connections / max(1.0, mean + margin))
        if connections >= MIN_CONNECTIONS or size <= MIN_SUBSET:
            return SubsetPlan(size, max(1, connections))
        size -= 1

"""Which backend servers a host uses when there are many; no input or output."""

import dataclasses
import math

from banyanshed.core import servers

MIN_SUBSET = 4
MIN_CONNECTIONS = 2
SUBSET_DEVIATIONS = 4.0
"""Standard deviations of hosts per backend server that connections allow."""


@dataclasses.dataclass(frozen=True)
class SubsetPlan:
    """How many backend servers of a placement a host uses.

    Attributes:
        size: Backend servers in the host's subset.
        connections: Most connections of the host to each.
    """

    size: int
    connections: int


def plan_subset(live: list[servers.Backend], host_count: int) -> SubsetPlan:
    """Returns the largest subset for which connections suffice.

    A backend server is in the subsets of `host_count * size / len(live)` hosts
    on average, binomially distributed; its connections are divided between as
    many as it has with near certainty.

    Args:
        live: Backend servers to choose from.
        host_count: Entry hosts that choose.
    """
    if not live:
        return SubsetPlan(0, 1)
    allowed = min(backend.row.connections for backend in live)
    size = len(live)
    while True:
        share = size / len(live)
        mean = host_count * share
        spread = SUBSET_DEVIATIONS * math.sqrt(mean * (1 - share))
        connections = int(allowed / max(1.0, mean + spread))
        if connections >= MIN_CONNECTIONS or size <= MIN_SUBSET:
            return SubsetPlan(size, max(1, connections))
        size -= 1

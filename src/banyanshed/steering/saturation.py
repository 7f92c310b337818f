"""Which servers have had no free slot for most of the last seconds.

A short burst is worth a queue: slots are free again before it is long. When
a server stays full, each request that is added makes another one wait, so
that the choice among them matters more than the order. What callers then get
depends on the work that each request takes.
"""

import dataclasses

from banyanshed.steering import models

# Part of the time without a free slot from which a server is saturated.
SATURATED_SHARE = 0.5
# Time over which that part is averaged, and what one look counts at most.
AVERAGING_TIME_S = 1.0
MAX_SAMPLE_WEIGHT = 0.25


@dataclasses.dataclass(slots=True)
class _Occupancy:
    """Part of the time without a free slot, and when it was looked at."""

    full_share: float
    sampled_at: float


class Saturation:
    """How full one host has seen the servers lately."""

    def __init__(self) -> None:
        """Starts with no server looked at."""
        self.servers: dict[models.ServerId, _Occupancy] = {}

    def record_sample(
        self, server: models.ServerId, full: bool, now: float
    ) -> None:
        """Takes whether a server has no free slot now."""
        known = self.servers.get(server)
        if known is None:
            known = _Occupancy(0.0, now)
            self.servers[server] = known
        weight = min(
            MAX_SAMPLE_WEIGHT, (now - known.sampled_at) / AVERAGING_TIME_S
        )
        known.full_share += weight * (full - known.full_share)
        known.sampled_at = now

    def is_saturated(self, server: models.ServerId) -> bool:
        """Whether a server had no free slot for most of the last seconds."""
        known = self.servers.get(server)
        return known is not None and known.full_share >= SATURATED_SHARE

    def forget(self, server: models.ServerId) -> None:
        """Drops a server that is gone or started anew."""
        self.servers.pop(server, None)

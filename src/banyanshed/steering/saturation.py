"""Saturation: tells servers that stay full from those with a short burst.

A short burst is worth queueing, as slots become free before the queue is long.
When a server stays full, each added request delays another one. It then
matters more which requests are accepted than in which order they run, as
throughput depends on the time that each request occupies a slot.
"""

import dataclasses

from banyanshed.steering import models

# Share of time without a free slot from which a server counts as saturated.
SATURATED_SHARE = 0.5
# Time constant of the moving average of that share, and the maximum weight of
# a single sample.
AVERAGING_TIME_S = 1.0
MAX_SAMPLE_WEIGHT = 0.25


@dataclasses.dataclass(slots=True)
class _Occupancy:
    """Moving share of time without a free slot, and the last sample's time."""

    full_share: float
    sampled_at: float


class Saturation:
    """Recent occupancy of the servers as observed by one host.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        self.servers: dict[models.ServerId, _Occupancy] = {}

    def record_sample(
        self, server: models.ServerId, full: bool, now: float
    ) -> None:
        """Records whether a server has no free slot now."""
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
        """Returns whether a server mostly had no free slot recently."""
        known = self.servers.get(server)
        return known is not None and known.full_share >= SATURATED_SHARE

    def forget(self, server: models.ServerId) -> None:
        """Drops the samples of a removed or restarted server."""
        self.servers.pop(server, None)

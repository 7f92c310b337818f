"""Throttling: keeps requests to a backend server within the limit it names.

Hosts divide a server's limit without coordination: only the first few hosts of
the server's rendezvous order send to it, each at an equal part of the rate. So
few hosts send that each of them may send about one request per second. At a
limit below two a second that is a single host, as otherwise every host could
send its first request at the same time.

A host that fell silent keeps its place in the order for as long as messages
are still sent to it: it may be cut off from its peers only, and go on sending.
"""

from collections.abc import Callable, Mapping
import dataclasses

from banyanshed.steering import limits as limits_lib
from banyanshed.steering import locality
from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import views

_ZoneWeights = Mapping[models.ZoneName, float]

# Requests that a host may send at once, in seconds of its part of the rate; at
# least one request.
BURST_S = 0.5
# A server that takes no requests still gets one from time to time: only its
# response can tell that the limit has ended.
TRIAL_RATE = 1.0 / 30.0
# Interval at which a host determines its part of a limit, as hosts change.
SHARE_CHECK_S = 0.5
# Interval at which the list of hosts is renewed, for all servers at once.
HOSTS_CHECK_S = 0.1
# A host that did not run for this long may no longer use a permission from
# before, as other hosts and limits may have changed meanwhile.
MAX_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """One host's tokens for one server.

    Attributes:
        limit: The server's limit from which `rate` was determined.
        rate: Requests per second that this host may send; 0 if others send.
        checked_at: When `rate` was determined.
        tokens: Requests that it may send at `refilled_at`.
        refilled_at: When `tokens` was computed.
    """

    limit: float
    rate: float
    checked_at: float
    tokens: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Adds the tokens since the last refill."""
        depth = max(1.0, self.rate * BURST_S)
        tokens = self.tokens + (now - self.refilled_at) * self.rate
        self.tokens = min(depth, tokens)
        self.refilled_at = now


class ServerThrottle:
    """One host's part of the limits that backend servers name.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        host: models.HostId,
        view: views.View,
        limits: limits_lib.ServerLimits,
        sharing_hosts: Callable[[], Mapping[models.HostId, models.RegionName]],
    ):
        """Sets up the throttle without any buckets.

        Args:
            host: Id of this host.
            view: Servers known to this host.
            limits: Limits known to this host.
            sharing_hosts: Returns the hosts that divide the limits, with their
                regions. This host is not among them if it must not send.
        """
        self.host = host
        self.view = view
        self.limits = limits
        self.sharing_hosts = sharing_hosts
        self.buckets: dict[models.ServerId, _Bucket] = {}
        self.hosts: Mapping[models.HostId, models.RegionName] = {}
        self.hosts_at = float("-inf")
        self.weights: dict[
            models.ServiceName, dict[models.RegionName, _ZoneWeights]
        ] = {}
        self.weights_version = -1
        self.ran_at: float | None = None

    def record_run(self, now: float) -> None:
        """Records that this host runs; empties all buckets after a pause.

        It must be called several times in `MAX_PAUSE_S`.
        """
        if self._is_after_pause(now):
            self.buckets.clear()
        self.ran_at = now

    def has_token(self, server: views.Server, now: float) -> bool:
        """Returns whether this host may send a request to a server now."""
        entry = server.registration
        limit = self.limits.rate(entry)
        if limit is None:
            self.buckets.pop(entry.id, None)
            return True
        bucket = self._refill(entry, limit, now)
        return bucket.tokens >= 1.0 and not self._is_after_pause(now)

    def take(self, server: views.Server) -> bool:
        """Takes a token if there is a limit; returns whether there is one.

        To be called only if the server has a token.
        """
        bucket = self.buckets.get(server.registration.id)
        if bucket is None:
            return False
        bucket.tokens -= 1.0
        return True

    def is_valid(
        self, server: views.Server, taken_at: float | None, now: float
    ) -> bool:
        """Returns whether a request may still be sent to a server.

        Args:
            server: The server, chosen a moment ago.
            taken_at: When a token was taken; None if there was no limit.
            now: Current time in seconds.
        """
        if self.limits.rate(server.registration) is None:
            return True
        return taken_at is not None and now - taken_at <= MAX_PAUSE_S

    def retry_after_s(self, server: views.Server, now: float) -> float:
        """Returns the seconds until a host may send to a limited server."""
        entry = server.registration
        limit = self.limits.rate(entry)
        if limit is None:
            return 0.0
        bucket = self._refill(entry, limit, now)
        if bucket.rate <= 0.0:
            # Another host may send, at any time within the mean interval.
            return 1.0 / max(limit, TRIAL_RATE)
        return max(0.0, 1.0 - bucket.tokens) / bucket.rate

    def _refill(
        self, server: models.Registration, limit: float, now: float
    ) -> _Bucket:
        bucket = self.buckets.get(server.id)
        if bucket is None:
            rate = self._determine_rate(server, limit, now)
            # Empty, as others may have sent requests just before.
            bucket = _Bucket(limit, rate, now, 0.0, now)
            self.buckets[server.id] = bucket
            return bucket
        bucket.refill(now)
        if bucket.limit != limit or now - bucket.checked_at >= SHARE_CHECK_S:
            bucket.limit = limit
            bucket.rate = self._determine_rate(server, limit, now)
            bucket.checked_at = now
            if bucket.rate <= 0.0:
                bucket.tokens = 0.0
        return bucket

    def _determine_rate(
        self, server: models.Registration, limit: float, now: float
    ) -> float:
        """Returns this host's part of a server's limit."""
        if now - self.hosts_at >= HOSTS_CHECK_S:
            self.hosts = self.sharing_hosts()
            self.hosts_at = now
        hosts = self.hosts
        if self.host not in hosts:
            return 0.0
        senders = max(1, min(len(hosts), int(limit)))
        weights = self._region_weights(server)
        own = self._rank(server, self.host, hosts, weights)
        ahead = 0
        for host in hosts:
            if host == self.host:
                continue
            if self._rank(server, host, hosts, weights) < own:
                ahead += 1
        if ahead >= senders:
            return 0.0
        return max(limit, TRIAL_RATE) / senders

    def _rank(
        self,
        server: models.Registration,
        host: models.HostId,
        hosts: Mapping[models.HostId, models.RegionName],
        weights: Mapping[models.RegionName, float],
    ) -> float:
        weight = weights.get(hosts[host], 1.0)
        return rendezvous.weighted_rank(f"limit {server.id}", host, weight)

    def _region_weights(
        self, server: models.Registration
    ) -> dict[models.RegionName, float]:
        """Returns how much of each region's requests the server should get."""
        if self.weights_version != self.view.servers_version:
            self.weights.clear()
            self.weights_version = self.view.servers_version
        by_region = self.weights.get(server.service)
        if by_region is None:
            by_region = self._compute_weights(server.service)
            self.weights[server.service] = by_region
        return {
            region: weights.get(server.zone, 1.0)
            for region, weights in by_region.items()
        }

    def _compute_weights(
        self, service: models.ServiceName
    ) -> dict[models.RegionName, _ZoneWeights]:
        zones = self.view.zones
        servers = self.view.by_service.get(service, ())
        return {
            region: locality.compute_zone_weights(servers, zones, region)
            for region in set(zones.values())
        }

    def _is_after_pause(self, now: float) -> bool:
        return self.ran_at is not None and now - self.ran_at > MAX_PAUSE_S

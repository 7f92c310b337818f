"""Throttling: keeps requests to a backend server within the limit it names.

Only the first few hosts of a server's rendezvous order send to it, a single one
at a limit of one a second: otherwise every host could send its first request at
the same time. These hosts divide the rate in proportion to the demand that they
report to each other. A host whose demand is not known counts as much as this
one.

A host that fell silent keeps its place in the order for as long as messages
are still sent to it: it may be cut off from its peers only, and go on sending.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
import dataclasses
import math
from typing import Protocol

from banyanshed.steering import locality
from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import views

_ZoneWeights = Mapping[models.ZoneName, float]

# Hosts that send to a server, per request per second of its limit. Each may
# have saved one request, so that this is also the time in seconds whose
# requests may come at once.
SENDERS_PER_RATE = 1.5
# Requests that a host may send at once, in seconds of its part of the rate; at
# least one request.
BURST_S = 0.5
# A server that takes no requests still gets one from time to time: only its
# response can tell that the limit has ended.
TRIAL_RATE = 1.0 / 30.0
# Time constant of the decaying count from which a host's demand is computed.
DEMAND_WINDOW_S = 2.0
# Least demand of a host, in requests per second, so that every sender has a
# part of the limit.
MIN_DEMAND = 0.05
# A reported demand counts for this long.
DEMAND_TIMEOUT_S = 3.5
# Interval at which a host determines its part of a limit, as hosts change.
SHARE_CHECK_S = 0.25
# Interval at which the list of hosts is renewed, for all servers at once.
HOSTS_CHECK_S = 0.1
# A host that did not run for this long may no longer use a permission from
# before, as other hosts and limits may have changed meanwhile.
MAX_PAUSE_S = 1.0


class Rates(Protocol):
    """Interface of what limits the rates of servers."""

    def rate(self, server: models.Registration) -> float | None:
        """Returns a server's limit in requests per second; None if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerDemand:
    """The demand that a peer, or all hosts of a region, last reported.

    Attributes:
        rates: Requests per second by server; 0 for servers without an entry.
        reported_at: When the report arrived.
    """

    rates: Mapping[models.ServerId, float]
    reported_at: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    """One host's tokens for one server.

    Attributes:
        limit: The server's limit from which `rate` was determined.
        rate: Requests per second that this host may send; 0 if others send.
        checked_at: When `rate` was determined.
        tokens: Requests that it may send at `refilled_at`.
        refilled_at: When `tokens` was computed.
        saved: Requests that it may save, whatever its rate.
        wanted: Decaying count of requests that the server could have got from
            this host, at `wanted_at`.
        wanted_at: When a request was last counted.
        reported: Demand in this host's last report to its peers.
        reported_before: Demand in the report before that one.
    """

    limit: float
    rate: float
    checked_at: float
    tokens: float
    refilled_at: float
    saved: float = 0.0
    wanted: float = 0.0
    wanted_at: float = 0.0
    reported: float = 0.0
    reported_before: float = 0.0

    def count_request(self, now: float) -> None:
        """Counts a request that the server could get."""
        self.wanted = self._decayed_wanted(now) + 1.0
        self.wanted_at = now

    def report_demand(self, now: float) -> float:
        """Returns the demand in requests per second, for peers."""
        self.reported_before = self.reported
        self.reported = self._decayed_wanted(now) / DEMAND_WINDOW_S
        return self.reported

    def _decayed_wanted(self, now: float) -> float:
        age_s = max(0.0, now - self.wanted_at)
        return self.wanted * math.exp(-age_s / DEMAND_WINDOW_S)

    def refill(self, now: float) -> None:
        """Adds the tokens since the last refill."""
        self.tokens += (now - self.refilled_at) * self.rate
        self.refilled_at = now
        self.drop_excess()

    def drop_excess(self) -> None:
        """Drops tokens beyond those that the rate lets this host save."""
        depth = max(1.0, self.rate * BURST_S) if self.rate > 0.0 else 0.0
        self.tokens = min(max(depth, self.saved), self.tokens)


class ServerThrottle:
    """One host's part of the limits that backend servers name.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        host: models.HostId,
        view: views.View,
        limits: Rates,
        sharing_hosts: Callable[[], Mapping[models.HostId, models.RegionName]],
        saved: float = 0.0,
    ):
        """Sets up the throttle without any buckets.

        Args:
            host: Id of this host.
            view: Servers known to this host.
            limits: Limits of the servers as known to this host.
            sharing_hosts: Returns the hosts that divide the limits, with their
                regions. This host is not among them if it must not send.
            saved: Requests that this host may send at once, also when a limit
                begins. Without any, others may have sent requests just before.
        """
        self.host = host
        self.view = view
        self.limits = limits
        self.sharing_hosts = sharing_hosts
        self.saved = saved
        self.buckets: dict[models.ServerId, _Bucket] = {}
        self.hosts: Mapping[models.HostId, models.RegionName] = {}
        self.hosts_at = float("-inf")
        self.orders: dict[models.ServerId, list[models.HostId]] = {}
        self.weights: dict[
            models.ServiceName, dict[models.RegionName, _ZoneWeights]
        ] = {}
        self.weights_version = -1
        self.peer_demand: dict[models.HostId, _PeerDemand] = {}
        self.region_demand: dict[models.RegionName, _PeerDemand] = {}
        self.ran_at: float | None = None

    def record_run(self, now: float) -> None:
        """Records that this host runs; empties all buckets after a pause.

        It must be called several times in `MAX_PAUSE_S`.
        """
        if self._is_after_pause(now):
            self.buckets.clear()
        self.ran_at = now

    def has_token(
        self, server: views.Server, now: float, counts: bool = True
    ) -> bool:
        """Returns whether this host may send a request to a server now.

        Args:
            server: The server.
            now: Current time in seconds.
            counts: Whether a request without a token counts as demand.
        """
        entry = server.registration
        limit = self.limits.rate(entry)
        if limit is None:
            self.buckets.pop(entry.id, None)
            return True
        bucket = self._refill(entry, limit, now)
        if bucket.tokens < 1.0:
            if counts:
                bucket.count_request(now)
            return False
        return not self._is_after_pause(now)

    def take(self, server: views.Server, now: float) -> bool:
        """Takes a token if there is a limit; returns whether there is one.

        To be called only if the server has a token.
        """
        bucket = self.buckets.get(server.registration.id)
        if bucket is None:
            return False
        bucket.tokens -= 1.0
        bucket.count_request(now)
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

    def report_demand(self, now: float) -> dict[models.ServerId, float]:
        """Returns the demand for servers to which this host sends, for peers.

        To be called when the demand is reported, about once a second.
        """
        demand = {}
        for server, bucket in self.buckets.items():
            rate = bucket.report_demand(now)
            if bucket.rate > 0.0 and rate > MIN_DEMAND:
                demand[server] = rate
        return demand

    def region_report(
        self, hosts: Collection[models.HostId], now: float
    ) -> dict[models.ServerId, float]:
        """Returns the demand of this host and the given peers together."""
        demand = {
            server: bucket.reported
            for server, bucket in self.buckets.items()
            if bucket.rate > 0.0
        }
        for host in hosts:
            known = _recent(self.peer_demand.get(host), now)
            if known is None:
                continue
            for server, rate in known.rates.items():
                demand[server] = demand.get(server, 0.0) + rate
        return demand

    def set_peer_demand(
        self,
        host: models.HostId,
        rates: Mapping[models.ServerId, float],
        now: float,
    ) -> None:
        """Replaces the demand that a peer reported."""
        self.peer_demand[host] = _PeerDemand(rates, now)

    def set_region_demand(
        self,
        region: models.RegionName,
        rates: Mapping[models.ServerId, float],
        now: float,
    ) -> None:
        """Replaces the demand that a relay reported for its region."""
        self.region_demand[region] = _PeerDemand(rates, now)

    def drop_expired(self, now: float) -> None:
        """Drops what peers reported too long ago, and buckets not in use."""
        for host, known in list(self.peer_demand.items()):
            if _recent(known, now) is None:
                del self.peer_demand[host]
        for server in list(self.buckets):
            if server not in self.view.servers:
                del self.buckets[server]

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
            bucket = _Bucket(
                limit, 0.0, float("-inf"), self.saved, now, self.saved
            )
            self.buckets[server.id] = bucket
        bucket.refill(now)
        if bucket.limit != limit or now - bucket.checked_at >= SHARE_CHECK_S:
            bucket.limit = limit
            bucket.rate = self._determine_rate(server, bucket, now)
            bucket.checked_at = now
            bucket.drop_excess()
        return bucket

    def _determine_rate(
        self, server: models.Registration, bucket: _Bucket, now: float
    ) -> float:
        """Returns this host's part of a server's limit."""
        self._update_hosts(now)
        senders = self._choose_senders(server, bucket.limit)
        if self.host not in senders:
            return 0.0
        own = max(bucket.reported, MIN_DEMAND)
        others = self._demand_of_others(server.id, senders, own, now)
        return max(bucket.limit, TRIAL_RATE) * own / (own + others)

    def _update_hosts(self, now: float) -> None:
        if now - self.hosts_at < HOSTS_CHECK_S:
            return
        self.hosts_at = now
        hosts = self.sharing_hosts()
        if hosts != self.hosts:
            self.hosts = hosts
            self.orders.clear()

    def _choose_senders(
        self, server: models.Registration, limit: float
    ) -> list[models.HostId]:
        """Returns the hosts that send to a server with a limit."""
        weights = self._region_weights(server)
        order = self.orders.get(server.id)
        if order is None:
            key = f"limit {server.id}"
            order = sorted(
                self.hosts,
                key=lambda host: rendezvous.weighted_rank(
                    key, host, weights.get(self.hosts[host], 1.0)
                ),
            )
            self.orders[server.id] = order
        count = int(min(SENDERS_PER_RATE * limit, len(order)))
        return order[: max(1, count)]

    def _demand_of_others(
        self,
        server: models.ServerId,
        senders: Sequence[models.HostId],
        unknown: float,
        now: float,
    ) -> float:
        """Returns the demand of the other senders together.

        Args:
            server: The server.
            senders: The hosts that send to it.
            unknown: Demand of a sender that did not report it.
            now: Current time in seconds.
        """
        total = 0.0
        regions = set()
        for host in senders:
            if host == self.host:
                continue
            region = self.hosts[host]
            known = _recent(self.peer_demand.get(host), now)
            if known is not None:
                total += max(known.rates.get(server, 0.0), MIN_DEMAND)
            elif _recent(self.region_demand.get(region), now) is None:
                total += unknown
            else:
                regions.add(region)
        for region in regions:
            rates = self.region_demand[region].rates
            total += max(rates.get(server, 0.0), MIN_DEMAND)
        return total

    def _region_weights(
        self, server: models.Registration
    ) -> dict[models.RegionName, float]:
        """Returns how much of each region's requests the server should get."""
        if self.weights_version != self.view.servers_version:
            self.weights.clear()
            self.orders.clear()
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


class _NoLimits:
    """Limits no server."""

    def rate(self, server: models.Registration) -> float | None:
        """Returns None."""
        del server
        return None


def make_unlimited(view: views.View) -> ServerThrottle:
    """Returns a throttle that limits no server."""
    return ServerThrottle(models.HostId(""), view, _NoLimits(), dict)


def _recent(known: _PeerDemand | None, now: float) -> _PeerDemand | None:
    """Returns a report, or None if it is missing or too old."""
    if known is None or now - known.reported_at > DEMAND_TIMEOUT_S:
        return None
    return known

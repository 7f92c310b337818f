"""Distributed rate limits: keep each customer within its rate and burst.

Every host keeps an estimate of the customer's fleet-wide token bucket. It
charges the requests that it admitted itself and those that its peers reported,
and extrapolates each peer's rate until its next report. While the estimate
is above a threshold, requests are admitted freely. Below it, a host admits
only its own share of the rate, in proportion to the demand that it sees.
"""

from collections.abc import Iterator, Sequence
import dataclasses

from banyanshed.steering import models

# Fraction of the estimate's capacity up to which a host keeps to its share of
# the rate.
SHARE_MODE_LEVEL = 0.3
# Fraction of the burst that a full estimate holds. The rest covers requests
# that peers have admitted but not yet reported.
CAPACITY_SHARE = 0.85
# Fraction of the rate that hosts share while the estimate is negative.
OVERDRAWN_SHARE = 0.78
# Largest overdraft of the estimate, as a multiple of its capacity.
MAX_OVERDRAFT = 1.5
# A silent peer is assumed to continue at its last rate for this long.
EXTRAPOLATE_S = 6.0
# Weight of the newest rate in the moving average of a rate, and the least time
# between two reports, in seconds, from which a rate is computed.
RATE_SMOOTHING = 0.5
MIN_RATE_SPAN_S = 0.2
# Time constant, in seconds, of the decaying count from which a host's demand is
# computed; without new requests the count is 0 after twice this long.
OFFERED_WINDOW_S = 2.0
# Unreported requests, as a fraction of a host's part of the burst, that call
# for a report before the next regular one; and their minimum number.
REPORT_SHARE = 0.5
MIN_REPORT_EXCESS = 2.0
# Counters are reported for this long after a customer's last request, as
# single reports may be lost.
REPORT_RETENTION_S = 3.5
# Limits on the time after which a rejected caller is told to retry, in seconds.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A host's counters for one customer since the host's start.

    Attributes:
        customer: Name of the customer.
        admitted: Number of admitted requests.
        offered_rate: Recent demand in requests per second, admitted or not.
    """

    customer: models.CustomerName
    admitted: int
    offered_rate: float


@dataclasses.dataclass(slots=True)
class _PeerUsage:
    """A peer's last report, and the tokens charged for its requests.

    Attributes:
        admitted_baseline: The peer's counter in its first report.
        admitted: The peer's counter in its last report.
        rate: Smoothed rate of admitted requests per second.
        offered_rate: Demand at the peer in requests per second.
        reported_at: When the last report arrived, in seconds of the bucket's
            clock.
        charged: Value of the counter up to which tokens were charged.
    """

    admitted_baseline: float
    admitted: float
    rate: float
    offered_rate: float
    reported_at: float
    charged: float

    @property
    def admitted_since_baseline(self) -> int:
        """Requests that the peer admitted since its first report."""
        return int(self.admitted - self.admitted_baseline)


class CustomerBucket:
    """One host's estimate of a customer's token bucket.

    Methods take the current time in seconds of one monotonic clock, the same
    for all calls; attributes that end in `_at` are times of that clock.

    Attributes:
        rate: Requests per second over all hosts.
        burst: Requests that may exceed the rate at once, over all hosts.
        tokens: Estimated number of tokens; negative when overdrawn.
        refilled_at: Until when `tokens` includes the refill and the charges
            for peers.
        admitted: Number of requests that this host has admitted.
        offered: Decaying count of requests at this host at `offered_at`,
            rejected ones included.
        offered_at: When this host last received a request.
        share_tokens: Tokens at `share_at` of this host's own share of the
            rate, used while `tokens` is low.
        share_at: When `share_tokens` was last refilled.
        reported_admitted: Value of `admitted` in the last report to the peers.
        reported_rate: Smoothed rate of admitted requests per second between
            reports.
        reported_at: When the last report was made.
        peers: Last reports of peers, by host.
        regions: Last summed reports of other regions, by region.
        departed_admitted: Requests counted for peers that have stopped or
            restarted since.
    """

    def __init__(self, rate: float, burst: float, now: float):
        """Starts partly filled, as other hosts may have used the rest.

        Args:
            rate: Requests per second over all hosts.
            burst: Requests that may exceed the rate at once.
            now: Current monotonic time in seconds.
        """
        self.rate = rate
        self.burst = burst
        self.tokens = self.capacity * SHARE_MODE_LEVEL
        self.refilled_at = now
        self.admitted = 0
        self.offered = 0.0
        self.offered_at = now
        self.share_tokens = 1.0
        self.share_at = now
        self.reported_admitted = 0
        self.reported_rate = 0.0
        self.reported_at = now
        self.peers: dict[models.HostId, _PeerUsage] = {}
        self.regions: dict[models.RegionName, _PeerUsage] = {}
        # Requests counted for peers that have stopped or restarted since.
        self.departed_admitted = 0

    @property
    def capacity(self) -> float:
        """Number of tokens in a full estimate."""
        return max(1.0, self.burst * CAPACITY_SHARE)

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Sets the rate and burst of a new configuration."""
        if rate == self.rate and burst == self.burst:
            return
        self.charge_peers(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, self.capacity)
        self.share_tokens = min(self.share_tokens, 1.0)

    def admit(self, now: float) -> bool:
        """Returns whether to admit a request, and takes its token if so."""
        self._record_offered(now)
        self.charge_peers(now)
        admitted = self.tokens > self.capacity * SHARE_MODE_LEVEL
        if not admitted:
            admitted = self._take_share_token(now)
        if admitted:
            self.tokens -= 1.0
            self.admitted += 1
        return admitted

    def charge_peers(self, now: float) -> None:
        """Refills the bucket and charges the estimated requests of peers."""
        tokens = self.tokens + (now - self.refilled_at) * self.rate
        self.refilled_at = now
        for peer in self._all_peers():
            age_s = min(now - peer.reported_at, EXTRAPOLATE_S)
            expected = peer.admitted + peer.rate * max(0.0, age_s)
            tokens -= expected - peer.charged
            peer.charged = expected
        tokens = max(tokens, -self.capacity * MAX_OVERDRAFT)
        self.tokens = min(self.capacity, tokens)

    def apply_report(
        self, host: models.HostId, usage: Usage, now: float
    ) -> None:
        """Applies a peer's counters; a new peer's past is not charged."""
        if _has_restarted(self.peers.get(host), usage):
            self.drop_peer(host)
        self.peers[host] = _update_peer_usage(self.peers.get(host), usage, now)

    def apply_region_report(
        self, region: models.RegionName, usage: Usage, now: float
    ) -> None:
        """Applies the summed counters of all hosts of another region."""
        if _has_restarted(self.regions.get(region), usage):
            self.drop_region(region)
        self.regions[region] = _update_peer_usage(
            self.regions.get(region), usage, now
        )

    def drop_peer(self, host: models.HostId) -> None:
        """Drops a stopped peer, but keeps its count for the region's sum."""
        known = self.peers.pop(host, None)
        if known is not None:
            self.departed_admitted += known.admitted_since_baseline

    def drop_region(self, region: models.RegionName) -> None:
        """Drops the sums of a region before another relay's sums are used."""
        self.regions.pop(region, None)

    def region_report(self, name: models.CustomerName, now: float) -> Usage:
        """Returns the sums of this host and the peers that report to it.

        A peer is counted from its first report here. What it admitted before
        would otherwise be charged to other regions all at once.
        """
        admitted = self.departed_admitted + self.admitted
        offered_rate = self.offered_rate(now)
        for peer in self.peers.values():
            admitted += peer.admitted_since_baseline
            if now - peer.reported_at < EXTRAPOLATE_S:
                offered_rate += peer.offered_rate
        return Usage(name, admitted, offered_rate)

    def needs_report(self, host_count: int, now: float) -> bool:
        """Returns whether to report before the next regular report."""
        expected = self.reported_admitted + self.reported_rate * (
            now - self.reported_at
        )
        excess = self.admitted - expected
        host_burst_share = REPORT_SHARE * self.burst / max(1, host_count)
        return excess > max(MIN_REPORT_EXCESS, host_burst_share)

    def report(self, name: models.CustomerName, now: float) -> Usage:
        """Returns the counters for the peers and records them as reported."""
        span_s = now - self.reported_at
        if span_s >= MIN_RATE_SPAN_S:
            rate = (self.admitted - self.reported_admitted) / span_s
            self.reported_rate += RATE_SMOOTHING * (rate - self.reported_rate)
        self.reported_admitted = self.admitted
        self.reported_at = now
        return Usage(name, self.admitted, self.offered_rate(now))

    def offered_rate(self, now: float) -> float:
        """Returns the demand at this host in requests per second."""
        return self._decayed_offered(now) / OFFERED_WINDOW_S

    def retry_after_s(self, now: float) -> float:
        """Returns the seconds after which a rejected request may be retried.

        This is the time in which this host's share of the rate gains the
        missing part of a token, but at least MIN_RETRY_AFTER_S and at most
        MAX_RETRY_AFTER_S. `share_tokens` is not refilled here, so the result
        holds only right after `admit` has rejected a request.

        Args:
            now: The time that was passed to `admit`.
        """
        rate = max(0.01, self._share_rate(now))
        wait_s = max(0.0, 1.0 - self.share_tokens) / rate
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def describe(self, now: float) -> str:
        """Returns the state that decides on a customer's requests, for logs."""
        heard = [now - peer.reported_at for peer in self.peers.values()]
        oldest_s = max(heard, default=0.0)
        return (
            f"rate={self.rate:g} burst={self.burst:g}"
            f" tokens={self.tokens:.1f} own_rate={self._share_rate(now):.2f}"
            f" own_demand={self.offered_rate(now):.1f}"
            f" peers={len(heard)} oldest_report_ms={oldest_s * 1000:.0f}"
        )

    def _all_peers(self) -> Iterator[_PeerUsage]:
        yield from self.peers.values()
        yield from self.regions.values()

    def _take_share_token(self, now: float) -> bool:
        rate = self._share_rate(now)
        depth = max(1.0, rate * 0.3)
        tokens = self.share_tokens + (now - self.share_at) * rate
        self.share_tokens = min(depth, tokens)
        self.share_at = now
        if self.share_tokens < 1.0:
            return False
        self.share_tokens -= 1.0
        return True

    def _share_rate(self, now: float) -> float:
        own = max(0.05, self.offered_rate(now))
        total = own
        for peer in self._all_peers():
            if now - peer.reported_at < EXTRAPOLATE_S:
                total += peer.offered_rate
        rate = self.rate if self.tokens >= 0 else self.rate * OVERDRAWN_SHARE
        return rate * own / total

    def _record_offered(self, now: float) -> None:
        self.offered = self._decayed_offered(now) + 1.0
        self.offered_at = now

    def _decayed_offered(self, now: float) -> float:
        decay = 1.0 - (now - self.offered_at) / OFFERED_WINDOW_S / 2.0
        if decay <= 0.0:
            return 0.0
        return self.offered * decay * decay


def _has_restarted(known: _PeerUsage | None, usage: Usage) -> bool:
    """Returns whether a peer's counter has gone back, as after a restart."""
    return known is not None and usage.admitted < known.admitted


def _update_peer_usage(
    known: _PeerUsage | None, usage: Usage, now: float
) -> _PeerUsage:
    """Returns a peer's updated usage after a report."""
    if known is None:
        return _PeerUsage(
            admitted_baseline=usage.admitted,
            admitted=usage.admitted,
            rate=0.0,
            offered_rate=usage.offered_rate,
            reported_at=now,
            charged=usage.admitted,
        )
    span_s = now - known.reported_at
    if span_s >= MIN_RATE_SPAN_S:
        rate = (usage.admitted - known.admitted) / span_s
        known.rate += RATE_SMOOTHING * (rate - known.rate)
    elif usage.admitted > known.admitted:
        known.rate = max(known.rate, usage.offered_rate)
    known.admitted = usage.admitted
    known.offered_rate = usage.offered_rate
    known.reported_at = now
    return known


class Quotas:
    """One host's buckets of all customers.

    Methods take the current monotonic time in seconds, see CustomerBucket.
    """

    def __init__(self) -> None:
        """Starts without buckets."""
        self.buckets: dict[models.CustomerName, CustomerBucket] = {}

    def admit(self, customer: models.Customer, now: float) -> bool:
        """Returns whether to admit a request, and counts it if so."""
        if customer.rate <= 0.0:
            return True
        return self.bucket(customer, now).admit(now)

    def bucket(self, customer: models.Customer, now: float) -> CustomerBucket:
        """Returns the customer's bucket, updated to its current limits."""
        found = self.buckets.get(customer.name)
        if found is None:
            found = CustomerBucket(customer.rate, customer.burst, now)
            self.buckets[customer.name] = found
        found.set_limits(customer.rate, customer.burst, now)
        return found

    def apply_reports(
        self,
        host: models.HostId,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> None:
        """Applies a peer's counters of the customers that it reports."""
        for bucket, usage in self._limited_buckets(usages, configuration, now):
            bucket.apply_report(host, usage, now)

    def apply_region_reports(
        self,
        region: models.RegionName,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> None:
        """Applies a region's sums of the customers that it reports."""
        for bucket, usage in self._limited_buckets(usages, configuration, now):
            bucket.apply_region_report(region, usage, now)

    def drop_region(self, region: models.RegionName) -> None:
        """Drops the sums of a region before another relay's sums are used."""
        for bucket in self.buckets.values():
            bucket.drop_region(region)

    def region_report(self, now: float) -> list[Usage]:
        """Returns the sums of this host and the peers that report to it."""
        usages = []
        for name, bucket in self.buckets.items():
            usage = bucket.region_report(name, now)
            if usage.admitted or usage.offered_rate:
                usages.append(usage)
        return usages

    def drop_peer(self, host: models.HostId) -> None:
        """Drops the counters of a stopped peer."""
        for bucket in self.buckets.values():
            bucket.drop_peer(host)

    def needs_report(self, host_count: int, now: float) -> bool:
        """Returns whether any bucket needs a report before the regular one."""
        for bucket in self.buckets.values():
            if bucket.needs_report(host_count, now):
                return True
        return False

    def report(self, now: float) -> list[Usage]:
        """Returns the counters of customers with recent requests here."""
        usages = []
        for name, bucket in self.buckets.items():
            idle_s = now - bucket.offered_at
            if bucket.offered == 0.0 or idle_s > REPORT_RETENTION_S:
                continue
            usages.append(bucket.report(name, now))
        return usages

    def _limited_buckets(
        self,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> Iterator[tuple[CustomerBucket, Usage]]:
        """Yields the bucket and usage of each customer that has a limit."""
        for usage in usages:
            customer = configuration.customers.get(usage.customer)
            if customer is None or customer.rate <= 0.0:
                continue
            yield self.bucket(customer, now), usage

"""Keeps each customer within its rate and burst over all hosts together.

Every host keeps an estimate of the customer's token bucket: it counts what it
admitted itself, adds what its peers report, and extrapolates each peer's last
reported rate until the next report. While the estimate has tokens to spare,
requests are admitted freely. Below that, a host admits only its own share of
the rate, in proportion to the demand that it sees.
"""

from collections.abc import Iterator, Sequence
import dataclasses

from banyanshed.steering import models

# Below this part of the burst a host keeps to its share of the rate.
SHARE_MODE_LEVEL = 0.3
# Part of the burst that the estimate holds when full; the rest covers what
# peers admitted and did not report yet.
CAPACITY_SHARE = 0.85
# Part of the rate that is shared while the estimate is overdrawn.
OVERDRAWN_SHARE = 0.78
# Most that the estimate is overdrawn, in parts of its capacity.
MAX_OVERDRAFT = 1.5
# A peer that falls silent is taken to go on at its rate for this long.
EXTRAPOLATE_S = 6.0
RATE_SMOOTHING = 0.5
MIN_RATE_SPAN_S = 0.2
OFFERED_WINDOW_S = 2.0
# Unreported requests, in parts of a host's part of the burst, that call for
# a report before the next regular one.
REPORT_SHARE = 0.5
MIN_REPORT_EXCESS = 2.0
# Counters are told for this long after they changed last, as single reports
# may be lost.
REPORT_RETENTION_S = 3.5
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A host's counters for one customer, since the host's start.

    Attributes:
        customer: Whose requests.
        admitted: Requests that were admitted.
        offered_rate: Requests per second that clients sent lately.
    """

    customer: models.CustomerName
    admitted: int
    offered_rate: float


@dataclasses.dataclass(slots=True)
class _PeerUsage:
    """What a peer reported last, and what was charged for it.

    Attributes:
        admitted_baseline: The peer's counter from which this host counts.
        admitted: The peer's counter in its last report.
        rate: Requests that the peer admits, per second.
        offered_rate: Requests that clients send to the peer, per second.
        reported_at: When the last report came, in seconds.
        charged: The counter up to which tokens were taken.
    """

    admitted_baseline: float
    admitted: float
    rate: float
    offered_rate: float
    reported_at: float
    charged: float

    @property
    def admitted_since_baseline(self) -> int:
        """Requests that the peer admitted since this host counts."""
        return int(self.admitted - self.admitted_baseline)


class CustomerBucket:
    """One host's estimate of a customer's token bucket."""

    def __init__(self, rate: float, burst: float, now: float):
        """Starts partly filled: other hosts may have used the rest."""
        self.rate = rate
        self.burst = burst
        self.tokens = self.capacity * SHARE_MODE_LEVEL
        self.refilled_at = now
        self.admitted = 0
        self.offered = 0.0
        self.offered_at = now
        self.share_tokens = 1.0
        self.share_at = now
        self.reported = 0
        self.reported_rate = 0.0
        self.reported_at = now
        self.peers: dict[models.HostId, _PeerUsage] = {}
        self.regions: dict[models.RegionName, _PeerUsage] = {}
        # Counts of hosts that stopped or started anew.
        self.departed_admitted = 0

    @property
    def capacity(self) -> float:
        """Tokens of a full estimate."""
        return max(1.0, self.burst * CAPACITY_SHARE)

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Takes a new rate and burst from a configuration."""
        if rate == self.rate and burst == self.burst:
            return
        self.charge_peers(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, self.capacity)
        self.share_tokens = min(self.share_tokens, 1.0)

    def admit(self, now: float) -> bool:
        """Takes a token for a request, if the customer may have it."""
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
        """Refills, and charges what peers are taken to have admitted."""
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
        """Takes a peer's counters; a new peer starts uncharged."""
        if _has_restarted(self.peers.get(host), usage):
            self.drop_peer(host)
        self.peers[host] = _update_peer_usage(self.peers.get(host), usage, now)

    def apply_region_report(
        self, region: models.RegionName, usage: Usage, now: float
    ) -> None:
        """Takes the sums of all hosts of another region."""
        if _has_restarted(self.regions.get(region), usage):
            self.drop_region(region)
        self.regions[region] = _update_peer_usage(
            self.regions.get(region), usage, now
        )

    def drop_peer(self, host: models.HostId) -> None:
        """Forgets a peer that stopped."""
        known = self.peers.pop(host, None)
        if known is not None:
            self.departed_admitted += known.admitted_since_baseline

    def drop_region(self, region: models.RegionName) -> None:
        """Forgets the sums of a region, as others will count on."""
        self.regions.pop(region, None)

    def region_report(self, name: models.CustomerName, now: float) -> Usage:
        """Returns the sums of this host and the peers that report to it.

        A peer counts from its first report here: what it admitted before is
        not this region's doing of now, and would be charged to others at once.
        """
        admitted = self.departed_admitted + self.admitted
        offered_rate = self.offered_rate(now)
        for peer in self.peers.values():
            admitted += peer.admitted_since_baseline
            if now - peer.reported_at < EXTRAPOLATE_S:
                offered_rate += peer.offered_rate
        return Usage(name, admitted, offered_rate)

    def needs_report(self, hosts: int, now: float) -> bool:
        """Whether peers should hear of this host's requests at once."""
        expected = self.reported + self.reported_rate * (now - self.reported_at)
        excess = self.admitted - expected
        host_burst_share = REPORT_SHARE * self.burst / max(1, hosts)
        return excess > max(MIN_REPORT_EXCESS, host_burst_share)

    def report(self, name: models.CustomerName, now: float) -> Usage:
        """Returns the counters for the peers and notes that they were told."""
        span_s = now - self.reported_at
        if span_s >= MIN_RATE_SPAN_S:
            rate = (self.admitted - self.reported) / span_s
            self.reported_rate += RATE_SMOOTHING * (rate - self.reported_rate)
        self.reported = self.admitted
        self.reported_at = now
        return Usage(name, self.admitted, self.offered_rate(now))

    def offered_rate(self, now: float) -> float:
        """Returns the demand that this host sees, in requests per second."""
        return self._decayed_offered(now) / OFFERED_WINDOW_S

    def retry_after_s(self, now: float) -> float:
        """Returns when a rejected request has a chance again."""
        rate = max(0.01, self._share_rate(now))
        wait_s = max(0.0, 1.0 - self.share_tokens) / rate
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def describe(self, now: float) -> str:
        """Returns what decides about the customer's requests, for logs."""
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
    """Whether a peer counts from zero again."""
    return known is not None and usage.admitted < known.admitted


def _update_peer_usage(
    known: _PeerUsage | None, usage: Usage, now: float
) -> _PeerUsage:
    """Returns what is known of a peer after a report."""
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
    """The buckets of all customers of one host."""

    def __init__(self) -> None:
        """Starts without customers."""
        self.buckets: dict[models.CustomerName, CustomerBucket] = {}

    def admit(self, customer: models.Customer, now: float) -> bool:
        """Whether a request of the customer is within its limit."""
        if customer.rate <= 0.0:
            return True
        return self.bucket(customer, now).admit(now)

    def bucket(self, customer: models.Customer, now: float) -> CustomerBucket:
        """Returns the customer's bucket with its limits of now."""
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
        """Takes a peer's counters of all customers that it named."""
        for bucket, usage in self._limited_buckets(usages, configuration, now):
            bucket.apply_report(host, usage, now)

    def apply_region_reports(
        self,
        region: models.RegionName,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> None:
        """Takes a region's sums of all customers that were named."""
        for bucket, usage in self._limited_buckets(usages, configuration, now):
            bucket.apply_region_report(region, usage, now)

    def drop_region(self, region: models.RegionName) -> None:
        """Forgets the sums of a region, as others will count on."""
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
        """Forgets the counters of a peer that stopped."""
        for bucket in self.buckets.values():
            bucket.drop_peer(host)

    def needs_report(self, hosts: int, now: float) -> bool:
        """Whether any customer's use should be told at once."""
        for bucket in self.buckets.values():
            if bucket.needs_report(hosts, now):
                return True
        return False

    def report(self, now: float) -> list[Usage]:
        """Returns the counters of the customers that asked here lately."""
        usages = []
        for name, bucket in self.buckets.items():
            asked_s = now - bucket.offered_at
            if bucket.offered == 0.0 or asked_s > REPORT_RETENTION_S:
                continue
            usages.append(bucket.report(name, now))
        return usages

    def _limited_buckets(
        self,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> Iterator[tuple[CustomerBucket, Usage]]:
        """Yields the usages of customers with a limit, with their buckets."""
        for usage in usages:
            customer = configuration.customers.get(usage.customer)
            if customer is None or customer.rate <= 0.0:
                continue
            yield self.bucket(customer, now), usage

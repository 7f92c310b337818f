"""Distributed rate limits: keep each customer within its rate and burst.

Every host keeps an estimate of the customer's fleet-wide token bucket. It
charges the requests that it admitted itself and those that its peers reported,
and extrapolates each peer's rate until its next report. While the estimate
is above a threshold, requests are admitted freely. Below it, a host admits
only its own share of the rate, in proportion to the demand that it sees.

A host that is silent may be running and admitting requests. Hosts that hear
each other therefore divide only their part of the limit: as much of it as they
are of all hosts that may be running. A host that is alone, that has just
started or that stood still has the part of one host.
"""

from collections.abc import Callable, Iterator, Sequence
import dataclasses

from banyanshed.steering import members
from banyanshed.steering import models

# Fraction of the estimate's capacity up to which a host keeps to its share of
# the rate.
SHARE_MODE_LEVEL = 0.45
# Fraction of the burst that a full estimate holds. The rest covers requests
# that peers have admitted but not yet reported.
CAPACITY_SHARE = 0.85
# Fraction of the rate that hosts share while the estimate is negative.
OVERDRAWN_SHARE = 0.78
# Largest overdraft of the estimate, as a multiple of its capacity and as the
# time in seconds in which it is refilled; the larger one counts.
MAX_OVERDRAFT = 1.5
MAX_OVERDRAFT_S = 2.5
# Overdraft of the estimate, as a multiple of its capacity, from which nothing
# is admitted.
STRICT_OVERDRAFT = 0.5
# A silent peer is assumed to continue at its last rate for this long.
EXTRAPOLATE_S = 6.0
# From this age of its last report on, a peer, or a region, is assumed to admit
# what its demand entitles it to, if that is more.
LATE_REPORT_S = 1.2
LATE_REGION_REPORT_S = 2.5
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
MIN_REPORT_EXCESS = 1.0
# The same for the sum of a region.
MIN_REGION_EXCESS = 2.0
# Growth of a host's demand since its last report that calls for another one
# while the rate is shared.
DEMAND_GROWTH = 2.0
# Counters are reported for this long after a customer's last request, as
# single reports may be lost.
REPORT_RETENTION_S = 3.5
# Time for which a host saves up its share of the rate, in seconds, and for
# which it does so if that is less than one request: as long as its demand is
# remembered.
SHARE_SAVING_S = 0.3
MAX_SHARE_SAVING_S = OFFERED_WINDOW_S
# Fraction of the tolerated excess that hosts use while others are silent. The
# rest covers requests that have not been reported yet.
TOLERANCE_SHARE = 0.25
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


@dataclasses.dataclass(slots=True)
class _Reported:
    """What was last reported of a region's sum.

    Attributes:
        admitted: The sum of the counters.
        rate: Smoothed rate of admitted requests per second.
        at: When it was reported.
    """

    admitted: int
    rate: float
    at: float


class CustomerBucket:
    """One host's estimate of a customer's token bucket.

    Methods take the current time in seconds of one monotonic clock, the same
    for all calls; attributes that end in `_at` are times of that clock.

    Attributes:
        random: Returns random numbers from 0 up to 1.
        rate: Requests per second over the hosts that hear each other.
        burst: Requests that may exceed the rate at once, over these hosts.
        part: Their part of the customer's limit; 1 if no host is silent.
        forgiven: Charges for peers that the limit on the overdraft left out.
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
        reported_offered_rate: Demand in the last report to the peers.
        reported_at: When the last report was made.
        region_reported: The last report of the region's sum.
        peers: Last reports of peers, by host.
        shares_until: Until when this host keeps to its share of the rate, as
            it has not heard what its peers admit.
        newcomers: Number of peers that have just started, like this host, and
            are taken to have the same demand.
        regions: Last summed reports of other regions, by region.
        departed_admitted: Requests counted for peers that have stopped or
            restarted since.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        now: float,
        random: Callable[[], float],
        part: float = 1.0,
        shares_until: float = float("-inf"),
    ):
        """Starts empty, as other hosts may have used up the burst.

        Args:
            rate: Requests per second over all hosts.
            burst: Requests that may exceed the rate at once.
            now: Current monotonic time in seconds.
            random: Returns random numbers from 0 up to 1.
            part: Part of the limit for the hosts that hear each other.
            shares_until: Until when this host keeps to its share of the rate.
        """
        self.random = random
        self.rate = rate * part
        self.burst = burst * part
        self.part = part
        self.tokens = 0.0
        self.forgiven = 0.0
        self.refilled_at = now
        self.admitted = 0
        self.offered = 0.0
        self.offered_at = now
        self.share_tokens = 0.0
        self.share_at = now - MAX_SHARE_SAVING_S
        self.newcomers = 0
        self.shares_until = shares_until
        self.reported_admitted = 0
        self.reported_rate = 0.0
        self.reported_offered_rate = 0.0
        self.reported_at = now
        self.region_reported = _Reported(0, 0.0, now)
        self.peers: dict[models.HostId, _PeerUsage] = {}
        self.regions: dict[models.RegionName, _PeerUsage] = {}
        # Requests counted for peers that have stopped or restarted since.
        self.departed_admitted = 0

    @property
    def capacity(self) -> float:
        """Number of tokens in a full estimate."""
        return max(self.part, self.burst * CAPACITY_SHARE)

    def set_limits(
        self, rate: float, burst: float, now: float, part: float = 1.0
    ) -> None:
        """Sets the rate and burst of all hosts, and the part of those heard."""
        if rate * part == self.rate and burst * part == self.burst:
            return
        self.charge_peers(now)
        self.rate = rate * part
        self.burst = burst * part
        self.part = part
        self.tokens = min(self.tokens, self.capacity)
        self.share_tokens = min(self.share_tokens, 1.0)

    def admit(self, now: float) -> bool:
        """Returns whether to admit a request, and takes its token if so."""
        self._record_offered(now)
        self.charge_peers(now)
        spare = self.tokens - self.capacity * SHARE_MODE_LEVEL
        if now < self.shares_until:
            spare = 0.0
        admitted = self._draw(spare) or self._take_share_token(now)
        if admitted:
            self.tokens -= 1.0
            self.admitted += 1
        return admitted

    def charge_peers(self, now: float) -> None:
        """Refills the bucket and charges the estimated requests of peers."""
        tokens = self.tokens + (now - self.refilled_at) * self.rate
        self.refilled_at = now
        share = self._admitted_share(now)
        charge = 0.0
        for peer in self.peers.values():
            charge += _charge(peer, share, LATE_REPORT_S, now)
        for peer in self.regions.values():
            charge += _charge(peer, share, LATE_REGION_REPORT_S, now)
        if charge < 0.0:
            # What was never charged is not given back.
            refund = max(0.0, -charge - self.forgiven)
            self.forgiven = max(0.0, self.forgiven + charge)
            charge = -refund
        tokens -= charge
        least = -max(self.capacity * MAX_OVERDRAFT, self.rate * MAX_OVERDRAFT_S)
        if tokens < least:
            self.forgiven += least - tokens
            tokens = least
        if tokens >= 0.0:
            self.forgiven = 0.0
        self.tokens = min(self.capacity, tokens)

    def apply_report(
        self,
        host: models.HostId,
        usage: Usage,
        now: float,
        is_recent: bool = False,
    ) -> None:
        """Applies a peer's counters; a new peer's past is not charged.

        Args:
            host: The peer.
            usage: Its report.
            now: Current time in seconds.
            is_recent: Whether to charge the recent requests of a first report,
                as they have not been charged before.
        """
        if _has_restarted(self.peers.get(host), usage):
            self.drop_peer(host)
        self.peers[host] = self._update_peer(
            self.peers.get(host), usage, now, is_recent
        )

    def apply_region_report(
        self,
        region: models.RegionName,
        usage: Usage,
        now: float,
        is_recent: bool = False,
    ) -> None:
        """Applies the summed counters of all hosts of another region.

        Args: see `apply_report`.
        """
        if _has_restarted(self.regions.get(region), usage):
            self.drop_region(region)
        self.regions[region] = self._update_peer(
            self.regions.get(region), usage, now, is_recent
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
        offered_rate = self.offered_rate(now)
        for peer in self.peers.values():
            if now - peer.reported_at < EXTRAPOLATE_S:
                offered_rate += peer.offered_rate
        admitted = self._region_admitted()
        last = self.region_reported
        span_s = now - last.at
        if span_s >= MIN_RATE_SPAN_S:
            rate = (admitted - last.admitted) / span_s
            rate = last.rate + RATE_SMOOTHING * (rate - last.rate)
            self.region_reported = _Reported(admitted, rate, now)
        return Usage(name, admitted, offered_rate)

    def needs_region_report(self, region_count: int, now: float) -> bool:
        """Returns whether to report the sum before the next regular report."""
        last = self.region_reported
        expected = last.admitted + last.rate * (now - last.at)
        excess = self._region_admitted() - expected
        region_burst_share = REPORT_SHARE * self.burst / max(1, region_count)
        return excess > max(MIN_REGION_EXCESS, region_burst_share)

    def _region_admitted(self) -> int:
        admitted = self.departed_admitted + self.admitted
        for peer in self.peers.values():
            admitted += peer.admitted_since_baseline
        return admitted

    def needs_report(self, host_count: int, now: float) -> bool:
        """Returns whether to report before the next regular report."""
        if self._has_grown(now):
            return True
        expected = self.reported_admitted + self.reported_rate * (
            now - self.reported_at
        )
        excess = self.admitted - expected
        host_burst_share = REPORT_SHARE * self.burst / max(1, host_count)
        return excess > max(MIN_REPORT_EXCESS, host_burst_share)

    def _has_grown(self, now: float) -> bool:
        """Returns whether peers give this host too little of a scarce rate."""
        if self.tokens > self.capacity * SHARE_MODE_LEVEL:
            return False
        known = max(self.reported_offered_rate, 1.0 / OFFERED_WINDOW_S)
        return self.offered_rate(now) > DEMAND_GROWTH * known

    def report(self, name: models.CustomerName, now: float) -> Usage:
        """Returns the counters for the peers and records them as reported."""
        span_s = now - self.reported_at
        if span_s >= MIN_RATE_SPAN_S:
            rate = (self.admitted - self.reported_admitted) / span_s
            self.reported_rate += RATE_SMOOTHING * (rate - self.reported_rate)
        self.reported_admitted = self.admitted
        self.reported_offered_rate = self.offered_rate(now)
        self.reported_at = now
        return Usage(name, self.admitted, self.reported_offered_rate)

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
            f"rate={self.rate / self.part:g} burst={self.burst / self.part:g}"
            f" tokens={self.tokens:.1f} own_rate={self._share_rate(now):.2f}"
            f" own_demand={self.offered_rate(now):.1f}"
            f" peers={len(heard)} oldest_report_ms={oldest_s * 1000:.0f}"
            f" part={self.part:.2f}"
        )

    def _all_peers(self) -> Iterator[_PeerUsage]:
        yield from self.peers.values()
        yield from self.regions.values()

    def _take_share_token(self, now: float) -> bool:
        rate = self._share_rate(now)
        depth = max(rate * SHARE_SAVING_S, min(1.0, rate * MAX_SHARE_SAVING_S))
        tokens = self.share_tokens + max(0.0, now - self.share_at) * rate
        self.share_tokens = min(depth, tokens)
        self.share_at = now
        if self.tokens < -self.capacity * STRICT_OVERDRAFT:
            return False
        spent = min(1.0, self.share_tokens)
        self.share_tokens -= spent
        return self._draw(spent)

    def _draw(self, tokens: float) -> bool:
        """Returns whether to admit a request for so many tokens.

        For less than one token it is admitted in as many cases on average, as
        many hosts together have whole tokens though each has a fraction of one.
        """
        return tokens >= 1.0 or self.random() < tokens

    def _update_peer(
        self,
        known: _PeerUsage | None,
        usage: Usage,
        now: float,
        is_recent: bool,
    ) -> _PeerUsage:
        """Returns a peer's usage after a report."""
        if known is not None:
            _update_peer_usage(known, usage, now)
            return known
        recent = usage.offered_rate * OFFERED_WINDOW_S if is_recent else 0.0
        baseline = usage.admitted - min(usage.admitted, round(recent))
        return _PeerUsage(
            admitted_baseline=baseline,
            admitted=usage.admitted,
            rate=usage.offered_rate * self._admitted_share(now),
            offered_rate=usage.offered_rate,
            reported_at=now,
            charged=baseline,
        )

    def _admitted_share(self, now: float) -> float:
        """Returns the share of the known demand that the rate allows."""
        total = self.offered_rate(now)
        for peer in self._all_peers():
            total += peer.offered_rate
        return min(1.0, self.rate / max(total, 1e-9))

    def _share_rate(self, now: float) -> float:
        # The demand last reported, as for peers: if it grows on all hosts at
        # once, each would otherwise take too large a share until it has heard
        # the others.
        own = min(
            max(0.05, self.offered_rate(now)),
            max(self.reported_offered_rate, 1.0 / OFFERED_WINDOW_S),
        )
        total = own * (1 + self.newcomers)
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


def _charge(peer: _PeerUsage, share: float, late_s: float, now: float) -> float:
    """Returns the tokens for a peer's estimated requests since the last charge.

    Args:
        peer: The peer.
        share: Share of its demand that the peer may admit.
        late_s: Age from which its last report is late, in seconds.
        now: Current time in seconds.
    """
    age_s = min(now - peer.reported_at, EXTRAPOLATE_S)
    rate = peer.rate
    if age_s > late_s:
        rate = max(rate, peer.offered_rate * share)
    expected = peer.admitted + rate * max(0.0, age_s)
    charge = expected - peer.charged
    peer.charged = expected
    return charge


def _has_restarted(known: _PeerUsage | None, usage: Usage) -> bool:
    """Returns whether a peer's counter has gone back, as after a restart."""
    return known is not None and usage.admitted < known.admitted


def _update_peer_usage(known: _PeerUsage, usage: Usage, now: float) -> None:
    """Updates what is known of a peer after another report."""
    span_s = now - known.reported_at
    if span_s >= MIN_RATE_SPAN_S:
        rate = (usage.admitted - known.admitted) / span_s
        known.rate += RATE_SMOOTHING * (rate - known.rate)
    elif usage.admitted > known.admitted:
        known.rate = max(known.rate, usage.offered_rate)
    known.admitted = usage.admitted
    known.offered_rate = usage.offered_rate
    known.reported_at = now


class Quotas:
    """One host's buckets of all customers.

    Methods take the current monotonic time in seconds, see CustomerBucket.
    """

    def __init__(
        self,
        fleet: members.Members,
        tolerance: models.QuotaTolerance,
        random: Callable[[], float],
        now: float,
    ) -> None:
        """Starts without buckets.

        Args:
            fleet: The hosts that share the limits.
            tolerance: Tolerated excess over customers' limits.
            random: Returns random numbers from 0 up to 1.
            now: Current monotonic time in seconds.
        """
        self.started_at = now
        self.fleet = fleet
        self.tolerance = tolerance
        self.random = random
        self.buckets: dict[models.CustomerName, CustomerBucket] = {}
        self.region_dropped_at: dict[models.RegionName, float] = {}

    def admit(self, customer: models.Customer, now: float) -> bool:
        """Returns whether to admit a request, and counts it if so."""
        if customer.rate <= 0.0:
            return True
        return self.bucket(customer, now).admit(now)

    def bucket(self, customer: models.Customer, now: float) -> CustomerBucket:
        """Returns the customer's bucket, updated to its current limits."""
        part = self._part(customer, now)
        found = self.buckets.get(customer.name)
        if found is None:
            found = CustomerBucket(
                customer.rate,
                customer.burst,
                now,
                self.random,
                part,
                self.started_at + OFFERED_WINDOW_S,
            )
            self.buckets[customer.name] = found
        found.set_limits(customer.rate, customer.burst, now, part)
        found.newcomers = 0
        if now - self.started_at < OFFERED_WINDOW_S:
            found.newcomers = self.fleet.count_newcomers(
                now, REPORT_RETENTION_S
            )
        return found

    def _part(self, customer: models.Customer, now: float) -> float:
        """Returns the part of a limit for the hosts that hear each other."""
        share = self.fleet.heard_share(now)
        if share >= 1.0:
            return 1.0
        tolerance = self.tolerance
        steady = customer.rate * tolerance.window_s + customer.burst
        excess = tolerance.excess + tolerance.slack / steady
        return min(1.0, share * (1.0 + TOLERANCE_SHARE * excess))

    def apply_reports(
        self,
        host: models.HostId,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> None:
        """Applies a peer's counters of the customers that it reports."""
        is_established = now - self.started_at > REPORT_RETENTION_S
        is_recent = is_established or self.fleet.is_newcomer(
            host, REPORT_RETENTION_S
        )
        for bucket, usage in self._limited_buckets(usages, configuration, now):
            bucket.apply_report(host, usage, now, is_recent)

    def apply_region_reports(
        self,
        region: models.RegionName,
        usages: Sequence[Usage],
        configuration: models.Configuration,
        now: float,
    ) -> None:
        """Applies a region's sums of the customers that it reports."""
        dropped_at = self.region_dropped_at.get(region, self.started_at)
        is_recent = now - dropped_at > REPORT_RETENTION_S
        for bucket, usage in self._limited_buckets(usages, configuration, now):
            bucket.apply_region_report(region, usage, now, is_recent)

    def drop_region(self, region: models.RegionName, now: float) -> None:
        """Drops the sums of a region before another relay's sums are used."""
        self.region_dropped_at[region] = now
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

    def needs_region_report(self, region_count: int, now: float) -> bool:
        """Returns whether any sum needs a report before the regular one."""
        for bucket in self.buckets.values():
            if bucket.needs_region_report(region_count, now):
                return True
        return False

    def report(self, now: float) -> list[Usage]:
        """Returns the counters of customers with recent requests here."""
        return [b.report(name, now) for name, b in self._recent_buckets(now)]

    def known_usages(self, now: float) -> list[Usage]:
        """Returns the same as `report`, for a single host that asks."""
        return [
            Usage(name, bucket.admitted, bucket.offered_rate(now))
            for name, bucket in self._recent_buckets(now)
        ]

    def _recent_buckets(
        self, now: float
    ) -> Iterator[tuple[models.CustomerName, CustomerBucket]]:
        """Yields the buckets of customers with recent requests here."""
        for name, bucket in self.buckets.items():
            idle_s = now - bucket.offered_at
            if bucket.offered == 0.0 or idle_s > REPORT_RETENTION_S:
                continue
            yield name, bucket

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

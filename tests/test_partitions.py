"""Caps on what a part of the hosts, cut off from the rest, sends to servers."""

import pytest

from banyanshed.platform import settings
from banyanshed.steering import models
from banyanshed.steering import partitions
from banyanshed.steering import placement
from banyanshed.steering import throttling
from tests import steering_cases as cases
from tests import test_wire

TOLERANCE = models.ColdTolerance(1.5, 5.0)
# Of 25 hosts, 9 are cut off from the store and from the other 16.
SIDE = [f"h{number}" for number in range(9)]
SILENT_SHARE = 16 / 25
TICK_S = 0.02
REPORT_S = 1.0
# Requests a second of a host whose callers are near a server, and of others.
NEAR_RATE, FAR_RATE = 10.0, 0.4


class Side:
    """Hosts of one side of a partition, each with its part of the caps."""

    def __init__(self, near):
        self.view = cases.make_view(1)
        self.server = self.view.servers["i0"]
        self.rates = {
            host: NEAR_RATE if host in near else FAR_RATE for host in SIDE
        }
        self.throttles = {}
        self.caps = []
        for host in SIDE:
            caps = partitions.PartitionCaps(
                self.view, TOLERANCE, lambda: SILENT_SHARE
            )
            caps.update()
            self.caps.append(caps)
            self.throttles[host] = throttling.ServerThrottle(
                host,
                self.view,
                caps,
                lambda: dict.fromkeys(SIDE, "a"),
                saved=partitions.SAVED_REQUESTS,
            )
        self.wanted = dict.fromkeys(SIDE, 0.0)
        self.sent_at = []

    def play(self, for_s):
        """Lets all hosts send as much as they may."""
        reported_at = 0.0
        for step in range(int(for_s / TICK_S)):
            now = 100.0 + step * TICK_S
            for host, throttle in self.throttles.items():
                self.wanted[host] += self.rates[host] * TICK_S
                while self.wanted[host] >= 1.0:
                    self.wanted[host] -= 1.0
                    if throttle.has_token(self.server, now):
                        throttle.take(self.server, now)
                        self.sent_at.append(now)
            if now - reported_at >= REPORT_S:
                reported_at = now
                self.report(now)

    def report(self, now):
        for host, throttle in self.throttles.items():
            demand = throttle.report_demand(now)
            for other in SIDE:
                if other != host:
                    self.throttles[other].set_peer_demand(host, demand, now)

    def most_in_a_second(self, since=0.0):
        return max(
            sum(at <= other < at + 1.0 for other in self.sent_at)
            for at in self.sent_at
            if at >= since
        )


@pytest.mark.parametrize("near", [SIDE[:1], SIDE[:3], SIDE])
def test_a_side_leaves_the_cold_rate_to_the_other(near):
    # Guards against a usual load of cut-off hosts on servers that turned cold.
    side = Side(near)
    side.play(8.0)
    service = side.view.configuration.services["s"]
    allowed = TOLERANCE.excess * service.cold_rate + TOLERANCE.slack
    others = service.cold_rate
    burst = partitions.SAVED_REQUESTS * len(SIDE)
    assert side.most_in_a_second() + others <= allowed + burst
    later = [at for at in side.sent_at if at >= 104.0]
    cap = side.caps[0].rate(side.server.registration)
    assert cap + others == pytest.approx(allowed)
    # Besides its part of the rate, each host may have one request saved.
    assert side.most_in_a_second(104.0) + others <= allowed + len(SIDE)
    assert len(later) >= 0.7 * cap * 4.0


def test_without_a_partition_or_a_bound_there_are_no_caps():
    view = cases.make_view(1)
    entry = view.servers["i0"].registration
    shares = [0.5, 0.25, 0.0]
    caps = partitions.PartitionCaps(view, TOLERANCE, lambda: shares.pop(0))
    assert caps.rate(entry) is None
    assert caps.update()
    assert caps.rate(entry) == 9.0
    assert not caps.update()
    assert caps.update()
    assert caps.rate(entry) is None
    unbound = partitions.PartitionCaps(view, None, lambda: 0.5)
    assert not unbound.update()
    assert unbound.rate(entry) is None


def test_requests_beyond_a_cap_go_to_other_servers_or_are_rejected():
    view = cases.make_view(2)
    caps = partitions.PartitionCaps(view, TOLERANCE, lambda: 0.5)
    caps.update()
    placing = cases.make_placement(view)
    placing.caps = throttling.ServerThrottle(
        "h1", view, caps, lambda: {"h1": "a"}, saved=2.0
    )
    request = placement.PlacementRequest(cases.ROUTE, "s", "o", (), 0, (), 1.0)
    chosen = set()
    for _ in range(40):
        choice = placing.choose(request, 1.0)
        if isinstance(choice, placement.Rejection):
            break
        chosen.add(choice.server.registration.id)
    assert chosen == {"i0", "i1"}
    assert choice.reason == "servers_limited"
    assert choice.retry_after_s > 0.0


def test_the_tolerance_is_read_from_the_settings():
    text = test_wire.SETTINGS
    assert settings.decode(text).cold_tolerance is None
    text = text.replace('"newBound=x"', '"coldExcess=1.5", "coldSlack=5"')
    assert settings.decode(text).cold_tolerance == TOLERANCE

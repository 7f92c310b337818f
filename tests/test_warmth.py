from banyanshed.steering import warmth
from tests import steering_cases as cases

ROUTE = cases.ROUTE
NEAR = warmth.Audience.NEAR
ALL = warmth.Audience.ALL


def record_answer(tracker, pair, latency_s, now=1.0, unqueued=True):
    tracker.record_answer(ROUTE, pair, unqueued, latency_s, now)


def test_a_pair_is_warm_until_its_ttl_expires():
    tracker = warmth.Warmth()
    assert not tracker.is_warm(7, 1.0)
    record_answer(tracker, 7, 0.9)
    assert tracker.is_warm(7, 1.0 + warmth.WARM_TTL_S / 2)
    assert not tracker.is_warm(7, 1.0 + warmth.WARM_TTL_S)


def test_warm_and_cold_service_times_are_estimated_separately():
    tracker = warmth.Warmth()
    for pair in range(100):
        record_answer(tracker, pair, 0.9)
        record_answer(tracker, pair, 0.3)
    assert abs(tracker.service_time_s(ROUTE, False) - 0.9) < 0.01
    assert abs(tracker.service_time_s(ROUTE, True) - 0.3) < 0.01


def test_queued_requests_do_not_change_the_estimates():
    tracker = warmth.Warmth()
    before = (
        tracker.service_time_s(ROUTE, True),
        tracker.service_time_s(ROUTE, False),
    )
    for _ in range(10):
        record_answer(tracker, 7, 3.0, unqueued=False)
    assert (
        tracker.service_time_s(ROUTE, True),
        tracker.service_time_s(ROUTE, False),
    ) == before


def test_new_pairs_are_sent_once_to_each_audience():
    tracker = warmth.Warmth()
    record_answer(tracker, 7, 0.9)
    assert tracker.take_unsent(NEAR) == [7]
    record_answer(tracker, 7, 0.3)
    record_answer(tracker, 8, 0.9)
    assert tracker.take_unsent(ALL) == [7, 8]
    # Pairs sent to all peers were also sent to those of the same region.
    assert tracker.take_unsent(NEAR) == []


def test_pairs_from_peers_are_warm_and_not_sent_again():
    tracker = warmth.Warmth()
    tracker.add_pairs([5], 1.0)
    assert tracker.is_warm(5, 1.1)
    record_answer(tracker, 5, 0.3)
    assert tracker.take_unsent(ALL) == []


def test_the_number_of_pairs_is_bounded():
    tracker = warmth.Warmth()
    tracker.add_pairs(list(range(warmth.MAX_PAIRS + 100)), 1.0)
    assert len(tracker.pairs) == warmth.MAX_PAIRS
    assert not tracker.is_warm(0, 1.0)

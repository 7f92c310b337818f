"""Detection of saturated servers from samples of their occupancy."""

from banyanshed.steering import saturation

SAMPLE_INTERVAL_S = 0.05


def record_samples(tracker, samples, start=0.0):
    """Records samples at regular intervals; returns the time after them."""
    for number, full in enumerate(samples):
        tracker.record_sample("i1", full, start + number * SAMPLE_INTERVAL_S)
    return start + len(samples) * SAMPLE_INTERVAL_S


def test_a_server_that_stays_full_is_saturated_within_a_second():
    tracker = saturation.Saturation()
    record_samples(tracker, [True] * 4)
    assert not tracker.is_saturated("i1")
    record_samples(tracker, [True] * 16, start=0.2)
    assert tracker.is_saturated("i1")


def test_many_samples_at_one_moment_count_as_one():
    tracker = saturation.Saturation()
    tracker.record_sample("i1", False, 0.0)
    for _ in range(100):
        tracker.record_sample("i1", True, 0.1)
    assert not tracker.is_saturated("i1")


def test_a_server_with_free_slots_is_soon_not_saturated():
    tracker = saturation.Saturation()
    now = record_samples(tracker, [True] * 60)
    record_samples(tracker, [False] * 40, start=now)
    assert not tracker.is_saturated("i1")


def test_one_sample_after_a_long_gap_does_not_saturate():
    tracker = saturation.Saturation()
    tracker.record_sample("i1", False, 0.0)
    tracker.record_sample("i1", True, 100.0)
    assert not tracker.is_saturated("i1")


def test_a_forgotten_server_is_not_saturated():
    tracker = saturation.Saturation()
    record_samples(tracker, [True] * 60)
    tracker.forget("i1")
    assert not tracker.is_saturated("i1")

"""Which servers count as saturated."""

from banyanshed.steering import saturation

LOOK_S = 0.05


def look(known, fulls, start=0.0):
    """Notes the server's state at regular looks; returns the time after."""
    for number, full in enumerate(fulls):
        known.note("i1", full, start + number * LOOK_S)
    return start + len(fulls) * LOOK_S


def test_a_server_that_stays_full_is_saturated_within_a_second():
    known = saturation.Saturation()
    look(known, [True] * 4)
    assert not known.is_saturated("i1")
    look(known, [True] * 16, start=0.2)
    assert known.is_saturated("i1")


def test_many_looks_in_a_moment_tell_no_more_than_one():
    known = saturation.Saturation()
    known.note("i1", False, 0.0)
    for _ in range(100):
        known.note("i1", True, 0.1)
    assert not known.is_saturated("i1")


def test_a_server_with_free_slots_is_soon_not_saturated():
    known = saturation.Saturation()
    now = look(known, [True] * 60)
    look(known, [False] * 40, start=now)
    assert not known.is_saturated("i1")


def test_one_look_after_a_long_time_does_not_saturate():
    known = saturation.Saturation()
    known.note("i1", False, 0.0)
    known.note("i1", True, 100.0)
    assert not known.is_saturated("i1")


def test_a_server_that_is_forgotten_starts_anew():
    known = saturation.Saturation()
    look(known, [True] * 60)
    known.forget("i1")
    assert not known.is_saturated("i1")

from banyanshed.steering import models
from banyanshed.steering import outages
from banyanshed.steering import waits


def make_outage(**bounds):
    return outages.Outage(waits.Waits(models.Bounds(**bounds)))


def test_no_servers_are_kept_without_an_outage():
    assert make_outage().kept_until(100.0) < 100.0


def test_entries_are_kept_for_the_re_registration_time_after_an_outage():
    outage = make_outage(stable_s=10.0)
    outage.begin(50.0)
    outage.record_failure(99.5)
    outage.end(100.0)
    outage.end(101.0)
    assert outage.kept_until(101.5) == 100.0 + waits.RE_REGISTRATION_S


def test_the_last_failed_call_limits_how_long_entries_are_kept():
    outage = make_outage(stable_s=3.0)
    outage.begin(90.0)
    outage.record_failure(98.0)
    outage.end(100.0)
    assert outage.kept_until(100.0) < 98.0 + 3.0


def test_calls_that_fail_after_the_first_answer_do_not_extend_the_outage():
    outage = make_outage()
    outage.begin(98.0)
    outage.end(98.5)
    until = outage.kept_until(99.0)
    outage.record_failure(99.0)
    assert outage.kept_until(99.0) == until


def test_servers_that_left_cleanly_are_not_kept_beyond_the_drain_bound():
    kept = waits.Waits(models.Bounds(drain_s=2.5)).kept_in_service_s
    assert kept(0.0) == waits.RE_REGISTRATION_S
    assert kept(1.0) + 1.0 < 2.5
    assert kept(3.0) == 0.0

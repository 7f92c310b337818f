from banyanshed.steering import models
from banyanshed.steering import outages
from banyanshed.steering import waits


def make_outage(**bounds):
    return outages.Outage(waits.Waits(models.Bounds(**bounds)))


def test_without_an_outage_nothing_is_kept():
    assert make_outage().kept_until(100.0) < 100.0


def test_entries_are_kept_until_they_are_back_after_the_first_answer():
    outage = make_outage(stable_s=10.0)
    outage.begin(50.0)
    outage.fail(99.5)
    outage.end(100.0)
    outage.end(101.0)
    assert outage.kept_until(101.5) == 100.0 + waits.RETURN_S


def test_the_last_failed_call_ends_the_excuse_of_a_late_return():
    outage = make_outage(stable_s=3.0)
    outage.begin(90.0)
    outage.fail(98.0)
    outage.end(100.0)
    assert outage.kept_until(100.0) < 98.0 + 3.0


def test_calls_that_fail_after_the_first_answer_do_not_prolong_it():
    outage = make_outage()
    outage.begin(98.0)
    outage.end(98.5)
    until = outage.kept_until(99.0)
    outage.fail(99.0)
    assert outage.kept_until(99.0) == until


def test_servers_that_left_in_good_order_are_not_kept_beyond_the_bound():
    kept = waits.Waits(models.Bounds(drain_s=2.5)).kept_in_service_s
    assert kept(0.0) == waits.RETURN_S
    assert kept(1.0) + 1.0 < 2.5
    assert kept(3.0) == 0.0

"""All delays of a change add up to less than its bound."""

import asyncio

import pytest

from banyanshed import exceptions
from banyanshed.gateway import clients
from banyanshed.gateway import feeds
from banyanshed.gateway import gossip
from banyanshed.platform import store as store_lib
from banyanshed.steering import models
from banyanshed.steering import waits
from tests import virtual_time

# Time of a call over the longest links of the platform, with its processing.
CALL_S = 0.15
BOUNDS = [
    models.Bounds(),
    models.Bounds(stable_s=4.0),
    models.Bounds(drain_s=1.5, config_s=2.0, evacuate_s=2.0, stable_s=2.0),
    models.Bounds(drain_s=10.0, config_s=1.5, revoke_s=10.0, stable_s=10.0),
]


@pytest.fixture(name="all_waits", params=BOUNDS)
def make_waits(request):
    return waits.Waits(request.param)


def tables(all_waits):
    return [all_waits.server_table, all_waits.operator_table]


def test_a_change_reaches_followers_through_a_relay_within_the_bound(all_waits):
    for table in tables(all_waits):
        total_s = table.batch_delay_s + 2 * CALL_S + waits.DELIVERY_S
        assert total_s <= table.bound_s


def test_a_change_gets_past_a_silent_relay_within_the_bound(all_waits):
    for table in tables(all_waits):
        total_s = all_waits.max_copy_age_s(table) + CALL_S + waits.DELIVERY_S
        assert total_s <= table.bound_s


def test_a_feed_has_time_to_deliver_before_a_peer_copy_starts(all_waits):
    # The relays of a region pause at different times, so one of them may know
    # a change that the other has not read yet.
    for table in tables(all_waits):
        assert table.near_copy_delay_s >= table.batch_delay_s + CALL_S
        assert table.far_copy_delay_s > table.near_copy_delay_s


def test_a_reconnected_host_catches_up_before_the_bounds_apply(all_waits):
    # A connection attempt hangs when the link is restored, and the next one is
    # made after a delay.
    pause_s = all_waits.max_retry_delay_s * (1.0 + waits.RETRY_JITTER)
    total_s = all_waits.connect_timeout_s + pause_s + CALL_S + waits.DELIVERY_S
    assert total_s <= all_waits.bounds.stable_s


def test_followers_leave_relays_with_swallowed_polls_within_the_bound(
    all_waits,
):
    for table in tables(all_waits):
        # Both relays refuse them before they call the store.
        total_s = table.max_answer_age_s + 3 * CALL_S + waits.DELIVERY_S
        assert total_s <= table.bound_s


def test_hosts_leave_silent_relays_within_the_bound(all_waits):
    # They connect to the store, call it and send the request on.
    for table in tables(all_waits):
        total_s = table.max_unverified_s + 2 * CALL_S + waits.DELIVERY_S
        assert total_s <= table.bound_s


def test_heartbeats_of_calm_relays_arrive_before_hosts_leave_them(all_waits):
    for table in tables(all_waits):
        age_s = table.relay_poll_s + CALL_S + all_waits.heartbeat_s
        assert age_s <= table.max_unverified_s + 1e-9


def test_relays_hear_from_the_store_before_their_followers_leave(all_waits):
    for table in tables(all_waits):
        assert table.relay_poll_s + CALL_S <= table.max_answer_age_s
        assert table.batch_delay_s <= table.relay_poll_s


def test_a_call_that_was_swallowed_is_repeated_before_the_bounds_apply(
    all_waits,
):
    jitter = 1.0 + waits.RETRY_JITTER
    polls_s = [table.relay_poll_s for table in tables(all_waits)]
    for poll_s in (all_waits.poll_s, *polls_s):
        # The first call that fails, and one after several failed ones.
        first_s = poll_s + feeds.RETRY_MIN_S * jitter
        later_s = all_waits.max_retry_delay_s * jitter
        total_s = all_waits.call_timeout_s + max(first_s, later_s)
        total_s += CALL_S + waits.DELIVERY_S
        assert total_s <= all_waits.bounds.stable_s


def test_kept_servers_are_dropped_before_the_bounds_apply(all_waits):
    kept_s = all_waits.kept_after_failure_s()
    total_s = kept_s + waits.HOUSEKEEPING_S + waits.DELIVERY_S
    assert total_s <= all_waits.bounds.stable_s


def test_a_failed_host_leaves_the_directory_in_time(all_waits):
    # A relay reports the host until it counts as silent, and the other regions
    # keep it for the same time after that.
    total_s = 2 * all_waits.host_timeout_s + CALL_S
    assert total_s <= all_waits.bounds.stable_s + waits.DOWN_HOST_LISTED_S
    # One lost heartbeat or digest must not make a host count as silent.
    assert all_waits.host_timeout_s >= 2 * gossip.FULL_HEARTBEAT_INTERVAL_S
    assert all_waits.host_timeout_s >= 2 * gossip.DIGEST_INTERVAL_S


def test_a_hanging_connection_attempt_times_out(monkeypatch):
    connect_s = waits.Waits(models.Bounds()).connect_timeout_s

    async def call_store():
        loop = asyncio.get_running_loop()

        async def hang(*_):
            await asyncio.Event().wait()

        monkeypatch.setattr(loop, "create_connection", hang)
        store = store_lib.StoreClient(
            lambda: clients.HttpClient(("10.0.0.1", 1), connect_s), 2.0
        )
        with pytest.raises(exceptions.StoreUnavailable):
            await store.read_changes("op", models.NO_TABLE, 20.0)
        return loop.time()

    assert virtual_time.run(call_store()) == pytest.approx(connect_s, abs=0.01)

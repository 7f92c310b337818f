import dataclasses
import random

import pytest

from banyanshed import exceptions
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares
from standins import memory

TENANT = models.TenantId("acme")
BOOKINGS = models.ServiceId("bookings")
SASK = models.RegionId("sask")
ALBERTA = models.RegionId("alberta")
LIMITS = (
    shares.RateLimit(
        shares.tenant_key(TENANT), models.ConfigVersion(1), 100, 100
    ),
    shares.UnitLimit(
        shares.placement_key(BOOKINGS, SASK),
        models.ConfigVersion(1),
        limit=50,
        weight=100,
        shift_cap=10,
        linger_s=5,
    ),
    shares.RateLimit(
        shares.link_key(SASK, ALBERTA), models.ConfigVersion(1), 1e6, 1e6, 5
    ),
)


def make_holder(name, limits=LIMITS, incarnation="1"):
    holder = leases.ShareHolder(
        models.HostId(name),
        sessions.Incarnation(incarnation),
        random.Random(name + incarnation),
    )
    holder.set_limits(limits)
    return holder


def exchange(holder, table, now_s):
    """Sends one request of a holder to the table; returns the request."""
    request = holder.next_request(now_s)
    if request is None:
        return None
    if isinstance(request, leases.ReadRequest):
        holder.on_page(now_s, table.read(request.keys))
        return request
    try:
        commit = table.transact(request)
    except exceptions.ConditionFailed as error:
        holder.on_conflict(now_s, error.rows)
        return request
    holder.on_commit(now_s, commit)
    return request


def run(holders, table, start_s, seconds):
    """Runs holders against the table for a time; returns the end time."""
    now_s = start_s
    while now_s < start_s + seconds:
        now_s += 0.05
        table.now_s += 0.05
        for holder in holders:
            exchange(holder, table, now_s)
    return now_s


def stored_share(table, limit):
    return shares.parse_share(limit, table.rows[limit.key].value)


def test_shares_follow_demand_and_are_returned_at_a_planned_stop():
    table = memory.MemoryTable()
    busy, idle = make_holder("a"), make_holder("b")
    now_s = run([busy, idle], table, 0.0, 5)
    for _ in range(400):
        busy.admit(now_s, TENANT)
        now_s = run([busy, idle], table, now_s, 0.05)
    # Its demand is 20 per second, and it gets most of the unused rate.
    assert busy.tenants[TENANT].bucket.rate > 60
    assert (
        busy.tenants[TENANT].bucket.rate > 6 * idle.tenants[TENANT].bucket.rate
    )
    unit = busy.acquire(now_s, BOOKINGS, SASK)
    assert unit is not None
    assert busy.valid(now_s, unit)
    busy.release(now_s, unit)
    reservation = busy.reserve_bytes(now_s, SASK, ALBERTA, 1000)
    assert reservation is not None
    busy.settle_bytes(now_s, reservation, 200)
    busy.release_all(now_s)
    assert not busy.valid(now_s, unit)
    run([busy], table, now_s, 5)
    assert busy.phase is leases.Phase.RETURNED
    for limit in LIMITS:
        sessions_left = {g.session for g in stored_share(table, limit).grants}
        assert sessions_left <= {idle.session}
    assert table.rows[sessions.session_key(busy.session)].value is None


def next_transaction(holder, table, now_s):
    """Returns the time and the next transaction, after serving any reads."""
    for _ in range(200):
        now_s += 0.1
        table.now_s += 0.1
        request = holder.next_request(now_s)
        if isinstance(request, models.Transaction):
            return now_s, request
        if request is not None:
            holder.on_page(now_s, table.read(request.keys))
    raise AssertionError("no transaction")


@pytest.mark.invariant("tenant-rate")
def test_lost_answer_counts_as_the_smaller_outcome_until_the_row_is_read():
    table = memory.MemoryTable()
    holder = make_holder("a")
    now_s, opening = next_transaction(holder, table, 0.0)
    holder.on_commit(now_s, table.transact(opening))
    now_s, taking = next_transaction(holder, table, now_s)
    holder.on_answer_lost(now_s)
    held = holder.tenants[TENANT], holder.placements[BOOKINGS, SASK]
    assert (held[0].bucket.burst, held[1].units) == (0, 0)
    # The row has not changed, so the lost write may still take effect.
    now_s, again = next_transaction(holder, table, now_s)
    table.transact(taking)
    with pytest.raises(exceptions.ConditionFailed) as refused:
        table.transact(again)
    holder.on_conflict(now_s, refused.value.rows)
    assert held[0].bucket.tokens == pytest.approx(held[0].bucket.burst)
    assert (
        held[0].bucket.burst == stored_share(table, LIMITS[0]).grants[0].burst
    )
    assert held[1].units == stored_share(table, LIMITS[1]).grants[0].units > 0


@pytest.mark.invariant("tenant-rate")
def test_tokens_are_not_spent_once_their_return_is_sent():
    table = memory.MemoryTable()
    holder = make_holder("a")
    now_s = run([holder], table, 0.0, 5)
    bucket = holder.tenants[TENANT].bucket
    before = bucket.rate, bucket.tokens
    lower = dataclasses.replace(
        LIMITS[0], rate=30, burst=30, version=models.ConfigVersion(2)
    )
    holder.set_limits((lower, *LIMITS[1:]))
    now_s, shrinking = next_transaction(holder, table, now_s)
    assert before > (30, 30)
    assert bucket.rate <= 30
    assert bucket.tokens <= 30
    holder.on_answer_lost(now_s)
    for _ in range(5):
        now_s += 6
        table.now_s += 6
        request = holder.next_request(now_s)
        if isinstance(request, leases.ReadRequest):
            holder.on_page(now_s, table.read(request.keys))
        bucket.refill(now_s)
        assert bucket.tokens <= 30
    table.transact(shrinking)
    run([holder], table, now_s, 5)
    assert bucket.rate <= stored_share(table, lower).grants[0].rate <= 30


def run_alone(holder, table, start_s, end_s):
    began_s = table.now_s
    for step in range(int((end_s - start_s) / 0.25)):
        table.now_s = began_s + step * 0.25
        exchange(holder, table, start_s + step * 0.25)


def test_shares_of_a_host_that_dies_without_a_witness_are_freed_soon():
    table = memory.MemoryTable()
    dead = make_holder("dead")
    dead.set_peers([models.HostId("other")])
    run_alone(dead, table, 0.0, 2.0)
    key = sessions.session_key(dead.session)
    assert table.read([key]).rows[0].value["witness"] is None
    other = make_holder("other")
    run_alone(other, table, 2.0, 2.0 + leases.UNWITNESSED_LEASE_S + 10.0)
    assert table.read([key]).rows[0].value["closed_s"] is not None

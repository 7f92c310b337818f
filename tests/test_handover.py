"""Hand-over of sessions: limits hold whatever messages are lost."""

import hypothesis
from hypothesis import strategies as st
import pytest

from banyanshed import exceptions
from banyanshed.core import handover
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import sessions
from standins import memory
from tests import test_leases as base

GIVER_OFFSET_S = 5000.0
RATE = base.LIMITS[0].rate
BURST = base.LIMITS[0].burst


def make_pair(table):
    """Returns a giver and a receiver that hold all shares, and the time."""
    holders = [base.make_holder("a"), base.make_holder("b")]
    now_s = base.run(holders, table, 0.0, 10)
    for _ in range(100):
        units = []
        for holder in holders:
            holder.admit(now_s, base.TENANT)
            units.append(holder.acquire(now_s, base.BOOKINGS, base.SASK))
        now_s = base.run(holders, table, now_s, 0.05)
        for holder, unit in zip(holders, units, strict=True):
            if unit is not None:
                holder.release(now_s, unit)
    return (*holders, base.run(holders, table, now_s, 1))


def stop(holder, now_s):
    """Starts a planned stop that finds the store down."""
    holder.release_all(now_s)
    assert holder.next_request(now_s) is not None
    holder.on_unavailable(now_s)
    return handover.Giving(holder)


def spend(holder, now_s, units):
    """Spends all that a holder gives; returns admitted requests."""
    count = 0
    while holder.admit(now_s, base.TENANT).admitted:
        count += 1
    while unit := holder.acquire(now_s, base.BOOKINGS, base.SASK):
        units.append(unit)
    return count


def rate_of(holder):
    return holder.tenants[base.TENANT].bucket.rate


STEPS = st.lists(
    st.sampled_from(["give", "lost", "repeat", "restart", "spend", "other"]),
    max_size=12,
)


@pytest.mark.invariant("tenant-rate")
@hypothesis.given(STEPS, st.floats(0, 2))
def test_limits_hold_through_lost_repeated_and_late_messages(steps, pause_s):
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    third = base.make_holder("c", incarnation="7")
    now_s = base.run([third], table, now_s, 1)
    start_s = now_s
    units = []
    admitted = 0
    granted = sum(g.units for g in base.stored(table, base.LIMITS[1]).grants)
    assert rate_of(giver) > 10
    assert giver.free_units(now_s, base.BOOKINGS, base.SASK)
    now_s += pause_s
    giving = stop(giver, now_s)
    processes = [handover.Adoptions(receiver), handover.Adoptions(third)]
    sent = []
    for step in steps:
        now_s += 0.1
        target = processes[step == "other"]
        host = target.own.host
        if step == "restart" and target.own.adopted:
            restarted = base.make_holder("b", incarnation="2")
            processes[0] = handover.Adoptions(restarted)
            continue
        if step == "repeat" and sent:
            opening, content = sent[0]
            target.take(now_s, opening, content)
        elif step in ("give", "lost", "other") and giving.possible(now_s):
            opening = target.open(now_s)
            content = giving.start(now_s, host, opening)
            if content is None:
                continue
            sent.append((opening, content))
            if step == "give":
                giving.on_answer(target.take(now_s, opening, content))
            elif step == "other":
                giving.on_answer(target.take(now_s + 0.1, opening, content))
            else:
                target.take(now_s, opening, content)
        for process in processes:
            admitted += spend(process.own, now_s, units)
        if giving.receiver is not None:
            assert not giver.admit(now_s, base.TENANT).admitted
            assert giver.next_request(now_s) is None
    assert admitted <= BURST + RATE * (now_s - start_s) + 1
    assert len(units) <= granted
    adopted = [one.session for p in processes for one in p.own.adopted]
    assert len(adopted) == len(set(adopted)) <= 1


def test_an_adopted_session_serves_in_the_outage_and_is_then_returned():
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    assert rate_of(receiver) > 10
    assert rate_of(giver) > 10
    own_units = receiver.free_units(now_s, base.BOOKINGS, base.SASK)
    given_units = giver.free_units(now_s, base.BOOKINGS, base.SASK)
    assert own_units > 0
    assert given_units > 0
    adoptions = handover.Adoptions(receiver)
    giving = stop(giver, now_s)
    opening = adoptions.open(now_s)
    content = giving.start(now_s, receiver.host, opening)
    giving.on_answer(adoptions.take(now_s, opening, content))
    assert giving.state is handover.GivingState.TAKEN
    later_s = now_s + 60
    tokens = spend(receiver, later_s, units := [])
    capacity = sum(h.tenants[base.TENANT].bucket.burst for h in receiver.all())
    assert capacity - 2 <= tokens <= BURST
    assert [unit.session for unit in units] == (
        [receiver.session] * own_units + [giver.session] * given_units
    )
    assert all(receiver.valid(later_s, unit) for unit in units)
    for unit in units:
        receiver.release(later_s, unit)
    assert all(handover.is_idle(holder) for holder in receiver.all())
    adopted = receiver.adopted[0]
    table.now_s += later_s - now_s
    later_s = base.run([adopted, receiver], table, later_s, 10)
    assert adopted.phase is leases.Phase.RETURNED
    adoptions.sweep()
    assert receiver.adopted == []
    for limit in base.LIMITS:
        names = {grant.session for grant in base.stored(table, limit).grants}
        assert giver.session not in names
    assert table.rows[sessions.session_key(giver.session)].value is None
    assert adoptions.take(later_s, opening, content)
    assert receiver.adopted == []


def test_a_taken_session_can_be_given_on():
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    last = base.make_holder("c")
    holders = [giver]
    for taker in (receiver, last):
        adoptions = handover.Adoptions(taker)
        for holder in holders:
            giving = stop(holder, now_s)
            opening = adoptions.open(now_s)
            content = giving.start(now_s, taker.host, opening)
            giving.on_answer(adoptions.take(now_s, opening, content))
            assert giving.state is handover.GivingState.TAKEN
        holders = taker.all()
    sessions_taken = {holder.session for holder in last.adopted}
    assert sessions_taken == {giver.session, receiver.session}
    assert all(holder.valid(now_s) for holder in last.adopted)


def test_durations_count_from_the_opening_whatever_the_clocks():
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    witness = sessions.WitnessId(models.HostId("w"), "1", 3)
    gone = sessions.WitnessId(models.HostId("x"), "1", 4)
    giver.witnessing.named = {witness, gone}
    giver.witnessing.waived = {gone}
    giver.witnessing.acked_s = {witness: now_s - 2}
    giver.witnessing.term = 4
    giving = stop(giver, now_s)
    opening = handover.Opening(receiver.incarnation, GIVER_OFFSET_S)
    content = giving.start(now_s + 1, receiver.host, opening)
    lease_s = giver.lease_end_s - now_s - 1
    adoptions = handover.Adoptions(receiver)
    assert adoptions.take(GIVER_OFFSET_S + 1.5, opening, content)
    adopted = receiver.adopted[0]
    assert lease_s * 0.99 < adopted.lease_end_s - GIVER_OFFSET_S < lease_s
    acked_s = adopted.witnessing.acked_s[witness]
    assert GIVER_OFFSET_S - 3.1 < acked_s < GIVER_OFFSET_S - 3
    assert adopted.valid_until_s == acked_s + sessions.WITNESS_TIMEOUT_S
    beats = dict(adopted.heartbeats(GIVER_OFFSET_S + 1.6))
    assert list(beats) == ["w"]
    answer = sessions.Acknowledgement(
        witness, adopted.session, beats["w"].sequence, accepted=False
    )
    adopted.on_acknowledgement(GIVER_OFFSET_S + 1.7, answer)
    assert adopted.phase is leases.Phase.RETURNED
    assert adopted.session == giver.session
    assert not adopted.valid(GIVER_OFFSET_S + 1.7)


def test_a_transaction_under_way_may_yet_take_effect():
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    giver.release_all(now_s)
    transaction = giver.next_request(now_s)
    if isinstance(transaction, leases.ReadRequest):
        giver.on_page(now_s, table.read(transaction.keys))
        transaction = giver.next_request(now_s)
    assert isinstance(transaction, models.Transaction)
    giving = handover.Giving(giver)
    adoptions = handover.Adoptions(receiver)
    opening = adoptions.open(now_s)
    content = giving.start(now_s, receiver.host, opening)
    commit = table.transact(transaction)
    giver.on_commit(now_s, commit)
    giving.on_answer(adoptions.take(now_s, opening, content))
    adopted = receiver.adopted[0]
    assert not adopted.admit(now_s, base.TENANT).admitted
    base.run([adopted], table, now_s, 5)
    assert adopted.phase is leases.Phase.RETURNED


def test_hosts_that_stop_or_have_too_many_refuse_and_the_next_may_take():
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    giving = stop(giver, now_s)
    receiver.release_all(now_s)
    full = base.make_holder("c")
    full.adopted = [
        base.make_holder(str(number)) for number in range(handover.MAX_ADOPTED)
    ]
    free = base.make_holder("d")
    for holder in (receiver, full, free):
        assert giving.possible(now_s)
        adoptions = handover.Adoptions(holder)
        opening = adoptions.open(now_s)
        content = giving.start(now_s, holder.host, opening)
        giving.on_answer(adoptions.take(now_s, opening, content))
    assert giving.state is handover.GivingState.TAKEN
    assert [one.session for one in free.adopted] == [giver.session]


def test_requests_at_work_keep_a_session_from_being_given():
    table = memory.MemoryTable()
    giver, _, now_s = make_pair(table)
    unit = giver.acquire(now_s, base.BOOKINGS, base.SASK)
    giving = stop(giver, now_s)
    assert not giving.possible(now_s)
    giver.release(now_s, unit)
    assert giving.possible(now_s)


def test_peers_of_the_region_that_are_no_witnesses_come_first():
    holder = base.make_holder("a")
    holder.witnessing.named = {sessions.WitnessId(models.HostId("w"), "1", 1)}
    peers = [
        models.ListedHost(
            models.HostId(name), models.RegionId(region), models.ZoneId("z"),
            "", "", models.HostState.LIVE,
        )
        for name, region in [("x", "alberta"), ("w", "sask"), ("y", "sask")]
    ]  # fmt: skip
    found = handover.Giving(holder).choices(peers, base.SASK)
    assert [peer.host for peer in found] == ["y", "w", "x"]


@pytest.mark.parametrize("content", [b"", b"no", b"{}"])
def test_malformed_sessions_are_refused(content):
    with pytest.raises(exceptions.PeerMalformed):
        handover.decode(content)


def test_a_refusal_after_a_lost_answer_does_not_free_the_session():
    table = memory.MemoryTable()
    giver, receiver, now_s = make_pair(table)
    giving = stop(giver, now_s)
    opening = handover.Opening(receiver.incarnation, now_s)
    late = giving.start(now_s, receiver.host, opening)
    again = giving.start(now_s + 1, receiver.host, opening)
    assert late is not None
    assert again is not None
    giving.on_answer(taken=False)
    assert giving.state is handover.GivingState.MAYBE_TAKEN
    assert giver.next_request(now_s + 100) is None
    other = handover.Opening(sessions.Incarnation("9"), now_s)
    assert giving.start(now_s + 2, models.HostId("c"), other) is None

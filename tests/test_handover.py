"""Handover of sessions.

Limits must hold when messages are lost, repeated or late: two processes that
used the same session would exceed them.
"""

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

RECEIVER_CLOCK_S = 5000.0
RATE = base.LIMITS[0].rate
BURST = base.LIMITS[0].burst


def make_sender_and_receiver(table):
    """Returns a sender and a receiver that hold all shares, and the time.

    Both have had demand, so that each holds rate and units.
    """
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


def start_stop_with_store_down(holder, now_s):
    """Starts a planned stop while the store is unavailable."""
    holder.release_all(now_s)
    assert holder.next_request(now_s) is not None
    holder.on_unavailable(now_s)
    return handover.OutgoingHandover(holder)


def spend_all(holder, now_s, units):
    """Uses all tokens and units; returns the number of admitted requests."""
    count = 0
    while holder.admit(now_s, base.TENANT).admitted:
        count += 1
    while unit := holder.acquire(now_s, base.BOOKINGS, base.SASK):
        units.append(unit)
    return count


def tenant_rate(holder):
    return holder.tenants[base.TENANT].bucket.rate


STEPS = st.lists(
    st.sampled_from(["give", "lost", "repeat", "restart", "spend", "other"]),
    max_size=12,
)


@pytest.mark.invariant("tenant-rate")
@hypothesis.given(STEPS, st.floats(0, 2))
def test_limits_hold_through_lost_repeated_and_late_messages(steps, pause_s):
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    third = base.make_holder("c", incarnation="7")
    now_s = base.run([third], table, now_s, 1)
    start_s = now_s
    units = []
    admitted = 0
    granted = sum(
        g.units for g in base.stored_share(table, base.LIMITS[1]).grants
    )
    assert tenant_rate(sender) > 10
    assert sender.free_units(now_s, base.BOOKINGS, base.SASK)
    now_s += pause_s
    outgoing = start_stop_with_store_down(sender, now_s)
    processes = [
        handover.AdoptedSessions(receiver),
        handover.AdoptedSessions(third),
    ]
    sent = []
    for step in steps:
        now_s += 0.1
        target = processes[step == "other"]
        host = target.own_holder.host
        if step == "restart" and target.own_holder.adopted:
            restarted = base.make_holder("b", incarnation="2")
            processes[0] = handover.AdoptedSessions(restarted)
            continue
        if step == "repeat" and sent:
            opening, content = sent[0]
            target.accept(now_s, opening, content)
        elif step in ("give", "lost", "other") and outgoing.can_send(now_s):
            opening = target.open(now_s)
            content = outgoing.prepare_message(now_s, host, opening)
            if content is None:
                continue
            sent.append((opening, content))
            if step == "give":
                outgoing.on_answer(target.accept(now_s, opening, content))
            elif step == "other":
                outgoing.on_answer(target.accept(now_s + 0.1, opening, content))
            else:
                target.accept(now_s, opening, content)
        for process in processes:
            admitted += spend_all(process.own_holder, now_s, units)
        if outgoing.receiver is not None:
            assert not sender.admit(now_s, base.TENANT).admitted
            assert sender.next_request(now_s) is None
    assert admitted <= BURST + RATE * (now_s - start_s) + 1
    assert len(units) <= granted
    adopted = [one.session for p in processes for one in p.own_holder.adopted]
    assert len(adopted) == len(set(adopted)) <= 1


def test_adopted_session_serves_during_the_outage_and_is_then_returned():
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    assert tenant_rate(receiver) > 10
    assert tenant_rate(sender) > 10
    own_units = receiver.free_units(now_s, base.BOOKINGS, base.SASK)
    given_units = sender.free_units(now_s, base.BOOKINGS, base.SASK)
    assert own_units > 0
    assert given_units > 0
    adopted_sessions = handover.AdoptedSessions(receiver)
    outgoing = start_stop_with_store_down(sender, now_s)
    opening = adopted_sessions.open(now_s)
    content = outgoing.prepare_message(now_s, receiver.host, opening)
    outgoing.on_answer(adopted_sessions.accept(now_s, opening, content))
    assert outgoing.state is handover.HandoverState.TAKEN
    later_s = now_s + 60
    tokens = spend_all(receiver, later_s, units := [])
    capacity = sum(
        h.tenants[base.TENANT].bucket.burst for h in receiver.all_holders()
    )
    assert capacity - 2 <= tokens <= BURST
    assert [unit.session for unit in units] == (
        [receiver.session] * own_units + [sender.session] * given_units
    )
    assert all(receiver.valid(later_s, unit) for unit in units)
    for unit in units:
        receiver.release(later_s, unit)
    assert all(handover.is_idle(holder) for holder in receiver.all_holders())
    adopted = receiver.adopted[0]
    table.now_s += later_s - now_s
    later_s = base.run([adopted, receiver], table, later_s, 10)
    assert adopted.phase is leases.Phase.RETURNED
    adopted_sessions.remove_returned()
    assert receiver.adopted == []
    for limit in base.LIMITS:
        names = {
            grant.session for grant in base.stored_share(table, limit).grants
        }
        assert sender.session not in names
    assert table.rows[sessions.session_key(sender.session)].value is None
    assert adopted_sessions.accept(later_s, opening, content)
    assert receiver.adopted == []


def test_adopted_session_can_be_handed_over_again():
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    last = base.make_holder("c")
    holders = [sender]
    for next_receiver in (receiver, last):
        adopted_sessions = handover.AdoptedSessions(next_receiver)
        for holder in holders:
            outgoing = start_stop_with_store_down(holder, now_s)
            opening = adopted_sessions.open(now_s)
            content = outgoing.prepare_message(
                now_s, next_receiver.host, opening
            )
            outgoing.on_answer(adopted_sessions.accept(now_s, opening, content))
            assert outgoing.state is handover.HandoverState.TAKEN
        holders = next_receiver.all_holders()
    sessions_taken = {holder.session for holder in last.adopted}
    assert sessions_taken == {sender.session, receiver.session}
    assert all(holder.valid(now_s) for holder in last.adopted)


def test_durations_count_from_the_opening_on_the_receivers_clock():
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    witness = sessions.WitnessId(models.HostId("w"), "1", 3)
    gone = sessions.WitnessId(models.HostId("x"), "1", 4)
    sender.witness_tracker.named = {witness, gone}
    sender.witness_tracker.waived = {gone}
    sender.witness_tracker.acked_s = {witness: now_s - 2}
    sender.witness_tracker.term = 4
    outgoing = start_stop_with_store_down(sender, now_s)
    opening = handover.HandoverOpening(receiver.incarnation, RECEIVER_CLOCK_S)
    content = outgoing.prepare_message(now_s + 1, receiver.host, opening)
    lease_s = sender.lease_end_s - now_s - 1
    adopted_sessions = handover.AdoptedSessions(receiver)
    assert adopted_sessions.accept(RECEIVER_CLOCK_S + 1.5, opening, content)
    adopted = receiver.adopted[0]
    assert lease_s * 0.99 < adopted.lease_end_s - RECEIVER_CLOCK_S < lease_s
    acked_s = adopted.witness_tracker.acked_s[witness]
    assert RECEIVER_CLOCK_S - 3.1 < acked_s < RECEIVER_CLOCK_S - 3
    assert adopted.valid_until_s == acked_s + sessions.WITNESS_TIMEOUT_S
    heartbeats = dict(adopted.heartbeats(RECEIVER_CLOCK_S + 1.6))
    assert list(heartbeats) == ["w"]
    answer = sessions.Acknowledgement(
        witness, adopted.session, heartbeats["w"].sequence, accepted=False
    )
    adopted.on_acknowledgement(RECEIVER_CLOCK_S + 1.7, answer)
    assert adopted.phase is leases.Phase.RETURNED
    assert adopted.session == sender.session
    assert not adopted.valid(RECEIVER_CLOCK_S + 1.7)


def test_transaction_in_flight_at_the_handover_may_take_effect():
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    sender.release_all(now_s)
    transaction = sender.next_request(now_s)
    if isinstance(transaction, leases.ReadRequest):
        sender.on_page(now_s, table.read(transaction.keys))
        transaction = sender.next_request(now_s)
    assert isinstance(transaction, models.Transaction)
    outgoing = handover.OutgoingHandover(sender)
    adopted_sessions = handover.AdoptedSessions(receiver)
    opening = adopted_sessions.open(now_s)
    content = outgoing.prepare_message(now_s, receiver.host, opening)
    commit = table.transact(transaction)
    sender.on_commit(now_s, commit)
    outgoing.on_answer(adopted_sessions.accept(now_s, opening, content))
    adopted = receiver.adopted[0]
    assert not adopted.admit(now_s, base.TENANT).admitted
    base.run([adopted], table, now_s, 5)
    assert adopted.phase is leases.Phase.RETURNED


def test_stopping_and_full_receivers_refuse_and_the_next_accepts():
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    outgoing = start_stop_with_store_down(sender, now_s)
    receiver.release_all(now_s)
    full = base.make_holder("c")
    full.adopted = [
        base.make_holder(str(number))
        for number in range(handover.MAX_ADOPTED_SESSIONS)
    ]
    free = base.make_holder("d")
    for holder in (receiver, full, free):
        assert outgoing.can_send(now_s)
        adopted_sessions = handover.AdoptedSessions(holder)
        opening = adopted_sessions.open(now_s)
        content = outgoing.prepare_message(now_s, holder.host, opening)
        outgoing.on_answer(adopted_sessions.accept(now_s, opening, content))
    assert outgoing.state is handover.HandoverState.TAKEN
    assert [one.session for one in free.adopted] == [sender.session]


def test_session_with_running_requests_is_not_handed_over():
    table = memory.MemoryTable()
    sender, _, now_s = make_sender_and_receiver(table)
    unit = sender.acquire(now_s, base.BOOKINGS, base.SASK)
    outgoing = start_stop_with_store_down(sender, now_s)
    assert not outgoing.can_send(now_s)
    sender.release(now_s, unit)
    assert outgoing.can_send(now_s)


def test_peers_of_the_region_that_are_not_witnesses_rank_first():
    holder = base.make_holder("a")
    holder.witness_tracker.named = {
        sessions.WitnessId(models.HostId("w"), "1", 1)
    }
    peers = [
        models.ListedHost(
            models.HostId(name), models.RegionId(region), models.ZoneId("z"),
            "", "", models.HostState.LIVE,
        )
        for name, region in [("x", "alberta"), ("w", "sask"), ("y", "sask")]
    ]  # fmt: skip
    found = handover.OutgoingHandover(holder).ranked_receivers(peers, base.SASK)
    assert [peer.host for peer in found] == ["y", "w", "x"]


@pytest.mark.parametrize("content", [b"", b"no", b"{}"])
def test_malformed_sessions_are_refused(content):
    with pytest.raises(exceptions.PeerMalformed):
        handover.decode(content)


def test_a_refusal_after_a_lost_answer_does_not_free_the_session():
    table = memory.MemoryTable()
    sender, receiver, now_s = make_sender_and_receiver(table)
    outgoing = start_stop_with_store_down(sender, now_s)
    opening = handover.HandoverOpening(receiver.incarnation, now_s)
    first = outgoing.prepare_message(now_s, receiver.host, opening)
    again = outgoing.prepare_message(now_s + 1, receiver.host, opening)
    assert first is not None
    assert again is not None
    outgoing.on_answer(taken=False)
    assert outgoing.state is handover.HandoverState.MAYBE_TAKEN
    assert sender.next_request(now_s + 100) is None
    other = handover.HandoverOpening(sessions.Incarnation("9"), now_s)
    assert (
        outgoing.prepare_message(now_s + 2, models.HostId("c"), other) is None
    )

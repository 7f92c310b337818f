import hypothesis
from hypothesis import strategies as st
import pytest

from banyanshed.core import models
from banyanshed.core import planning
from banyanshed.core import sessions
from banyanshed.core import shares

VERSION = models.ConfigVersion(1)
NAMES = st.sampled_from(["a/1.1", "b/1.1", "c/1.1"])
RATE = shares.RateLimit(shares.LimitKey("share/tenant/x"), VERSION, 10, 20)
WITNESS_ID = sessions.WitnessId(
    models.HostId("w"), sessions.Incarnation("1"), 1
)
SESSION = shares.SessionId("a/1.1")


@pytest.mark.invariant("tenant-rate")
@hypothesis.given(
    st.lists(
        st.tuples(
            NAMES,
            st.floats(0, 30),
            st.floats(0, 5),
            st.floats(0, 1),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_plans_create_no_tokens(steps):
    """Tokens of the pool and of all holders stay within the limit's burst.

    No plan may create tokens, whatever tokens were used and sessions ended.
    """
    share, now_s, total = None, 100.0, RATE.burst
    held: dict[str, float] = {}
    for name, demand, elapsed_s, kept, ends in steps:
        now_s += elapsed_s
        held_rate = 0.0
        if share is not None:
            for grant in share.grants:
                if grant.session in held:
                    held_rate += grant.rate
                    tokens = held[grant.session] + grant.rate * elapsed_s
                    held[grant.session] = min(grant.burst, tokens) * kept
        closed = {}
        if ends:
            held.pop(name, None)
            closed[shares.SessionId(name)] = now_s - 1
        session = shares.SessionId("d/1.1" if ends else name)
        view = shares.StoreView(now_s, now_s, closed)
        before = sum(held.values()) + (
            planning._refilled_pool(share, view) if share else RATE.burst
        )
        request = planning.RateGrantRequest(
            session, "w", demand, held.get(session, 0.0)
        )
        plan = planning.plan_rate(RATE, share, request, view)
        share = plan.share
        held[session] = held.get(session, 0.0) + plan.tokens
        after = sum(held.values()) + share.pool_tokens
        assert after <= before + 1e-6
        assert after <= total + 1e-6
        assert sum(grant.rate for grant in share.grants) <= RATE.rate + 1e-6
        assert sum(grant.burst for grant in share.grants) <= RATE.burst + 1e-6
        assert all(tokens >= -1e-9 for tokens in held.values())


def test_pool_refills_at_the_rate_that_no_grant_holds():
    grant = shares.RateGrant(SESSION, "w", 6, 12, 1, 10, 20)
    share = shares.RateShare(RATE, 0.0, 100.0, (grant,))
    request = planning.RateGrantRequest(SESSION, "x", 1000, 0.0, leaving=True)
    plan = planning.plan_rate(
        RATE, share, request, shares.StoreView(101, 101, {})
    )
    assert plan.share.pool_tokens == pytest.approx(4)


def test_burst_below_the_number_of_hosts_is_split_into_whole_tokens():
    limit = shares.RateLimit(RATE.key, VERSION, 10, 3)
    share = None
    for step in range(40):
        name = shares.SessionId(f"h{step % 10}/1.1")
        request = planning.RateGrantRequest(name, "w", 1 + step % 10, 0.0)
        view = shares.StoreView(100 + step, 100 + step, {})
        share = planning.plan_rate(limit, share, request, view).share
    bursts = [grant.burst for grant in share.grants]
    assert sum(bursts) <= 3
    assert {burst == 0 or burst >= 1 for burst in bursts} == {True}
    assert max(bursts) >= 1


def test_witness_refusal_is_permanent_and_limited_to_its_incarnation():
    witness = sessions.Witness(WITNESS_ID.host, WITNESS_ID.incarnation)
    beat = sessions.Heartbeat(SESSION, WITNESS_ID.term, 1)
    row = sessions.Session(models.HostId("a"), "w", 1e6, WITNESS_ID)
    timeout_s = sessions.WITNESS_TIMEOUT_S
    assert witness.on_heartbeat(0.0, beat).accepted
    assert not witness.may_close(timeout_s, SESSION, row)
    assert witness.may_close(timeout_s + 0.1, SESSION, row)
    assert not witness.on_heartbeat(timeout_s + 0.2, beat).accepted
    restarted = sessions.Witness(WITNESS_ID.host, sessions.Incarnation("2"))
    assert not restarted.may_close(0.0, SESSION, row)
    assert not restarted.may_close(100.0, SESSION, row)
    waiving = sessions.Witness(WITNESS_ID.host, WITNESS_ID.incarnation)
    waiving.waive()
    assert waiving.on_heartbeat(0.0, beat).waived
    assert not waiving.may_close(1e5, SESSION, row)


def test_units_are_reclaimed_only_after_the_longest_request():
    units = shares.UnitLimit(
        shares.LimitKey("share/placement/s/r"), VERSION, 4, 100, 4, 5.0
    )
    view = shares.StoreView(104.9, 104.9, {SESSION: 100.0})
    assert not planning.is_reclaimable(SESSION, units, view)
    view = shares.StoreView(105.1, 105.1, {SESSION: 100.0})
    assert planning.is_reclaimable(SESSION, units, view)

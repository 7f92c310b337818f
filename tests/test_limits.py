import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from banyanshed.core import sessions
from tests import fleet

HOSTS = st.sampled_from(["h0", "h1", "h2", "h3"])
FAULTS = ["none", "lost before effect", "lost after effect", "late effect"]


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Hosts under load and random faults of hosts, network and store.

    fleet.Fleet asserts that a tenant's rate, a placement's concurrency and a
    link's bytes stay within their limits.
    """

    def __init__(self):
        super().__init__()
        self.fleet = fleet.Fleet(limits=fleet.make_limits(cap=12))
        self.fleet.overloaded = {"h0", "h1", "h2"}
        self.fleet.advance(15)

    @stateful.rule(names=st.sets(HOSTS))
    def overload(self, names):
        """Sends each of these hosts more load than the limits of all hosts."""
        self.fleet.overloaded = names

    @stateful.rule(seconds=st.sampled_from([0, 2, 8]))
    def idle_then_overload(self, seconds):
        """Lets tokens accrue, then resumes and overloads all hosts at once."""
        overloaded = self.fleet.overloaded
        self.fleet.overloaded = set()
        self.fleet.advance(seconds)
        for node in self.fleet.nodes.values():
            node.paused_until_s = 0.0
        self.fleet.overloaded = {"h0", "h1", "h2", "h3"}
        self.fleet.advance(1)
        self.fleet.overloaded = overloaded

    @stateful.rule(
        name=HOSTS,
        others=st.sets(HOSTS, min_size=1),
        seconds=st.sampled_from([3, 12, 60]),
    )
    def pause_while_others_take_shares(self, name, others, seconds):
        if name in self.fleet.nodes:
            until_s = self.fleet.now_s + seconds
            self.fleet.nodes[name].paused_until_s = until_s
        self.fleet.overloaded = others
        self.fleet.advance(seconds)

    @stateful.rule(seconds=st.sampled_from([0.25, 1, 2, 4, 8, 12]))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(name=HOSTS, fault=st.sampled_from(FAULTS))
    def inject_answer_fault(self, name, fault):
        if name in self.fleet.nodes:
            self.fleet.nodes[name].fault = fault

    @stateful.rule(name=HOSTS)
    def toggle_heartbeats(self, name):
        if name in self.fleet.nodes:
            node = self.fleet.nodes[name]
            node.heartbeats_blocked = not node.heartbeats_blocked

    @stateful.rule(name=HOSTS, seconds=st.sampled_from([1, 4, 7, 12, 60]))
    def pause(self, name, seconds):
        if name in self.fleet.nodes:
            until_s = self.fleet.now_s + seconds
            self.fleet.nodes[name].paused_until_s = until_s

    @stateful.rule(name=HOSTS)
    def kill(self, name):
        if name in self.fleet.nodes:
            self.fleet.kill(name)

    @stateful.rule(name=HOSTS)
    def replace(self, name):
        self.fleet.replace(name)

    @stateful.rule()
    def stop_or_start_store(self):
        self.fleet.store_down = not self.fleet.store_down

    @stateful.rule(name=HOSTS)
    def return_shares(self, name):
        if name in self.fleet.nodes:
            node = self.fleet.nodes[name]
            if not node.running:
                node.holder.release_all(self.fleet.clock(node))


@pytest.mark.invariant("tenant-rate")
@pytest.mark.invariant("region-load")
def test_limits_hold_whatever_fails():
    stateful.run_state_machine_as_test(
        LimitsMachine,
        settings=hypothesis.settings(
            max_examples=60,
            stateful_step_count=40,
            phases=[hypothesis.Phase.generate],
        ),
    )


@pytest.mark.invariant("tenant-rate")
def test_paused_host_admits_nothing_after_its_session_has_ended():
    hosts = fleet.Fleet(hosts=3)
    hosts.overloaded = {"h0", "h1"}
    hosts.advance(20)
    hosts.overloaded = set()
    hosts.advance(3)
    frozen, other = hosts.nodes["h0"], hosts.nodes["h1"]
    assert frozen.holder.tenants[fleet.TENANT].bucket.burst >= 4
    frozen.paused_until_s = hosts.now_s + 60
    hosts.overloaded = {"h1"}
    hosts.advance(25)
    assert other.holder.tenants[fleet.TENANT].bucket.rate > 14
    hosts.overloaded = set()
    hosts.advance(1)
    frozen.paused_until_s = 0.0
    now_s = hosts.clock(frozen)
    assert hosts.admit("h1", 20) >= 9
    assert hosts.admit("h0", 20) == 0
    assert frozen.holder.acquire(now_s, fleet.BOOKINGS, fleet.SASK) is None
    reservation = frozen.holder.reserve_bytes(
        now_s, fleet.SASK, fleet.ALBERTA, 1.0
    )
    assert reservation is None
    hosts.overloaded = {"h0", "h1", "h2"}
    hosts.advance(20)
    hosts.overloaded = set()
    hosts.advance(2)
    assert hosts.admit("h0", 1) == 1
    assert frozen.holder.valid(hosts.clock(frozen))


@pytest.mark.invariant("tenant-rate")
def test_partitioned_region_keeps_using_its_shares_for_an_hour():
    hosts = fleet.Fleet(hosts=4, lease_s=sessions.LEASE_S)
    here, there = hosts.names[:2], hosts.names[2:]
    for side in (here, there):
        for name in side:
            hosts.nodes[name].holder.set_peers(side)
    hosts.overloaded = set(hosts.names)
    hosts.advance(30)
    hosts.overloaded = set()
    hosts.partitioned = frozenset(here)
    served = dict.fromkeys(hosts.names, 0)
    for _ in range(60):
        hosts.advance(60)
        for name in hosts.names:
            served[name] += hosts.admit(name, 20)
    assert all(count >= 60 for count in served.values()), served
    hosts.partitioned = frozenset()
    hosts.overloaded = set(hosts.names)
    hosts.advance(30)
    keys = [key for key in hosts.table.rows if key.startswith("session/")]
    assert len(keys) == 4

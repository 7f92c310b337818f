"""Membership, freshness and spread of versions over a lossy network."""

import dataclasses
import math
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from banyanshed.core import freshness
from banyanshed.core import gossip
from banyanshed.core import membership
from banyanshed.core import models
from benchmarks import simulated_network

LIVE = models.HostState.LIVE
LEAVING = models.HostState.LEAVING
SUSPECTED = models.HostState.SUSPECTED
CONVERGENCE_S = 40
WITHDRAWAL_TICKS = 5


def start_fleet(hosts, seed=1, regions=3, **wiring):
    """Starts hosts that have the platform's list and have exchanged gossip."""
    net = simulated_network.SimulatedNetwork(
        seed, simulated_network.LinkConditions(**wiring)
    )
    nodes = [net.add(number, regions) for number in range(hosts)]
    net.publish_host_list()
    net.run(10)
    return net, nodes


def state_of(node, other):
    return node.core.members.state(other.profile.host)


def live_ids(node):
    return [profile.host for profile in node.core.members.live_hosts()]


def cut_between(*groups):
    """Returns a function that partitions hosts of different groups."""
    sides = [{node.profile.host for node in group} for group in groups]
    return lambda a, b: not any(a in side and b in side for side in sides)


@pytest.mark.invariant("keys")
@pytest.mark.invariant("config")
class FleetMachine(stateful.RuleBasedStateMachine):
    """Injects faults in any order.

    The bounds on ages hold at all times; some time after partitions and pauses
    have ended, the hosts agree on the version and the membership.
    """

    HOSTS = 6
    numbers = strategies.integers(0, HOSTS - 1)

    def __init__(self):
        super().__init__()
        self.net = simulated_network.SimulatedNetwork(
            7,
            simulated_network.LinkConditions(
                delay_s=(0.001, 0.4), loss=0.05, repeats=0.1
            ),
        )
        for number in range(self.HOSTS):
            self.net.add(number)
        self.net.publish_host_list()
        self.versions = {}
        self.last_run_s = {}
        self.cuts = set()
        self.net.conditions.cut = lambda a, b: (a, b) in self.cuts
        self.net.run(5)

    def nodes(self):
        return list(self.net.nodes.values())

    @stateful.rule(duration_s=strategies.integers(1, 12))
    def run(self, duration_s):
        for _ in range(2 * duration_s):
            self.net.run(0.5)
            self.check()

    @stateful.rule(number=numbers)
    def accept_change(self, number):
        node = self.nodes()[number]
        if node.running and node.reads_store:
            version = self.net.accept()
            requests = node.core.on_version(self.net.now_s, version)
            self.net.send(node, requests)

    @stateful.rule(number=numbers, running=strategies.booleans())
    def freeze_or_resume(self, number, running):
        self.nodes()[number].running = running

    @stateful.rule(number=numbers)
    def replace(self, number):
        address = self.nodes()[number].profile.peer_address
        self.versions.pop(self.net.nodes[address].core, None)
        node = self.net.add(number)
        profiles = [each.profile for each in self.nodes()]
        node.core.members.update_list(profiles)

    @stateful.rule(numbers=strategies.sets(numbers), both=strategies.booleans())
    def cut(self, numbers, both):
        ids = [node.profile.host for node in self.nodes()]
        inside = {ids[number] for number in numbers}
        for a in inside:
            for b in set(ids) - inside:
                self.cuts.add((a, b))
                if both:
                    self.cuts.add((b, a))

    @stateful.rule()
    def heal(self):
        self.cuts.clear()

    @stateful.rule(numbers=strategies.sets(numbers))
    def store_outage(self, numbers):
        for number, node in enumerate(self.nodes()):
            node.reads_store = number not in numbers

    @stateful.rule()
    def settle(self):
        """Ends partitions and pauses, and checks that the hosts converge."""
        self.cuts.clear()
        for node in self.nodes():
            node.running = True
        self.run(CONVERGENCE_S)
        newest = len(self.net.accepted_s) - 1
        ids = sorted(node.profile.host for node in self.nodes())
        for node in self.nodes():
            assert node.core.freshness.version == newest
            assert live_ids(node) == ids

    @stateful.invariant()
    def check(self):
        now_s = self.net.now_s
        accepted_s = [*self.net.accepted_s, math.inf]
        for node in self.nodes():
            host = node.profile.host
            known_s = self.last_run_s.get(host, 0.0)
            self.last_run_s[host] = max(known_s, node.last_run_s)
        for node in self.nodes():
            fresh = node.core.freshness
            assert fresh.version >= self.versions.get(node.core, 0)
            self.versions[node.core] = fresh.version
            superseded_s = accepted_s[fresh.version + 1]
            assert fresh.config_age_s(now_s) >= now_s - superseded_s
            for host, at_s in fresh.contacts.items():
                assert at_s <= self.last_run_s[host]


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=20, deadline=None
)


@pytest.mark.invariant("config")
def test_hosts_converge_after_an_outage_a_change_and_a_replacement():
    # Steps found by FleetMachine: three hosts still suspect the replaced host
    # when the time for convergence is over.
    fleet = FleetMachine()
    fleet.store_outage(numbers={1})
    fleet.settle()
    fleet.run(18)
    fleet.accept_change(number=2)
    fleet.replace(number=4)
    fleet.settle()


@pytest.mark.invariant("keys")
@pytest.mark.parametrize("hosts", [3, 25, 60])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_withdrawal_reaches_hosts_without_store_access(hosts, loss):
    net, nodes = start_fleet(hosts, loss=loss)
    for node in nodes[1:]:
        node.reads_store = False
    net.run(20)
    for _ in range(5):
        version = net.accept()
        net.run(WITHDRAWAL_TICKS * net.interval_s)
        behind = [n for n in nodes if n.core.freshness.version < version]
        assert not behind


@pytest.mark.invariant("keys")
def test_keys_are_refused_only_where_a_withdrawal_could_be_missed():
    net, nodes = start_fleet(12)
    store = [
        n for n in nodes if n.profile.region == simulated_network.STORE_REGION
    ]
    others = [n for n in nodes if n not in store]

    def usable(group):
        return [n.core.freshness.keys_usable(net.now_s) for n in group]

    # The store is down, so no key can be withdrawn: all hosts keep serving.
    for node in nodes:
        node.reads_store = False
    net.run(600)
    assert all(usable(nodes))
    # The other regions are partitioned from the store's region for an hour. The
    # store may have accepted a withdrawal that they cannot learn of.
    net.conditions.cut = cut_between(store, others)
    net.run(simulated_network.MAX_KEY_AGE_S + 1)
    assert all(usable(store))
    assert not any(usable(others))
    net.run(3600)
    for node in store:
        node.reads_store = True
    version = net.accept()
    net.run(WITHDRAWAL_TICKS)
    assert not any(usable(others))
    # After the partition, hosts get the change before they accept keys again.
    net.conditions.cut = lambda *_: False
    for _ in range(150):
        net.run(0.2)
        for node in others:
            if node.core.freshness.keys_usable(net.now_s):
                assert node.core.freshness.version == version
    assert all(usable(nodes))
    assert all(len(live_ids(node)) == 12 for node in nodes)


def test_isolated_host_refuses_keys():
    net, nodes = start_fleet(6)
    isolated = nodes[0]
    isolated.reads_store = False
    net.conditions.cut = cut_between(nodes[1:], [isolated])
    net.run(simulated_network.MAX_KEY_AGE_S + 0.5)
    assert isolated.profile.region == simulated_network.STORE_REGION
    assert not isolated.core.freshness.keys_usable(net.now_s)


def test_sole_host_in_store_region_counts_its_own_contact():
    net, nodes = start_fleet(2)
    for node in nodes:
        node.reads_store = False
    net.run(60)
    usable = [n.core.freshness.keys_usable(net.now_s) for n in nodes]
    assert usable == [True, True]


def test_new_host_learns_members_and_version_from_peers():
    net, nodes = start_fleet(25)
    version = net.accept()
    net.run(5)
    for node in nodes:
        node.reads_store = False
    seeds = tuple(node.profile.peer_address for node in nodes[:2])
    new_host = net.add(25, seeds=seeds)
    new_host.reads_store = False
    net.run(12)
    assert new_host.core.freshness.version == version
    assert new_host.core.freshness.keys_usable(net.now_s)
    assert len(live_ids(new_host)) == 26
    assert all(len(live_ids(node)) == 26 for node in nodes)


def test_hosts_that_know_only_seeds_form_one_fleet():
    net = simulated_network.SimulatedNetwork(
        3, simulated_network.LinkConditions()
    )
    seeds = ("10.0.0.0:8081", "10.0.0.1:8081")
    nodes = [net.add(number, seeds=seeds) for number in range(25)]
    net.run(60)
    assert {len(live_ids(node)) for node in nodes} == {25}


def test_dead_host_is_suspected_and_its_replacement_becomes_live():
    net, nodes = start_fleet(25)
    nodes[7].running = False
    net.run(15)
    rest = nodes[:7] + nodes[8:]
    assert {state_of(node, nodes[7]) for node in rest} == {SUSPECTED}
    joined = net.add(7)
    net.publish_host_list()
    net.run(15)
    assert {state_of(node, joined) for node in rest} == {LIVE}
    incarnation = joined.core.members.own.incarnation
    for node in rest:
        member = node.core.members.members[joined.profile.host]
        assert member.incarnation == incarnation


def test_leaving_host_announces_it():
    net, nodes = start_fleet(25)
    nodes[3].core.members.leave(net.now_s)
    net.send(nodes[3], nodes[3].core.announce(net.now_s))
    net.run(3)
    assert {state_of(node, nodes[3]) for node in nodes} == {LEAVING}


def test_host_restarted_after_a_planned_stop_is_live_at_once():
    net, nodes = start_fleet(25)
    for number in (3, 8):
        nodes[number].core.members.leave(net.now_s)
        net.send(nodes[number], nodes[number].core.announce(net.now_s))
    net.run(5)
    joined = [net.add(number) for number in (3, 8)]
    for node in joined:
        node.core.members.update_list([n.profile for n in nodes])
    net.run(6)
    states = {state_of(a, b) for a in net.nodes.values() for b in joined}
    assert states == {LIVE}


def test_stale_host_list_neither_hides_nor_revives_hosts():
    net, nodes = start_fleet(6)
    listed = [node.profile for node in nodes]
    nodes[5].running = False
    net.run(15)
    for node in nodes[:5]:
        node.core.members.update_list(listed)
        assert state_of(node, nodes[5]) is SUSPECTED
        # A live host missing from the list stays live; a host that is leaving
        # only according to the list is leaving.
        node.core.members.update_list(
            [dataclasses.replace(listed[1], state=LEAVING)]
        )
        assert state_of(node, nodes[0]) is LIVE
        assert state_of(node, nodes[1]) is LEAVING


def test_host_that_receives_no_requests_stays_suspected():
    net, nodes = start_fleet(9)
    deaf = nodes[4].profile.host
    net.conditions.drops_requests_to = lambda host: host == deaf
    net.run(20)
    rest = [node for node in nodes if node is not nodes[4]]
    for _ in range(40):
        net.run(0.5)
        assert {state_of(node, nodes[4]) for node in rest} == {SUSPECTED}
    net.conditions.drops_requests_to = lambda _: False
    net.run(20)
    assert {state_of(node, nodes[4]) for node in rest} == {LIVE}


def test_indirect_probes_prevent_suspicion_in_a_partial_partition():
    net, nodes = start_fleet(9)
    pair = {nodes[0].profile.host, nodes[1].profile.host}
    net.conditions.cut = lambda a, b: {a, b} == pair
    for _ in range(60):
        net.run(0.5)
        assert all(len(live_ids(node)) == 9 for node in nodes)


def test_host_resumed_after_a_pause_suspects_no_host():
    net, nodes = start_fleet(9)
    frozen = nodes[2]
    for _ in range(2):
        for other in nodes[3:]:
            frozen.core.on_failure(net.now_s, other.profile.host)
    frozen.running = False
    net.run(30)
    assert {state_of(node, frozen) for node in nodes[3:]} == {SUSPECTED}
    frozen.running = True
    for _ in range(40):
        net.run(0.25)
        assert live_ids(frozen) == [n.profile.host for n in nodes]
    assert {state_of(node, frozen) for node in nodes} == {LIVE}


def test_suspected_unlisted_host_expires():
    rng = random.Random(1)
    own = (
        simulated_network.SimulatedNetwork(
            1, simulated_network.LinkConditions()
        )
        .add(0)
        .profile
    )
    members = membership.Membership(own, 1, rng)
    other = dataclasses.replace(own, host="other", region="elsewhere")
    entry = membership.MemberEntry("other", 5, 0, LIVE, other)
    members.merge(0.0, entry)
    members.suspect(10.0, "other", 0)
    members.sweep(10.0 + membership.EXPIRY_S)
    assert members.state("other") is SUSPECTED
    members.sweep(10.1 + membership.EXPIRY_S)
    assert members.state("other") is None
    assert members.region_sizes["elsewhere"] == 0


def test_two_processes_with_one_host_id_are_detected():
    net, nodes = start_fleet(4)
    duplicate = net.add(0)
    net.nodes["10.9.9.9:1"] = nodes[0]
    nodes[0].profile = dataclasses.replace(
        nodes[0].profile, peer_address="10.9.9.9:1"
    )
    net.publish_host_list()
    net.call(0.1, net._tick, nodes[0])
    net.run(30)
    conflicts = duplicate.core.members.conflicting_incarnations
    assert conflicts[nodes[0].core.members.own.incarnation] > 1


@pytest.mark.invariant("config")
def test_older_peer_does_not_revert_the_version_and_is_not_fetched_from():
    net, nodes = start_fleet(3)
    node = nodes[0].core
    node.on_version(net.now_s, 9)
    assert node.on_version(net.now_s, 4) == []
    assert node.freshness.version == 9
    node.on_reply(net.now_s, net.now_s, nodes[1].core._message(net.now_s))
    assert node.next_fetch(net.now_s) is None
    # A read of the store that returns an older version confirms nothing.
    node.freshness.on_store_read(net.now_s + 60, 4)
    assert node.freshness.config_age_s(net.now_s + 60) > 59


@pytest.mark.invariant("keys")
def test_ages_count_from_the_request_and_apply_once_the_version_is_held():
    config_freshness = freshness.Freshness("a", "far", "near", max_key_age_s=4)
    contacts = [
        freshness.StoreRegionContact("n", 1.0),
        freshness.StoreRegionContact("a", 0.0),
    ]
    config_freshness.on_reply(100.0, 0, 2.0, contacts)
    assert (
        config_freshness.config_age_s(103),
        config_freshness.contact_age_s(103),
    ) == (
        5.0,
        4.0,
    )
    assert config_freshness.keys_usable(103.0)
    assert not config_freshness.keys_usable(103.1)
    config_freshness.on_reply(
        110.0, 5, 0.0, [freshness.StoreRegionContact("n", 0.0)]
    )
    assert not config_freshness.keys_usable(110.0)
    config_freshness.on_version(4)
    assert not config_freshness.keys_usable(110.0)
    config_freshness.on_version(5)
    assert config_freshness.keys_usable(114.0)


def test_messages_stay_bounded_in_a_large_fleet():
    net = simulated_network.SimulatedNetwork(
        2, simulated_network.LinkConditions()
    )
    for number in range(200):
        net.add(number)
    net.publish_host_list()
    sizes = []
    net.on_message = lambda _, message: sizes.append(len(message.entries))
    net.run(10)
    assert max(sizes) <= gossip.MAX_ENTRY_UNITS + 1
    assert len(sizes) < 200 * 10 * 4


@pytest.mark.invariant("keys")
def test_store_outage_refuses_no_key_in_a_large_fleet():
    net, nodes = start_fleet(120, regions=4, loss=0.05)
    for node in nodes:
        node.reads_store = False
    for _ in range(60):
        net.run(0.5)
        assert all(n.core.freshness.keys_usable(net.now_s) for n in nodes)

"""Hosts that keep the limits of backend servers together, without a network."""

import random

import pytest

from banyanshed.steering import limits as limits_lib
from banyanshed.steering import members
from banyanshed.steering import outliers
from banyanshed.steering import placement
from banyanshed.steering import throttling
from banyanshed.steering import warmth
from tests import steering_cases as cases
from tests import test_relays
from tests import test_server_limits

LIMITED = "i0"
REJECTION = placement.Rejection
STEP_S = 0.05
# The rule counts a host from this long after its first response with a limit.
NOTICE_S = test_server_limits.NOTICE_S


class Case:
    """A fleet whose callers ask for more than one server may get."""

    def __init__(self, hosts, rate, seed=1, demand=None):
        self.fleet = test_relays.Fleet(hosts)
        # Two servers in each region; i0 is in zone a1.
        self.view = self.fleet.view
        for index, zone in enumerate(test_relays.ZONES):
            entry = cases.make_entry(f"i{index}", zone, slots=40)
            self.view.put_server(entry, 0.0, 10**6)
        for index in range(len(test_relays.ZONES), 8):
            self.view.drop_server(f"i{index}", 0.0, 0.0)
        self.view.zones.clear()
        self.view.zones.update(test_relays.ZONES)
        self.rate = rate
        self.rng = random.Random(seed)
        self.demand = demand or 20.0 * len(self.view.servers)
        self.told_at = {}
        self.arrivals = []
        self.counted = []
        self.rejected = []

    def run(self, start, end):
        self.fleet.run(start, end, self.send_requests)

    def send_requests(self, host, now):
        expected = self.demand * STEP_S / len(self.fleet.up())
        while self.rng.random() < expected:
            expected -= 1.0
            self.send(host, now)

    def send(self, host, now):
        request = placement.PlacementRequest(
            cases.ROUTE, "s", str(self.rng.randrange(200)), (), 0, (), 1.0
        )
        choice = host.placing.choose(request, now)
        if isinstance(choice, placement.Rejection):
            self.rejected.append((now, choice))
            return
        server = choice.server.registration
        if server.id != LIMITED:
            return
        self.arrivals.append(now)
        if now >= self.told_at.get(host, float("inf")) + NOTICE_S:
            self.counted.append(now)
        if self.rate is not None:
            self.told_at.setdefault(host, now)
        host.limits.observe(server, self.rate, now)

    def rates(self, now):
        server = self.view.servers[LIMITED].registration
        return {host.limits.rate(server) for host in self.fleet.up()}

    def restart(self, host, now):
        """Replaces a host's process by one that knows nothing."""
        ids = [other.identity.id for other in self.fleet.hosts]
        fresh = test_relays.Host(
            host.number, ids, self.view, host.identity.started_ms + 1
        )
        for other in self.fleet.hosts:
            if other is not host:
                fresh.fleet.discover(other.identity, now)
        self.fleet.hosts[self.fleet.hosts.index(host)] = fresh
        self.fleet.by_ip[fresh.identity.ip] = fresh
        # A host announces itself before it serves its first caller.
        fresh.now = now
        self.fleet.send_heartbeat(fresh, now)

    def senders(self, now):
        return [
            host
            for host in self.fleet.up()
            if LIMITED in host.placing.throttle.buckets
            and host.placing.throttle.buckets[LIMITED].rate > 0.0
        ]


def most_in_window(arrivals):
    return test_server_limits.most_in_window(arrivals)


def steady_most(rate):
    """Returns the most requests in a window without faults.

    Each sender may have saved one token.
    """
    saved = max(1.0, throttling.SENDERS_PER_RATE * rate)
    return rate * test_server_limits.WINDOW_S + saved + 1.0


@pytest.mark.parametrize("hosts", [3, 25, 123])
@pytest.mark.parametrize("rate", [0.2, 1.0, 4.7, 12.0])
def test_all_hosts_together_keep_a_limit(hosts, rate):
    case = Case(hosts, None)
    case.run(0.0, 4.0)
    case.rate = rate
    case.run(4.0, 24.0)
    assert most_in_window(case.counted) <= test_server_limits.allowed_in_window(
        rate
    )
    steady = [at for at in case.arrivals if at >= 8.0]
    assert most_in_window(steady) <= steady_most(rate)
    assert case.rates(24.0) == {rate}
    # The limit is used, and no caller is rejected while others have room.
    assert len(steady) >= min(1.0, 0.25 * rate * 16.0)
    assert not case.rejected


def within_rule(case, rate):
    return most_in_window(case.counted) <= test_server_limits.allowed_in_window(
        rate
    )


def kill_and_restart(case, now, hosts):
    """Kills hosts; they start again two seconds later."""
    for host in hosts:
        case.fleet.down.add(host)
    case.run(now, now + 2.0)
    for host in hosts:
        case.fleet.down.discard(host)
        case.restart(host, now + 2.0)


@pytest.mark.parametrize("share", [0.1, 1.0])
def test_hosts_with_more_demand_get_a_larger_part_of_a_limit(share):
    # All servers have a limit, and all callers of a region ask half of its
    # hosts; the others get a share of their demand.
    rate = 16.0
    case = Case(24, None)
    servers = list(case.view.servers.values())
    for host in case.fleet.hosts:
        for server in servers:
            host.limits.observe(server.registration, rate, 0.0)
    served = []

    def send_requests(host, now):
        demand = 12.0 if host.number % 4 < 2 else 12.0 * share
        expected = demand * STEP_S
        while case.rng.random() < expected:
            expected -= 1.0
            key = str(case.rng.randrange(200))
            if not isinstance(choose(host.placing, now, (), key), REJECTION):
                served.append(now)

    case.fleet.run(0.0, 30.0, send_requests)
    demand = 12.0 * 12 * (1.0 + share)
    possible = min(demand, rate * len(servers))
    steady = [at for at in served if at >= 10.0]
    assert len(steady) >= 0.75 * possible * 20.0


@pytest.mark.parametrize("hosts", [25, 123])
@pytest.mark.parametrize("rate", [0.2, 4.7])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_limit_holds_while_hosts_are_killed_and_restart(hosts, rate, seed):
    case = Case(hosts, rate, seed)
    case.run(0.0, 6.0)
    start = 6.0
    for _ in range(6):
        killed = case.rng.sample(case.fleet.hosts, hosts // 4)
        killed += [host for host in case.senders(start) if host not in killed]
        kill_and_restart(case, start, killed)
        end = start + 2.0 + 2.0 * case.rng.random()
        case.run(start + 2.0, end)
        start = end
    assert within_rule(case, rate)
    # A restarted host learns the limit although the server told it nothing.
    assert case.rates(start) == {rate}


@pytest.mark.parametrize("hosts", [25, 123])
def test_a_limit_holds_when_the_relays_are_killed(hosts):
    rate = 4.7
    case = Case(hosts, rate)
    case.run(0.0, 6.0)
    relaying = [
        host
        for host in case.fleet.hosts
        if host.relays.own_index(6.0) is not None
    ]
    case.fleet.down.update(relaying)
    case.run(6.0, 16.0)
    assert within_rule(case, rate)


@pytest.mark.parametrize("hosts", [25, 123])
def test_a_leaving_host_gives_up_its_part_of_a_limit(hosts):
    rate = 4.7
    case = Case(hosts, rate)
    case.run(0.0, 8.0)
    leaving = case.senders(8.0)
    for host in leaving:
        host.fleet.own_state = members.HostState.LEAVING
    before = len(case.arrivals)
    case.run(8.0, 20.0)
    assert most_in_window(case.arrivals[before:]) <= steady_most(rate)
    # Others send in their place.
    assert len(case.arrivals) > before
    assert not set(leaving) & set(case.senders(20.0))


@pytest.mark.parametrize("cut_s", [10.0, 25.0])
def test_a_host_that_is_cut_off_keeps_its_part_of_a_limit(cut_s):
    rate = 4.7
    case = Case(25, rate)
    case.run(0.0, 8.0)
    sender = case.senders(8.0)[0]
    # Nobody hears of the host, and it still sends requests to the server.
    case.fleet.down.add(sender)
    start = 8.0
    while start < 8.0 + cut_s:
        for _ in range(8):
            sender.now = start
            sender.placing.throttle.record_run(start)
            case.send(sender, start)
        case.run(start, start + STEP_S)
        start += STEP_S
    steady = [at for at in case.arrivals if at > 8.0]
    assert most_in_window(steady) <= steady_most(rate)


def test_a_host_that_stood_still_uses_no_token_from_before():
    case = Case(25, 4.7)
    case.run(0.0, 8.0)
    sender = case.senders(8.0)[0]
    server = case.view.servers[LIMITED]
    throttle = sender.placing.throttle
    while not throttle.has_token(server, sender.now):
        sender.now += STEP_S
        throttle.record_run(sender.now)
    taken_at = sender.now
    woken_at = taken_at + 20.0
    assert throttle.is_valid(server, taken_at, taken_at + 0.1)
    assert not throttle.is_valid(server, taken_at, woken_at)
    assert not throttle.has_token(server, woken_at)
    throttle.record_run(woken_at)
    assert not throttle.has_token(server, woken_at)


@pytest.mark.parametrize("hosts", [25, 123])
def test_a_lowered_limit_binds_all_hosts(hosts):
    case = Case(hosts, 12.0)
    case.run(0.0, 10.0)
    case.rate = 1.0
    case.run(10.0, 24.0)
    assert case.rates(24.0) == {1.0}
    later = [at for at in case.arrivals if at >= 13.0]
    assert most_in_window(later) <= steady_most(1.0)


@pytest.mark.parametrize("hosts", [25, 123])
@pytest.mark.parametrize("rate", [20.0, None])
def test_a_raised_or_ended_limit_is_used(hosts, rate):
    case = Case(hosts, 1.0)
    case.run(0.0, 10.0)
    case.rate = rate
    case.run(10.0, 24.0)
    assert case.rates(24.0) == {rate}
    later = [at for at in case.arrivals if at >= 16.0]
    limited = [at for at in case.arrivals if 6.0 <= at < 10.0]
    assert len(later) / 8.0 > 2.0 * len(limited) / 4.0
    if rate is not None:
        assert most_in_window(later) <= steady_most(rate)


def test_a_host_that_missed_the_end_of_a_limit_learns_of_it():
    case = Case(25, 1.0)
    case.run(0.0, 8.0)
    missed = next(
        host
        for host in case.fleet.hosts
        if host not in case.senders(8.0) and host.relays.own_index(8.0) is None
    )
    case.fleet.down.add(missed)
    case.rate = None
    case.run(8.0, 40.0)
    assert missed.limits.rate(case.view.servers[LIMITED].registration) == 1.0
    case.fleet.down.clear()
    # It sends nothing itself: only its peers can tell.
    case.demand = 0.0
    case.run(40.0, 50.0)
    assert case.rates(50.0) == {None}


def test_a_server_that_takes_no_requests_is_asked_from_time_to_time():
    case = Case(25, 0.0)
    case.run(0.0, 130.0)
    later = [at for at in case.arrivals if at > 5.0]
    assert 1 <= len(later) <= 125.0 * throttling.TRIAL_RATE + 1.0
    case.rate = None
    case.run(130.0, 170.0)
    assert case.rates(170.0) == {None}


def test_no_more_requests_are_sent_when_no_caller_asks_for_long():
    case = Case(25, 4.7)
    case.run(0.0, 6.0)
    case.demand, demand = 0.0, case.demand
    case.run(6.0, 60.0)
    case.demand = demand
    case.run(60.0, 70.0)
    assert most_in_window([at for at in case.arrivals if at > 6.0]) <= (
        steady_most(4.7)
    )


def make_limited(rates, **fields):
    """Returns a placement at which servers named limits at time 0."""
    view = cases.make_view(4)
    placing = cases.make_placement(view, **fields)
    for id_, rate in rates.items():
        server = view.servers[id_].registration
        placing.throttle.limits.observe(server, rate, 0.0)
    return placing


def choose(placing, now, tried=(), key="o"):
    request = placement.PlacementRequest(
        cases.ROUTE, "s", key, (), 0, tried, 1.0
    )
    return placing.choose(request, now)


def count_requests(placing, server, seconds, tried=()):
    """Returns how many of 100 requests a second go to a server."""
    count = 0
    for step in range(int(seconds * 100)):
        choice = choose(placing, step / 100, tried)
        if isinstance(choice, placement.Rejection):
            continue
        count += choice.server.registration.id == server
    return count


def test_requests_are_rejected_at_once_when_all_servers_are_at_their_limit():
    placing = make_limited({f"i{number}": 0.8 for number in range(4)})
    rejection = choose(placing, 0.01)
    assert rejection.reason == "servers_limited"
    assert 0.5 < rejection.retry_after_s <= placement.MAX_RETRY_AFTER_S
    assert "limited=4" in rejection.inputs
    choice = choose(placing, 1.3)
    assert choice.token_taken_at == 1.3


def test_a_lowered_limit_leaves_no_more_than_one_saved_request():
    placing = make_limited({"i0": 60.0})
    others = ("i1", "i2", "i3")
    assert count_requests(placing, "i0", 1.0, others) > 30
    server = placing.view.servers["i0"]
    assert placing.throttle.has_token(server, 3.0)
    placing.throttle.limits.observe(server.registration, 0.5, 3.0)
    taken = 0
    while not isinstance(choose(placing, 3.01, others), placement.Rejection):
        taken += 1
    assert taken <= 1


def test_requests_do_not_scatter_over_servers_at_their_limits():
    names = [f"i{number}" for number in range(4)]
    placing = make_limited(dict.fromkeys(names, 0.5))
    found = placing._order("s", "o")
    order = [server.registration.id for server in found]
    last = found[3]
    placing.throttle.limits.observe(last.registration, 50.0, 0.5)
    placing.throttle.has_token(last, 0.5)
    rejection = choose(placing, 1.0)
    assert rejection.reason == "servers_limited"
    # The time until one of the first servers has a token, not at once.
    assert rejection.retry_after_s == placement.MAX_RETRY_AFTER_S
    pair = warmth.hash_pair("r", "o", order[3])
    placing.warmth.add_pairs([pair], 1.0)
    assert choose(placing, 1.0).server.registration.id == order[3]
    # A server without a limit takes any request.
    placing.warmth.pairs.clear()
    placing.throttle.limits.observe(last.registration, None, 2.0)
    assert choose(placing, 2.0).server.registration.id == order[3]


def test_a_retry_goes_to_a_limited_server_only_within_its_limit():
    placing = make_limited({"i0": 2.0})
    others = ("i1", "i2", "i3")
    assert 8 <= count_requests(placing, "i0", 5.0, others) <= 10


def test_probes_of_an_ejected_server_count_toward_its_limit():
    placing = make_limited({"i0": 0.2})
    placing.health.outliers.ejections["i0"] = outliers.Ejection(0.0, True, 0.0)
    for _ in range(20):
        placing.health.outliers.record_attempt("i0", True, 0.0)
    placing.health.outliers.ejections["i0"].next_probe_at = 0.0
    assert count_requests(placing, "i0", 15.0, ("i1", "i2", "i3")) <= 3


def test_a_cold_server_gets_no_more_than_its_limit():
    view = cases.make_view(0)
    entry = cases.make_entry("i0", cold_left_s=30.0)
    view.put_server(entry, 0.0, 10**6)
    placing = cases.make_placement(view)
    placing.throttle.limits.observe(entry, 0.5, 0.0)
    assert 1 <= count_requests(placing, "i0", 10.0) <= 5


def test_a_server_that_named_a_limit_while_it_was_connected_to_gets_nothing():
    placing = make_limited({})
    choice = choose(placing, 1.0)
    assert placing.may_send(choice, 1.1)
    server = choice.server.registration
    placing.throttle.limits.observe(server, 5.0, 1.2)
    assert not placing.may_send(choice, 1.3)
    others = set(placing.view.servers) - {server.id}
    assert isinstance(choose(placing, 2.0, others), placement.Rejection)
    choice = choose(placing, 2.3, others)
    assert placing.may_send(choice, 2.4)


def test_a_limit_ends_with_the_servers_process():
    placing = make_limited({"i0": 0.1})
    limits = placing.throttle.limits
    restarted = cases.make_entry("i0", started_ms=2000)
    placing.view.put_server(restarted, 1.0, 10**6)
    assert limits.rate(restarted) is None


def test_a_limit_outlasts_an_entry_that_lapses_and_comes_back():
    placing = make_limited({"i0": 0.1})
    limits = placing.throttle.limits
    entry = placing.view.servers["i0"].registration
    placing.view.drop_server("i0", 1.0, 0.0)
    limits.drop_absent(2.0)
    placing.view.put_server(entry, 3.0, 10**6)
    assert limits.rate(entry) == 0.1
    placing.view.drop_server("i0", 3.0, 0.0)
    limits.drop_absent(limits_lib.ABSENT_SERVER_S)
    assert limits.known == {}


def test_a_response_that_was_overtaken_does_not_end_a_limit():
    placing = make_limited({"i0": 0.1})
    limits = placing.throttle.limits
    entry = placing.view.servers["i0"].registration
    limits.observe(entry, None, 0.2)
    assert limits.rate(entry) == 0.1
    older = limits_lib.LimitReport(None, 5.0)
    limits.apply_reports({"i0": older}, 3.0)
    assert limits.rate(entry) == 0.1
    limits.observe(entry, None, 1.0)
    assert limits.rate(entry) is None


def test_peers_contradict_a_limit_that_nobody_confirms():
    ended = make_limited({}).throttle.limits
    stale = make_limited({"i0": 3.0}).throttle.limits
    entry = stale.view.servers["i0"].registration
    ended.observe(entry, None, 20.0)
    assert stale.report(limits_lib.REPORT_S + 1.0) == {}
    now = 40.0
    assert ended.report(now) == {}
    assert ended.apply_reports(stale.report(now), now) == []
    [change] = stale.apply_reports(ended.report(now + 0.5), now + 0.5)
    assert change.rate is None and change.previous == 3.0
    assert ended.report(now + limits_lib.REPORT_S + 1.0) == {}

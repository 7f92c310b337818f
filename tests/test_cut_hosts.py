"""Hosts that are cut off from all backend servers, but not from their peers."""

import asyncio
import dataclasses
import enum
import random

import pytest

from banyanshed.gateway import clients
from banyanshed.gateway import messages
from banyanshed.gateway import peer_forwarding
from banyanshed.steering import members
from tests import gateway_fleet


class Cut(enum.Enum):
    """What becomes of connections to servers in a cut.

    Attributes:
        SILENT: Those that are open hang, and so do new ones.
        RESET: Those that are open are reset, new ones are refused.
        REFUSED: Those that are open live on, new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"


def cut_off(fleet, name, how):
    """Cuts a host off from all servers."""
    host = fleet.hosts[name]
    servers = {server.address for server in fleet.servers.values()}

    async def connect(address, timeout_s, response_memory):
        if address not in servers:
            return await clients.open_connection(
                address, timeout_s, response_memory
            )
        if how is Cut.SILENT:
            await asyncio.sleep(timeout_s)
            raise clients.ConnectTimedOut("cut off")
        raise clients.ConnectFailed("cut off")

    host.connection_pools.connect = connect
    for connections in host.connection_pools.idle.values():
        for connection in connections:
            if how is Cut.RESET:
                connection.transport.abort()
            elif how is Cut.SILENT:
                connection.transport.write = lambda data: None
                connection.transport.pause_reading()


def heal(fleet, name):
    fleet.hosts[name].connection_pools.connect = clients.open_connection


async def wait_until_known(fleet):
    """Waits until all hosts hear each other and are ready."""
    for host in fleet.hosts.values():
        await fleet.wait_until(
            lambda known=host: (
                len(known.fleet.live(known.loop.time())) == len(fleet.hosts) - 1
            )
        )


async def call_until_served(fleet, name="h1", tries=30):
    """Sends requests as callers do in the first seconds of a cut."""
    for _ in range(tries):
        response = await fleet.call(name=name)
        if response.status == 200:
            return
    raise AssertionError("the host serves nothing")


def run_cut_host(scenario, **fields):
    """Runs a scenario in which one of the hosts serves through its peers."""

    async def run(fleet):
        await wait_until_known(fleet)
        cut_off(fleet, "h1", Cut.REFUSED)
        await call_until_served(fleet)
        await scenario(fleet)

    gateway_fleet.run_scenario(
        run, hosts=3, servers=("i1", "i2", "i3"), **fields
    )


def set_action(fleet, action):
    for server in fleet.servers.values():
        server.action = action


def runs_of(fleet, request_id):
    return sum(
        exchange.headers["x-banyanshed-request-id"] == request_id
        for exchange in gateway_fleet.all_exchanges(fleet)
    )


@pytest.mark.parametrize("how", list(Cut))
def test_a_host_that_reaches_no_server_serves_through_a_peer(how):
    async def scenario(fleet):
        await wait_until_known(fleet)
        await fleet.call()
        cut_off(fleet, "h1", how)
        await call_until_served(fleet)
        for number in range(10):
            method = "POST" if number % 2 else "GET"
            path = "/u/x" if number % 2 else "/r/x"
            response = await fleet.call(path, method=method, body=b"")
            assert (response.status, response.body) == (200, b"ok")
            assert runs_of(fleet, f"id{fleet.request_number}") == 1

    gateway_fleet.run_scenario(scenario, hosts=3, servers=("i1", "i2", "i3"))


def test_the_host_serves_itself_again_after_the_cut():
    async def scenario(fleet):
        await wait_until_known(fleet)
        cut_off(fleet, "h1", Cut.REFUSED)
        await call_until_served(fleet)
        host = fleet.hosts["h1"]
        await fleet.wait_until(lambda: host.reachability.is_cut)
        assert host.fleet.own_state.value == "cut"
        heal(fleet, "h1")
        await fleet.wait_until(lambda: not host.reachability.is_cut)
        assert host.fleet.own_state.value == "ready"
        before = host.counters.attempts.labels("s", "success")._value.get()
        assert (await fleet.call()).status == 200
        after = host.counters.attempts.labels("s", "success")._value.get()
        assert after == before + 1

    gateway_fleet.run_scenario(scenario, hosts=2, servers=("i1", "i2"))


def test_a_host_that_starts_within_a_cut_serves_through_a_peer():
    async def scenario(fleet):
        fleet.start_host("h3", gateway_fleet.host_ip(3))
        cut_off(fleet, "h3", Cut.SILENT)
        host = fleet.hosts["h3"]
        # A check may end before the host is ready.
        host.reachability.is_cut = True
        await fleet.wait_until(lambda: host.fleet.own_state.value == "cut")
        await call_until_served(fleet, "h3")

    gateway_fleet.run_scenario(scenario, hosts=2, servers=("i1", "i2", "i3"))


def test_hosts_that_are_all_cut_off_refuse_at_once_and_ask_no_further_peer():
    async def scenario(fleet):
        await wait_until_known(fleet)
        for name, host in fleet.hosts.items():
            cut_off(fleet, name, Cut.RESET)
            for _ in range(5):
                await fleet.call(name=name)
            await fleet.wait_until(lambda known=host: known.reachability.is_cut)
        response = await fleet.call("/u/x", method="POST")
        assert response.status == 503
        assert response.find(b"retry-after") is not None
        assert runs_of(fleet, f"id{fleet.request_number}") == 0

    gateway_fleet.run_scenario(scenario, hosts=3, servers=("i1", "i2"))


def test_an_unsafe_request_that_a_peer_lost_is_not_sent_again():
    async def scenario(fleet):
        async def reset(exchange):
            exchange.reset()

        set_action(fleet, reset)
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 502
        assert runs_of(fleet, f"id{fleet.request_number}") == 1

    run_cut_host(scenario)


def test_an_unsafe_request_to_a_peer_that_goes_silent_is_not_sent_again():
    async def scenario(fleet):
        set_action(fleet, gateway_fleet.answer_after(30.0))
        call = asyncio.ensure_future(
            fleet.call(
                "/u/x",
                method="POST",
                body=b"x",
                x_banyanshed_deadline_ms="500",
            )
        )
        assert (await call).status in (502, 504)
        assert runs_of(fleet, f"id{fleet.request_number}") == 1

    run_cut_host(scenario)


def test_a_refusal_of_a_peers_servers_says_that_the_request_has_not_run():
    async def scenario(fleet):
        async def reject(exchange):
            exchange.respond(503, b"", X_Banyanshed_Not_Executed="1")

        set_action(fleet, reject)
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 503
        assert response.find(b"retry-after") is not None

    run_cut_host(scenario)


def test_a_client_that_leaves_ends_its_request_at_the_server():
    async def scenario(fleet):
        set_action(fleet, gateway_fleet.answer_after(30.0))
        call = asyncio.ensure_future(
            fleet.call("/u/x", method="POST", body=b"x")
        )
        request_id = f"id{fleet.request_number + 1}"
        await fleet.wait_until(lambda: runs_of(fleet, request_id) == 1)
        call.cancel()
        await fleet.wait_until(
            lambda: any(s.cancelled for s in fleet.servers.values())
        )

    run_cut_host(scenario)


LONG_ROUTES = [
    gateway_fleet.route(timeout="100s"),
    gateway_fleet.route("u", "unsafe", timeout="100s"),
]
# Time between SIGTERM and SIGKILL in tests of stops, in seconds.
STOP_S = 3.0


def run_stopping_cut_host(scenario):
    """Runs a scenario in which hosts stop while one serves through peers."""

    async def run(fleet):
        for host in fleet.hosts.values():
            host.settings = dataclasses.replace(host.settings, stop_s=STOP_S)
        await scenario(fleet)

    config = gateway_fleet.configuration(1, LONG_ROUTES)
    run_cut_host(run, config=config)


def start_call(fleet, path="/u/x"):
    method = "POST" if path.startswith("/u/") else "GET"
    return asyncio.ensure_future(
        fleet.call(path, method=method, x_banyanshed_deadline_ms="60000")
    )


def set_peer_answers(fleet, *answers):
    """Lets h1's calls of its peers end in turn as given; later ones hang."""
    left = list(answers)

    class PeerConnection:
        async def send(self, request, id_header):
            del request, id_header
            if isinstance(self.answer, clients.ResponseLost):
                raise self.answer
            return self.answer

        def abort(self):
            pass

    async def acquire(*_):
        if not left:
            await asyncio.Event().wait()
        connection = PeerConnection()
        connection.answer = left.pop(0)
        if isinstance(connection.answer, clients.ConnectFailed):
            raise connection.answer
        return connection

    peer_pools = fleet.hosts["h1"].peer_pools
    peer_pools.acquire = acquire
    peer_pools.release = lambda *_: None
    return left


def peer_answer(status, result=None):
    headers = []
    if result is not None:
        headers.append((peer_forwarding.RESULT_HEADER, result.encode()))
    return messages.Response(status, headers)


# Guards against REFUSED: a stopping host answered 503, "not run", to a booking
# that its peer had sent to a server, which ran it (review/11).
@pytest.mark.parametrize("path", ["/r/x", "/u/x"])
def test_a_host_that_stops_denies_nothing_that_a_peer_may_have_run(path):
    async def scenario(fleet):
        set_action(fleet, gateway_fleet.answer_after(120.0))
        call = start_call(fleet, path)
        request_id = f"id{fleet.request_number + 1}"
        await fleet.wait_until(lambda: runs_of(fleet, request_id) == 1)
        fleet.hosts["h1"].stopping.set()
        assert (await call).status == 502
        assert runs_of(fleet, request_id) == 1

    run_stopping_cut_host(scenario)


def test_a_peer_that_stops_denies_nothing_that_its_server_may_have_run():
    async def scenario(fleet):
        set_action(fleet, gateway_fleet.answer_after(120.0))
        call = start_call(fleet)
        request_id = f"id{fleet.request_number + 1}"
        await fleet.wait_until(lambda: runs_of(fleet, request_id) == 1)
        for name in ("h2", "h3"):
            fleet.hosts[name].stopping.set()
        assert (await call).status == 502
        assert runs_of(fleet, request_id) == 1

    run_stopping_cut_host(scenario)


# Each first peer leaves the request as it is or may have run it; the second one
# is not reached before the host stops.
@pytest.mark.parametrize(
    ("answers", "status"),
    [
        ([], 503),
        ([peer_answer(503, "unavailable")], 503),
        ([clients.ConnectFailed("refused")], 503),
        ([clients.ResponseLost("lost")], 502),
    ],
)
def test_a_stop_while_a_second_peer_is_asked_keeps_what_the_first_told(
    answers, status
):
    async def scenario(fleet):
        left = set_peer_answers(fleet, *answers)
        call = start_call(fleet, "/r/x")
        forwarder = fleet.hosts["h1"].forwarder
        await fleet.wait_until(lambda: forwarder.serving and not left)
        fleet.hosts["h1"].stopping.set()
        response = await call
        assert response.status == status
        assert (response.find(b"retry-after") is not None) == (status == 503)

    run_stopping_cut_host(scenario)


# Guards against REFUSED: an answer that tells not what became of the request,
# as one of a later build, was taken to mean that nothing ran.
@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (peer_answer(502, "queued"), 502),
        (peer_answer(503, "queued"), 502),
        (peer_answer(502), 502),
        (peer_answer(200), 502),
        # A listener's own answers to what it has not read as a whole, and that
        # of a build that knows of no requests of peers.
        (peer_answer(503), 503),
        (peer_answer(413), 503),
        (peer_answer(404), 503),
    ],
)
def test_an_answer_of_a_peer_without_a_known_result_denies_nothing(
    answer, status
):
    async def scenario(fleet):
        set_peer_answers(fleet, answer, answer, answer)
        response = await start_call(fleet)
        assert response.status == status
        assert (response.find(b"retry-after") is not None) == (status == 503)

    run_stopping_cut_host(scenario)


def test_quota_and_requests_are_counted_at_the_first_host_only():
    async def scenario(fleet):
        counted = []
        before = {}
        for name, host in fleet.hosts.items():
            buckets = host.quotas.buckets.values()
            before[name] = sum(bucket.admitted for bucket in buckets)
            host.retries.record_request = (
                lambda service, now, counted_name=name: counted.append(
                    counted_name
                )
            )
        for _ in range(5):
            assert (await fleet.call()).status == 200
        assert counted == ["h1"] * 5
        for name, host in fleet.hosts.items():
            buckets = host.quotas.buckets.values()
            admitted = sum(bucket.admitted for bucket in buckets)
            assert admitted == before[name] + (5 if name == "h1" else 0)

    customers = [
        {
            "name": "club",
            "apiKeys": [gateway_fleet.API_KEY],
            "ratePerS": 1000,
            "burst": 1000,
        }
    ]
    run_cut_host(
        scenario, config=gateway_fleet.configuration(customers=customers)
    )


@pytest.mark.parametrize("how", list(Cut))
def test_a_cut_host_tells_its_peers_nothing_about_servers(how):
    async def scenario(fleet):
        await wait_until_known(fleet)
        for _ in range(5):
            await fleet.call()
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(1.0)
        calls = [asyncio.ensure_future(fleet.call()) for _ in range(6)]
        await asyncio.sleep(0.2)
        cut_off(fleet, "h1", how)
        await asyncio.gather(*calls, return_exceptions=True)
        await call_until_served(fleet)
        host = fleet.hosts["h1"]
        await fleet.wait_until(lambda: host.reachability.is_cut)
        await asyncio.sleep(1.5)
        for peer in (fleet.hosts["h2"], fleet.hosts["h3"]):
            assert not peer.crash_detector.suspects.report_all(peer.loop.time())
            assert "h1" not in {
                name
                for tallies in peer.health.outliers.peer_tallies.values()
                for name in tallies
            }
            assert not peer.placing.peer_in_flight.get("h1")

    gateway_fleet.run_scenario(
        scenario, hosts=3, servers=tuple(f"i{n}" for n in range(7))
    )


def make_members(states):
    """Returns a host's members in two regions, by zone and state."""
    own = members.Host("own", "10.0.0.1", "a1", 1)
    fleet = members.Members(own, {"a1": "a", "a2": "a", "b1": "b"})
    fleet.own_state = members.HostState.CUT
    for number, (zone, state) in enumerate(states):
        host = members.Host(f"h{number}", f"10.0.1.{number}", zone, 1)
        fleet.record_state(host, state, 0.0)
    return fleet


def helpers_of(fleet, regions=()):
    rng = random.Random(1)
    chosen = set()
    for _ in range(200):
        member = fleet.choose_helper(regions, (), rng.random, 0.0)
        if member is not None:
            chosen.add(fleet.zones[member.host.zone])
    return chosen


READY = members.HostState.READY
CUT = members.HostState.CUT


def test_requests_with_home_regions_are_passed_on_within_them():
    fleet = make_members([("a2", READY), ("b1", READY)])
    assert helpers_of(fleet, {"b"}) == {"b"}
    assert helpers_of(fleet, {"a"}) == {"a"}
    assert helpers_of(fleet, {"c"}) == set()


def test_requests_are_passed_on_within_the_region_where_it_bears_them():
    fleet = make_members([("a2", READY), ("b1", READY), ("b1", READY)])
    assert helpers_of(fleet) == {"a"}
    fleet = make_members([("a1", CUT)] * 6 + [("a2", READY), ("b1", READY)])
    assert helpers_of(fleet) == {"a", "b"}


def test_the_directory_leaves_out_cut_hosts_where_others_suffice():
    fleet = make_members([("a1", READY), ("a1", READY), ("a1", CUT)])
    assert "10.0.0.1" not in fleet.resolve("a", "a1", 0.0)
    fleet = make_members([("a1", CUT), ("a1", CUT), ("a2", READY)])
    assert "10.0.0.1" in fleet.resolve("a", "a1", 0.0)

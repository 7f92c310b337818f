"""Servers that are cold although no row says so."""

import asyncio
import collections

import msgspec
import pytest

from banyanshed.gateway import clients
from banyanshed.platform import headers
from banyanshed.platform import wire
from banyanshed.steering import cold
from banyanshed.steering import health
from banyanshed.steering import health_checks
from banyanshed.steering import lifecycles
from banyanshed.steering import models
from banyanshed.steering import outliers
from standins import store as store_lib
from tests import gateway_fleet
from tests import steering_cases as cases

HEALTH_PATH = "/healthz"
COLD_S = 3.0
COLD_RATE = 2.6
# The platform's rule on requests that a cold server gets in one second.
ALLOWED = 1.5 * COLD_RATE + 5
HOSTS = 4
# Natural load of one server from all hosts, well above what is allowed.
CALLS_PER_S = 120


def make_configuration(health_path):
    config = gateway_fleet.configuration()
    service = {"name": "s", "cold": f"{COLD_S:g}s", "coldPerS": COLD_RATE}
    if health_path:
        service["healthPath"] = health_path
    config["backends"] = [service]
    return config


class ColdServer:
    """Counts the requests of one server, and answers its health checks."""

    def __init__(self, fleet, id_, cold_s=0.0):
        self.loop = asyncio.get_running_loop()
        self.id = id_
        self.cold_until = self.loop.time() + cold_s
        self.arrivals = []
        self.checks = 0
        fleet.servers[id_].action = self.act

    async def act(self, exchange):
        if exchange.target == HEALTH_PATH:
            self.checks += 1
            left_ms = max(0.0, self.cold_until - self.loop.time()) * 1000.0
            exchange.headers["x-banyanshed-request-id"] = ""
            exchange.respond(
                X_Banyanshed_Instance_Id=self.id,
                X_Banyanshed_Cold_Ms=f"{left_ms:.0f}",
            )
            return
        if self.loop.time() < self.cold_until:
            self.arrivals.append(self.loop.time())
        exchange.respond()

    def most_in_a_second(self):
        return max(
            (
                sum(at <= other < at + 1.0 for other in self.arrivals)
                for at in self.arrivals
            ),
            default=0,
        )


async def send_steadily(fleet, for_s):
    """Sends requests to all hosts in turn."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + for_s
    calls = set()
    number = 0
    while loop.time() < ends_at:
        number += 1
        call = fleet.call(
            name=f"h{number % HOSTS + 1}",
            x_banyanshed_affinity_key=f"o{number}",
        )
        calls.add(asyncio.ensure_future(call))
        await asyncio.sleep(1.0 / CALLS_PER_S)
    await asyncio.gather(*calls, return_exceptions=True)


@pytest.mark.parametrize("health_path", ["", HEALTH_PATH])
def test_a_server_that_restarts_while_the_store_is_away_stays_within_its_rate(
    health_path,
):
    # Guards against a crowd at a server that comes back cold in an outage.
    async def scenario(fleet):
        fleet.store.fault = store_lib.Fault.BUSY
        fleet.servers["i1"].crash()
        await send_steadily(fleet, 0.6)
        await fleet.servers["i1"].restart()
        server = ColdServer(fleet, "i1", COLD_S)
        await send_steadily(fleet, COLD_S)
        assert server.most_in_a_second() <= ALLOWED

    gateway_fleet.run_scenario(
        scenario, hosts=HOSTS, config=make_configuration(health_path)
    )


def test_a_server_that_says_it_is_warm_after_a_refusal_is_used_at_once():
    async def scenario(fleet):
        server = ColdServer(fleet, "i1")
        host = fleet.hosts["h1"]
        entry = host.view.servers["i1"].registration
        loop = asyncio.get_running_loop()
        host.lifecycle_tracker.record_refusal(entry)
        assert host.view.is_cold(host.view.servers["i1"], loop.time())
        await fleet.wait_until(
            lambda: not host.view.lifecycles.is_cold(entry, loop.time())
        )
        assert server.checks == 1

    gateway_fleet.run_scenario(scenario, config=make_configuration(HEALTH_PATH))


def test_hosts_without_the_store_learn_by_health_checks_and_tell_their_peers():
    # Guards against a usual load on a server that turned cold unseen.
    async def scenario(fleet):
        fleet.store.fault = store_lib.Fault.BUSY
        server = ColdServer(fleet, "i1", 20.0)
        loop = asyncio.get_running_loop()
        for host in fleet.hosts.values():
            known = host.view.servers["i1"]
            await fleet.wait_until(
                lambda view=host.view, known=known: view.is_cold(
                    known, loop.time()
                )
            )
        assert server.checks >= 1

    gateway_fleet.run_scenario(
        scenario, hosts=HOSTS, config=make_configuration(HEALTH_PATH)
    )


def test_no_health_checks_while_rows_are_verified():
    async def scenario(fleet):
        server = ColdServer(fleet, "i1")
        await send_steadily(fleet, 2.0)
        assert server.checks == 0

    gateway_fleet.run_scenario(
        scenario, hosts=HOSTS, config=make_configuration(HEALTH_PATH)
    )


def test_a_foreign_health_response_says_nothing():
    async def scenario(fleet):
        server = ColdServer(fleet, "i1", 20.0)
        server.id = "i9"
        host = fleet.hosts["h1"]
        known = host.view.servers["i1"]
        entry = known.registration
        host.lifecycle_tracker.record_refusal(entry)
        await fleet.wait_until(lambda: server.checks >= 3)
        process = host.view.lifecycles.processes["i1"]
        assert process.cold_until == float("-inf")
        assert process.presumed_until < float("inf")

    gateway_fleet.run_scenario(scenario, config=make_configuration(HEALTH_PATH))


def test_cut_off_hosts_keep_their_places_among_the_senders():
    # Guards against hosts that, alone, each take the part of many.
    fleet = [f"h{number}" for number in range(25)]
    view = cases.make_view(1)
    server = view.servers["i0"]
    view.lifecycles.record(
        server.registration, models.Statement(False, 10.0), 0.0
    )
    limiters = [
        cold.ColdRateLimiter(host, view, lambda: fleet) for host in fleet
    ]
    admitted = collections.Counter(
        int(step / 20)
        for step in range(200)
        for limiter in limiters
        if limiter.admit(server, step / 20)
    )
    rate = view.configuration.services["s"].cold_rate
    assert max(admitted.values()) <= 1.5 * rate + 5


@pytest.mark.parametrize(
    ("value", "cold_left_s"),
    [
        (b"1500", 1.5),
        (b" 0 ", 0.0),
        (b"", None),
        (b"-5", None),
        (b"nan", None),
        (b"9" * 30, None),
        (b"soon", None),
    ],
)
def test_a_cold_time_is_read_from_a_response(value, cold_left_s):
    statement = headers.decode_statement([(headers.COLD_MS, value)])
    assert statement == models.Statement(False, cold_left_s)


def test_of_several_cold_times_the_longest_counts():
    view = cases.make_view(1)
    entry = view.servers["i0"].registration
    record = view.lifecycles.record
    assert record(entry, models.Statement(False, 2.0), 1.0) == [
        lifecycles.News.COLD
    ]
    assert not record(entry, models.Statement(False, 1.0), 1.1)
    # Reports that hosts pass on don't add up their delays.
    assert not record(entry, models.Statement(False, 2.0), 1.4)
    assert view.lifecycles.is_cold(entry, 2.9)
    assert not view.lifecycles.is_cold(entry, 3.1)


def make_checks(view, live):
    outlier_evidence = outliers.Outliers("h1", lambda: live)
    return health_checks.HealthChecks(
        "h1", view, health.Health(outlier_evidence), lambda: live
    )


def test_hosts_that_hear_each_other_divide_the_checks():
    view = cases.make_view(60)
    live = [f"h{number}" for number in range(20)]
    checked = len(make_checks(view, live).take_due(True, 1.0))
    assert 0 < checked < 20
    assert not make_checks(view, live).take_due(False, 1.0)


def test_a_host_that_hears_none_checks_the_servers_that_it_uses():
    view = cases.make_view(6)
    checks = make_checks(view, ["h1"])
    assert not checks.take_due(True, 1.0)
    checks.health.start_attempt("i3", 1.0)
    due = [s.registration.id for s in checks.take_due(True, 1.0)]
    assert due == ["i3"]
    assert not checks.take_due(True, 1.9)
    assert checks.take_due(True, 2.1)


def test_a_refusal_over_failed_links_is_forgotten():
    view = cases.make_view(2)
    entry = view.servers["i0"].registration
    assert view.lifecycles.record_refusal(entry)
    assert not view.lifecycles.record_refusal(entry)
    assert view.is_cold(view.servers["i0"], 1.0)
    view.lifecycles.forget_refusals()
    assert not view.is_cold(view.servers["i0"], 1.0)


def test_a_refused_server_is_cold_for_its_time_from_when_it_is_reached():
    view = cases.make_view(2)
    entry = view.servers["i0"].registration
    view.lifecycles.record_refusal(entry)
    view.lifecycles.record_reached(entry, 3.0, 5.0)
    assert view.is_cold(view.servers["i0"], 7.9)
    assert not view.is_cold(view.servers["i0"], 8.1)
    view.lifecycles.record_refusal(entry)
    view.put_server(cases.make_entry("i0", started_ms=2000), 9.0, 10**9)
    assert not view.is_cold(view.servers["i0"], 9.0)


def test_only_one_connection_is_used_for_checks_in_turn():
    async def scenario(fleet):
        server = ColdServer(fleet, "i1")
        host = fleet.hosts["h1"]
        opened = []

        async def connect(address, timeout_s, response_memory):
            opened.append(address)
            return await clients.open_connection(
                address, timeout_s, response_memory
            )

        host.connection_pools.connect = connect
        fleet.store.fault = store_lib.Fault.BUSY
        async with asyncio.timeout(gateway_fleet.WAIT_TIMEOUT_S):
            while server.checks < 3:
                await fleet.call()
                await asyncio.sleep(0.05)
        assert len(opened) <= 2

    gateway_fleet.run_scenario(
        scenario, servers=("i1",), config=make_configuration(HEALTH_PATH)
    )


@pytest.mark.parametrize(
    ("path", "known"),
    [("/healthz", "/healthz"), ("healthz", ""), ("/a b", ""), ("/\n", "")],
)
def test_only_a_path_that_can_be_asked_for_is_one(path, known):
    config = make_configuration(path)
    decoded = wire.decode_configuration(msgspec.json.encode(config))
    assert decoded.services["s"].health_path == known

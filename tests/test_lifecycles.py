"""What servers say of their life cycle, by row, header or health response."""

import asyncio

import msgspec
import pytest

from banyanshed.gateway import peer_messages
from banyanshed.platform import headers
from banyanshed.steering import lifecycles
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import views
from standins import store as store_lib
from tests import gateway_fleet
from tests import steering_cases as cases

LEAVING = {"Server_Leaving": "1"}


def leave(fleet, id_, status=200, **extra):
    """Lets a server say in all its responses that it leaves."""

    async def act(exchange):
        exchange.respond(status, **LEAVING, **extra)

    fleet.servers[id_].action = act


async def call_any(fleet, number, path="/r/x", **fields):
    """Calls for an object of its own, so that any server may be the owner."""
    key = f"o{number}"
    return await fleet.call(path, x_banyanshed_affinity_key=key, **fields)


async def call_until_left(fleet, id_, host="h1"):
    """Repeats calls until a host has a server's word that it leaves."""
    view = fleet.hosts[host].view
    entry = view.servers[id_].registration
    async with asyncio.timeout(gateway_fleet.WAIT_TIMEOUT_S):
        number = 0
        while not view.lifecycles.is_leaving(entry):
            number += 1
            await call_any(fleet, number, name=host)
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("name", sorted(headers.SERVER_LEAVING))
@pytest.mark.parametrize(
    ("value", "is_leaving"),
    [
        (b"1", True),
        (b" 1 ", True),
        (b"0", False),
        (b"", False),
        (b"true", False),
        (b"11", False),
    ],
)
def test_a_leaving_is_read_in_both_spellings(name, value, is_leaving):
    statement = headers.decode_statement([(name, value)])
    assert statement.is_leaving is is_leaving


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        (200, {}),
        (404, {}),
        (500, {}),
        (503, {"X_Banyanshed_Not_Executed": "1"}),
    ],
)
@pytest.mark.parametrize("path", ["/r/x", "/u/x"])
def test_a_host_without_the_store_heeds_a_leaving_in_any_response(
    path, status, extra
):
    # Guards against requests to a server that leaves while the store is away.
    async def scenario(fleet):
        fleet.store.fault = store_lib.Fault.BUSY
        leave(fleet, "i1", status, **extra)
        await call_until_left(fleet, "i1")
        before = len(fleet.servers["i1"].exchanges)
        for number in range(20):
            response = await call_any(fleet, number, path, method="POST")
            assert response.status == 200
        assert len(fleet.servers["i1"].exchanges) == before

    gateway_fleet.run_scenario(scenario)


def test_requests_at_a_server_that_leaves_end_in_peace():
    async def scenario(fleet):
        released = asyncio.Event()

        async def wait(exchange):
            await released.wait()
            exchange.respond(**LEAVING)

        for id_ in ("i1", "i2"):
            fleet.servers[id_].action = wait
        calls = [asyncio.ensure_future(fleet.call()) for _ in range(3)]
        await fleet.wait_until(
            lambda: len(gateway_fleet.all_exchanges(fleet)) == 3
        )
        released.set()
        assert [r.status for r in await asyncio.gather(*calls)] == [200] * 3

    gateway_fleet.run_scenario(scenario)


def test_without_another_server_requests_are_rejected_at_once():
    async def scenario(fleet):
        leave(fleet, "i1")
        await call_until_left(fleet, "i1")
        response = await fleet.call()
        assert response.status == 503
        assert float(response.find(headers.RETRY_AFTER)) > 0.0

    gateway_fleet.run_scenario(scenario, servers=("i1",))


def test_peers_learn_of_a_leaving():
    async def scenario(fleet):
        leave(fleet, "i1")
        await call_until_left(fleet, "i1")
        view = fleet.hosts["h2"].view
        entry = view.servers["i1"].registration
        await fleet.wait_until(lambda: view.lifecycles.is_leaving(entry))
        before = len(fleet.servers["i1"].exchanges)
        for number in range(10):
            response = await call_any(fleet, number, name="h2")
            assert response.status == 200
        assert len(fleet.servers["i1"].exchanges) == before

    gateway_fleet.run_scenario(scenario, hosts=2)


def test_a_row_takes_no_leaving_back_but_a_new_process_is_used():
    async def scenario(fleet):
        leave(fleet, "i1")
        await call_until_left(fleet, "i1")
        host = fleet.hosts["h1"]
        await fleet.register("i1", seq=9)
        await fleet.wait_until(
            lambda: host.view.servers["i1"].registration.sequence == 9
        )
        assert not host.view.accepts_requests(host.view.servers["i1"])
        server = fleet.servers["i1"]
        ip, port = server.address
        await fleet.store.put(
            "servers",
            "i1",
            {
                "addr": f"{ip}:{port}",
                "info": {"backend": "s", "zone": "a1", "slots": 4},
                "status": {"state": "ready", "seq": 1, "coldLeft": "0ms"},
                "born": 2000,
            },
        )
        await fleet.wait_until(
            lambda: host.view.accepts_requests(host.view.servers["i1"])
        )

    gateway_fleet.run_scenario(scenario)


def make_row(started_ms, sequence, state=models.ServerState.READY):
    return cases.make_entry(
        "i1", "a2", state=state, started_ms=started_ms, sequence=sequence
    )


DRAINING = models.ServerState.DRAINING


@pytest.mark.parametrize(
    ("rows", "is_accepted"),
    [
        # A heartbeat that was written before the leaving comes after it.
        ([make_row(5, 6, DRAINING), make_row(5, 3)], False),
        ([make_row(5, 6, DRAINING), make_row(5, 7)], False),
        # The row of an earlier process comes after that of a newer one.
        ([make_row(5, 3), make_row(9, 1, DRAINING), make_row(5, 4)], False),
        ([make_row(5, 3, DRAINING), make_row(9, 1), make_row(5, 4)], True),
        ([make_row(5, 3, DRAINING), make_row(9, 1)], True),
        # It comes first, or between two of the newer one.
        ([make_row(9, 3, DRAINING), make_row(5, 1)], False),
        ([make_row(9, 3), make_row(5, 4, DRAINING)], True),
        ([make_row(9, 3), make_row(5, 4, DRAINING), make_row(9, 4)], True),
    ],
)
def test_a_late_row_takes_no_leaving_back(rows, is_accepted):
    view = views.View(dict(cases.ZONES))
    for row in rows:
        view.put_server(row, 1.0, 10**6)
    assert view.accepts_requests(view.servers["i1"]) is is_accepted


# Guards against DRAIN: a late row of an earlier process took the place of the
# live one, whose rows were refused for good from then on.
def test_a_start_orders_processes_whatever_rows_come_first():
    view = views.View(dict(cases.ZONES))
    for started_ms in (2000, 1000, 2000):
        view.put_server(make_row(started_ms, 1), 1.0, 10**6)
        assert view.servers["i1"].registration.started_ms == 2000
        assert view.accepts_requests(view.servers["i1"])


# The clock of the server's machine may go back between two starts. Such a row
# can't be told from a late one until it has lasted.
@pytest.mark.parametrize("state", list(models.ServerState))
def test_a_row_with_an_earlier_start_counts_once_it_has_lasted(state):
    view = views.View(dict(cases.ZONES))
    view.put_server(make_row(9, 3, state), 1.0, 10**6)
    view.put_server(make_row(5, 1), 2.0, 10**6)
    view.put_server(make_row(5, 2), 4.0, 10**6)
    assert view.take_outlasting(8.5, 6.6) == []
    [entry] = view.take_outlasting(8.7, 6.6)
    assert entry == make_row(5, 2)
    view.put_server(entry, 8.7, 10**6)
    assert view.servers["i1"].registration == entry
    assert view.accepts_requests(view.servers["i1"])
    assert view.take_outlasting(99.0, 6.6) == []


@pytest.mark.parametrize("is_removed", [False, True])
def test_a_row_with_an_earlier_start_that_goes_has_not_lasted(is_removed):
    view = views.View(dict(cases.ZONES))
    view.put_server(make_row(9, 3), 1.0, 10**6)
    view.put_server(make_row(5, 1), 2.0, 10**6)
    if is_removed:
        view.drop_server("i1", 3.0, keep_until=3.0)
    else:
        view.put_server(make_row(9, 4), 3.0, 10**6)
    assert view.take_outlasting(99.0, 6.6) == []


def test_hosts_use_a_server_whose_clock_went_back_once_its_row_lasts():
    async def scenario(fleet):
        host = fleet.hosts["h1"]
        host.waits.bounds = models.Bounds(lapse_s=-2.0)
        row = gateway_fleet.make_row(fleet.servers["i1"].address, seq=1)
        row["born"] = 500
        await fleet.store.put("servers", "i1", row)
        await fleet.wait_until(
            lambda: host.view.servers["i1"].registration.started_ms == 500
        )
        assert host.view.accepts_requests(host.view.servers["i1"])

    gateway_fleet.run_scenario(scenario)


def test_a_leaving_outlasts_a_missing_entry():
    view = views.View(dict(cases.ZONES))
    view.put_server(make_row(5, 6, DRAINING), 1.0, 10**6)
    assert view.drop_server("i1", 2.0, keep_until=2.0)
    view.lifecycles.drop_absent(view.servers, 10.0)
    view.put_server(make_row(5, 7), 11.0, 10**6)
    assert not view.accepts_requests(view.servers["i1"])
    view.drop_server("i1", 12.0, keep_until=12.0)
    view.lifecycles.drop_absent(view.servers, 100.0)
    assert not view.lifecycles.processes


def test_hosts_report_what_rows_do_not_say():
    view = cases.make_view(2)
    entries = [server.registration for server in view.servers.values()]
    statement = models.Statement(True)
    news = view.lifecycles.record(entries[0], statement, 1.0)
    assert news == [lifecycles.News.LEAVING]
    assert not view.lifecycles.record(entries[0], statement, 2.0)
    reported = models.Statement(True, 0.0)
    assert view.lifecycles.report(entries, 2.0) == {"i0": reported}
    row = cases.make_entry("i0", state=DRAINING)
    view.put_server(row, 3.0, 10**6)
    assert view.lifecycles.report([row, entries[1]], 3.0) == {}


def make_heartbeat(**fields):
    host = peer_messages.EncodedHost("h1", "10.0.0.1", "a1", 1)
    return peer_messages.Heartbeat(
        host, members.HostState.READY, 1, 1, [], [], [], [], **fields
    )


def make_digest(**fields):
    relay = peer_messages.EncodedHost("h1", "10.0.0.1", "a1", 1)
    return peer_messages.Digest(
        relay, 1, 1, [], [], [], [], [], [], [], [], **fields
    )


@pytest.mark.parametrize("make", [make_heartbeat, make_digest])
def test_statements_come_after_earlier_fields_and_may_be_missing(make):
    statements = [peer_messages.EncodedStatement(7, True, 250)]
    message = make(statements=statements)
    data = peer_messages.encode(message)
    assert peer_messages.decode(data) == message
    fields = msgspec.msgpack.decode(data)
    # The tag comes first; later releases add fields after the statements.
    place = 1 + type(message).__struct_fields__.index("statements")
    assert fields[place][0][:2] == [7, True]
    earlier = peer_messages.decode(msgspec.msgpack.encode(fields[:place]))
    assert earlier == make()
    older = ["cut" if make is make_digest else "is_cut", "statements"]
    assert type(message).__struct_fields__[place - 2 : place] == tuple(older)
    later = peer_messages.decode(msgspec.msgpack.encode([*fields, "new"]))
    assert later == message


def test_only_known_processes_of_servers_are_read():
    view = cases.make_view(2)
    statements = {"i0": models.Statement(True, 1.5)}
    encoded = peer_messages.encode_statements(statements, view.servers)
    index = peer_messages.ServerIndex()
    index.update(view.servers, view.servers_version)
    assert index.decode_statements(encoded) == statements
    view.put_server(cases.make_entry("i0", started_ms=2000), 1.0, 10**6)
    index.update(view.servers, view.servers_version)
    assert index.decode_statements(encoded) == {}

"""Entry hosts with a store and scripted servers in one event loop."""

import asyncio
import dataclasses
import json

import pytest

from banyanshed.gateway import clients
from banyanshed.gateway import host as host_lib
from standins import store as store_lib
from tests import gateway_fleet
from tests import test_wire


def test_a_request_is_forwarded_and_its_response_returned():
    async def scenario(fleet):
        response = await fleet.call(
            "/u/x?y=1&z=%20",
            method="POST",
            body=b"payload",
            x_banyanshed_tenant="forged",
            x_banyanshed_expect_instance="forged",
            x_extra="kept",
            connection="x-hop",
            x_hop="dropped",
        )
        [exchange] = gateway_fleet.all_exchanges(fleet)
        assert response.status == 200 and response.body == b"ok"
        stamp = f"stamp-{exchange.server.id}".encode()
        assert response.find(b"x-banyanshed-response-stamp") == stamp
        assert exchange.target == "/u/x?y=1&z=%20"
        assert exchange.body == b"payload"
        assert exchange.headers["x-banyanshed-tenant"] == "club"
        expected = exchange.headers["x-banyanshed-expect-instance"]
        assert expected == exchange.server.id
        assert exchange.headers["x-extra"] == "kept"
        assert "x-hop" not in exchange.headers
        assert "x-api-key" not in exchange.headers
        assert 0 < int(exchange.headers["x-banyanshed-deadline-ms"]) <= 2000

    gateway_fleet.run_scenario(scenario)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"path": "/none/x"}, 404),
        ({"host": "other.example"}, 404),
        ({"x_api_key": "wrong"}, 401),
        ({"x_api_key": None}, 401),
    ],
)
def test_requests_without_a_route_or_a_valid_key_are_rejected(fields, status):
    async def scenario(fleet):
        response = await fleet.call(**fields)
        assert response.status == status
        assert gateway_fleet.all_exchanges(fleet) == []

    gateway_fleet.run_scenario(scenario)


def test_free_ports_are_distinct():
    # If each socket were closed before the next port is drawn, some of 500
    # ports would be equal.
    ports = gateway_fleet.free_ports(500)
    assert len(set(ports)) == 500


def test_a_host_without_a_configuration_answers_503():
    async def scenario(fleet):
        fleet.store.fault = store_lib.Fault.BUSY
        fleet.start_host("h2", gateway_fleet.host_ip(2))
        # Its only peer is stopped, so it can't copy the configuration.
        fleet.tasks["h1"].cancel()
        response = await fleet.call(name="h2")
        assert response.status == 503
        assert float(response.find(b"retry-after")) > 0
        assert (await fleet.fetch("readiness", "/", "h2")).status == 503

    gateway_fleet.run_scenario(scenario)


def test_a_host_without_the_store_copies_tables_from_a_peer():
    async def scenario(fleet):
        fleet.store.fault = store_lib.Fault.BUSY
        fleet.start_host("h2", gateway_fleet.host_ip(2))
        await fleet.wait_until_ready("h2")
        assert (await fleet.call(name="h2")).status == 200

    gateway_fleet.run_scenario(scenario)


def test_an_older_configuration_does_not_replace_a_newer_one():
    async def scenario(fleet):
        routes = [gateway_fleet.route("new")]
        config = gateway_fleet.configuration(7, routes)
        await fleet.store.put("op", "config", config)
        view = fleet.hosts["h1"].view
        await fleet.wait_until(lambda: view.configuration.version == 7)
        assert (await fleet.call("/new/x")).status == 200
        assert (await fleet.call("/r/x")).status == 404
        await fleet.store.put("op", "config", gateway_fleet.configuration(3))
        await asyncio.sleep(0.5)
        assert view.configuration.version == 7

    gateway_fleet.run_scenario(scenario)


def test_changes_are_found_after_the_store_loses_its_history():
    async def scenario(fleet):
        await fleet.store.remove("servers", "i1")
        fleet.store.forget_history()
        view = fleet.hosts["h1"].view
        await fleet.wait_until(lambda: "i1" not in view.servers)

    gateway_fleet.run_scenario(scenario)


def test_a_draining_server_and_an_evacuated_zone_get_nothing():
    async def scenario(fleet):
        await fleet.register("i1", state="draining")
        server = await fleet.add_server("i3", "b1")
        view = fleet.hosts["h1"].view
        await fleet.wait_until(lambda: "i3" in view.servers)
        await fleet.store.put("op", "evacuate/a1", {})
        await fleet.wait_until(lambda: view.evacuated_zones == {"a1"})
        for _ in range(5):
            assert (await fleet.call()).status == 200
        assert (
            len(server.exchanges)
            == len(gateway_fleet.all_exchanges(fleet))
            == 5
        )
        await fleet.store.remove("op", "evacuate/a1")
        await fleet.wait_until(lambda: not view.evacuated_zones)

    gateway_fleet.run_scenario(scenario)


@pytest.mark.parametrize("change", ["gone", "draining", "evacuated"])
def test_a_server_removed_while_connecting_gets_no_request(change):
    async def scenario(fleet):
        other = await fleet.add_server("i3", "b1")
        host = fleet.hosts["h1"]
        view = host.view
        await fleet.wait_until(lambda: "i3" in view.servers)
        chosen = []

        async def change_and_connect(server, idempotent, now):
            del idempotent, now
            chosen.append(server.id)
            if len(chosen) == 1:
                if change == "gone":
                    await fleet.store.remove("servers", server.id)
                if change == "draining":
                    await fleet.register(server.id, state="draining")
                if change == "evacuated":
                    await fleet.store.put("op", "evacuate/a1", {})
                known = view.servers[server.id]
                await fleet.wait_until(lambda: not view.accepts_requests(known))
            return await clients.open_connection(server.address, 1.0)

        host.connection_pools.acquire = change_and_connect
        assert (await fleet.call("/u/x", method="POST")).status == 200
        reached = [e.server.id for e in gateway_fleet.all_exchanges(fleet)]
        assert len(reached) == 1
        assert reached[0] != chosen[0]
        if change == "evacuated":
            assert reached == [other.id]

    gateway_fleet.run_scenario(scenario)


def test_servers_whose_entries_expire_in_an_outage_are_kept_for_a_while():
    async def scenario(fleet):
        host = fleet.hosts["h1"]
        fleet.store.fault = store_lib.Fault.BUSY
        fleet.store.forget_history()
        await fleet.store.remove("servers", "i1")
        await fleet.store.remove("servers", "i2")
        await fleet.wait_until(lambda: host.applier.outage.is_active)
        fleet.store.fault = store_lib.Fault.NONE
        await fleet.wait_until(lambda: not host.applier.outage.is_active)
        await asyncio.sleep(0.5)
        assert (await fleet.call()).status == 200
        await fleet.register("i1")
        await fleet.wait_until(lambda: "i2" not in host.view.servers)
        assert "i1" in host.view.servers

    gateway_fleet.run_scenario(scenario)


def test_hosts_discover_each_other_and_the_directory_omits_a_leaving_one():
    async def scenario(fleet):
        target = "/api/resolve?name=h.example&region=a&zone=a1"

        async def listed_addresses():
            response = await fleet.fetch("directory", target)
            return {
                address.split(":")[0]
                for address in json.loads(response.body)["addrs"]
            }

        members = fleet.hosts["h1"].fleet
        await fleet.wait_until(lambda: len(members.peers) == 2)
        await fleet.wait_until(
            lambda: all(
                m.state.value == "ready" for m in members.peers.values()
            )
        )
        assert await listed_addresses() == {
            gateway_fleet.host_ip(1),
            gateway_fleet.host_ip(2),
            gateway_fleet.host_ip(3),
        }
        fleet.hosts["h3"].stopping.set()
        await fleet.wait_until(
            lambda: members.peers["h3"].state.value == "leaving"
        )
        assert await listed_addresses() == {
            gateway_fleet.host_ip(1),
            gateway_fleet.host_ip(2),
        }
        assert (await fleet.fetch("readiness", "/", "h3")).status == 503

    gateway_fleet.run_scenario(scenario, hosts=3)


def test_a_graceful_stop_completes_requests_in_flight():
    async def scenario(fleet):
        host = fleet.hosts["h1"]
        host.settings = dataclasses.replace(host.settings, stop_s=6.0)
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(
                6.0 * host_lib.ACCEPT_SHARE + 0.5
            )
        connection = await fleet.connect()
        request = fleet.request(x_banyanshed_deadline_ms="60000")
        task = asyncio.ensure_future(connection.send(request))
        await fleet.wait_until(lambda: gateway_fleet.all_exchanges(fleet))
        fleet.hosts["h1"].stopping.set()
        response = await task
        assert (response.status, response.body) == (200, b"ok")
        assert response.find(b"connection") == b"close"
        await asyncio.wait_for(fleet.tasks["h1"], 30.0)

    routes = [gateway_fleet.route(timeout="100s")]
    gateway_fleet.run_scenario(
        scenario, config=gateway_fleet.configuration(1, routes)
    )


def test_a_graceful_stop_ends_before_the_grace_period_does():
    # A slow machine needs the rest of the grace period to end the process.
    assert host_lib.FINISH_SHARE <= 0.9

    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(120.0)
        call = asyncio.ensure_future(fleet.call())
        await fleet.wait_until(lambda: gateway_fleet.all_exchanges(fleet))
        fleet.hosts["h1"].stopping.set()
        await asyncio.wait_for(fleet.tasks["h1"], 60.0)
        assert (await call).status == 502

    routes = [gateway_fleet.route(timeout="100s")]
    gateway_fleet.run_scenario(
        scenario, config=gateway_fleet.configuration(1, routes)
    )


def test_a_customer_over_its_limit_gets_429_with_retry_after():
    async def scenario(fleet):
        responses = await asyncio.gather(*(fleet.call() for _ in range(60)))
        statuses = [response.status for response in responses]
        for response in responses:
            if response.status == 429:
                assert float(response.find(b"retry-after")) > 0
        assert 429 in statuses
        assert statuses.count(200) <= 20 < statuses.count(429)

    customers = [
        {
            "name": "club",
            "apiKeys": [gateway_fleet.API_KEY],
            "ratePerS": 1,
            "burst": 5,
        }
    ]
    gateway_fleet.run_scenario(
        scenario, config=gateway_fleet.configuration(customers=customers)
    )


def test_a_withdrawn_key_stops_working_on_an_open_connection():
    async def scenario(fleet):
        connection = await fleet.connect()
        assert (await connection.send(fleet.request())).status == 200
        customers = [{"name": "club", "apiKeys": ["other"]}]
        config = gateway_fleet.configuration(2, customers=customers)
        await fleet.store.put("op", "config", config)
        view = fleet.hosts["h1"].view
        await fleet.wait_until(lambda: view.configuration.version == 2)
        assert (await connection.send(fleet.request())).status == 401

    gateway_fleet.run_scenario(scenario)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nx: " + b"a" * 20_000, 431),
        (
            b"POST /u/x HTTP/1.1\r\nHost: h.example\r\n"
            b"Content-Length: 200000\r\n\r\n" + b"a" * 150_000,
            413,
        ),
        (b"GET /r/x HTTP/1.1\r\nHo", 408),
    ],
)
def test_bad_requests_get_an_error_and_a_closed_connection(data, status):
    async def scenario(fleet):
        address = fleet.hosts["h1"].settings.callers
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), 30.0)
        assert answer.startswith(f"HTTP/1.1 {status}".encode())
        writer.close()

    gateway_fleet.run_scenario(scenario)


def test_pipelined_requests_are_served_in_order():
    async def scenario(fleet):
        address = fleet.hosts["h1"].settings.callers
        reader, writer = await asyncio.open_connection(*address)
        for number in range(3):
            head = (
                f"GET /r/x HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Api-Key: {gateway_fleet.API_KEY}\r\n"
                f"X-Banyanshed-Request-Id: ahead{number}\r\n\r\n"
            )
            writer.write(head.encode())
        data = b""
        while data.count(b"\r\n\r\nok") < 3:
            data += await asyncio.wait_for(reader.read(65536), 30.0)
        order = [data.index(f"ahead{n}".encode()) for n in range(3)]
        assert order == sorted(order)
        writer.close()

    gateway_fleet.run_scenario(scenario)


def test_the_state_and_the_metrics_can_be_read():
    async def scenario(fleet):
        await fleet.call()
        state = json.loads((await fleet.fetch("control", "/")).body)
        assert state["config_version"] == 1
        assert set(state["servers"]) == {"i1", "i2"}
        host = fleet.hosts["h1"]
        address = (host.settings.ip, host.metrics_port)
        client = clients.HttpClient(address)
        page = (await client.call("GET", "/metrics", b"", 2.0)).body.decode()
        assert 'banyanshed_requests_total{ending="answered"' in page
        assert "banyanshed_request_seconds_bucket" in page

    gateway_fleet.run_scenario(scenario)


def test_a_reload_applies_bounds_and_keeps_addresses(tmp_path, monkeypatch):
    text = test_wire.SETTINGS

    async def scenario(fleet):
        host = fleet.hosts["h1"]
        callers = host.settings.callers
        path = tmp_path / "host.yaml"
        path.write_text(text.replace("budgetExtra=133", "budgetExtra=7"))
        monkeypatch.setenv("BANYANSHED_BOOT", str(path))
        host.reload()
        assert host.retries.limits.extra == 7.0
        assert host.settings.stop_s == 6.0
        assert host.settings.callers == callers
        path.write_text("bounds: [")
        host.reload()
        assert host.retries.limits.extra == 7.0
        assert (await fleet.call()).status == 200

    gateway_fleet.run_scenario(scenario)


def test_a_changed_settings_file_is_reloaded_without_a_signal(
    tmp_path, monkeypatch
):
    path = tmp_path / "host.yaml"
    path.write_text(test_wire.SETTINGS)
    monkeypatch.setenv("BANYANSHED_BOOT", str(path))

    async def scenario(fleet):
        host = fleet.hosts["h1"]
        path.write_text(
            test_wire.SETTINGS.replace("budgetExtra=133", "budgetExtra=70")
        )
        await fleet.wait_until(lambda: host.retries.limits.extra == 70.0)

    gateway_fleet.run_scenario(scenario)


def test_a_route_without_affinity_uses_idle_servers():
    routes = [gateway_fleet.route(affinity=False)]

    async def scenario(fleet):
        busy = fleet.servers["i1"]
        fleet.hosts["h1"].placing.set_peer_in_flight("p", {busy.id: 4})
        for _ in range(8):
            assert (await fleet.call()).status == 200
        assert len(fleet.servers["i2"].exchanges) == 8

    gateway_fleet.run_scenario(
        scenario, config=gateway_fleet.configuration(1, routes)
    )

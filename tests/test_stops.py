"""Requests at a host that is stopped while it serves."""

import asyncio
import dataclasses

import pytest

from banyanshed.gateway import host as host_lib
from banyanshed.gateway import peer_forwarding
from banyanshed.steering import warmth
from tests import gateway_fleet

STOP_S = 4.0
LONG_ROUTES = [
    gateway_fleet.route(timeout="100s"),
    gateway_fleet.route("u", "unsafe", timeout="100s"),
]


def run_stopping_host(scenario, **fields):
    async def run(fleet):
        for host in fleet.hosts.values():
            host.settings = dataclasses.replace(host.settings, stop_s=STOP_S)
        await scenario(fleet)

    config = gateway_fleet.configuration(1, LONG_ROUTES)
    config["limits"]["headerTimeout"] = "60s"
    gateway_fleet.run_scenario(run, config=config, **fields)


async def stop_accepting(fleet):
    """Stops a host; returns once it accepts no more connections."""
    host = fleet.hosts["h1"]
    host.stopping.set()
    await fleet.wait_until(lambda: host.server and not host.server.is_serving())


def long_request(fleet, path, method):
    return fleet.request(
        path, method=method, body=b"", x_banyanshed_deadline_ms="60000"
    )


CALLS = [("/r/x", "GET"), ("/u/x", "POST")]


@pytest.mark.parametrize(("path", "method"), CALLS)
def test_a_request_that_is_complete_late_in_the_grace_is_not_run(path, method):
    async def scenario(fleet):
        reader, writer = await asyncio.open_connection(
            *fleet.hosts["h1"].settings.callers
        )
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: h.exa".encode())
        await fleet.wait_until(lambda: fleet.hosts["h1"].listener.connections)
        await stop_accepting(fleet)
        rest = (
            f"mple\r\nX-Api-Key: {gateway_fleet.API_KEY}\r\n"
            "X-Banyanshed-Request-Id: late\r\nContent-Length: 0\r\n"
            "X-Banyanshed-Deadline-Ms: 60000\r\n\r\n"
        )
        writer.write(rest.encode())
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        assert head.startswith(b"http/1.1 503 ")
        assert b"\r\nretry-after: " in head
        assert b"\r\nconnection: close" in head
        await asyncio.wait_for(fleet.tasks["h1"], 30.0)
        assert not gateway_fleet.all_exchanges(fleet)
        writer.close()

    run_stopping_host(scenario)


@pytest.mark.parametrize(("path", "method"), CALLS)
def test_requests_still_at_servers_at_the_end_of_the_grace_are_answered(
    path, method
):
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(120.0)
        connection = await fleet.connect()
        call = asyncio.ensure_future(
            connection.send(long_request(fleet, path, method))
        )
        await fleet.wait_until(lambda: gateway_fleet.all_exchanges(fleet))
        fleet.hosts["h1"].stopping.set()
        # It may have run, so the response promises nothing.
        assert (await call).status == 502
        await asyncio.wait_for(fleet.tasks["h1"], 30.0)
        assert len(gateway_fleet.all_exchanges(fleet)) == 1

    run_stopping_host(scenario)


def test_a_request_that_was_not_sent_by_the_end_of_the_grace_is_refused():
    async def scenario(fleet):
        async def hang(*_):
            await asyncio.Event().wait()

        forwarder = fleet.hosts["h1"].forwarder
        forwarder.connection_pools.acquire = hang
        connection = await fleet.connect()
        call = asyncio.ensure_future(
            connection.send(long_request(fleet, "/u/x", "POST"))
        )
        await fleet.wait_until(lambda: forwarder.serving)
        fleet.hosts["h1"].stopping.set()
        response = await call
        assert response.status == 503
        assert response.find(b"retry-after") is not None
        await asyncio.wait_for(fleet.tasks["h1"], 30.0)
        assert not gateway_fleet.all_exchanges(fleet)

    run_stopping_host(scenario)


def test_a_host_that_stops_accepting_takes_no_requests_of_peers():
    async def scenario(fleet):
        await stop_accepting(fleet)
        request = long_request(fleet, "/r/x", "GET")
        request.headers = [
            *request.headers,
            (peer_forwarding.ATTEMPTS_HEADER, b"2"),
        ]
        response = await fleet.hosts["h1"].forwarder.serve_for_peer(request)
        result = response.find(peer_forwarding.RESULT_HEADER)
        assert result == peer_forwarding.Result.UNAVAILABLE.value.encode()
        assert not gateway_fleet.all_exchanges(fleet)

    run_stopping_host(scenario)


def test_what_cannot_be_answered_before_the_host_ends_is_refused_at_once():
    async def scenario(fleet):
        host = fleet.hosts["h1"]
        route = host.view.configuration.find_route("h.example", "/r/")
        host.placing.warmth.times[route.name] = warmth.ServiceTimes(
            30.0, 30.0, 30.0
        )
        host.stopping.set()
        await fleet.wait_until(lambda: host.listener.closing)
        connection = await fleet.connect()
        response = await connection.send(long_request(fleet, "/r/x", "GET"))
        assert response.status == 503
        assert not gateway_fleet.all_exchanges(fleet)

    run_stopping_host(scenario)


def test_the_answers_of_the_last_moment_fit_into_the_grace_period():
    ends_share = host_lib.FINISH_SHARE + host_lib.FLUSH_SHARE
    assert ends_share <= 0.95

"""What an entry host makes of the answers of backend servers."""

import asyncio

import pytest

from tests import gateway_fleet


def test_a_rejected_request_runs_on_another_server():
    async def scenario(fleet):
        async def reject(exchange):
            exchange.answer(503, b"", X_Banyanshed_Not_Executed="1")

        gateway_fleet.owner(fleet, "/u/x").action = reject
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 200
        assert len(gateway_fleet.all_exchanges(fleet)) == 2

    gateway_fleet.play(scenario)


def test_an_unsafe_request_whose_answer_is_lost_is_not_repeated():
    async def scenario(fleet):
        async def lose(exchange):
            exchange.reset()

        for server in fleet.servers.values():
            server.action = lose
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 502
        assert len(gateway_fleet.all_exchanges(fleet)) == 1

    gateway_fleet.play(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ],
)
def test_a_spoiled_answer_is_replaced_by_one_of_another_server(data):
    async def scenario(fleet):
        async def spoil(exchange):
            exchange.write(data)
            await exchange.writer.drain()
            exchange.close()

        gateway_fleet.owner(fleet).action = spoil
        response = await fleet.call()
        assert (response.status, response.body) == (200, b"ok")
        assert len(gateway_fleet.all_exchanges(fleet)) == 2

    gateway_fleet.play(scenario)


def test_an_answer_without_length_that_is_reset_is_not_complete():
    async def scenario(fleet):
        async def break_off(exchange):
            request_id = exchange.headers["x-banyanshed-request-id"]
            head = f"HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: {request_id}"
            exchange.write(head.encode() + b"\r\n\r\npart")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.reset()

        for server in fleet.servers.values():
            server.action = break_off
        assert (await fleet.call()).status == 502

    gateway_fleet.play(scenario)


def test_a_late_extra_answer_reaches_no_other_request():
    async def scenario(fleet):
        async def answer_twice(exchange):
            exchange.answer(body=b"mine")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.answer(body=b"extra")

        for server in fleet.servers.values():
            server.action = answer_twice
        assert (await fleet.call()).body == b"mine"
        for server in fleet.servers.values():
            server.action = gateway_fleet.pause(0.2)
        assert (await fleet.call()).body == b"ok"

    gateway_fleet.play(scenario)


def test_an_extra_answer_in_place_of_the_next_one_is_skipped():
    async def scenario(fleet):
        async def answer_late(exchange):
            exchange.answer(body=b"stale", request_id="another")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.answer(body=b"mine")

        for server in fleet.servers.values():
            server.action = answer_late
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert (response.status, response.body) == (200, b"mine")
        assert len(gateway_fleet.all_exchanges(fleet)) == 1

    gateway_fleet.play(scenario)


def test_a_client_that_leaves_cancels_its_request_at_the_server():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = gateway_fleet.pause(5.0)
        connection = await fleet.connect()
        task = asyncio.ensure_future(connection.send(fleet.request()))
        await fleet.await_true(lambda: gateway_fleet.all_exchanges(fleet))
        task.cancel()
        await fleet.await_true(
            lambda: sum(s.cancelled for s in fleet.servers.values())
        )

    gateway_fleet.play(scenario)


def test_a_request_is_answered_at_its_routes_timeout():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = gateway_fleet.pause(60.0)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await fleet.call()
        assert response.status == 504
        assert loop.time() - started_at < 30.0

    routes = [gateway_fleet.route(timeout="1s")]
    gateway_fleet.play(scenario, config=gateway_fleet.configuration(1, routes))


def test_an_unreachable_server_is_replaced_without_a_repeat():
    async def scenario(fleet):
        port = gateway_fleet.free_port()
        fleet.servers["i1"].address = (f"{gateway_fleet.NETWORK}.0.1", port)
        fleet.servers["i2"].address = (f"{gateway_fleet.NETWORK}.0.1", port)
        await fleet.register("i1")
        await fleet.register("i2")
        view = fleet.hosts["h1"].view.servers
        await fleet.await_true(
            lambda: all(
                s.registration.address[1] == port for s in view.values()
            )
        )
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 503
        assert response.find(b"retry-after") is not None
        await fleet.add_server("i3")
        await fleet.await_true(lambda: "i3" in view)
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 200

    gateway_fleet.play(scenario)

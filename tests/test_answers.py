"""How an entry host handles responses and failures of backend servers."""

import asyncio

import pytest

from tests import gateway_fleet


def test_a_rejected_request_runs_on_another_server():
    async def scenario(fleet):
        async def reject(exchange):
            exchange.respond(503, b"", X_Banyanshed_Not_Executed="1")

        gateway_fleet.next_server(fleet, "/u/x").action = reject
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 200
        assert len(gateway_fleet.all_exchanges(fleet)) == 2

    gateway_fleet.run_scenario(scenario)


def test_an_unsafe_request_whose_response_is_lost_is_not_retried():
    async def scenario(fleet):
        async def reset_connection(exchange):
            exchange.reset()

        for server in fleet.servers.values():
            server.action = reset_connection
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 502
        assert len(gateway_fleet.all_exchanges(fleet)) == 1

    gateway_fleet.run_scenario(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: id1\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: id1\r\n",
        b"HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: id1\r\n\r",
    ],
)
def test_a_malformed_response_is_retried_on_another_server(data):
    async def scenario(fleet):
        async def send_malformed(exchange):
            exchange.write(data)
            await exchange.writer.drain()
            exchange.close()

        gateway_fleet.next_server(fleet).action = send_malformed
        response = await fleet.call()
        assert (response.status, response.body) == (200, b"ok")
        assert len(gateway_fleet.all_exchanges(fleet)) == 2

    gateway_fleet.run_scenario(scenario)


def respond_with_head(status, *headers):
    """Returns an action that writes a whole response with this head."""

    async def act(exchange):
        request_id = exchange.headers["x-banyanshed-request-id"]
        lines = [
            f"HTTP/1.1 {status} Odd",
            f"X-Banyanshed-Request-Id: {request_id}",
            *headers,
            "Content-Length: 2",
        ]
        exchange.write("\r\n".join(lines).encode() + b"\r\n\r\nok")
        await exchange.writer.drain()
        await asyncio.sleep(0.05)
        exchange.close()

    return act


async def assert_no_caller_gets_it(fleet, action):
    """Checks that a caller gets another server's response or a failure."""
    gateway_fleet.next_server(fleet).action = action
    response = await fleet.call()
    stamp = response.find(b"x-banyanshed-response-stamp")
    assert (response.status, response.body) == (200, b"ok")
    assert stamp is not None and stamp.startswith(b"stamp-")
    for server in fleet.servers.values():
        server.action = action
    before = len(gateway_fleet.all_exchanges(fleet))
    response = await fleet.call("/u/x", method="POST", body=b"x")
    assert (response.status, response.body) == (502, b"")
    assert len(gateway_fleet.all_exchanges(fleet)) == before + 1


@pytest.mark.parametrize(
    "status", ["000", "001", "099", "100", "101", "199", "600", "700", "999"]
)
def test_a_status_that_is_no_final_response_reaches_no_caller(status):
    async def scenario(fleet):
        stamp = "X-Banyanshed-Response-Stamp: stamp-x"
        await assert_no_caller_gets_it(fleet, respond_with_head(status, stamp))

    gateway_fleet.run_scenario(scenario)


@pytest.mark.parametrize("status", ["200", "201", "299"])
@pytest.mark.parametrize(
    "headers",
    [
        (),
        ("X-Banyanshed-Responre-Stamp: s",),
        ("X-Banyanshed-Response-Stamp:",),
    ],
)
def test_a_success_without_a_servers_stamp_reaches_no_caller(status, headers):
    async def scenario(fleet):
        await assert_no_caller_gets_it(
            fleet, respond_with_head(status, *headers)
        )

    gateway_fleet.run_scenario(scenario)


def test_a_response_without_a_length_is_incomplete_after_a_reset():
    async def scenario(fleet):
        async def reset_midway(exchange):
            request_id = exchange.headers["x-banyanshed-request-id"]
            head = f"HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: {request_id}"
            exchange.write(head.encode() + b"\r\n\r\npart")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.reset()

        for server in fleet.servers.values():
            server.action = reset_midway
        assert (await fleet.call()).status == 502

    gateway_fleet.run_scenario(scenario)


def test_a_duplicate_response_is_not_delivered_to_another_request():
    async def scenario(fleet):
        async def answer_twice(exchange):
            exchange.respond(body=b"mine")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.respond(body=b"extra")

        for server in fleet.servers.values():
            server.action = answer_twice
        assert (await fleet.call()).body == b"mine"
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(0.2)
        assert (await fleet.call()).body == b"ok"

    gateway_fleet.run_scenario(scenario)


def test_a_response_that_echoes_another_request_id_is_skipped():
    async def scenario(fleet):
        async def answer_late(exchange):
            exchange.respond(body=b"stale", request_id="another")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.respond(body=b"mine")

        for server in fleet.servers.values():
            server.action = answer_late
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert (response.status, response.body) == (200, b"mine")
        assert len(gateway_fleet.all_exchanges(fleet)) == 1

    gateway_fleet.run_scenario(scenario)


def test_a_client_disconnect_cancels_the_request_at_the_server():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(5.0)
        connection = await fleet.connect()
        task = asyncio.ensure_future(connection.send(fleet.request()))
        await fleet.wait_until(lambda: gateway_fleet.all_exchanges(fleet))
        task.cancel()
        await fleet.wait_until(
            lambda: sum(s.cancelled for s in fleet.servers.values())
        )

    gateway_fleet.run_scenario(scenario)


def test_a_request_gets_504_when_the_route_timeout_expires():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = gateway_fleet.answer_after(60.0)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await fleet.call()
        assert response.status == 504
        assert loop.time() - started_at < 30.0

    routes = [gateway_fleet.route(timeout="1s")]
    gateway_fleet.run_scenario(
        scenario, config=gateway_fleet.configuration(1, routes)
    )


def test_unreachable_servers_give_503_until_a_reachable_one_is_added():
    async def scenario(fleet):
        port = gateway_fleet.free_port()
        fleet.servers["i1"].address = (f"{gateway_fleet.NETWORK}.0.1", port)
        fleet.servers["i2"].address = (f"{gateway_fleet.NETWORK}.0.1", port)
        await fleet.register("i1")
        await fleet.register("i2")
        view = fleet.hosts["h1"].view.servers
        await fleet.wait_until(
            lambda: all(
                s.registration.address[1] == port for s in view.values()
            )
        )
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 503
        assert response.find(b"retry-after") is not None
        await fleet.add_server("i3")
        await fleet.wait_until(lambda: "i3" in view)
        response = await fleet.call("/u/x", method="POST", body=b"x")
        assert response.status == 200

    gateway_fleet.run_scenario(scenario)


@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_an_earlier_refusal_that_is_written_again_refuses_no_other_request(
    named, method
):
    async def scenario(fleet):
        refusal = [
            "HTTP/1.1 503 Service Unavailable",
            "X-Banyanshed-Not-Executed: 1",
            "Content-Length: 0",
        ]

        async def refuse_again(exchange):
            # The request is running when the earlier refusal is written again.
            lines = list(refusal)
            if named:
                lines.append("X-Banyanshed-Request-Id: id0")
            exchange.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            await asyncio.sleep(0.05)
            exchange.respond()

        path = "/u/x" if method == "POST" else "/r/x"
        connection = await fleet.connect()
        for _ in range(2):
            request = fleet.request(path, method=method, body=b"")
            assert (await connection.send(request)).status == 200
        for server in fleet.servers.values():
            server.action = refuse_again
        request = fleet.request(path, method=method, body=b"")
        response = await connection.send(request)
        assert response.status in (200, 502)
        sent = [
            exchange
            for exchange in gateway_fleet.all_exchanges(fleet)
            if exchange.headers["x-banyanshed-request-id"] == "id3"
        ]
        assert method == "GET" or len(sent) == 1

    gateway_fleet.run_scenario(scenario, servers=("i1",))

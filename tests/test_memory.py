"""Memory limits for responses.

Backend servers that send bytes without end and callers that do not read their
responses must not exhaust the host's memory.
"""

import asyncio

import pytest

from banyanshed.gateway import memory
from tests import gateway_fleet

PIECE = b"x" * (64 << 10)
MAX_BYTES = 4 << 20
HEAD = "HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: {id}\r\n"
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
FLOODS = {
    "chunks": (HEAD + "Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "no length": (HEAD + "\r\n", PIECE),
    "length": (HEAD + "Content-Length: 999999999999\r\n\r\n", PIECE),
    "head": (HEAD + "X-A: b", PIECE),
    "headers": (HEAD, b"X-A: b\r\n" * 1000),
    "chunk extension": (
        HEAD + "Transfer-Encoding: chunked\r\n\r\n5;",
        PIECE,
    ),
    "trailers": (
        HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: b\r\n" * 1000,
    ),
    "interim": ("", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "others": (
        "",
        b"HTTP/1.1 200 OK\r\nX-Banyanshed-Request-Id: no\r\n"
        b"Content-Length: 0\r\n\r\n" * 100,
    ),
}


class FakeHolder:
    def __init__(self):
        self.reasons = []

    def terminate(self, reason):
        self.reasons.append(reason)


def test_the_response_with_the_highest_memory_cost_is_terminated():
    response_memory = memory.ResponseMemory(100)
    endless, slow, big = FakeHolder(), FakeHolder(), FakeHolder()
    response_memory.add_bytes(slow, 1, 0.0)
    response_memory.add_bytes(endless, 50, 1.0)
    response_memory.add_bytes(big, 48, 1.9)
    response_memory.add_bytes(big, 5, 2.0)
    assert (len(endless.reasons), slow.reasons, big.reasons) == (1, [], [])
    assert response_memory.total == 54
    response_memory.release(slow)
    response_memory.release(big)
    response_memory.release(endless)
    assert response_memory.total == 0


def test_a_response_larger_than_the_limit_is_terminated_at_once():
    response_memory = memory.ResponseMemory(100)
    endless = FakeHolder()
    response_memory.add_bytes(endless, 101, 1.0)
    assert len(endless.reasons) == 1
    assert not response_memory.held


def flood(prefix, piece, ended):
    async def act(exchange):
        request_id = exchange.headers["x-banyanshed-request-id"]
        exchange.write(prefix.format(id=request_id).encode())
        try:
            while True:
                exchange.write(piece)
                await exchange.writer.drain()
                # Lets other tasks run between two pieces.
                await asyncio.sleep(0)
        except ConnectionError:
            ended.append(exchange)

    return act


@pytest.mark.parametrize("kind", FLOODS)
def test_endless_responses_are_terminated_and_others_are_served(kind):
    async def scenario(fleet):
        ended = []
        for id_ in ("i1", "i2"):
            fleet.servers[id_].action = flood(*FLOODS[kind], ended)
        await fleet.add_server("i3", service="t")
        host = fleet.hosts["h1"]
        await fleet.wait_until(lambda: "i3" in host.view.servers)
        response_memory = host.connection_pools.response_memory
        response_memory.max_bytes = MAX_BYTES
        max_total = 0

        async def watch():
            nonlocal max_total
            while True:
                max_total = max(max_total, response_memory.total)
                await asyncio.sleep(0)

        watching = asyncio.ensure_future(watch())
        floods = [
            fleet.call("/u/x", method="POST", x_banyanshed_affinity_key=str(n))
            for n in range(6)
        ]
        results = asyncio.gather(*floods)
        for _ in range(5):
            assert (await fleet.call("/t/x")).status == 200
        statuses = {response.status for response in await results}
        watching.cancel()
        # A request that reached no server gets 503; one that reached a server
        # may have run and gets 502.
        assert 502 in statuses
        assert statuses <= {502, 503}
        assert max_total <= MAX_BYTES
        flooded = [
            exchange
            for exchange in gateway_fleet.all_exchanges(fleet)
            if exchange.server.id != "i3"
        ]
        await fleet.wait_until(lambda: len(ended) == len(flooded))
        assert response_memory.total == 0

    routes = [
        gateway_fleet.route(timeout="20s"),
        gateway_fleet.route("u", "unsafe", timeout="20s"),
        gateway_fleet.route("t", service="t"),
    ]
    config = gateway_fleet.configuration(1, routes)
    config["backends"].append({"name": "t", "cold": "1s", "coldPerS": 8.0})
    gateway_fleet.run_scenario(scenario, config=config)


BIG = b"y" * (8 << 20)


async def answer_big(exchange):
    exchange.respond(body=BIG)
    await exchange.writer.drain()


async def open_reader(fleet):
    """Connects as a caller with a small buffer; the test reads from it."""
    address = fleet.hosts["h1"].settings.callers
    reader, writer = await asyncio.open_connection(*address, limit=1 << 16)
    fleet.stack.callback(writer.close)
    return reader, writer


def encode(request):
    lines = [b" ".join([request.method, request.target, b"HTTP/1.1"])]
    lines += [b": ".join(header) for header in request.headers]
    return b"\r\n".join([*lines, b"", b""])


def test_a_caller_must_read_a_response_before_its_next_request_is_served():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = answer_big
        reader, writer = await open_reader(fleet)
        for _ in range(3):
            writer.write(encode(fleet.request()))
        response_memory = fleet.hosts["h1"].response_memory
        await fleet.wait_until(lambda: response_memory.total)
        await asyncio.sleep(0.3)
        assert len(gateway_fleet.all_exchanges(fleet)) == 1
        for _ in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(BIG)) == BIG
        assert len(gateway_fleet.all_exchanges(fleet)) == 3
        await fleet.wait_until(lambda: not response_memory.total)

    gateway_fleet.run_scenario(scenario)


def test_callers_that_do_not_read_are_dropped_at_the_memory_limit():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = answer_big
        response_memory = fleet.hosts["h1"].response_memory
        response_memory.max_bytes = 2 * len(BIG)
        readers = []
        for _ in range(6):
            reader, writer = await open_reader(fleet)
            writer.write(encode(fleet.request()))
            readers.append(reader)
            await asyncio.sleep(0.1)
            assert response_memory.total <= response_memory.max_bytes
        assert (await fleet.call("/u/x", method="POST")).body == BIG

    gateway_fleet.run_scenario(scenario)


def test_a_caller_that_never_reads_is_dropped_after_the_idle_timeout():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = answer_big
        _, writer = await open_reader(fleet)
        writer.write(encode(fleet.request()))
        host = fleet.hosts["h1"]
        await fleet.wait_until(lambda: host.response_memory.total)
        await fleet.wait_until(lambda: not host.listener.connections)
        assert host.response_memory.total == 0

    config = gateway_fleet.configuration()
    config["limits"]["idleTimeout"] = "1s"
    gateway_fleet.run_scenario(scenario, config=config)

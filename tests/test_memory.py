"""Bytes without end from backend servers neither fill the memory nor last."""

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


class Holding:
    def __init__(self):
        self.reasons = []

    def give_up(self, reason):
        self.reasons.append(reason)


def test_an_answer_that_holds_much_for_long_is_given_up_for_others():
    answers = memory.AnswerMemory(100)
    endless, slow, big = Holding(), Holding(), Holding()
    answers.take(slow, 1, 0.0)
    answers.take(endless, 50, 1.0)
    answers.take(big, 48, 1.9)
    answers.take(big, 5, 2.0)
    assert (len(endless.reasons), slow.reasons, big.reasons) == (1, [], [])
    assert answers.total == 54
    answers.release(slow)
    answers.release(big)
    answers.release(endless)
    assert answers.total == 0


def test_an_answer_that_is_larger_than_all_memory_is_given_up_at_once():
    answers = memory.AnswerMemory(100)
    endless = Holding()
    answers.take(endless, 101, 1.0)
    assert len(endless.reasons) == 1
    assert not answers.held


def flood(prefix, piece, ended):
    async def act(exchange):
        request_id = exchange.headers["x-banyanshed-request-id"]
        exchange.write(prefix.format(id=request_id).encode())
        try:
            while True:
                exchange.write(piece)
                await exchange.writer.drain()
                # Others get their turn between two pieces.
                await asyncio.sleep(0)
        except ConnectionError:
            ended.append(exchange)

    return act


@pytest.mark.parametrize("kind", FLOODS)
def test_answers_without_end_are_given_up_and_others_are_served(kind):
    async def scenario(fleet):
        ended = []
        for id_ in ("i1", "i2"):
            fleet.servers[id_].action = flood(*FLOODS[kind], ended)
        await fleet.add_server("i3", service="t")
        host = fleet.hosts["h1"]
        await fleet.await_true(lambda: "i3" in host.view.servers)
        answers = host.kept.answers
        answers.max_bytes = MAX_BYTES
        most = 0

        async def watch():
            nonlocal most
            while True:
                most = max(most, answers.total)
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
        # What no server took is refused; what one took may have run.
        assert 502 in statuses
        assert statuses <= {502, 503}
        assert most <= MAX_BYTES
        flooded = [
            exchange
            for exchange in gateway_fleet.all_exchanges(fleet)
            if exchange.server.id != "i3"
        ]
        await fleet.await_true(lambda: len(ended) == len(flooded))
        assert answers.total == 0

    routes = [
        gateway_fleet.route(timeout="20s"),
        gateway_fleet.route("u", "unsafe", timeout="20s"),
        gateway_fleet.route("t", service="t"),
    ]
    config = gateway_fleet.configuration(1, routes)
    config["backends"].append({"name": "t", "cold": "1s", "coldPerS": 8.0})
    gateway_fleet.play(scenario, config=config)


BIG = b"y" * (8 << 20)


async def answer_big(exchange):
    exchange.answer(body=BIG)
    await exchange.writer.drain()


async def open_reader(fleet):
    """Connects as a caller that reads only when the test does."""
    address = fleet.hosts["h1"].settings.callers
    reader, writer = await asyncio.open_connection(*address, limit=1 << 16)
    fleet.stack.callback(writer.close)
    return reader, writer


def encode(request):
    lines = [b" ".join([request.method, request.target, b"HTTP/1.1"])]
    lines += [b": ".join(header) for header in request.headers]
    return b"\r\n".join([*lines, b"", b""])


def test_a_caller_that_does_not_read_its_answer_gets_no_further_one():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = answer_big
        reader, writer = await open_reader(fleet)
        for _ in range(3):
            writer.write(encode(fleet.request()))
        answers = fleet.hosts["h1"].answers
        await fleet.await_true(lambda: answers.total)
        await asyncio.sleep(0.3)
        assert len(gateway_fleet.all_exchanges(fleet)) == 1
        for _ in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(BIG)) == BIG
        assert len(gateway_fleet.all_exchanges(fleet)) == 3
        await fleet.await_true(lambda: not answers.total)

    gateway_fleet.play(scenario)


def test_callers_that_read_nothing_are_dropped_before_memory_is_short():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = answer_big
        answers = fleet.hosts["h1"].answers
        answers.max_bytes = 2 * len(BIG)
        readers = []
        for _ in range(6):
            reader, writer = await open_reader(fleet)
            writer.write(encode(fleet.request()))
            readers.append(reader)
            await asyncio.sleep(0.1)
            assert answers.total <= answers.max_bytes
        assert (await fleet.call("/u/x", method="POST")).body == BIG

    gateway_fleet.play(scenario)


def test_a_caller_that_never_reads_is_dropped_after_the_idle_timeout():
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.action = answer_big
        _, writer = await open_reader(fleet)
        writer.write(encode(fleet.request()))
        host = fleet.hosts["h1"]
        await fleet.await_true(lambda: host.answers.total)
        await fleet.await_true(lambda: not host.stage.connections)
        assert host.answers.total == 0

    config = gateway_fleet.configuration()
    config["limits"]["idleTimeout"] = "1s"
    gateway_fleet.play(scenario, config=config)

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


def test_the_longest_answer_is_given_up_when_memory_is_short():
    answers = memory.AnswerMemory(100)
    short, long = Holding(), Holding()
    answers.take(long, 60)
    answers.take(short, 30)
    answers.take(short, 20)
    assert (len(long.reasons), short.reasons) == (1, [])
    assert answers.total == 50
    answers.release(short)
    answers.release(long)
    assert answers.total == 0


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

"""Parsing of many small pieces is divided into turns of the event loop."""

import asyncio

import pytest

from banyanshed.gateway import clients
from banyanshed.gateway import listeners
from banyanshed.gateway import memory
from banyanshed.gateway import messages
from banyanshed.gateway import turns
from banyanshed.steering import models
from tests import gateway_fleet

CHUNK = b"1\r\n.\r\n"
CHUNKS = 20_000
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UPLOAD_HEAD = (
    b"POST /r/x HTTP/1.1\r\nHost: h.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Takes what is written, and tells whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.is_reading_paused = False
        self.is_ended = False
        self.written = b""

    def get_extra_info(self, name, default=None):
        return FakeSocket() if name == "socket" else default

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.is_reading_paused = True

    def resume_reading(self):
        self.is_reading_paused = False

    def is_closing(self):
        return self.is_ended

    def can_write_eof(self):
        return False

    def close(self):
        self.is_ended = True

    abort = close


class FakeSocket:
    def setsockopt(self, *_):
        pass


def open_client():
    """Returns a connection whose request waits for its response."""
    connection = clients.Connection()
    connection.connection_made(FakeTransport())
    request = messages.Request(b"GET", b"/", [(b"host", b"h.example")])
    return connection, asyncio.ensure_future(connection.send(request))


def open_listener(max_body=10**6):
    """Returns a caller's connection, and what its handler was given."""
    received = []

    async def handle(request):
        received.append(request)
        return messages.Response(200)

    limits = models.ClientLimits(body_bytes=max_body)
    listener = listeners.Listener(
        handle, limits, 10**9, memory.ResponseMemory(10**9)
    )
    connection = listeners.CallerConnection(listener)
    connection.connection_made(FakeTransport())
    return connection, received


async def count_parsed(connections):
    """Returns the bytes that were parsed in each turn of the loop."""
    parsed = []
    before = sum(len(c.body) for c in connections)
    while any(c.turns.is_waiting for c in connections):
        await asyncio.sleep(0)
        after = sum(len(c.body) for c in connections)
        parsed.append(after - before)
        before = after
    return parsed


@pytest.mark.parametrize("count", [1, 5])
def test_small_chunks_of_responses_do_not_hold_up_the_loop(count):
    # Guards against requests that are answered late beside an endless response.
    async def scenario():
        opened = [open_client() for _ in range(count)]
        await asyncio.sleep(0)
        for connection, _ in opened:
            connection.data_received(HEAD + CHUNK * CHUNKS)
            assert len(connection.body) <= turns.EVENTS_PER_TURN
            assert connection.transport.is_reading_paused
        connections = [connection for connection, _ in opened]
        parsed = await count_parsed(connections)
        assert max(parsed) <= turns.EVENTS_PER_TURN
        assert sum(len(c.body) for c in connections) == CHUNKS * count
        for connection, response in opened:
            assert not connection.transport.is_reading_paused
            connection.data_received(END)
            assert len((await response).body) == CHUNKS

    asyncio.run(scenario())


@pytest.mark.parametrize("count", [1, 5])
def test_small_chunks_of_uploads_do_not_hold_up_the_loop(count):
    async def scenario():
        opened = [open_listener() for _ in range(count)]
        for connection, _ in opened:
            connection.data_received(UPLOAD_HEAD + CHUNK * CHUNKS)
        connections = [connection for connection, _ in opened]
        parsed = await count_parsed(connections)
        assert max(parsed) <= turns.EVENTS_PER_TURN
        for connection, received in opened:
            assert not connection.transport.is_reading_paused
            connection.data_received(END)
            await asyncio.sleep(0)
            assert [len(request.body) for request in received] == [CHUNKS]

    asyncio.run(scenario())


def test_an_upload_over_the_limit_is_rejected_in_a_later_turn():
    async def scenario():
        connection, received = open_listener(max_body=1000)
        connection.data_received(UPLOAD_HEAD + CHUNK * CHUNKS)
        await count_parsed([connection])
        assert connection.transport.written.startswith(b"HTTP/1.1 413")
        assert not connection.transport.is_reading_paused
        assert not received

    asyncio.run(scenario())


def test_a_request_that_ends_while_it_waits_for_a_turn_is_parsed_no_further():
    async def scenario():
        connection, response = open_client()
        await asyncio.sleep(0)
        connection.data_received(HEAD + CHUNK * CHUNKS)
        response.cancel()
        parsed = await count_parsed([connection])
        assert sum(parsed) <= turns.EVENTS_PER_TURN
        assert connection.transport.is_ended

    asyncio.run(scenario())


def test_a_fault_of_one_connection_leaves_the_turns_of_the_others():
    async def scenario():
        first, first_response = open_client()
        second, second_response = open_client()
        await asyncio.sleep(0)
        first.data_received(HEAD + CHUNK * 500 + b"no chunk\r\n")
        second.data_received(HEAD + CHUNK * 500 + END)
        with pytest.raises(clients.ResponseLost):
            await first_response
        assert len((await second_response).body) == 500

    asyncio.run(scenario())


def test_pipelined_requests_in_small_chunks_are_served_in_order():
    async def scenario():
        connection, received = open_listener()
        body = CHUNK * 1000 + END
        connection.data_received((UPLOAD_HEAD + body) * 3)
        async with asyncio.timeout(gateway_fleet.WAIT_TIMEOUT_S):
            while len(received) < 3:
                await asyncio.sleep(0)
        assert [len(request.body) for request in received] == [1000] * 3

    asyncio.run(scenario())

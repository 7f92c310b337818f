"""Incoming HTTP connections of callers, peers, operators and probes."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses

import h11

from banyanshed.gateway import clients
from banyanshed.gateway import logs
from banyanshed.gateway import memory
from banyanshed.gateway import messages
from banyanshed.gateway import turns as turns_lib
from banyanshed.steering import models

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

BACKLOG = 512
TIMEOUT_CHECK_INTERVAL_S = 0.5
# After a rejection, received bytes are discarded for this long: closing with
# unread bytes would reset the connection before the response arrives.
LINGER_S = 1.0
# Limit on pipelined bytes received while a request is served.
MAX_PIPELINED_BYTES = 256 << 10


@dataclasses.dataclass(slots=True)
class Listener:
    """State shared by the connections of a listener.

    Attributes:
        handler: Returns the response to a request.
        limits: Limits on requests; replaced with each configuration.
        closing: Whether connections close after the current response.
        connections: All open connections.
        buffered_bytes: Bytes of request bodies that are buffered.
        max_buffered_bytes: Limit above which request bodies are rejected.
        response_memory: Limits what unread responses to callers may hold.
    """

    handler: Handler
    limits: models.ClientLimits
    max_buffered_bytes: int
    response_memory: memory.ResponseMemory
    closing: bool = False
    connections: set["CallerConnection"] = dataclasses.field(
        default_factory=set
    )
    buffered_bytes: int = 0


class CallerConnection(asyncio.Protocol):
    """A connection that a listener accepted; serves its requests in order.

    All listeners of the host use this class. The remote end, named the caller
    here, may also be a peer, an operator, a scraper of metrics or a readiness
    probe. Times are in seconds of the event loop's clock.
    """

    def __init__(self, listener: Listener):
        """Creates an unconnected protocol that uses the listener's state."""
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.turns = turns_lib.Turns(self._read_turn)
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=listener.limits.header_bytes
        )
        self.head: h11.Request | None = None
        self.head_at = 0.0
        self.body = bytearray()
        self.task: asyncio.Task[None] | None = None
        self.idle_since = self.loop.time()
        self.receiving_since: float | None = None
        self.rejected = False
        self.unread_since: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request or response is in progress."""
        if self.unread_since is not None:
            return False
        return self.task is None and self.receiving_since is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; enables detection of a dead remote end."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.turns.transport = transport
        self.listener.connections.add(self)
        clients.enable_dead_peer_detection(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Receives bytes; parses them when no request is being served."""
        if self.rejected:
            return
        self.http.receive_data(data)
        if self.task is not None or self.unread_since is not None:
            if len(self.http.trailing_data[0]) > MAX_PIPELINED_BYTES:
                self.abort()
            return
        if self.receiving_since is None:
            self.receiving_since = self.loop.time()
        self.turns.read()

    def eof_received(self) -> bool:
        """Cancels the request being served: the caller no longer waits."""
        if self.task is not None:
            self.task.cancel()
        return False

    def pause_writing(self) -> None:
        """Applies back-pressure until the caller has read the response."""
        assert self.transport is not None
        self.unread_since = self.loop.time()
        unread = self.transport.get_write_buffer_size()
        self.listener.response_memory.add_bytes(self, unread, self.unread_since)

    def resume_writing(self) -> None:
        """Continues with requests received while writing was paused."""
        self.unread_since = None
        self.idle_since = self.loop.time()
        self.listener.response_memory.release(self)
        if self.transport is None or self.transport.is_closing():
            return
        if self.task is None:
            self.turns.read()

    def terminate(self, reason: str) -> None:
        """Aborts the connection of a caller that does not read its response."""
        logs.log_event("answer_unread", reason=reason)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases buffers and cancels the request being served."""
        self.listener.connections.discard(self)
        self.listener.response_memory.release(self)
        self._release_body()
        if self.task is not None:
            self.task.cancel()

    def close(self) -> None:
        """Closes the connection after pending writes."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Aborts the connection; pending writes are dropped."""
        if self.transport is not None:
            self.transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Closes the connection when the caller exceeds a timeout."""
        limits = self.listener.limits
        if self.unread_since is not None:
            if now - self.unread_since > limits.idle_timeout_s:
                self.terminate("the caller did not read the response in time")
            return
        if self.task is not None or self.rejected:
            return
        if self.receiving_since is None:
            if now - self.idle_since > limits.idle_timeout_s:
                self.close()
            return
        if self.head is None:
            if now - self.receiving_since > limits.header_timeout_s:
                self._reject(408)
            return
        if now - self.receiving_since > limits.idle_timeout_s:
            self._reject(408)

    def _read_turn(self) -> bool:
        """Parses for one turn; returns whether more may be left to parse."""
        if self.receiving_since is None and self.http.trailing_data[0]:
            self.receiving_since = self.loop.time()
        for _ in range(turns_lib.EVENTS_PER_TURN):
            if not self._may_parse():
                return False
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint or 400)
                return False
            if event is h11.NEED_DATA:
                self._send_continue()
                return False
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.close()
                return False
            if isinstance(event, h11.Request):
                self.head = event
                self.head_at = self.loop.time()
                continue
            if isinstance(event, h11.Data):
                if not self._buffer_body(event.data):
                    return False
                continue
            if isinstance(event, h11.EndOfMessage):
                self._start()
        return True

    def _may_parse(self) -> bool:
        """Returns whether the next request may be parsed now."""
        if self.task is not None or self.rejected:
            return False
        return self.transport is not None and not self.transport.is_closing()

    def _send_continue(self) -> None:
        if self.http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self.http.send(response))

    def _buffer_body(self, data: bytes) -> bool:
        if len(self.body) + len(data) > self.listener.limits.body_bytes:
            self._reject(413)
            return False
        if self.listener.buffered_bytes > self.listener.max_buffered_bytes:
            self._reject(503)
            return False
        self.body += data
        self.listener.buffered_bytes += len(data)
        return True

    def _start(self) -> None:
        assert self.head is not None
        request = messages.Request(
            self.head.method,
            self.head.target,
            list(self.head.headers),
            bytes(self.body),
            self.head_at,
        )
        self.task = self.loop.create_task(self._serve(request))

    async def _serve(self, request: messages.Request) -> None:
        response = await self.listener.handler(request)
        self.task = None
        self._release_body()
        self.head = None
        self.receiving_since = None
        self.idle_since = self.loop.time()
        if self.transport is None or self.transport.is_closing():
            return
        self._send(response)
        if self.http.our_state is not h11.DONE or self.listener.closing:
            self.close()
            return
        if self.http.their_state is not h11.DONE:
            self.close()
            return
        self.http.start_next_cycle()
        if self.unread_since is None:
            self.turns.read()

    def _send(self, response: messages.Response) -> None:
        headers = list(response.headers)
        length = str(len(response.body)).encode()
        headers.append((b"content-length", length))
        if self.listener.closing:
            headers.append((b"connection", b"close"))
        parts = [
            self.http.send(
                h11.Response(status_code=response.status, headers=headers)
            )
        ]
        if response.body:
            parts.append(self.http.send(h11.Data(data=response.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self._write(b"".join(part for part in parts if part))

    def _reject(self, status: int) -> None:
        """Rejects a request that was not fully read, and closes."""
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if status == 503:
            headers.append((b"retry-after", b"1"))
        states = (h11.IDLE, h11.SEND_RESPONSE)
        if self.http.our_state in states:
            response = h11.Response(status_code=status, headers=headers)
            self._write(self.http.send(response))
            self._write(self.http.send(h11.EndOfMessage()))
        self.rejected = True
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.close)

    def _release_body(self) -> None:
        self.listener.buffered_bytes -= len(self.body)
        self.body = bytearray()

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None:
            self.transport.write(data)


async def listen(
    address: models.Address,
    listener: Listener,
    stack: contextlib.AsyncExitStack,
) -> asyncio.Server:
    """Accepts connections until the exit stack closes.

    Raises:
        OSError: The socket can't be bound to the address.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerConnection(listener),
        address[0],
        address[1],
        backlog=BACKLOG,
        reuse_address=True,
    )
    stack.callback(server.close)
    timeout_task = loop.create_task(_check_timeouts(listener))
    stack.callback(timeout_task.cancel)
    return server


async def _check_timeouts(listener: Listener) -> None:
    while True:
        await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
        now = asyncio.get_running_loop().time()
        for connection in list(listener.connections):
            connection.check_timeouts(now)

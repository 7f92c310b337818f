"""In-process test double of a backend server with scripted responses."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import socket
import struct

import h11

Action = Callable[["Exchange"], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request at the server and the operations on its connection.

    Attributes:
        method: Method of the request.
        target: Path and query.
        headers: Headers by lower-case name.
        body: Body of the request.
        writer: Connection for the response.
        server: The server that received the request.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    server: "BackendServer"

    def respond(
        self,
        status: int = 200,
        body: bytes = b"ok",
        request_id: str | None = None,
        **extra: str,
    ) -> None:
        """Writes a complete response.

        Underscores in the names of extra headers become hyphens.
        """
        headers = {
            "X-Banyanshed-Request-Id": request_id
            or self.headers["x-banyanshed-request-id"],
            "X-Banyanshed-Response-Stamp": f"stamp-{self.server.id}",
            "X-Banyanshed-Server-Load": "1,0,4",
            "Content-Length": str(len(body)),
        }
        for name, value in extra.items():
            headers[name.replace("_", "-")] = value
        lines = [f"HTTP/1.1 {status} Some Reason"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def write(self, data: bytes) -> None:
        """Writes raw bytes."""
        self.writer.write(data)

    def close(self) -> None:
        """Closes the connection gracefully."""
        self.writer.close()

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        _reset(self.writer)


async def respond_ok(exchange: Exchange) -> None:
    """Responds at once with status 200."""
    exchange.respond()


class BackendServer:
    """Backend server on a loopback address.

    Attributes:
        id: Id under which it is registered.
        action: Called for each request.
        exchanges: All requests received.
        cancelled: Number of requests whose connection closed before the
            response.
        connections: Number of connections accepted.
        address: IP and port at which it listens, once started.
        crashes: Number of times that its process ended.
        writers: Open connections.
    """

    def __init__(self, id_: str, action: Action = respond_ok):
        """Takes the id and the action for each request."""
        self.id = id_
        self.action = action
        self.exchanges: list[Exchange] = []
        self.cancelled = 0
        self.connections = 0
        self.address: tuple[str, int] = ("", 0)
        self.crashes = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, stack: contextlib.AsyncExitStack, ip: str) -> None:
        """Listens until the exit stack closes."""
        await self._listen(ip, 0)
        stack.callback(self._end)

    def crash(self) -> None:
        """Ends the server's process: nothing listens at its address."""
        self.crashes += 1
        self._close()
        for writer in list(self.writers):
            _reset(writer)

    async def restart(self) -> None:
        """Starts the process again at the same address."""
        await self._listen(*self.address)

    async def _listen(self, ip: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _end(self) -> None:
        """Closes all connections; the loop must not end before they do."""
        self._close()
        for writer in list(self.writers):
            writer.transport.abort()

    def _close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            while not writer.is_closing():
                exchange = await self._read(http, reader, writer)
                if exchange is None:
                    break
                await self._run_action(exchange, reader, http)
                http = _next_cycle(http)
        self.writers.discard(writer)
        writer.close()

    async def _read(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Exchange | None:
        head = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                return None
            elif isinstance(event, h11.EndOfMessage):
                break
        assert head is not None
        headers = {k.decode(): v.decode() for k, v in head.headers}
        exchange = Exchange(
            head.method.decode(),
            head.target.decode(),
            headers,
            body,
            writer,
            self,
        )
        self.exchanges.append(exchange)
        return exchange

    async def _run_action(
        self,
        exchange: Exchange,
        reader: asyncio.StreamReader,
        http: h11.Connection,
    ) -> None:
        """Runs the action; cancels it when the client disconnects."""
        action = asyncio.ensure_future(self.action(exchange))
        more = asyncio.ensure_future(reader.read(65536))
        await asyncio.wait({action, more}, return_when="FIRST_COMPLETED")
        if more.done() and not more.result() and not action.done():
            self.cancelled += 1
            action.cancel()
            exchange.writer.close()
            return
        if more.done():
            http.receive_data(more.result())
        else:
            # Another read may start only once this one has ended.
            more.cancel()
            await asyncio.wait({more})
        await action


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _next_cycle(http: h11.Connection) -> h11.Connection:
    """Returns a parser for the next request, with the bytes left over."""
    fresh = h11.Connection(h11.SERVER)
    if http.trailing_data[0]:
        # h11 takes empty input as EOF.
        fresh.receive_data(http.trailing_data[0])
    return fresh

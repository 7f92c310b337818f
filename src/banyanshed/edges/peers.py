"""Connections between entry hosts: pycapnp over TCP on the daemon's loop.

The daemon runs within `async with capnp.kj_loop()`. A connection yields the
capability that answers calls only after both ends proved, by HMAC-SHA256 over
both nonces, that they know the fleet secret; the secret itself is never sent.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import hashlib
import hmac
import random
import secrets
import socket
from typing import Any, Protocol, TypeVar

import capnp
import eliot

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed.core import gossip
from banyanshed.core import handover
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.edges import codec

Answer = TypeVar("Answer")

PROTOCOL_VERSION = 1

MAX_MESSAGE_WORDS = 1 << 15
MAX_MESSAGE_BYTES = 8 * MAX_MESSAGE_WORDS
CHUNK_BYTES = 1 << 16
MAX_DELTA_BYTES = 1 << 27
NONCE_BYTES = 32

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 60.0
FAREWELL_S = 0.2
BACKOFF_FIRST_S = 0.25
BACKOFF_MAX_S = 8.0
MAX_SERVED = 64
MAX_OPENED = 32
MAX_CACHED_DELTAS = 2
MAX_CALLS_PER_CONNECTION = 32
BACKLOG = 64
TCP_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True)
class Delta:
    """Rows changed after a version, encoded.

    Attributes:
        version: Version that they lead to.
        content: Encoded rows.
    """

    version: int
    content: bytes


@dataclasses.dataclass(frozen=True)
class Chunk:
    """A part of a delta.

    Attributes:
        version: Version that the whole delta leads to.
        size: Bytes of the whole delta.
        content: The part.
    """

    version: int
    size: int
    content: bytes


class PeerHandler(Protocol):
    """What answers the calls of peers; runs on the loop and never blocks."""

    def on_gossip(self, message: gossip.GossipMessage) -> gossip.GossipMessage:
        """Returns the reply to a question."""

    def version(self) -> int:
        """Returns the version of the configuration in force."""

    def delta_since(self, version: int) -> Delta:
        """Returns what changed after a version."""

    def on_heartbeat(
        self, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Returns a witness's answer to the holder of a session."""

    def on_open_handover(self) -> handover.Opening:
        """Returns what the giver of a session must repeat."""

    def on_hand_over(self, opening: handover.Opening, content: bytes) -> bool:
        """Returns whether a peer's session was taken over."""


@dataclasses.dataclass
class PeerLimits:
    """Bounds of the transport; tests shorten the times.

    Attributes:
        connect_timeout_s: Longest time to connect and prove the secret.
        call_timeout_s: Longest time of one call.
        handshake_timeout_s: Longest life of a connection without proof.
        idle_timeout_s: Longest time without calls.
        max_served: Most connections accepted at once.
        max_opened: Most connections opened at once.
    """

    connect_timeout_s: float = CONNECT_TIMEOUT_S
    call_timeout_s: float = CALL_TIMEOUT_S
    handshake_timeout_s: float = HANDSHAKE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_served: int = MAX_SERVED
    max_opened: int = MAX_OPENED


def log_closed(code: str, **fields: Any) -> None:
    """Logs why a connection between hosts was closed."""
    eliot.log_message(message_type="peer:closed", code=code, **fields)


def prove(secret: bytes, role: str, *parts: bytes) -> bytes:
    """Returns a proof of the secret for one side of one connection."""
    proof = hmac.new(secret, digestmod=hashlib.sha256)
    for part in (role.encode(), *parts):
        proof.update(len(part).to_bytes(4, "big"))
        proof.update(part)
    return proof.digest()


def set_socket_options(sock: socket.socket) -> None:
    """Sends small messages at once; aborts when the other end is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_TIMEOUT_MS)


class PeerService(codec.SCHEMA.Peer.Server):
    """Answers the calls of a peer that proved the secret."""

    def __init__(self, connection: "ServedConnection"):
        """Takes the connection that it belongs to."""
        super().__init__()
        self.connection = connection

    async def gossip(self, message: Any, _context: Any, **_: Any) -> None:
        """Answers a question."""
        with self.connection.calling() as server:
            question = codec.read_message(message)
            reply = server.handler.on_gossip(question)
            codec.write_message(_context.results.init("reply"), reply)

    async def fetchDelta(  # noqa: N802
        self, since: int, version: int, offset: int, _context: Any, **_: Any
    ) -> None:
        """Returns one chunk of a delta."""
        with self.connection.calling() as server:
            delta = server.find_delta(since, version)
            results = _context.results
            results.version = delta.version
            results.size = len(delta.content)
            results.chunk = delta.content[offset : offset + CHUNK_BYTES]

    async def heartbeat(self, heartbeat: Any, _context: Any, **_: Any) -> None:
        """Answers the holder of a session as its witness."""
        with self.connection.calling() as server:
            question = codec.read_heartbeat(heartbeat)
            answer = server.handler.on_heartbeat(question)
            codec.write_answer(_context.results.init("answer"), answer)

    async def openHandover(self, _context: Any, **_: Any) -> None:  # noqa: N802
        """Tells this process and its time."""
        with self.connection.calling() as server:
            opening = server.handler.on_open_handover()
            _context.results.incarnation = opening.incarnation
            _context.results.openedS = opening.opened_s

    async def handOver(  # noqa: N802
        self,
        incarnation: str,
        openedS: float,  # noqa: N803
        content: bytes,
        _context: Any,
        **_: Any,
    ) -> None:
        """Takes a session over."""
        with self.connection.calling() as server:
            opening = handover.Opening(
                sessions.Incarnation(incarnation), openedS
            )
            taken = server.handler.on_hand_over(opening, bytes(content))
            _context.results.taken = taken


class GateService(codec.SCHEMA.Gate.Server):
    """Checks the proof of one connection's client, once."""

    def __init__(self, connection: "ServedConnection"):
        """Takes the connection that it belongs to."""
        super().__init__()
        self.connection = connection
        self.nonces: tuple[bytes, bytes] | None = None
        self.client = b""

    async def hello(
        self, protocol: int, host: str, nonce: bytes, _context: Any, **_: Any
    ) -> None:
        """Proves the secret to the client."""
        results = _context.results
        results.protocol = PROTOCOL_VERSION
        if protocol != PROTOCOL_VERSION:
            results.error = exceptions.PeerVersionMismatch.code
            self.connection.refuse(
                exceptions.PeerVersionMismatch.code, protocol=protocol
            )
            return
        if self.nonces or len(nonce) != NONCE_BYTES or len(host) > 128:
            results.error = exceptions.PeerMalformed.code
            self.connection.refuse(exceptions.PeerMalformed.code)
            return
        server = self.connection.server
        own_nonce = secrets.token_bytes(NONCE_BYTES)
        self.nonces = (bytes(nonce), own_nonce)
        self.client = host.encode()
        results.host = server.host
        results.nonce = own_nonce
        results.proof = prove(
            server.secret,
            "server",
            *self.nonces,
            self.client,
            server.host.encode(),
        )

    async def authenticate(self, proof: bytes, _context: Any, **_: Any) -> None:
        """Hands out the capability that answers calls."""
        results = _context.results
        server = self.connection.server
        nonces, self.nonces = self.nonces, None
        expected = prove(
            server.secret,
            "client",
            *(nonces or (b"", b"")),
            self.client,
            server.host.encode(),
        )
        if nonces is None or not hmac.compare_digest(bytes(proof), expected):
            results.error = exceptions.PeerNotProved.code
            self.connection.refuse(exceptions.PeerNotProved.code)
            return
        self.connection.proved = True
        results.peer = PeerService(self.connection)


class ServedConnection:
    """One accepted connection.

    Attributes:
        server: The server that accepted it.
        proved: The client proved the secret.
        used_s: When the last call came, in the loop's time.
        farewell_s: Time left to the peer to read a refusal.
        failure: Set with the code of the fault that closes the connection.
    """

    def __init__(self, server: "PeerServer"):
        """Starts unproved."""
        self.server = server
        self.proved = False
        self.farewell_s = 0.0
        self.used_s = asyncio.get_running_loop().time()
        self.failure: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future()
        )

    @contextlib.contextmanager
    def calling(self) -> Any:
        """Counts a call as use; a malformed one closes the connection.

        The text of other errors is not told to the peer.
        """
        self.used_s = asyncio.get_running_loop().time()
        try:
            yield self.server
        except exceptions.PeerMalformed as error:
            self.refuse(error.code, detail=str(error))
            raise
        except exceptions.PeerError:
            raise
        except Exception:
            eliot.write_traceback()
            raise exceptions.PeerError("internal error") from None

    def refuse(self, code: str, **fields: Any) -> None:
        """Closes the connection once the refusal has been sent."""
        self.farewell_s = FAREWELL_S
        self.fail(code, **fields)

    def fail(self, code: str, **fields: Any) -> None:
        """Closes the connection for a fault, once, with a line in the log."""
        if self.failure.done():
            return
        self.failure.set_result(code)
        log_closed(code, **fields)

    async def serve(self, stream: Any) -> None:
        """Serves until the peer is gone, idle, too slow or at fault."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(stream.close)
            rpc = capnp.TwoPartyServer(
                stream,
                bootstrap=GateService(self),
                traversal_limit_in_words=MAX_MESSAGE_WORDS,
            )
            stack.callback(rpc.close)
            gone = asyncio.ensure_future(rpc.on_disconnect())
            stack.callback(gone.cancel)
            await self._watch(gone)

    async def _watch(self, gone: "asyncio.Future[None]") -> None:
        loop = asyncio.get_running_loop()
        limits = self.server.limits
        opened_s = loop.time()
        while True:
            deadline_s = self.used_s + limits.idle_timeout_s
            if not self.proved:
                deadline_s = opened_s + limits.handshake_timeout_s
            await asyncio.wait(
                (gone, self.failure),
                timeout=max(0.0, deadline_s - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self.failure.done():
                # A refusal under way still reaches the peer.
                await asyncio.sleep(self.farewell_s)
                return
            if gone.done():
                self.fail("peer_gone" if self.proved else "peer_foreign")
                return
            if not self.proved and loop.time() >= deadline_s:
                self.fail("peer_handshake_timeout")
                return
            if loop.time() >= self.used_s + limits.idle_timeout_s:
                self.fail("peer_idle")
                return


class PeerServer:
    """Accepts connections of peers and answers their calls.

    Attributes:
        connections: Open connections.
    """

    def __init__(
        self,
        host: models.HostId,
        secret: bytes,
        handler: PeerHandler,
        limits: PeerLimits | None = None,
    ):
        """Takes what answers the calls.

        Args:
            host: This host.
            secret: The fleet secret.
            handler: Answers the calls.
            limits: Bounds of time and number.
        """
        self.host = host
        self.secret = secret
        self.handler = handler
        self.limits = limits or PeerLimits()
        self.connections: dict[ServedConnection, asyncio.Task[None]] = {}
        self.deltas: dict[tuple[int, int], Delta] = {}
        self._stack = contextlib.AsyncExitStack()

    async def start(self, address: str) -> str:
        """Listens on "IP:port" and returns the address with the true port."""
        host, port = addresses.split(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        self._stack.callback(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_socket_options(sock)
        sock.bind((host, port))
        sock.setblocking(False)
        listener = await capnp.AsyncIoStream.create_server(
            self._accept, sock=sock, backlog=BACKLOG
        )
        self._stack.callback(listener.close)
        name, port = sock.getsockname()[:2]
        return f"[{name}]:{port}" if ":" in name else f"{name}:{port}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        tasks = list(self.connections.values())
        await self._stack.aclose()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def __aenter__(self) -> "PeerServer":
        """Returns itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the server."""
        await self.close()

    def find_delta(self, since: int, version: int) -> Delta:
        """Returns a delta; later chunks come from the one first told."""
        if version:
            held = self.deltas.get((since, version))
            if held is None:
                raise exceptions.PeerError(f"delta to {version} is gone")
            return held
        # Hosts that start together ask for the same rows.
        current = self.deltas.get((since, self.handler.version()))
        if current is not None:
            return current
        delta = self.handler.delta_since(since)
        if len(delta.content) > CHUNK_BYTES:
            self.deltas[(since, delta.version)] = delta
        while len(self.deltas) > MAX_CACHED_DELTAS:
            del self.deltas[next(iter(self.deltas))]
        return delta

    async def _accept(self, stream: Any) -> None:
        connection = ServedConnection(self)
        task = asyncio.current_task()
        assert task is not None
        self.connections[connection] = task
        if len(self.connections) > self.limits.max_served:
            self._close_one()
        try:
            await connection.serve(stream)
        except asyncio.CancelledError:
            # The stream's own callback would report this as a fault.
            return
        finally:
            del self.connections[connection]

    def _close_one(self) -> None:
        """Closes an unproved connection, or else the one least used."""
        staying = [
            connection
            for connection in self.connections
            if not connection.failure.done()
        ]
        worst = min(staying, key=lambda each: (each.proved, each.used_s))
        worst.fail("peer_connections_full")


@dataclasses.dataclass
class Opened:
    """One address that this host connects to.

    Attributes:
        lock: Held while connecting.
        stack: Owns the connection; None when there is none.
        peer: The capability that answers calls; None when unconnected.
        used_s: When the last call began, in the loop's time.
        calls: Calls under way.
        failures: Failed connections in a row.
        retry_at_s: Earliest time of the next connection.
    """

    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    stack: contextlib.AsyncExitStack | None = None
    peer: Any = None
    used_s: float = 0.0
    calls: int = 0
    failures: int = 0
    retry_at_s: float = 0.0


class PeerClient:
    """Calls peers; keeps a bounded number of connections for reuse.

    Attributes:
        opened: Known addresses, connected or backing off.
    """

    def __init__(
        self,
        host: models.HostId,
        secret: bytes,
        rng: random.Random,
        limits: PeerLimits | None = None,
    ):
        """Starts without connections.

        Args:
            host: This host.
            secret: The fleet secret.
            rng: Source of jitter.
            limits: Bounds of time and number.
        """
        self.host = host
        self.secret = secret
        self.rng = rng
        self.limits = limits or PeerLimits()
        self.opened: dict[str, Opened] = {}

    async def gossip(
        self, address: str, message: gossip.GossipMessage
    ) -> gossip.GossipMessage:
        """Returns the reply to a question; raises PeerError."""

        def send(peer: Any) -> Any:
            request = peer.gossip_request()
            codec.write_message(request.init("message"), message)
            return request.send()

        def read(answer: Any) -> gossip.GossipMessage:
            return codec.read_message(answer.reply)

        return await self._call(address, send, read)

    async def heartbeat(
        self, address: str, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Returns the witness's answer; raises PeerError."""

        def send(peer: Any) -> Any:
            request = peer.heartbeat_request()
            codec.write_heartbeat(request.init("heartbeat"), heartbeat)
            return request.send()

        def read(answer: Any) -> sessions.Acknowledgement:
            return codec.read_answer(answer.answer)

        return await self._call(address, send, read)

    async def open_handover(self, address: str) -> handover.Opening:
        """Returns the peer's process and time; raises PeerError."""

        def send(peer: Any) -> Any:
            return peer.openHandover()

        def read(answer: Any) -> handover.Opening:
            return handover.Opening(
                sessions.Incarnation(answer.incarnation), answer.openedS
            )

        return await self._call(address, send, read)

    async def hand_over(
        self, address: str, opening: handover.Opening, content: bytes
    ) -> bool:
        """Returns whether the peer took the session; raises PeerError."""

        def send(peer: Any) -> Any:
            return peer.handOver(opening.incarnation, opening.opened_s, content)

        def read(answer: Any) -> bool:
            return bool(answer.taken)

        return await self._call(address, send, read)

    async def fetch_delta(self, address: str, since: int) -> Delta:
        """Returns the rows changed after a version; raises PeerError."""
        version = 0
        content = bytearray()
        while True:
            chunk = await self._fetch_chunk(
                address, since, version, len(content)
            )
            if chunk.size > MAX_DELTA_BYTES:
                raise exceptions.PeerMalformed(f"delta of {chunk.size} bytes")
            version = chunk.version
            content += chunk.content
            if len(content) >= chunk.size:
                return Delta(version, bytes(content))
            if not chunk.content:
                raise exceptions.PeerMalformed("empty chunk")

    async def close_idle(self) -> None:
        """Closes connections without recent calls."""
        now_s = asyncio.get_running_loop().time()
        for address, opened in list(self.opened.items()):
            idle_s = now_s - max(opened.used_s, opened.retry_at_s)
            if opened.calls or idle_s < self.limits.idle_timeout_s / 2:
                continue
            await self._close(opened)
            self.opened.pop(address, None)

    async def close(self) -> None:
        """Closes all connections."""
        for opened in list(self.opened.values()):
            await self._close(opened)
        self.opened.clear()

    async def __aenter__(self) -> "PeerClient":
        """Returns itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the client."""
        await self.close()

    async def _fetch_chunk(
        self, address: str, since: int, version: int, offset: int
    ) -> Chunk:
        def send(peer: Any) -> Any:
            return peer.fetchDelta(since, version, offset)

        def read(answer: Any) -> Chunk:
            return Chunk(answer.version, answer.size, answer.chunk)

        return await self._call(address, send, read)

    async def _call(
        self,
        address: str,
        send: Callable[[Any], Any],
        read: Callable[[Any], Answer],
    ) -> Answer:
        opened = self.opened.get(address)
        if opened is None:
            await self._make_room()
            opened = self.opened.setdefault(address, Opened())
        if opened.calls >= MAX_CALLS_PER_CONNECTION:
            raise exceptions.PeerTimeout(f"{address}: too many calls wait")
        opened.used_s = asyncio.get_running_loop().time()
        opened.calls += 1
        try:
            peer = await self._connect(address, opened)
            async with asyncio.timeout(self.limits.call_timeout_s):
                return read(await send(peer))
        except TimeoutError as error:
            await self._close(opened)
            raise exceptions.PeerTimeout(address) from error
        except (exceptions.PeerMalformed, capnp.KjException, OSError) as error:
            await self._close(opened)
            if isinstance(error, exceptions.PeerError):
                raise
            raise exceptions.PeerUnreachable(f"{address}: {error}") from error
        finally:
            opened.calls -= 1

    async def _connect(self, address: str, opened: Opened) -> Any:
        async with opened.lock:
            if opened.peer is not None:
                return opened.peer
            now_s = asyncio.get_running_loop().time()
            if now_s < opened.retry_at_s:
                raise exceptions.PeerBackoff(address)
            try:
                async with asyncio.timeout(self.limits.connect_timeout_s):
                    await self._open(address, opened)
            except BaseException:
                self._back_off(opened)
                await self._close(opened)
                raise
            opened.failures = 0
            return opened.peer

    async def _open(self, address: str, opened: Opened) -> None:
        opened.stack = contextlib.AsyncExitStack()
        host, port = addresses.split(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        opened.stack.callback(sock.close)
        set_socket_options(sock)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, port))
        stream = await capnp.AsyncIoStream.create_connection(sock=sock)
        opened.stack.callback(stream.close)
        rpc = capnp.TwoPartyClient(
            stream, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        opened.stack.callback(rpc.close)
        gate = rpc.bootstrap().cast_as(codec.SCHEMA.Gate)
        opened.peer = await self._prove(address, gate)

    async def _prove(self, address: str, gate: Any) -> Any:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = await gate.hello(PROTOCOL_VERSION, self.host, nonce)
        if hello.protocol != PROTOCOL_VERSION or (
            hello.error == exceptions.PeerVersionMismatch.code
        ):
            raise exceptions.PeerVersionMismatch(
                f"{address} speaks version {hello.protocol}, "
                f"this host {PROTOCOL_VERSION}"
            )
        if hello.error or len(hello.nonce) != NONCE_BYTES:
            raise exceptions.PeerMalformed(f"{address}: {hello.error}")
        parts = (
            nonce,
            bytes(hello.nonce),
            self.host.encode(),
            hello.host.encode(),
        )
        expected = prove(self.secret, "server", *parts)
        if not hmac.compare_digest(bytes(hello.proof), expected):
            raise exceptions.PeerNotProved(f"{address} has another secret")
        answer = await gate.authenticate(prove(self.secret, "client", *parts))
        if answer.error:
            raise exceptions.PeerNotProved(f"{address}: {answer.error}")
        return answer.peer

    def _back_off(self, opened: Opened) -> None:
        delay_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**opened.failures)
        opened.failures = min(opened.failures + 1, 16)
        opened.retry_at_s = asyncio.get_running_loop().time() + (
            delay_s * self.rng.uniform(0.5, 1.0)
        )

    async def _close(self, opened: Opened) -> None:
        stack, opened.stack, opened.peer = opened.stack, None, None
        if stack is not None:
            await stack.aclose()

    async def _make_room(self) -> None:
        while len(self.opened) >= self.limits.max_opened:
            idle = [
                address
                for address, opened in self.opened.items()
                if not opened.calls
            ]
            if not idle:
                raise exceptions.PeerTimeout("all connections are in use")
            oldest = min(idle, key=lambda each: self.opened[each].used_s)
            await self._close(self.opened.pop(oldest))

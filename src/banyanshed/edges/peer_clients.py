"""RPC client for peers: keeps connections and backs off after failures."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import hmac
import random
import secrets
import socket
from typing import Any, TypeVar

import capnp

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed.core import gossip
from banyanshed.core import handover
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.edges import codec
from banyanshed.edges import peers

BACKOFF_FIRST_S = 0.25
BACKOFF_MAX_S = 8.0
MAX_DELTA_BYTES = 1 << 27
MAX_CALLS_PER_CONNECTION = 32

Answer = TypeVar("Answer")


@dataclasses.dataclass(frozen=True)
class Chunk:
    """A part of a delta.

    Attributes:
        version: Version after the whole delta.
        size: Size of the whole delta in bytes.
        content: Bytes of this part.
    """

    version: int
    size: int
    content: bytes


@dataclasses.dataclass
class PeerConnection:
    """The connection to one address, with its back-off state.

    Attributes:
        lock: Held while connecting.
        exit_stack: Owns the connection; None if there is none.
        peer: The RPC capability for calls; None if not connected.
        used_s: Start of the last call, in the loop's time.
        calls: Number of calls in progress.
        failures: Number of consecutive connection failures.
        retry_at_s: Earliest time of the next connection attempt.
    """

    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    exit_stack: contextlib.AsyncExitStack | None = None
    peer: Any = None
    used_s: float = 0.0
    calls: int = 0
    failures: int = 0
    retry_at_s: float = 0.0


class PeerClient:
    """Calls peers; keeps a bounded number of connections for reuse.

    Attributes:
        connections: Connections by address, connected or backing off.
    """

    def __init__(
        self,
        host: models.HostId,
        secret: bytes,
        rng: random.Random,
        limits: peers.PeerLimits | None = None,
    ):
        """Creates a client without connections.

        Args:
            host: This host.
            secret: The fleet secret.
            rng: Source of jitter.
            limits: Timeouts and maximum numbers.
        """
        self.host = host
        self.secret = secret
        self.rng = rng
        self.limits = limits or peers.PeerLimits()
        self.connections: dict[str, PeerConnection] = {}

    async def gossip(
        self, address: str, message: gossip.GossipMessage
    ) -> gossip.GossipMessage:
        """Sends a gossip message and returns the reply; raises PeerError."""

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
        """Sends a heartbeat, returns its acknowledgement; raises PeerError."""

        def send(peer: Any) -> Any:
            request = peer.heartbeat_request()
            codec.write_heartbeat(request.init("heartbeat"), heartbeat)
            return request.send()

        def read(answer: Any) -> sessions.Acknowledgement:
            return codec.read_acknowledgement(answer.answer)

        return await self._call(address, send, read)

    async def open_handover(self, address: str) -> handover.HandoverOpening:
        """Returns the peer's incarnation and clock; raises PeerError."""

        def send(peer: Any) -> Any:
            return peer.openHandover()

        def read(answer: Any) -> handover.HandoverOpening:
            return handover.HandoverOpening(
                sessions.Incarnation(answer.incarnation), answer.openedS
            )

        return await self._call(address, send, read)

    async def hand_over(
        self, address: str, opening: handover.HandoverOpening, content: bytes
    ) -> bool:
        """Returns whether the peer accepted the session; raises PeerError."""

        def send(peer: Any) -> Any:
            return peer.handOver(opening.incarnation, opening.opened_s, content)

        def read(answer: Any) -> bool:
            return bool(answer.taken)

        return await self._call(address, send, read)

    async def fetch_delta(self, address: str, since: int) -> peers.Delta:
        """Returns the rows changed after a version; raises PeerError."""
        version = 0
        content = bytearray()
        while True:
            chunk = await self._fetch_chunk(
                address, since, version, len(content)
            )
            if chunk.size > MAX_DELTA_BYTES:
                raise exceptions.PeerMalformed(
                    f"delta of {chunk.size} bytes is too large"
                )
            version = chunk.version
            content += chunk.content
            if len(content) >= chunk.size:
                return peers.Delta(version, bytes(content))
            if not chunk.content:
                raise exceptions.PeerMalformed("empty chunk")

    async def close_idle(self) -> None:
        """Closes connections that were idle for half the idle timeout."""
        now_s = asyncio.get_running_loop().time()
        for address, connection in list(self.connections.items()):
            idle_s = now_s - max(connection.used_s, connection.retry_at_s)
            if connection.calls or idle_s < self.limits.idle_timeout_s / 2:
                continue
            await self._close(connection)
            self.connections.pop(address, None)

    async def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections.values()):
            await self._close(connection)
        self.connections.clear()

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
        connection = self.connections.get(address)
        if connection is None:
            await self._evict_idle()
            connection = self.connections.setdefault(address, PeerConnection())
        if connection.calls >= MAX_CALLS_PER_CONNECTION:
            raise exceptions.PeerTimeout(f"{address}: too many pending calls")
        connection.used_s = asyncio.get_running_loop().time()
        connection.calls += 1
        try:
            peer = await self._connect(address, connection)
            async with asyncio.timeout(self.limits.call_timeout_s):
                return read(await send(peer))
        except TimeoutError as error:
            await self._close(connection)
            raise exceptions.PeerTimeout(address) from error
        except (exceptions.PeerMalformed, capnp.KjException, OSError) as error:
            await self._close(connection)
            if isinstance(error, exceptions.PeerError):
                raise
            raise exceptions.PeerUnreachable(f"{address}: {error}") from error
        finally:
            connection.calls -= 1

    async def _connect(self, address: str, connection: PeerConnection) -> Any:
        async with connection.lock:
            if connection.peer is not None:
                return connection.peer
            now_s = asyncio.get_running_loop().time()
            if now_s < connection.retry_at_s:
                raise exceptions.PeerBackoff(address)
            try:
                async with asyncio.timeout(self.limits.connect_timeout_s):
                    await self._open(address, connection)
            except BaseException:
                self._back_off(connection)
                await self._close(connection)
                raise
            connection.failures = 0
            return connection.peer

    async def _open(self, address: str, connection: PeerConnection) -> None:
        connection.exit_stack = contextlib.AsyncExitStack()
        host, port = addresses.split(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        connection.exit_stack.callback(sock.close)
        peers.set_socket_options(sock)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, port))
        stream = await capnp.AsyncIoStream.create_connection(sock=sock)
        connection.exit_stack.callback(stream.close)
        rpc = capnp.TwoPartyClient(
            stream, traversal_limit_in_words=peers.MAX_MESSAGE_WORDS
        )
        connection.exit_stack.callback(rpc.close)
        gate = rpc.bootstrap().cast_as(codec.SCHEMA.Gate)
        connection.peer = await self._authenticate(address, gate)

    async def _authenticate(self, address: str, gate: Any) -> Any:
        nonce = secrets.token_bytes(peers.NONCE_BYTES)
        hello = await gate.hello(peers.PROTOCOL_VERSION, self.host, nonce)
        if hello.protocol != peers.PROTOCOL_VERSION or (
            hello.error == exceptions.PeerVersionMismatch.code
        ):
            raise exceptions.PeerVersionMismatch(
                f"{address} uses protocol version {hello.protocol}, "
                f"this host {peers.PROTOCOL_VERSION}"
            )
        if hello.error or len(hello.nonce) != peers.NONCE_BYTES:
            raise exceptions.PeerMalformed(f"{address}: {hello.error}")
        parts = (
            nonce,
            bytes(hello.nonce),
            self.host.encode(),
            hello.host.encode(),
        )
        expected = peers.make_proof(self.secret, "server", *parts)
        if not hmac.compare_digest(bytes(hello.proof), expected):
            raise exceptions.PeerNotProved(
                f"{address} uses another fleet secret"
            )
        answer = await gate.authenticate(
            peers.make_proof(self.secret, "client", *parts)
        )
        if answer.error:
            raise exceptions.PeerNotProved(f"{address}: {answer.error}")
        return answer.peer

    def _back_off(self, connection: PeerConnection) -> None:
        delay_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**connection.failures)
        connection.failures = min(connection.failures + 1, 16)
        connection.retry_at_s = asyncio.get_running_loop().time() + (
            delay_s * self.rng.uniform(0.5, 1.0)
        )

    async def _close(self, connection: PeerConnection) -> None:
        stack, connection.exit_stack, connection.peer = (
            connection.exit_stack,
            None,
            None,
        )
        if stack is not None:
            await stack.aclose()

    async def _evict_idle(self) -> None:
        while len(self.connections) >= self.limits.max_client_connections:
            idle = [
                address
                for address, connection in self.connections.items()
                if not connection.calls
            ]
            if not idle:
                raise exceptions.PeerTimeout("all connections are in use")
            oldest = min(idle, key=lambda each: self.connections[each].used_s)
            await self._close(self.connections.pop(oldest))

"""RPC server for peers: mutual authentication, then the peer protocol."""

import asyncio
import contextlib
import hmac
import secrets
import socket
from typing import Any

import capnp
import eliot

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed.core import handover
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.edges import codec
from banyanshed.edges import peers

REFUSAL_DELIVERY_S = 0.2
MAX_CACHED_DELTAS = 2
CHUNK_BYTES = 1 << 16
BACKLOG = 64


class PeerService(codec.SCHEMA.Peer.Server):
    """Serves the calls of an authenticated peer."""

    def __init__(self, connection: "ServedConnection"):
        """Creates the service of one connection."""
        super().__init__()
        self.connection = connection

    async def gossip(self, message: Any, _context: Any, **_: Any) -> None:
        """Replies to a gossip message."""
        with self.connection.handling_call() as server:
            request = codec.read_message(message)
            reply = server.handler.on_gossip(request)
            codec.write_message(_context.results.init("reply"), reply)

    async def fetchDelta(  # noqa: N802
        self, since: int, version: int, offset: int, _context: Any, **_: Any
    ) -> None:
        """Returns one chunk of a delta."""
        with self.connection.handling_call() as server:
            delta = server.find_delta(since, version)
            results = _context.results
            results.version = delta.version
            results.size = len(delta.content)
            results.chunk = delta.content[offset : offset + CHUNK_BYTES]

    async def heartbeat(self, heartbeat: Any, _context: Any, **_: Any) -> None:
        """Acknowledges a heartbeat as the witness of a session."""
        with self.connection.handling_call() as server:
            request = codec.read_heartbeat(heartbeat)
            answer = server.handler.on_heartbeat(request)
            codec.write_acknowledgement(_context.results.init("answer"), answer)

    async def openHandover(self, _context: Any, **_: Any) -> None:  # noqa: N802
        """Returns this process's incarnation and monotonic time."""
        with self.connection.handling_call() as server:
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
        """Takes over a session of a peer."""
        with self.connection.handling_call() as server:
            opening = handover.HandoverOpening(
                sessions.Incarnation(incarnation), openedS
            )
            taken = server.handler.on_hand_over(opening, bytes(content))
            _context.results.taken = taken


class GateService(codec.SCHEMA.Gate.Server):
    """Authenticates the client of one connection, once."""

    def __init__(self, connection: "ServedConnection"):
        """Creates the service of one connection."""
        super().__init__()
        self.connection = connection
        self.nonces: tuple[bytes, bytes] | None = None
        self.client = b""

    async def hello(
        self, protocol: int, host: str, nonce: bytes, _context: Any, **_: Any
    ) -> None:
        """Proves to the client that this host knows the secret."""
        results = _context.results
        results.protocol = peers.PROTOCOL_VERSION
        if protocol != peers.PROTOCOL_VERSION:
            results.error = exceptions.PeerVersionMismatch.code
            self.connection.refuse(
                exceptions.PeerVersionMismatch.code, protocol=protocol
            )
            return
        if self.nonces or len(nonce) != peers.NONCE_BYTES or len(host) > 128:
            results.error = exceptions.PeerMalformed.code
            self.connection.refuse(exceptions.PeerMalformed.code)
            return
        server = self.connection.server
        own_nonce = secrets.token_bytes(peers.NONCE_BYTES)
        self.nonces = (bytes(nonce), own_nonce)
        self.client = host.encode()
        results.host = server.host
        results.nonce = own_nonce
        results.proof = peers.make_proof(
            server.secret,
            "server",
            *self.nonces,
            self.client,
            server.host.encode(),
        )

    async def authenticate(self, proof: bytes, _context: Any, **_: Any) -> None:
        """Checks the client's proof and returns the Peer capability."""
        results = _context.results
        server = self.connection.server
        nonces, self.nonces = self.nonces, None
        expected = peers.make_proof(
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
        self.connection.authenticated = True
        results.peer = PeerService(self.connection)


class ServedConnection:
    """One accepted connection.

    Attributes:
        server: The server that accepted it.
        authenticated: Whether the client proved that it knows the secret.
        used_s: Time of the last call, in the loop's time.
        close_delay_s: Seconds before closing, for the peer to read a refusal.
        failure: Code of the error that closes the connection.
    """

    def __init__(self, server: "PeerServer"):
        """Creates an unauthenticated connection."""
        self.server = server
        self.authenticated = False
        self.close_delay_s = 0.0
        self.used_s = asyncio.get_running_loop().time()
        self.failure: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future()
        )

    @contextlib.contextmanager
    def handling_call(self) -> Any:
        """Records a call as use; a malformed one closes the connection.

        Messages of unexpected errors are logged but not sent to the peer.
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
        """Closes the connection after the time to send the refusal."""
        self.close_delay_s = REFUSAL_DELIVERY_S
        self.fail(code, **fields)

    def fail(self, code: str, **fields: Any) -> None:
        """Closes the connection because of an error; logs the first only."""
        if self.failure.done():
            return
        self.failure.set_result(code)
        peers.log_closed(code, **fields)

    async def serve(self, stream: Any) -> None:
        """Serves until disconnect, idle or handshake timeout, or an error."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(stream.close)
            rpc = capnp.TwoPartyServer(
                stream,
                bootstrap=GateService(self),
                traversal_limit_in_words=peers.MAX_MESSAGE_WORDS,
            )
            stack.callback(rpc.close)
            disconnected = asyncio.ensure_future(rpc.on_disconnect())
            stack.callback(disconnected.cancel)
            await self._watch(disconnected)

    async def _watch(self, disconnected: "asyncio.Future[None]") -> None:
        loop = asyncio.get_running_loop()
        limits = self.server.limits
        opened_s = loop.time()
        while True:
            deadline_s = self.used_s + limits.idle_timeout_s
            if not self.authenticated:
                deadline_s = opened_s + limits.handshake_timeout_s
            await asyncio.wait(
                (disconnected, self.failure),
                timeout=max(0.0, deadline_s - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self.failure.done():
                # A refusal that is being sent must still reach the peer.
                await asyncio.sleep(self.close_delay_s)
                return
            if disconnected.done():
                self.fail("peer_gone" if self.authenticated else "peer_foreign")
                return
            if not self.authenticated and loop.time() >= deadline_s:
                self.fail("peer_handshake_timeout")
                return
            if loop.time() >= self.used_s + limits.idle_timeout_s:
                self.fail("peer_idle")
                return


class PeerServer:
    """Accepts connections of peers and serves their calls.

    Attributes:
        connections: Open connections and the tasks that serve them.
    """

    def __init__(
        self,
        host: models.HostId,
        secret: bytes,
        handler: peers.PeerHandler,
        limits: peers.PeerLimits | None = None,
    ):
        """Creates a server; `start` makes it listen.

        Args:
            host: This host.
            secret: The fleet secret.
            handler: Handles the calls.
            limits: Timeouts and maximum numbers.
        """
        self.host = host
        self.secret = secret
        self.handler = handler
        self.limits = limits or peers.PeerLimits()
        self.connections: dict[ServedConnection, asyncio.Task[None]] = {}
        self.deltas: dict[tuple[int, int], peers.Delta] = {}
        self._stack = contextlib.AsyncExitStack()

    async def start(self, address: str) -> str:
        """Listens on "IP:port"; returns the address with the actual port."""
        host, port = addresses.split(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        self._stack.callback(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        peers.set_socket_options(sock)
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

    def find_delta(self, since: int, version: int) -> peers.Delta:
        """Returns a delta; later chunks use the version of the first chunk."""
        if version:
            cached = self.deltas.get((since, version))
            if cached is None:
                raise exceptions.PeerError(
                    f"delta to version {version} is no longer cached"
                )
            return cached
        # Hosts that start at the same time request the same rows.
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
        if len(self.connections) > self.limits.max_server_connections:
            self._evict_connection()
        try:
            await connection.serve(stream)
        except asyncio.CancelledError:
            # The stream's callback would report the cancellation as an error.
            return
        finally:
            del self.connections[connection]

    def _evict_connection(self) -> None:
        """Closes the least recently used connection, unauthenticated first."""
        candidates = [
            connection
            for connection in self.connections
            if not connection.failure.done()
        ]
        evicted = min(
            candidates, key=lambda each: (each.authenticated, each.used_s)
        )
        evicted.fail("peer_connections_full")

"""Common parts of the peer protocol: pycapnp over TCP on the daemon's loop.

The daemon runs within `async with capnp.kj_loop()`. A connection provides the
Peer capability only after both sides proved, by HMAC-SHA256 over both nonces,
that they know the fleet secret; the secret itself is never sent.
"""

import dataclasses
import hashlib
import hmac
import socket
from typing import Any, Protocol

import eliot

from banyanshed.core import gossip
from banyanshed.core import handover
from banyanshed.core import sessions

PROTOCOL_VERSION = 1

MAX_MESSAGE_WORDS = 1 << 15
MAX_MESSAGE_BYTES = 8 * MAX_MESSAGE_WORDS
NONCE_BYTES = 32

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 60.0
MAX_SERVER_CONNECTIONS = 64
MAX_CLIENT_CONNECTIONS = 32
TCP_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True)
class Delta:
    """Rows changed after a version, encoded.

    Attributes:
        version: Version after applying them.
        content: Encoded rows.
    """

    version: int
    content: bytes


class PeerHandler(Protocol):
    """Handler of peers' calls; runs on the event loop and must not block."""

    def on_gossip(self, message: gossip.GossipMessage) -> gossip.GossipMessage:
        """Returns the reply to a gossip message."""

    def version(self) -> int:
        """Returns the version of the configuration in force."""

    def delta_since(self, version: int) -> Delta:
        """Returns the rows changed after a version."""

    def on_heartbeat(
        self, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Returns the witness's acknowledgement of a heartbeat."""

    def on_open_handover(self) -> handover.HandoverOpening:
        """Returns the opening that a handover to this host must repeat."""

    def on_hand_over(
        self, opening: handover.HandoverOpening, content: bytes
    ) -> bool:
        """Returns whether this host has taken over the session."""


@dataclasses.dataclass
class PeerLimits:
    """Limits of the transport; tests use shorter times.

    Attributes:
        connect_timeout_s: Timeout for connecting and authenticating, in
            seconds.
        call_timeout_s: Timeout of one call, in seconds.
        handshake_timeout_s: Seconds after which the server closes an
            unauthenticated connection.
        idle_timeout_s: Seconds without calls after which the server closes a
            connection.
        max_server_connections: Maximum number of accepted connections.
        max_client_connections: Maximum number of outgoing connections.
    """

    connect_timeout_s: float = CONNECT_TIMEOUT_S
    call_timeout_s: float = CALL_TIMEOUT_S
    handshake_timeout_s: float = HANDSHAKE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_server_connections: int = MAX_SERVER_CONNECTIONS
    max_client_connections: int = MAX_CLIENT_CONNECTIONS


def log_closed(code: str, **fields: Any) -> None:
    """Logs the code of why a peer's connection was closed."""
    eliot.log_message(message_type="peer:closed", code=code, **fields)


def make_proof(secret: bytes, role: str, *parts: bytes) -> bytes:
    """Returns the HMAC by which one side proves that it knows the secret.

    The role keeps a server's proof from being sent back as the client's. Each
    part is prefixed with its length.
    """
    proof = hmac.new(secret, digestmod=hashlib.sha256)
    for part in (role.encode(), *parts):
        proof.update(len(part).to_bytes(4, "big"))
        proof.update(part)
    return proof.digest()


def set_socket_options(sock: socket.socket) -> None:
    """Disables Nagle's algorithm and aborts if the other end is unreachable."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_TIMEOUT_MS)

"""Connections between entry hosts: pycapnp over TCP on the daemon's loop.

The daemon runs within `async with capnp.kj_loop()`. A connection yields the
capability that answers calls only after both ends proved, by HMAC-SHA256 over
both nonces, that they know the fleet secret; the secret itself is never sent.
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
        version: Version that they lead to.
        content: Encoded rows.
    """

    version: int
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

    def on_open_handover(self) -> handover.HandoverOpening:
        """Returns what the giver of a session must repeat."""

    def on_hand_over(
        self, opening: handover.HandoverOpening, content: bytes
    ) -> bool:
        """Returns whether a peer's session was taken over."""


@dataclasses.dataclass
class PeerLimits:
    """Bounds of the transport; tests shorten the times.

    Attributes:
        connect_timeout_s: Longest time to connect and prove the secret.
        call_timeout_s: Longest time of one call.
        handshake_timeout_s: Longest life of a connection without proof.
        idle_timeout_s: Longest time without calls.
        max_server_connections: Most connections accepted at once.
        max_client_connections: Most connections opened at once.
    """

    connect_timeout_s: float = CONNECT_TIMEOUT_S
    call_timeout_s: float = CALL_TIMEOUT_S
    handshake_timeout_s: float = HANDSHAKE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_server_connections: int = MAX_SERVER_CONNECTIONS
    max_client_connections: int = MAX_CLIENT_CONNECTIONS


def log_closed(code: str, **fields: Any) -> None:
    """Logs why a connection between hosts was closed."""
    eliot.log_message(message_type="peer:closed", code=code, **fields)


def make_proof(secret: bytes, role: str, *parts: bytes) -> bytes:
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

"""Connections to backend servers with one deadline per exchange.

urllib3 and http.client parse the responses. This module records what they do
not report: end of stream within a response, bytes after a response, and a
request that was not sent completely.
"""

import contextlib
import http.client
import io
import socket
import time
from typing import Any

from urllib3 import connection

from banyanshed import addresses

CONNECT_TIMEOUT_S = 1.0


class ResponseReader(io.BufferedReader):
    """Buffered reader of one response that detects bytes after its end."""

    def __init__(self, raw: io.RawIOBase, deadline_socket: "DeadlineSocket"):
        """Reads from `raw`, the unbuffered file of `deadline_socket`."""
        super().__init__(raw)
        self.deadline_socket = deadline_socket

    def close(self) -> None:
        """Closes the reader; records whether unread bytes were left."""
        if not self.closed:
            self.deadline_socket.reading_response = False
            try:
                extra_bytes = bool(self.peek(1))
            except OSError:
                # Reading timed out: the response may still arrive.
                extra_bytes = True
            self.deadline_socket.extra_bytes = (
                self.deadline_socket.extra_bytes or extra_bytes
            )
        super().close()


class DeadlineSocket(socket.socket):
    """Socket with one deadline for all operations of an exchange.

    Attributes:
        deadline_s: Monotonic time at which operations time out.
        reading_response: False once the response has been read to its end.
        request_sent: Bytes of the request may have been sent.
        send_failed: The request was not sent completely.
        received_eof: The peer closed the stream within the response.
        extra_bytes: Bytes followed the response.
    """

    def __init__(self, fileno: int):
        """Takes ownership of the descriptor of a connected socket."""
        super().__init__(fileno=fileno)
        self.start_exchange(0.0)

    def start_exchange(self, deadline_s: float) -> None:
        """Resets the state for one request and its response."""
        self.deadline_s = deadline_s
        self.reading_response = True
        self.request_sent = False
        self.send_failed = False
        self.received_eof = False
        self.extra_bytes = False

    def apply_deadline(self) -> None:
        """Sets the remaining time as timeout; raises TimeoutError if none."""
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("deadline passed")
        self.settimeout(remaining_s)

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Sends all data before the deadline."""
        self.apply_deadline()
        self.request_sent = True
        try:
            super().sendall(data, flags)
        except OSError:
            self.send_failed = True
            raise

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receives bytes before the deadline; returns 0 at end of stream."""
        if not self.reading_response:
            return 0
        self.apply_deadline()
        count = super().recv_into(buffer, nbytes, flags)
        if count == 0:
            self.received_eof = True
        return count

    def makefile(self, *args: Any, **kwargs: Any) -> Any:
        """Returns a reader for one response."""
        return ResponseReader(super().makefile("rb", buffering=0), self)


class BackendConnection(connection.HTTPConnection):
    """Connection to a backend server.

    Attributes:
        deadline_socket: Its socket; kept when the response closes the
            connection.
        unconfirmed: True until a complete response with the id of its request
            was read; an unconfirmed connection is not reused.
        idle_since_s: Monotonic time of its last response.
    """

    deadline_socket: DeadlineSocket
    unconfirmed = True
    idle_since_s = 0.0

    def connect(self) -> None:
        """Connects; raises urllib3's errors before any byte is sent."""
        super().connect()
        self.deadline_socket = DeadlineSocket(self.sock.detach())
        self.sock = self.deadline_socket

    def read_response_head(self) -> http.client.HTTPResponse:
        """Returns the head of a response, without urllib3's wrapper.

        The wrapper's decoding, retries and pooling are not needed here and
        take a quarter of the time of a whole exchange.
        """
        return super(connection.HTTPConnection, self).getresponse()


def open_connection(address: str, deadline_s: float) -> BackendConnection:
    """Opens a connection to "IP:port"; raises urllib3's errors."""
    ip, port = addresses.split(address)
    remaining_s = max(0.001, deadline_s - time.monotonic())
    conn = BackendConnection(
        ip, port, timeout=min(CONNECT_TIMEOUT_S, remaining_s)
    )
    conn.connect()
    return conn


def close_connection(conn: BackendConnection) -> None:
    """Closes a connection even if a reader of it still exists."""
    # Without shutdown the descriptor stays open as long as its reader.
    with contextlib.suppress(OSError):
        conn.deadline_socket.shutdown(socket.SHUT_RDWR)
    conn.close()
    conn.deadline_socket.close()

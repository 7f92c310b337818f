"""TCP proxy in front of a test double that can block its connections."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
BACKLOG = 64


class TcpProxy:
    """Forwards connections to another address unless it is blocked.

    Attributes:
        address: "IP:port" at which it listens.
        target: "IP:port" to which it forwards.
    """

    def __init__(self, exits: contextlib.ExitStack, ip: str, target: str):
        """Listens on a free port until the exit stack closes."""
        self.target = target
        self.lock = threading.Lock()
        self.blocked = False
        self.sockets: set[socket.socket] = set()
        self.listener = socket.create_server((ip, 0), backlog=BACKLOG)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        exits.callback(self.close)

    def close(self) -> None:
        """Closes all connections and stops listening."""
        self.set_blocked(True)
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def set_blocked(self, blocked: bool) -> None:
        """Closes all connections and rejects new ones, or ends this."""
        with self.lock:
            self.blocked = blocked
            closing = list(self.sockets) if blocked else []
        for sock in closing:
            _shut_down(sock)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                self._connect(client)

    def _connect(self, client: socket.socket) -> None:
        with self.lock:
            if self.blocked:
                client.close()
                return
            host, port = self.target.rsplit(":", 1)
            try:
                upstream = socket.create_connection((host, int(port)))
            except OSError:
                client.close()
                return
            self.sockets |= {client, upstream}
        for source, target in ((client, upstream), (upstream, client)):
            threading.Thread(
                target=self._copy, args=(source, target), daemon=True
            ).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                target.sendall(data)
        _shut_down(target)
        _shut_down(source)
        with self.lock:
            self.sockets.discard(source)
        source.close()


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)

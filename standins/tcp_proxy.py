"""A TCP relay in front of a stand-in, which can be cut."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
BACKLOG = 64


class TcpProxy:
    """Carries connections to another address until it is cut.

    Attributes:
        address: "IP:port" at which it listens.
        target: "IP:port" to which it carries.
    """

    def __init__(self, exits: contextlib.ExitStack, ip: str, target: str):
        """Listens on a free port; the stack ends it."""
        self.target = target
        self.lock = threading.Lock()
        self.blocked = False
        self.sockets: set[socket.socket] = set()
        self.listener = socket.create_server((ip, 0), backlog=BACKLOG)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        exits.callback(self.close)

    def close(self) -> None:
        """Cuts all and stops listening."""
        self.set_blocked(True)
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def set_blocked(self, blocked: bool) -> None:
        """Cuts all connections and further ones, or lets them pass again."""
        with self.lock:
            self.blocked = blocked
            ended = list(self.sockets) if blocked else []
        for end in ended:
            _shut_down(end)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                self._connect(near)

    def _connect(self, near: socket.socket) -> None:
        with self.lock:
            if self.blocked:
                near.close()
                return
            host, port = self.target.rsplit(":", 1)
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                return
            self.sockets |= {near, far}
        for source, target in ((near, far), (far, near)):
            threading.Thread(
                target=self._copy, args=(source, target), daemon=True
            ).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while content := source.recv(CHUNK_BYTES):
                target.sendall(content)
        _shut_down(target)
        _shut_down(source)
        with self.lock:
            self.sockets.discard(source)
        source.close()


def _shut_down(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)

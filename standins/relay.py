"""A TCP relay in front of a stand-in, which can be cut."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
BACKLOG = 64


class Relay:
    """Carries connections to another address until it is cut.

    Attributes:
        address: "IP:port" at which it listens.
        target: "IP:port" to which it carries.
    """

    def __init__(self, exits: contextlib.ExitStack, ip: str, target: str):
        """Listens on a free port; the stack ends it."""
        self.target = target
        self.lock = threading.Lock()
        self.cut = False
        self.open: set[socket.socket] = set()
        self.listener = socket.create_server((ip, 0), backlog=BACKLOG)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        exits.callback(self.close)

    def close(self) -> None:
        """Cuts all and stops listening."""
        self.set_cut(True)
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def set_cut(self, cut: bool) -> None:
        """Cuts all connections and further ones, or lets them pass again."""
        with self.lock:
            self.cut = cut
            ended = list(self.open) if cut else []
        for end in ended:
            _shut(end)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                self._join(near)

    def _join(self, near: socket.socket) -> None:
        with self.lock:
            if self.cut:
                near.close()
                return
            host, port = self.target.rsplit(":", 1)
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                return
            self.open |= {near, far}
        for source, target in ((near, far), (far, near)):
            threading.Thread(
                target=self._carry, args=(source, target), daemon=True
            ).start()

    def _carry(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while content := source.recv(CHUNK_BYTES):
                target.sendall(content)
        _shut(target)
        _shut(source)
        with self.lock:
            self.open.discard(source)
        source.close()


def _shut(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)

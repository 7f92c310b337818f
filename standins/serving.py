"""HTTP/1.1 server of the test doubles, on one address until SIGTERM."""

from collections.abc import Callable
import http.server
import json
import signal
import threading
from typing import Any

LISTEN_BACKLOG = 256


class Handler(http.server.BaseHTTPRequestHandler):
    """Base handler that reads and sends whole bodies, without access log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *args: Any) -> None:
        """Discards access log lines, so that standard error stays readable."""

    def read_body(self) -> bytes:
        """Returns the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def respond(
        self,
        status: int,
        content: bytes,
        headers: dict[str, str] | None = None,
        sent_bytes: int | None = None,
    ) -> None:
        """Sends a response; `sent_bytes` truncates its body."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(content[:sent_bytes])
        self.wfile.flush()

    def respond_json(
        self, status: int, value: object, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a JSON response."""
        typed = {"Content-Type": "application/json"} | (headers or {})
        self.respond(status, json.dumps(value).encode(), typed)

    def drop_connection(self) -> None:
        """Closes the connection after this request.

        Without a response before, the client sees the connection close.
        """
        self.close_connection = True


class Server(http.server.ThreadingHTTPServer):
    """Server with one thread per connection; `state` is for the handlers."""

    daemon_threads = True
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: str, handler: type[Handler], state: Any):
        """Binds "IP:port"; port 0 selects a free port."""
        host, port = address.rsplit(":", 1)
        self.state = state
        super().__init__((host, int(port)), handler)


def serve(server: Server, drain: Callable[[], None] | None = None) -> None:
    """Serves until SIGTERM, then calls `drain` to finish requests in flight."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    address = f"{server.server_address[0]!s}:{server.server_port}"
    # Flushed because the parent process waits for this line.
    print(f"listening {address}", flush=True)
    stopped.wait()
    if drain is not None:
        drain()
    server.shutdown()

"""The daemon's HTTP server (CherryPy): callers, operators and metrics."""

import asyncio
import contextlib
import json
from typing import Any, Protocol

from cheroot import server as cheroot_server
import cherrypy
import prometheus_client

from banyanshed import addresses
from banyanshed import settings as settings_module
from banyanshed.core import models
from banyanshed.core import problems
from banyanshed.edges import telemetry as telemetry_module
from banyanshed.edges import web

MAX_HEADER_BYTES = 32 << 10
SOCKET_TIMEOUT_S = 10
SHUTDOWN_TIMEOUT_S = 5
SOCKET_QUEUE_LENGTH = 1024
SINGLETON_HEADERS = frozenset(
    {
        b"Authorization",
        b"Banyanshed-Deadline-Ms",
        b"Content-Length",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
    }
)
CONTROL_CHARACTERS = bytes(range(9)) + bytes(range(10, 32)) + b"\x7f"


class StrictHeaders(dict[bytes, bytes]):
    """Headers that reject duplicates of singleton fields."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Sets a header; raises ValueError if it is duplicate or malformed."""
        if name in SINGLETON_HEADERS and name in self:
            raise ValueError("A header that must be single came twice.")
        if value.translate(None, CONTROL_CHARACTERS) != value:
            raise ValueError("A header holds a control character.")
        super().__setitem__(name, value)


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects headers that other parsers may interpret differently."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Reads headers into a dict; raises ValueError if malformed."""
        read = StrictHeaders()
        super().__call__(rfile, read)
        found = {} if hdict is None else hdict
        found.update(read)
        return found


class StateSource(Protocol):
    """The daemon's interface for the public pages; thread-safe."""

    def health(self) -> dict[str, Any]:
        """Returns whether this host accepts new callers, as JSON data."""

    def sample_gauges(self) -> None:
        """Updates the gauges to the current state."""


class PublicPages:
    """Pages without authentication: metrics and health."""

    def __init__(
        self, source: StateSource, telemetry: telemetry_module.Telemetry
    ):
        """Creates the pages for a daemon and its metrics."""
        self.source = source
        self.telemetry = telemetry

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Returns Prometheus metrics."""
        cherrypy.response.headers["Content-Type"] = (
            prometheus_client.CONTENT_TYPE_LATEST
        )
        self.source.sample_gauges()
        return self.telemetry.encode()

    @cherrypy.expose
    def health(self) -> bytes:
        """Returns this host's state; status 503 while it is leaving."""
        found = self.source.health()
        cherrypy.response.status = 200 if found["state"] == "live" else 503
        cherrypy.response.headers["Content-Type"] = "application/json"
        return json.dumps(found).encode()


def error_response(status: str, **details: str) -> bytes:
    """Returns a problem document for an error that CherryPy raised."""
    del details
    cherrypy.response.headers["Content-Type"] = problems.CONTENT_TYPE
    cherrypy.response.headers["Banyanshed-Ran"] = models.Ran.NO.value
    number, _, reason = status.partition(" ")
    code = "_".join(reason.lower().split())
    return problems.encode(problems.refuse(int(number), code, f"{reason}."))


def start(
    exit_stack: contextlib.AsyncExitStack,
    settings: settings_module.Settings,
    callers: web.CallerApplication,
    operators: Any,
    public: PublicPages,
) -> None:
    """Starts the server; the exit stack stops it.

    Args:
        exit_stack: Owner of the server.
        settings: Settings of this host.
        callers: WSGI application for callers.
        operators: CherryPy pages for operators.
        public: Pages without authentication.
    """
    ip, port = addresses.parse(settings.caller_address)
    cherrypy.config.update(
        {
            "engine.autoreload.on": False,
            "checker.on": False,
            "log.screen": False,
            "log.access_file": "",
            "log.error_file": "",
            "request.show_tracebacks": False,
            "error_page.default": error_response,
            "server.socket_host": ip,
            "server.socket_port": port,
            "server.thread_pool": settings.threads,
            "server.socket_queue_size": SOCKET_QUEUE_LENGTH,
            "server.socket_timeout": SOCKET_TIMEOUT_S,
            "server.shutdown_timeout": SHUTDOWN_TIMEOUT_S,
            "server.max_request_header_size": MAX_HEADER_BYTES,
            # No limit: the callers' application limits bodies itself.
            "server.max_request_body_size": 0,
        }
    )
    cherrypy.log.access_log.propagate = False
    cherrypy.log.error_log.propagate = False
    cherrypy.tree.graft(callers, web.SERVICE_PREFIX.rstrip("/"))
    cherrypy.tree.graft(callers, web.LOOKUP_PATH)
    cherrypy.tree.mount(operators, "/operator")
    cherrypy.tree.mount(public, "/")
    cherrypy.engine.autoreload.unsubscribe()
    # Not on the loop's thread: pool threads may still wait for the loop.
    exit_stack.push_async_callback(asyncio.to_thread, cherrypy.engine.exit)
    cheroot_server.HTTPRequest.header_reader = StrictHeaderReader()
    cherrypy.engine.start()

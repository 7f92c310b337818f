"""Compares CherryPy's handler dispatch with a grafted WSGI application.

Run with `python -m benchmarks.dispatch`. Prints the median latencies on one
connection and their ratio.
"""

import contextlib
import http.client
import statistics
import time
from typing import Any

import cherrypy

ADDRESS = "127.0.0.1"
PORT = 18431
REQUESTS = 1500
BODY = b"{}"


class Pages:
    """Page tree with one CherryPy handler."""

    @cherrypy.expose
    def index(self) -> bytes:
        """Returns a fixed body."""
        return BODY


def application(environ: dict[str, Any], start_response: Any) -> list[bytes]:
    """WSGI application that returns a fixed body."""
    headers = [("Content-Length", str(len(BODY)))]
    start_response("200 OK", headers)
    return [BODY]


def measure_median_ms(path: str) -> float:
    """Returns the median latency of a request on one connection."""
    connection = http.client.HTTPConnection(ADDRESS, PORT)
    times_ms = []
    with contextlib.closing(connection):
        for _ in range(REQUESTS):
            started_s = time.perf_counter()
            connection.request("GET", path)
            connection.getresponse().read()
            times_ms.append(1000 * (time.perf_counter() - started_s))
    return statistics.median(times_ms)


def run() -> None:
    """Starts the server, measures both variants and prints the results."""
    cherrypy.config.update(
        {
            "engine.autoreload.on": False,
            "checker.on": False,
            "log.screen": False,
            "server.socket_host": ADDRESS,
            "server.socket_port": PORT,
        }
    )
    cherrypy.tree.graft(application, "/grafted")
    cherrypy.tree.mount(Pages(), "/ordinary")
    cherrypy.engine.start()
    try:
        ordinary_ms = measure_median_ms("/ordinary/")
        grafted_ms = measure_median_ms("/grafted")
    finally:
        cherrypy.engine.exit()
    print(f"ordinary handler  {ordinary_ms:.2f} ms")
    print(f"grafted           {grafted_ms:.2f} ms")
    print(f"ratio             {ordinary_ms / grafted_ms:.2f}")


if __name__ == "__main__":
    run()

"""Test double of a backend server that records what it executes.

A request to any path executes work, except for `/health`, `/load`,
`/_executed` (list of executions) and `PUT /_fault`, which sets faults:

    load: Reported load, instead of the true one.
    health: "live" or "leaving".
    refuse, truncate, cross, duplicate, drop_after_run: How many of the next
        requests are rejected as not run; answered with half a body; answered
        with the answer to another request; answered twice; run but not
        answered.
    hang_s: Delay between the work and the answer, in seconds.
    cold_ms: Additional time of the first COLD_REQUESTS requests from now on,
        in milliseconds.
    answer_leaving: Answers to work carry the header that the server is
        leaving, although `/health` does not report it.
    lenient: While leaving, work is accepted and its answers do not carry the
        header.
    padding_bytes: Length of the padding in answers, repeated from the path.
"""

import collections
import dataclasses
import hashlib
import json
import threading
import time
from typing import Any, cast

from absl import app
from absl import flags

from standins import serving

ADDRESS = flags.DEFINE_string("address", "127.0.0.1:0", "IP:port to serve.")
SERVICE = flags.DEFINE_string("service", "service", "Service served.")
BACKEND = flags.DEFINE_string("backend", "backend", "Id of this server.")
SLOTS = flags.DEFINE_integer(
    "slots", 4, "Number of requests processed concurrently."
)
WORK_MS = flags.DEFINE_float(
    "work_ms", 5.0, "Processing time of a request in milliseconds."
)
flags.DEFINE_alias("work-ms", "work_ms")

COLD_REQUESTS = 20
RETRY_AFTER_S = 1
POLL_S = 0.01
REQUEST_ID = "Banyanshed-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
LEAVING_HEADERS = {"Banyanshed-Leaving": "1"}


@dataclasses.dataclass
class Faults:
    """Active faults; see the module's doc string."""

    load: int | None = None
    health: str = "live"
    refuse: int = 0
    truncate: int = 0
    cross: int = 0
    duplicate: int = 0
    drop_after_run: int = 0
    hang_s: float = 0.0
    cold_ms: float = 0.0
    answer_leaving: bool = False
    lenient: bool = False
    padding_bytes: int = 0


class Backend:
    """State of the server: slots, faults and executions."""

    def __init__(self, service: str, backend: str, slots: int, work_ms: float):
        """Creates a live, idle server."""
        self.lock = threading.Lock()
        self.service = service
        self.backend = backend
        self.slots = slots
        self.work_s = work_ms / 1000
        self.in_flight = 0
        self.faults = Faults()
        self.cold_requests = 0
        self.executions: list[dict[str, Any]] = []
        self.last_answer: tuple[str, bytes] = ("other", b'{"crossed": true}')

    def consume_fault(self, fault: str) -> bool:
        """Decrements a fault's counter; returns whether the fault applies."""
        with self.lock:
            left = getattr(self.faults, fault)
            if left <= 0:
                return False
            setattr(self.faults, fault, left - 1)
            return True

    @property
    def rejects_as_leaving(self) -> bool:
        """Whether work is rejected because the server is leaving."""
        return self.faults.health == "leaving" and not self.faults.lenient

    def acquire_slot(self) -> bool:
        """Takes a slot; returns False if leaving or if none is free."""
        with self.lock:
            if self.rejects_as_leaving or self.in_flight >= self.slots:
                return False
            self.in_flight += 1
            return True

    def release_slot(self) -> None:
        """Releases a slot."""
        with self.lock:
            self.in_flight -= 1

    def execute(self, execution: dict[str, Any]) -> int:
        """Records and executes a request; returns the execution's number."""
        with self.lock:
            self.executions.append(execution)
            number = len(self.executions)
            work_s = self.work_s
            if self.cold_requests > 0:
                self.cold_requests -= 1
                work_s += self.faults.cold_ms / 1000
        time.sleep(work_s)
        return number

    def list_executions(self) -> dict[str, Any]:
        """Returns all executions and their counts by request id and by key."""
        with self.lock:
            executions = list(self.executions)
        by_id = collections.Counter(run["request_id"] for run in executions)
        by_key = collections.Counter(
            run["idempotency_key"] for run in executions
        )
        by_key.pop(None, None)
        return {
            "executions": executions,
            "by_request_id": by_id,
            "by_idempotency_key": by_key,
        }

    def drain(self) -> None:
        """Rejects new work and waits until no request is in flight."""
        self.faults = dataclasses.replace(
            self.faults, health="leaving", lenient=False
        )
        while self.in_flight:
            time.sleep(POLL_S)


def make_padding(path: str, size: int) -> str:
    """Returns padding of `size` characters that differs between paths."""
    return (path * (size // len(path) + 1))[:size]


class BackendHandler(serving.Handler):
    """Routes requests to work, reports and faults."""

    @property
    def backend(self) -> Backend:
        """State of the server."""
        return cast(Backend, cast(serving.Server, self.server).state)

    def handle_any(self) -> None:
        """Handles a request of any method."""
        body = self.read_body()
        backend = self.backend
        faults = backend.faults
        if self.path == "/health":
            self.respond_json(200, {"state": faults.health})
        elif self.path == "/load":
            load = backend.in_flight if faults.load is None else faults.load
            self.respond_json(200, {"in_flight": load, "slots": backend.slots})
        elif self.path == "/_executed":
            self.respond_json(200, backend.list_executions())
        elif self.path == "/_fault":
            backend.faults = Faults(**json.loads(body))
            backend.cold_requests = COLD_REQUESTS
            self.respond_json(200, {})
        else:
            self.handle_work(body)

    do_GET = do_HEAD = do_POST = do_PUT = handle_any  # noqa: N815
    do_DELETE = do_PATCH = do_OPTIONS = handle_any  # noqa: N815

    def handle_work(self, body: bytes) -> None:
        """Executes a request, or rejects it as not run."""
        backend = self.backend
        if backend.consume_fault("refuse") or not backend.acquire_slot():
            self.send_rejection()
            return
        try:
            self.run_and_answer(body)
        finally:
            backend.release_slot()

    def shared_headers(self) -> dict[str, str]:
        """Returns the headers common to all answers to work."""
        headers = {REQUEST_ID: self.headers.get(REQUEST_ID, "")}
        leaving = self.backend.faults.answer_leaving
        if leaving or self.backend.rejects_as_leaving:
            headers |= LEAVING_HEADERS
        return headers

    def send_rejection(self) -> None:
        """Sends a rejection that says that the request did not run."""
        refusal = {
            "Banyanshed-Ran": "no",
            "Retry-After": str(RETRY_AFTER_S),
        }
        self.respond_json(
            503, {"code": "refused"}, self.shared_headers() | refusal
        )

    def run_and_answer(self, body: bytes) -> None:
        """Executes a request and answers it, subject to the faults."""
        backend = self.backend
        request_id = self.headers.get(REQUEST_ID, "")
        execution: dict[str, Any] = {
            "request_id": request_id,
            "idempotency_key": self.headers.get(IDEMPOTENCY_KEY),
            "method": self.command,
            "path": self.path,
            "headers": dict(self.headers.items()),
            "started_s": time.monotonic(),
            "ended_s": None,
        }
        number = backend.execute(execution)
        time.sleep(backend.faults.hang_s)
        execution["ended_s"] = time.monotonic()
        content = json.dumps(
            {
                "service": backend.service,
                "backend": backend.backend,
                "execution": number,
                "method": self.command,
                "path": self.path,
                "body_bytes": len(body),
                "body_digest": hashlib.sha256(body).hexdigest(),
                "padding": make_padding(
                    self.path, backend.faults.padding_bytes
                ),
            }
        ).encode()
        if backend.consume_fault("drop_after_run"):
            self.drop_connection()
            return
        self.send_result(request_id, content)

    def send_result(self, request_id: str, content: bytes) -> None:
        """Sends the answer to work, subject to the faults."""
        backend = self.backend
        headers = self.shared_headers() | {"Content-Type": "application/json"}
        if backend.consume_fault("cross"):
            headers[REQUEST_ID], content = backend.last_answer
        else:
            backend.last_answer = (request_id, content)
        if backend.consume_fault("truncate"):
            self.respond(200, content, headers, sent_bytes=len(content) // 2)
            self.drop_connection()
            return
        self.respond(200, content, headers)
        if backend.consume_fault("duplicate"):
            self.respond(200, content, headers)


def main(_: list[str]) -> None:
    """Serves until SIGTERM, then finishes the requests in flight."""
    backend = Backend(SERVICE.value, BACKEND.value, SLOTS.value, WORK_MS.value)
    server = serving.Server(ADDRESS.value, BackendHandler, backend)
    serving.serve(server, backend.drain)


if __name__ == "__main__":
    app.run(main)

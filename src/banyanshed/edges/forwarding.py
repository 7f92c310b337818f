"""Transport to backend servers: one attempt over urllib3, without retries.

Blocking; called from pool threads. A response is buffered completely before
any of it goes to the caller. A connection is reused only if its last response
was complete, carried the id of its request and was followed by no bytes; any
other connection is closed, so that a late response can not be taken for that
of another request.
"""

import collections
from collections.abc import Iterable, Mapping
import http.client
import threading
import time
from typing import Self

import pydantic
import urllib3
from urllib3 import exceptions as urllib3_exceptions

from banyanshed.core import events
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import connections

REQUEST_ID_HEADER = "Banyanshed-Request-Id"
TENANT_HEADER = "Banyanshed-Tenant"
DEADLINE_HEADER = "Banyanshed-Deadline-Ms"
RAN_HEADER = "Banyanshed-Ran"
LEAVING_HEADER = "Banyanshed-Leaving"
RESERVED_HEADER_PREFIX = "banyanshed-"
REQUEST_ID_FIELD = REQUEST_ID_HEADER.lower()
RAN_FIELD = RAN_HEADER.lower()
LEAVING_FIELD = LEAVING_HEADER.lower()

MAX_STATUS = 599
MAX_IDLE_S = 20.0
MAX_PROBE_BYTES = 4096

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
TRANSPORT_HEADERS = frozenset({"content-length", "expect", "host"})

EXCHANGE_ERRORS = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3_exceptions.HTTPError,
)


class Forwarder:
    """Sends requests to backend servers over keep-alive connections.

    Attributes:
        idle: Idle connections by address, the last used ones at the right.
        opened_count: Number of connections opened so far.
    """

    def __init__(self) -> None:
        """Creates a forwarder without connections."""
        self.idle: dict[
            str, collections.deque[connections.BackendConnection]
        ] = {}
        self.opened_count = 0
        self.closed = False
        self.lock = threading.Lock()

    def __enter__(self) -> Self:
        """Returns itself, for use with exit stacks."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Closes idle connections."""
        self.close()

    def close(self) -> None:
        """Closes idle connections; busy ones close after their response."""
        with self.lock:
            self.closed = True
            stacks = list(self.idle.values())
            self.idle.clear()
        for stack in stacks:
            for conn in stack:
                conn.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to a backend server."""
        with self.lock:
            stack = self.idle.pop(address, None)
        for conn in stack or ():
            conn.close()

    def send(
        self,
        request: requests.CallerRequest,
        target: requests.Target,
        tenant: models.TenantId | None,
        time_left_s: float,
        *,
        answer_bytes: int,
    ) -> requests.Answer | requests.AttemptFailure:
        """Sends a request once and reads its complete response.

        Args:
            request: Request of the caller.
            target: Chosen backend server.
            tenant: Tenant of the request; None on open routes.
            time_left_s: Time for the whole attempt, in seconds.
            answer_bytes: Maximum size of the response body.

        Returns:
            The complete response, or the reason for the failure.
        """
        if time_left_s <= 0:
            return requests.AttemptFailure(models.Ran.NO, "deadline")
        deadline_s = time.monotonic() + time_left_s
        headers = request_headers(request, tenant, time_left_s)
        try:
            conn = self.acquire_connection(target.address, deadline_s)
        except (OSError, ValueError, urllib3_exceptions.HTTPError):
            return requests.AttemptFailure(models.Ran.NO, "connect_failed")
        conn.deadline_socket.start_exchange(deadline_s)
        try:
            return self.exchange(conn, request, headers, answer_bytes)
        except TimeoutError:
            return requests.AttemptFailure(models.Ran.UNKNOWN, "deadline")
        except EXCHANGE_ERRORS:
            if not conn.deadline_socket.request_sent:
                return requests.AttemptFailure(models.Ran.NO, "not_sendable")
            code = (
                "truncated"
                if conn.deadline_socket.received_eof
                else "connection_lost"
            )
            return requests.AttemptFailure(models.Ran.UNKNOWN, code)
        finally:
            self.release_connection(target.address, conn)

    def exchange(
        self,
        conn: connections.BackendConnection,
        request: requests.CallerRequest,
        headers: Mapping[str, str],
        answer_bytes: int,
    ) -> requests.Answer | requests.AttemptFailure:
        """Sends a request on a connection and reads its response."""
        reused = not conn.unconfirmed
        # Not reusable until the response turns out to be complete.
        conn.unconfirmed = True
        conn.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
        )
        response = conn.read_response_head()
        received = response.getheaders()
        fields = group_headers(received)
        fault = response_fault(
            response.status,
            fields,
            request,
            reused=reused,
            limit=answer_bytes,
        )
        if fault is not None:
            return requests.AttemptFailure(models.Ran.UNKNOWN, fault)
        leaving = fields.get(LEAVING_FIELD) == ["1"]
        body = response.read(answer_bytes + 1)
        if len(body) > answer_bytes:
            return requests.AttemptFailure(
                models.Ran.UNKNOWN, "answer_too_large", leaving
            )
        if conn.deadline_socket.received_eof:
            return requests.AttemptFailure(
                models.Ran.UNKNOWN, "truncated", leaving
            )
        conn.unconfirmed = REQUEST_ID_FIELD not in fields
        if response.status == 503 and fields.get(RAN_FIELD) == ["no"]:
            return requests.AttemptFailure(
                models.Ran.NO, "backend_refused", leaving, retry_after(fields)
            )
        kept = urllib3.HTTPHeaderDict(end_to_end(received))
        return requests.Answer(response.status, kept, body, leaving)

    def acquire_connection(
        self, address: str, deadline_s: float
    ) -> connections.BackendConnection:
        """Returns an idle connection that is still open, or a new one."""
        oldest_s = time.monotonic() - MAX_IDLE_S
        while True:
            with self.lock:
                stack = self.idle.get(address)
                conn = stack.pop() if stack else None
            if conn is None:
                self.opened_count += 1
                return connections.open_connection(address, deadline_s)
            # A readable idle connection was closed or received stray bytes.
            if conn.idle_since_s > oldest_s and conn.is_connected:
                return conn
            conn.close()

    def release_connection(
        self, address: str, conn: connections.BackendConnection
    ) -> None:
        """Keeps a connection for reuse, or closes it."""
        deadline_socket = conn.deadline_socket
        unclean = (
            deadline_socket.received_eof
            or deadline_socket.extra_bytes
            or deadline_socket.send_failed
            or deadline_socket.reading_response
        )
        if conn.unconfirmed or unclean or conn.sock is None:
            connections.close_connection(conn)
            return
        now_s = time.monotonic()
        conn.idle_since_s = now_s
        stale = None
        with self.lock:
            kept = not self.closed
            if kept:
                stack = self.idle.setdefault(address, collections.deque())
                stack.append(conn)
                if now_s - stack[0].idle_since_s > MAX_IDLE_S:
                    stale = stack.popleft()
        if not kept:
            connections.close_connection(conn)
        if stale is not None:
            connections.close_connection(stale)


def request_headers(
    request: requests.CallerRequest,
    tenant: models.TenantId | None,
    time_left_s: float,
) -> dict[str, str]:
    """Returns the headers to send to a backend server."""
    headers = {}
    for name, value in end_to_end(request.headers.items()):
        if name.lower() not in TRANSPORT_HEADERS:
            headers[name] = value
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(time_left_s * 1000))
    if tenant is not None:
        headers[TENANT_HEADER] = tenant
    return headers


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns headers except hop-by-hop and reserved "banyanshed-" ones."""
    lowered = [(name.lower(), name, value) for name, value in headers]
    dropped = HOP_BY_HOP_HEADERS
    for key, _, value in lowered:
        if key == "connection":
            dropped = dropped.union(
                option.strip().lower() for option in value.split(",")
            )
    return [
        (name, value)
        for key, name, value in lowered
        if key not in dropped and not key.startswith(RESERVED_HEADER_PREFIX)
    ]


def group_headers(headers: Iterable[tuple[str, str]]) -> dict[str, list[str]]:
    """Returns the values of each header by lower-case name."""
    fields: dict[str, list[str]] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), []).append(value.strip())
    return fields


def response_fault(
    status: int,
    fields: Mapping[str, list[str]],
    request: requests.CallerRequest,
    *,
    reused: bool,
    limit: int,
) -> str | None:
    """Returns a code if the head of a response is not acceptable, or None.

    On a reused connection only the echoed request id shows which request the
    response belongs to.
    """
    if status < 200:
        # The final response to the same request is still to come.
        return "informational_answer"
    if status > MAX_STATUS:
        return "bad_status"
    echoed = fields.get(REQUEST_ID_FIELD)
    if echoed != [request.request_id] and (reused or echoed is not None):
        return "crossed"
    if request.method == "HEAD" or status in (204, 304):
        return None
    lengths = set(fields.get("content-length", ()))
    codings = fields.get("transfer-encoding")
    if codings is not None:
        framed = not lengths and codings[0].lower() == "chunked"
        return None if framed and len(codings) == 1 else "bad_framing"
    if not lengths:
        return "unframed"
    length = lengths.pop()
    if lengths or not (length.isascii() and length.isdigit()):
        return "bad_framing"
    return "answer_too_large" if int(length) > limit else None


def retry_after(fields: Mapping[str, list[str]]) -> float | None:
    """Returns the seconds of Retry-After, or None."""
    value = fields.get("retry-after", [""])[0]
    if value.isascii() and value.isdigit():
        return float(value)
    return None


class ProbeDocument(pydantic.BaseModel):
    """JSON document of a backend server's health and load endpoints.

    Attributes:
        state: Whether it accepts new requests.
        in_flight: Number of requests in progress.
        slots: Maximum number of concurrent requests.
    """

    state: models.BackendState = models.BackendState.LIVE
    in_flight: int | None = pydantic.Field(default=None, ge=0)
    slots: int | None = pydantic.Field(default=None, ge=0)


def probe(address: str, timeout_s: float) -> events.ProbeResult:
    """Reads the health and load endpoints of a backend server.

    Args:
        address: "IP:port".
        timeout_s: Time for both requests, in seconds.

    Returns:
        The result, also for failures.
    """
    deadline_s = time.monotonic() + timeout_s
    try:
        conn = connections.open_connection(address, deadline_s)
    except urllib3_exceptions.NewConnectionError as error:
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        return events.ProbeResult(None, refused=refused, code="connect_failed")
    except (OSError, ValueError, urllib3_exceptions.HTTPError):
        return events.ProbeResult(None, code="connect_failed")
    health = None
    try:
        health = fetch_probe_document(conn, "/health", deadline_s)
        load = fetch_probe_document(conn, "/load", deadline_s)
    except EXCHANGE_ERRORS:
        state = health.state if health else None
        return events.ProbeResult(
            state, code="no_load" if health else "no_health"
        )
    finally:
        connections.close_connection(conn)
    return events.ProbeResult(
        combine_states(health.state, load.state), load.in_flight, load.slots
    )


def fetch_probe_document(
    conn: connections.BackendConnection, path: str, deadline_s: float
) -> ProbeDocument:
    """Returns the JSON document of an endpoint; raises EXCHANGE_ERRORS."""
    if conn.sock is None:
        conn.connect()
    conn.deadline_socket.start_exchange(deadline_s)
    conn.request("GET", path)
    response = conn.read_response_head()
    body = response.read(MAX_PROBE_BYTES)
    if response.status != 200 or conn.deadline_socket.received_eof:
        raise http.client.HTTPException(f"{path}: incomplete response")
    return ProbeDocument.model_validate_json(body)


def combine_states(
    first: models.BackendState, second: models.BackendState
) -> models.BackendState:
    """Returns LEAVING if either state is, else LIVE."""
    if models.BackendState.LEAVING in (first, second):
        return models.BackendState.LEAVING
    return models.BackendState.LIVE

"""Conversion of messages between callers and backend servers."""

import enum

from banyanshed.gateway import messages
from banyanshed.platform import headers as header_names
from banyanshed.steering import models
from banyanshed.steering import routing

DEFAULT_RETRY_AFTER_S = 0.3
# Statuses that tell a caller that the request has not run. Of a backend
# server's responses, only 421 and those with the header NOT_RUN are taken so.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Verdict(enum.Enum):
    """Meaning of a backend server's response for the request.

    Attributes:
        FINAL: The response is returned to the caller.
        NOT_RUN: The server states that it did not run the request.
        MISDIRECTED: Status 421: the request reached another server than the
            expected one, which did not run it.
        FAILED: Status 5xx, 408 or 429; the server may have run the request.
        UNSIGNED: A success without the server's signature: bytes that were
            spoiled. The server may have run the request.
    """

    FINAL = "final"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    UNSIGNED = "unsigned"


def read_query(request: messages.Request) -> routing.RoutingRequest:
    """Extracts the fields of a request that routing depends on."""
    host = request.find(b"host") or b""
    hostname = host.decode("latin-1").rpartition(":")
    name = hostname[0] if hostname[1] and hostname[2].isdigit() else None
    key = request.find(header_names.API_KEY)
    deadline = request.find(header_names.DEADLINE_MS)
    return routing.RoutingRequest(
        (name or host.decode("latin-1")).lower(),
        request.target.split(b"?", 1)[0].decode("latin-1"),
        models.ApiKey(key.decode("latin-1")) if key is not None else None,
        header_names.decode_deadline_s(deadline)
        if deadline is not None
        else None,
        request.arrived_at,
    )


def affinity_key(request: messages.Request, route: models.Route) -> str | None:
    """Returns the affinity key if the route uses affinity, or None."""
    key = request.find(header_names.AFFINITY_KEY)
    if key is None or not route.affinity:
        return None
    return key.decode("latin-1")


def request_to_server(
    request: messages.Request,
    plan: routing.Plan,
    server: models.Registration,
    remaining_s: float,
) -> messages.Request:
    """Builds the request that is sent to a backend server."""
    forwarded = []
    for name, value in messages.strip_hop_by_hop(request.headers):
        if name in header_names.RESERVED or name == b"expect":
            continue
        forwarded.append((name, value))
    forwarded.append(
        (header_names.DEADLINE_MS, header_names.encode_deadline(remaining_s))
    )
    forwarded.append((header_names.EXPECTED_SERVER, server.id.encode()))
    if plan.customer is not None:
        forwarded.append((header_names.CUSTOMER, plan.customer.name.encode()))
    return messages.Request(
        request.method, request.target, forwarded, request.body
    )


def classify(response: messages.Response) -> Verdict:
    """Classifies a backend server's response."""
    if response.status == 421:
        return Verdict.MISDIRECTED
    if response.find(header_names.NOT_RUN) is not None:
        return Verdict.NOT_RUN
    if response.status >= 500 or response.status in NOT_RUN_STATUSES:
        return Verdict.FAILED
    is_success = 200 <= response.status < 300
    if is_success and not response.find(header_names.STAMP):
        return Verdict.UNSIGNED
    return Verdict.FINAL


def response_to_caller(response: messages.Response) -> messages.Response:
    """Converts a server's response to the one sent to the caller."""
    headers = messages.strip_hop_by_hop(response.headers)
    forwarded = [
        item for item in headers if item[0] != header_names.SERVER_LOAD
    ]
    return messages.Response(response.status, forwarded, response.body)


def failure_to_caller(response: messages.Response) -> messages.Response:
    """Converts a server's error response to the one sent to the caller.

    A status that means that the request did not run becomes 502.
    """
    if response.status in NOT_RUN_STATUSES:
        return messages.Response(502)
    return response_to_caller(response)


def read_retry_after_s(response: messages.Response) -> float:
    """Returns the time in a peer's refusal, in seconds."""
    value = response.find(header_names.RETRY_AFTER)
    try:
        return float(value or DEFAULT_RETRY_AFTER_S)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def make_refusal(status: int, retry_after_s: float | None) -> messages.Response:
    """Returns a rejection, with a Retry-After header if a time is given."""
    if retry_after_s is None:
        return messages.Response(status)
    value = f"{retry_after_s:.2f}".encode()
    return messages.Response(status, [(header_names.RETRY_AFTER, value)])

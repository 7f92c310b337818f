"""HTTP headers used between callers, hosts and backend servers.

Names are in lower case, as h11 returns them.
"""

from collections.abc import Sequence
import dataclasses
import math
import re

from banyanshed.platform import durations
from banyanshed.steering import models

REQUEST_ID = b"x-banyanshed-request-id"
DEADLINE_MS = b"x-banyanshed-deadline-ms"
# Affinity key: the object that a request is for. Requests with the same value
# prefer the same backend server.
AFFINITY_KEY = b"x-banyanshed-affinity-key"
API_KEY = b"x-api-key"
CUSTOMER = b"x-banyanshed-tenant"
# Id of the backend server that must run the request.
EXPECTED_SERVER = b"x-banyanshed-expect-instance"
# Set by a backend server that rejected the request without running it.
NOT_RUN = b"x-banyanshed-not-executed"
# Signature that a backend server puts on every response of its own.
STAMP = b"x-banyanshed-response-stamp"
SERVER_LOAD = b"x-banyanshed-server-load"
RETRY_AFTER = b"retry-after"
# Requests per second that a backend server takes from all hosts together, in
# both spellings that the platform uses.
SERVER_LIMITS = frozenset({b"x-banyanshed-server-limit", b"server-limit"})
# Set to 1 by a backend server that leaves, in both spellings.
SERVER_LEAVING = frozenset({b"x-banyanshed-server-leaving", b"server-leaving"})
LEAVING = b"1"
# In health responses: id of the backend server, and the milliseconds for which
# it stays cold.
SERVER_ID = b"x-banyanshed-instance-id"
COLD_MS = b"x-banyanshed-cold-ms"
# In every response of the store: a number that rises when the store continues
# from an older copy of its rows, whose versions it then gives out again.
STORE_ERA = b"store-era"

# Headers set by the host or meant for it only. A caller's values are never
# forwarded to backend servers.
RESERVED = frozenset({DEADLINE_MS, API_KEY, CUSTOMER, EXPECTED_SERVER})


_DECIMAL = re.compile(rb"\+?([0-9]+\.?[0-9]*|\.[0-9]+)")


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimit:
    """The rate limit in a backend server's response.

    Attributes:
        rate: Requests per second from all hosts together, the least if there
            are several; None if the response has no well-formed limit.
        malformed: A value that can't be decoded; None if there is none.
    """

    rate: float | None = None
    malformed: bytes | None = None


def decode_server_limit(
    headers: Sequence[tuple[bytes, bytes]],
) -> ServerLimit:
    """Decodes the rate limit in the headers of a response."""
    rate, malformed = None, None
    for name, value in headers:
        if name not in SERVER_LIMITS:
            continue
        named = _decode_decimal(value)
        if named is None:
            malformed = value
            continue
        rate = named if rate is None else min(rate, named)
    return ServerLimit(rate, malformed)


def decode_statement(
    headers: Sequence[tuple[bytes, bytes]],
) -> models.Statement:
    """Decodes what a backend server says of its life cycle in a response."""
    is_leaving = False
    cold_left_s = None
    for name, value in headers:
        is_leaving |= name in SERVER_LEAVING and value.strip() == LEAVING
        if name != COLD_MS:
            continue
        cold_ms = _decode_decimal(value)
        if cold_ms is not None and cold_ms <= durations.MAX_COLD_S * 1000.0:
            cold_left_s = max(cold_left_s or 0.0, cold_ms / 1000.0)
    return models.Statement(is_leaving, cold_left_s)


def _decode_decimal(value: bytes) -> float | None:
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    number = float(value)
    # Too many digits give infinity.
    return number if math.isfinite(number) else None


def decode_load(value: bytes) -> models.Load | None:
    """Decodes a load report; None when it is malformed."""
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    if running < 0 or waiting < 0 or slots < 1:
        return None
    return models.Load(running, waiting, slots)


def decode_era(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Decodes the store's era; 0 if a response names none."""
    for name, value in headers:
        if name == STORE_ERA and value.strip().isdigit():
            return int(value)
    return 0


def decode_deadline_s(value: bytes) -> float | None:
    """Decodes a caller's deadline into seconds; None when it is malformed."""
    try:
        deadline_s = float(value) / 1000.0
    except ValueError:
        return None
    # Rejects negative values and NaN.
    return deadline_s if deadline_s >= 0.0 else None


def encode_deadline(remaining_s: float) -> bytes:
    """Encodes the remaining time in whole milliseconds, at least 1."""
    return str(max(1, int(remaining_s * 1000.0))).encode()

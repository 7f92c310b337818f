"""Names of the headers that clients and backend servers exchange.

All names are in lower case, as the HTTP library gives them.
"""

from banyanshed.steering import models

REQUEST_ID = b"x-banyanshed-request-id"
DEADLINE_MS = b"x-banyanshed-deadline-ms"
# Names the object of a request; equal values share a backend server.
OBJECT_KEY = b"x-banyanshed-affinity-key"
API_KEY = b"x-api-key"
CUSTOMER = b"x-banyanshed-tenant"
# The backend server that must run the request, by its id.
EXPECTED_SERVER = b"x-banyanshed-expect-instance"
# The backend server rejected the request and did not run it.
NOT_RUN = b"x-banyanshed-not-executed"
SERVER_LOAD = b"x-banyanshed-server-load"
RETRY_AFTER = b"retry-after"

# Set by the system itself; a client's own values are never passed on.
RESERVED = frozenset({DEADLINE_MS, API_KEY, CUSTOMER, EXPECTED_SERVER})


def decode_load(value: bytes) -> models.Load | None:
    """Decodes a load report; None when it can't be read."""
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    if running < 0 or waiting < 0 or slots < 1:
        return None
    return models.Load(running, waiting, slots)


def decode_deadline_s(value: bytes) -> float | None:
    """Decodes a client's deadline into seconds; None when it can't be read."""
    try:
        deadline_s = float(value) / 1000.0
    except ValueError:
        return None
    # Rejects negative values and NaN.
    return deadline_s if deadline_s >= 0.0 else None


def encode_deadline(remaining_s: float) -> bytes:
    """Encodes the time that is left, in whole milliseconds."""
    return str(max(1, int(remaining_s * 1000.0))).encode()

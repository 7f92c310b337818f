"""Data objects of the request path: what a caller asked, what was decided."""

from collections.abc import Mapping
import dataclasses

from banyanshed.core import models


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A whole request of a caller, without its key.

    Attributes:
        request_id: Unique id made by the entry host.
        service: Service asked for.
        key_digest: SHA-256 of the key in hex; None when no key came.
        idempotency_key: Value of Idempotency-Key; None when absent.
        method: HTTP method in upper case.
        target: Path below the service and query, beginning with "/".
        headers: Headers to send on; no key, no hop-by-hop headers.
        body: Whole body.
        deadline_s: Time left for the request in seconds, from its arrival.
    """

    request_id: str
    service: models.ServiceId
    key_digest: models.KeyDigest | None
    idempotency_key: str | None
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Headers to send on; no hop-by-hop headers.
        body: Whole body.
        leaving: The backend server said that it is leaving.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Target:
    """A backend server chosen for one attempt.

    Attributes:
        backend: Its id.
        region: Its region.
        address: "IP:port".
    """

    backend: models.BackendId
    region: models.RegionId
    address: str


@dataclasses.dataclass(frozen=True)
class AttemptFailure:
    """An attempt that yielded no whole answer.

    Attributes:
        ran: NO only when the backend server cannot have executed it.
        code: Stable code of the failure.
        leaving: The backend server said that it is leaving.
        retry_after_s: When the backend server asked to come back.
    """

    ran: models.Ran
    code: str
    leaving: bool = False
    retry_after_s: float | None = None

"""What a host gives requests from its shares, until they give it back."""

import dataclasses

from banyanshed.core import shares


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request is within its tenant's rate.

    Attributes:
        admitted: It may run.
        retry_after_s: When to come back, if refused.
    """

    admitted: bool
    retry_after_s: float | None = None


ADMITTED = Admission(True)


@dataclasses.dataclass(frozen=True, slots=True)
class Unit:
    """The right to one request at work, until released."""

    key: shares.LimitKey
    session: shares.SessionId
    acquired_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Bytes of a link set aside for one answer, until settled."""

    key: shares.LimitKey
    session: shares.SessionId
    size: float

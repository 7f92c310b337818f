"""Admissions, units and reservations that requests take from shares."""

import dataclasses

from banyanshed.core import shares


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request is within its tenant's rate.

    Attributes:
        admitted: Whether it may run.
        retry_after_s: Seconds after which to retry, if refused.
    """

    admitted: bool
    retry_after_s: float | None = None


ADMITTED = Admission(True)


@dataclasses.dataclass(frozen=True, slots=True)
class Unit:
    """The right to run one request, until released.

    Attributes:
        key: Limit that it belongs to.
        session: Session that holds it.
        acquired_s: Monotonic time in seconds at which it was acquired.
    """

    key: shares.LimitKey
    session: shares.SessionId
    acquired_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Bytes of a link reserved for one response, until settled.

    Attributes:
        key: Limit that they belong to.
        session: Session that holds them.
        size: Number of bytes.
    """

    key: shares.LimitKey
    session: shares.SessionId
    size: float

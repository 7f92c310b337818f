"""Sessions of hosts, their leases and their witnesses; no input or output.

Every share that a host holds belongs to its session, the row
`session/HOST/...` of the table service, so that one row renews them all. A
session ends with its lease, or earlier when the witness that the row names has
surely not acknowledged a heartbeat for WITNESS_TIMEOUT_S.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any, NewType

import pydantic

from banyanshed.core import models
from banyanshed.core import shares

SESSION_PREFIX = "session/"
LEASE_S = 7200.0
CLOCK_DRIFT = 0.0005
"""Largest relative error of a monotonic clock."""
LEASE_MARGIN_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5
WITNESS_TIMEOUT_S = 5.0
WITNESS_SUSPECT_AFTER_S = 1.6
CLOSED_SESSION_RETENTION_S = 3600.0
REFUSAL_RETENTION_S = 4 * LEASE_S

Incarnation = NewType("Incarnation", str)


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessId:
    """A host that may close a session.

    Attributes:
        host: The witness.
        incarnation: Its incarnation; another one knows of nothing.
        term: Number that the holder gives to each choice of a witness, so
            that a host that refused it once may serve it again.
    """

    host: models.HostId
    incarnation: Incarnation
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Row of a session.

    Attributes:
        host: Its holder.
        write_id: Id of the holder's last transaction on it.
        end_s: The lease has ended at this time of the store's clock.
        witness: Who may close it early; None when nobody may.
        closed_s: Time at which the holder had surely stopped; None while
            open.
        lease_s: Length of the lease that the last transaction gave.
    """

    host: models.HostId
    write_id: str
    end_s: float
    witness: WitnessId | None = None
    closed_s: float | None = None
    lease_s: float = LEASE_S


SESSION_ADAPTER: pydantic.TypeAdapter[Session] = pydantic.TypeAdapter(Session)


def session_id(
    host: models.HostId, incarnation: Incarnation, epoch: int
) -> shares.SessionId:
    """Returns the id of a session; epochs count sessions of a process."""
    return shares.SessionId(f"{host}/{incarnation}.{epoch}")


def session_key(session: shares.SessionId) -> str:
    """Returns the key of a session's row."""
    return SESSION_PREFIX + session


def parse_session(value: Mapping[str, Any] | None) -> Session | None:
    """Returns a session from its row's value; None when absent."""
    return None if value is None else SESSION_ADAPTER.validate_python(value)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks a witness for an acknowledgement.

    Attributes:
        session: The sender's session.
        term: The sender's term of this witness.
        sequence: Number of the heartbeat; the acknowledgement repeats it.
    """

    session: shares.SessionId
    term: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answer of a witness to a heartbeat.

    Attributes:
        witness: Who answers.
        session: Session of the heartbeat.
        sequence: Number of the heartbeat.
        accepted: False when the witness treats the session as ended.
        waived: The witness will never close this session, which therefore
            needs no further acknowledgements of it.
    """

    witness: WitnessId
    session: shares.SessionId
    sequence: int
    accepted: bool
    waived: bool = False


@dataclasses.dataclass(slots=True)
class StoreClockBounds:
    """Bounds of the table service's clock, from times of calls.

    Attributes:
        known: Whether any answer has arrived.
    """

    known: bool = False
    lower_s: float = 0.0
    lower_at_s: float = 0.0
    upper_s: float = 0.0
    upper_at_s: float = 0.0

    def observe(self, sent_s: float, now_s: float, store_s: float) -> None:
        """Takes the store's time from the answer to a call."""
        if not self.known or store_s > self.earliest_s(now_s):
            self.lower_s = store_s
            self.lower_at_s = now_s
        upper_s = store_s + (now_s - sent_s) * (1 + CLOCK_DRIFT)
        if not self.known or upper_s < self.latest_s(now_s):
            self.upper_s = upper_s
            self.upper_at_s = now_s
        self.known = True

    def earliest_s(self, now_s: float) -> float:
        """Returns a time that the store's clock has surely reached."""
        elapsed_s = now_s - self.lower_at_s
        return self.lower_s + elapsed_s * (1 - CLOCK_DRIFT)

    def latest_s(self, now_s: float) -> float:
        """Returns a time that the store's clock has surely not passed."""
        elapsed_s = now_s - self.upper_at_s
        return self.upper_s + elapsed_s * (1 + CLOCK_DRIFT)


class Witness:
    """Witness of other hosts' sessions, for one incarnation of its host."""

    def __init__(self, host: models.HostId, incarnation: Incarnation):
        """Starts without any session."""
        self.host = host
        self.incarnation = incarnation
        self.last_heartbeat_s: dict[tuple[shares.SessionId, int], float] = {}
        self.refused_s: dict[tuple[shares.SessionId, int], float] = {}
        self.waiving = False

    def on_heartbeat(
        self, now_s: float, heartbeat: Heartbeat
    ) -> Acknowledgement:
        """Acknowledges a heartbeat, or refuses it for good when late."""
        self.expire(now_s)
        session_term = (heartbeat.session, heartbeat.term)
        accepted = session_term not in self.refused_s
        if accepted:
            self.last_heartbeat_s[session_term] = now_s
        return Acknowledgement(
            WitnessId(self.host, self.incarnation, heartbeat.term),
            heartbeat.session,
            heartbeat.sequence,
            accepted,
            accepted and self.waiving,
        )

    def expire(self, now_s: float) -> None:
        """Refuses sessions whose last acknowledgement has run out."""
        timeout_s = WITNESS_TIMEOUT_S * (1 + 2 * CLOCK_DRIFT)
        for session_term, last_s in list(self.last_heartbeat_s.items()):
            if self.waiving or now_s <= last_s + timeout_s:
                continue
            del self.last_heartbeat_s[session_term]
            self.refused_s[session_term] = now_s
        for session_term, refused_s in list(self.refused_s.items()):
            if now_s > refused_s + REFUSAL_RETENTION_S:
                del self.refused_s[session_term]

    def may_close(
        self, now_s: float, session: shares.SessionId, row: Session
    ) -> bool:
        """Returns whether the session has surely ended, by this witness.

        A session that it never acknowledged can't be in use; its holder gets
        the usual time for the first heartbeat.
        """
        if row.witness is None:
            return False
        term = row.witness.term
        if row.witness != WitnessId(self.host, self.incarnation, term):
            return False
        if (session, term) not in self.refused_s:
            self.last_heartbeat_s.setdefault((session, term), now_s)
        self.expire(now_s)
        return (session, term) in self.refused_s

    def waive(self) -> None:
        """Gives up closing further sessions, for a planned stop."""
        self.waiving = True

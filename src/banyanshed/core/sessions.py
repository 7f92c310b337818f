"""Sessions of hosts, their leases and their witnesses; performs no I/O.

Every share that a host holds belongs to its session, the row
`session/HOST/...` of the table service, so that one write renews all of them.
A session ends when its lease expires, or earlier when the witness named in
the row has acknowledged no heartbeat for WITNESS_TIMEOUT_S.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any, NewType

import pydantic

from banyanshed.core import models
from banyanshed.core import shares

SESSION_PREFIX = "session/"
# Length of the lease of a session, in seconds.
LEASE_S = 7200.0
CLOCK_DRIFT = 0.0005
"""Maximum relative rate error of a monotonic clock."""
# Time in seconds after the end of its lease from which other hosts may close a
# session.
LEASE_MARGIN_S = 1.0
# In seconds: time between heartbeats to witnesses; time without an acknowledged
# heartbeat after which a session ends, and after which a witness counts as not
# responsive.
HEARTBEAT_INTERVAL_S = 0.5
WITNESS_TIMEOUT_S = 5.0
WITNESS_SUSPECT_AFTER_S = 1.6
# How long the row of a closed session is kept at least, and how long a witness
# remembers that it refused a session, in seconds.
CLOSED_SESSION_RETENTION_S = 3600.0
REFUSAL_RETENTION_S = 4 * LEASE_S

Incarnation = NewType("Incarnation", str)


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessId:
    """A host that may close a session.

    Attributes:
        host: The witness.
        incarnation: Its incarnation; after a restart the witness has no state
            of earlier sessions.
        term: Number that the session's holder increments with each choice of
            a witness, so that a host that refused an earlier term may be
            chosen again.
    """

    host: models.HostId
    incarnation: Incarnation
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Row of a session.

    Attributes:
        host: The host that holds it.
        write_id: Id of the holder's last transaction on it.
        end_s: Time of the store's clock by which the lease has expired.
        witness: Host that may close it early; None when none may.
        closed_s: Time of the store's clock by which the holder had stopped
            using its shares; None while the session is open.
        lease_s: Duration in seconds of the lease that the last transaction
            wrote.
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
    """Returns a session's id; `epoch` counts the sessions of a process."""
    return shares.SessionId(f"{host}/{incarnation}.{epoch}")


def session_key(session: shares.SessionId) -> str:
    """Returns the key of a session's row."""
    return SESSION_PREFIX + session


def parse_session(value: Mapping[str, Any] | None) -> Session | None:
    """Parses the value of a session row; returns None for an absent row."""
    return None if value is None else SESSION_ADAPTER.validate_python(value)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat from the holder of a session to a witness.

    Attributes:
        session: The sender's session.
        term: Term under which the sender chose this witness.
        sequence: Sequence number; the acknowledgement repeats it.
    """

    session: shares.SessionId
    term: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Response of a witness to a heartbeat.

    Attributes:
        witness: The responding witness.
        session: Session of the heartbeat.
        sequence: Sequence number of the heartbeat.
        accepted: False when the witness considers the session ended.
        waived: The witness will never close this session, which therefore
            needs no further acknowledgements from it.
    """

    witness: WitnessId
    session: shares.SessionId
    sequence: int
    accepted: bool
    waived: bool = False


@dataclasses.dataclass(slots=True)
class StoreClockBounds:
    """Bounds of the table service's clock, derived from timed calls.

    Attributes:
        known: Whether any response has arrived.
        lower_s: Lower bound of the service's clock at `lower_at_s`.
        lower_at_s: Monotonic time of the lower bound.
        upper_s: Upper bound of the service's clock at `upper_at_s`.
        upper_at_s: Monotonic time of the upper bound.
    """

    known: bool = False
    lower_s: float = 0.0
    lower_at_s: float = 0.0
    upper_s: float = 0.0
    upper_at_s: float = 0.0

    def observe(self, sent_s: float, now_s: float, store_s: float) -> None:
        """Narrows the bounds by the time stated in a response.

        Args:
            sent_s: Monotonic time at which the request was sent.
            now_s: Monotonic time at which the response arrived.
            store_s: The store's clock, as stated in the response.
        """
        if not self.known or store_s > self.earliest_s(now_s):
            self.lower_s = store_s
            self.lower_at_s = now_s
        upper_s = store_s + (now_s - sent_s) * (1 + CLOCK_DRIFT)
        if not self.known or upper_s < self.latest_s(now_s):
            self.upper_s = upper_s
            self.upper_at_s = now_s
        self.known = True

    def earliest_s(self, now_s: float) -> float:
        """Returns the lower bound of the store's clock."""
        elapsed_s = now_s - self.lower_at_s
        return self.lower_s + elapsed_s * (1 - CLOCK_DRIFT)

    def latest_s(self, now_s: float) -> float:
        """Returns the upper bound of the store's clock."""
        elapsed_s = now_s - self.upper_at_s
        return self.upper_s + elapsed_s * (1 + CLOCK_DRIFT)


class Witness:
    """Witness of other hosts' sessions, for one incarnation of its host.

    Attributes:
        last_heartbeat_s: Monotonic time of the last acknowledged heartbeat, by
            session and term.
        refused_s: Monotonic time from which a session and term are refused.
        waiving: No further sessions are closed.
    """

    def __init__(self, host: models.HostId, incarnation: Incarnation):
        """Creates a witness that knows no sessions."""
        self.host = host
        self.incarnation = incarnation
        self.last_heartbeat_s: dict[tuple[shares.SessionId, int], float] = {}
        self.refused_s: dict[tuple[shares.SessionId, int], float] = {}
        self.waiving = False

    def on_heartbeat(
        self, now_s: float, heartbeat: Heartbeat
    ) -> Acknowledgement:
        """Acknowledges a heartbeat, or refuses it if its session timed out.

        A refused session and term stay refused for REFUSAL_RETENTION_S.
        """
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
        """Refuses timed-out sessions, and forgets old refusals."""
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
        """Returns whether this witness knows that the session has ended.

        A session that it never acknowledged can't be in use; its holder has
        WITNESS_TIMEOUT_S for the first heartbeat.
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
        """Waives the right to close further sessions, for a planned stop."""
        self.waiving = True

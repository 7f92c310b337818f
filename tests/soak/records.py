"""What callers and backend servers saw, and what was done to whom."""

import dataclasses
import enum


class Ending(enum.Enum):
    """How a caller's request ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    BROKEN = "broken"
    LEFT = "left"
    NOT_SENT = "not_sent"
    PENDING = "pending"
    RUN_OVER = "play_over"


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's attempt.

    Attributes:
        id: Its id.
        host: The host that it was sent to.
        path: Path of the request.
        safe: It may run more than once.
        key: The caller's key.
        sent_at: When its last byte was sent.
        ended_at: When it ended.
        ending: How it ended.
        status: Status of the answer.
        body: Body of the answer.
        stamp: Server that the answer names.
        retry_after_s: When the caller was told to come back.
    """

    id: str
    host: str
    path: str
    safe: bool
    key: str
    sent_at: float
    ended_at: float = 0.0
    ending: Ending = Ending.PENDING
    status: int = 0
    body: bytes = b""
    stamp: str = ""
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True)
class Execution:
    """A request at a backend server.

    Attributes:
        id: Id of the request.
        server: The server.
        at: When it arrived.
        customer: The customer that it names.
        leaked_key: A key was passed on with it.
        body: The answer that was made, if it came to that.
        left_at: When its connection closed before the answer.
    """

    id: str
    server: str
    at: float
    customer: str
    leaked_key: bool
    body: bytes = b""
    left_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FaultInterval:
    """A time in which something was wrong.

    Attributes:
        kind: What.
        target: With whom; "store" for all hosts at once.
        start: Its start.
        end: Its end.
    """

    kind: str
    target: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgedChange:
    """Something that the platform acknowledged.

    Attributes:
        kind: "draining", "gone" or "withdrawn".
        name: The server or key.
        at: When it was acknowledged.
    """

    kind: str
    name: str
    at: float


@dataclasses.dataclass(slots=True)
class Records:
    """All that a play left.

    Attributes:
        requests: Requests of callers.
        runs: Requests at servers.
        spans: Troubles.
        marks: Acknowledged changes.
        stall_ends: Ends of times in which this process itself was held up.
        recovery_s: Time from the last fault until callers were served.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    fault_intervals: list[FaultInterval] = dataclasses.field(
        default_factory=list
    )
    acknowledged: list[AcknowledgedChange] = dataclasses.field(
        default_factory=list
    )
    stall_ends: list[float] = dataclasses.field(default_factory=list)
    recovery_s: float | None = None

    def is_fault_free(self, targets, start, end):
        """Whether nothing was wrong with some targets in a time."""
        for interval in self.fault_intervals:
            if interval.target not in targets:
                continue
            if interval.start <= end and interval.end >= start:
                return False
        return not any(start <= at <= end for at in self.stall_ends)


def customer_of(key):
    """Returns the customer that holds a key."""
    return f"c{key}"

"""Records of a soak run: requests, executions and injected faults.

Times are in seconds since the start of the run.
"""

import dataclasses
import enum

# A request that crashes each server that runs it, while the run says so.
DEADLY_PATH = "/r/deadly"


class Ending(enum.Enum):
    """How a caller's request ended.

    CLOSED: the host closed the connection without a complete answer; BROKEN:
    the connection failed; LEFT: the caller disconnected; RUN_OVER: the run
    ended first.
    """

    ANSWERED = "answered"
    CLOSED = "closed"
    BROKEN = "broken"
    LEFT = "left"
    NOT_SENT = "not_sent"
    PENDING = "pending"
    RUN_OVER = "play_over"


@dataclasses.dataclass(slots=True)
class Request:
    """A request as its caller saw it.

    Attributes:
        id: Request id.
        host: Host that it was sent to.
        path: Path of the request.
        safe: Whether it may be executed more than once.
        key: API key of the caller.
        sent_at: When the caller began to send it.
        ended_at: When it ended.
        ending: How it ended.
        status: Status of the answer.
        body: Body of the answer.
        stamp: Id of the server that the answer names.
        retry_after_s: Value of Retry-After in seconds; None if absent.
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
    """Execution of a request by a backend server.

    Attributes:
        id: Id of the request.
        server: Id of the server.
        at: When the request arrived at the server.
        customer: Customer that the request names.
        leaked_key: Whether the caller's API key was forwarded to the server.
        body: Body of the answer; empty if there was none.
        left_at: When the connection closed before the answer; None if not.
        says_leaving: Whether the answer says that the server leaves.
    """

    id: str
    server: str
    at: float
    customer: str
    leaked_key: bool
    body: bytes = b""
    left_at: float | None = None
    says_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FaultInterval:
    """Interval in which a fault was active.

    Attributes:
        kind: Kind of the fault.
        target: Id of the affected host or server; "store" for the store, which
            affects all hosts.
        start: Start of the interval.
        end: End of the interval.
    """

    kind: str
    target: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgedChange:
    """A change that the platform acknowledged.

    Attributes:
        kind: "draining", "gone" or "withdrawn".
        name: Id of the server, or the key.
        at: When it was acknowledged.
    """

    kind: str
    name: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitInterval:
    """Interval in which a server named a rate limit in its answers.

    Attributes:
        server: Id of the server.
        rate: Requests per second that it took from all hosts together.
        start: When it began to name the limit.
        end: When it stopped.
    """

    server: str
    rate: float
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Records:
    """All records of a soak run.

    Attributes:
        requests: Requests as callers saw them.
        executions: Executions by backend servers.
        fault_intervals: Intervals of injected faults.
        acknowledged: Acknowledged changes.
        limits: Intervals in which servers named rate limits.
        stall_ends: Ends of stalls of the test process, whose recorded times
            are unreliable.
        refused_keys: When a host answered 401, by host and key.
        deadly_until: Until when the deadly request crashed servers.
        recovery_s: Seconds from the last fault until callers were served;
            None if they were not.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    fault_intervals: list[FaultInterval] = dataclasses.field(
        default_factory=list
    )
    acknowledged: list[AcknowledgedChange] = dataclasses.field(
        default_factory=list
    )
    limits: list[LimitInterval] = dataclasses.field(default_factory=list)
    stall_ends: list[float] = dataclasses.field(default_factory=list)
    refused_keys: dict[tuple[str, str], list[float]] = dataclasses.field(
        default_factory=dict
    )
    deadly_until: float = 0.0
    recovery_s: float | None = None

    def is_fault_free(self, targets, start, end):
        """Returns whether no fault affected the targets in an interval.

        A stall of the test process counts as a fault.
        """
        for interval in self.fault_intervals:
            if interval.target not in targets:
                continue
            if interval.start <= end and interval.end >= start:
                return False
        return not any(start <= at <= end for at in self.stall_ends)


def customer_of(key):
    """Returns the customer that owns a key."""
    return f"c{key}"

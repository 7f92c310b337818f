"""Passive health checks of backend servers.

Health is derived from ordinary requests only. On its own observations, this
host avoids a server after failed connections, and while its oldest request
there has waited far longer than requests of the service usually take.
Servers that fail or are slow are ejected on the combined evidence of all
hosts: they get no requests but a few that probe them (see `outliers`).

All instants are in seconds of one monotonic clock, which callers pass as `now`;
on an entry host this is the event loop's.
"""

import dataclasses
import enum

from banyanshed.steering import models
from banyanshed.steering import outliers as outliers_lib

# How long a server is avoided after a failed connection, in seconds. The time
# doubles with each consecutive failure, up to the maximum.
CONNECT_BACKOFF_S = 0.5
MAX_CONNECT_BACKOFF_S = 4.0
# An attempt counts as bad when it takes this many times the expected time.
SLOW_FACTOR = 2.0
# A server is avoided as stalled while it has not answered since its oldest
# attempt in flight started, and that was longer ago than this many times the
# service's mean latency, and than the minimum in seconds. The minimum also
# applies to attempts that count as slow.
STALL_FACTOR = 3.0
MIN_STALL_S = 0.7
# Weight of the newest latency in the moving average of a service's latency.
LATENCY_SMOOTHING = 0.05


class Outcome(enum.Enum):
    """How an attempt at a backend server ended.

    Attributes:
        SUCCESS: The server sent a final response.
        FAILURE: The server sent an error or its response was lost, or it
            rejected the request although it reported free slots.
        REJECTED: The server did not run the request, and did not report free
            slots; no evidence of its health.
        UNREACHABLE: The connection failed, or another server answered at the
            address.
        CONNECT_TIMEOUT: The connection was not established in time.
        ABANDONED: This host ended the attempt: the caller left, the server
            left before the request was sent, or an unexpected exception
            occurred. It counts as bad only if it had become slow.
        TIMED_OUT: The request was sent, and no response arrived within the
            request's time limit. It counts as bad only if it had become slow.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    CONNECT_TIMEOUT = "connect_timeout"
    ABANDONED = "abandoned"
    TIMED_OUT = "timed_out"


_CONNECT_FAILURES = frozenset({Outcome.UNREACHABLE, Outcome.CONNECT_TIMEOUT})
_UNANSWERED = frozenset({Outcome.ABANDONED, Outcome.TIMED_OUT})


@dataclasses.dataclass(slots=True)
class InFlightAttempt:
    """An attempt that has not ended.

    Attributes:
        started_at: When it started, before a connection was opened.
        slow_at: From when it counts as slow; None when it waits in a queue,
            so that its duration is no evidence of the server's health.
        is_counted: Whether it was already counted as bad.
    """

    started_at: float
    slow_at: float | None
    is_counted: bool = False


@dataclasses.dataclass(slots=True)
class ServerHealth:
    """What this host has observed of one server.

    Attributes:
        connect_failures: Consecutive failed connections.
        avoided_until: Until when it gets no requests.
        on_probation: Whether it was avoided for failed connections and no
            attempt has succeeded since; it then gets one request at a time.
        in_flight: Attempts that have not ended, oldest first, by number.
        answered_at: When an attempt last ended with a response or the loss of
            one.
    """

    connect_failures: int = 0
    avoided_until: float = 0.0
    on_probation: bool = False
    in_flight: dict[int, InFlightAttempt] = dataclasses.field(
        default_factory=dict
    )
    answered_at: float = float("-inf")


class Health:
    """Health of all backend servers as observed by one host.

    Attributes:
        outliers: Evidence of all hosts, to which attempts are added.
        records: This host's observations, by server.
        mean_latency_s: Moving average of the duration of successful attempts
            in seconds, by service.
        last_attempt: Number of the last attempt that was started.
        ignores_results: Whether attempts say nothing about servers, as this
            host may be cut off from all of them.
    """

    def __init__(self, outliers: outliers_lib.Outliers) -> None:
        """Starts without observations: every server counts as healthy."""
        self.outliers = outliers
        self.records: dict[models.ServerId, ServerHealth] = {}
        self.mean_latency_s: dict[models.ServiceName, float] = {}
        self.last_attempt = 0
        self.ignores_results = False

    def start_attempt(
        self,
        server: models.ServerId,
        now: float,
        expected_s: float | None = None,
    ) -> int:
        """Records the start of an attempt.

        Args:
            server: Server that it is sent to.
            now: Current time in seconds.
            expected_s: Expected time to the answer in seconds; None when it
                depends on requests queued ahead.

        Returns:
            The attempt's number, to be given to `finish_attempt`.
        """
        record = self.records.setdefault(server, ServerHealth())
        self.last_attempt += 1
        slow_at = None
        if expected_s is not None:
            slow_at = now + max(MIN_STALL_S, SLOW_FACTOR * expected_s)
        record.in_flight[self.last_attempt] = InFlightAttempt(now, slow_at)
        return self.last_attempt

    def finish_attempt(
        self,
        server: models.ServerId,
        service: models.ServiceName,
        attempt: int,
        outcome: Outcome,
        now: float,
    ) -> bool:
        """Records how an attempt ended.

        Args:
            server: Server that it was sent to.
            service: Service of the server.
            attempt: The attempt's number.
            outcome: How it ended.
            now: Current time in seconds.

        Returns:
            Whether the server is now avoided because of failed connections.
        """
        record = self.records.setdefault(server, ServerHealth())
        in_flight = record.in_flight.pop(attempt, InFlightAttempt(now, None))
        if outcome in _CONNECT_FAILURES:
            return self._record_connect_failure(record, outcome, now)
        self._record_result(server, in_flight, outcome, now)
        if outcome in _UNANSWERED:
            return False
        record.connect_failures = 0
        record.answered_at = now
        if outcome is Outcome.SUCCESS:
            record.on_probation = False
            self._record_latency(service, now - in_flight.started_at)
        return False

    def count_slow_attempts(self, now: float) -> None:
        """Counts attempts in flight that have become slow as bad."""
        if self.ignores_results:
            return
        for server, record in self.records.items():
            for attempt in record.in_flight.values():
                if attempt.is_counted or not _is_slow(attempt, now):
                    continue
                attempt.is_counted = True
                self.outliers.record_attempt(server, True, now)

    def is_usable(
        self,
        server: models.ServerId,
        service: models.ServiceName,
        now: float,
    ) -> bool:
        """Returns whether a server may get another request."""
        record = self.records.get(server)
        in_flight = len(record.in_flight) if record is not None else 0
        if not self.outliers.is_usable(server, in_flight, now):
            return False
        if record is None:
            return True
        if now < record.avoided_until:
            return False
        if record.on_probation and record.in_flight:
            return False
        return not self._is_stalled(record, service, now)

    def waiting_servers(self, before: float) -> int:
        """Returns the servers with a request that started before a time."""
        count = 0
        for record in self.records.values():
            oldest = next(iter(record.in_flight.values()), None)
            count += oldest is not None and oldest.started_at < before
        return count

    def reset_observations(self, now: float) -> None:
        """Drops what this host observed of servers while it was cut off."""
        self.outliers.reset_own()
        for record in self.records.values():
            record.connect_failures = 0
            record.avoided_until = now
            record.on_probation = False
            record.answered_at = now

    def is_used(
        self, server: models.ServerId, since: float, now: float
    ) -> bool:
        """Returns whether a server has, or had lately, a request of this host.

        Args:
            server: The server.
            since: Earliest time of a response that counts.
            now: Current time in seconds.
        """
        record = self.records.get(server)
        if record is None:
            return False
        return bool(record.in_flight) or since <= record.answered_at <= now

    def in_flight(self, server: models.ServerId) -> int:
        """Returns the number of this host's attempts in flight at a server."""
        record = self.records.get(server)
        return len(record.in_flight) if record is not None else 0

    def in_flight_by_server(self) -> dict[models.ServerId, int]:
        """Returns the number of this host's attempts in flight by server."""
        return {
            server: len(record.in_flight)
            for server, record in self.records.items()
            if record.in_flight
        }

    def forget(self, server: models.ServerId) -> None:
        """Drops the observations of a removed or restarted server.

        Attempts in flight stay, as they still have to be finished.
        """
        self.outliers.forget(server)
        record = self.records.get(server)
        if record is None:
            return
        in_flight = record.in_flight
        self.records[server] = ServerHealth(in_flight=in_flight)
        if not in_flight:
            del self.records[server]

    def _is_stalled(
        self, record: ServerHealth, service: models.ServiceName, now: float
    ) -> bool:
        if not record.in_flight:
            return False
        oldest = next(iter(record.in_flight.values())).started_at
        if record.answered_at >= oldest:
            return False
        usual_s = self.mean_latency_s.get(service, 0.0)
        return now - oldest > max(MIN_STALL_S, STALL_FACTOR * usual_s)

    def _record_connect_failure(
        self, record: ServerHealth, outcome: Outcome, now: float
    ) -> bool:
        record.connect_failures += 1
        # A single connect timeout may be a lost packet, not a dead server.
        is_first = record.connect_failures < 2 and not record.on_probation
        if outcome is Outcome.CONNECT_TIMEOUT and is_first:
            return False
        exponent = min(record.connect_failures - 1, 3)
        backoff_s = min(MAX_CONNECT_BACKOFF_S, CONNECT_BACKOFF_S * 2**exponent)
        record.avoided_until = now + backoff_s
        record.on_probation = True
        return True

    def _record_result(
        self,
        server: models.ServerId,
        attempt: InFlightAttempt,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Counts an attempt unless it is no evidence of the server's health."""
        if attempt.is_counted or outcome is Outcome.REJECTED:
            return
        if self.ignores_results:
            return
        slow = _is_slow(attempt, now)
        if outcome in _UNANSWERED and not slow:
            return
        bad = slow or outcome is Outcome.FAILURE
        self.outliers.record_attempt(server, bad, now)

    def _record_latency(
        self, service: models.ServiceName, latency_s: float
    ) -> None:
        known = self.mean_latency_s.get(service, latency_s)
        self.mean_latency_s[service] = known + LATENCY_SMOOTHING * (
            latency_s - known
        )


def _is_slow(attempt: InFlightAttempt, now: float) -> bool:
    return attempt.slow_at is not None and now >= attempt.slow_at

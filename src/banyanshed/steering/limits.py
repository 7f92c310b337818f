"""Rate limits that backend servers in need name in their responses.

Such a limit is the number of requests per second that a server takes from all
hosts together. It holds until a response of the server names none. Each host
notes the limits in the responses that it receives. Hosts report them to each
other with their age, and the newest one counts, so that hosts without requests
for a server know its limit too.
"""

from collections.abc import Mapping
import dataclasses

from banyanshed.steering import models
from banyanshed.steering import views

# A response without a limit ends one only if it came this much later than the
# last response that named it: responses of a server may overtake each other.
END_MARGIN_S = 0.5
# What changed, and what this host observed itself, is reported for this long,
# as single reports may be lost.
REPORT_S = 3.0
# A limit that no host has confirmed for this long is reported by all hosts, as
# its end may have been missed.
UNCONFIRMED_S = 6.0
# The limit of a server without an entry is kept for this long. Entries lapse
# when servers can't reach the store, and come back.
ABSENT_SERVER_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """What a host knows of a server's limit.

    Attributes:
        rate: Requests per second; None if the server names no limit.
        age_s: Seconds since a host received the server's response.
    """

    rate: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of what this host knows of a server's limit, for logs.

    Attributes:
        server: The server.
        rate: Requests per second; None if the server no longer names a limit.
        previous: The rate known before; None if there was no limit.
        age_s: Seconds since a host received the server's response.
    """

    server: models.ServerId
    rate: float | None
    previous: float | None
    age_s: float


@dataclasses.dataclass(slots=True)
class _Knowledge:
    """What this host knows of the limit of one process of a server.

    Attributes:
        started_ms: Start of the server's process.
        rate: Requests per second; None if it names no limit.
        responded_at: When a host received the response that said so.
        observed_at: When this host last received a response itself.
        changed_at: When this host learned of the current rate.
        contested_at: When a peer last reported a limit that has ended.
    """

    started_ms: int
    rate: float | None
    responded_at: float
    observed_at: float = float("-inf")
    changed_at: float = float("-inf")
    contested_at: float = float("-inf")


class ServerLimits:
    """Limits of the backend servers as known to one host.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(self, view: views.View) -> None:
        """Starts without limits.

        Args:
            view: Servers known to this host.
        """
        self.view = view
        self.known: dict[models.ServerId, _Knowledge] = {}

    def rate(self, server: models.Registration) -> float | None:
        """Returns a server's limit in requests per second; None if none."""
        known = self._find(server)
        return known.rate if known is not None else None

    def observe(
        self, server: models.Registration, rate: float | None, now: float
    ) -> LimitChange | None:
        """Records what a server's response to this host says of its limit.

        Args:
            server: The server that responded.
            rate: The limit that it names; None if it names none.
            now: Current time in seconds.

        Returns:
            The change; None if the limit is the same as before.
        """
        change = self._update(server, rate, now, now)
        known = self._find(server)
        if known is not None and known.rate == rate:
            known.observed_at = now
        return change

    def apply_reports(
        self, reports: Mapping[models.ServerId, LimitReport], now: float
    ) -> list[LimitChange]:
        """Applies what a peer knows of limits; returns the changes."""
        changes = []
        for id_, report in reports.items():
            server = self.view.servers.get(id_)
            if server is None:
                continue
            responded_at = now - max(0.0, report.age_s)
            change = self._update(
                server.registration, report.rate, responded_at, now
            )
            if change is not None:
                changes.append(change)
        return changes

    def report(self, now: float) -> dict[models.ServerId, LimitReport]:
        """Returns what this host regularly reports to its peers."""
        reports = {}
        for id_, known in self.known.items():
            if self._is_reported(known, now):
                reports[id_] = _make_report(known, now)
        return reports

    def report_changes(self, now: float) -> dict[models.ServerId, LimitReport]:
        """Returns what this host has learned recently."""
        reports = {}
        for id_, known in self.known.items():
            if now - known.changed_at <= REPORT_S:
                reports[id_] = _make_report(known, now)
        return reports

    def report_all(self, now: float) -> dict[models.ServerId, LimitReport]:
        """Returns all limits in force, and what is reported regularly."""
        reports = self.report(now)
        for id_, known in self.known.items():
            if known.rate is not None:
                reports[id_] = _make_report(known, now)
        return reports

    def drop_absent(self, now: float) -> None:
        """Drops the limits of servers whose entries are gone for long."""
        for id_, known in list(self.known.items()):
            if id_ in self.view.servers:
                continue
            if now - known.responded_at >= ABSENT_SERVER_S:
                del self.known[id_]

    def _find(self, server: models.Registration) -> _Knowledge | None:
        """Returns what is known of a server since its process started."""
        known = self.known.get(server.id)
        if known is None or known.started_ms != server.started_ms:
            return None
        return known

    def _update(
        self,
        server: models.Registration,
        rate: float | None,
        responded_at: float,
        now: float,
    ) -> LimitChange | None:
        """Applies a response of a server if it is newer than what is known."""
        known = self._find(server)
        if known is None:
            known = _Knowledge(server.started_ms, None, float("-inf"))
            self.known[server.id] = known
        if not _is_newer(known, rate, responded_at):
            if known.rate is None and rate is not None:
                known.contested_at = now
            return None
        previous = known.rate
        known.rate = rate
        known.responded_at = responded_at
        if rate == previous:
            return None
        known.changed_at = now
        return LimitChange(server.id, rate, previous, now - responded_at)

    def _is_reported(self, known: _Knowledge, now: float) -> bool:
        if now - known.changed_at <= REPORT_S:
            return True
        if known.rate is None:
            return now - known.contested_at <= REPORT_S
        if now - known.observed_at <= REPORT_S:
            return True
        return now - known.responded_at >= UNCONFIRMED_S


def _is_newer(
    known: _Knowledge, rate: float | None, responded_at: float
) -> bool:
    """Returns whether a response is newer than what is known."""
    ends = rate is None and known.rate is not None
    margin_s = END_MARGIN_S if ends else 0.0
    return responded_at >= known.responded_at + margin_s


def _make_report(known: _Knowledge, now: float) -> LimitReport:
    return LimitReport(known.rate, now - known.responded_at)

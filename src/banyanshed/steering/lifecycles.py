"""What backend servers say of their own life cycle.

A server that leaves, or is cold, says so in its row, in the headers of its
responses or in its health responses, and hosts tell each other. All of it is
kept here for each process of a server. Within one process a leaving is never
taken back: a later statement to the contrary was made earlier and came late. Of
several times for which it stays cold the longest counts.

A server that refused connections may have been restarted. Until it or its row
says otherwise, it is taken to be cold from the moment at which it is reached.

The start of a process orders it among those of its server, in whatever order
their rows come.

A process whose entry was removed from the store has left, or lives on and could
not reach the store. A row of it that appears later was written before that and
performed late, or it is of the present. Until that is settled, the process is
in doubt.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import math

from banyanshed.steering import models

# Statements of a server without an entry are kept for this long. Entries lapse
# when servers can't reach the store, and come back.
ABSENT_SERVER_S = 60.0
# Limit on the removals, newest first, that a host is told when it has started.
MAX_REPORTED_REMOVALS = 100
# A report must prolong the time for which a server is cold by more than this:
# otherwise the delays of reports that hosts pass on would add up.
COLD_MARGIN_S = 0.5


class News(enum.Enum):
    """What a statement tells that was not known.

    Attributes:
        LEAVING: The server leaves.
        COLD: The server is cold.
        DOUBTED: Its entry was removed, and its row may be of the past.
    """

    LEAVING = "leaving"
    COLD = "cold"
    DOUBTED = "doubted"


@dataclasses.dataclass(slots=True)
class _Process:
    """What is known of the newest process of a server.

    Attributes:
        started_ms: Unix time of its start in milliseconds.
        heard_at: When something was last heard of it.
        is_leaving: Whether it leaves.
        cold_until: Until when it is cold by what it said beside its row.
        presumed_until: Until when it is taken to be cold after it refused
            connections; infinite until it was reached again.
        sequence: Highest number of its entries.
        removal: Newest removal of its entry; None if there is none.
        removal_known_at: When that removal became known.
        settled: Version of the newest removal after which it lives on.
    """

    started_ms: int
    heard_at: float
    is_leaving: bool = False
    cold_until: float = -math.inf
    presumed_until: float = -math.inf
    sequence: int = 0
    removal: models.EntryRemoval | None = None
    removal_known_at: float = -math.inf
    settled: models.TableVersion = models.NO_TABLE


class Lifecycles:
    """Life cycles of the backend servers as known to one host.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(self) -> None:
        """Starts without servers."""
        self.processes: dict[models.ServerId, _Process] = {}

    def accept_row(self, entry: models.Registration, now: float) -> bool:
        """Records the process and the state in a server's row.

        Returns:
            Whether the row counts. One of an earlier process came late.
        """
        known = self.processes.get(entry.id)
        if known is not None and entry.started_ms < known.started_ms:
            return False
        if known is None or known.started_ms != entry.started_ms:
            self.processes[entry.id] = _Process(entry.started_ms, now)
        process = self.processes[entry.id]
        process.sequence = max(process.sequence, entry.sequence)
        is_leaving = entry.state is models.ServerState.DRAINING
        self.record(entry, models.Statement(is_leaving), now)
        return True

    def record_removal(
        self, entry: models.Registration, at: models.TableVersion, now: float
    ) -> None:
        """Records that this host dropped a server, as its entry was removed.

        Args:
            entry: The server's last entry.
            at: Version of the table that no longer has it.
            now: Current time in seconds.
        """
        known = self._find(entry)
        if known is None:
            return
        known.heard_at = now
        known.removal = models.EntryRemoval(at, known.sequence)
        known.removal_known_at = now
        known.settled = models.NO_TABLE

    def learn_removal(self, told: models.ProcessRemoval, now: float) -> bool:
        """Records a removal that a peer tells, also before the row is read.

        Returns:
            Whether it was not known, and is of the process known here.
        """
        known = self.processes.setdefault(
            told.server, _Process(told.started_ms, now)
        )
        if known.started_ms != told.started_ms:
            return False
        return _add_removal(known, told.removal, now)

    def removals(self) -> list[models.ProcessRemoval]:
        """Returns the removals that hosts which start should know."""
        newest = sorted(
            self.processes.items(),
            key=lambda item: item[1].removal_known_at,
            reverse=True,
        )
        removals = []
        for id_, known in newest[:MAX_REPORTED_REMOVALS]:
            if known.removal is None or known.removal.at <= known.settled:
                continue
            removals.append(
                models.ProcessRemoval(id_, known.started_ms, known.removal)
            )
        return removals

    def find_doubt(
        self, entry: models.Registration
    ) -> models.EntryRemoval | None:
        """Returns the removal that puts a server's process in doubt, if any."""
        known = self._find(entry)
        if known is None or known.removal is None:
            return None
        return known.removal if known.removal.at > known.settled else None

    def doubted_since(self, entry: models.Registration) -> float:
        """Returns when the removal of a server's entry became known."""
        known = self._find(entry)
        return -math.inf if known is None else known.removal_known_at

    def settle(
        self, entry: models.Registration, removal: models.EntryRemoval
    ) -> bool:
        """Records that a server's process lives on after a removal.

        Returns:
            Whether it was in doubt, and no longer is.
        """
        known = self._find(entry)
        if known is None or self.find_doubt(entry) is None:
            return False
        known.settled = max(known.settled, removal.at)
        return self.find_doubt(entry) is None

    def record(
        self,
        entry: models.Registration,
        statement: models.Statement,
        now: float,
    ) -> list[News]:
        """Records a statement of a server's process, by itself or by a peer.

        Returns:
            What was not known.
        """
        known = self._find(entry)
        if known is None:
            return []
        known.heard_at = now
        news = []
        if statement.is_leaving and not known.is_leaving:
            known.is_leaving = True
            news.append(News.LEAVING)
        if statement.removal is not None and _add_removal(
            known, statement.removal, now
        ):
            news.append(News.DOUBTED)
        cold_until = now + (statement.cold_left_s or 0.0)
        if cold_until > max(now, known.cold_until + COLD_MARGIN_S):
            if now >= known.cold_until:
                news.append(News.COLD)
            known.cold_until = cold_until
        return news

    def record_health(
        self,
        entry: models.Registration,
        statement: models.Statement,
        now: float,
    ) -> list[News]:
        """Records a server's health response, which ends a presumption."""
        known = self._find(entry)
        if known is not None:
            known.presumed_until = -math.inf
        return self.record(entry, statement, now)

    def record_refusal(self, entry: models.Registration) -> bool:
        """Records that a server refused connections, and may be restarted.

        Returns:
            Whether it was reached before.
        """
        known = self._find(entry)
        if known is None or known.presumed_until == math.inf:
            return False
        known.presumed_until = math.inf
        return True

    def record_reached(
        self, entry: models.Registration, cold_s: float, now: float
    ) -> None:
        """Records that a server accepts connections.

        Args:
            entry: Entry of the server.
            cold_s: Seconds that a server of its service is cold after a start.
            now: Current time in seconds.
        """
        known = self._find(entry)
        if known is not None and known.presumed_until == math.inf:
            known.presumed_until = now + cold_s

    def forget_refusals(self) -> None:
        """Drops the presumptions: this host's own links had failed."""
        for known in self.processes.values():
            known.presumed_until = -math.inf

    def is_leaving(self, entry: models.Registration) -> bool:
        """Returns whether a server's process has said that it leaves."""
        known = self._find(entry)
        return known is not None and known.is_leaving

    def is_cold(self, entry: models.Registration, now: float) -> bool:
        """Returns whether a server is cold by more than its row."""
        known = self._find(entry)
        if known is None:
            return False
        return now < max(known.cold_until, known.presumed_until)

    def is_presumed_cold(self, entry: models.Registration, now: float) -> bool:
        """Returns whether a server is only taken to be cold."""
        known = self._find(entry)
        return known is not None and now < known.presumed_until

    def report(
        self, entries: Iterable[models.Registration], now: float
    ) -> dict[models.ServerId, models.Statement]:
        """Returns what peers may not know, as the servers' rows don't say it.

        Args:
            entries: The servers' newest entries.
            now: Current time in seconds.
        """
        report = {}
        for entry in entries:
            known = self._find(entry)
            if known is None:
                continue
            is_ready = entry.state is models.ServerState.READY
            is_leaving = known.is_leaving and is_ready
            cold_left_s = max(0.0, known.cold_until - now)
            doubt = self.find_doubt(entry)
            if is_leaving or cold_left_s > 0.0 or doubt is not None:
                report[entry.id] = models.Statement(
                    is_leaving, cold_left_s, doubt
                )
        return report

    def forget(self, server: models.ServerId) -> None:
        """Drops the process of a server: another one has taken its place."""
        self.processes.pop(server, None)

    def drop_absent(
        self, present: Mapping[models.ServerId, object], now: float
    ) -> None:
        """Drops servers whose entries are gone for long."""
        for id_, known in list(self.processes.items()):
            if id_ not in present and now - known.heard_at >= ABSENT_SERVER_S:
                del self.processes[id_]

    def _find(self, entry: models.Registration) -> _Process | None:
        known = self.processes.get(entry.id)
        if known is None or known.started_ms != entry.started_ms:
            return None
        return known


def _add_removal(
    known: _Process, removal: models.EntryRemoval, now: float
) -> bool:
    """Adds a removal to what is known of a process; returns if it is newer."""
    newest = known.settled
    if known.removal is not None:
        newest = max(newest, known.removal.at)
    if removal.at <= newest:
        return False
    known.heard_at = now
    known.removal = removal
    known.removal_known_at = now
    return True

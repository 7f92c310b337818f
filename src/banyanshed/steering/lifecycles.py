"""What backend servers say of their own life cycle.

A server that leaves says so in its row, in the headers of its responses, or in
both, and hosts tell each other. All of it is kept here for each process of a
server. Within one process a leaving is never taken back: a later statement to
the contrary was made earlier and came late.
"""

from collections.abc import Iterable, Mapping
import dataclasses

from banyanshed.steering import models

# Earlier processes that are remembered of a server, as rows of theirs may still
# come late.
MAX_FORMER_PROCESSES = 4
# Statements of a server without an entry are kept for this long. Entries lapse
# when servers can't reach the store, and come back.
ABSENT_SERVER_S = 60.0


@dataclasses.dataclass(slots=True)
class _Process:
    """What is known of the newest process of a server.

    Attributes:
        started_ms: Unix time of its start in milliseconds.
        heard_at: When something was last heard of it.
        is_leaving: Whether it leaves.
        former: Starts of earlier processes, oldest first.
    """

    started_ms: int
    heard_at: float
    is_leaving: bool = False
    former: tuple[int, ...] = ()


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
        if known is not None and entry.started_ms in known.former:
            return False
        if known is None or known.started_ms != entry.started_ms:
            former: tuple[int, ...] = ()
            if known is not None:
                former = (*known.former, known.started_ms)
            self.processes[entry.id] = _Process(
                entry.started_ms, now, former=former[-MAX_FORMER_PROCESSES:]
            )
        is_leaving = entry.state is models.ServerState.DRAINING
        self.record(entry, models.Statement(is_leaving), now)
        return True

    def record(
        self,
        entry: models.Registration,
        statement: models.Statement,
        now: float,
    ) -> bool:
        """Records a statement of a server's process, by itself or by a peer.

        Returns:
            Whether it was news.
        """
        known = self._find(entry)
        if known is None:
            return False
        known.heard_at = now
        is_news = statement.is_leaving and not known.is_leaving
        known.is_leaving |= statement.is_leaving
        return is_news

    def is_leaving(self, entry: models.Registration) -> bool:
        """Returns whether a server's process has said that it leaves."""
        known = self._find(entry)
        return known is not None and known.is_leaving

    def report(
        self, entries: Iterable[models.Registration]
    ) -> dict[models.ServerId, models.Statement]:
        """Returns what peers may not know, as the servers' rows don't say it.

        Args:
            entries: The servers' newest entries.
        """
        report = {}
        for entry in entries:
            if entry.state is not models.ServerState.READY:
                continue
            if self.is_leaving(entry):
                report[entry.id] = models.Statement(True)
        return report

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

"""The newest rows of shares and of sessions that one host has read."""

from collections.abc import Callable, Iterable, Iterator
import dataclasses
import math
from typing import Any

from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares


class Snapshot:
    """The newest known version of each row.

    Attributes:
        rows: Rows by key.
    """

    def __init__(self) -> None:
        """Creates a snapshot without rows."""
        self.rows: dict[str, models.TableRow] = {}
        self._shares: dict[shares.LimitKey, tuple[models.TableRow, Any]] = {}

    def get(self, key: str) -> models.TableRow | None:
        """Returns a row, or None if it was not read."""
        return self.rows.get(key)

    def update(self, row: models.TableRow) -> bool:
        """Stores a row that was read; returns False if a newer one is known."""
        known = self.rows.get(row.key)
        if known is not None and known.version > row.version:
            return False
        if known is None or known.version < row.version:
            self.rows[row.key] = row
        return True

    def store_share(self, row: models.TableRow, share: Any) -> None:
        """Stores a share row that this host has written."""
        self.rows[row.key] = row
        self._shares[shares.LimitKey(row.key)] = (row, share)

    def share(self, limit: shares.Limit) -> Any:
        """Returns a limit's share; None if the row is absent or not read.

        The row is parsed once per version.
        """
        row = self.rows.get(limit.key)
        if row is None:
            return None
        parsed = self._shares.get(limit.key)
        if parsed is not None and parsed[0] is row:
            return parsed[1]
        share = shares.parse_share(limit, row.value)
        self._shares[limit.key] = (row, share)
        return share

    def sessions_with_grants(
        self, limits: Iterable[shares.Limit]
    ) -> set[shares.SessionId]:
        """Returns the sessions that have a grant in any of the limits."""
        session_ids = set()
        for limit in limits:
            share = self.share(limit)
            if share is None:
                continue
            for grant in share.grants:
                session_ids.add(grant.session)
        return session_ids

    def ended_sessions(
        self, own: shares.SessionId
    ) -> dict[shares.SessionId, float]:
        """Returns the time by which each closed session had ended.

        Sessions other than `own` whose row is absent are included, with a time
        of minus infinity.
        """
        ended: dict[shares.SessionId, float] = {}
        for name, row in self._session_rows():
            session = sessions.parse_session(row.value)
            if session is None and name != own:
                ended[name] = -math.inf
            elif session is not None and session.closed_s is not None:
                ended[name] = session.closed_s
        return ended

    def closing_writes(
        self,
        own: shares.SessionId,
        holders: set[shares.SessionId],
        view: shares.StoreView,
        may_close: Callable[[shares.SessionId, sessions.Session], bool],
    ) -> Iterator[tuple[models.TableRow, models.Write]]:
        """Yields the writes that close or delete other, ended sessions.

        Absent rows of sessions without grants are dropped from the snapshot.

        Args:
            own: This host's session.
            holders: Sessions that have grants.
            view: Bounds of the store's clock.
            may_close: Returns whether an open session has ended for certain.

        Yields:
            The row as read, and the write that replaces or deletes it.
        """
        for name, row in list(self._session_rows()):
            session = sessions.parse_session(row.value)
            if session is None:
                if name not in holders:
                    del self.rows[row.key]
                continue
            if name == own:
                continue
            if session.closed_s is None:
                if may_close(name, session):
                    closed = dataclasses.replace(
                        session, closed_s=view.latest_s
                    )
                    value = dataclasses.asdict(closed)
                    yield row, models.Write(row.key, value)
                continue
            removed_s = session.closed_s + sessions.CLOSED_SESSION_RETENTION_S
            if name not in holders and view.earliest_s >= removed_s:
                yield row, models.Write(row.key, None)

    def _session_rows(
        self,
    ) -> Iterator[tuple[shares.SessionId, models.TableRow]]:
        prefix = sessions.SESSION_PREFIX
        for key, row in self.rows.items():
            if key.startswith(prefix):
                yield shares.SessionId(key[len(prefix) :]), row

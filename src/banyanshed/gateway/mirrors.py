"""Local copies of the platform's tables."""

import asyncio
import contextlib

from banyanshed.platform import wire

# Limit on deletions kept for peers that read changes from this host.
MAX_DELETED = 1000


class Mirror:
    """This host's copy of a table.

    Attributes:
        table: Name of the table.
        rows: Rows by key.
        version: Version of the store that the rows are known to match.
        changed_version: Version of the newest change that was applied.
        is_known: Whether the table was read at least once.
        follows_store: Whether the store answers this host's calls for the
            table.
        deleted: Versions of deletions by key, oldest first.
        deleted_since: Version after which all deletions are known.
        changed: Event that is set at the next change of the rows or of
            follows_store and is then replaced by a new one.
    """

    def __init__(self, table: str):
        """Starts with no rows."""
        self.table = table
        self.rows: dict[str, wire.Row] = {}
        self.version = 0
        self.changed_version = 0
        self.is_known = False
        self.follows_store = False
        self.deleted: dict[str, int] = {}
        self.deleted_since = 0
        self.changed = asyncio.Event()

    def replace(self, page: wire.Page) -> list[wire.Row]:
        """Replaces all rows; returns changed rows, including deleted ones."""
        if self.is_known and page.version < self.version:
            return []
        new = {row.key: row for row in page.rows if row.value is not None}
        changed = []
        for key in self.rows:
            if key not in new:
                changed.append(wire.Row(key, None, page.version))
        for key, row in new.items():
            known = self.rows.get(key)
            if known is None or known.version != row.version:
                changed.append(row)
        if not self.is_known:
            self.deleted_since = page.version
        self.rows = new
        self.version = page.version
        self.is_known = True
        self._record_changes(changed)
        return changed

    def merge(self, page: wire.Page) -> list[wire.Row]:
        """Applies changes in order; returns those that are new."""
        changed = []
        for row in page.rows:
            known = self.rows.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            changed.append(row)
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self.version = max(self.version, page.version)
        self._record_changes(changed)
        return changed

    def changes_after(self, version: int) -> wire.Page | None:
        """Returns the changes after a version, or None if some are unknown."""
        if not self.is_known or version < self.deleted_since:
            return None
        rows = [row for row in self.rows.values() if row.version > version]
        for key, deleted_at in self.deleted.items():
            if deleted_at > version:
                rows.append(wire.Row(key, None, deleted_at))
        rows.sort(key=lambda row: row.version)
        return wire.Page(tuple(rows), self.version, False)

    async def wait_for_change(self, version: int, wait_s: float) -> None:
        """Waits until there is a change after a version, or for wait_s seconds.

        Returns early when the store no longer answers.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.changed_version <= version and self.follows_store:
                    await self.changed.wait()

    def set_follows_store(self, follows: bool) -> None:
        """Sets whether the store answers and wakes up waiting calls."""
        if follows == self.follows_store:
            return
        self.follows_store = follows
        self._notify_waiters()

    def _record_changes(self, changed: list[wire.Row]) -> None:
        for row in changed:
            self.changed_version = max(self.changed_version, row.version)
            self.deleted.pop(row.key, None)
            if row.value is None:
                self.deleted[row.key] = row.version
        while len(self.deleted) > MAX_DELETED:
            oldest = next(iter(self.deleted))
            self.deleted_since = max(
                self.deleted_since, self.deleted.pop(oldest)
            )
        if changed:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

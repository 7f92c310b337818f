"""Local copies of the platform's tables."""

import asyncio
import contextlib
import dataclasses
import math

from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import restores

# Limit on deletions kept for peers that read changes from this host.
MAX_DELETED = 1000
# Rows that never give way to older or unreadable ones, by table.
LASTING_KEYS = {wire.OPERATOR_TABLE: frozenset({wire.CONFIGURATION_KEY})}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPage(wire.Page):
    """Rows of a table as a peer has them.

    Attributes:
        confirmed: What the peer keeps from before a restore of the store.
        answer_age_s: Seconds since the store last answered the peer's call for
            the table; infinite if that is not known.
    """

    confirmed: tuple[tuple[str, restores.Confirmed], ...] = ()
    answer_age_s: float = math.inf


class Mirror:
    """This host's copy of a table.

    Attributes:
        table: Name of the table.
        rows: The store's rows by key.
        overlay: Rows that count in place of the store's after it was restored
            from an older copy.
        era: Era of the store in which the rows were read.
        version: Version of the store that the rows are known to match.
        changed_version: Version of the newest change that was applied.
        is_known: Whether the table was read at least once.
        follows_store: Whether the store answers this host's calls for the
            table.
        answered_at: When it last answered one, in seconds of the loop's time.
            Peers are told of this alone, as reports that are passed on would
            grow younger with each delay on their way.
        verified_at: When the rows were last known to match the store, by its
            answer to this host or to a peer with no newer rows.
        deleted: Deletions by key, oldest first.
        deleted_since: Version after which all deletions are known.
        changed: Event that is set at the next change of the rows or of
            follows_store and is then replaced by a new one.
    """

    def __init__(self, table: str):
        """Starts with no rows."""
        self.table = table
        self.rows: dict[str, wire.Row] = {}
        self.overlay = restores.Overlay(LASTING_KEYS.get(table, frozenset()))
        self.era = 0
        self.version = 0
        self.changed_version = 0
        self.is_known = False
        self.follows_store = False
        self.answered_at = -math.inf
        self.verified_at = -math.inf
        self.deleted: dict[str, restores.Removal] = {}
        self.deleted_since = 0
        self.changed = asyncio.Event()

    def table_version(self) -> models.TableVersion:
        """Returns the version that the rows are known to match."""
        return models.TableVersion(self.era, self.version)

    def report(self, now: float) -> members.TableReport:
        """Returns what peers are told of this copy."""
        return members.TableReport(
            models.TableVersion(self.era, self.changed_version),
            self.overlay.fingerprint(),
            now - self.answered_at,
        )

    def record_answer(self, now: float) -> None:
        """Records that the store answered this host's call for the table."""
        self.answered_at = now
        self.verified_at = now
        self.set_follows_store(True)

    def verify(self, version: models.TableVersion, answered_at: float) -> None:
        """Records that a peer's copy matched the store.

        Args:
            version: Version of the peer's copy. It says nothing about this
                host's rows if they lack a change that the peer has.
            answered_at: When the store answered the peer.
        """
        if version.era == self.era and version.number <= self.version:
            self.verified_at = max(self.verified_at, answered_at)

    def verify_by_page(self, page: wire.Page, now: float) -> None:
        """Records when the rows of a peer's page matched the store."""
        if isinstance(page, PeerPage):
            version = models.TableVersion(page.era, page.version)
            self.verify(version, now - page.answer_age_s)

    def forget_answers(self) -> None:
        """Takes the rows as outdated until the store has answered again."""
        self.answered_at = -math.inf
        self.verified_at = -math.inf

    def current_rows(self) -> dict[str, wire.Row]:
        """Returns the rows in force by key."""
        rows = dict(self.rows)
        for key, entry in self.overlay.rows.items():
            if entry.is_removed:
                rows.pop(key, None)
            else:
                rows[key] = wire.Row(key, entry.state.value, entry.state.number)
        return rows

    def replace(
        self, page: wire.Page, holds: restores.Holds, now: float
    ) -> list[wire.Row]:
        """Replaces all rows; returns changed rows, including deleted ones.

        A page of an older era, or an older one of the same era, changes
        nothing, except that a peer's confirmed rows are adopted.

        Args:
            page: All rows of the table.
            holds: Until when rows are kept that a restored store lacks.
            now: Current time in seconds.
        """
        if self.is_known and page.era < self.era:
            return []
        before = self.current_rows()
        is_restored = self.is_known and page.era > self.era
        changed_keys: set[str] = set()
        if is_restored or not self.is_known or page.version >= self.version:
            changed_keys = self._replace_rows(page, before, holds, is_restored)
        if isinstance(page, PeerPage):
            self._adopt(page, now)
        changed = self._list_changes(before, changed_keys)
        if changed:
            self._notify_waiters()
        return changed

    def merge(self, page: wire.Page) -> list[wire.Row]:
        """Applies changes in order; returns those that count.

        The page must be of the era of the rows. It may be older than they are,
        if the table was copied from a peer while the call waited.
        """
        changed = []
        known_version = self.version
        for row in page.rows:
            if row.version <= known_version:
                continue
            before = self._current(row.key)
            self._put(row)
            self._review(row.key, before, is_new_write=True)
            after = self._current(row.key)
            if after is None:
                changed.append(wire.Row(row.key, None, row.version))
            elif after != before:
                changed.append(after)
        self.version = max(self.version, page.version)
        if page.rows:
            self._notify_waiters()
        return changed

    def expire(self, now: float) -> list[wire.Row]:
        """Lets rows go that were kept long enough; returns what changed."""
        changed = []
        for key in self.overlay.expire(now):
            row = self.rows.get(key)
            changed.append(row or wire.Row(key, None, self.version))
        return changed

    def changes_after(self, version: int) -> wire.Page | None:
        """Returns the changes after a version, or None if some are unknown."""
        if not self.is_known or version < self.deleted_since:
            return None
        rows = [row for row in self.rows.values() if row.version > version]
        for key, removal in self.deleted.items():
            if removal.number > version:
                rows.append(wire.Row(key, None, removal.number))
        rows.sort(key=lambda row: row.version)
        return wire.Page(tuple(rows), self.version, False, self.era)

    def confirmed_page(self) -> PeerPage:
        """Returns what is kept from before a restore, without other rows."""
        confirmed = tuple(self.overlay.rows.items())
        return PeerPage((), self.version, False, self.era, confirmed)

    def adopt(self, page: PeerPage, now: float) -> list[wire.Row]:
        """Adopts a peer's confirmed rows; returns what changed."""
        if page.era != self.era:
            return []
        before = self.current_rows()
        self._adopt(page, now)
        return self._list_changes(before, set())

    async def wait_for_change(
        self, era: int, version: int, wait_s: float
    ) -> bool:
        """Waits until there is a change after a version, or for wait_s seconds.

        Returns:
            Whether it returned earlier, as there is a change, the store no
            longer answers or was restored.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while (
                    self.era == era
                    and self.changed_version <= version
                    and self.follows_store
                ):
                    await self.changed.wait()
                return True
        return False

    def set_follows_store(self, follows: bool) -> None:
        """Sets whether the store answers and wakes up waiting calls."""
        if follows == self.follows_store:
            return
        self.follows_store = follows
        self._notify_waiters()

    def _replace_rows(
        self,
        page: wire.Page,
        before: dict[str, wire.Row],
        holds: restores.Holds,
        is_restored: bool,
    ) -> set[str]:
        """Replaces the store's rows; returns keys with another version."""
        found = {row.key: row for row in page.rows if row.value is not None}
        earlier = self.rows
        self.rows = found
        if is_restored:
            self._restore(page, before, found, holds)
            return set()
        changed_keys = set()
        for key in earlier.keys() - found.keys():
            self._record_deletion(key, page.version, earlier[key])
            changed_keys.add(key)
        for key, row in found.items():
            known = earlier.get(key)
            if known is not None and known.version == row.version:
                continue
            changed_keys.add(key)
            self.deleted.pop(key, None)
            self.changed_version = max(self.changed_version, row.version)
        for key in changed_keys | self.overlay.rows.keys():
            self._review(key, before.get(key), key in changed_keys)
        if not self.is_known:
            self.deleted_since = page.version
        self.era = page.era
        self.version = page.version
        self.is_known = True
        return changed_keys

    def _restore(
        self,
        page: wire.Page,
        before: dict[str, wire.Row],
        found: dict[str, wire.Row],
        holds: restores.Holds,
    ) -> None:
        """Continues in a new era with the rows of the restored store."""
        self.overlay.restore(
            self.era,
            self._states(before),
            self.deleted,
            self._states(found),
            holds,
        )
        self.era = page.era
        self.version = page.version
        self.changed_version = max(
            (row.version for row in found.values()), default=0
        )
        self.deleted = {}
        self.deleted_since = page.version
        self._notify_waiters()

    def _review(
        self, key: str, before: wire.Row | None, is_new_write: bool
    ) -> None:
        overlay = self.overlay
        if key not in overlay.rows and key not in overlay.lasting:
            return
        found = self._state(self.rows.get(key))
        overlay.review(key, self.era, self._state(before), found, is_new_write)

    def _adopt(self, page: PeerPage, now: float) -> None:
        for key, entry in page.confirmed:
            row = self.rows.get(key)
            removal = self.deleted.get(key)
            number = removal.number if removal is not None else 0
            number = row.version if row is not None else number
            if number > page.version:
                continue
            self.overlay.adopt(
                key,
                entry,
                self._state(self._current(key)),
                self._state(row),
                now,
            )
        self.overlay.merged.add(self.overlay.fingerprint())

    def _put(self, row: wire.Row) -> None:
        self.changed_version = max(self.changed_version, row.version)
        known = self.rows.pop(row.key, None)
        self.deleted.pop(row.key, None)
        if row.value is None:
            self._record_deletion(row.key, row.version, known)
        else:
            self.rows[row.key] = row

    def _record_deletion(
        self, key: str, version: int, last: wire.Row | None
    ) -> None:
        self.changed_version = max(self.changed_version, version)
        self.deleted.pop(key, None)
        self.deleted[key] = restores.Removal(version, self._state(last))
        while len(self.deleted) > MAX_DELETED:
            oldest = next(iter(self.deleted))
            self.deleted_since = max(
                self.deleted_since, self.deleted.pop(oldest).number
            )

    def _list_changes(
        self, before: dict[str, wire.Row], changed_keys: set[str]
    ) -> list[wire.Row]:
        """Returns the rows in force that differ from those before."""
        after = self.current_rows()
        changed = []
        for key in before.keys() - after.keys():
            changed.append(wire.Row(key, None, self.version))
        for key, row in after.items():
            known = before.get(key)
            if known == row:
                continue
            is_rewritten = known is not None and known.value == row.value
            if is_rewritten and key not in changed_keys:
                continue
            changed.append(row)
        return changed

    def _current(self, key: str) -> wire.Row | None:
        entry = self.overlay.rows.get(key)
        if entry is None:
            return self.rows.get(key)
        if entry.is_removed:
            return None
        return wire.Row(key, entry.state.value, entry.state.number)

    def _states(
        self, rows: dict[str, wire.Row]
    ) -> dict[str, restores.RowState]:
        states = {}
        for key, row in rows.items():
            state = self._state(row)
            if state is not None:
                states[key] = state
        return states

    def _state(self, row: wire.Row | None) -> restores.RowState | None:
        if row is None or row.value is None:
            return None
        order = wire.decode_order(self.table, row.key, row.value)
        return restores.RowState(row.value, row.version, order)

    def _notify_waiters(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

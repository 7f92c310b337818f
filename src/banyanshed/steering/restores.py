"""What counts after the store continued from an older copy of its rows.

The store numbers its transactions. When it is restored from a copy, it loses
what was written since, and gives the same numbers out again: its era rises,
and numbers of different eras can't be compared. What was confirmed before stays
in force until its writer has written it again:

- A configuration gives way to one of the same or a higher version only.
- A backend server's entry gives way to one that the server wrote later, which
  its start and its sequence number tell. An entry that the copy lacks is kept
  for the time in which servers register again, and one that had been removed is
  ignored for the time after which the store itself drops a silent server.
- An evacuation that the copy lacks is kept, and one that had been taken back is
  ignored, until the operator writes the row again.
"""

from collections.abc import Mapping
import dataclasses
import math

import xxhash

from banyanshed.steering import models

# Time after which an operator who has not repeated an evacuation, or its end,
# is taken to want what the store says.
EVACUATION_HOLD_S = 30.0
# Limit on the removals that are remembered across restores.
MAX_REMOVALS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RowState:
    """What decides whether a row is older than another one of its key.

    Attributes:
        value: Value of the row.
        number: Number of the transaction that wrote it.
        order: The writer's own numbering of what it wrote; None if it has none
            or can't be read.
    """

    value: bytes
    number: int
    order: models.WriterOrder | None


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """A row, or its removal, that was confirmed before a restore.

    Attributes:
        state: The row, or what it was before its removal.
        is_removed: Whether the row had been removed.
        written_at: Era and number of the confirmed transaction.
        held_until: Until when it counts, unless it is written again.
    """

    state: RowState
    is_removed: bool
    written_at: models.TableVersion
    held_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A removal that a host has seen.

    Attributes:
        number: Number of the transaction that removed the row.
        last: The row before; None if it is not known.
    """

    number: int
    last: RowState | None


@dataclasses.dataclass(frozen=True, slots=True)
class Holds:
    """Until when the rows of a table count without being written again.

    Attributes:
        missing_until: The limit for rows that the restored store lacks.
        removed_until: The limit for removals of rows that it has again.
    """

    missing_until: float
    removed_until: float


class Overlay:
    """The confirmed rows of one table that its store doesn't have (again).

    Times are in seconds of one monotonic clock, which callers pass.

    Attributes:
        lasting: Keys of rows that never give way to older or unreadable ones.
        rows: The confirmed rows and removals by key.
        removals: Removals before the last restore, by key, oldest first.
        merged: Fingerprints of overlays that were merged into this one.
    """

    def __init__(self, lasting: frozenset[str]):
        """Starts without confirmed rows."""
        self.lasting = lasting
        self.rows: dict[str, Confirmed] = {}
        self.removals: dict[str, Confirmed] = {}
        self.merged: set[int] = {0}

    def restore(
        self,
        era: int,
        known: Mapping[str, RowState],
        removals: Mapping[str, Removal],
        found: Mapping[str, RowState],
        holds: Holds,
    ) -> None:
        """Keeps what a restored store lacks of the rows known before.

        Args:
            era: Era in which the rows were known.
            known: The rows in force before, by key.
            removals: Removals seen in that era, by key.
            found: The rows of the restored store, by key.
            holds: Until when the confirmed rows count.
        """
        earlier = self.rows
        self.rows = {}
        for key, state in known.items():
            at = models.TableVersion(era, state.number)
            if key in earlier:
                at = earlier[key].written_at
            if key not in found:
                until = holds.missing_until
                if key in self.lasting:
                    until = math.inf
                self.rows[key] = Confirmed(state, False, at, until)
            elif _is_outdated(found[key], state):
                self.rows[key] = Confirmed(state, False, at, math.inf)
        self._remember_removals(era, removals, earlier)
        for key, removal in self.removals.items():
            if key in known or key not in found:
                continue
            if not _is_from_before(found[key], removal.state):
                continue
            self.rows[key] = dataclasses.replace(
                removal, held_until=holds.removed_until
            )
        self.merged = {0, self.fingerprint()}

    def review(
        self,
        key: str,
        era: int,
        known: RowState | None,
        found: RowState | None,
        is_new_write: bool,
    ) -> None:
        """Drops a confirmed row once the store's row takes its place.

        Args:
            key: Key of a row that may have changed in the store.
            era: Era of the store.
            known: The row in force so far; None if there is none.
            found: The row in the store now; None if there is none.
            is_new_write: Whether it changed after this host's first read in
                the era, so that it can't be from the copy.
        """
        entry = self.rows.get(key)
        if key in self.lasting and known is not None:
            if found is not None and not _is_outdated(found, known):
                self.rows.pop(key, None)
            elif entry is None:
                at = models.TableVersion(era, known.number)
                self.rows[key] = Confirmed(known, False, at, math.inf)
            return
        if entry is None:
            return
        if found is None:
            if is_new_write or entry.is_removed:
                del self.rows[key]
            return
        if not entry.is_removed:
            if not _is_outdated(found, entry.state):
                del self.rows[key]
            return
        is_unordered_write = is_new_write and found.order is None
        if is_unordered_write or not _is_from_before(found, entry.state):
            del self.rows[key]

    def adopt(
        self,
        key: str,
        entry: Confirmed,
        known: RowState | None,
        found: RowState | None,
        now: float,
    ) -> None:
        """Adopts a confirmed row of a peer that is in the same era.

        Args:
            key: Key of the row.
            entry: What the peer holds.
            known: The row in force here; None if there is none.
            found: The store's row, as known here; None if there is none.
            now: Current time in seconds.
        """
        own = self.rows.get(key)
        if own is not None and own.written_at >= entry.written_at:
            return
        removal = self.removals.get(key)
        if removal is not None and removal.written_at >= entry.written_at:
            return
        if entry.held_until <= now:
            return
        if entry.is_removed:
            if found is None or not _is_from_before(found, entry.state):
                return
        elif found is not None and not _is_outdated(found, entry.state):
            return
        if known is not None and _is_outdated(entry.state, known):
            return
        self.rows[key] = entry

    def expire(self, now: float) -> list[str]:
        """Drops rows that were held long enough; returns their keys."""
        expired = [
            key for key, entry in self.rows.items() if entry.held_until <= now
        ]
        if not expired:
            return []
        for key in expired:
            del self.rows[key]
        self.merged.add(self.fingerprint())
        return expired

    def _remember_removals(
        self,
        era: int,
        removals: Mapping[str, Removal],
        earlier: Mapping[str, Confirmed],
    ) -> None:
        for key, entry in earlier.items():
            if entry.is_removed:
                self.removals[key] = entry
        for key, removal in removals.items():
            if removal.last is None:
                continue
            at = models.TableVersion(era, removal.number)
            self.removals.pop(key, None)
            self.removals[key] = Confirmed(removal.last, True, at, 0.0)
        while len(self.removals) > MAX_REMOVALS:
            del self.removals[next(iter(self.removals))]

    def fingerprint(self) -> int:
        """Returns a hash of the confirmed rows; 0 if there are none."""
        if not self.rows:
            return 0
        text = ",".join(
            f"{key}:{entry.written_at.era}.{entry.written_at.number}"
            for key, entry in sorted(self.rows.items())
        )
        return xxhash.xxh32_intdigest(text.encode()) or 1


def _is_outdated(found: RowState, confirmed: RowState) -> bool:
    """Returns whether a row of the store is older than a confirmed one."""
    if confirmed.order is None:
        return False
    return found.order is None or found.order < confirmed.order


def _is_from_before(found: RowState, last: RowState) -> bool:
    """Returns whether a row of the store is one that was removed already.

    Args:
        found: The row in the store.
        last: The row as it was before its removal.
    """
    if found.order is not None and last.order is not None:
        return found.order <= last.order
    return found.number == last.number and found.value == last.value

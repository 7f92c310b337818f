"""In-memory table service for tests and benchmarks of the core."""

from collections.abc import Sequence

from banyanshed import exceptions
from banyanshed.core import models


class MemoryTable:
    """Table service without transport, whose clock the test sets.

    Attributes:
        now_s: Clock of the service, in seconds.
        commit: Version of the last commit.
        rows: All rows ever written, by key; deleted rows have no value.
        reads: Number of reads.
        commits: Number of committed transactions.
        conflicts: Number of transactions whose conditions failed.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.now_s = 1e9
        self.commit = 0
        self.rows: dict[str, models.TableRow] = {}
        self.reads = 0
        self.commits = 0
        self.conflicts = 0

    def _row(self, key: str) -> models.TableRow:
        """Returns a row; an absent row has ABSENT_VERSION and no value."""
        row = self.rows.get(key)
        if row is None:
            return models.TableRow(key, models.ABSENT_VERSION, None)
        return row

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys."""
        self.reads += 1
        rows = tuple(self._row(key) for key in keys)
        return models.TablePage(rows, self.commit, self.now_s)

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction.

        Raises:
            exceptions.ConditionFailed: Rows did not meet their conditions.
        """
        refused = []
        for condition in transaction.conditions:
            row = self._row(condition.key)
            if condition.version == models.ABSENT_VERSION:
                if row.value is not None:
                    refused.append(row)
                continue
            if row.version != condition.version:
                refused.append(row)
        if refused:
            self.conflicts += 1
            raise exceptions.ConditionFailed(refused)
        self.commit += 1
        self.commits += 1
        for write in transaction.writes:
            row = models.TableRow(write.key, self.commit, write.value)
            self.rows[write.key] = row
        return models.Commit(self.commit, self.now_s)

"""Group commit: merges concurrent transactions into one, without timers.

While the maximum number of commits is in progress, further transactions wait;
then one of the waiting threads, the leader, commits a group of them together.
Below that number a transaction is committed at once.
"""

import collections
from collections.abc import Sequence
import threading

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.core import services

MAX_GROUP_TRANSACTIONS = 64
MAX_CONCURRENT_COMMITS = 4


class _PendingTransaction:
    """A transaction that waits until it is finished or leads a group."""

    def __init__(self, transaction: models.Transaction):
        self.transaction = transaction
        self.keys = _keys(transaction)
        self.ready = threading.Event()
        self.group: list[_PendingTransaction] = []
        self.commit: models.Commit | None = None
        self.error: Exception | None = None

    def finish(
        self, commit: models.Commit | None, error: Exception | None
    ) -> None:
        self.commit = commit
        self.error = error
        self.ready.set()


class GroupCommit:
    """A `services.Table` that groups the transactions of many threads.

    Transactions of a group fail separately: those whose conditions fail are
    removed and the others are committed again. Any other error of the service
    fails all transactions of the group. Transactions that share a row go into
    different groups; the order of the groups is not specified.

    Attributes:
        max_concurrent_commits: Maximum number of commits in progress.
    """

    def __init__(
        self,
        table: services.Table,
        max_concurrent_commits: int = MAX_CONCURRENT_COMMITS,
    ):
        """Wraps the table service."""
        self.table = table
        self.max_concurrent_commits = max_concurrent_commits
        self.lock = threading.Lock()
        self.waiting: collections.deque[_PendingTransaction] = (
            collections.deque()
        )
        self.commits_in_progress = 0

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent ones have no value."""
        return self.table.read(keys)

    def scan(self, prefix: str, since: int) -> models.TablePage:
        """Returns rows below a prefix written after commit `since`."""
        return self.table.scan(prefix, since)

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction; may raise ConditionFailed."""
        pending = _PendingTransaction(transaction)
        with self.lock:
            self.waiting.append(pending)
            if self.commits_in_progress < self.max_concurrent_commits:
                self.commits_in_progress += 1
                self._start_next_group()
        pending.ready.wait()
        if pending.group:
            self._lead_group(pending.group)
        if pending.error is not None:
            raise pending.error
        assert pending.commit is not None
        return pending.commit

    def _lead_group(self, group: list[_PendingTransaction]) -> None:
        try:
            self._commit(group)
        finally:
            with self.lock:
                self._start_next_group()

    def _start_next_group(self) -> None:
        """Wakes the first waiting thread as leader; needs the lock held."""
        if not self.waiting:
            self.commits_in_progress -= 1
            return
        leader = self.waiting[0]
        leader.group = self._take_group()
        leader.ready.set()

    def _take_group(self) -> list[_PendingTransaction]:
        group_keys: set[str] = set()
        group: list[_PendingTransaction] = []
        remaining: collections.deque[_PendingTransaction] = collections.deque()
        for pending in self.waiting:
            full = len(group) == MAX_GROUP_TRANSACTIONS
            if full or group_keys & pending.keys:
                remaining.append(pending)
                continue
            group.append(pending)
            group_keys |= pending.keys
        self.waiting = remaining
        return group

    def _commit(self, group: list[_PendingTransaction]) -> None:
        while group:
            try:
                commit = self.table.transact(_merge_group(group))
            except exceptions.ConditionFailed as failure:
                group = _fail_refused(group, failure)
                continue
            except Exception as error:  # No waiting thread may hang.
                for pending in group:
                    pending.finish(None, _copy_error(error))
                return
            for pending in group:
                pending.finish(commit, None)
            return


def _keys(transaction: models.Transaction) -> set[str]:
    keys = {condition.key for condition in transaction.conditions}
    return keys | {write.key for write in transaction.writes}


def _merge_group(group: Sequence[_PendingTransaction]) -> models.Transaction:
    conditions: list[models.Condition] = []
    writes: list[models.Write] = []
    for pending in group:
        conditions.extend(pending.transaction.conditions)
        writes.extend(pending.transaction.writes)
    return models.Transaction(tuple(conditions), tuple(writes))


def _fail_refused(
    group: Sequence[_PendingTransaction], failure: exceptions.ConditionFailed
) -> list[_PendingTransaction]:
    """Fails the transactions whose conditions failed; returns the others."""
    remaining = []
    for pending in group:
        rows = [row for row in failure.rows if row.key in pending.keys]
        if rows:
            pending.finish(None, exceptions.ConditionFailed(rows))
        else:
            remaining.append(pending)
    if len(remaining) < len(group):
        return remaining
    # The service reported no row of the group, so that the transactions whose
    # conditions failed can not be told from the others.
    for pending in remaining:
        pending.finish(None, exceptions.StoreTimeout("refused without rows"))
    return []


def _copy_error(error: Exception) -> Exception:
    """Returns a copy, as threads must not raise the same exception object."""
    return type(error)(*error.args)

"""Group commit: many small transactions as one, without added timers.

While enough commits are under way, further transactions wait; then one of the
waiting threads commits all of them together. Few transactions never wait.
"""

import collections
from collections.abc import Sequence
import threading

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.core import services

GROUP_TRANSACTIONS = 64
COMMITS_AT_ONCE = 4


class _Member:
    """A transaction that waits until it is done or leads a group."""

    def __init__(self, transaction: models.Transaction):
        self.transaction = transaction
        self.keys = _keys(transaction)
        self.wake = threading.Event()
        self.group: list[_Member] = []
        self.commit: models.Commit | None = None
        self.error: Exception | None = None

    def end(
        self, commit: models.Commit | None, error: Exception | None
    ) -> None:
        self.commit = commit
        self.error = error
        self.wake.set()


class GroupCommit:
    """A `services.Table` that groups the transactions of many threads.

    Transactions in a group are refused one by one: those whose conditions
    fail are left out and the others are committed again. An error of the
    service meets all transactions of a group. Transactions that share a row
    go into different groups, whose order is open.

    Attributes:
        commits_at_once: Most commits under way.
    """

    def __init__(
        self, table: services.Table, commits_at_once: int = COMMITS_AT_ONCE
    ):
        """Takes the table service."""
        self.table = table
        self.commits_at_once = commits_at_once
        self.lock = threading.Lock()
        self.waiting: collections.deque[_Member] = collections.deque()
        self.committing = 0

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent ones have no value."""
        return self.table.read(keys)

    def scan(self, prefix: str, since: int) -> models.TablePage:
        """Returns rows below a prefix written after commit `since`."""
        return self.table.scan(prefix, since)

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction; raises ConditionFailed when refused."""
        member = _Member(transaction)
        with self.lock:
            self.waiting.append(member)
            if self.committing < self.commits_at_once:
                self.committing += 1
                self._promote()
        member.wake.wait()
        if member.group:
            self._lead(member.group)
        if member.error is not None:
            raise member.error
        assert member.commit is not None
        return member.commit

    def _lead(self, group: list[_Member]) -> None:
        try:
            self._commit(group)
        finally:
            with self.lock:
                self._promote()

    def _promote(self) -> None:
        """Lets the first that waits lead a group; called with the lock."""
        if not self.waiting:
            self.committing -= 1
            return
        leader = self.waiting[0]
        leader.group = self._take_group()
        leader.wake.set()

    def _take_group(self) -> list[_Member]:
        taken: set[str] = set()
        group: list[_Member] = []
        left: collections.deque[_Member] = collections.deque()
        for member in self.waiting:
            full = len(group) == GROUP_TRANSACTIONS
            if full or taken & member.keys:
                left.append(member)
                continue
            group.append(member)
            taken |= member.keys
        self.waiting = left
        return group

    def _commit(self, group: list[_Member]) -> None:
        while group:
            try:
                commit = self.table.transact(_merge(group))
            except exceptions.ConditionFailed as failure:
                group = _refuse(group, failure)
                continue
            except Exception as error:  # Every waiting thread must wake.
                for member in group:
                    member.end(None, _copy(error))
                return
            for member in group:
                member.end(commit, None)
            return


def _keys(transaction: models.Transaction) -> set[str]:
    keys = {condition.key for condition in transaction.conditions}
    return keys | {write.key for write in transaction.writes}


def _merge(group: Sequence[_Member]) -> models.Transaction:
    conditions: list[models.Condition] = []
    writes: list[models.Write] = []
    for member in group:
        conditions.extend(member.transaction.conditions)
        writes.extend(member.transaction.writes)
    return models.Transaction(tuple(conditions), tuple(writes))


def _refuse(
    group: Sequence[_Member], failure: exceptions.ConditionFailed
) -> list[_Member]:
    """Ends the transactions whose conditions failed; returns the others."""
    left = []
    for member in group:
        rows = [row for row in failure.rows if row.key in member.keys]
        if rows:
            member.end(None, exceptions.ConditionFailed(rows))
        else:
            left.append(member)
    if len(left) < len(group):
        return left
    # The service named no row of the group: nothing can be told apart.
    for member in left:
        member.end(None, exceptions.StoreTimeout("refused without rows"))
    return []


def _copy(error: Exception) -> Exception:
    """Returns an error of its own for each thread that raises it."""
    return type(error)(*error.args)

import threading

import pytest

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.edges import commits
from tests import fakes


class BlockingTable(fakes.FaultyMemoryTable):
    """Blocks its first transaction until `unblock` is set."""

    def __init__(self):
        super().__init__()
        self.blocked = threading.Event()
        self.unblock = threading.Event()

    def transact(self, transaction):
        if not self.blocked.is_set():
            self.blocked.set()
            self.unblock.wait()
        return super().transact(transaction)


def write(key, version=0):
    return models.Transaction(
        (models.Condition(key, version),), (models.Write(key, {"n": 1}),)
    )


def run_together(table, transactions):
    """Runs one transaction while the others queue behind it in order."""
    grouped = commits.GroupCommit(table, max_concurrent_commits=1)
    results = [None] * (len(transactions) + 1)

    def run(index, transaction):
        try:
            results[index] = grouped.transact(transaction)
        except exceptions.PlatformError as error:
            results[index] = error

    threads = [threading.Thread(target=run, args=(0, write("first")))]
    threads[0].start()
    table.blocked.wait()
    for index, transaction in enumerate(transactions, start=1):
        threads.append(threading.Thread(target=run, args=(index, transaction)))
        threads[-1].start()
        while len(grouped.waiting) < index:
            continue
    table.unblock.set()
    for thread in threads:
        thread.join()
    assert not grouped.commits_in_progress
    return results


def test_waiting_transactions_commit_as_one():
    table = BlockingTable()
    results = run_together(table, [write(f"k{n}") for n in range(10)])
    assert table.transactions == 2
    assert len({result.version for result in results}) == 2


def test_groups_are_bounded(monkeypatch):
    monkeypatch.setattr(commits, "MAX_GROUP_TRANSACTIONS", 4)
    table = BlockingTable()
    run_together(table, [write(f"k{n}") for n in range(10)])
    assert table.transactions == 4


def test_refused_transactions_leave_the_others_alone():
    table = BlockingTable()
    table.platform.rows["k1"] = (7, {"n": 0})
    results = run_together(table, [write("k0"), write("k1"), write("k2")])
    assert isinstance(results[2], exceptions.ConditionFailed)
    assert results[2].rows == (models.TableRow("k1", 7, {"n": 0}),)
    assert results[1].version == results[3].version
    assert table.transactions == 3


def test_transactions_of_one_row_stay_apart():
    table = BlockingTable()
    results = run_together(table, [write("k"), write("k"), write("other")])
    assert table.transactions == 3
    assert results[1].version == results[3].version
    assert isinstance(results[2], exceptions.ConditionFailed)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ("down", exceptions.StoreUnavailable),
        ("lost", exceptions.StoreTimeout),
    ],
)
def test_an_error_fails_every_transaction_of_the_group(fault, error):
    table = BlockingTable()
    table.faults = ["ok", fault]
    results = run_together(table, [write("k0"), write("k1")])
    assert [type(result) for result in results[1:]] == [error, error]
    assert results[1] is not results[2]
    assert table.transact(write("k2"))


def test_few_transactions_do_not_wait():
    table = BlockingTable()
    grouped = commits.GroupCommit(table, max_concurrent_commits=2)
    held = threading.Thread(target=grouped.transact, args=(write("held"),))
    held.start()
    table.blocked.wait()
    assert grouped.transact(write("other")).version == 1
    table.unblock.set()
    held.join()
    assert grouped.commits_in_progress == 0

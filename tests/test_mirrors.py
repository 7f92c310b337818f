"""Tests of the copy of rows that scans keep up to date."""

import hypothesis
from hypothesis import strategies
import pytest

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.edges import mirrors
from tests import fakes

KEYS = ("share/a", "share/b", "session/x", "session/y")
PREFIXES = ("share/", "session/")

steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sets(strategies.sampled_from(KEYS), min_size=1),
            strategies.one_of(strategies.none(), strategies.integers(0, 9)),
        ),
        strategies.sampled_from(["read", "fail first", "fail second"]),
    ),
    max_size=30,
)


class CountingTable:
    """Counts the rows that scans return, and fails at a chosen scan."""

    def __init__(self):
        self.table = fakes.FaultyMemoryTable()
        self.returned_rows = 0
        self.scans_until_failure = 0

    def write(self, keys, number):
        value = None if number is None else {"number": number}
        writes = tuple(models.Write(key, value) for key in sorted(keys))
        self.table.transact(models.Transaction((), writes))

    def scan(self, prefix, since):
        self.scans_until_failure -= 1
        if self.scans_until_failure == 0:
            raise exceptions.StoreUnavailable
        page = self.table.scan(prefix, since)
        self.returned_rows += len(page.rows)
        return page


@hypothesis.given(steps)
def test_reads_are_those_of_the_table(played):
    table = CountingTable()
    mirror = mirrors.TableMirror(table, PREFIXES)
    for step in [*played, "read"]:
        if isinstance(step, tuple):
            table.write(*step)
            continue
        if step != "read":
            table.scans_until_failure = 1 if step == "fail first" else 2
            with pytest.raises(exceptions.StoreUnavailable):
                mirror.read(KEYS)
            continue
        page = mirror.read(KEYS)
        expected = table.table.read(KEYS)
        assert (page.rows, page.version) == (expected.rows, expected.version)


def test_unchanged_rows_are_not_returned_again():
    table = CountingTable()
    mirror = mirrors.TableMirror(table, PREFIXES)
    table.write(KEYS, 1)
    mirror.read(KEYS)
    assert table.returned_rows == len(KEYS)
    mirror.read(KEYS)
    assert table.returned_rows == len(KEYS)
    table.write({"share/b"}, 2)
    mirror.read(KEYS[:1])
    assert table.returned_rows == len(KEYS) + 1
    assert mirror.read(KEYS).rows[1].value == {"number": 2}


def test_sessions_are_no_older_than_the_shares_that_name_them():
    table = CountingTable()
    mirror = mirrors.TableMirror(table, PREFIXES)
    scan = table.scan

    def write_between(prefix, since):
        if prefix == "session/":
            table.write({"share/a", "session/x"}, 1)
        return scan(prefix, since)

    table.scan = write_between
    share, session = mirror.read(("share/a", "session/x")).rows
    assert share.value is None
    assert session.value == {"number": 1}
    table.scan = scan
    assert mirror.read(("share/a",)).rows[0].value == {"number": 1}

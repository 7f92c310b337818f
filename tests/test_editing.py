import hypothesis
from hypothesis import strategies as st
import pytest

from banyanshed import exceptions
from banyanshed.core import configuration as configurations
from banyanshed.core import edits
from banyanshed.core import rows
from banyanshed.edges import editing
from tests import fakes
from tests import faulty_table

FAULTS = st.lists(
    st.sampled_from(["none", "down", "lost", "late", "silent"]), max_size=10
)


class MemoryOwner:
    """Owner of an in-memory configuration."""

    def __init__(self):
        self.configuration = configurations.Configuration()

    def inspect(self, function):
        return function(self.configuration)

    def apply(self, delta):
        self.configuration.apply(delta)


def tenant(name="club", rate=1.0):
    return rows.TenantRow(tenant=name, rate=rate, burst=1)


def editor(table):
    return editing.Editor(table, MemoryOwner(), lambda delay_s: None)


def commit(table, row, version=0, operator="duty"):
    edit = edits.Edit(rows.row_key(row), row, "row")
    return editor(table).commit([edit], {edit.key: version}, operator)


def changes(table):
    head = fakes.parse_page(table.state.read([rows.HEAD_KEY])).rows[0]
    return edits.recent_changes(head)


@pytest.mark.invariant("config")
@hypothesis.given(FAULTS, st.booleans())
def test_reported_outcome_matches_what_took_effect(faults, concurrent_edit):
    table = faulty_table.FaultyTable()
    version = commit(table, tenant(rate=1))
    table.faults = list(faults)
    if concurrent_edit:
        # Another operator writes just before the second attempt.
        def write():
            saved, table.faults = table.faults, []
            commit(table, tenant(rate=7), version)
            table.faults = saved

        table.before_transact = [lambda: None, lambda: _ignore(write)]
    try:
        outcome = commit(table, tenant(rate=2), version)
    except exceptions.BanyanshedError as error:
        outcome = error
    table.faults = []
    table.before_transact = []
    table.apply_delayed()
    rate = table.value(tenant())["rate"]
    if isinstance(outcome, int):
        # The concurrent edit is conditional on the old version, so that it can
        # not have replaced this one.
        assert rate == 2
        assert outcome > version
    elif isinstance(outcome, editing.LostRace):
        assert rate == outcome.rows[0].value["rate"] == 7
        assert outcome.edits[0].row == tenant(rate=2)
    elif isinstance(outcome, exceptions.StoreUnavailable):
        assert rate == 1
    else:
        assert isinstance(outcome, exceptions.StoreTimeout)
        assert set(faults) & {"lost", "late", "silent"}
    # No change is applied twice, whatever was retried.
    assert len(changes(table)) == len(set(changes(table)))


def _ignore(action):
    try:
        action()
    except exceptions.BanyanshedError:
        return


@pytest.mark.invariant("config")
def test_two_operators_on_one_row_see_both_values():
    table = faulty_table.FaultyTable()
    version = commit(table, tenant(rate=1))
    commit(table, tenant(rate=2), version)
    with pytest.raises(editing.LostRace) as caught:
        commit(table, tenant(rate=3), version)
    assert caught.value.rows[0].value["rate"] == 2
    assert caught.value.edits[0].row.rate == 3
    with pytest.raises(editing.LostRace):
        commit(table, tenant(rate=4))


@pytest.mark.invariant("config")
def test_edits_of_other_rows_at_once_both_take_effect():
    table = faulty_table.FaultyTable()
    table.before_transact = [lambda: commit(table, tenant("other"))]
    commit(table, tenant())
    assert table.value(tenant())
    assert table.value(tenant("other"))


@pytest.mark.invariant("config")
def test_an_edit_is_checked_against_rows_that_the_host_lacks():
    table = faulty_table.FaultyTable()
    key = rows.KeyRow(digest="a" * 64, tenant="club")
    with pytest.raises(exceptions.InvalidInput):
        commit(table, key)
    assert changes(table) == []
    # The tenant is deleted between the check and the write.
    version = commit(table, tenant())
    delete = [edits.Edit(rows.row_key(tenant()), None, "row")]
    table.before_transact = [
        lambda: editor(table).commit(delete, {delete[0].key: version}, "rival")
    ]
    with pytest.raises(exceptions.InvalidInput):
        commit(table, key)
    assert table.value(key) is None


def test_a_failed_read_says_that_nothing_was_written():
    table = faulty_table.FaultyTable()
    table.failing_reads = 1
    with pytest.raises(exceptions.StoreUnavailable):
        commit(table, tenant())


def test_an_in_doubt_write_that_reads_can_not_resolve_is_reported():
    table = faulty_table.FaultyTable(["lost"])
    table.before_transact = [lambda: setattr(table, "failing_reads", 99)]
    with pytest.raises(exceptions.StoreTimeout):
        commit(table, tenant())
    assert table.value(tenant())

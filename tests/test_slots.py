import collections

import hypothesis
from hypothesis import strategies as st

from banyanshed.core import shares
from banyanshed.core import slots
from standins import memory
from tests import test_leases

SLOTS = st.dictionaries(
    st.sampled_from("abcdef"), st.integers(1, 9), min_size=1
)
UNITS = st.dictionaries(st.sampled_from("ABCDEFGH"), st.integers(0, 12))


def slots_by_host(counts, units):
    return {host: slots.own_slots(host, counts, units) for host in units}


@hypothesis.given(SLOTS, UNITS)
def test_each_slot_has_at_most_one_host_and_each_unit_a_slot(counts, units):
    owned = slots_by_host(counts, units)
    per_backend = collections.Counter()
    for host, own in owned.items():
        per_backend.update(own)
        assert sum(own.values()) <= units[host]
    assert all(per_backend[name] <= counts[name] for name in counts)
    total = sum(per_backend.values())
    assert total == min(sum(units.values()), sum(counts.values()))


def test_fewer_units_than_slots_use_all_backend_servers_evenly():
    counts = {"a": 4, "b": 4, "c": 8}
    per_backend = collections.Counter()
    for own in slots_by_host(counts, {"A": 3, "B": 5}).values():
        per_backend.update(own)
    assert per_backend == {"a": 2, "b": 2, "c": 4}


def test_moving_a_unit_reassigns_few_slots():
    counts = {f"b{number}": 4 + number % 6 for number in range(14)}
    units = {f"h{number}": 3 for number in range(25)}
    before = slots_by_host(counts, units)
    units["h3"] -= 1
    units["h7"] += 1
    after = slots_by_host(counts, units)
    moved = 0
    for host in units:
        lost = collections.Counter(before[host])
        lost.subtract(after[host])
        moved += sum(count for count in lost.values() if count > 0)
    assert 1 <= moved <= 6


def test_hosts_read_the_same_units_from_the_grants():
    table = memory.MemoryTable()
    holders = [test_leases.make_holder(name) for name in "AB"]
    test_leases.run(holders, table, 0.0, 30.0)
    key = shares.placement_key(test_leases.BOOKINGS, test_leases.SASK)
    expected = {
        grant["session"].split("/")[0]: grant["units"]
        for grant in table.rows[key].value["grants"]
    }
    assert expected.keys() == {"A", "B"}
    for holder in holders:
        watch = slots.UnitGrantWatcher()
        (changed,) = watch.changes(holder)
        assert (changed.service, changed.region) == ("bookings", "sask")
        assert changed.units == expected
        assert not list(watch.changes(holder))

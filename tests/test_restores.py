"""Mirrors of hosts that missed, or were cut off during, a restore."""

import math

import msgspec
import pytest

from banyanshed.gateway import mirrors
from banyanshed.gateway import peer_messages
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import restores

HOLDS = restores.Holds(102.0, 106.0)


def config_row(version, number):
    value = msgspec.json.encode(
        {"version": f"r{version}", "routes": [], "backends": []}
    )
    return wire.Row("config", value, number)


def server_row(id_, number, seq, state="ready", born=1000):
    value = {
        "addr": "10.0.0.1:80",
        "info": {"backend": "s", "zone": "a1", "slots": 4},
        "status": {"state": state, "seq": seq},
        "born": born,
    }
    return wire.Row(id_, msgspec.json.encode(value), number)


def evacuation(zone, number):
    return wire.Row(f"evacuate/{zone}", b"{}", number)


def make_mirror(table, *rows, era=1, version=10):
    mirror = mirrors.Mirror(table)
    mirror.replace(wire.Page(rows, version, False, era), HOLDS, 100.0)
    return mirror


def read(mirror, *rows, era=2, version=10):
    page = wire.Page(rows, version, False, era)
    return mirror.replace(page, HOLDS, 100.0)


def change(mirror, *rows):
    page = wire.Page(rows, rows[-1].version, False, mirror.era)
    return mirror.merge(page)


def adopt(receiver, sender, now=100.0):
    """Passes what one host keeps to another, as it is encoded."""
    data = peer_messages.encode_page(sender.confirmed_page(), now)
    page = peer_messages.decode_table(data, sender.table, now)
    return receiver.adopt(page, now)


def copy(receiver, sender, now=100.0):
    data = peer_messages.encode_table(sender, now)
    page = peer_messages.decode_table(data, sender.table, now)
    return receiver.replace(page, HOLDS, now)


def in_force(mirror):
    return {key: row.value for key, row in mirror.current_rows().items()}


def test_pages_of_an_earlier_era_change_nothing():
    mirror = make_mirror("op", config_row(5, 8), era=3)
    assert read(mirror, config_row(9, 99), era=2, version=99) == []
    assert mirror.table_version() == models.TableVersion(3, 10)


def test_a_host_cut_off_across_two_restores_takes_the_newest_state():
    mirror = make_mirror("servers", server_row("i1", 4, 1))
    rows = [server_row("i1", 7, 3, "draining"), server_row("i2", 8, 1)]
    changed = read(mirror, *rows, era=3, version=9)
    assert {row.key for row in changed} == {"i1", "i2"}
    assert mirror.overlay.rows == {}


def test_a_restart_under_the_same_id_counts_after_a_restore():
    mirror = make_mirror("servers", server_row("i1", 4, 90, "draining"))
    restarted = server_row("i1", 3, 0, "ready", born=2000)
    assert [row.key for row in read(mirror, restarted)] == ["i1"]


@pytest.mark.parametrize("is_copied", [False, True])
def test_a_late_host_learns_all_that_its_peer_keeps(is_copied):
    rows = [server_row("i1", 2, 1), server_row("i2", 3, 1)]
    peer = make_mirror("servers", *rows)
    change(peer, server_row("i2", 11, 5, "draining"))
    change(peer, wire.Row("i1", None, 12))
    change(peer, server_row("i3", 13, 1))
    before = in_force(peer)
    read(peer, *rows)
    assert in_force(peer) == before
    late = make_mirror("servers", *rows, era=2)
    changed = copy(late, peer) if is_copied else adopt(late, peer)
    assert {row.key for row in changed} == {"i1", "i2", "i3"}
    assert in_force(late) == before
    assert late.report(100.0) == peer.report(100.0)


def test_a_host_that_is_ahead_of_its_peer_keeps_what_was_written_again():
    peer = make_mirror("op", evacuation("a1", 3), config_row(4, 5))
    read(peer, version=2)
    late = make_mirror("op", era=2, version=2)
    change(late, config_row(4, 3), evacuation("a1", 4))
    change(late, wire.Row("evacuate/a1", None, 5))
    adopt(late, peer)
    assert set(in_force(late)) == {"config"}


def test_a_host_that_missed_the_end_of_an_evacuation_does_not_spread_it():
    informed = make_mirror("op", evacuation("a1", 3))
    change(informed, wire.Row("evacuate/a1", None, 11))
    cut_off = make_mirror("op", evacuation("a1", 3))
    read(informed, version=2)
    read(cut_off, version=2)
    adopt(informed, cut_off)
    assert in_force(informed) == {}


def test_an_evacuation_that_nobody_repeats_ends():
    mirror = make_mirror("op", evacuation("a1", 3))
    read(mirror, version=2)
    assert mirror.expire(101.9) == []
    assert [row.key for row in mirror.expire(102.0)] == ["evacuate/a1"]
    assert in_force(mirror) == {}


def test_a_new_evacuation_with_the_number_of_an_ended_one_counts():
    mirror = make_mirror("op", evacuation("a1", 11), version=11)
    change(mirror, wire.Row("evacuate/a1", None, 12))
    read(mirror, version=10)
    changed = change(mirror, evacuation("a1", 11))
    assert [row.key for row in changed] == ["evacuate/a1"]


def test_a_removal_in_the_new_era_ends_a_draining_server():
    mirror = make_mirror("servers", server_row("i1", 2, 1))
    change(mirror, server_row("i1", 11, 5, "draining"))
    read(mirror, server_row("i1", 2, 1))
    assert mirror.overlay.rows
    changed = read(mirror, era=2, version=12)
    assert [(row.key, row.value) for row in changed] == [("i1", None)]
    assert mirror.overlay.rows == {}


def test_a_configuration_is_kept_until_its_version_is_written_again():
    mirror = make_mirror("op", config_row(8, 9))
    read(mirror, config_row(4, 5))
    assert change(mirror, config_row(6, 11)) == []
    assert mirror.expire(1e9) == []
    assert in_force(mirror)["config"] == config_row(8, 0).value
    change(mirror, config_row(8, 12))
    assert mirror.overlay.rows == {}


def test_reports_are_ordered_by_era_and_from_older_releases_without():
    member = members.Member(
        members.Host("h", "10.0.0.1", "a1", 1),
        members.HostState.READY,
        1.0,
        1.0,
    )
    later = members.TableReport(models.TableVersion(2, 3), 7)
    earlier = members.TableReport(models.TableVersion(1, 90))
    member.update_tables(later, earlier)
    member.update_tables(earlier, later)
    assert member.operators == later
    assert member.servers == later
    old = msgspec.msgpack.encode(
        ["b", ["h", "10.0.0.1", "a1", 1], "ready", 5, 6, [], [], [], []]
    )
    tables = peer_messages.decode_tables(peer_messages.decode(old))
    assert [t.version for t in tables] == [
        models.TableVersion(0, 5),
        models.TableVersion(0, 6),
    ]
    # Hosts of earlier releases don't tell when the store answered them.
    assert [t.answer_age_s for t in tables] == [math.inf, math.inf]


def test_what_is_remembered_of_removals_is_bounded():
    mirror = make_mirror("servers")
    for number in range(3 * restores.MAX_REMOVALS):
        change(mirror, server_row(f"i{number}", 11 + 2 * number, 1))
        change(mirror, wire.Row(f"i{number}", None, 12 + 2 * number))
    for era in (2, 3):
        read(mirror, era=era)
    assert len(mirror.overlay.removals) <= restores.MAX_REMOVALS


def test_a_late_answer_does_not_bring_back_what_was_removed():
    mirror = make_mirror("op", config_row(1, 5), version=10)
    # A peer's copy is newer than the answer to a call sent before it.
    read(mirror, config_row(1, 5), evacuation("a1", 12), era=1, version=12)
    read(mirror, config_row(1, 5), era=1, version=14)
    late = wire.Page((evacuation("a1", 12),), 13, False, 1)
    assert not mirror.merge(late)
    assert set(mirror.current_rows()) == {"config"}

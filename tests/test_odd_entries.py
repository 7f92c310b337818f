"""Entries of another writer among those of the backend servers."""

import json

import pytest

from banyanshed.gateway import peer_messages
from banyanshed.platform import wire
from tests import gateway_fleet

DEPTH = 100_000
ENTRY = {
    "addr": "10.0.0.1:80",
    "info": {"backend": "s", "zone": "a1", "slots": 4},
    "status": {"state": "ready", "seq": 1, "coldLeft": "0ms"},
    "born": 1000,
}


def encode(path, text):
    """Returns the entry with the text of a JSON value at a path."""
    entry = json.loads(json.dumps(ENTRY))
    field = entry
    *parents, last = path.split(".")
    for name in parents:
        field = field[name]
    field[last] = "@"
    return json.dumps(entry).replace('"@"', text).encode()


HUGE = "1" + "0" * 400
ODD_ENTRIES = {
    "nested": encode("extra", "[" * DEPTH + "]" * DEPTH),
    "nested info": encode("info.extra", '{"a":' * DEPTH + "1" + "}" * DEPTH),
    "unclosed": b"[" * DEPTH,
    "slots": encode("info.slots", HUGE),
    "negative slots": encode("info.slots", "-" + HUGE),
    "sequence": encode("status.seq", HUGE),
    "start": encode("born", HUGE),
    "negative start": encode("born", "-" + HUGE),
    "digits": encode("born", "9" * 5000),
    "float": encode("born", "1e400"),
    "cold time": encode("status.coldLeft", '"1e308s"'),
    "port 0": encode("addr", '"10.0.0.1:0"'),
    "port": encode("addr", '"10.0.0.1:65536"'),
    "large port": encode("addr", '"10.0.0.1:' + HUGE + '"'),
    "bytes": b"\xff\xfe{",
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_names_no_server(name):
    with pytest.raises(wire.MalformedMessage):
        wire.decode_server("odd", ODD_ENTRIES[name])
    order = wire.decode_order(wire.SERVER_TABLE, "odd", ODD_ENTRIES[name])
    assert order is None or order.incarnation < 2**63


def test_hosts_follow_the_servers_beside_odd_entries():
    async def scenario(fleet):
        for name, value in ODD_ENTRIES.items():
            await fleet.store.put("servers", name, value)
        await fleet.add_server("i3")
        host = fleet.hosts["h1"]
        await fleet.wait_until(lambda: "i3" in host.view.servers)
        assert set(host.view.servers) == {"i1", "i2", "i3"}
        # A host that starts reads them all at once.
        fleet.start_host("h2", gateway_fleet.host_ip(2))
        await fleet.wait_until_ready("h2")
        assert not host.stopping.is_set()
        assert (await fleet.call(name="h2")).status == 200

    gateway_fleet.run_scenario(scenario)


def test_hosts_learn_each_other_beside_odd_rows_of_hosts():
    async def scenario(fleet):
        rows = [
            b"[" * DEPTH,
            b"[]",
            b'{"ip": 1, "zone": "a1", "started_ms": 1}',
            b'{"ip": "10.0.0.9", "zone": "a1", "started_ms": "1"}',
            b'{"ip": "10.0.0.9", "zone": "a1", "started_ms": 1e400}',
        ]
        for number, value in enumerate(rows):
            await fleet.store.put("hosts", f"odd{number}", value)
        fleet.start_host("h2", gateway_fleet.host_ip(2))
        await fleet.wait_until_ready("h2")
        host = fleet.hosts["h2"]
        await fleet.wait_until(lambda: host.is_announced)
        assert set(host.fleet.peers) == {"h1"}
        assert not host.stopping.is_set()

    gateway_fleet.run_scenario(scenario)


def test_a_nested_datagram_is_dropped():
    async def scenario(fleet):
        host = fleet.hosts["h1"]
        heartbeat = peer_messages.decode(
            peer_messages.encode(host.gossip._make_heartbeat([], [], {}))
        )
        assert heartbeat.host.id == "h1"
        # One element more, nested deeply, in an array of as many as can be.
        nested = b"\x91" * 60_000 + b"\x90"
        host.gossip.datagram_received(b"\xdc\xff\xff" + nested, ("10.0.0.9", 1))
        host.gossip.datagram_received(nested, ("10.0.0.9", 1))

    gateway_fleet.run_scenario(scenario)

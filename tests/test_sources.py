"""Sources of table changes in large fleets: the store and relays."""

import asyncio

import pytest

from banyanshed import exceptions
from banyanshed.gateway import mirrors
from banyanshed.platform import wire
from banyanshed.steering import relays
from banyanshed.steering import restores
from standins import store as store_lib
from tests import gateway_fleet

HOSTS = 5


@pytest.fixture(autouse=True)
def small_limit(monkeypatch):
    """Lowers the limit above which a fleet uses relays."""
    monkeypatch.setattr(relays, "MAX_MESH_HOSTS", 2)


def relays_of(fleet):
    names = set()
    for name, host in fleet.hosts.items():
        if host.relays.own_index(host.loop.time()) is not None:
            names.add(name)
    return names


def followers_of(fleet):
    return sorted(set(fleet.hosts) - relays_of(fleet))


async def wait_for_topology(fleet):
    """Waits until all hosts know each other and use the right sources.

    Relays read from the store and all other hosts from a relay.
    """

    def is_settled():
        chosen = relays_of(fleet)
        if len(chosen) != relays.RELAYS_PER_REGION:
            return False
        for name, host in fleet.hosts.items():
            is_relay = name in chosen
            if len(host.fleet.live(host.loop.time())) != HOSTS - 1:
                return False
            for source in host.sources.current_names.values():
                if (source == "store") != is_relay:
                    return False
        return True

    # A change ends long polls of the store, so that feeds choose again.
    for version in range(2, 40):
        if is_settled():
            return
        await fleet.store.put(
            "op", "config", gateway_fleet.configuration(version)
        )
        await fleet.store.put("servers", "odd", {"addr": "x", "n": version})
        await asyncio.sleep(0.3)
    raise AssertionError("the hosts did not settle on their sources")


def knows_version(host, version):
    configuration = host.view.configuration
    return configuration is not None and configuration.version == version


def count_calls(host, calls):
    """Records the host's calls of the store from now on."""
    call = host.store._call

    async def record(*arguments):
        calls.append(host.settings.host)
        return await call(*arguments)

    host.store._call = record


def test_changes_reach_all_hosts_with_store_calls_from_relays_only():
    async def scenario(fleet):
        await wait_for_topology(fleet)
        calls = []
        started_at = asyncio.get_running_loop().time()
        for host in fleet.hosts.values():
            count_calls(host, calls)
        for version in (100, 101, 102):
            config = gateway_fleet.configuration(version)
            await fleet.store.put("op", "config", config)
            await fleet.wait_until(
                lambda wanted=version: all(
                    knows_version(host, wanted) for host in fleet.hosts.values()
                )
            )
        assert set(calls) <= relays_of(fleet)
        # One call per relay and change, and polls that end meanwhile.
        elapsed_s = asyncio.get_running_loop().time() - started_at
        waits = fleet.hosts["h1"].waits
        polls = sum(
            2 + elapsed_s / table.relay_poll_s
            for table in (waits.operator_table, waits.server_table)
        )
        assert len(calls) <= relays.RELAYS_PER_REGION * (3 + polls)

    gateway_fleet.run_scenario(scenario, hosts=HOSTS)


def test_removed_servers_are_dropped_on_all_hosts():
    async def scenario(fleet):
        await wait_for_topology(fleet)
        await fleet.store.remove("servers", "i1")
        for name in fleet.hosts:
            host = fleet.hosts[name]
            await fleet.wait_until(
                lambda known=host: "i1" not in known.view.servers
            )

    gateway_fleet.run_scenario(scenario, hosts=HOSTS)


def test_followers_receive_changes_after_a_relay_is_killed():
    async def scenario(fleet):
        await wait_for_topology(fleet)
        killed = sorted(relays_of(fleet))[0]
        remaining = {n: h for n, h in fleet.hosts.items() if n != killed}
        fleet.tasks[killed].cancel()
        config = gateway_fleet.configuration(100)
        await fleet.store.put("op", "config", config)
        await fleet.wait_until(
            lambda: all(knows_version(host, 100) for host in remaining.values())
        )

    gateway_fleet.run_scenario(scenario, hosts=HOSTS)


def test_followers_fall_back_to_the_store_when_relays_lose_it():
    async def scenario(fleet):
        await wait_for_topology(fleet)
        for name in relays_of(fleet):
            for mirror in fleet.hosts[name].mirrors.values():
                mirror.set_follows_store(False)
        # Relays that the store does not answer reject calls of followers.
        followers = [fleet.hosts[name] for name in followers_of(fleet)]
        await fleet.wait_until(
            lambda: all(
                "store" in host.sources.current_names.values()
                for host in followers
            )
        )

    gateway_fleet.run_scenario(scenario, hosts=HOSTS)


def test_an_outage_ends_for_followers_when_it_ends_for_relays():
    async def scenario(fleet):
        await wait_for_topology(fleet)
        fleet.store.fault = store_lib.Fault.BUSY
        for host in fleet.hosts.values():
            await fleet.wait_until(
                lambda known=host: known.applier.outage.is_active
            )
        fleet.store.fault = store_lib.Fault.NONE
        await fleet.store.put("op", "config", gateway_fleet.configuration(100))
        for host in fleet.hosts.values():
            await fleet.wait_until(
                lambda known=host: not known.applier.outage.is_active
            )
            await fleet.wait_until(lambda known=host: knows_version(known, 100))

    gateway_fleet.run_scenario(scenario, hosts=HOSTS)


def row(key, version, value=b"{}"):
    return wire.Row(key, value, version)


def replace(mirror, page):
    mirror.replace(page, restores.Holds(0.0, 0.0), 0.0)


def test_a_mirror_returns_changes_and_deletions_after_a_version():
    mirror = mirrors.Mirror("t")
    replace(mirror, wire.Page((row("a", 1), row("b", 2)), 5, False))
    mirror.merge(wire.Page((row("c", 6), row("a", 7, None)), 7, False))
    page = mirror.changes_after(5)
    assert [r.key for r in page.rows] == ["c", "a"]
    assert page.rows[1].value is None
    assert page.version == 7
    assert mirror.changes_after(7).rows == ()
    # Deletions before the table was first read are unknown.
    assert mirror.changes_after(4) is None


def test_a_mirror_reports_when_old_deletions_are_forgotten():
    mirror = mirrors.Mirror("t")
    count = mirrors.MAX_DELETED + 5
    rows = tuple(row(f"k{n}", n + 1) for n in range(count))
    replace(mirror, wire.Page(rows, count, False))
    deletions = tuple(row(f"k{n}", count + n + 1, None) for n in range(count))
    mirror.merge(wire.Page(deletions, 2 * count, False))
    assert mirror.changes_after(count) is None
    assert len(mirror.changes_after(count + 5).rows) == mirrors.MAX_DELETED


class SilentClient:
    """A client of a store that takes calls and never answers them."""

    async def call(self, method, target, body, timeout_s):
        await asyncio.sleep(timeout_s)
        raise exceptions.StoreTimeout("timeout")


def silence_store(host):
    """Lets the store swallow a host's calls; its connections stay open."""
    for table, client in list(host.store.clients.items()):
        client.connection.transport.pause_reading()
        host.store.clients[table] = SilentClient()
    host.store.connect = SilentClient


def test_followers_learn_changes_while_the_store_swallows_the_relays_polls():
    async def scenario(fleet):
        # No timeout of a call ends a swallowed poll within the test.
        for host in fleet.hosts.values():
            host.store.call_timeout_s = 1000.0
        await wait_for_topology(fleet)
        for name in relays_of(fleet):
            silence_store(fleet.hosts[name])
        config = gateway_fleet.configuration(100)
        await fleet.store.put("op", "config", config)
        for name in followers_of(fleet):
            host = fleet.hosts[name]
            await fleet.wait_until(lambda known=host: knows_version(known, 100))

    gateway_fleet.run_scenario(scenario, hosts=HOSTS)

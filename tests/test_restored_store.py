"""Hosts whose store was restored from an older copy of its rows."""

import asyncio

import pytest

from banyanshed.gateway import host as host_lib
from banyanshed.steering import models
from banyanshed.steering import relays
from standins import store as store_lib
from tests import gateway_fleet

OLD_KEY = "key-withdrawn"


@pytest.fixture(params=["direct", "relays"])
def topology(request, monkeypatch):
    """Runs a test with hosts that all read the store, and with relays."""
    if request.param == "relays":
        monkeypatch.setattr(relays, "MAX_MESH_HOSTS", 2)
    return request.param


def knows(host, version):
    configuration = host.view.configuration
    return configuration is not None and configuration.version == version


async def put_config(fleet, version, **fields):
    config = gateway_fleet.configuration(version, **fields)
    await fleet.store.put("op", "config", config)


async def wait_for_all(fleet, condition):
    await fleet.wait_until(lambda: all(map(condition, fleet.hosts.values())))


async def wait_for_config(fleet, version):
    await wait_for_all(fleet, lambda host: knows(host, version))


async def wait_for_era(fleet):
    """Waits until all hosts have read both tables of the restored store."""
    era = fleet.store.era
    await wait_for_all(
        fleet, lambda host: all(m.era == era for m in host.mirrors.values())
    )


async def hold(fleet, seconds, condition):
    """Checks that a condition holds on all hosts for some time."""
    end = fleet.hosts["h1"].loop.time() + seconds
    while fleet.hosts["h1"].loop.time() < end:
        for host in fleet.hosts.values():
            assert condition(host), host.settings.host
        await asyncio.sleep(0.02)


def test_a_change_after_the_store_was_restored_takes_effect(topology):
    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 2)
        await put_config(fleet, 3)
        await wait_for_config(fleet, 3)
        await fleet.store.restore(copy)
        # The number of this transaction was given out before.
        await put_config(fleet, 4)
        await wait_for_config(fleet, 4)

    gateway_fleet.run_scenario(scenario, hosts=5)


def test_a_change_is_not_missed_when_numbers_have_passed_the_old_ones():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 2)
        await put_config(fleet, 3)
        await wait_for_config(fleet, 3)
        fleet.store.fault = store_lib.Fault.BUSY
        await wait_for_all(fleet, lambda host: host.applier.outage.is_active)
        await fleet.store.restore(copy)
        await put_config(fleet, 4)
        for number in range(9):
            await fleet.store.put("other", f"k{number}", {})
        fleet.store.fault = store_lib.Fault.NONE
        await wait_for_config(fleet, 4)

    gateway_fleet.run_scenario(scenario, hosts=2)


def test_a_confirmed_configuration_and_a_withdrawn_key_stay(topology):
    async def scenario(fleet):
        club = {"name": "club", "apiKeys": [gateway_fleet.API_KEY, OLD_KEY]}
        await put_config(fleet, 2, customers=[club])
        await wait_for_config(fleet, 2)
        copy = fleet.store.copy()
        routes = [gateway_fleet.route(), gateway_fleet.route("added")]
        await put_config(fleet, 3, routes=routes)
        await wait_for_config(fleet, 3)
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        await hold(fleet, 0.5, lambda host: knows(host, 3))
        for name in fleet.hosts:
            refused = await fleet.call(name=name, x_api_key=OLD_KEY)
            assert refused.status == 401
            assert (await fleet.call("/added/x", name)).status == 200
        await put_config(fleet, 3, routes=routes)
        await put_config(fleet, 4)
        await wait_for_config(fleet, 4)

    gateway_fleet.run_scenario(scenario, hosts=5)


def test_servers_that_left_or_drain_stay_out_and_new_ones_stay_in(topology):
    def is_right(host):
        servers = host.view.servers
        if "i1" in servers or "new" not in servers:
            return False
        return servers["i2"].registration.state.value == "draining"

    async def scenario(fleet):
        copy = fleet.store.copy()
        await fleet.store.remove("servers", "i1")
        await fleet.register("i2", state="draining", seq=7)
        await fleet.add_server("new")
        await wait_for_all(fleet, is_right)
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        await hold(fleet, 1.0, is_right)
        await fleet.register("new", seq=2)
        await hold(fleet, 2.5, is_right)
        # A server that lives after all says so.
        await fleet.register("i1", seq=9)
        await wait_for_all(fleet, lambda host: "i1" in host.view.servers)
        assert (await fleet.call()).status == 200

    gateway_fleet.run_scenario(
        scenario, hosts=5, servers=("i1", "i2", "i3", "i4")
    )


def test_a_server_that_does_not_register_again_is_dropped():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await fleet.add_server("new")
        await wait_for_all(fleet, lambda host: "new" in host.view.servers)
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        await wait_for_all(fleet, lambda host: "new" not in host.view.servers)

    gateway_fleet.run_scenario(scenario, hosts=2)


def test_a_live_server_whose_removal_was_lost_is_used_again():
    async def scenario(fleet):
        for host in fleet.hosts.values():
            host.waits.bounds = models.Bounds(lapse_s=-1.0)
        copy = fleet.store.copy()
        await fleet.store.remove("servers", "i1")
        await wait_for_all(fleet, lambda host: "i1" not in host.view.servers)
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        assert "i1" not in fleet.hosts["h1"].view.servers
        # The store would have dropped the entry of a silent server by then.
        await wait_for_all(fleet, lambda host: "i1" in host.view.servers)

    gateway_fleet.run_scenario(scenario, hosts=2)


def test_evacuations_stay_as_they_were_confirmed(topology):
    async def scenario(fleet):
        await fleet.store.put("op", "evacuate/b1", {})
        await wait_for_all(
            fleet, lambda host: host.view.evacuated_zones == {"b1"}
        )
        copy = fleet.store.copy()
        await fleet.store.remove("op", "evacuate/b1")
        await fleet.store.put("op", "evacuate/a1", {})
        await wait_for_all(
            fleet, lambda host: host.view.evacuated_zones == {"a1"}
        )
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        await hold(fleet, 0.5, lambda h: h.view.evacuated_zones == {"a1"})
        await fleet.store.put("op", "evacuate/a1", {})
        await fleet.store.remove("op", "evacuate/b1")
        await hold(fleet, 0.5, lambda h: h.view.evacuated_zones == {"a1"})
        await fleet.store.remove("op", "evacuate/a1")
        await fleet.store.put("op", "evacuate/b1", {})
        await wait_for_all(
            fleet, lambda host: host.view.evacuated_zones == {"b1"}
        )

    gateway_fleet.run_scenario(scenario, hosts=5)


def test_two_restores_in_a_row_lose_nothing(topology):
    def is_right(host):
        return (
            knows(host, 4)
            and "i1" not in host.view.servers
            and host.view.evacuated_zones == {"b1"}
        )

    async def scenario(fleet):
        first = fleet.store.copy()
        await put_config(fleet, 2)
        second = fleet.store.copy()
        await put_config(fleet, 4)
        await fleet.store.put("op", "evacuate/b1", {})
        await fleet.store.remove("servers", "i1")
        await wait_for_all(fleet, is_right)
        await fleet.store.restore(second)
        await wait_for_era(fleet)
        await hold(fleet, 0.3, is_right)
        await fleet.store.restore(first)
        await wait_for_era(fleet)
        await hold(fleet, 0.3, is_right)
        await put_config(fleet, 5)
        await wait_for_config(fleet, 5)

    gateway_fleet.run_scenario(
        scenario, hosts=5, servers=("i1", "i2", "i3", "i4")
    )


def test_a_host_that_starts_after_a_restore_learns_what_was_confirmed(
    topology,
):
    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 3)
        await fleet.store.put("op", "evacuate/b1", {})
        await fleet.store.remove("servers", "i1")
        await wait_for_all(
            fleet,
            lambda host: (
                knows(host, 3)
                and "i1" not in host.view.servers
                and bool(host.view.evacuated_zones)
            ),
        )
        await fleet.store.restore(copy)
        fleet.start_host("late", gateway_fleet.host_ip(9))
        late = fleet.hosts["late"]
        while late.fleet.own_state.value != "ready":
            # Until it knows, it serves nothing.
            assert late.view.awaits_peers or knows(late, 3)
            await asyncio.sleep(0.001)
        await fleet.wait_until(late.view.is_ready)
        assert knows(late, 3)
        assert late.view.evacuated_zones == {"b1"}
        assert "i1" not in late.view.servers

    gateway_fleet.run_scenario(
        scenario, hosts=5, servers=("i1", "i2", "i3", "i4")
    )


def test_a_restarted_host_in_an_outage_copies_what_was_confirmed():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 3)
        await wait_for_config(fleet, 3)
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        fleet.store.fault = store_lib.Fault.BUSY
        fleet.start_host("late", gateway_fleet.host_ip(9))
        late = fleet.hosts["late"]
        await fleet.wait_until(late.view.is_ready)
        assert knows(late, 3)

    gateway_fleet.run_scenario(scenario, hosts=3)


@pytest.mark.parametrize(
    "row", [b"\xff\xfe", b"{}", b'{"version":"r9","routes":[{}]}', b"[]"]
)
def test_an_unreadable_or_older_configuration_changes_nothing(row):
    async def scenario(fleet):
        await put_config(fleet, 3)
        await wait_for_config(fleet, 3)
        await fleet.store.put("op", "config", row)
        await put_config(fleet, 2)
        await hold(fleet, 0.5, lambda host: knows(host, 3))
        # Peers serve the one in force to a host that starts meanwhile.
        fleet.start_host("late", gateway_fleet.host_ip(9))
        await fleet.wait_until(fleet.hosts["late"].view.is_ready)
        assert knows(fleet.hosts["late"], 3)
        await put_config(fleet, 4)
        await wait_for_config(fleet, 4)

    gateway_fleet.run_scenario(scenario, hosts=2)


def test_a_version_that_is_given_out_again_counts_with_its_new_content():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 2)
        await wait_for_config(fleet, 2)
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        await hold(fleet, 0.3, lambda host: knows(host, 2))
        routes = [gateway_fleet.route(), gateway_fleet.route("other")]
        await put_config(fleet, 2, routes=routes)
        await wait_for_all(
            fleet,
            lambda host: bool(
                host.view.configuration.find_route("h.example", "/other/")
            ),
        )

    gateway_fleet.run_scenario(scenario, hosts=2)


def test_hosts_write_their_rows_again_and_call_the_store_rarely(
    monkeypatch, topology
):
    monkeypatch.setattr(host_lib, "ANNOUNCE_SPREAD_S", 0.5)

    def own_rows(fleet):
        table = host_lib.HOST_TABLE
        return {key for of_table, key in fleet.store.rows if of_table == table}

    async def scenario(fleet):
        await wait_for_all(fleet, lambda host: host.is_announced)
        empty = store_lib.Copy(
            {
                key: row
                for key, row in fleet.store.rows.items()
                if key[0] != host_lib.HOST_TABLE
            },
            fleet.store.version - len(fleet.hosts),
        )
        fleet.store.calls.clear()
        started_at = asyncio.get_running_loop().time()
        await fleet.store.restore(empty)
        await wait_for_era(fleet)
        await fleet.wait_until(lambda: own_rows(fleet) == set(fleet.hosts))
        await asyncio.sleep(1.0)
        # For each host and table a rejected poll, a full read and a new poll,
        # one more each while relays change, polls that end without a change,
        # and one write for each host.
        elapsed_s = asyncio.get_running_loop().time() - started_at
        polls = elapsed_s / fleet.hosts["h1"].waits.poll_s
        allowed = len(fleet.hosts) * (2 * (4 + polls) + 1)
        assert len(fleet.store.calls) <= allowed

    gateway_fleet.run_scenario(scenario, hosts=5)


def test_25_hosts_keep_what_was_confirmed_with_few_calls_of_the_store():
    def is_right(host):
        return (
            knows(host, 3)
            and "i1" not in host.view.servers
            and host.view.evacuated_zones == {"b1"}
        )

    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 3)
        await fleet.store.put("op", "evacuate/b1", {})
        await fleet.store.remove("servers", "i1")
        await wait_for_all(fleet, is_right)
        fleet.store.calls.clear()
        await fleet.store.restore(copy)
        await wait_for_era(fleet)
        await hold(fleet, 1.0, is_right)
        await put_config(fleet, 4)
        await wait_for_config(fleet, 4)
        # As many for each host as with few hosts, though most are followers.
        assert len(fleet.store.calls) <= len(fleet.hosts) * (2 * 4 + 1)

    gateway_fleet.run_scenario(
        scenario, hosts=25, servers=("i1", "i2", "i3", "i4")
    )

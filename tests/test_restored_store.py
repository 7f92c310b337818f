"""Hosts whose store was restored from an older copy of its rows."""

from tests import gateway_fleet


def knows(host, version):
    return host.view.configuration.version == version


async def put_config(fleet, version, **fields):
    config = gateway_fleet.configuration(version, **fields)
    await fleet.store.put("op", "config", config)


async def wait_for_config(fleet, version):
    await fleet.wait_until(
        lambda: all(knows(host, version) for host in fleet.hosts.values())
    )


def test_a_change_after_the_store_was_restored_takes_effect():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await put_config(fleet, 2)
        await put_config(fleet, 3)
        await wait_for_config(fleet, 3)
        await fleet.store.restore(copy)
        # The number of this transaction was given out before.
        await put_config(fleet, 4)
        await wait_for_config(fleet, 4)

    gateway_fleet.run_scenario(scenario, hosts=3)

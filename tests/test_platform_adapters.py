import contextlib

import pytest

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.edges import hostlists
from banyanshed.edges import objects
from banyanshed.edges import tables
from standins import processes

CONDITION = models.Condition
WRITE = models.Write


@pytest.fixture(scope="module")
def platform():
    with contextlib.ExitStack() as stack:
        yield processes.start(stack, "standins.platform")


@pytest.fixture
def table(platform):
    with contextlib.closing(tables.HttpTable(platform.address, 0.5)) as table:
        yield table
    platform.put("/fault", {})


def write(key, value, version=0):
    return models.Transaction((CONDITION(key, version),), (WRITE(key, value),))


@pytest.mark.processes
def test_transaction_is_conditional_and_scans_show_deleted_rows(table):
    first = table.transact(write("a/1", {"n": 1}))
    with pytest.raises(exceptions.ConditionFailed) as failure:
        table.transact(write("a/1", {"n": 2}))
    assert failure.value.rows == (
        models.TableRow("a/1", first.version, {"n": 1}),
    )
    table.transact(write("a/1", None, first.version))
    page = table.scan("a/", first.version)
    assert page.rows == (models.TableRow("a/1", first.version + 1, None),)
    assert table.read(["a/1", "b"]).rows[1] == models.TableRow("b", 0, None)
    # A deleted row has version 0 for conditions, like an absent one.
    table.transact(write("a/1", {"n": 3}))


FAULTS = [
    ({"mode": "down"}, exceptions.StoreUnavailable, False),
    ({"mode": "cut"}, exceptions.StoreTimeout, False),
    ({"mode": "lose_answers"}, exceptions.StoreTimeout, True),
]


@pytest.mark.processes
@pytest.mark.parametrize(("fault", "error", "applied"), FAULTS)
def test_error_tells_whether_a_write_took_effect(
    platform, table, fault, error, applied
):
    key = f"fault/{fault['mode']}"
    store = objects.HttpObjectStore(platform.address, 0.5)
    with contextlib.closing(store):
        platform.put("/fault", fault | {"count": 2})
        with pytest.raises(error):
            table.transact(write(key, {"n": 1}))
        with pytest.raises(error):
            store.put(key, b"content")
        assert (table.read([key]).rows[0].value is not None) is applied
        assert (store.get(key) is not None) is applied


@pytest.mark.processes
def test_write_may_take_effect_after_its_timeout(platform, table):
    platform.put("/fault", {"mode": "slow", "delay_s": 1.0, "count": 1})
    with pytest.raises(exceptions.StoreTimeout):
        table.transact(write("slow", {"n": 1}))
    while table.read(["slow"]).rows[0].value is None:
        continue
    assert table.read(["slow"]).rows[0].value == {"n": 1}


@pytest.mark.processes
def test_stopped_service_is_unavailable():
    with contextlib.ExitStack() as stack:
        child = processes.start(stack, "standins.platform")
        table = tables.HttpTable(child.address)
        assert child.stop() == 0
        with pytest.raises(exceptions.StoreUnavailable):
            table.transact(write("a", {}))


@pytest.mark.processes
def test_host_list_shows_registered_hosts_late(platform, table):
    entry = {
        "region": "sask",
        "zone": "a",
        "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "state": "live",
    }
    platform.put("/hosts/h1", entry)
    host_list = hostlists.HttpHostList(platform.address)
    with contextlib.closing(host_list):
        (host,) = host_list.read().hosts
        assert (host.host, host.state) == ("h1", models.HostState.LIVE)
        platform.put("/fault", {"hosts_lag_s": 1000})
        assert host_list.read().hosts == ()


@pytest.mark.processes
def test_objects_are_whole_and_absent_ones_are_none(platform, table):
    store = objects.HttpObjectStore(platform.address)
    with contextlib.closing(store):
        content = bytes(range(256)) * 4096
        store.put("answers/1", content)
        assert store.get("answers/1") == content
        store.delete("answers/1")
        assert store.get("answers/1") is None

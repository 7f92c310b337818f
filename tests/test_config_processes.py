import concurrent.futures
import contextlib
import json
import signal

import pytest

from banyanshed import cli
from banyanshed import operator_client
from banyanshed.core import rows
from standins import fleet as fleets
from tests import test_operators

HOSTS = [
    ("sask-a-1", fleets.Location("sask", "sask-a")),
    ("sask-b-1", fleets.Location("sask", "sask-b")),
    ("alberta-a-1", fleets.Location("alberta", "alberta-a")),
]
WAIT_S = 30


@pytest.fixture
def fleet():
    with contextlib.ExitStack() as exits:
        fleet = fleets.Fleet(exits, store_region="sask")
        fleet.add_hosts(HOSTS, lookup_ttl_s=0.2, stop_timeout_s=10)
        yield fleet


def client(fleet, host):
    address = fleet.hosts[host].address
    return operator_client.OperatorClient(
        [address], fleets.OPERATOR_TOKEN, WAIT_S
    )


def put(fleet, host, rate, version):
    """Edits at a host; returns the exit code, and the version or messages."""
    row = test_operators.tenant(rate)
    edit = {
        "key": rows.row_key(row),
        "version": version,
        "value": row.model_dump(mode="json"),
    }
    try:
        return 0, client(fleet, host).post("edit", {"edits": [edit]})["version"]
    except operator_client.CommandFailed as error:
        return error.exit_code, "\n".join(error.lines)


def wait(fleet, version, monkeypatch):
    monkeypatch.setenv("BANYANSHED_TOKEN", fleets.OPERATOR_TOKEN)
    entry = f"--entry={','.join(fleet.addresses())}"
    timeout = f"--timeout_s={WAIT_S}"
    return cli.main(["banyanshed", entry, timeout, "wait", str(version)])


def rates(fleet):
    found = []
    for host in fleet.hosts:
        shown = client(fleet, host).get("rows", kind="tenant")["rows"]
        found.append([row["value"]["rate"] for row in shown])
    return found


@pytest.mark.processes
@pytest.mark.invariant("config")
def test_concurrent_edits_at_two_hosts_lose_no_change(fleet, monkeypatch):
    code, version = put(fleet, "sask-a-1", 1, 0)
    assert code == 0
    assert wait(fleet, version, monkeypatch) == 0
    for rate in (10, 20, 30):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            first = pool.submit(put, fleet, "sask-a-1", rate, version)
            second = pool.submit(put, fleet, "alberta-a-1", rate + 1, version)
            outcomes = [first.result(), second.result()]
        codes = sorted(code for code, _ in outcomes)
        assert codes == [
            operator_client.ExitCode.DONE,
            operator_client.ExitCode.LOST_RACE,
        ]
        won = [code for code, _ in outcomes].index(0)
        version = outcomes[won][1]
        assert f'"rate": {rate + won}.0' in outcomes[1 - won][1]
        assert f'"rate": {rate + 1 - won}.0' in outcomes[1 - won][1]
        assert wait(fleet, version, monkeypatch) == 0
        assert rates(fleet) == [[rate + won]] * len(HOSTS)


@pytest.mark.processes
@pytest.mark.invariant("config")
def test_lost_answers_outages_and_restarts_revert_nothing(fleet, monkeypatch):
    code, version = put(fleet, "sask-a-1", 1, 0)
    assert code == 0
    fault = {"mode": "lose_answers", "only_prefix": "config", "count": 1}
    fleet.platform.put("/fault", fault)
    code, version = put(fleet, "sask-b-1", 2, version)
    assert code == 0
    assert wait(fleet, version, monkeypatch) == 0
    fleet.platform.put("/fault", {"mode": "down"})
    code, _ = put(fleet, "sask-a-1", 3, version)
    assert code == operator_client.ExitCode.UNREACHABLE
    # A host that starts while the store is down gets the rows from its peers.
    child = fleet.hosts["alberta-a-1"]
    child.process.send_signal(signal.SIGKILL)
    child.process.wait()
    fleet.start_host("alberta-a-1")
    assert wait(fleet, version, monkeypatch) == 0
    assert rates(fleet) == [[2]] * len(HOSTS)
    fleet.platform.put("/fault", {"mode": "none"})
    code, newer = put(fleet, "alberta-a-1", 4, version)
    assert code == 0
    assert wait(fleet, newer, monkeypatch) == 0
    assert rates(fleet) == [[4]] * len(HOSTS)
    state = json.dumps(client(fleet, "sask-a-1").get("state"))
    assert fleets.FLEET_SECRET not in state
    assert fleets.OPERATOR_TOKEN not in state

"""Graceful stops and restarts of a running installation under load."""

import contextlib
import functools
import time

import pytest

from banyanshed import callers
from banyanshed import exceptions
from standins import fleet as fleets
from standins import sites
from tests import worker_threads

pytestmark = pytest.mark.processes

REFUSED_NOT_RUN = "no"
MAX_POLLS = 1000


class LoadGenerator(worker_threads.WorkerThreads):
    """Callers that send reads and bookings, and records the outcomes."""

    def __init__(self, installation, threads=4):
        actions = [
            functools.partial(self.run, number) for number in range(threads)
        ]
        super().__init__(actions)
        self.installation = installation
        self.answered = []
        self.refused = []

    def run(self, number):
        seeds = self.installation.fleet.addresses()
        key = self.installation.key
        with callers.Caller(seeds, key, sites.TENANT) as caller:
            count = 0
            while not self.stopping.is_set():
                count += 1
                self.send(caller, f"{number}-{count}")

    def send(self, caller, name):
        method = "POST" if name.endswith("0") else "GET"
        key = name if method == "POST" else None
        try:
            answer = caller.request(
                method, "bookings", f"/{name}", idempotency_key=key
            )
        except exceptions.RequestRefused as refused:
            with self.lock:
                self.refused.append((name, refused))
            time.sleep(0.02)
            return
        with self.lock:
            self.answered.append((name, answer))

    def answers_of(self, child):
        """Returns the number of requests that a host has served."""
        with self.lock:
            return sum(a.host == child.address for _, a in self.answered)

    def wait_for_answers(self, count, child=None):
        """Waits until `count` more requests have been answered.

        A given host must also have served a request: until it has its first
        shares, it refuses and callers retry at other hosts.
        """
        wanted = len(self.answered) + count
        for _ in range(MAX_POLLS):
            served = child is None or self.answers_of(child) > 0
            if served and len(self.answered) >= wanted:
                return
            time.sleep(0.02)
        with self.lock:
            raise AssertionError([str(last[1]) for last in self.refused[-3:]])


@pytest.fixture
def exits():
    with contextlib.ExitStack() as stack:
        yield stack


def start(exits, **settings):
    fleet = fleets.Fleet(exits, store_region="sask")
    limits = sites.Limits(rate=4000, burst=4000)
    return sites.start(
        fleet, limits, lookup_ttl_s=1, stop_timeout_s=20, **settings
    )


def check_executions(installation, load):
    """Asserts that responses match and that no request ran wrongly.

    A request refused as not run did not run, and bookings ran at most once.
    """
    for name, answer in load.answered:
        assert answer.status == 200
        assert answer.json()["path"] == f"/{name}"
    executed = {}
    for backend in installation.fleet.backends.values():
        for run in backend.get("/_executed")["executions"]:
            executed.setdefault(run["path"][1:], []).append(run)
    for name, refused in load.refused:
        if refused.ran == REFUSED_NOT_RUN:
            assert name not in executed
    for name, runs in executed.items():
        if runs[0]["method"] == "POST":
            assert len(runs) == 1, name


@pytest.mark.invariant("graceful-stop")
@pytest.mark.parametrize("outage", [False, True], ids=["up", "down"])
def test_two_hosts_stop_under_load_without_cutting_a_request(exits, outage):
    installation = start(exits)
    fleet = installation.fleet
    stopped = [fleet.hosts["sask-a-1"], fleet.hosts["alberta-a-1"]]
    with LoadGenerator(installation) as load:
        load.wait_for_answers(50)
        if outage:
            fleet.platform.put("/fault", {"mode": "down"})
        for child in stopped:
            child.process.terminate()
        codes = [child.process.wait(60) for child in stopped]
    assert codes == [0, 0]
    unknown = [refused for _, refused in load.refused if refused.ran != "no"]
    # While the store is unavailable, it is unknown whether a booking ran.
    assert [r.code for r in unknown if r.code != "store_unavailable"] == []
    check_executions(installation, load)
    if not outage:
        assert not shares_of(fleet, "sask-a-1")


@pytest.mark.invariant("graceful-stop")
def test_shares_of_a_host_that_stops_in_an_outage_are_not_lost(exits):
    installation = start(exits)
    fleet = installation.fleet
    with LoadGenerator(installation) as load:
        load.wait_for_answers(50)
        fleet.platform.put("/fault", {"mode": "down"})
        stopped = ("sask-a-1", "alberta-a-1")
        for host in stopped:
            fleet.hosts[host].process.terminate()
            assert fleet.hosts[host].process.wait(60) == 0
        load.wait_for_answers(200)
        fleet.platform.put("/fault", {"mode": "none"})
        for _ in range(MAX_POLLS):
            held = [shares_of(fleet, name) for name in stopped]
            if not any(held):
                break
            time.sleep(0.02)
        assert held == [[], []]
        load.wait_for_answers(50)


def shares_of(fleet, host):
    """Returns the keys of share rows that still have grants of a host."""
    found = []
    page = fleet.platform.call(
        "POST", "/table/scan", {"prefix": "share/", "since": 0}
    ).json()
    for row in page["rows"]:
        for grant in row["value"]["grants"]:
            if grant["session"].startswith(f"{host}/"):
                found.append(row["key"])
    return found


@pytest.mark.invariant("graceful-stop")
def test_all_hosts_restart_one_after_another_under_load(exits):
    installation = start(exits)
    fleet = installation.fleet
    with LoadGenerator(installation) as load:
        load.wait_for_answers(50)
        for host in list(fleet.hosts):
            child = fleet.hosts[host]
            child.process.terminate()
            assert child.process.wait(60) == 0
            fleet.start_host(host)
            load.wait_for_answers(20)
    assert [r.code for _, r in load.refused if r.ran != "no"] == []
    check_executions(installation, load)


def test_metrics_report_the_state_and_served_requests(exits):
    installation = start(exits)
    fleet = installation.fleet
    child = fleet.hosts["sask-a-1"]
    with LoadGenerator(installation) as load:
        load.wait_for_answers(20, child)
    version = child.get("/health")["config_version"]
    lines = child.call("GET", "/metrics").data.decode().splitlines()
    values = dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")
    assert float(values["banyanshed_config_version"]) == version
    assert 0 < float(values["banyanshed_config_age_seconds"]) < 30
    assert float(values['banyanshed_peers{state="live"}']) == 2
    answers = float(values['banyanshed_answers_total{service="bookings"}'])
    assert answers == load.answers_of(child) > 0

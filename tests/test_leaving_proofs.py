"""Backend servers that leave, each by one source that the others contradict.

Meanwhile the servers of another service accept connections and never respond,
so that probes of them get no response.
"""

import contextlib
import socket
import threading
import time

import pytest
import urllib3

from banyanshed.core import rows
from standins import fleet as fleets
from standins import sites

pytestmark = [pytest.mark.processes, pytest.mark.invariant("leaving-backend")]

STOP_LIMIT_S = 3.0
LOAD_AFTER_S = 5.0
LOAD_BEFORE_S = 1.0
SLOTS = 8
STAYING_SERVER = "bookings-sask-6"
THREADS_PER_HOST = 6
FALSE_LOAD = 1000
SILENT_SERVERS = 64


class Run:
    """An installation under load, where backend servers leave at known times.

    Attributes:
        signalled_s: Time at which each backend server was reported as leaving.
        started_s: Start times of all executions, by backend server.
    """

    def __init__(self, exits):
        self.fleet = fleets.Fleet(exits, store_region="sask")
        self.names = [f"bookings-sask-{number}" for number in range(1, 7)]
        self.addresses = [
            self.fleet.add_backend("bookings", name, SLOTS, work_ms=5)
            for name in self.names
        ]
        limits = sites.Limits(rate=4000, burst=4000, limit=6 * SLOTS)
        silent_addresses = [
            listen_without_answering(exits) for _ in range(SILENT_SERVERS)
        ]
        placed = sites.placement_rows(
            {
                ("bookings", "sask"): self.addresses,
                ("board", "sask"): silent_addresses,
            },
            limits,
            SLOTS,
        )
        self.fleet.add_hosts(sites.HOSTS, lookup_ttl_s=1, stop_timeout_s=20)
        sheet = sites.as_sheet([*sites.all_rows({}, limits), *placed])
        self.fleet.call_operator("POST", "sheet", sheet.encode())
        issued = self.fleet.call_operator(
            "POST", "key", {"tenant": sites.TENANT}
        )
        self.fleet.await_version(issued["version"])
        self.key = issued["key"]
        self.stopping = threading.Event()
        self.signalled_s = {}
        self.started_s = {}

    def measure(self):
        threads = [
            threading.Thread(target=self.generate_load, args=(child.address,))
            for child in self.fleet.hosts.values()
            for _ in range(THREADS_PER_HOST)
        ]
        for thread in threads:
            thread.start()
        try:
            self.await_executions()
            time.sleep(LOAD_BEFORE_S)
            self.signal_leaving()
            time.sleep(LOAD_AFTER_S)
        finally:
            self.stopping.set()
            for thread in threads:
                thread.join()
        for name in self.names:
            self.started_s[name] = self.execution_starts(name)

    def generate_load(self, address):
        headers = {"Authorization": f"Bearer {self.key}"}
        with urllib3.PoolManager(retries=False) as pool:
            while not self.stopping.is_set():
                url = f"http://{address}/services/bookings/"
                answer = pool.request("GET", url, headers=headers, timeout=30)
                if answer.status != 200:
                    time.sleep(0.02)

    def execution_starts(self, name):
        page = self.fleet.backends[name].get("/_executed")
        return [run["started_s"] for run in page["executions"]]

    def await_executions(self):
        """Waits until every backend server has executed a request."""
        for _ in range(500):
            if all(self.execution_starts(name) for name in self.names):
                return
            time.sleep(0.02)
        raise AssertionError("a backend server executed no request")

    def signal_leaving(self):
        """Makes all but one leave by one source each, and report no load."""
        backends = self.fleet.backends
        for name in self.names:
            backends[name].put("/_fault", {"load": 0})
        # The server that stays reports far more load than it has slots.
        backends[STAYING_SERVER].put("/_fault", {"load": FALSE_LOAD})
        health, answer, drain, config, listed = self.names[:5]
        self.record_signal(health)
        leaving = {"load": 0, "health": "leaving", "lenient": True}
        backends[health].put("/_fault", leaving)
        self.record_signal(answer)
        backends[answer].put("/_fault", {"load": 0, "answer_leaving": True})
        plan = {"drain": "one", "service": "bookings", "backend": drain}
        self.fleet.call_operator("POST", "drain", plan | {"lasts_s": 600})
        self.record_signal(drain)
        key = f"{rows.CONFIG_PREFIX}backend/bookings/{config}"
        read = self.fleet.platform.call("POST", "/table/read", {"keys": [key]})
        (row,) = read.json()["rows"]
        row["value"]["state"] = "leaving"
        self.fleet.call_operator("POST", "edit", {"edits": [row]})
        self.record_signal(config)
        entry = {"address": backends[listed].address, "state": "leaving"}
        self.fleet.platform.put(f"/hosts/{listed}", entry)
        self.record_signal(listed)

    def record_signal(self, name):
        self.signalled_s[name] = time.monotonic()


def listen_without_answering(exits):
    """Returns the "IP:port" of a listener that never responds."""
    listener = exits.enter_context(socket.create_server(("127.0.0.1", 0)))
    return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture(scope="module")
def run():
    with contextlib.ExitStack() as exits:
        run = Run(exits)
        run.measure()
        yield run


@pytest.mark.parametrize(
    "source", ["health", "answer", "drain", "config", "host_list"]
)
def test_no_new_work_after_a_report_of_leaving(run, source):
    sources = ["health", "answer", "drain", "config", "host_list"]
    name = run.names[sources.index(source)]
    signalled_s = run.signalled_s[name]
    starts_s = run.started_s[name]
    assert min(starts_s) < signalled_s
    last_s = max(starts_s) - signalled_s
    print(f"last execution began {last_s:.3f} s after leaving by {source}")
    assert last_s < STOP_LIMIT_S


def test_work_goes_on_where_nothing_leaves(run):
    end_s = max(run.signalled_s.values()) + STOP_LIMIT_S
    assert max(run.started_s[STAYING_SERVER]) > end_s

"""Backend servers that leave, each by a sign that the others contradict.

Meanwhile the servers of another service take connections and never answer.
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

LIMIT_S = 3.0
LOAD_S = 5.0
BEFORE_S = 1.0
SLOTS = 8
STAYING = "bookings-sask-6"
THREADS_PER_HOST = 6
FALSE_LOAD = 1000
SILENT = 64


class Run:
    """An installation under load, where servers leave at known times.

    Attributes:
        signed_s: When each leaving backend server's sign was given.
        started_s: Start of every execution by backend server.
    """

    def __init__(self, exits):
        self.fleet = fleets.Fleet(exits, store_region="sask")
        self.names = [f"bookings-sask-{number}" for number in range(1, 7)]
        self.addresses = [
            self.fleet.add_backend("bookings", name, SLOTS, work_ms=5)
            for name in self.names
        ]
        limits = sites.Limits(rate=4000, burst=4000, limit=6 * SLOTS)
        silent = [listen_silently(exits) for _ in range(SILENT)]
        placed = sites.placement_rows(
            {
                ("bookings", "sask"): self.addresses,
                ("board", "sask"): silent,
            },
            limits,
            SLOTS,
        )
        self.fleet.add_hosts(sites.HOSTS, lookup_ttl_s=1, stop_timeout_s=20)
        sheet = sites.as_sheet([*sites.all_rows({}, limits), *placed])
        self.fleet.operate("POST", "sheet", sheet.encode())
        issued = self.fleet.operate("POST", "key", {"tenant": sites.TENANT})
        self.fleet.await_version(issued["version"])
        self.key = issued["key"]
        self.stopping = threading.Event()
        self.signed_s = {}
        self.started_s = {}

    def measure(self):
        threads = [
            threading.Thread(target=self.load, args=(child.address,))
            for child in self.fleet.hosts.values()
            for _ in range(THREADS_PER_HOST)
        ]
        for thread in threads:
            thread.start()
        try:
            self.await_work()
            time.sleep(BEFORE_S)
            self.give_signs()
            time.sleep(LOAD_S)
        finally:
            self.stopping.set()
            for thread in threads:
                thread.join()
        for name in self.names:
            self.started_s[name] = self.starts(name)

    def load(self, address):
        headers = {"Authorization": f"Bearer {self.key}"}
        with urllib3.PoolManager(retries=False) as pool:
            while not self.stopping.is_set():
                url = f"http://{address}/services/bookings/"
                answer = pool.request("GET", url, headers=headers, timeout=30)
                if answer.status != 200:
                    time.sleep(0.02)

    def starts(self, name):
        page = self.fleet.backends[name].get("/_executed")
        return [run["started_s"] for run in page["executions"]]

    def await_work(self):
        """Waits until every backend server has worked."""
        for _ in range(500):
            if all(self.starts(name) for name in self.names):
                return
            time.sleep(0.02)
        raise AssertionError("not every backend server got work")

    def give_signs(self):
        """Has all but one leave; what else they say is that they are idle."""
        backends = self.fleet.backends
        for name in self.names:
            backends[name].put("/_fault", {"load": 0})
        # The one that stays says that it has far too much to do.
        backends[STAYING].put("/_fault", {"load": FALSE_LOAD})
        health, answer, drain, config, listed = self.names[:5]
        self.sign(health)
        leaving = {"load": 0, "health": "leaving", "lenient": True}
        backends[health].put("/_fault", leaving)
        self.sign(answer)
        backends[answer].put("/_fault", {"load": 0, "answer_leaving": True})
        plan = {"drain": "one", "service": "bookings", "backend": drain}
        self.fleet.operate("POST", "drain", plan | {"lasts_s": 600})
        self.sign(drain)
        key = f"{rows.CONFIG_PREFIX}backend/bookings/{config}"
        read = self.fleet.platform.call("POST", "/table/read", {"keys": [key]})
        (row,) = read.json()["rows"]
        row["value"]["state"] = "leaving"
        self.fleet.operate("POST", "edit", {"edits": [row]})
        self.sign(config)
        entry = {"address": backends[listed].address, "state": "leaving"}
        self.fleet.platform.put(f"/hosts/{listed}", entry)
        self.sign(listed)

    def sign(self, name):
        self.signed_s[name] = time.monotonic()


def listen_silently(exits):
    """Returns "IP:port" where connections are taken and nothing answers."""
    listener = exits.enter_context(socket.create_server(("127.0.0.1", 0)))
    return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture(scope="module")
def run():
    with contextlib.ExitStack() as exits:
        run = Run(exits)
        run.measure()
        yield run


@pytest.mark.parametrize(
    "sign", ["health", "answer", "drain", "config", "host_list"]
)
def test_no_new_work_after_a_sign_of_leaving(run, sign):
    signs = ["health", "answer", "drain", "config", "host_list"]
    name = run.names[signs.index(sign)]
    signed_s = run.signed_s[name]
    starts_s = run.started_s[name]
    assert min(starts_s) < signed_s
    last_s = max(starts_s) - signed_s
    print(f"last start {last_s:.3f} s after the sign {sign}")
    assert last_s < LIMIT_S


def test_work_goes_on_where_nothing_leaves(run):
    end_s = max(run.signed_s.values()) + LIMIT_S
    assert max(run.started_s[STAYING]) > end_s

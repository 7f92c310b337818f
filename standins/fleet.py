"""Starts a small installation as child processes on loopback addresses.

Used by the demo, tests and benchmarks. The installation consists of test
doubles of the platform and of backend servers, and of entry hosts. An exit
stack owns all processes.
"""

from collections.abc import Sequence
import contextlib
import dataclasses
import hashlib
import itertools
import os
import pathlib
import tempfile
import time
from typing import Any

import yaml

from standins import processes
from standins import tcp_proxy

OPERATOR_TOKEN = "operator-token-of-the-stand-in-installation"
FLEET_SECRET = "fleet-secret-of-the-stand-in-installation"
CALLER_PORT = 8100
PEER_PORT = 8200
BACKEND_PORT = 8300
PLATFORM_PORT = 8000
MIN_OCTET = 16
OCTET_COUNT = 200
VERSION_TIMEOUT_S = 30.0
POLL_S = 0.05
ADDRESS_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Location:
    """Region and availability zone of a host."""

    region: str
    zone: str


def make_network() -> str:
    """Returns the first three octets of this process's loopback addresses."""
    number = os.getpid()
    second = MIN_OCTET + number // OCTET_COUNT % OCTET_COUNT
    return f"127.{second}.{1 + number % OCTET_COUNT}"


class Fleet:
    """Processes of one installation.

    Attributes:
        platform: Test double of the platform.
        backends: Backend servers by id.
        hosts: Entry hosts by id.
        table_proxies: TCP proxies between hosts and table service, by host.
    """

    def __init__(self, exits: contextlib.ExitStack, store_region: str):
        """Starts the platform; the exit stack terminates all processes."""
        self.exits = exits
        self.store_region = store_region
        self.network = make_network()
        folder = exits.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.backends: dict[str, processes.ChildProcess] = {}
        self.hosts: dict[str, processes.ChildProcess] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.table_proxies: dict[str, tcp_proxy.TcpProxy] = {}
        self.platform = processes.start(
            exits,
            "standins.platform",
            "--address",
            f"{self._next_ip()}:{PLATFORM_PORT}",
        )

    def _next_ip(self) -> str:
        return f"{self.network}.{next(ADDRESS_NUMBERS) % 254 + 1}"

    def add_backend(
        self, service: str, backend: str, slots: int, work_ms: float
    ) -> str:
        """Starts a backend server and returns its "IP:port"."""
        child = processes.start(
            self.exits,
            "standins.backend",
            "--address",
            f"{self._next_ip()}:{BACKEND_PORT}",
            "--service",
            service,
            "--backend",
            backend,
            "--slots",
            str(slots),
            "--work_ms",
            str(work_ms),
        )
        self.backends[backend] = child
        return child.address

    def add_hosts(
        self, places: Sequence[tuple[str, Location]], **settings: Any
    ) -> None:
        """Starts entry hosts; all are registered before the first starts.

        Args:
            places: Id and location of each host.
            **settings: Settings that differ from the defaults.
        """
        for host, place in places:
            self.register_host(host, place, settings)
        for host, _ in places:
            self.spawn_host(host)
        # Terminates all at once, before the stack waits for them one by one.
        self.exits.callback(self.terminate_hosts)
        for host, _ in places:
            processes.await_start(self.hosts[host])

    def register_host(
        self, host: str, place: Location, settings: dict[str, Any]
    ) -> None:
        """Prepares a host's settings and registers it without starting it."""
        ip = self._next_ip()
        entry = {
            "region": place.region,
            "zone": place.zone,
            "caller_address": f"{ip}:{CALLER_PORT}",
            "peer_address": f"{ip}:{PEER_PORT}",
        }
        table = tcp_proxy.TcpProxy(self.exits, ip, self.platform.address)
        self.table_proxies[host] = table
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        self.settings[host] = {
            "host": host,
            **entry,
            "store_region": self.store_region,
            "platform": {
                "table_address": table.address,
                "objects_address": self.platform.address,
                "hosts_address": self.platform.address,
            },
            "fleet_secret": FLEET_SECRET,
            "operators": {digest: "duty"},
            **settings,
        }
        self.platform.put(f"/hosts/{host}", entry | {"state": "live"})

    def terminate_hosts(self) -> None:
        """Sends SIGTERM to all running hosts."""
        for child in self.hosts.values():
            if child.process.poll() is None:
                child.process.terminate()

    def start_host(self, host: str) -> processes.ChildProcess:
        """Starts or restarts a registered host and waits until it listens."""
        child = self.spawn_host(host)
        processes.await_start(child)
        return child

    def spawn_host(self, host: str) -> processes.ChildProcess:
        """Starts a registered host without waiting for it."""
        path = self.folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(self.settings[host]), encoding="utf-8")
        log = self.exits.enter_context(
            (self.folder / f"{host}.log").open("a", encoding="utf-8")
        )
        child = processes.spawn(
            self.exits, "banyanshed.daemon", "--settings", str(path), log=log
        )
        self.hosts[host] = child
        return child

    def call_operator(
        self,
        method: str,
        page: str,
        body: Any = None,
        host: str | None = None,
    ) -> Any:
        """Calls an operator endpoint of a host; the status must be 200."""
        child = self.hosts[host or next(iter(self.hosts))]
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        if isinstance(body, bytes):
            headers["Content-Type"] = "text/csv"
        elif body is not None:
            headers["Content-Type"] = "application/json"
        answer = child.call(method, f"/operator/{page}", body, headers)
        assert answer.status == 200, answer.data
        return answer.json()

    def await_version(
        self, version: int, timeout_s: float = VERSION_TIMEOUT_S
    ) -> float:
        """Waits until a configuration version is in force on all running hosts.

        Returns:
            Seconds until the last host reported it.
        """
        started_s = time.monotonic()
        for child in self.hosts.values():
            while child.process.poll() is None:
                if child.get("/health")["config_version"] >= version:
                    break
                waited_s = time.monotonic() - started_s
                assert waited_s < timeout_s, f"version {version} not in force"
                time.sleep(POLL_S)
        return time.monotonic() - started_s

    def addresses(self) -> list[str]:
        """Returns the "IP:port" for callers of each entry host."""
        return [child.address for child in self.hosts.values()]

"""Test double of the platform: table service, object store and host list.

All state is in memory. `PUT /fault` sets a fault, `GET /fault` returns it with
the remaining count:

    mode: "none"; "down" answers 503 without effect; "cut" closes the
        connection before the request is handled; "slow" delays the request by
        `delay_s`; "lose_answers" applies writes, then closes the connection
        without an answer.
    count: Number of further requests that the fault affects; all if absent.
    only_prefix: Restricts the fault to transactions that write, and reads
        that name, a row whose key has this prefix; "objects/" restricts it to
        the object store.
    hosts_lag_s: Staleness of the list of hosts, in seconds.
"""

from collections.abc import Iterable
import json
import threading
import time
from typing import Any, cast
import urllib.parse

from absl import app
from absl import flags

from standins import serving

ADDRESS = flags.DEFINE_string("address", "127.0.0.1:0", "IP:port to serve.")

HISTORY_LENGTH = 1000
NO_FAULT = {"mode": "none"}


class Platform:
    """State of the three services; a lock serializes all changes."""

    def __init__(self) -> None:
        """Creates empty services."""
        self.lock = threading.Lock()
        self.commit = 0
        self.rows: dict[str, tuple[int, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.hosts: list[tuple[float, dict[str, Any]]] = [(0.0, {})]
        self.fault: dict[str, Any] = dict(NO_FAULT)
        self.counters: dict[str, int] = {}

    def count(self, name: str) -> None:
        """Increments a counter."""
        with self.lock:
            self.counters[name] = self.counters.get(name, 0) + 1

    def consume_fault(self, names: Iterable[str], writes: bool) -> str:
        """Returns the fault mode for a request and decrements its count."""
        with self.lock:
            fault = self.fault
            prefix = fault.get("only_prefix", "")
            if not any(name.startswith(prefix) for name in names):
                return "none"
            if fault["mode"] == "lose_answers" and not writes:
                return "none"
            count = fault.get("count")
            if count is not None and count <= 0:
                return "none"
            if count is not None:
                fault["count"] = count - 1
            return cast(str, fault["mode"])

    def row(self, key: str) -> dict[str, Any]:
        """Returns a row as a JSON object; called with the lock held."""
        version, value = self.rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}

    def page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """Returns a page of rows with the last commit's version and the clock.

        Called with the lock held.
        """
        return {"rows": rows, "version": self.commit, "now_s": time.time()}

    def read(self, keys: list[str]) -> dict[str, Any]:
        """Returns the rows of the keys, in order."""
        with self.lock:
            return self.page([self.row(key) for key in keys])

    def scan(self, prefix: str, since: int) -> dict[str, Any]:
        """Returns the rows with a prefix that were written after a version."""
        with self.lock:
            rows = []
            for key, (version, _) in self.rows.items():
                if version > since and key.startswith(prefix):
                    rows.append(self.row(key))
            return self.page(rows)

    def transact(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Applies a transaction; returns status and body.

        The status is 409, with the rows, if conditions fail.
        """
        with self.lock:
            failed = []
            for condition in request["conditions"]:
                row = self.row(condition["key"])
                absent = condition["version"] == 0 and row["value"] is None
                if not absent and row["version"] != condition["version"]:
                    failed.append(row)
            if failed:
                return 409, self.page(failed)
            self.commit += 1
            for write in request["writes"]:
                self.rows[write["key"]] = (self.commit, write["value"])
            return 200, {"version": self.commit, "now_s": time.time()}

    def list_hosts(self) -> dict[str, Any]:
        """Returns the list of hosts as of `hosts_lag_s` ago."""
        with self.lock:
            shown_at_s = time.monotonic() - self.fault.get("hosts_lag_s", 0)
            shown: dict[str, Any] = {}
            for at_s, entries in self.hosts:
                if at_s <= shown_at_s:
                    shown = entries
        leaving = []
        hosts = []
        for entry in shown.values():
            if "address" not in entry:
                hosts.append(entry)
            elif entry["state"] == "leaving":
                leaving.append(entry["address"])
        return {"hosts": hosts, "leaving_backends": leaving}

    def set_host(self, host: str, entry: dict[str, Any] | None) -> None:
        """Registers, replaces or removes the entry of a host.

        An entry with an "address" is a backend server.
        """
        with self.lock:
            entries = dict(self.hosts[-1][1])
            entries.pop(host, None)
            if entry is not None:
                entries[host] = entry | {"host": host}
            self.hosts.append((time.monotonic(), entries))
            del self.hosts[:-HISTORY_LENGTH]


class PlatformHandler(serving.Handler):
    """Routes requests to the services."""

    @property
    def platform(self) -> Platform:
        """State of the services."""
        return cast(Platform, cast(serving.Server, self.server).state)

    def apply_fault(self, names: Iterable[str], writes: bool) -> str:
        """Applies a fault before the request is handled; returns its mode."""
        mode = self.platform.consume_fault(names, writes)
        if mode == "down":
            self.respond_json(503, {"code": "down"})
        if mode == "cut":
            self.drop_connection()
        if mode == "slow":
            time.sleep(self.platform.fault.get("delay_s", 1.0))
        return mode

    def do_POST(self) -> None:  # noqa: N802
        """Handles requests to the table service."""
        request = json.loads(self.read_body())
        if self.path == "/table/read":
            self.read_rows(request)
        elif self.path == "/table/scan":
            self.scan_rows(request)
        elif self.path == "/table/transact":
            self.transact(request)
        else:
            self.respond_json(404, {"code": "unknown_path"})

    def read_rows(self, request: dict[str, Any]) -> None:
        """Answers /table/read."""
        if self.apply_fault(request["keys"], writes=False) in ("down", "cut"):
            return
        self.platform.count("reads")
        self.respond_json(200, self.platform.read(request["keys"]))

    def scan_rows(self, request: dict[str, Any]) -> None:
        """Answers /table/scan."""
        if self.apply_fault([request["prefix"]], writes=False) in (
            "down",
            "cut",
        ):
            return
        self.platform.count("scans")
        page = self.platform.scan(request["prefix"], request["since"])
        self.respond_json(200, page)

    def transact(self, request: dict[str, Any]) -> None:
        """Answers /table/transact."""
        keys = [write["key"] for write in request["writes"]]
        mode = self.apply_fault(keys, writes=True)
        if mode in ("down", "cut"):
            return
        self.platform.count("transactions")
        status, result = self.platform.transact(request)
        if mode == "lose_answers":
            self.drop_connection()
            return
        self.respond_json(status, result)

    def do_GET(self) -> None:  # noqa: N802
        """Handles reads of objects, hosts, counters and the fault."""
        if self.path == "/counters":
            self.respond_json(200, self.platform.counters)
        elif self.path == "/fault":
            self.respond_json(200, self.platform.fault)
        elif self.path == "/hosts":
            if self.apply_fault(["hosts"], writes=False) not in ("down", "cut"):
                self.respond_json(200, self.platform.list_hosts())
        else:
            self.handle_object(writes=False)

    def do_PUT(self) -> None:  # noqa: N802
        """Handles writes of the fault, host entries and objects."""
        if self.path == "/fault":
            self.platform.fault = NO_FAULT | json.loads(self.read_body())
            self.respond_json(200, self.platform.fault)
        elif self.path.startswith("/hosts/"):
            entry = json.loads(self.read_body())
            self.platform.set_host(self.path.removeprefix("/hosts/"), entry)
            self.respond_json(200, {})
        else:
            self.handle_object(writes=True)

    def do_DELETE(self) -> None:  # noqa: N802
        """Handles removal of a host entry or an object."""
        if self.path.startswith("/hosts/"):
            self.platform.set_host(self.path.removeprefix("/hosts/"), None)
            self.respond_json(200, {})
        else:
            self.handle_object(writes=True)

    def handle_object(self, writes: bool) -> None:
        """Answers /objects/NAME for GET, PUT and DELETE."""
        content = self.read_body()
        name = urllib.parse.unquote(self.path).removeprefix("/")
        if not name.startswith("objects/"):
            self.respond_json(404, {"code": "unknown_path"})
            return
        mode = self.apply_fault([name], writes)
        if mode in ("down", "cut"):
            return
        self.platform.count("object_writes" if writes else "object_reads")
        stored = self.platform.objects.get(name)
        if self.command == "PUT":
            self.platform.objects[name] = content
        if self.command == "DELETE":
            self.platform.objects.pop(name, None)
        if mode == "lose_answers":
            self.drop_connection()
        elif self.command == "GET" and stored is None:
            self.respond_json(404, {"code": "no_object"})
        else:
            self.respond(200, stored or b"" if self.command == "GET" else b"")


def main(_: list[str]) -> None:
    """Serves the test double until SIGTERM."""
    serving.serve(serving.Server(ADDRESS.value, PlatformHandler, Platform()))


if __name__ == "__main__":
    app.run(main)

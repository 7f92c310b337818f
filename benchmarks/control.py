"""Measures the control overhead of idle daemons that run as processes.

Run with `python -m benchmarks.control [HOSTS ...]`. Bytes are TCP payload as
reported by `ss` per socket; connections that open and close between two
samples are not counted.
"""

from collections.abc import Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import statistics
import subprocess
import sys
import time

from banyanshed.core import shares
from standins import fleet as fleets
from standins import sites

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_COUNTS = (3, 10, 25)
SETTLE_S = 8.0
PERIOD_S = 10.0
SAMPLE_S = 1.0
CPU_TARGET = 0.017
MEMORY_TARGET_BYTES = 256e6
TRAFFIC_TARGET_BYTES_PER_S = 4e3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")
OWNER = re.compile(r"pid=(\d+),fd=\d+")


@dataclasses.dataclass(frozen=True)
class Socket:
    """One TCP connection of a process, by its two addresses."""

    pid: int
    local: str
    remote: str


@dataclasses.dataclass(frozen=True)
class Cost:
    """Overhead of one idle daemon, as a mean over all hosts unless noted.

    Attributes:
        hosts: Number of entry hosts.
        cpu: Share of a core used.
        memory_bytes: Resident memory of the largest daemon.
        peer_bytes_per_s: Bytes sent to and received from peers, per second.
        platform_bytes_per_s: Bytes sent to and received from the platform, per
            second.
        reads_per_s: Table reads and scans per second.
        writes_per_s: Table transactions per second.
        share_row_bytes: Mean size of the table row of a share.
        host_list_bytes: Size of the platform's list of hosts.
    """

    hosts: int
    cpu: float
    memory_bytes: float
    peer_bytes_per_s: float
    platform_bytes_per_s: float
    reads_per_s: float
    writes_per_s: float
    share_row_bytes: float
    host_list_bytes: int


def read_cpu_s(pid: int) -> float:
    """Returns the processor time used by a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * PAGE_BYTES


def read_sockets(pids: set[int]) -> dict[Socket, int]:
    """Returns the bytes of each TCP connection, both ways."""
    shown = subprocess.run(
        ["ss", "-HOtinp", "state", "established"],
        capture_output=True,
        text=True,
        check=True,
    )
    byte_counts: dict[Socket, int] = {}
    for line in shown.stdout.splitlines():
        owner = OWNER.search(line)
        if owner is None or int(owner[1]) not in pids:
            continue
        local, remote = line.split()[2:4]
        socket = Socket(int(owner[1]), local, remote)
        byte_counts[socket] = sum(int(number) for number in BYTES.findall(line))
    return byte_counts


@dataclasses.dataclass
class TrafficCounter:
    """Counts bytes since the first sample.

    Attributes:
        platform: Address of the platform's test double.
        last_sample: Bytes by connection in the last sample.
        platform_bytes: Bytes sent to and received from the platform.
        peer_bytes: Bytes sent to and received from peers.
    """

    platform: str
    last_sample: dict[Socket, int]
    platform_bytes: int = 0
    peer_bytes: int = 0

    def add(self, sample: dict[Socket, int]) -> None:
        """Adds the growth since the last sample."""
        for socket, total in sample.items():
            grown = total - self.last_sample.get(socket, 0)
            if socket.remote == self.platform:
                self.platform_bytes += grown
                continue
            ports = (socket.local, socket.remote)
            if any(port.endswith(f":{fleets.PEER_PORT}") for port in ports):
                self.peer_bytes += grown
        self.last_sample = sample


def make_places(count: int) -> list[tuple[str, fleets.Location]]:
    """Returns hosts spread over two regions with two zones each."""
    places = []
    for number in range(count):
        region = sites.REGIONS[number % 2]
        zone = f"{region}-{'ab'[number // 2 % 2]}"
        places.append((f"host-{number}", fleets.Location(region, zone)))
    return places


def measure(count: int, period_s: float = PERIOD_S) -> Cost:
    """Starts a number of hosts and measures the overhead of each."""
    with contextlib.ExitStack() as exits:
        fleet = fleets.Fleet(exits, store_region=sites.REGIONS[0])
        sites.start(fleet, hosts=make_places(count), lookup_ttl_s=1)
        time.sleep(SETTLE_S)
        return measure_running(fleet, period_s)


def measure_running(fleet: fleets.Fleet, period_s: float) -> Cost:
    """Measures the overhead of each host of a running fleet."""
    pids = [child.process.pid for child in fleet.hosts.values()]
    count = len(pids)
    counters = fleet.platform.get("/counters")
    cpu_s = sum(read_cpu_s(pid) for pid in pids)
    started_s = time.monotonic()
    traffic = TrafficCounter(fleet.platform.address, read_sockets(set(pids)))
    while time.monotonic() < started_s + period_s:
        time.sleep(SAMPLE_S)
        traffic.add(read_sockets(set(pids)))
    took_s = time.monotonic() - started_s
    cpu_s = sum(read_cpu_s(pid) for pid in pids) - cpu_s
    grown = {
        name: total - counters.get(name, 0)
        for name, total in fleet.platform.get("/counters").items()
    }
    reads = grown.get("reads", 0) + grown.get("scans", 0)
    host_s = took_s * count
    return Cost(
        count,
        cpu_s / host_s,
        max(read_memory_bytes(pid) for pid in pids),
        traffic.peer_bytes / host_s,
        traffic.platform_bytes / host_s,
        reads / host_s,
        grown.get("transactions", 0) / host_s,
        mean_row_bytes(fleet, shares.SHARE_PREFIX),
        len(fleet.platform.call("GET", "/hosts").data),
    )


def mean_row_bytes(fleet: fleets.Fleet, prefix: str) -> float:
    """Returns the mean size of the rows with a key prefix, as JSON."""
    query = {"prefix": prefix, "since": 0}
    answer = fleet.platform.call("POST", "/table/scan", query)
    table_rows = answer.json()["rows"]
    return statistics.fmean(len(json.dumps(row)) for row in table_rows)


def report(cost: Cost) -> str:
    """Formats the overhead as one line, with targets where there are any."""
    flow = cost.peer_bytes_per_s + cost.platform_bytes_per_s
    return (
        f"{cost.hosts:>4} hosts: cpu {cost.cpu:6.2%} of a core"
        f" ({cost.cpu / CPU_TARGET:5.2f} of target),"
        f" memory {cost.memory_bytes / 1e6:5.1f} MB"
        f" ({cost.memory_bytes / MEMORY_TARGET_BYTES:4.2f}),"
        f" peers {cost.peer_bytes_per_s:7.0f} B/s,"
        f" platform {cost.platform_bytes_per_s:7.0f} B/s"
        f" (both {flow / TRAFFIC_TARGET_BYTES_PER_S:5.2f}),"
        f" reads {cost.reads_per_s:5.2f}/s,"
        f" writes {cost.writes_per_s:5.2f}/s,"
        f" a share's row {cost.share_row_bytes:.0f} bytes,"
        f" list of hosts {cost.host_list_bytes} bytes"
    )


def run(counts: Sequence[int] = HOST_COUNTS) -> list[Cost]:
    """Measures fleets of several sizes one after another."""
    # Child processes import from the sources and from the repository root.
    os.environ["PYTHONPATH"] = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    costs = []
    for count in counts:
        costs.append(measure(count))
        print(report(costs[-1]), flush=True)
    return costs


if __name__ == "__main__":
    run([int(word) for word in sys.argv[1:]] or HOST_COUNTS)

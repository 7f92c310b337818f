"""Measures look-ups and proxied requests of one entry host at rising load.

Run with `python -m benchmarks.latency`. Callers run in processes of their own
and keep their connections; the proxied request is compared with the same
request sent straight to the backend server, at the same number of callers.
"""

from collections.abc import Sequence
import contextlib
import dataclasses
import http.client
import multiprocessing
import os
import pathlib
import time

from hdrh import histogram

from benchmarks import control
from standins import fleet as fleets
from standins import sites

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLERS = (1, 2, 3, 4, 8, 16)
PERIOD_S = 3.0
WARM_UP_S = 0.5
WORK_MS = 5.0
SERVERS = 4
RATE = 100_000
MAX_US = 10_000_000
TIMEOUT_S = 10
ADDED_P50_TARGET_MS = 2.0
ADDED_P99_TARGET_MS = 5.0
LOOKUPS_TARGET_PER_S = 1055
SETTLE_TIME_S = 3.0


@dataclasses.dataclass(frozen=True)
class RequestTemplate:
    """What a caller asks for again and again.

    Attributes:
        addresses: "IP:port" of the servers, one for each caller in turn.
        path: Path asked for.
        key: The tenant's key, or empty.
    """

    addresses: tuple[str, ...]
    path: str
    key: str = ""


@dataclasses.dataclass(frozen=True)
class LoadStep:
    """What one load gave.

    Attributes:
        callers: Callers that each had one request under way.
        rate: Requests answered with status 200 a second.
        refused: Share of the requests that were refused.
        p50_ms: Median latency of the answered.
        p99_ms: Its 99th percentile.
        cpu: Cores that the entry host used.
    """

    callers: int
    rate: float
    refused: float
    p50_ms: float
    p99_ms: float
    cpu: float


def call_repeatedly(
    call: RequestTemplate,
    number: int,
    start_s: float,
    results: "multiprocessing.Queue",
) -> None:
    """Calls until the period has ended; puts the answered and refused."""
    host, _, port = call.addresses[number % len(call.addresses)].partition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    headers = {"Accept": "*/*"}
    if call.key:
        headers["Authorization"] = f"Bearer {call.key}"
    taken = histogram.HdrHistogram(1, MAX_US, 3)
    refused = 0
    end_s = start_s + PERIOD_S
    while True:
        sent_ns = time.perf_counter_ns()
        conn.request("GET", call.path, headers=headers)
        answer = conn.getresponse()
        answer.read()
        now_s = time.monotonic()
        if now_s >= end_s:
            break
        if now_s < start_s:
            continue
        if answer.status != http.client.OK:
            refused += 1
            continue
        taken.record_value((time.perf_counter_ns() - sent_ns) // 1000)
    conn.close()
    results.put((taken.encode(), refused))


def measure(
    call: RequestTemplate, callers: int, pid: int | None = None
) -> LoadStep:
    """Returns what a number of callers, each its own process, got.

    Args:
        call: What they ask for.
        callers: How many ask at once.
        pid: Process whose processor time is told.
    """
    context = multiprocessing.get_context("fork")
    results = context.Queue()
    start_s = time.monotonic() + WARM_UP_S
    workers = [
        context.Process(
            target=call_repeatedly, args=(call, number, start_s, results)
        )
        for number in range(callers)
    ]
    for worker in workers:
        worker.start()
    time.sleep(max(0.0, start_s - time.monotonic()))
    began_s = control.read_cpu_s(pid) if pid else 0.0
    time.sleep(max(0.0, start_s + PERIOD_S - time.monotonic()))
    used_s = control.read_cpu_s(pid) - began_s if pid else 0.0
    whole = histogram.HdrHistogram(1, MAX_US, 3)
    refused = 0
    for _ in workers:
        encoded, failed = results.get(timeout=2 * TIMEOUT_S)
        whole.decode_and_add(encoded)
        refused += failed
    for worker in workers:
        worker.join()
    answered = whole.get_total_count()
    return LoadStep(
        callers,
        answered / PERIOD_S,
        refused / max(1, refused + answered),
        whole.get_value_at_percentile(50) / 1000,
        whole.get_value_at_percentile(99) / 1000,
        used_s / PERIOD_S,
    )


@dataclasses.dataclass(frozen=True)
class Latency:
    """All steps of one run.

    Attributes:
        lookups: Look-ups.
        direct: Requests sent straight to the backend servers.
        proxied: The same requests through the entry host.
    """

    lookups: list[LoadStep]
    direct: list[LoadStep]
    proxied: list[LoadStep]

    def half_load_steps(self) -> tuple[LoadStep, LoadStep]:
        """Returns the direct and the proxied step nearest to half load."""
        most = max(step.rate for step in self.proxied)
        nearest = min(self.proxied, key=lambda step: abs(step.rate - most / 2))
        position = self.proxied.index(nearest)
        return self.direct[position], nearest


def run(callers: Sequence[int] = CALLERS) -> Latency:
    """Measures all three kinds of call."""
    os.environ["PYTHONPATH"] = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    with contextlib.ExitStack() as exits:
        fleet = fleets.Fleet(exits, store_region=sites.REGIONS[0])
        site = sites.start(
            fleet,
            sites.Limits(
                rate=RATE,
                burst=RATE,
                limit=SERVERS * sites.SLOTS,
                shift_cap=SERVERS * sites.SLOTS,
                link_bytes_per_s=1e9,
            ),
            servers=SERVERS,
            work_ms=WORK_MS,
            hosts=control.make_places(1),
            lookup_ttl_s=1,
        )
        time.sleep(SETTLE_TIME_S)
        return measure_all(fleet, site, callers)


def measure_all(
    fleet: fleets.Fleet, site: sites.Installation, callers: Sequence[int]
) -> Latency:
    """Measures a running installation of one entry host."""
    host = next(iter(fleet.hosts.values()))
    pid = host.process.pid
    entry = (host.address,)
    backends = tuple(
        child.address
        for name, child in fleet.backends.items()
        if name.startswith(f"board-{sites.REGIONS[0]}")
    )
    lookup = RequestTemplate(
        entry, f"/lookup?service=board&tenant={sites.TENANT}"
    )
    direct = RequestTemplate(backends, "/x")
    proxied = RequestTemplate(entry, "/services/board/x", site.key)
    found = Latency([], [], [])
    for count in callers:
        found.lookups.append(measure(lookup, count, pid))
        found.direct.append(measure(direct, count))
        found.proxied.append(measure(proxied, count, pid))
        for name in ("lookups", "direct", "proxied"):
            print(report(name, getattr(found, name)[-1]), flush=True)
    return found


def report(name: str, step: LoadStep) -> str:
    """Returns one line."""
    return (
        f"{name:<8} {step.callers:>3} callers {step.rate:8.0f}/s"
        f" refused {step.refused:6.2%} p50 {step.p50_ms:7.2f} ms"
        f" p99 {step.p99_ms:7.2f} ms, {step.cpu:5.2f} cores"
    )


def summarize(found: Latency) -> list[str]:
    """Returns lines with the figures beside their targets."""
    direct, proxied = found.half_load_steps()
    most = max(step.rate for step in found.proxied)
    added_p50 = (proxied.p50_ms - direct.p50_ms) / ADDED_P50_TARGET_MS
    added_p99 = (proxied.p99_ms - direct.p99_ms) / ADDED_P99_TARGET_MS
    best = max(found.lookups, key=lambda step: step.rate)
    return [
        f"proxy at {proxied.rate / most:.0%} of saturation against the direct"
        f" call: p50 {proxied.p50_ms / direct.p50_ms:.2f} times,"
        f" added {added_p50:.2f} of the target;"
        f" p99 {proxied.p99_ms / direct.p99_ms:.2f} times,"
        f" added {added_p99:.2f} of the target",
        f"look-ups: {best.rate / LOOKUPS_TARGET_PER_S:.2f} of the target rate"
        f" on {best.cpu:.2f} cores;"
        f" {best.rate / max(best.cpu, 0.01) / LOOKUPS_TARGET_PER_S:.2f}"
        " of it by core",
    ]


def main() -> None:
    """Prints all figures."""
    for line in summarize(run()):
        print(line)


if __name__ == "__main__":
    main()

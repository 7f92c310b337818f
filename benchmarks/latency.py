"""Measures look-ups and proxied requests of one entry host under load.

Run with `python -m benchmarks.latency`. Each caller is a process with a
persistent connection. Proxied requests are compared with the same requests
sent directly to the backend servers by the same number of callers.
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
    """Request that callers repeat.

    Attributes:
        addresses: "IP:port" of the servers, assigned to callers round robin.
        path: Path of the request.
        key: API key of the tenant; empty for none.
    """

    addresses: tuple[str, ...]
    path: str
    key: str = ""


@dataclasses.dataclass(frozen=True)
class LoadStep:
    """Results at one number of callers.

    Attributes:
        callers: Number of callers, each with one request in flight.
        rate: Requests per second answered with status 200.
        refused: Share of requests with another status.
        p50_ms: Median latency of the answered requests in milliseconds.
        p99_ms: 99th percentile of their latency in milliseconds.
        cpu: Cores used by the entry host.
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
    """Sends requests until the period ends; puts latencies and refusals."""
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
    """Measures a number of callers, each in its own process.

    Args:
        call: Request that they repeat.
        callers: Number of concurrent callers.
        pid: Process whose processor time is measured.
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
    """Results of one run, one step per number of callers.

    Attributes:
        lookups: Look-ups of entry hosts.
        direct: Requests sent directly to the backend servers.
        proxied: The same requests sent through the entry host.
    """

    lookups: list[LoadStep]
    direct: list[LoadStep]
    proxied: list[LoadStep]

    def half_load_steps(self) -> tuple[LoadStep, LoadStep]:
        """Returns the direct and proxied steps nearest half the peak rate."""
        peak_rate = max(step.rate for step in self.proxied)
        nearest = min(
            self.proxied, key=lambda step: abs(step.rate - peak_rate / 2)
        )
        position = self.proxied.index(nearest)
        return self.direct[position], nearest


def run(callers: Sequence[int] = CALLERS) -> Latency:
    """Measures look-ups, direct and proxied requests."""
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
    results = Latency([], [], [])
    for count in callers:
        results.lookups.append(measure(lookup, count, pid))
        results.direct.append(measure(direct, count))
        results.proxied.append(measure(proxied, count, pid))
        for name in ("lookups", "direct", "proxied"):
            print(report(name, getattr(results, name)[-1]), flush=True)
    return results


def report(name: str, step: LoadStep) -> str:
    """Formats the results of a step as one line."""
    return (
        f"{name:<8} {step.callers:>3} callers {step.rate:8.0f}/s"
        f" refused {step.refused:6.2%} p50 {step.p50_ms:7.2f} ms"
        f" p99 {step.p99_ms:7.2f} ms, {step.cpu:5.2f} cores"
    )


def summarize(results: Latency) -> list[str]:
    """Returns lines that compare the results with their targets."""
    direct, proxied = results.half_load_steps()
    peak_rate = max(step.rate for step in results.proxied)
    added_p50 = (proxied.p50_ms - direct.p50_ms) / ADDED_P50_TARGET_MS
    added_p99 = (proxied.p99_ms - direct.p99_ms) / ADDED_P99_TARGET_MS
    best = max(results.lookups, key=lambda step: step.rate)
    return [
        f"proxy at {proxied.rate / peak_rate:.0%} of saturation against the"
        f" direct call: p50 {proxied.p50_ms / direct.p50_ms:.2f} times,"
        f" added {added_p50:.2f} of the target;"
        f" p99 {proxied.p99_ms / direct.p99_ms:.2f} times,"
        f" added {added_p99:.2f} of the target",
        f"look-ups: {best.rate / LOOKUPS_TARGET_PER_S:.2f} of the target rate"
        f" on {best.cpu:.2f} cores;"
        f" {best.rate / max(best.cpu, 0.01) / LOOKUPS_TARGET_PER_S:.2f}"
        " of it by core",
    ]


def main() -> None:
    """Prints the results."""
    for line in summarize(run()):
        print(line)


if __name__ == "__main__":
    main()

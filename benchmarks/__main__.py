"""Runs the benchmarks; writes docs/measurements/report.md and its plot.

Run with `python -m benchmarks`. Figures of the report are ratios or shares
relative to a baseline or target. The benchmarks that only provide the slopes
used in docs/CAPACITY.md are run separately: blocks, lookups, gossip, claims.
"""

from collections.abc import Callable
import contextlib
import io
import pathlib
import sys
import time

from matplotlib import figure

from benchmarks import control
from benchmarks import fairness
from benchmarks import latency

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs/measurements"
REPORT_NAME = "report.md"
PLOT_NAME = "report.png"
PLOT_INCHES = (9.0, 3.2)
PLOT_DPI = 80
BOUND_CORES = 0.9


class Tee(io.StringIO):
    """Text stream that keeps what is written and copies it to another."""

    def __init__(self, shown: io.TextIOBase):
        """Takes the stream that receives the copy."""
        super().__init__()
        self.shown = shown

    def write(self, text: str) -> int:
        """Writes to both streams."""
        self.shown.write(text)
        self.shown.flush()
        return super().write(text)


def capture(measure: Callable[[], None]) -> str:
    """Returns what a benchmark prints, while also printing it."""
    tee = Tee(sys.stdout)  # type: ignore[arg-type]
    with contextlib.redirect_stdout(tee):
        measure()
    return tee.getvalue()


def latency_table(results: latency.Latency) -> list[str]:
    """Returns a table that compares proxied with direct requests."""
    peak_rate = max(step.rate for step in results.proxied)
    lines = [
        "| Callers | Load | Proxied p50 | Proxied p99 | Look-ups | Refused |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    steps = zip(results.proxied, results.direct, results.lookups, strict=True)
    for proxied, direct, lookup in steps:
        lines.append(
            f"| {proxied.callers} | {proxied.rate / peak_rate:.0%}"
            f" | {proxied.p50_ms / direct.p50_ms:.2f}"
            f" | {proxied.p99_ms / direct.p99_ms:.2f}"
            f" | {lookup.rate / latency.LOOKUPS_TARGET_PER_S:.2f}"
            f" | {proxied.refused:.2%} |"
        )
    return lines


def bottleneck_line(results: latency.Latency) -> str:
    """Returns a sentence on the bottleneck at saturation."""
    top = max(results.proxied, key=lambda step: step.rate)
    bottleneck = "its processor is not the bottleneck"
    if top.cpu > BOUND_CORES:
        bottleneck = (
            "its interpreter runs one thread at a time, so one core limits it"
        )
    spare = max(step.rate for step in results.direct) / top.rate
    return (
        f"Saturated with {top.callers} callers, where the entry host used"
        f" {top.cpu:.2f} cores: {bottleneck}. The backend servers answered"
        f" {spare:.1f} times as many direct requests."
    )


def control_table(costs: list[control.Cost]) -> list[str]:
    """Returns a table of the control overhead as shares of the targets."""
    lines = [
        "| Hosts | Processor | Memory | Bytes to peers | Bytes to platform"
        " | Reads/s | Writes/s |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for cost in costs:
        peers = cost.peer_bytes_per_s / control.TRAFFIC_TARGET_BYTES_PER_S
        platform = (
            cost.platform_bytes_per_s / control.TRAFFIC_TARGET_BYTES_PER_S
        )
        lines.append(
            f"| {cost.hosts} | {cost.cpu / control.CPU_TARGET:.2f}"
            f" | {cost.memory_bytes / control.MEMORY_TARGET_BYTES:.2f}"
            f" | {peers:.2f} | {platform:.2f}"
            f" | {cost.reads_per_s:.2f} | {cost.writes_per_s:.2f} |"
        )
    return lines


def plot(
    results: latency.Latency, costs: list[control.Cost], path: pathlib.Path
) -> None:
    """Plots latency by load and control overhead by number of hosts."""
    drawing = figure.Figure(figsize=PLOT_INCHES, layout="constrained")
    left, right = drawing.subplots(1, 2)
    peak_rate = max(step.rate for step in results.proxied)
    loads = [step.rate / peak_rate for step in results.proxied]
    pairs = list(zip(results.proxied, results.direct, strict=True))
    left.plot(loads, [p.p50_ms / d.p50_ms for p, d in pairs], "o-", label="p50")
    left.plot(loads, [p.p99_ms / d.p99_ms for p, d in pairs], "s-", label="p99")
    left.set(xlabel="part of saturation", ylabel="proxied / direct")
    left.legend()
    hosts = [cost.hosts for cost in costs]
    flow = [
        (cost.peer_bytes_per_s + cost.platform_bytes_per_s)
        / control.TRAFFIC_TARGET_BYTES_PER_S
        for cost in costs
    ]
    processor = [cost.cpu / control.CPU_TARGET for cost in costs]
    right.plot(hosts, processor, "o-", label="processor")
    right.plot(hosts, flow, "s-", label="bytes a second")
    right.axhline(1.0, color="grey", linewidth=0.8)
    right.set(xlabel="hosts", ylabel="part of the target")
    right.legend()
    drawing.savefig(path, dpi=PLOT_DPI)


def write_report(
    results: latency.Latency,
    costs: list[control.Cost],
    fairness_output: str,
    path: pathlib.Path,
) -> None:
    """Writes the report with all tables."""
    lines = [
        "# Measures",
        "",
        "Written by `make bench`; all figures are of one run on one machine.",
        "",
        f"![Latency and control]({PLOT_NAME})",
        "",
        "## Latency",
        "",
        "Proxied: ratio to the same request sent straight to the backend"
        " server at the same number of callers. Load: part of the highest"
        " rate. Look-ups: part of the target rate of one daemon.",
        "",
        *latency_table(results),
        "",
        bottleneck_line(results),
        "",
        *(f"- {line}" for line in latency.summarize(results)),
        "",
        "## Control of an idle daemon",
        "",
        "As parts of the targets (1.7% of a core, 256 MB, 4 KB a second).",
        "Reads and writes of the table are those of one host.",
        "",
        *control_table(costs),
        "",
        "## Fairness, headroom, drains",
        "",
        "`static` divides the limits evenly, as the baseline.",
        "",
        "```text",
        fairness_output.rstrip(),
        "```",
    ]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def main() -> None:
    """Runs the benchmarks and writes the report."""
    started_s = time.monotonic()
    results = latency.run()
    costs = control.run()
    fairness_output = capture(fairness.main)
    FOLDER.mkdir(parents=True, exist_ok=True)
    plot(results, costs, FOLDER / PLOT_NAME)
    write_report(results, costs, fairness_output, FOLDER / REPORT_NAME)
    took_s = time.monotonic() - started_s
    print(f"wrote {FOLDER.name}/{REPORT_NAME} after {took_s:.0f} s")


if __name__ == "__main__":
    main()

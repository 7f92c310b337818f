"""Simulates a scenario's variants over many seeds and tabulates the results."""

from collections.abc import Sequence
from concurrent import futures
import dataclasses
import pathlib
import statistics

from matplotlib import figure
import msgspec

from banyanshed.lab import model as model_lib
from banyanshed.lab import other_versions
from banyanshed.lab import policies
from banyanshed.lab import scenarios

COLUMNS = ("variant", "in time", "worst seed", "late", "refused", "failed")


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one simulation run, as shares of all requests.

    Attributes:
        in_time: Share answered within the latency objective.
        late: Share answered later than that.
        refused: Share whose last try by the caller was rejected.
        failed: Share that got no answer.
        by_second: Share answered within the objective, by the second in which
            the request was first sent.
    """

    in_time: float
    late: float
    refused: float
    failed: float
    by_second: tuple[float, ...]


_RESULTS = msgspec.json.Decoder(tuple[Result, ...])


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Results of all simulation runs of one variant.

    Attributes:
        variant: The variant's name.
        results: One result per seed.
    """

    variant: str
    results: tuple[Result, ...]

    def mean(self, field: str) -> float:
        """Returns the mean of a field over all seeds."""
        return statistics.fmean(getattr(r, field) for r in self.results)

    def mean_by_second(self) -> list[float]:
        """Returns the mean share answered in time, by second."""
        columns = zip(*(r.by_second for r in self.results), strict=True)
        return [statistics.fmean(column) for column in columns]


def simulate(
    scenario: scenarios.Scenario, variant: scenarios.Variant, seed: int
) -> Result:
    """Simulates one variant with one seed.

    Raises:
        exceptions.InvalidSettings: A constant of the variant is unknown.
    """
    with policies.override_constants(variant.constants):
        simulation = model_lib.Simulation(scenario, variant, seed)
        simulation.run()
    start_s = int(scenario.measured_from_s)
    end_s = int(scenario.length_s)
    return Result(
        simulation.share(simulation.in_time, start_s, end_s),
        simulation.share(simulation.late, start_s, end_s),
        simulation.share(simulation.refused, start_s, end_s),
        simulation.share(simulation.failed, start_s, end_s),
        tuple(
            simulation.share(simulation.in_time, second, second + 1)
            for second in range(end_s)
        ),
    )


def compare_variants(
    scenario: scenarios.Scenario, seeds: int, processes: int
) -> list[Summary]:
    """Simulates all variants of a scenario.

    Args:
        scenario: The scenario to simulate.
        seeds: Number of simulation runs per variant.
        processes: Number of simulation runs at a time.

    Returns:
        One summary per variant, in the scenario's order.

    Raises:
        exceptions.InvalidSettings: A constant of a variant is unknown, or
            its version can't be simulated.
    """
    summaries = []
    for variant in scenario.variants:
        if variant.version is None:
            results = simulate_seeds(scenario, variant, seeds, processes)
        else:
            task = other_versions.Task(
                scenario=scenario,
                variant=variant,
                seeds=seeds,
                processes=processes,
            )
            results = _RESULTS.decode(other_versions.run_in_subprocess(task))
        summaries.append(Summary(variant.name, results))
    return summaries


def simulate_seeds(
    scenario: scenarios.Scenario,
    variant: scenarios.Variant,
    seeds: int,
    processes: int,
) -> tuple[Result, ...]:
    """Simulates one variant and returns one result per seed."""
    with futures.ProcessPoolExecutor(processes) as pool:
        pending = [
            pool.submit(simulate, scenario, variant, seed)
            for seed in range(1, seeds + 1)
        ]
        return tuple(run.result() for run in pending)


def format_table(summaries: Sequence[Summary]) -> str:
    """Returns the summaries as a plain-text table."""
    rows: list[tuple[str, ...]] = [COLUMNS]
    for summary in summaries:
        worst = min(result.in_time for result in summary.results)
        shares = [
            summary.mean("in_time"),
            worst,
            summary.mean("late"),
            summary.mean("refused"),
            summary.mean("failed"),
        ]
        cells = [f"{share:.3f}" for share in shares]
        rows.append((summary.variant, *cells))
    widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        for cell, width in zip(row[1:], widths[1:], strict=True):
            cells.append(cell.rjust(width))
        lines.append("  ".join(cells))
    return "\n".join(lines)


def draw_plot(
    scenario: scenarios.Scenario,
    summaries: Sequence[Summary],
    path: pathlib.Path,
) -> None:
    """Writes a plot of the share answered in time by second.

    Raises:
        OSError: The file can't be written.
    """
    drawing = figure.Figure(figsize=(8.0, 4.5))
    axes = drawing.subplots()
    for summary in summaries:
        axes.plot(summary.mean_by_second(), label=summary.variant)
    for fault in scenario.faults:
        end_s = fault.at_s + fault.for_s
        axes.axvspan(fault.at_s, end_s, alpha=0.1, color="tab:red")
    axes.set_title(scenario.name)
    axes.set_xlabel("second of the request")
    axes.set_ylabel("answered within the objective")
    axes.set_ylim(0.0, 1.02)
    axes.legend()
    drawing.savefig(path)

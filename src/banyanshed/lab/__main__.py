"""The command banyanshed-lab: compares policies on a scenario.

banyanshed-lab examples/lab/failing-servers.yaml --seeds=20 --plot=out.png
"""

from collections.abc import Sequence
import pathlib
import sys

from absl import flags

from banyanshed import exceptions
from banyanshed.lab import experiments
from banyanshed.lab import scenarios

EXIT_FAILED = 1
EXIT_USAGE = 2
FLAGS = flags.FlagValues()
SEEDS = flags.DEFINE_integer(
    "seeds",
    10,
    "Number of simulation runs of each variant.",
    lower_bound=1,
    flag_values=FLAGS,
)
PROCESSES = flags.DEFINE_integer(
    "processes",
    2,
    "Number of simulation runs at a time.",
    lower_bound=1,
    flag_values=FLAGS,
)
PLOT = flags.DEFINE_string(
    "plot", None, "File for a plot by second (.png or .svg).", flag_values=FLAGS
)
HELP = flags.DEFINE_boolean("help", False, "Show this help.", flag_values=FLAGS)


def main(arguments: Sequence[str]) -> int:
    """Runs the command; returns its exit code."""
    try:
        files = FLAGS(arguments)[1:]
    except flags.Error as error:
        print(f"{error}; see --help", file=sys.stderr)
        return EXIT_USAGE
    if HELP.value or len(files) != 1:
        print(f"{__doc__}\n{FLAGS.get_help()}")
        return 0 if HELP.value else EXIT_USAGE
    try:
        scenario = scenarios.load(pathlib.Path(files[0]).read_text("utf-8"))
        _run(scenario)
    except (OSError, UnicodeDecodeError, exceptions.InvalidSettings) as error:
        print(f"{files[0]}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def _run(scenario: scenarios.Scenario) -> None:
    summaries = experiments.compare_variants(
        scenario, SEEDS.value, PROCESSES.value
    )
    print(f"{scenario.name}, {SEEDS.value} seeds")
    print(experiments.format_table(summaries))
    if PLOT.value is not None:
        experiments.draw_plot(scenario, summaries, pathlib.Path(PLOT.value))


def run() -> None:
    """Entry point of the command."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()

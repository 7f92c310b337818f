"""Simulates a variant with the steering package of another source version.

The simulation itself is this version's, so that only the steering decisions
differ. It runs in a child process: the import path of `banyanshed.steering`
must point to the other version before any module of this version's steering
is imported.
"""

import os
import pathlib
import subprocess
import sys

import msgspec

from banyanshed import documents
from banyanshed import exceptions
from banyanshed import steering
from banyanshed.lab import scenarios

PACKAGE = pathlib.Path("src", "banyanshed", "steering")


class Task(documents.StrictModel):
    """Input of the child process.

    Attributes:
        scenario: The scenario to simulate.
        variant: The variant, which names the version.
        seeds: Number of simulation runs.
        processes: Number of simulation runs at a time.
    """

    scenario: scenarios.Scenario
    variant: scenarios.Variant
    seeds: int
    processes: int

    @property
    def steering_folder(self) -> pathlib.Path:
        """Folder of the other version's steering package."""
        return pathlib.Path(self.variant.version or "") / PACKAGE


def run_in_subprocess(task: Task) -> bytes:
    """Runs the task in a child process.

    Returns:
        The results as a JSON array, one result per seed.

    Raises:
        exceptions.InvalidSettings: The version has no steering package or its
            simulation failed.
    """
    if not task.steering_folder.is_dir():
        raise _version_error(
            task, f"folder {task.steering_folder} does not exist"
        )
    completed = subprocess.run(
        [sys.executable, "-m", __name__],
        input=task.model_dump_json().encode(),
        capture_output=True,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        check=False,
    )
    if completed.returncode != 0:
        last_line = completed.stderr.decode().strip().rpartition("\n")[2]
        raise _version_error(task, last_line)
    return completed.stdout


def _version_error(task: Task, text: str) -> exceptions.InvalidSettings:
    finding = exceptions.Finding(
        f"variant {task.variant.name}", "unusable_version", text
    )
    return exceptions.InvalidSettings([finding])


def main() -> None:
    """Reads a task from standard input and writes its results as JSON."""
    task = Task.model_validate_json(sys.stdin.buffer.read())
    steering.__path__[:] = [str(task.steering_folder)]
    # Imports the steering package, so it must follow the change of its path.
    from banyanshed.lab import experiments  # noqa: PLC0415

    results = experiments.simulate_seeds(
        task.scenario, task.variant, task.seeds, task.processes
    )
    sys.stdout.buffer.write(msgspec.json.encode(results))


if __name__ == "__main__":
    main()

"""Plays a variant with the steering of another version, in its own process.

The model is this version's, so that only the decisions differ. The other
version's modules must be found before any of this version's is imported.
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
    """What the process plays.

    Attributes:
        scenario: The scenario.
        variant: The variant, which names the version.
        seeds: Number of plays.
        processes: Plays at a time.
    """

    scenario: scenarios.Scenario
    variant: scenarios.Variant
    seeds: int
    processes: int

    @property
    def steering_folder(self) -> pathlib.Path:
        """Folder of the version's steering."""
        return pathlib.Path(self.variant.version or "") / PACKAGE


def run_in_subprocess(task: Task) -> bytes:
    """Returns the results as JSON, one a seed.

    Raises:
        exceptions.InvalidSettings: The version can't be played.
    """
    if not task.steering_folder.is_dir():
        raise _version_error(task, f"no folder {task.steering_folder}")
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
    """Plays the task on standard input and writes its results."""
    task = Task.model_validate_json(sys.stdin.buffer.read())
    steering.__path__[:] = [str(task.steering_folder)]
    # Imports the steering, now that the other version's is found.
    from banyanshed.lab import experiments  # noqa: PLC0415

    results = experiments.simulate_seeds(
        task.scenario, task.variant, task.seeds, task.processes
    )
    sys.stdout.buffer.write(msgspec.json.encode(results))


if __name__ == "__main__":
    main()

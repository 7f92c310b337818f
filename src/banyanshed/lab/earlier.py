"""Plays a variant with the steering of another version, in its own process.

The model is this version's, so that only the decisions differ. The other
version's modules must be found before any of this version's is imported.
"""

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from banyanshed import exceptions
from banyanshed import steering
from banyanshed.lab import scenarios

PACKAGE = pathlib.Path("src", "banyanshed", "steering")


def play_all(
    scenario: scenarios.Scenario,
    variant: scenarios.Variant,
    seeds: int,
    processes: int,
) -> list[dict[str, Any]]:
    """Returns the fields of one result a seed.

    Raises:
        exceptions.InvalidSettings: The version can't be played.
    """
    folder = pathlib.Path(variant.version or "")
    if not (folder / PACKAGE).is_dir():
        raise _finding(variant, f"no {PACKAGE} in {folder}")
    task = {
        "folder": str(folder),
        "scenario": scenario.model_dump(mode="json"),
        "variant": variant.model_dump(mode="json"),
        "seeds": seeds,
        "processes": processes,
    }
    played = subprocess.run(
        [sys.executable, "-m", __name__],
        input=json.dumps(task),
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        check=False,
    )
    if played.returncode != 0:
        raise _finding(variant, played.stderr.strip().rpartition("\n")[2])
    results: list[dict[str, Any]] = json.loads(played.stdout)
    return results


def _finding(
    variant: scenarios.Variant, text: str
) -> exceptions.InvalidSettings:
    finding = exceptions.Finding(
        f"variant {variant.name}", "unusable_version", text
    )
    return exceptions.InvalidSettings([finding])


def main() -> None:
    """Plays the task on standard input and prints its results."""
    task = json.load(sys.stdin)
    steering.__path__[:] = [str(pathlib.Path(task["folder"]) / PACKAGE)]
    # Imports the steering, now that the other version's is found.
    from banyanshed.lab import experiments  # noqa: PLC0415

    scenario = scenarios.Scenario.model_validate_json(
        json.dumps(task["scenario"])
    )
    variant = scenarios.Variant.model_validate_json(json.dumps(task["variant"]))
    results = experiments.play_seeds(
        scenario, variant, task["seeds"], task["processes"]
    )
    print(json.dumps([experiments.encode(result) for result in results]))


if __name__ == "__main__":
    main()

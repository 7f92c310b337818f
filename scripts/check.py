"""Runs all tests; known failures in KNOWN-RED.txt are run apart and printed.

Tests that start processes run before the others and one at a time, so that
they do not compete for processors. A known failure that passes is an error:
its entry must be removed, unless the entry says that the test fails
intermittently.
"""

import dataclasses
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
WORKERS = "4"
OUTCOMES = {0: "passed", 1: "failed"}


@dataclasses.dataclass(frozen=True)
class KnownFailure:
    """One entry of KNOWN-RED.txt.

    Attributes:
        test: Id of the test.
        intermittent: Whether the test fails only in some runs.
    """

    test: str
    intermittent: bool


def read_known_failures() -> list[KnownFailure]:
    """Reads the entries of KNOWN-RED.txt."""
    failures = []
    for line in KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, _, seen, _ = (field.strip() for field in line.split("|"))
        failures.append(KnownFailure(test, seen.startswith("intermittent")))
    return failures


def run_pytest(*arguments: str) -> int:
    """Runs pytest in a child process and returns its exit code."""
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def check_known_failures(entries: list[KnownFailure]) -> bool:
    """Runs each known failure; returns whether the list is up to date."""
    consistent = True
    for entry in entries:
        code = run_pytest(entry.test)
        print(f"KNOWN-RED: {entry.test}: {OUTCOMES.get(code, f'exit {code}')}")
        if code == 0 and not entry.intermittent:
            print(f"KNOWN-RED: {entry.test} no longer fails: remove its entry")
            consistent = False
        if code not in OUTCOMES:
            consistent = False
    return consistent


def main() -> int:
    """Runs all tests and returns the exit code."""
    known_failures = read_known_failures()
    tests = [entry.test for entry in known_failures]
    deselected = [f"--deselect={test}" for test in tests]
    passed = check_known_failures(known_failures)
    passed &= run_pytest("-m", "processes", *deselected) in (0, 5)
    passed &= run_pytest("-m", "not processes", "-n", WORKERS, *deselected) == 0
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())

"""Runs all tests; known failures listed in KNOWN-RED.txt are run and printed.

Tests that start processes run after the others and one at a time, so that
they do not compete for processors. A listed test that passes is an error: its
entry must go.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = "4"


def read_known_red() -> list[str]:
    """Returns the ids of the tests listed as failing for a real fault."""
    tests = []
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        tests.append(line.split("|")[0].strip())
    return tests


def run_pytest(*arguments: str) -> int:
    """Runs pytest in a child process and returns its exit code."""
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def check_known_red(tests: list[str]) -> bool:
    """Runs each listed test and prints it; true when all of them still fail."""
    consistent = True
    for test in tests:
        code = run_pytest(test)
        print(f"KNOWN-RED: {test}: {'failed' if code == 1 else f'exit {code}'}")
        if code != 1:
            print(f"KNOWN-RED: {test} no longer fails: remove its entry")
            consistent = False
    return consistent


def main() -> int:
    """Returns the exit code of the whole check."""
    known_red = read_known_red()
    deselected = [f"--deselect={test}" for test in known_red]
    passed = check_known_red(known_red)
    passed &= run_pytest("-m", "processes", *deselected) in (0, 5)
    passed &= run_pytest("-m", "not processes", "-n", WORKERS, *deselected) == 0
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())

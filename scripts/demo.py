"""End-to-end demo: starts all processes and acts as a caller and an operator.

Exits with 0 if every step has the expected result.
"""

from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]
os.environ["PYTHONPATH"] = os.pathsep.join([str(ROOT / "src"), str(ROOT)])

from banyanshed import callers  # noqa: E402
from banyanshed import exceptions  # noqa: E402
from standins import fleet as fleets  # noqa: E402
from standins import sites  # noqa: E402

STEP_TIMEOUT_S = 15.0
STEP_WAIT_S = 0.1


class Demo:
    """Runs the steps and prints each with its result."""

    def __init__(self, exits: contextlib.ExitStack):
        """Starts all processes."""
        self.exits = exits
        self.fleet = fleets.Fleet(exits, store_region=sites.REGIONS[0])
        self.addresses: dict[tuple[str, str], list[str]] = {}
        for service in sites.SERVICES:
            for region in sites.REGIONS:
                address = self.fleet.add_backend(
                    service, f"{service}-{region}-1", slots=8, work_ms=5
                )
                self.addresses[service, region] = [address]
        self.fleet.add_hosts(sites.HOSTS, lookup_ttl_s=1, stop_timeout_s=10)
        self.key = ""
        self.digest = ""
        self.version = ""

    def run_operator_command(self, *arguments: str) -> str:
        """Runs the operators' command line and returns its output."""
        command = [sys.executable, "-m", "banyanshed.cli", *arguments]
        command.append(f"--entry={','.join(self.fleet.addresses())}")
        environment = os.environ | {
            "BANYANSHED_TOKEN": fleets.OPERATOR_TOKEN,
        }
        done = subprocess.run(
            command,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=STEP_TIMEOUT_S,
        )
        if done.returncode != 0:
            raise RuntimeError(f"{arguments}: {done.stdout}{done.stderr}")
        for line in done.stdout.splitlines():
            if line.startswith("version "):
                self.version = line.split()[1]
        return done.stdout.strip()

    def caller(self) -> callers.Caller:
        """Returns a caller of the tenant; the exit stack closes it."""
        caller = callers.Caller(
            self.fleet.addresses(), key=self.key, tenant=sites.TENANT
        )
        return self.exits.enter_context(caller)

    def run(self) -> None:
        """Runs all steps."""
        steps: list[tuple[str, Callable[[], str]]] = [
            ("import the configuration", self.import_rows),
            ("wait until it is in force", self.wait),
            ("issue a key", self.issue_key),
            ("look up entry hosts", self.look_up),
            ("read", self.read),
            ("book with an idempotency key", self.book),
            ("repeat the booking", self.repeat_booking),
            ("edit a cell", self.edit_cell),
            ("plan a drain", self.plan_drain),
            ("see the drain in force", self.await_drain),
            ("withdraw the key", self.withdraw_key),
            ("see the key refused", self.await_rejection),
            ("show a host's state", self.show_state),
            ("stop all entry hosts", self.stop_hosts),
        ]
        for number, (name, step) in enumerate(steps, 1):
            result = step()
            print(f"{number:2}. {name}: {result}", flush=True)

    def import_rows(self) -> str:
        """Imports the rows as an operator."""
        path = self.fleet.folder / "rows.csv"
        config_rows = sites.all_rows(self.addresses, sites.Limits())
        path.write_text(sites.as_sheet(config_rows), encoding="utf-8")
        return self.run_operator_command("rows", "import", str(path))

    def wait(self) -> str:
        """Waits until the last change is in force on all hosts."""
        return self.run_operator_command("wait", self.version)

    def issue_key(self) -> str:
        """Issues the tenant's key, which is shown once."""
        shown = self.run_operator_command("key", "issue", sites.TENANT)
        words = shown.split()
        self.key = words[words.index("key") + 1]
        self.digest = words[words.index("digest") + 1]
        return "shown once, stored as a digest"

    def look_up(self) -> str:
        """Looks up the hosts of a service."""
        return ", ".join(self.caller().lookup("board"))

    def read(self) -> str:
        """Sends a read, retried until the key and limits are in force."""
        answer = self.retry_until_served(
            lambda: self.caller().request("GET", "board", "/x")
        )
        return f"{answer.status} from {answer.json()['backend']}"

    def retry_until_served(
        self, action: Callable[[], callers.Response]
    ) -> callers.Response:
        """Retries a request for a while if it was refused as not run."""
        end_s = time.monotonic() + STEP_TIMEOUT_S
        while True:
            try:
                return action()
            except exceptions.RequestRefused as refused:
                if refused.ran != "no" or time.monotonic() > end_s:
                    raise
            time.sleep(STEP_WAIT_S)

    def book(self) -> str:
        """Sends a booking."""
        self.booking = self.retry_until_served(self.send_booking)
        return f"{self.booking.status}, {self.booking.json()['execution']}"

    def send_booking(self) -> callers.Response:
        """Sends the booking, always under the same idempotency key."""
        return self.caller().request(
            "POST",
            "bookings",
            "/slots/7",
            body=b'{"buggy": 7}',
            idempotency_key="booking-7",
        )

    def repeat_booking(self) -> str:
        """Repeats the booking and checks that it got the same answer."""
        repeated = self.send_booking()
        if repeated.content != self.booking.content:
            raise RuntimeError("the repeated booking got a different answer")
        executed = 0
        for region in sites.REGIONS:
            backend = self.fleet.backends[f"bookings-{region}-1"]
            executed += len(backend.get("/_executed")["executions"])
        if executed != 1:
            raise RuntimeError(f"the booking ran {executed} times")
        return "the same answer, executed once"

    def edit_cell(self) -> str:
        """Changes a weight and waits until it is in force."""
        shown = self.run_operator_command(
            "table", "set", "placement/board/alberta", "weight=50"
        )
        self.wait()
        return shown.splitlines()[-1]

    def plan_drain(self) -> str:
        """Drains a placement from now on."""
        return self.run_operator_command(
            "drain",
            "plan",
            "board-home",
            "board",
            "--region=sask",
            "--starts_in_s=0",
            "--lasts_s=600",
        )

    def await_drain(self) -> str:
        """Sends reads until the other region answers."""
        end_s = time.monotonic() + STEP_TIMEOUT_S
        while time.monotonic() < end_s:
            answer = self.retry_until_served(
                lambda: self.caller().request("GET", "board", "/x")
            )
            if answer.json()["backend"] == "board-alberta-1":
                return "reads are answered by board-alberta-1"
            time.sleep(STEP_WAIT_S)
        raise RuntimeError("the drain did not come into force")

    def withdraw_key(self) -> str:
        """Withdraws the key."""
        return self.run_operator_command("key", "withdraw", self.digest)

    def await_rejection(self) -> str:
        """Sends reads until a host refuses the withdrawn key."""
        end_s = time.monotonic() + STEP_TIMEOUT_S
        started_s = time.monotonic()
        while time.monotonic() < end_s:
            try:
                self.caller().request("GET", "board", "/x")
            except exceptions.RequestRefused as refused:
                if refused.code == "bad_key":
                    took_s = time.monotonic() - started_s
                    return f"refused after {took_s:.1f} s"
            time.sleep(STEP_WAIT_S)
        raise RuntimeError("the withdrawn key still works")

    def show_state(self) -> str:
        """Shows part of a host's state."""
        state = json.loads(self.run_operator_command("state"))
        return f"version {state['config_version']}, hosts {state['hosts']}"

    def stop_hosts(self) -> str:
        """Stops all hosts gracefully."""
        for child in self.fleet.hosts.values():
            child.process.terminate()
        codes = [child.process.wait(30) for child in self.fleet.hosts.values()]
        if any(codes):
            raise RuntimeError(f"exit codes {codes}")
        return f"exit codes {codes}"


def main() -> int:
    """Runs the demo; returns the exit code."""
    started_s = time.monotonic()
    try:
        with contextlib.ExitStack() as exits:
            Demo(exits).run()
    except Exception as error:
        print(f"FAILED: {error}", file=sys.stderr)
        return 1
    print(f"done in {time.monotonic() - started_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""At-most-once execution by host processes that are killed or paused.

The processes use the same idempotency key. A request must not be executed twice
when its host dies, or resumes after its deadline, or when the store fails.
"""

import contextlib
import signal
import subprocess
import sys

import pytest

from standins import processes

pytestmark = [
    pytest.mark.processes,
    pytest.mark.invariant("at-most-once"),
    pytest.mark.invariant("true-refusal"),
]


@pytest.fixture
def site():
    with contextlib.ExitStack() as stack:
        yield Site(stack)


class Site:
    def __init__(self, stack):
        self.stack = stack
        self.platform = processes.start(stack, "standins.platform")
        self.backend = processes.start(stack, "standins.backend", "--slots=50")

    def start_claimant(self, pause="none", time_left_s=20):
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.claimant",
                self.platform.address,
                self.backend.address,
                "key",
                pause,
                str(time_left_s),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.stack.callback(processes.terminate, process)
        if pause != "none":
            assert process.stdout.readline() == f"listening {pause}\n"
        return process

    def finish(self, process):
        output, _ = process.communicate("\n")
        assert process.returncode == 0
        return output.strip()

    def execution_count(self):
        executed = self.backend.get("/_executed")
        return executed["by_idempotency_key"].get("key", 0)


def test_concurrent_hosts_execute_one_key_once(site):
    site.platform.put("/fault", {"mode": "lose_answers", "count": 3})
    hosts = [site.start_claimant() for _ in range(6)]
    results = [site.finish(host) for host in hosts]
    assert site.execution_count() == 1
    assert set(results) <= {"answered", "in_progress unknown"}
    assert "answered" in results
    assert site.finish(site.start_claimant()) == "answered"
    assert site.execution_count() == 1


@pytest.mark.parametrize(("step", "executed"), [("send", 0), ("record", 1)])
def test_host_killed_between_two_steps(site, step, executed):
    host = site.start_claimant(step, time_left_s=3)
    host.kill()
    host.wait()
    refusal = site.finish(site.start_claimant())
    assert refusal in ("in_progress unknown", "outcome_unknown unknown")
    assert site.execution_count() == executed


def test_host_frozen_past_its_deadline_sends_nothing(site):
    host = site.start_claimant("send", time_left_s=3)
    host.send_signal(signal.SIGSTOP)
    refused = "in_progress unknown"
    while refused == "in_progress unknown":
        refused = site.finish(site.start_claimant())
    assert refused == "outcome_unknown unknown"
    host.send_signal(signal.SIGCONT)
    assert site.finish(host) == "released"
    assert site.execution_count() == 0
    assert site.finish(site.start_claimant()) == "answered"
    assert site.execution_count() == 1


def test_outage_between_send_and_record(site):
    host = site.start_claimant("record")
    site.platform.put("/fault", {"mode": "down", "count": 1})
    assert site.finish(host) == "answered"
    assert site.finish(site.start_claimant()) == "answered"
    assert site.execution_count() == 1


def test_outage_before_the_claim_executes_nothing(site):
    site.platform.put("/fault", {"mode": "down"})
    assert site.finish(site.start_claimant()) == "store_unavailable unknown"
    assert site.execution_count() == 0

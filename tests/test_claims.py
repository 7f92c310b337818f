"""Model-based test of claims of several hosts, interleaved step by step.

It guards against executing a request twice, or losing its response, when hosts
die and writes to the store fail, lose their response or take effect late.
"""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from banyanshed import exceptions
from banyanshed.core import claims
from banyanshed.core import models
from banyanshed.core import requests
from tests import fakes

STEP_FAULTS = strategies.sampled_from(
    ["ok", "ok", "ok", "down", "lost", "late"]
)
OUTCOMES = strategies.sampled_from(["answer", "answer", "lost", "not_run"])


@dataclasses.dataclass
class Attempt:
    """One request that a host processes.

    Attributes:
        claim: The claim that it makes or holds.
        steps: The operation in progress; None while there is none.
        error: Error to throw into the operation at its next step.
        result: Result to send to the operation at its next step.
        holds: The claim once it is held.
        answer: The response once there is one.
    """

    claim: claims.Claim
    steps: claims.Steps | None
    error: Exception | None = None
    result: object = None
    holds: claims.Claim | None = None
    answer: requests.Answer | None = None


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Attempts that advance one step at a time and may fail at any step."""

    def __init__(self):
        super().__init__()
        self.table = fakes.FaultyMemoryTable()
        self.objects = fakes.MemoryObjectStore()
        self.now_s = 0.0
        self.count = 0
        self.attempts = []
        self.executions = collections.Counter()
        self.recorded = None
        self.outcome_may_be_unknown = False

    @stateful.precondition(lambda self: len(self.attempts) < 4)
    @stateful.rule(body=strategies.sampled_from("xxy"))
    def arrive(self, body):
        self.attempts.append(self.make_attempt(body))

    def make_attempt(self, body):
        self.count += 1
        request = fakes.make_request("key", body.encode())
        claim = claims.Claim(
            key=claims.claim_key(models.TenantId("club"), "key"),
            fingerprint=claims.fingerprint(request),
            token=f"t{self.count}",
            created_s=self.table.now_s,
            ends_s=self.table.now_s + 10,
            send_before_s=self.now_s + 10,
        )
        return Attempt(claim, claims.reserve(claim))

    def advance(self, attempt, fault="ok"):
        """Performs one I/O step; handles the outcome after the last one."""
        try:
            if attempt.error is not None:
                step = attempt.steps.throw(attempt.error)
            else:
                step = attempt.steps.send(attempt.result)
        except StopIteration as stop:
            self.on_steps_done(attempt, stop.value)
            return
        except exceptions.PlatformError:
            self.retry_after_error(attempt)
            return
        self.table.faults = [fault]
        self.objects.down = fault == "down"
        attempt.error = None
        try:
            attempt.result = perform_step(step, self.table, self.objects)
        except exceptions.PlatformError as error:
            attempt.error = error

    def run_steps(self, attempt, steps):
        attempt.steps, attempt.result, attempt.error = steps, None, None

    def retry_after_error(self, attempt):
        if attempt.answer is not None:
            self.run_steps(
                attempt, claims.record(attempt.holds, attempt.answer)
            )
        else:
            self.run_steps(attempt, claims.withdraw(attempt.claim))

    def on_steps_done(self, attempt, result):
        attempt.steps = None
        if isinstance(result, claims.Claim):
            attempt.claim = attempt.holds = result
            return
        self.attempts.remove(attempt)
        if isinstance(result, claims.InDoubt):
            self.check_refusal(attempt, result.refusal)
            attempt.claim = result.claim
            self.run_steps(attempt, claims.withdraw(result.claim))
            self.attempts.append(attempt)
        if isinstance(result, models.Refusal):
            self.check_refusal(attempt, result)
        if isinstance(result, requests.Answer):
            assert result == self.recorded
            attempt.answer = result
            assert self.executions[attempt.claim.fingerprint] == 1

    def check_refusal(self, attempt, refusal):
        if refusal.ran is models.Ran.NO:
            assert self.executions[attempt.claim.fingerprint] == 0

    @stateful.precondition(lambda self: self.attempts_with_steps())
    @stateful.rule(data=strategies.data(), fault=STEP_FAULTS)
    def step(self, data, fault):
        self.advance(
            data.draw(strategies.sampled_from(self.attempts_with_steps())),
            fault,
        )

    @stateful.precondition(lambda self: self.attempts_with_steps())
    @stateful.rule(data=strategies.data())
    def run(self, data):
        self.run_one(
            data.draw(strategies.sampled_from(self.attempts_with_steps()))
        )

    def run_one(self, attempt):
        while attempt in self.attempts_with_steps():
            self.advance(attempt)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=strategies.data())
    def kill(self, data):
        attempt = data.draw(strategies.sampled_from(self.attempts))
        self.attempts.remove(attempt)
        self.outcome_may_be_unknown = True

    @stateful.rule(seconds=strategies.sampled_from([1.0, 11.0, 600.0]))
    def pass_time(self, seconds):
        self.now_s += seconds
        self.table.now_s += seconds

    @stateful.rule()
    def apply_delayed_writes(self):
        self.table.apply_delayed_writes()

    @stateful.precondition(lambda self: self.attempts_holding_claims())
    @stateful.rule(data=strategies.data(), outcome=OUTCOMES)
    def send(self, data, outcome):
        attempt = data.draw(
            strategies.sampled_from(self.attempts_holding_claims())
        )
        if not claims.may_send(attempt.holds, self.now_s):
            outcome = "not_run"
        if outcome == "not_run":
            self.run_steps(attempt, claims.withdraw(attempt.holds))
            return
        self.executions[attempt.claim.fingerprint] += 1
        body = attempt.claim.token.encode() * 2500
        answer = requests.Answer(201, {"x": "y"}, body[: 3000 * self.count])
        self.recorded = answer
        if outcome == "lost":
            self.attempts.remove(attempt)
            self.outcome_may_be_unknown = True
            return
        attempt.answer = answer
        self.run_steps(attempt, claims.record(attempt.holds, answer))

    def attempts_with_steps(self):
        return [item for item in self.attempts if item.steps is not None]

    def attempts_holding_claims(self):
        return [item for item in self.attempts if item.steps is None]

    @stateful.invariant()
    def executed_at_most_once(self):
        assert self.executions.total() <= 1

    def teardown(self):
        """Checks that after all faults the key has a response or is free.

        Neither is required if a host died while the outcome was unknown.
        """
        for attempt in self.attempts_holding_claims():
            self.run_steps(attempt, claims.withdraw(attempt.holds))
        while self.attempts_with_steps():
            attempt = self.attempts_with_steps()[0]
            self.run_one(attempt)
            if attempt in self.attempts_holding_claims():
                self.run_steps(attempt, claims.withdraw(attempt.holds))
        self.table.apply_delayed_writes()
        attempt = self.make_attempt("x")
        self.attempts.append(attempt)
        self.run_one(attempt)
        if self.outcome_may_be_unknown:
            return
        executed = self.executions.total() == 1
        assert (attempt.holds is None) == executed
        if self.executions[attempt.claim.fingerprint]:
            assert attempt.answer == self.recorded


def perform_step(step, table, objects):
    match step:
        case claims.Transact():
            return table.transact(step.transaction)
        case claims.ReadRow():
            return table.read([step.key])
        case claims.ReadObject():
            return objects.get(step.name)
        case claims.WriteObject():
            return objects.put(step.name, step.content)
    raise AssertionError(step)


@pytest.mark.invariant("at-most-once")
@pytest.mark.invariant("true-refusal")
def test_claims_of_several_hosts_under_faults():
    settings = hypothesis.settings(max_examples=300, stateful_step_count=40)
    stateful.run_state_machine_as_test(ClaimMachine, settings=settings)

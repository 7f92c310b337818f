import random

import pytest

from banyanshed.core import claims
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import ledger as ledgers
from tests import fakes

TENANT = models.TenantId("club")
REQUEST = fakes.make_request("secret key", b"secret body")
OTHER = fakes.make_request("secret key", b"other body")
SMALL = requests.Answer(201, {"x": "y"}, b"secret answer")
LARGE = requests.Answer(201, {"x": "y"}, bytes(range(256)) * 100)


class Fleet:
    """Ledgers of two hosts over one platform."""

    def __init__(self):
        self.table = fakes.FaultyMemoryTable()
        self.objects = fakes.MemoryObjectStore()
        self.now_s = 0.0
        self.first = self.add_host()
        self.second = self.add_host()

    def add_host(self):
        host = ledgers.Ledger(self.table, self.objects, lambda: self.now_s)
        host.store_clock.observe(self.now_s, self.table.now_s)
        return host

    def pass_time(self, seconds):
        self.now_s += seconds
        self.table.now_s += seconds

    def claim(self, host, request=REQUEST):
        return host.claim(TENANT, request, 10.0)


@pytest.fixture
def fleet():
    return Fleet()


@pytest.mark.invariant("at-most-once")
@pytest.mark.invariant("true-refusal")
@pytest.mark.parametrize("flushed_first", [True, False])
@pytest.mark.parametrize("faults", [["late", "down"], ["late"] * 4])
def test_write_in_doubt_never_leaves_a_key_claimed(
    fleet, faults, flushed_first
):
    fleet.table.faults = list(faults)
    refusal = fleet.claim(fleet.first)
    assert refusal.ran is models.Ran.UNKNOWN
    assert refusal.retry_after_s is not None
    if not flushed_first:
        fleet.table.apply_delayed_writes()
    assert fleet.first.flush() == 0
    fleet.table.apply_delayed_writes()
    held = fleet.claim(fleet.second)
    assert isinstance(held, claims.Claim)
    fleet.second.record(held, SMALL)
    assert fleet.claim(fleet.first) == SMALL


@pytest.mark.invariant("at-most-once")
@pytest.mark.parametrize("faults", [["lost"], ["lost", "lost"], ["late"]])
def test_lost_answer_to_the_claim_keeps_the_claim(fleet, faults):
    fleet.table.faults = list(faults)
    held = fleet.claim(fleet.first)
    assert isinstance(held, claims.Claim)
    fleet.table.apply_delayed_writes()
    fleet.first.record(held, SMALL)
    assert not fleet.first.pending
    assert fleet.claim(fleet.second) == SMALL


@pytest.mark.invariant("at-most-once")
@pytest.mark.invariant("true-refusal")
@pytest.mark.parametrize("answer", [SMALL, LARGE])
@pytest.mark.parametrize("fault", ["down", "lost", "late"])
def test_outage_between_answer_and_record(fleet, answer, fault):
    held = fleet.claim(fleet.first)
    fleet.table.faults = [fault]
    fleet.objects.down = fault == "down"
    fleet.first.record(held, answer)
    assert fleet.claim(fleet.first) == answer
    assert fleet.claim(fleet.first, OTHER).code == "key_reused"
    fleet.objects.down = False
    fleet.table.faults.clear()
    if fault != "lost":
        refusal = fleet.claim(fleet.second)
        assert (refusal.status, refusal.code) == (409, "in_progress")
        assert refusal.ran is models.Ran.UNKNOWN
        fleet.pass_time(11)
        assert fleet.claim(fleet.second).code == "outcome_unknown"
    assert fleet.first.flush() == 0
    assert fleet.first.pending_bytes == 0
    fleet.table.apply_delayed_writes()
    assert fleet.claim(fleet.second) == answer
    refusal = fleet.claim(fleet.second, OTHER)
    assert (refusal.code, refusal.ran) == ("key_reused", models.Ran.NO)


@pytest.mark.invariant("true-refusal")
def test_outage_before_the_claim_is_uncertain_and_sends_nothing(fleet):
    fleet.first.record(fleet.claim(fleet.first), SMALL)
    fleet.table.faults = ["down"]
    refusal = fleet.claim(fleet.second)
    # The host can not know whether an earlier request with the key has run.
    assert (refusal.status, refusal.ran) == (503, models.Ran.UNKNOWN)
    assert refusal.retry_after_s is not None
    assert not fleet.second.pending


@pytest.mark.invariant("at-most-once")
def test_paused_claimant_may_not_send_and_releases_its_claim(fleet):
    held = fleet.claim(fleet.first)
    fleet.pass_time(11)
    assert not claims.may_send(held, fleet.now_s)
    fleet.table.faults = ["lost"]
    fleet.first.release(held)
    assert fleet.first.flush() == 0
    assert isinstance(fleet.claim(fleet.second), claims.Claim)


def test_claim_past_its_deadline_writes_nothing(fleet):
    refusal = fleet.first.claim(TENANT, REQUEST, 0.0)
    assert refusal.ran is models.Ran.UNKNOWN
    assert fleet.table.transactions == 0


@pytest.mark.parametrize("content", [None, b"half"])
def test_answer_that_is_not_whole_is_not_replayed(fleet, content):
    held = fleet.claim(fleet.first)
    fleet.first.record(held, LARGE)
    (name,) = fleet.objects.contents
    fleet.objects.contents[name] = content
    assert fleet.claim(fleet.second).code == "answer_unavailable"


@pytest.mark.parametrize("answer", [SMALL, LARGE, None])
def test_claims_expire_after_the_retention(fleet, answer, monkeypatch):
    monkeypatch.setattr(claims, "SWEEP_PREFIX_DIGITS", 0)
    held = fleet.claim(fleet.first)
    fleet.table.transact(
        models.Transaction((), (models.Write("claim/0", {"state": "odd"}),))
    )
    if answer is not None:
        fleet.first.record(held, answer)
    fleet.pass_time(claims.CLAIM_RETENTION_S - 1)
    assert fleet.second.sweep(random.Random(1)) == 0
    fleet.pass_time(2)
    # A host that has just started ignores an expired claim.
    assert isinstance(fleet.claim(fleet.add_host()), claims.Claim)
    fleet.pass_time(claims.CLAIM_RETENTION_S + 1)
    fleet.table.faults = ["down"]
    assert fleet.second.sweep(random.Random(1)) == 0
    assert fleet.second.sweep(random.Random(1)) == 1
    assert fleet.table.read([held.key]).rows[0].value is None
    assert fleet.second.sweep(random.Random(1)) == 0


def test_sweep_deletes_the_object_of_a_large_answer(fleet, monkeypatch):
    monkeypatch.setattr(claims, "SWEEP_PREFIX_DIGITS", 0)
    fleet.first.record(fleet.claim(fleet.first), LARGE)
    assert fleet.objects.contents
    fleet.pass_time(claims.CLAIM_RETENTION_S + 1)
    assert fleet.second.sweep(random.Random(1)) == 1
    assert not fleet.objects.contents


def test_full_pending_list_refuses_new_claims_and_loses_none(
    fleet, monkeypatch
):
    monkeypatch.setattr(ledgers, "MAX_PENDING_COUNT", 2)
    held = []
    for number in range(3):
        request = fakes.make_request(f"key {number}")
        held.append(fleet.claim(fleet.first, request))
    fleet.table.faults = ["down"] * 6
    for claim in held:
        fleet.first.record(claim, SMALL)
    assert fleet.claim(fleet.first).code == "ledger_full"
    assert fleet.first.flush() == 3
    assert fleet.first.flush() == 0
    assert isinstance(fleet.claim(fleet.first), claims.Claim)
    assert fleet.first.results == {"claim": 4, "ledger_full": 1}


def test_malformed_row_refuses_without_a_crash(fleet):
    held = fleet.claim(fleet.first)
    write = models.Write(held.key, {"state": "odd"})
    fleet.table.transact(models.Transaction((), (write,)))
    assert fleet.claim(fleet.second).code == "answer_unavailable"
    fleet.first.record(held, SMALL)
    assert not fleet.first.pending


def test_reprs_of_the_ledger_hold_no_keys_bodies_or_answers(fleet):
    held = fleet.claim(fleet.first)
    fleet.table.faults = ["down"]
    fleet.first.record(held, SMALL)
    text = repr(held) + repr(fleet.first.pending) + repr(claims.reserve(held))
    assert "secret" not in text
    assert "secret" not in repr(claims.WriteObject("name", SMALL.body))

"""Decisions of the core on a request whose key is withdrawn meanwhile."""

import pytest

from banyanshed.core import events
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.core import sheets
from tests import test_sessions_golden as golden


@pytest.fixture
def driver():
    site = golden.SITES[0]
    driver = golden.CoreDriver(site)
    path = golden.EXAMPLES / f"{site.name}-table.csv"
    sheet = sheets.parse(path.read_text(encoding="utf-8"))
    driver.edit("of the whole table", *(edit.row for edit in sheet.edits))
    key = rows.KeyRow(digest=golden.DIGEST, tenant=site.tenant)
    driver.edit("issues a key", key)
    driver.run(8)
    return driver


@pytest.mark.invariant("keys")
def test_request_is_refused_when_its_key_was_withdrawn_before_it_was_sent(
    driver,
):
    ticket = driver.send(golden.SITES[0].read)
    assert isinstance(driver.decisions[ticket], events.Placed)
    driver.edit("withdraws", deleted=[f"config/key/{golden.DIGEST}"])
    driver.fail(ticket, models.Ran.NO, "lease_lapsed")
    assert driver.decisions[ticket].code == "bad_key"
    assert driver.decisions[ticket].ran is models.Ran.NO


@pytest.mark.invariant("keys")
def test_retry_after_a_withdrawal_is_refused(driver):
    ticket = driver.send(golden.SITES[0].read)
    driver.edit("withdraws", deleted=[f"config/key/{golden.DIGEST}"])
    driver.fail(ticket, models.Ran.NO, "connect_failed")
    assert driver.decisions[ticket].code == "bad_key"


@pytest.mark.invariant("true-refusal")
def test_refusal_after_an_attempt_that_may_have_run_reports_unknown(driver):
    ticket = driver.send(golden.SITES[0].read)
    driver.edit("withdraws", deleted=[f"config/key/{golden.DIGEST}"])
    driver.fail(ticket, models.Ran.UNKNOWN, "connection_lost")
    assert driver.decisions[ticket].ran is models.Ran.UNKNOWN

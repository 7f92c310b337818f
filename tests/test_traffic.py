"""Decisions on single requests of one host's core."""

import pytest

from banyanshed.core import events
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.core import sheets
from tests import test_sessions_golden as sessions


@pytest.fixture
def session():
    site = sessions.SITES[0]
    played = sessions.Session(site)
    path = sessions.EXAMPLES / f"{site.name}-table.csv"
    sheet = sheets.parse(path.read_text(encoding="utf-8"))
    played.edit("of the whole table", *(edit.row for edit in sheet.edits))
    key = rows.KeyRow(digest=sessions.DIGEST, tenant=site.tenant)
    played.edit("issues a key", key)
    played.run(8)
    return played


@pytest.mark.invariant("keys")
def test_key_withdrawn_while_a_request_was_paused_is_refused(session):
    ticket = session.ask(sessions.SITES[0].read)
    assert isinstance(session.decisions[ticket], events.Placed)
    session.edit("withdraws", deleted=[f"config/key/{sessions.DIGEST}"])
    session.fail(ticket, models.Ran.NO, "lease_lapsed")
    assert session.decisions[ticket].code == "bad_key"
    assert session.decisions[ticket].ran is models.Ran.NO


@pytest.mark.invariant("keys")
def test_retry_after_a_withdrawal_is_refused(session):
    ticket = session.ask(sessions.SITES[0].read)
    session.edit("withdraws", deleted=[f"config/key/{sessions.DIGEST}"])
    session.fail(ticket, models.Ran.NO, "connect_failed")
    assert session.decisions[ticket].code == "bad_key"


@pytest.mark.invariant("true-refusal")
def test_refusal_after_an_attempt_that_may_have_run_says_unknown(session):
    ticket = session.ask(sessions.SITES[0].read)
    session.edit("withdraws", deleted=[f"config/key/{sessions.DIGEST}"])
    session.fail(ticket, models.Ran.UNKNOWN, "connection_lost")
    assert session.decisions[ticket].ran is models.Ran.UNKNOWN

"""Golden transcripts of the core's decisions, one per example site."""

import dataclasses
import pathlib
import random

import pytest

from banyanshed import exceptions
from banyanshed import settings
from banyanshed.core import configuration
from banyanshed.core import edits
from banyanshed.core import entry as entries
from banyanshed.core import events
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.core import rows
from banyanshed.core import sheets
from standins import memory

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
DIGEST = models.KeyDigest("ab" * 32)
STEP_S = 0.05
TICK_STEPS = 20


@dataclasses.dataclass
class Site:
    name: str
    read: str
    book: str
    background: str
    tenant: str


SITES = [
    Site(
        "halvorsen",
        "availability-board",
        "bookings",
        "shop-records",
        "prairie-links",
    ),
    Site(
        "kagit-kanat",
        "workshop-reads",
        "seat-confirmations",
        "zone-plans",
        "turna-dernegi",
    ),
]


class CoreDriver:
    """Feeds events to the core of a host and records its decisions."""

    def __init__(self, site):
        text = (EXAMPLES / f"{site.name}.yaml").read_text(encoding="utf-8")
        self.now_s = 100.0
        self.lines = []
        self.table = memory.MemoryTable()
        self.version = 0
        self.request_count = 0
        self.entry = entries.EntryHost(
            settings.load(text), random.Random(7), self.now_s
        )
        self.decisions = {}

    def record(self, text):
        self.lines.append(f"{self.now_s:8.2f} {text}")

    def edit(self, text, *changed, deleted=()):
        """Applies changed rows, as a read of the store would."""
        self.version += 1
        changed_rows = [
            models.TableRow(
                rows.row_key(row),
                self.version,
                configuration.encode_row(row),
            )
            for row in changed
        ]
        for key in deleted:
            changed_rows.append(models.TableRow(key, self.version, None))
        delta = configuration.ConfigDelta(
            models.ConfigVersion(self.version - 1),
            models.ConfigVersion(self.version),
            tuple(changed_rows),
        )
        self.entry.apply_delta(self.now_s, delta)
        self.entry.gossip.on_version(self.now_s, self.version)
        self.record(f"edit {text}: version {self.version}")

    def run(self, seconds, *, store=True):
        """Advances time, with the store available or not."""
        steps = round(seconds / STEP_S)
        for step in range(steps):
            self.now_s += STEP_S
            self.table.now_s += STEP_S
            if store:
                self.entry.on_store_clock(
                    self.now_s, self.now_s, self.table.now_s
                )
                self.entry.freshness.on_store_read(self.now_s, self.version)
            self.run_share_transaction(store)
            if step % TICK_STEPS == 0:
                self.entry.gossip.tick(self.now_s)
            self.entry.refresh(self.now_s)
            self.tick()

    def tick(self):
        """Ticks, and checks that no request is decided when none waits.

        The daemon relies on this: it ticks less often while nothing waits.
        """
        waits = self.entry.traffic.has_waiting
        decided = len(self.decisions)
        self.entry.traffic.tick(self.now_s)
        assert waits or len(self.decisions) == decided

    def run_share_transaction(self, store):
        holder = self.entry.shares
        request = holder.next_request(self.now_s)
        if request is None:
            return
        if not store:
            holder.on_unavailable(self.now_s)
            return
        if isinstance(request, leases.ReadRequest):
            holder.on_page(self.now_s, self.table.read(request.keys))
            return
        try:
            commit = self.table.transact(request)
            holder.on_commit(self.now_s, commit)
        except exceptions.ConditionFailed as error:
            holder.on_conflict(self.now_s, error.rows)

    def send(self, service, method="GET", key=DIGEST, place=True):
        """Sends a request to the core and returns its ticket."""
        self.request_count += 1
        ticket = f"request-{self.request_count}"
        request = requests.CallerRequest(
            ticket,
            models.ServiceId(service),
            key,
            None,
            method,
            "/x",
            {},
            b"",
            60.0,
        )
        self.record(f"{ticket}: {method} {service}")

        def reply(decision):
            self.decisions[ticket] = decision
            self.record(f"{ticket}: {describe(decision)}")

        self.entry.traffic.handle(
            events.RequestArrived(request, self.now_s, place, reply),
            self.now_s,
        )
        return ticket

    def end_attempt(self, ticket, outcome, name):
        """Ends the current attempt of a request."""
        self.record(f"{ticket}: attempt ended: {name}")

        def reply(decision):
            self.decisions[ticket] = decision
            self.record(f"{ticket}: {describe(decision)}")

        self.entry.traffic.handle(
            events.AttemptEnded(ticket, outcome, reply), self.now_s
        )

    def answer(self, ticket):
        """Ends a request with an answer, if it was placed."""
        if not isinstance(self.decisions.get(ticket), events.Placed):
            return
        self.end_attempt(ticket, requests.Answer(200, {}, b"ok"), "answer 200")

    def fail(self, ticket, ran, code):
        failure = requests.AttemptFailure(ran, code)
        self.end_attempt(ticket, failure, f"{code}, ran {ran.value}")


def describe(decision):
    """Formats a decision as one line."""
    if isinstance(decision, events.Placed):
        target = decision.target
        return f"placed in {target.region} on {target.backend}"
    if isinstance(decision, events.Admitted):
        return f"admitted for {decision.tenant}"
    back = decision.retry_after_s
    when = "never" if back is None else f"after {back:.2f} s"
    return (
        f"refused {decision.status} {decision.code}, "
        f"ran {decision.ran.value}, retry {when}"
    )


def run_scenario(site):
    """Runs the events of the scenario and returns the transcript."""
    driver = CoreDriver(site)
    sheet = (EXAMPLES / f"{site.name}-table.csv").read_text(encoding="utf-8")
    table = [edit.row for edit in sheets.parse(sheet).edits]
    assert (
        edits.check_edit(
            configuration.Configuration(), sheets.parse(sheet).edits
        )
        == []
    )
    driver.send(site.read)
    driver.edit("of the whole table", *table)
    driver.send(site.read)
    driver.edit("issues a key", rows.KeyRow(digest=DIGEST, tenant=site.tenant))
    driver.run(8)
    run_requests(driver, site)
    run_limits(driver, site)
    run_changes(driver, site, table)
    return "\n".join(driver.lines) + "\n"


def run_requests(driver, site):
    read = driver.send(site.read)
    driver.answer(read)
    failed = driver.send(site.read)
    driver.fail(failed, models.Ran.UNKNOWN, "connection_lost")
    driver.answer(failed)
    booking = driver.send(site.book, "POST")
    driver.fail(booking, models.Ran.UNKNOWN, "connection_lost")
    booking = driver.send(site.book, "POST")
    driver.fail(booking, models.Ran.NO, "connect_failed")
    driver.answer(booking)
    lapsed = driver.send(site.read)
    driver.fail(lapsed, models.Ran.NO, "lease_lapsed")
    driver.answer(lapsed)
    driver.send("unknown-service")
    driver.send(site.book, key=None)
    driver.send(site.book, key=models.KeyDigest("cd" * 32))
    opened = driver.send(site.background, key=None)
    driver.answer(opened)


def run_limits(driver, site):
    at_work = [driver.send(site.read) for _ in range(12)]
    driver.run(1)
    for ticket in at_work:
        driver.answer(ticket)
    driver.run(8)


def run_changes(driver, site, table):
    home = driver.entry.region
    placement = next(
        row
        for row in table
        if isinstance(row, rows.PlacementRow)
        and (row.service, row.region) == (site.read, home)
    )
    drained = placement.model_copy(update={"weight": 0})
    driver.edit(f"takes weight from {site.read} in {home}", drained)
    driver.run(60)
    driver.answer(driver.send(site.read))
    driver.edit("withdraws the key", deleted=[f"config/key/{DIGEST}"])
    driver.send(site.read)
    driver.edit(
        "issues it again", rows.KeyRow(digest=DIGEST, tenant=site.tenant)
    )
    driver.run(1)
    driver.answer(driver.send(site.read))
    driver.record("the store is down")
    driver.run(3, store=False)
    driver.answer(driver.send(site.read))
    driver.run(600, store=False)
    driver.answer(driver.send(site.read))
    driver.record("the store is back; a planned stop")
    driver.run(3)
    driver.entry.traffic.close()
    driver.send(site.read)
    driver.entry.shares.release_all(driver.now_s)
    driver.run(2)
    held = [
        grant
        for key, row in driver.table.rows.items()
        if key.startswith("share/") and row.value
        for grant in row.value["grants"]
    ]
    driver.record(f"{len(held)} grants left")


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.name)
def test_session_of_a_site(site, snapshot):
    assert run_scenario(site) == snapshot


def test_tick_decides_requests_that_wait_for_a_share():
    site = SITES[0]
    driver = CoreDriver(site)
    sheet = (EXAMPLES / f"{site.name}-table.csv").read_text(encoding="utf-8")
    table = [edit.row for edit in sheets.parse(sheet).edits]
    key = rows.KeyRow(digest=DIGEST, tenant=site.tenant)
    driver.edit("of the whole table", *table, key)
    driver.entry.freshness.on_store_read(driver.now_s, driver.version)
    driver.entry.on_store_clock(driver.now_s, driver.now_s, driver.table.now_s)
    ticket = driver.send(site.read)
    assert ticket not in driver.decisions
    driver.run(8)
    assert ticket in driver.decisions

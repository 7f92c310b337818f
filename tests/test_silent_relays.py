"""Followers whose relays fall silent, on simulated time."""

import asyncio
import enum
import math
import random
import types

import msgspec
import pytest

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import feeds
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.gateway import peer_messages
from banyanshed.gateway import sources
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import waits
from tests import gateway_fleet
from tests import steering_cases as cases
from tests import test_waits
from tests import virtual_time

LINK_S = 0.055
RELAYS = ("h1", "h2")
# Moments at which relays fall silent, within the polls of their followers.
PHASES_S = [10.0 + 0.13 * number for number in range(20)]


class Silence(enum.Enum):
    """What becomes of connections to a host that falls silent.

    Attributes:
        FROZEN: The host's kernel accepts and acknowledges what is sent to it.
        DARK: Nothing is acknowledged, so that connections end after a while.
    """

    FROZEN = "frozen"
    DARK = "dark"


class Store:
    """Answers calls for one table with the changes made so far."""

    def __init__(self):
        self.version = 1
        self.changed = asyncio.Event()
        self.calls = 0

    def change(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_table(self, table):
        self.calls += 1
        await asyncio.sleep(2 * LINK_S)
        return self.make_page(0)

    async def read_changes(self, table, after, wait_s):
        self.calls += 1
        await asyncio.sleep(LINK_S)
        await self.wait_for_change(after.number, wait_s)
        await asyncio.sleep(LINK_S)
        return self.make_page(after.number)

    async def wait_for_change(self, number, wait_s):
        if self.version > number:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            pass

    def make_page(self, after):
        rows = ()
        if self.version > after:
            rows = (wire.Row("x", b"{}", self.version),)
        return wire.Page(rows, self.version, False, 1)


class Relay:
    """A relay that serves the store's table until it falls silent."""

    def __init__(self, store):
        self.store = store
        self.silence = None

    async def read_table(self, table):
        return await self.store.read_table(table)

    async def read_changes(self, table, after, wait_s):
        if self.silence is None:
            await self.store.wait_for_change(after.number, wait_s)
        if self.silence is None:
            return self.store.make_page(after.number)
        limit_s = wait_s + sources.PEER_TIMEOUT_S
        if self.silence is Silence.DARK:
            limit_s = min(limit_s, sources.PEER_TIMEOUT_S)
        await asyncio.sleep(limit_s)
        raise exceptions.StoreTimeout("timeout")

    def close(self):
        pass


class Follower:
    """A host's feed of one table, which reads from two relays."""

    def __init__(self, table, bounds):
        self.loop = asyncio.get_running_loop()
        self.store = Store()
        self.relays = {name: Relay(self.store) for name in RELAYS}
        hosts = [members.Host(name, name, "a1", 1) for name in RELAYS]
        own = members.Host("h3", "h3", "a1", 1)
        known = types.SimpleNamespace(
            fleet=types.SimpleNamespace(own=own),
            is_needed=lambda now: True,
            own_region_relays=lambda now: hosts,
        )
        counters = metrics.Metrics()
        self.applier = appliers.Applier(
            cases.make_view(now=0.0),
            lambda server: None,
            lambda configuration: None,
            counters,
            waits.Waits(bounds),
            self.loop.time,
        )
        self.mirror = mirrors.Mirror(table)
        chosen = sources.Sources(self.store, known, self.applier, 1)
        chosen.peers.update(self.relays)
        self.feed = feeds.Feed(self.mirror, chosen, self.applier, counters)

    async def learn(self):
        """Changes the table; returns how long the follower takes to know."""
        changed_at = self.loop.time()
        self.store.change()
        while self.mirror.version < self.store.version:
            await asyncio.sleep(0.01)
        return self.loop.time() - changed_at


def run_follower(scenario, table, bounds, *arguments):
    async def run():
        follower = Follower(table, bounds)
        task = asyncio.ensure_future(follower.feed.run())
        try:
            return await scenario(follower, *arguments)
        finally:
            task.cancel()

    return virtual_time.run(run())


@pytest.mark.parametrize("bounds", test_waits.BOUNDS)
@pytest.mark.parametrize("table", [wire.OPERATOR_TABLE, wire.SERVER_TABLE])
@pytest.mark.parametrize("silence", list(Silence))
def test_a_follower_learns_in_time_when_both_relays_fall_silent(
    silence, table, bounds
):
    async def scenario(follower, phase_s):
        await asyncio.sleep(phase_s)
        for relay in follower.relays.values():
            relay.silence = silence
        learned_s = await follower.learn()
        limit_s = follower.applier.waits_of(table).bound_s
        assert learned_s + waits.DELIVERY_S <= limit_s

    for phase_s in PHASES_S:
        run_follower(scenario, table, bounds, phase_s)


async def send_heartbeats(relay, follower, rng):
    """Reports a relay's answers of the store to its follower."""
    loop = asyncio.get_running_loop()
    all_waits = follower.applier.waits
    poll_s = follower.applier.waits_of(follower.mirror.table).relay_poll_s
    answered_at = loop.time() - rng.uniform(0.0, poll_s)
    while relay.silence is None:
        await asyncio.sleep(rng.uniform(0.8, 1.2) * all_waits.heartbeat_s)
        while answered_at + poll_s + 2 * LINK_S <= loop.time():
            answered_at += poll_s + 2 * LINK_S
        version = models.TableVersion(1, follower.store.version)
        follower.mirror.verify(version, answered_at)


@pytest.mark.parametrize("bounds", test_waits.BOUNDS)
@pytest.mark.parametrize("table", [wire.OPERATOR_TABLE, wire.SERVER_TABLE])
def test_a_follower_makes_no_store_calls_while_its_relays_report(table, bounds):
    async def scenario(follower):
        rng = random.Random(1)
        tasks = [
            asyncio.ensure_future(send_heartbeats(relay, follower, rng))
            for relay in follower.relays.values()
        ]
        await asyncio.sleep(60.0)
        for task in tasks:
            task.cancel()
        # The full read at the start.
        assert follower.store.calls == 1

    run_follower(scenario, table, bounds)


@pytest.mark.parametrize("bounds", test_waits.BOUNDS)
def test_a_follower_of_silent_relays_rarely_calls_the_store(bounds):
    async def scenario(follower):
        for relay in follower.relays.values():
            relay.silence = Silence.FROZEN
        await asyncio.sleep(60.0)
        limit_s = follower.applier.waits.operator_table.max_unverified_s
        assert follower.store.calls <= 1 + 60.0 / limit_s

    run_follower(scenario, wire.OPERATOR_TABLE, bounds)


def make_mirror(number, era=1):
    mirror = mirrors.Mirror("op")
    mirror.is_known = True
    mirror.era, mirror.version, mirror.changed_version = era, number, number
    return mirror


@pytest.mark.parametrize(
    "version", [models.TableVersion(1, 6), models.TableVersion(2, 5)]
)
def test_a_peer_with_rows_that_the_host_lacks_verifies_nothing(version):
    mirror = make_mirror(5)
    mirror.verify(version, 100.0)
    assert mirror.verified_at == -math.inf
    mirror.verify(models.TableVersion(1, 5), 100.0)
    assert mirror.verified_at == 100.0


def test_hosts_report_only_what_the_store_answered_themselves():
    mirror = make_mirror(5)
    mirror.verify(models.TableVersion(1, 5), 100.0)
    assert mirror.report(101.0).answer_age_s == math.inf
    mirror.record_answer(102.0)
    assert mirror.report(103.0).answer_age_s == 1.0


@pytest.mark.parametrize("age_s", [0.0, 1.25, math.inf])
def test_a_copied_table_tells_the_age_of_the_stores_answer(age_s):
    mirror = make_mirror(5)
    mirror.answered_at = 100.0 - age_s
    data = peer_messages.encode_table(mirror, 100.0)
    page = peer_messages.decode_table(data, "op", 100.0)
    assert page.answer_age_s == age_s


def test_a_process_that_stood_still_takes_its_tables_as_outdated():
    async def scenario(fleet):
        gossip = fleet.hosts["h1"].gossip
        mirror = gossip.mirrors["op"]
        now = gossip.loop.time()
        gossip.check_for_stall(1000.0, now)
        gossip.check_for_stall(1000.1, now)
        mirror.record_answer(now)
        gossip.check_for_stall(1002.0, now)
        assert mirror.report(now).answer_age_s == math.inf
        # Reports that waited meanwhile say nothing.
        report = members.TableReport(mirror.table_version(), 0, 0.0)
        gossip._verify_tables(report, report, now)
        assert mirror.verified_at == -math.inf
        gossip._verify_tables(report, report, now + 1.0)
        assert mirror.verified_at == now + 1.0

    gateway_fleet.run_scenario(scenario)


class EarlierTable(msgspec.Struct, array_like=True):
    """A table as hosts of earlier releases decode it."""

    version: int
    rows: list[peer_messages.EncodedRow]
    era: int = 0
    confirmed: list[peer_messages.EncodedConfirmed] = []


def test_hosts_of_earlier_releases_and_this_one_read_each_others_tables():
    mirror = make_mirror(5)
    mirror.answered_at = 99.0
    data = peer_messages.encode_table(mirror, 100.0)
    earlier = msgspec.msgpack.decode(data, type=EarlierTable)
    assert (earlier.version, earlier.era) == (5, 1)
    data = msgspec.msgpack.encode(earlier)
    page = peer_messages.decode_table(data, "op", 100.0)
    assert (page.version, page.answer_age_s) == (5, math.inf)

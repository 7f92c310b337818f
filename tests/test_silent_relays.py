"""Followers whose relays fall silent, on simulated time."""

import asyncio
import enum
import types

import pytest

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import feeds
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.gateway import sources
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import waits
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


def run_follower(scenario, table, bounds):
    async def run():
        follower = Follower(table, bounds)
        task = asyncio.ensure_future(follower.feed.run())
        try:
            return await scenario(follower)
        finally:
            task.cancel()

    return virtual_time.run(run())


@pytest.mark.parametrize("bounds", test_waits.BOUNDS)
@pytest.mark.parametrize("table", [wire.OPERATOR_TABLE, wire.SERVER_TABLE])
@pytest.mark.parametrize("silence", list(Silence))
def test_a_follower_learns_in_time_when_both_relays_fall_silent(
    silence, table, bounds
):
    async def scenario(follower):
        await asyncio.sleep(phase_s)
        for relay in follower.relays.values():
            relay.silence = silence
        learned_s = await follower.learn()
        limit_s = follower.applier.waits_of(table).bound_s
        assert learned_s + waits.DELIVERY_S <= limit_s

    for phase_s in PHASES_S:
        run_follower(scenario, table, bounds)

"""Servers that leave are dropped within the bound on draining."""

import asyncio
import random

import pytest

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import feeds
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.gateway import sources
from banyanshed.platform import wire
from banyanshed.steering import models
from banyanshed.steering import waits
from tests import steering_cases as cases
from tests import virtual_time

DRAIN_S = 2.5
STABLE_S = 3.0
TABLES = (wire.OPERATOR_TABLE, wire.SERVER_TABLE)


class Store:
    """A fake store that can reject the host's calls."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.changes = []
        self.changed = asyncio.Event()
        self.rejects_calls = False

    def change(self, table, key, value):
        row = wire.Row(key, value, len(self.changes) + 1)
        self.changes.append((table, row))
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_table(self, table):
        after = models.TableVersion(0, -1)
        return await self.read_changes(table, after, 0.0)

    async def read_changes(self, table, after, wait_s):
        await asyncio.sleep(0.004)
        end_at = self.loop.time() + wait_s
        while True:
            if self.rejects_calls:
                raise exceptions.StoreUnavailable("status 429")
            rows = [
                row
                for of_table, row in self.changes
                if of_table == table and row.version > after.number
            ]
            if rows or self.loop.time() >= end_at:
                return wire.Page(tuple(rows), len(self.changes), False)
            try:
                async with asyncio.timeout_at(end_at):
                    await self.changed.wait()
            except TimeoutError:
                continue


class StoreOnlySources:
    """Fake of sources.Sources that always chooses the store."""

    def __init__(self, store):
        self.store = sources.Source("store", store, 20.0, True)

    def choose(self, table, failures, is_outdated, now):
        del table, failures, now
        return self.store


def server_value(id_, number=0):
    return (
        f'{{"addr": "10.0.0.1:{8000 + number}", "info": {{"backend": "s",'
        f' "zone": "a1", "slots": 4}}, "status": {{"state": "ready"}},'
        f' "born": {number}}}'
    ).encode()


class FollowingHost:
    """The parts of a host that run feeds and drop missing servers."""

    def __init__(self, store):
        loop = asyncio.get_running_loop()
        self.view = cases.make_view(0)
        self.applier = appliers.Applier(
            self.view,
            lambda _: None,
            lambda _: None,
            metrics.Metrics(),
            waits.Waits(models.Bounds(drain_s=DRAIN_S, stable_s=STABLE_S)),
            loop.time,
        )
        self.feeds = [
            feeds.Feed(
                mirrors.Mirror(table),
                StoreOnlySources(store),
                self.applier,
                metrics.Metrics(),
            )
            for table in TABLES
        ]

    def start(self):
        """Starts the feeds and housekeeping; returns their tasks."""
        runs = [feed.run() for feed in self.feeds]
        return [
            asyncio.ensure_future(run)
            for run in [*runs, self.run_housekeeping()]
        ]

    async def run_housekeeping(self):
        while True:
            await asyncio.sleep(waits.HOUSEKEEPING_S)
            self.applier.drop_missing()


async def change_often(store, rng):
    """Changes both tables repeatedly, as when other servers come and go."""
    number = 100
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        number += 1
        store.change(wire.OPERATOR_TABLE, "evacuate/x", b"{}")
        store.change(wire.SERVER_TABLE, "other", server_value("other", number))


def start_following():
    """Returns a store, a host that reads from it, and the host's tasks."""
    store = Store()
    for number in range(8):
        id_ = f"i{number}"
        store.change(wire.SERVER_TABLE, id_, server_value(id_, number))
    host = FollowingHost(store)
    return store, host, host.start()


async def sleep_until(at):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, at - loop.time()))


@pytest.mark.parametrize("busy", [True, False])
def test_a_server_removed_around_an_outage_is_dropped_within_the_bound(busy):
    # The bound applies once the store has answered the host again for STABLE_S.
    async def play(seed):
        rng = random.Random(seed)
        random.seed(seed)
        store, host, tasks = start_following()
        if busy:
            tasks.append(asyncio.ensure_future(change_often(store, rng)))
        outage_at = 10.0
        recovers_at = outage_at + rng.uniform(3.0, 9.0)
        leaves_at = recovers_at + rng.uniform(-2.5, 1.5)
        await sleep_until(outage_at)
        assert "i1" in host.view.servers
        store.rejects_calls = True
        store.change("other", "x", b"")
        for at, is_recovery in sorted(
            [(recovers_at, True), (leaves_at, False)]
        ):
            await sleep_until(at)
            if is_recovery:
                store.rejects_calls = False
            else:
                store.change(wire.SERVER_TABLE, "i1", None)
        await sleep_until(max(leaves_at + DRAIN_S, recovers_at + STABLE_S))
        for task in tasks:
            task.cancel()
        return "i1" not in host.view.servers

    failed_seeds = [
        seed for seed in range(200) if not virtual_time.run(play(seed))
    ]
    assert not failed_seeds


@pytest.mark.parametrize("count", [3, 8])
def test_a_mass_removal_takes_effect_within_the_bound(count):
    async def play(seed):
        rng = random.Random(seed)
        random.seed(seed)
        store, host, tasks = start_following()
        tasks.append(asyncio.ensure_future(change_often(store, rng)))
        await asyncio.sleep(10.0 + rng.random())
        leaving = {f"i{number}" for number in range(count)}
        assert leaving <= set(host.view.servers)
        for id_ in sorted(leaving):
            store.change(wire.SERVER_TABLE, id_, None)
        await asyncio.sleep(DRAIN_S)
        for task in tasks:
            task.cancel()
        return not leaving & set(host.view.servers)

    failed_seeds = [
        seed for seed in range(100) if not virtual_time.run(play(seed))
    ]
    assert not failed_seeds


def test_changes_are_requested_right_after_a_full_read():
    async def play():
        store, host, tasks = start_following()
        await asyncio.sleep(0.02)
        assert host.view.servers
        store.change(wire.SERVER_TABLE, "i9", server_value("i9", 9))
        await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        return "i9" in host.view.servers

    assert virtual_time.run(play())

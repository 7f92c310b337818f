"""What goes wrong in a play: drawn from a seed, in series and overlapping."""

import asyncio
import dataclasses
import signal

from standins import store as store_lib
from tests.soak import proxies
from tests.soak import records as r
from tests.soak import world as world_lib

MIN_SERVERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """One thing that goes wrong.

    Attributes:
        at: When it begins.
        kind: Name of the method of `Troubles` that does it.
        for_s: How long it lasts, where it lasts.
    """

    at: float
    kind: str
    for_s: float


def draw(rng, length_s):
    """Returns the troubles of a play, in order of time."""
    found = []
    for _ in range(rng.randint(4, 4 + int(length_s / 2))):
        at = rng.uniform(0.5, length_s)
        kind = rng.choice(KINDS)
        found.append(Trouble(at, kind, rng.uniform(0.3, 4.0)))
        if rng.random() < 0.3:
            # A series: the same again soon after, perhaps before it ended.
            again = at + rng.uniform(0.1, 2.0)
            found.append(Trouble(again, kind, rng.uniform(0.3, 2.0)))
    return sorted(found, key=lambda trouble: trouble.at)


class Troubles:
    """Does what was drawn."""

    def __init__(self, world):
        self.world = world
        self.rng = world.rng
        self.busy_hosts = set()

    async def play(self, troubles):
        tasks = []
        for trouble in troubles:
            delay_s = trouble.at - self.world.now()
            await asyncio.sleep(max(0.0, delay_s))
            tasks.append(asyncio.ensure_future(self._do(trouble)))
        await asyncio.gather(*tasks)

    async def _do(self, trouble):
        await getattr(self, trouble.kind)(trouble.for_s)

    def _note(self, kind, target, start):
        span = r.Span(kind, target, start, self.world.now())
        self.world.records.spans.append(span)

    def _take_host(self):
        """Returns a host with which nothing is wrong, unless it is the last."""
        free = [
            host
            for name, host in self.world.hosts.items()
            if name not in self.busy_hosts
        ]
        if len(free) < 2:
            return None
        host = self.rng.choice(free)
        self.busy_hosts.add(host.name)
        return host

    async def _start_again(self, host, kind, start):
        host.start()
        await self.world.await_ready(host)
        self._note(kind, host.name, start)
        self.busy_hosts.discard(host.name)

    async def stop_host(self, for_s):
        host = self._take_host()
        if host is None:
            return
        start = self.world.now()
        host.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(world_lib.GRACE_S):
                await host.wait_ended()
        except TimeoutError:
            self._note("overdue", host.name, start)
            host.kill()
        await asyncio.sleep(for_s / 4.0)
        await self._start_again(host, "stop", start)

    async def kill_host(self, for_s):
        host = self._take_host()
        if host is None:
            return
        start = self.world.now()
        host.kill()
        await asyncio.sleep(for_s / 2.0)
        await self._start_again(host, "kill", start)

    async def pause_host(self, for_s):
        host = self._take_host()
        if host is None:
            return
        start = self.world.now()
        host.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        host.send(signal.SIGCONT)
        self._note("pause", host.name, start)
        self.busy_hosts.discard(host.name)

    async def reload_host(self, for_s):
        host = self.rng.choice(list(self.world.hosts.values()))
        host.change_settings()
        host.send(signal.SIGHUP)

    async def harm_store_link(self, for_s):
        host = self.rng.choice(list(self.world.hosts.values()))
        await self._harm(host.store_proxy, host.name, for_s)

    async def harm_server_link(self, for_s):
        server = self.rng.choice(list(self.world.servers.values()))
        await self._harm(server.proxy, server.id, for_s)

    async def _harm(self, proxy, target, for_s):
        start = self.world.now()
        harms = [h for h in proxies.Harm if h is not proxies.Harm.NONE]
        proxy.set_harm(self.rng.choice(harms))
        await asyncio.sleep(for_s)
        proxy.set_harm(proxies.Harm.NONE)
        self._note("harm", target, start)

    async def harm_store(self, for_s):
        start = self.world.now()
        store = self.world.store
        faults = [f for f in store_lib.Fault if f is not store_lib.Fault.NONE]
        store.fault = self.rng.choice(faults)
        await asyncio.sleep(for_s)
        store.fault = store_lib.Fault.NONE
        self._note("harm", "store", start)

    async def forget_history(self, for_s):
        start = self.world.now()
        self.world.store.forget_history()
        self._note("harm", "store", start)

    async def slow_server(self, for_s):
        server = self.rng.choice(list(self.world.servers.values()))
        start = self.world.now()
        server.slow_factor = self.rng.choice([4.0, 20.0])
        await asyncio.sleep(for_s)
        server.slow_factor = 1.0
        self._note("slow", server.id, start)

    async def failing_server(self, for_s):
        server = self.rng.choice(list(self.world.servers.values()))
        start = self.world.now()
        server.failing_share = self.rng.choice([0.1, 0.5, 1.0])
        await asyncio.sleep(for_s)
        server.failing_share = 0.0
        self._note("failing", server.id, start)

    async def drain_server(self, for_s):
        world = self.world
        if len(world.servers) <= MIN_SERVERS:
            return
        server = world.servers.pop(self.rng.choice(sorted(world.servers)))
        await server.register("draining")
        self._mark("draining", server.id)
        await asyncio.sleep(for_s)
        await world.store.remove("servers", server.id)
        self._mark("gone", server.id)

    async def add_server(self, for_s):
        world = self.world
        number = 100 + len(world.records.spans) + len(world.servers)
        while f"i{number}" in world.servers:
            number += 1
        server = world_lib.Server(world, f"i{number}")
        await server.start(world.stack)
        world.servers[server.id] = server

    async def change_configuration(self, for_s):
        self.world.version += 1
        await self.world.put_configuration()

    async def withdraw_key(self, for_s):
        world = self.world
        if len(world.keys) < 2:
            return
        key = world.keys.pop()
        world.version += 1
        await world.put_configuration()
        self._mark("withdrawn", key)

    def _mark(self, kind, name):
        mark = r.Mark(kind, name, self.world.now())
        self.world.records.marks.append(mark)


KINDS = (
    "stop_host",
    "stop_host",
    "kill_host",
    "pause_host",
    "reload_host",
    "harm_store_link",
    "harm_store_link",
    "harm_server_link",
    "harm_server_link",
    "harm_store",
    "forget_history",
    "slow_server",
    "failing_server",
    "drain_server",
    "add_server",
    "change_configuration",
    "withdraw_key",
)

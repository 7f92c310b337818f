"""Fault injection of a soak run: faults drawn from a seed, may overlap."""

import asyncio
import dataclasses
import random
import signal

from standins import store as store_lib
from tests.soak import cluster as cluster_lib
from tests.soak import proxies
from tests.soak import records as records_lib

MIN_SERVERS = 4
LIMITS = (0.5, 2.0, 8.0)
# A server names its limit for longer than hosts may take to keep it.
MIN_LIMIT_S = 6.0
# Time in seconds from a write without an answer until the store performs it,
# and after which the store drops the entry of a silent server.
LATE_WRITE_S = (1.0, 6.0)
LAPSE_S = 4.5


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A scheduled fault or change.

    Attributes:
        at: When it begins, in seconds since the start of the run.
        kind: Name of the method of `FaultInjector` that applies it.
        for_s: Duration in seconds; unused by kinds that take effect at once.
    """

    at: float
    kind: str
    for_s: float


def draw_faults(rng, length_s):
    """Returns the faults of a run, ordered by time."""
    faults = []
    for _ in range(rng.randint(4, 4 + int(length_s / 2))):
        at = rng.uniform(0.5, length_s)
        kind = rng.choice(KINDS)
        faults.append(Fault(at, kind, rng.uniform(0.3, 4.0)))
        if rng.random() < 0.3:
            # The same kind again soon after, possibly before the first ends.
            again = at + rng.uniform(0.1, 2.0)
            faults.append(Fault(again, kind, rng.uniform(0.3, 2.0)))
    return sorted(faults, key=lambda fault: fault.at)


def draw_limits(rng, length_s):
    """Returns the moments at which servers begin to name limits."""
    limits = []
    for _ in range(rng.randint(1, 2)):
        at = rng.uniform(0.5, length_s)
        for_s = MIN_LIMIT_S + rng.uniform(0.0, 4.0)
        limits.append(Fault(at, "limit_server", for_s))
    return limits


def draw_restores(rng, length_s):
    """Returns the moments of the copies from which the store is restored."""
    restores = []
    for _ in range(rng.randint(0, 2)):
        at = rng.uniform(0.5, length_s)
        restores.append(Fault(at, "restore_store", rng.uniform(0.5, 4.0)))
    return restores


def draw_deadly_requests(rng, length_s):
    """Returns when a request begins to crash the servers that run it."""
    if rng.random() < 0.5:
        return []
    at = rng.uniform(0.5, length_s)
    return [Fault(at, "send_deadly_requests", rng.uniform(4.0, 10.0))]


def draw_departures(rng, length_s):
    """Returns when servers leave unannounced, and how late a write comes."""
    departures = []
    for _ in range(rng.randint(0, 2)):
        at = rng.uniform(0.5, length_s)
        late_s = rng.uniform(*LATE_WRITE_S)
        departures.append(Fault(at, "leave_unannounced", late_s))
    return departures


class FaultInjector:
    """Applies scheduled faults to a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.rng = cluster.rng
        self.busy_hosts = set()

    async def inject(self, faults):
        tasks = []
        for fault in faults:
            delay_s = fault.at - self.cluster.now()
            await asyncio.sleep(max(0.0, delay_s))
            tasks.append(asyncio.ensure_future(self._apply(fault)))
        await asyncio.gather(*tasks)

    async def _apply(self, fault):
        await getattr(self, fault.kind)(fault.for_s)

    def _record_interval(self, kind, target, start):
        interval = records_lib.FaultInterval(
            kind, target, start, self.cluster.now()
        )
        self.cluster.records.fault_intervals.append(interval)

    def _acquire_host(self):
        """Reserves a host without a fault; None if at most one is left."""
        free = [
            host
            for name, host in self.cluster.hosts.items()
            if name not in self.busy_hosts
        ]
        if len(free) < 2:
            return None
        host = self.rng.choice(free)
        self.busy_hosts.add(host.name)
        return host

    async def _restart_host(self, host, kind, start):
        await host.start()
        await self.cluster.wait_until_ready(host)
        self._record_interval(kind, host.name, start)
        self.busy_hosts.discard(host.name)

    async def stop_host(self, for_s):
        host = self._acquire_host()
        if host is None:
            return
        start = self.cluster.now()
        host.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(cluster_lib.GRACE_S):
                await host.wait_ended()
        except TimeoutError:
            self._record_interval("overdue", host.name, start)
            await host.end()
        await asyncio.sleep(for_s / 4.0)
        await self._restart_host(host, "stop", start)

    async def kill_host(self, for_s):
        host = self._acquire_host()
        if host is None:
            return
        start = self.cluster.now()
        await host.end()
        await asyncio.sleep(for_s / 2.0)
        await self._restart_host(host, "kill", start)

    async def pause_host(self, for_s):
        host = self._acquire_host()
        if host is None:
            return
        start = self.cluster.now()
        host.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        host.send(signal.SIGCONT)
        self._record_interval("pause", host.name, start)
        self.busy_hosts.discard(host.name)

    async def reload_host(self, for_s):
        host = self.rng.choice(list(self.cluster.hosts.values()))
        host.change_settings()
        host.send(signal.SIGHUP)

    async def disrupt_store_link(self, for_s):
        host = self.rng.choice(list(self.cluster.hosts.values()))
        await self._disrupt_link(host.store_proxy, host.name, for_s)

    async def disrupt_server_link(self, for_s):
        server = self.rng.choice(list(self.cluster.servers.values()))
        await self._disrupt_link(server.proxy, server.id, for_s)

    async def _disrupt_link(self, proxy, target, for_s):
        start = self.cluster.now()
        link_faults = [
            f for f in proxies.LinkFault if f is not proxies.LinkFault.NONE
        ]
        proxy.set_fault(self.rng.choice(link_faults))
        await asyncio.sleep(for_s)
        proxy.set_fault(proxies.LinkFault.NONE)
        self._record_interval("harm", target, start)

    async def disrupt_store(self, for_s):
        start = self.cluster.now()
        store = self.cluster.store
        faults = [f for f in store_lib.Fault if f is not store_lib.Fault.NONE]
        store.fault = self.rng.choice(faults)
        await asyncio.sleep(for_s)
        store.fault = store_lib.Fault.NONE
        self._record_interval("harm", "store", start)

    async def forget_history(self, for_s):
        start = self.cluster.now()
        self.cluster.store.forget_history()
        self._record_interval("harm", "store", start)

    async def restore_store(self, for_s):
        """Restores the store from a copy that is `for_s` seconds old."""
        store = self.cluster.store
        copy = store.copy()
        await asyncio.sleep(for_s)
        start = self.cluster.now()
        store.fault = store_lib.Fault.BUSY
        await store.restore(copy)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        store.fault = store_lib.Fault.NONE
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self.cluster.write_again()
        self._record_interval("harm", "store", start)

    async def send_deadly_requests(self, for_s):
        until = self.cluster.now() + for_s
        self.cluster.deadly_until = until
        self.cluster.records.deadly_until = until
        await asyncio.sleep(for_s)

    async def slow_server(self, for_s):
        server = self.rng.choice(list(self.cluster.servers.values()))
        start = self.cluster.now()
        server.slow_factor = self.rng.choice([4.0, 20.0])
        await asyncio.sleep(for_s)
        server.slow_factor = 1.0
        self._record_interval("slow", server.id, start)

    async def failing_server(self, for_s):
        server = self.rng.choice(list(self.cluster.servers.values()))
        start = self.cluster.now()
        server.failing_share = self.rng.choice([0.1, 0.5, 1.0])
        await asyncio.sleep(for_s)
        server.failing_share = 0.0
        self._record_interval("failing", server.id, start)

    async def limit_server(self, for_s):
        server = self.rng.choice(list(self.cluster.servers.values()))
        if server.limit is not None:
            return
        start = self.cluster.now()
        rate = self.rng.choice(LIMITS)
        server.limit = rate
        await asyncio.sleep(for_s)
        server.limit = None
        interval = records_lib.LimitInterval(
            server.id, rate, start, self.cluster.now()
        )
        self.cluster.records.limits.append(interval)

    async def drain_server(self, for_s):
        cluster = self.cluster
        if len(cluster.servers) <= MIN_SERVERS:
            return
        server = cluster.servers.pop(self.rng.choice(sorted(cluster.servers)))
        cluster.leaving[server.id] = server
        await server.register("draining")
        self._record_change("draining", server.id)
        await asyncio.sleep(for_s)
        del cluster.leaving[server.id]
        await cluster.store.remove("servers", server.id)
        self._record_change("gone", server.id)

    async def leave_unannounced(self, for_s):
        """Removes a server's entry, which a late write brings back."""
        cluster = self.cluster
        if len(cluster.servers) <= MIN_SERVERS:
            return
        # A generator of its own, so that the others' draws stay the same.
        rng = random.Random(for_s)
        server = cluster.servers.pop(rng.choice(sorted(cluster.servers)))
        late = server.next_entry("ready")
        server.state = "draining"
        await cluster.store.remove("servers", server.id)
        self._record_change("gone", server.id)
        await asyncio.sleep(for_s)
        await cluster.store.put("servers", server.id, late)
        await asyncio.sleep(LAPSE_S)
        await cluster.store.remove("servers", server.id)

    async def add_server(self, for_s):
        cluster = self.cluster
        number = (
            100 + len(cluster.records.fault_intervals) + len(cluster.servers)
        )
        while f"i{number}" in cluster.ids:
            number += 1
        server = cluster_lib.Server(cluster, f"i{number}")
        await server.start(cluster.stack)
        cluster.servers[server.id] = server

    async def change_configuration(self, for_s):
        self.cluster.version += 1
        await self.cluster.put_configuration()

    async def withdraw_key(self, for_s):
        cluster = self.cluster
        if len(cluster.keys) < 2:
            return
        key = cluster.keys.pop()
        cluster.version += 1
        await cluster.put_configuration()
        self._record_change("withdrawn", key)

    def _record_change(self, kind, name):
        change = records_lib.AcknowledgedChange(kind, name, self.cluster.now())
        self.cluster.records.acknowledged.append(change)


KINDS = (
    "stop_host",
    "stop_host",
    "kill_host",
    "pause_host",
    "reload_host",
    "disrupt_store_link",
    "disrupt_store_link",
    "disrupt_server_link",
    "disrupt_server_link",
    "disrupt_store",
    "forget_history",
    "slow_server",
    "failing_server",
    "drain_server",
    "add_server",
    "change_configuration",
    "withdraw_key",
)

"""Simulation of a few ShareHolders that share a table in memory.

It injects faults and advances a true time, from which each host's own clock
drifts.
"""

import dataclasses
import random

from banyanshed import exceptions
from banyanshed.core import admissions
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares
from standins import memory

TENANT = models.TenantId("acme")
BOOKINGS = models.ServiceId("bookings")
SASK = models.RegionId("sask")
ALBERTA = models.RegionId("alberta")
DEADLINE_S = 5.0
TICK_S = 0.25


def make_limits(version=1, rate=20, burst=12, units=12, weight=100, cap=4):
    version = models.ConfigVersion(version)
    return (
        shares.RateLimit(shares.tenant_key(TENANT), version, rate, burst),
        shares.UnitLimit(
            shares.placement_key(BOOKINGS, SASK),
            version,
            units,
            weight,
            cap,
            DEADLINE_S,
        ),
        shares.RateLimit(
            shares.link_key(SASK, ALBERTA), version, 1000, 1000, DEADLINE_S
        ),
    )


@dataclasses.dataclass
class RunningRequest:
    """A request at a backend server, which ends regardless of its host.

    Attributes:
        ends_s: True time at which it ends.
        unit: Unit that it holds, if any.
        reservation: Reservation of link bytes that it holds, if any.
        used: Bytes that its response sends over the link.
    """

    ends_s: float
    unit: admissions.Unit | None
    reservation: admissions.Reservation | None
    used: float


@dataclasses.dataclass
class SimulatedHost:
    """A host process with its own clock.

    Attributes:
        holder: Its shares.
        offset_s: Its clock at true time 0.
        speed: Seconds of its clock per true second.
        fault: What happens to its transactions.
        paused_until_s: True time until which the process is paused.
        heartbeats_blocked: No heartbeats reach or leave it.
        running: Its running requests.
    """

    holder: leases.ShareHolder
    offset_s: float
    speed: float
    fault: str = "none"
    paused_until_s: float = 0.0
    heartbeats_blocked: bool = False
    running: list[RunningRequest] = dataclasses.field(default_factory=list)


class RateChecker:
    """Checks that usage stays within rate x window + burst in any window."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.tokens, self.at_s = burst, 0.0

    def spend(self, now_s, amount):
        refill = (now_s - self.at_s) * self.rate
        self.tokens = min(self.burst, self.tokens + refill) - amount
        self.at_s = now_s
        assert self.tokens >= -1e-6 * self.burst, (
            f"{-self.tokens:.3f} above rate x window + burst"
        )


class Fleet:
    """Hosts and their table; checks what all hosts do against the limits."""

    def __init__(self, hosts=4, lease_s=40.0, seed=0, limits=None):
        self.rng = random.Random(seed)
        self.lease_s = lease_s
        self.limits = limits or make_limits()
        self.table = memory.MemoryTable()
        self.now_s = 0.0
        self.store_down = False
        # Hosts that reach neither the store nor the hosts outside this set.
        self.partitioned = frozenset()
        self.incarnations = 0
        self.delayed_transactions = []
        self.killed = []
        self.overloaded = set()
        self.names = [models.HostId(f"h{i}") for i in range(hosts)]
        self.nodes = {name: self.start(name) for name in self.names}
        tenant, _, link = self.limits
        self.request_checker = RateChecker(tenant.rate, tenant.burst)
        self.byte_checker = RateChecker(link.rate, link.burst)

    def start(self, name):
        self.incarnations += 1
        holder = leases.ShareHolder(
            name,
            sessions.Incarnation(str(self.incarnations)),
            random.Random(self.incarnations),
            self.lease_s,
        )
        holder.set_limits(self.limits)
        holder.set_peers(self.names)
        drift = sessions.CLOCK_DRIFT
        return SimulatedHost(
            holder,
            self.rng.uniform(0, 1e6),
            1 + self.rng.uniform(-drift, drift),
        )

    def clock(self, node):
        return node.offset_s + self.now_s * node.speed

    def is_running(self, node):
        return node.paused_until_s <= self.now_s

    def kill(self, name):
        self.killed.append(self.nodes.pop(name))

    def replace(self, name):
        if name in self.nodes:
            self.kill(name)
        self.nodes[name] = self.start(name)

    def in_use(self):
        hosts = [*self.nodes.values(), *self.killed]
        return sum(
            request.unit is not None
            for node in hosts
            for request in node.running
        )

    def admit(self, name, count=1):
        """Sends requests to a host; returns how many it admitted."""
        node = self.nodes.get(name)
        if node is None or not self.is_running(node):
            return 0
        admitted = 0
        for _ in range(count):
            if node.holder.admit(self.clock(node), TENANT).admitted:
                self.request_checker.spend(self.now_s, 1)
                admitted += 1
        return admitted

    def begin_requests(self, name, count=1, last_s=0.3, size=60.0):
        """Lets a host start requests at backend servers, within its shares."""
        node = self.nodes.get(name)
        if node is None or not self.is_running(node):
            return
        for _ in range(count):
            now_s = self.clock(node)
            unit = node.holder.acquire(now_s, BOOKINGS, SASK)
            reservation = node.holder.reserve_bytes(now_s, SASK, ALBERTA, size)
            if unit is None and reservation is None:
                continue
            used = size * self.rng.uniform(0.3, 1.0)
            request = RunningRequest(
                self.now_s + last_s, unit, reservation, used
            )
            node.running.append(request)
        units = self.limits[1].limit
        assert self.in_use() <= units, f"{self.in_use()} at work of {units}"

    def advance(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.tick()

    def tick(self):
        self.now_s += TICK_S
        self.table.now_s += TICK_S
        for transaction, due_s in list(self.delayed_transactions):
            if due_s <= self.now_s:
                self.delayed_transactions.remove((transaction, due_s))
                self.apply(transaction)
        for node in [*self.nodes.values(), *self.killed]:
            self.end_requests(node)
        for name in sorted(self.overloaded):
            self.admit(name, 12)
            self.begin_requests(name, 6, self.rng.choice([0.2, 1.0, 4.9]))
        for node in list(self.nodes.values()):
            if self.is_running(node):
                self.exchange_with_store(node)
                self.send_heartbeats(node)

    def end_requests(self, node):
        """Ends due requests: counts their bytes and informs their host."""
        for request in list(node.running):
            if request.ends_s > self.now_s:
                continue
            if request.reservation is not None:
                self.byte_checker.spend(self.now_s, request.used)
            node.running.remove(request)
            if request.unit is not None:
                node.holder.release(self.clock(node), request.unit)
            if request.reservation is not None:
                node.holder.settle_bytes(
                    self.clock(node), request.reservation, request.used
                )

    def apply(self, transaction):
        try:
            return self.table.transact(transaction)
        except exceptions.ConditionFailed:
            return None

    def exchange_with_store(self, node):
        holder, now_s = node.holder, self.clock(node)
        request = holder.next_request(now_s)
        if request is None:
            return
        if self.store_down or holder.host in self.partitioned:
            holder.on_unavailable(now_s)
            return
        if isinstance(request, leases.ReadRequest):
            holder.on_page(now_s, self.table.read(request.keys))
            return
        if node.fault == "lost before effect":
            holder.on_answer_lost(now_s)
            return
        if node.fault == "late effect":
            due_s = self.now_s + self.rng.choice([TICK_S, 1.0, 4.0, 20.0])
            self.delayed_transactions.append((request, due_s))
            holder.on_answer_lost(now_s)
            return
        try:
            commit = self.table.transact(request)
        except exceptions.ConditionFailed as error:
            holder.on_conflict(now_s, error.rows)
            return
        if node.fault == "lost after effect":
            holder.on_answer_lost(now_s)
            return
        holder.on_commit(now_s, commit)

    def send_heartbeats(self, node):
        for name, heartbeat in node.holder.heartbeats(self.clock(node)):
            peer = self.nodes.get(name)
            if (name in self.partitioned) != (
                node.holder.host in self.partitioned
            ):
                continue
            if (
                peer is None
                or node.heartbeats_blocked
                or peer.heartbeats_blocked
                or not self.is_running(peer)
            ):
                continue
            answer = peer.holder.on_heartbeat(self.clock(peer), heartbeat)
            node.holder.on_acknowledgement(self.clock(node), answer)

"""Simulated network of gossip cores that delays, loses and repeats messages.

For benchmarks and tests of the core's decisions. Runs in one process without
sockets.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import Any

from banyanshed.core import freshness
from banyanshed.core import gossip
from banyanshed.core import membership
from banyanshed.core import models

STORE_REGION = models.RegionId("region-0")
MAX_KEY_AGE_S = 4.0
POLL_S = 1.0
REPLY_TIMEOUT_S = 1.0
FETCH_S = 0.1


@dataclasses.dataclass
class LinkConditions:
    """Conditions of the links between hosts.

    Attributes:
        delay_s: Least and greatest delay of a message in seconds.
        loss: Share of messages lost in each direction.
        repeats: Share of messages delivered twice.
        cut: Returns whether messages from one host to another are lost.
        drops_requests_to: Returns whether requests to a host are lost; replies
            to its own requests still arrive.
    """

    delay_s: tuple[float, float] = (0.001, 0.03)
    loss: float = 0.0
    repeats: float = 0.0
    cut: Callable[[models.HostId, models.HostId], bool] = lambda *_: False
    drops_requests_to: Callable[[models.HostId], bool] = lambda _: False


@dataclasses.dataclass
class Node:
    """One host.

    Attributes:
        core: Gossip core of the host.
        profile: Region, zone and addresses of the host.
        running: False while it is dead or frozen.
        reads_store: Whether it polls the store.
        last_run_s: Time at which it was last found running, in seconds.
    """

    core: gossip.Gossip
    profile: models.ListedHost
    running: bool = True
    reads_store: bool = True
    last_run_s: float = 0.0


class SimulatedNetwork:
    """The hosts, the messages between them, and one store.

    Attributes:
        now_s: Time of the last event.
        nodes: The hosts by address of the peer port.
        accepted_s: Time at which the store accepted each version, from
            version 0 on.
        on_message: Called with the id of the sender and each message.
    """

    def __init__(
        self,
        seed: int,
        conditions: LinkConditions,
        interval_s: float = gossip.INTERVAL_S,
    ):
        """Creates a network without hosts."""
        self.rng = random.Random(seed)
        self.conditions = conditions
        self.interval_s = interval_s
        self.now_s = 0.0
        self.nodes: dict[str, Node] = {}
        self.accepted_s = [0.0]
        self.on_message: Callable[[models.HostId, Any], None] = lambda *_: None
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sequence = itertools.count()

    def add(
        self,
        number: int,
        regions: int = 3,
        zones: int = 2,
        seeds: tuple[str, ...] = (),
    ) -> Node:
        """Starts a host, or replaces the one with the same number."""
        region = models.RegionId(f"region-{number % regions}")
        zone = models.ZoneId(f"{region}-{number // regions % zones}")
        profile = models.ListedHost(
            host=models.HostId(f"entry-{number:03}"),
            region=region,
            zone=zone,
            caller_address=f"10.0.{number // 250}.{number % 250}:8080",
            peer_address=f"10.0.{number // 250}.{number % 250}:8081",
            state=models.HostState.LIVE,
        )
        rng = random.Random(self.rng.getrandbits(64))
        members = membership.Membership(
            profile, rng.getrandbits(64) | 1, rng, self.now_s
        )
        fresh = freshness.Freshness(
            profile.host, region, STORE_REGION, MAX_KEY_AGE_S
        )
        core = gossip.Gossip(
            members, fresh, rng, STORE_REGION, seeds, self.interval_s
        )
        node = Node(core, profile, last_run_s=self.now_s)
        self.nodes[profile.peer_address] = node
        self.call(self.rng.uniform(0, self.interval_s), self._tick, node)
        self.call(self.rng.uniform(0, POLL_S), self._poll, node)
        return node

    def publish_host_list(self) -> None:
        """Passes the platform's list of all hosts to each host."""
        profiles = [node.profile for node in self.nodes.values()]
        for node in self.nodes.values():
            node.core.members.update_list(profiles)

    def call(
        self, after_s: float, event: Callable[..., None], *args: Any
    ) -> None:
        """Schedules an event after a delay in seconds."""
        at_s = self.now_s + after_s
        heapq.heappush(self._events, (at_s, next(self._sequence), event, args))

    def run(self, duration_s: float) -> None:
        """Runs the events of a duration in seconds."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event, args = heapq.heappop(self._events)
            event(*args)
        self.now_s = end_s

    def accept(self) -> int:
        """Accepts a change in the store and returns its version."""
        self.accepted_s.append(self.now_s)
        return len(self.accepted_s) - 1

    def send(self, node: Node, requests: list[gossip.GossipRequest]) -> None:
        """Sends requests of a host and schedules their timeouts."""
        for request in requests:
            self.on_message(node.profile.host, request.message)
            receiver = self.nodes.get(request.address)
            sent_s = self.now_s
            replied: list[bool] = []
            self._transmit(
                node,
                receiver,
                self._receive_request,
                node,
                receiver,
                request,
                sent_s,
                replied,
            )
            self.call(REPLY_TIMEOUT_S, self._expire, node, request, replied)

    def _transmit(
        self,
        source: Node,
        target: Node | None,
        event: Callable[..., None],
        *args: Any,
    ) -> None:
        conditions = self.conditions
        if target is None or self.rng.random() < conditions.loss:
            return
        if conditions.cut(source.profile.host, target.profile.host):
            return
        self.call(self.rng.uniform(*conditions.delay_s), event, *args)
        if self.rng.random() < conditions.repeats:
            self.call(self.rng.uniform(*conditions.delay_s), event, *args)

    def _is_up(self, node: Node) -> bool:
        present = self.nodes.get(node.profile.peer_address) is node
        if present and node.running:
            node.last_run_s = self.now_s
            return True
        return False

    def _tick(self, node: Node) -> None:
        if self.nodes.get(node.profile.peer_address) is not node:
            return
        if self._is_up(node):
            self.send(node, node.core.tick(self.now_s))
            self._fetch(node)
        self.call(
            self.interval_s * self.rng.uniform(0.9, 1.1), self._tick, node
        )

    def _poll(self, node: Node) -> None:
        if self.nodes.get(node.profile.peer_address) is not node:
            return
        if self._is_up(node) and node.reads_store:
            version = len(self.accepted_s) - 1
            after_s = self.rng.uniform(*self.conditions.delay_s)
            self.call(after_s, self._on_read, node, self.now_s, version)
        self.call(POLL_S * self.rng.uniform(0.9, 1.1), self._poll, node)

    def _on_read(self, node: Node, sent_s: float, version: int) -> None:
        if self._is_up(node):
            self.send(node, node.core.on_version(self.now_s, version))
            node.core.freshness.on_store_read(sent_s, version)

    def _receive_request(
        self,
        node: Node,
        receiver: Node,
        request: gossip.GossipRequest,
        sent_s: float,
        replied: list[bool],
    ) -> None:
        if self.conditions.drops_requests_to(receiver.profile.host):
            return
        if not self._is_up(receiver):
            return
        reply = receiver.core.on_gossip(self.now_s, request.message)
        self.on_message(receiver.profile.host, reply)
        self._fetch(receiver)
        self._transmit(
            receiver,
            node,
            self._receive_reply,
            node,
            request,
            sent_s,
            reply,
            replied,
        )

    def _receive_reply(
        self,
        node: Node,
        request: gossip.GossipRequest,
        sent_s: float,
        reply: gossip.GossipMessage,
        replied: list[bool],
    ) -> None:
        if not self._is_up(node):
            return
        replied.append(True)
        self.send(node, node.core.on_reply(self.now_s, sent_s, reply))
        self._fetch(node)

    def _expire(
        self, node: Node, request: gossip.GossipRequest, replied: list[bool]
    ) -> None:
        if not replied and self._is_up(node):
            failed = node.core.on_failure(self.now_s, request.host)
            self.send(node, failed)

    def _fetch(self, node: Node) -> None:
        host = node.core.next_fetch(self.now_s)
        if host is None:
            return
        address = node.core.members.members[host].profile.peer_address
        holder = self.nodes.get(address)
        self.call(FETCH_S, self._on_fetched, node, holder, host)

    def _on_fetched(
        self, node: Node, holder: Node | None, host: models.HostId
    ) -> None:
        if not self._is_up(node):
            return
        cut = self.conditions.cut
        applied = (
            holder is not None
            and self._is_up(holder)
            and not cut(node.profile.host, host)
            and not cut(host, node.profile.host)
        )
        if holder is not None and applied:
            version = holder.core.freshness.version
            self.send(node, node.core.on_version(self.now_s, version))
        node.core.on_fetch_done(host, applied=applied)

"""Runs the gossip of one daemon: ticks, sends, and fetches the configuration.

All methods run on the daemon's loop. The core module `gossip` decides what to
send; this module sends it to peers and reports the results back.
"""

import asyncio
from collections.abc import Callable, Coroutine
import contextlib
from typing import Any, Protocol

import eliot

from banyanshed import exceptions
from banyanshed.core import gossip
from banyanshed.core import handover
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.edges import peer_clients
from banyanshed.edges import peers

MAX_TASKS = 64


class Replica(Protocol):
    """The local replica of the configuration, as exchanged with peers."""

    def version(self) -> int:
        """Returns the version in force."""

    def encode_delta(self, version: int) -> peers.Delta:
        """Returns the encoded rows changed after a version."""

    def apply_delta(self, delta: peers.Delta) -> None:
        """Applies a peer's rows; rows of older versions have no effect.

        Raises:
            BanyanshedError: The rows are malformed; nothing was applied.
        """


class Witness(Protocol):
    """Acknowledges heartbeats of peers' sessions."""

    def on_heartbeat(
        self, now_s: float, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Returns the witness's acknowledgement of a heartbeat."""


class Peering:
    """One daemon's part in the gossip; the handler of its PeerServer.

    Attributes:
        core: Decides what to send.
        client: Sends it.
        replica: The local configuration.
        failures: Number of failed calls by error code.
    """

    def __init__(
        self,
        core: gossip.Gossip,
        client: peer_clients.PeerClient,
        replica: Replica,
        witness: Witness,
        clock: Callable[[], float],
        adopted_sessions: handover.AdoptedSessions | None = None,
    ):
        """Connects the core to the client and the replica.

        Args:
            core: Decides what to send.
            client: Sends it.
            replica: The local configuration.
            witness: Acknowledges the heartbeats of peers' sessions.
            clock: Returns monotonic seconds, the time base of the core.
            adopted_sessions: Takes over sessions of peers; None declines all.
        """
        self.core = core
        self.client = client
        self.replica = replica
        self.witness = witness
        self.clock = clock
        self.adopted_sessions = adopted_sessions
        self.failures: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Peering":
        """Starts the periodic ticks."""
        ticks = asyncio.create_task(self._run())
        self._stack.push_async_callback(self._cancel_tasks)
        self._stack.callback(ticks.cancel)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the ticks and cancels all calls in progress."""
        await self._stack.aclose()

    def on_gossip(self, message: gossip.GossipMessage) -> gossip.GossipMessage:
        """Returns the reply to a peer's gossip message."""
        reply = self.core.on_gossip(self.clock(), message)
        self._fetch_if_behind()
        return reply

    def version(self) -> int:
        """Returns the version of the configuration in force."""
        return self.replica.version()

    def delta_since(self, version: int) -> peers.Delta:
        """Returns the rows changed after a version."""
        return self.replica.encode_delta(version)

    def on_heartbeat(
        self, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Returns the witness's acknowledgement of a heartbeat."""
        return self.witness.on_heartbeat(self.clock(), heartbeat)

    def on_open_handover(self) -> handover.HandoverOpening:
        """Returns the opening that a handover to this host must repeat."""
        if self.adopted_sessions is None:
            raise exceptions.PeerError("this host does not take over sessions")
        return self.adopted_sessions.open(self.clock())

    def on_hand_over(
        self, opening: handover.HandoverOpening, content: bytes
    ) -> bool:
        """Returns whether this host has taken over the session."""
        if self.adopted_sessions is None:
            return False
        taken = self.adopted_sessions.accept(self.clock(), opening, content)
        eliot.log_message(message_type="peer:session_offered", taken=taken)
        return taken

    async def hand_over(self, outgoing: handover.OutgoingHandover) -> None:
        """Offers a session to live peers until one may have taken it."""
        members = self.core.members
        peers = [
            peer
            for peer in members.live_hosts()
            if peer.host != members.own.profile.host
        ]
        for peer in outgoing.ranked_receivers(
            peers, members.own.profile.region
        ):
            if not outgoing.can_send(self.clock()):
                return
            try:
                await self._hand_over_to(outgoing, peer)
            except exceptions.PeerError as error:
                self._count_failure(error.code)
            if outgoing.state is not handover.HandoverState.KEPT:
                return

    async def _hand_over_to(
        self, outgoing: handover.OutgoingHandover, peer: models.ListedHost
    ) -> None:
        opening = await self.client.open_handover(peer.peer_address)
        content = outgoing.prepare_message(self.clock(), peer.host, opening)
        if content is None:
            return
        outgoing.on_answer(
            await self.client.hand_over(peer.peer_address, opening, content)
        )

    def on_version(self) -> None:
        """Announces a new local configuration version to peers immediately."""
        requests = self.core.on_version(self.clock(), self.replica.version())
        self._send_all(requests)

    def on_store_read(self, sent_s: float, version: int) -> None:
        """Records a successful read of the store whose rows were applied."""
        self.on_version()
        self.core.freshness.on_store_read(sent_s, version)

    async def leave(self) -> None:
        """Announces to several peers that this host is leaving."""
        self.core.members.leave(self.clock())
        requests = self.core.announce(self.clock())
        await asyncio.gather(*(self._send_request(each) for each in requests))

    async def _run(self) -> None:
        while True:
            try:
                self._send_all(self.core.tick(self.clock()))
                self._fetch_if_behind()
                await self.client.close_idle()
            except Exception:
                eliot.write_traceback()
            jitter = self.core.rng.uniform(0.9, 1.1)
            await asyncio.sleep(self.core.interval_s * jitter)

    def _send_all(self, requests: list[gossip.GossipRequest]) -> None:
        for request in requests:
            if len(self._tasks) >= MAX_TASKS:
                self._count_failure("peer_tasks_full")
                return
            self._start(self._send_request(request))

    def _fetch_if_behind(self) -> None:
        host = self.core.next_fetch(self.clock())
        if host is None:
            return
        self._start(self._fetch(host))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_request(self, request: gossip.GossipRequest) -> None:
        sent_s = self.clock()
        try:
            reply = await self.client.gossip(request.address, request.message)
        except exceptions.PeerError as error:
            self._count_failure(error.code)
            self._report_failure(request)
            return
        if request.host not in (None, reply.sender.host):
            # The address now belongs to another host.
            self._report_failure(request)
        self._send_all(self.core.on_reply(self.clock(), sent_s, reply))
        self._fetch_if_behind()

    def _report_failure(self, request: gossip.GossipRequest) -> None:
        self._send_all(self.core.on_failure(self.clock(), request.host))

    async def _fetch(self, host: Any) -> None:
        member = self.core.members.members.get(host)
        if member is None:
            self.core.on_fetch_done(host, applied=False)
            return
        address = member.profile.peer_address
        try:
            since = self.replica.version()
            delta = await self.client.fetch_delta(address, since)
            self.replica.apply_delta(delta)
        except exceptions.BanyanshedError as error:
            self._count_failure(error.code)
            eliot.log_message(
                message_type="peer:fetch_failed", code=error.code, peer=host
            )
            self.core.on_fetch_done(host, applied=False)
            return
        self.on_version()
        applied = self.replica.version() > since
        self.core.on_fetch_done(host, applied=applied)

    def _count_failure(self, code: str) -> None:
        self.failures[code] = self.failures.get(code, 0) + 1

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

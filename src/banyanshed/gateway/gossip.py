"""Datagrams between hosts.

Each host tells its peers, about once a second, who it is, what it knows and
what it admitted; hosts of its region hear more often of its requests. In
large fleets only hosts of its region hear it, and relays tell the rest.
"""

import asyncio
import contextlib
import random
from typing import cast

import msgspec

from banyanshed.gateway import appliers
from banyanshed.gateway import beats
from banyanshed.gateway import logs
from banyanshed.gateway import mirrors
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import placement
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import relays as relays_lib
from banyanshed.steering import warmth

# Interval of beats to all hosts, and of those to hosts of the same region
# while servers are busy: requests mostly stay in their region.
FULL_BEAT_S = 1.0
BUSY_BEAT_S = 0.2
# The least interval, per host that gets the beat.
BEAT_PER_HOST_S = 0.006
# Interval at which a relay tells other regions of its own.
DIGEST_S = 1.0
TICK_S = 0.05
CONTACTS_PER_DATAGRAM = 20


class Gossip(asyncio.DatagramProtocol):
    """The traffic of one host with its peers."""

    def __init__(
        self,
        fleet: members.Members,
        quotas: quotas_lib.Quotas,
        placing: placement.Placement,
        applier: appliers.Applier,
        tables: dict[str, mirrors.Mirror],
        relays: relays_lib.Relays,
        port: int,
        seeds: tuple[str, ...],
    ):
        """Takes what the host tells and what it learns into."""
        self.fleet = fleet
        self.quotas = quotas
        self.placing = placing
        self.outliers = placing.health.outliers
        self.relays = relays
        self.applier = applier
        self.mirrors = tables
        self.port = port
        self.seeds = seeds
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.full_at = float("-inf")
        self.near_at = float("-inf")
        self.digest_at = float("-inf")
        self.live: set[models.HostId] = set()
        self.names = beats.ServerNames()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a peer's message; unreadable ones are logged."""
        try:
            message = beats.decode(data)
        except msgspec.MsgspecError as error:
            logs.log_belief("peer_unreadable", peer=addr[0], error=str(error))
            return
        now = self.loop.time()
        view = self.applier.view
        self.names.update(view.servers, view.servers_version)
        match message:
            case beats.Contacts():
                self._take_contacts(message, now)
            case beats.Digest():
                self._take_digest(message, data, addr[0], now)
            case beats.Beat():
                self._take_beat(message, now)

    def error_received(self, exc: Exception) -> None:
        """Ignores unreachable peers: their silence tells the same."""

    async def run(self) -> None:
        """Sends beats until cancelled."""
        while True:
            await asyncio.sleep(TICK_S * random.uniform(0.8, 1.2))
            now = self.loop.time()
            self._note_live(now)
            self._send_due(now)
            self._send_digest(now)

    def send_beat(self) -> None:
        """Tells peers what this host knows and admitted."""
        now = self.loop.time()
        self.full_at = now
        self.near_at = now
        self.placing.was_busy = False
        pairs = self.placing.warmth.take_unsent(warmth.Audience.ALL)
        usages = beats.encode_usages(self.quotas.report(now))
        beat = self._make_beat(usages, pairs)
        receivers = self._receivers(self.fleet.contacts(now))
        silent = self.fleet.next_silent(now)
        if silent is not None:
            receivers.append(silent)
        datagram = beats.encode(beat)
        self._send_to(receivers, datagram)
        if len(self.fleet.peers) >= len(self.seeds):
            return
        for ip in self.seeds:
            if ip != self.fleet.own.ip:
                self._send(ip, datagram)

    def _send_due(self, now: float) -> None:
        contacts = self.fleet.contacts(now)
        receivers = self._receivers(contacts)
        full_s = max(FULL_BEAT_S, len(receivers) * BEAT_PER_HOST_S)
        due = now - self.full_at >= full_s
        if due or self.quotas.needs_report(len(contacts) + 1, now):
            self.send_beat()
            return
        near = self._near(receivers)
        least_s = self.applier.waits.heartbeat_s
        if self.placing.was_busy:
            least_s = min(least_s, BUSY_BEAT_S)
        near_s = max(least_s, len(near) * BEAT_PER_HOST_S)
        if now - self.near_at < near_s:
            return
        self.near_at = now
        pairs = self.placing.warmth.take_unsent(warmth.Audience.NEAR)
        self._send_to(near, beats.encode(self._make_beat([], pairs)))
        self.placing.was_busy = False

    def _receivers(
        self, contacts: list[members.Member]
    ) -> list[members.Member]:
        """Returns the contacts that this host tells of itself."""
        if not relays_lib.is_needed(len(contacts)):
            return contacts
        return self._near(contacts)

    def _near(self, known: list[members.Member]) -> list[members.Member]:
        return [
            member for member in known if self.fleet.is_in_own_region(member)
        ]

    def _send_digest(self, now: float) -> None:
        """Tells the relays of other regions what this region has."""
        if now - self.digest_at < DIGEST_S:
            return
        self.digest_at = now
        if not self.relays.is_needed(now):
            return
        place = self.relays.own_index(now)
        if place is None:
            return
        summary = self.relays.summarize(
            self.mirrors[wire.OPERATOR_TABLE].changed_version,
            self.mirrors[wire.SERVER_TABLE].changed_version,
            now,
        )
        datagram = beats.encode_digest(summary)
        for host in self.relays.partners(place, now):
            self._send(host.ip, datagram)

    def _send_to(self, known: list[members.Member], datagram: bytes) -> None:
        for member in known:
            self._send(member.host.ip, datagram)

    def _send(self, ip: str, datagram: bytes) -> None:
        if self.transport is not None:
            self.transport.sendto(datagram, (ip, self.port))

    def _make_beat(
        self, usages: list[beats.UsageForm], warm: list[int]
    ) -> beats.Beat:
        return beats.Beat(
            beats.encode_host(self.fleet.own),
            self.fleet.own_state,
            self.mirrors[wire.OPERATOR_TABLE].changed_version,
            self.mirrors[wire.SERVER_TABLE].changed_version,
            usages,
            beats.encode_work(self.placing.health.in_flight_by_server()),
            warm,
            beats.encode_evidence(self.outliers.report(self.loop.time())),
        )

    def _take_beat(self, beat: beats.Beat, now: float) -> None:
        host = beats.decode_host(beat.host)
        known = self.fleet.peers.get(host.id)
        is_new = known is None or known.host.started_ms < host.started_ms
        never_heard = known is None or known.heard_at is None
        member = self.fleet.record_state(host, beat.state, now)
        if member is None:
            return
        member.update_versions(beat.op_version, beat.servers_version)
        if is_new or never_heard:
            self.quotas.drop_peer(host.id)
            self._greet(host, now)
        is_near = self.fleet.is_in_own_region(member)
        if not is_near and host.zone in self.fleet.zones:
            self.relays.drop_region(self.fleet.zones[host.zone])
        work = self.names.decode_work(beat.work)
        self.placing.set_peer_in_flight(host.id, work)
        evidence = self.names.decode_evidence(beat.evidence)
        self.outliers.set_peer_report(host.id, evidence, now)
        self.placing.warmth.add_pairs(beat.warm, now, forward=is_near)
        configuration = self.applier.view.configuration
        if configuration is not None:
            usages = beats.decode_usages(beat.usages)
            self.quotas.apply_reports(host.id, usages, configuration, now)

    def _take_digest(
        self, digest: beats.Digest, data: bytes, sender: str, now: float
    ) -> None:
        summary = self.names.decode_digest(digest)
        self.relays.apply_summary(summary, self.applier.view.configuration, now)
        if summary.relay.ip != sender:
            return
        # It came from its region itself: this host is the one to pass it on.
        self._send_to(self._near(self.fleet.contacts(now)), data)

    def _greet(self, host: members.Host, now: float) -> None:
        """Answers a host that has just started with the hosts known here."""
        self._send(host.ip, beats.encode(self._make_beat([], [])))
        if not self._is_seed():
            return
        known = [beats.encode_host(m.host) for m in self.fleet.contacts(now)]
        for start in range(0, len(known), CONTACTS_PER_DATAGRAM):
            part = known[start : start + CONTACTS_PER_DATAGRAM]
            self._send(host.ip, beats.encode(beats.Contacts(part)))

    def _is_seed(self) -> bool:
        return self.fleet.own.ip in self.seeds

    def _take_contacts(self, contacts: beats.Contacts, now: float) -> None:
        learned = False
        for form in contacts.hosts:
            learned |= self.fleet.discover(beats.decode_host(form), now)
        if learned:
            self.send_beat()

    def _note_live(self, now: float) -> None:
        self.relays.drop_silent_regions(now)
        live = {member.host.id for member in self.fleet.live(now)}
        for id_ in live - self.live:
            logs.log_belief("peer_regained", peer=id_)
        for id_ in self.live - live:
            member = self.fleet.peers.get(id_)
            state = member.state.value if member is not None else "forgotten"
            self.placing.drop_peer(id_)
            logs.log_belief("peer_lost", peer=id_, state=state)
        self.live = live
        for id_ in self.fleet.drop_expired(now):
            self.quotas.drop_peer(id_)


async def open_gossip(
    gossip: Gossip, ip: str, port: int, stack: contextlib.AsyncExitStack
) -> None:
    """Opens the socket and sends beats until the exit stack closes.

    Raises:
        OSError: The address can't be used.
    """
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: gossip, local_addr=(ip, port)
    )
    stack.callback(transport.close)
    task = loop.create_task(gossip.run())
    stack.callback(task.cancel)

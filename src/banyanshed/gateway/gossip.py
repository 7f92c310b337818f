"""Gossip between hosts over UDP.

About once a second, each host sends its peers a heartbeat with its identity,
the versions of its tables and the requests that it admitted. Hosts of the same
region get additional heartbeats about requests in flight. In large fleets
heartbeats stay within the region, and relays send digests to other regions.
"""

import asyncio
from collections.abc import Mapping, Sequence
import contextlib
import math
import random
import time
from typing import cast

import msgspec

from banyanshed.gateway import appliers
from banyanshed.gateway import crashes
from banyanshed.gateway import lifecycles
from banyanshed.gateway import limits as limits_lib
from banyanshed.gateway import logs
from banyanshed.gateway import mirrors
from banyanshed.gateway import peer_messages
from banyanshed.platform import wire
from banyanshed.steering import limits as server_limits
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import placement
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import relays as relays_lib
from banyanshed.steering import suspects as suspects_lib
from banyanshed.steering import warmth

# Interval of heartbeats to all hosts, and of those to hosts of the same region
# while servers are busy: most requests stay in their region.
FULL_HEARTBEAT_INTERVAL_S = 1.0
BUSY_HEARTBEAT_INTERVAL_S = 0.2
# Minimum interval, multiplied by the number of receivers.
HEARTBEAT_INTERVAL_PER_HOST_S = 0.006
# Interval at which a relay sends digests of its region to other regions.
DIGEST_INTERVAL_S = 1.0
# Minimum interval of digests that report a customer's burst early.
URGENT_DIGEST_INTERVAL_S = 0.2
TICK_INTERVAL_S = 0.05
# A longer time between two ticks means that the process stood still, so that
# its tables may be outdated.
STALL_S = 0.5
# Time after a stall in which the reports that waited meanwhile are read. They
# tell an age that is too low.
BACKLOG_S = 0.5
CONTACTS_PER_DATAGRAM = 20


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of one host."""

    def __init__(
        self,
        fleet: members.Members,
        quotas: quotas_lib.Quotas,
        placing: placement.Placement,
        applier: appliers.Applier,
        tables: dict[str, mirrors.Mirror],
        relays: relays_lib.Relays,
        limit_tracker: limits_lib.LimitTracker,
        lifecycle_tracker: lifecycles.LifecycleTracker,
        crash_detector: crashes.CrashDetector,
        port: int,
        seeds: tuple[str, ...],
    ):
        """Initializes the protocol.

        Args:
            fleet: The known hosts.
            quotas: Customers' usage, own and of peers.
            placing: Load, warmth and health of backend servers.
            applier: Holds the view and the delays of this host.
            tables: Mirrors by table name.
            relays: The relays of large fleets.
            limit_tracker: Learns the limits that backend servers name.
            lifecycle_tracker: Learns which servers leave or are cold.
            crash_detector: Refuses requests that crash servers.
            port: Port of the traffic between hosts, the same on every host.
            seeds: Addresses of hosts that may know others.
        """
        self.fleet = fleet
        self.quotas = quotas
        self.placing = placing
        self.outliers = placing.health.outliers
        self.limit_tracker = limit_tracker
        self.limits = limit_tracker.limits
        self.lifecycle_tracker = lifecycle_tracker
        self.crashes = crash_detector
        self.suspects = crash_detector.suspects
        self.relays = relays
        self.applier = applier
        self.mirrors = tables
        self.port = port
        self.seeds = seeds
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.ticked_at = math.inf
        self.trusts_reports_at = -math.inf
        self.full_sent_at = float("-inf")
        self.near_sent_at = float("-inf")
        self.digest_sent_at = float("-inf")
        self.urgency_checked_at = float("-inf")
        self.is_relay = False
        self.live: set[models.HostId] = set()
        self.server_index = peer_messages.ServerIndex()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a peer's message; logs one that can't be decoded."""
        try:
            message = peer_messages.decode(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            logs.log_event("peer_unreadable", peer=addr[0], error=str(error))
            return
        now = self.loop.time()
        view = self.applier.view
        self.server_index.update(view.servers, view.servers_version)
        match message:
            case peer_messages.Contacts():
                self._handle_contacts(message, now)
            case peer_messages.Digest():
                self._handle_digest(message, data, addr[0], now)
            case peer_messages.Heartbeat():
                self._handle_heartbeat(message, now)
            case peer_messages.Suspicions():
                self._apply_suspects(message.suspects)

    def error_received(self, exc: Exception) -> None:
        """Ignores unreachable peers: missing heartbeats reveal them."""

    async def run(self) -> None:
        """Sends heartbeats and digests until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S * random.uniform(0.8, 1.2))
            now = self.loop.time()
            self.check_for_stall(time.clock_gettime(time.CLOCK_BOOTTIME), now)
            self.placing.throttle.record_run(now)
            self._update_live(now)
            self._send_due(now)
            self._send_digest(now)

    def check_for_stall(self, boot_time: float, now: float) -> None:
        """Forgets what verified the tables if the process stood still.

        Args:
            boot_time: Seconds since the machine's start, including the time for
                which it was suspended, unlike those of the loop's clock.
            now: Current time in seconds.
        """
        stalled_s = boot_time - self.ticked_at
        self.ticked_at = boot_time
        if stalled_s < STALL_S:
            return
        self.trusts_reports_at = now + BACKLOG_S
        for mirror in self.mirrors.values():
            mirror.forget_answers()
        logs.log_event("stalled", stalled_s=round(stalled_s, 3))

    def send_heartbeat(self) -> None:
        """Sends a heartbeat with customers' usage to the peers at once."""
        now = self.loop.time()
        self.full_sent_at = now
        self.near_sent_at = now
        self.placing.was_busy = False
        pairs = self.placing.warmth.take_unsent(warmth.Audience.ALL)
        usages = peer_messages.encode_usages(self.quotas.report(now))
        limits = self.limits.report(now)
        demand = peer_messages.encode_demand(self.placing.report_demand(now))
        heartbeat = self._make_heartbeat(
            usages, pairs, limits, demand, self.suspects.report(now)
        )
        receivers = self._receivers(self.fleet.contacts(now))
        silent = self.fleet.next_silent(now)
        if silent is not None:
            receivers.append(silent)
        datagram = peer_messages.encode(heartbeat)
        self._send_to(receivers, datagram)
        if len(self.fleet.peers) >= len(self.seeds):
            return
        for ip in self.seeds:
            if ip != self.fleet.own.ip:
                self._send(ip, datagram)

    def send_suspects(self) -> None:
        """Tells all peers at once what is new of suspected requests."""
        now = self.loop.time()
        contacts = self.fleet.contacts(now)
        while self.suspects.news:
            reports = peer_messages.encode_suspects(
                self.suspects.take_news(now)
            )
            datagram = peer_messages.encode(peer_messages.Suspicions(reports))
            self._send_to(contacts, datagram)

    def _apply_suspects(
        self, entries: list[peer_messages.EncodedSuspect]
    ) -> None:
        if entries:
            self.crashes.apply_reports(peer_messages.decode_suspects(entries))

    def _send_due(self, now: float) -> None:
        contacts = self.fleet.contacts(now)
        receivers = self._receivers(contacts)
        full_interval_s = max(
            FULL_HEARTBEAT_INTERVAL_S,
            len(receivers) * HEARTBEAT_INTERVAL_PER_HOST_S,
        )
        due = now - self.full_sent_at >= full_interval_s
        if due or self.quotas.needs_report(len(contacts) + 1, now):
            self.send_heartbeat()
            return
        near = self._near(receivers)
        min_interval_s = self.applier.waits.heartbeat_s
        if self.placing.was_busy:
            min_interval_s = min(min_interval_s, BUSY_HEARTBEAT_INTERVAL_S)
        near_interval_s = max(
            min_interval_s, len(near) * HEARTBEAT_INTERVAL_PER_HOST_S
        )
        if now - self.near_sent_at < near_interval_s:
            return
        self.near_sent_at = now
        pairs = self.placing.warmth.take_unsent(warmth.Audience.NEAR)
        limits = self.limits.report_changes(now)
        heartbeat = self._make_heartbeat([], pairs, limits)
        self._send_to(near, peer_messages.encode(heartbeat))
        self.placing.was_busy = False

    def _receivers(
        self, contacts: list[members.Member]
    ) -> list[members.Member]:
        """Returns the contacts to which this host sends heartbeats."""
        if not relays_lib.is_needed(len(contacts)):
            return contacts
        return self._near(contacts)

    def _near(self, known: list[members.Member]) -> list[members.Member]:
        return [
            member for member in known if self.fleet.is_in_own_region(member)
        ]

    def _send_digest(self, now: float) -> None:
        """Sends this region's digest to other regions if it is due."""
        is_due = now - self.digest_sent_at >= DIGEST_INTERVAL_S
        if not is_due and not self._has_urgent_digest(now):
            return
        self.digest_sent_at = now
        self.is_relay = False
        if not self.relays.is_needed(now):
            return
        own_index = self.relays.own_index(now)
        if own_index is None:
            return
        self.is_relay = True
        summary = self.relays.summarize(
            self.mirrors[wire.OPERATOR_TABLE].report(now),
            self.mirrors[wire.SERVER_TABLE].report(now),
            self.suspects.report(now),
            self.lifecycle_tracker.report(),
            now,
        )
        datagram = peer_messages.encode_digest(
            summary, self.applier.view.servers
        )
        for host in self.relays.partners(own_index, now):
            self._send(host.ip, datagram)

    def _has_urgent_digest(self, now: float) -> bool:
        """Returns whether a customer's burst calls for a digest at once."""
        if not self.is_relay:
            return False
        last_at = max(self.digest_sent_at, self.urgency_checked_at)
        if now - last_at < URGENT_DIGEST_INTERVAL_S:
            return False
        self.urgency_checked_at = now
        regions = len(set(self.fleet.zones.values()))
        return self.quotas.needs_region_report(regions, now)

    def _send_to(self, known: list[members.Member], datagram: bytes) -> None:
        for member in known:
            self._send(member.host.ip, datagram)

    def _send(self, ip: str, datagram: bytes) -> None:
        if self.transport is not None:
            self.transport.sendto(datagram, (ip, self.port))

    def _make_heartbeat(
        self,
        usages: list[peer_messages.EncodedUsage],
        warm: list[int],
        limits: Mapping[models.ServerId, server_limits.LimitReport],
        demand: list[peer_messages.EncodedDemand] | None = None,
        suspects: Sequence[suspects_lib.SuspectReport] = (),
        removals: Sequence[models.ProcessRemoval] = (),
    ) -> peer_messages.Heartbeat:
        now = self.loop.time()
        operators = self.mirrors[wire.OPERATOR_TABLE].report(now)
        servers = self.mirrors[wire.SERVER_TABLE].report(now)
        in_flight = self.placing.health.in_flight_by_server()
        evidence = self.outliers.report(now)
        if self.placing.health.ignores_results:
            # A host that may be cut off says nothing about servers.
            in_flight, evidence = {}, {}
        return peer_messages.Heartbeat(
            peer_messages.encode_host(self.fleet.own),
            peer_messages.encode_state(self.fleet.own_state),
            operators.version.number,
            servers.version.number,
            usages,
            peer_messages.encode_work(in_flight),
            warm,
            peer_messages.encode_evidence(evidence),
            peer_messages.encode_limits(limits, self.applier.view.servers),
            demand,
            peer_messages.encode_reports(operators, servers),
            peer_messages.encode_suspects(suspects),
            self.fleet.own_state is members.HostState.CUT,
            peer_messages.encode_statements(
                self.lifecycle_tracker.report(), self.applier.view.servers
            ),
            peer_messages.encode_removals(removals),
        )

    def _handle_heartbeat(
        self, heartbeat: peer_messages.Heartbeat, now: float
    ) -> None:
        host = peer_messages.decode_host(heartbeat.host)
        known = self.fleet.peers.get(host.id)
        is_new = known is None or known.host.started_ms < host.started_ms
        never_heard = known is None or known.heard_at is None
        state = peer_messages.decode_state(heartbeat)
        member = self.fleet.record_state(host, state, now)
        if member is None:
            return
        reports = peer_messages.decode_tables(heartbeat)
        member.update_tables(*reports)
        self._verify_tables(*reports, now)
        if is_new or never_heard:
            self.quotas.drop_peer(host.id)
            self._reply_to_new_host(host, now)
        is_in_own_region = self.fleet.is_in_own_region(member)
        if not is_in_own_region and host.zone in self.fleet.zones:
            self.relays.drop_region(self.fleet.zones[host.zone])
        work = self.server_index.decode_work(heartbeat.work)
        self.placing.set_peer_in_flight(host.id, work)
        evidence = self.server_index.decode_evidence(heartbeat.evidence)
        self.outliers.set_peer_report(host.id, evidence, now)
        limits = self.server_index.decode_limits(heartbeat.limits)
        self.limit_tracker.apply_reports(limits, host.id, now)
        statements = self.server_index.decode_statements(heartbeat.statements)
        self.lifecycle_tracker.apply_reports(statements, host.id)
        removals = peer_messages.decode_removals(heartbeat.removals)
        self.lifecycle_tracker.learn_removals(removals, host.id)
        self._apply_suspects(heartbeat.suspects)
        if heartbeat.demand is not None:
            demand = self.server_index.decode_demand(heartbeat.demand)
            self.placing.set_peer_demand(host.id, demand, now)
        self.placing.warmth.add_pairs(
            heartbeat.warm, now, forward=is_in_own_region
        )
        configuration = self.applier.view.configuration
        if configuration is not None:
            usages = peer_messages.decode_usages(heartbeat.usages)
            self.quotas.apply_reports(host.id, usages, configuration, now)

    def _handle_digest(
        self, digest: peer_messages.Digest, data: bytes, sender: str, now: float
    ) -> None:
        summary = self.server_index.decode_digest(digest)
        self._verify_tables(summary.operators, summary.servers, now)
        self.relays.apply_summary(summary, self.applier.view.configuration, now)
        self.limit_tracker.apply_reports(summary.limits, summary.relay.id, now)
        self.lifecycle_tracker.apply_reports(
            summary.statements, summary.relay.id
        )
        self._apply_suspects(digest.suspects)
        if summary.relay.ip != sender:
            return
        # The digest came directly from the other region's relay, so this host
        # forwards it within its own region.
        self._send_to(self._near(self.fleet.contacts(now)), data)

    def _verify_tables(
        self,
        operators: members.TableReport,
        servers: members.TableReport,
        now: float,
    ) -> None:
        """Records that a peer's tables matched the store some time ago."""
        if now < self.trusts_reports_at:
            return
        reports = {wire.OPERATOR_TABLE: operators, wire.SERVER_TABLE: servers}
        for table, report in reports.items():
            answered_at = now - report.answer_age_s
            self.mirrors[table].verify(report.version, answered_at)

    def _reply_to_new_host(self, host: members.Host, now: float) -> None:
        """Sends a new host a heartbeat and, from a seed, the known hosts."""
        limits = self.limits.report_all(now)
        usages: list[peer_messages.EncodedUsage] = []
        is_near = self.fleet.zones.get(host.zone) == self.fleet.own_region
        if is_near or not self.relays.is_needed(now):
            usages = peer_messages.encode_usages(self.quotas.known_usages(now))
        heartbeat = self._make_heartbeat(
            usages,
            [],
            limits,
            suspects=self.suspects.report_all(now),
            removals=self.lifecycle_tracker.lifecycles.removals(),
        )
        self._send(host.ip, peer_messages.encode(heartbeat))
        if not self._is_seed():
            return
        known = [
            peer_messages.encode_host(m.host) for m in self.fleet.contacts(now)
        ]
        for start in range(0, len(known), CONTACTS_PER_DATAGRAM):
            part = known[start : start + CONTACTS_PER_DATAGRAM]
            self._send(
                host.ip, peer_messages.encode(peer_messages.Contacts(part))
            )

    def _is_seed(self) -> bool:
        return self.fleet.own.ip in self.seeds

    def _handle_contacts(
        self, contacts: peer_messages.Contacts, now: float
    ) -> None:
        learned = False
        for entry in contacts.hosts:
            learned |= self.fleet.discover(
                peer_messages.decode_host(entry), now
            )
        self.fleet.are_all_known = True
        if learned:
            self.send_heartbeat()

    def _update_live(self, now: float) -> None:
        self.relays.drop_silent_regions(now)
        live = {member.host.id for member in self.fleet.live(now)}
        for id_ in live - self.live:
            logs.log_event("peer_regained", peer=id_)
        for id_ in self.live - live:
            member = self.fleet.peers.get(id_)
            state = member.state.value if member is not None else "forgotten"
            self.placing.drop_peer(id_)
            self.quotas.drop_peer(id_)
            logs.log_event("peer_lost", peer=id_, state=state)
        self.live = live
        for id_ in self.fleet.drop_expired(now):
            self.quotas.drop_peer(id_)


async def open_gossip(
    gossip: Gossip, ip: str, port: int, stack: contextlib.AsyncExitStack
) -> None:
    """Opens the socket and sends heartbeats until the exit stack closes.

    Raises:
        OSError: The socket can't be bound to the address.
    """
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: gossip, local_addr=(ip, port)
    )
    stack.callback(transport.close)
    task = loop.create_task(gossip.run())
    stack.callback(task.cancel)

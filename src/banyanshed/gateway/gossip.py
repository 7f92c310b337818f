"""Datagrams and table copies between hosts.

Each host tells all others, about once a second, who it is, what it knows and
what it admitted. A host that hears of a newer table for a while and does not
get it from the store takes it from the peer that has it.
"""

import asyncio
import contextlib
import random
from typing import cast

import msgspec
import xxhash

from banyanshed import exceptions
from banyanshed.gateway import clients
from banyanshed.gateway import feeds
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import placement
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import warmth

# Interval of beats to all hosts, and of those to hosts of the same region
# while servers are idle or busy: requests mostly stay in their region.
FULL_BEAT_S = 1.0
NEAR_BEAT_S = 0.5
BUSY_BEAT_S = 0.2
# The least interval, per host that gets the beat.
BEAT_PER_HOST_S = 0.006
TICK_S = 0.05
# A peer's newer table is copied when the store has not brought it by then.
BEHIND_S = 1.0
COPY_TIMEOUT_S = 2.0
CONTACTS_PER_DATAGRAM = 20
RATE_SCALE = 10.0
ATTEMPTS_SCALE = 10.0
NOT_PASSED = -1


class HostForm(msgspec.Struct, array_like=True, frozen=True):
    """A host's identity."""

    id: str
    ip: str
    zone: str
    started_ms: int


class UsageForm(msgspec.Struct, array_like=True, frozen=True):
    """A host's counters for one customer; the rate is in tenths."""

    customer: str
    admitted: int
    offered_rate: int


class WorkForm(msgspec.Struct, array_like=True, frozen=True):
    """Requests at work at a backend server, which is told by a hash."""

    server: int
    at_work: int


class EvidenceForm(msgspec.Struct, array_like=True, frozen=True):
    """A host's evidence on a suspected server, which is told by a hash.

    Attempts are in tenths; the time since a passed trial is in milliseconds,
    -1 when there was none lately.
    """

    server: int
    attempts: int
    bad: int
    passed_ms: int


class Beat(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """A host's word of itself."""

    host: HostForm
    state: members.HostState
    op_version: int
    servers_version: int
    usages: list[UsageForm]
    work: list[WorkForm]
    warm: list[int]
    evidence: list[EvidenceForm]


class Contacts(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Hosts that the sender knows, for one that has just started."""

    hosts: list[HostForm]


class RowForm(msgspec.Struct, array_like=True, frozen=True):
    """A row of a table."""

    key: str
    value: bytes | None
    version: int


class TableForm(msgspec.Struct, array_like=True, frozen=True):
    """A whole table."""

    version: int
    rows: list[RowForm]


_MESSAGE = msgspec.msgpack.Decoder(Beat | Contacts)
_TABLE = msgspec.msgpack.Decoder(TableForm)
_ENCODER = msgspec.msgpack.Encoder()


class Gossip(asyncio.DatagramProtocol):
    """The traffic of one host with its peers."""

    def __init__(
        self,
        fleet: members.Members,
        quotas: quotas_lib.Quotas,
        placing: placement.Placement,
        applier: feeds.Applier,
        mirrors: dict[str, feeds.Mirror],
        port: int,
        seeds: tuple[str, ...],
    ):
        """Takes what the host tells and what it learns into."""
        self.fleet = fleet
        self.quotas = quotas
        self.placing = placing
        self.applier = applier
        self.mirrors = mirrors
        self.port = port
        self.seeds = seeds
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.full_at = float("-inf")
        self.near_at = float("-inf")
        self.behind_since: dict[str, float] = {}
        self.live: set[models.HostId] = set()
        self.servers_by_hash: dict[int, models.ServerId] = {}
        self.hashes_version = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a peer's message; unreadable ones are logged."""
        try:
            message = _MESSAGE.decode(data)
        except msgspec.MsgspecError as error:
            logs.log_belief("peer_unreadable", peer=addr[0], error=str(error))
            return
        now = self.loop.time()
        if isinstance(message, Contacts):
            self._take_contacts(message, now)
        else:
            self._take_beat(message, now)

    def error_received(self, exc: Exception) -> None:
        """Ignores unreachable peers: their silence tells the same."""

    async def run(self) -> None:
        """Sends beats until cancelled."""
        while True:
            await asyncio.sleep(TICK_S * random.uniform(0.8, 1.2))
            now = self.loop.time()
            self.quotas.charge_peers(now)
            self._note_live(now)
            self._send_due(now)

    async def follow_peers(self) -> None:
        """Copies tables that peers know better, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await self._catch_up(self.loop.time())

    def _send_due(self, now: float) -> None:
        contacts = self.fleet.contacts(now)
        full_s = max(FULL_BEAT_S, len(contacts) * BEAT_PER_HOST_S)
        due = now - self.full_at >= full_s
        if due or self.quotas.needs_report(len(contacts) + 1, now):
            self.send_beat()
            return
        near = [m for m in contacts if self._is_near(m)]
        least_s = BUSY_BEAT_S if self.placing.was_busy else NEAR_BEAT_S
        near_s = max(least_s, len(near) * BEAT_PER_HOST_S)
        if now - self.near_at < near_s:
            return
        self.near_at = now
        pairs = self.placing.warmth.take_untold(warmth.Audience.NEAR)
        self._send(self._make_beat([], pairs), near)
        self.placing.was_busy = False

    def send_beat(self) -> None:
        """Tells all peers what this host knows and admitted."""
        now = self.loop.time()
        self.full_at = now
        self.near_at = now
        self.placing.was_busy = False
        pairs = self.placing.warmth.take_untold(warmth.Audience.ALL)
        beat = self._make_beat(self._make_usages(now), pairs)
        self._send(beat, self.fleet.contacts(now))
        if len(self.fleet.peers) >= len(self.seeds):
            return
        for ip in self.seeds:
            if ip != self.fleet.own.ip and self.transport is not None:
                self.transport.sendto(_ENCODER.encode(beat), (ip, self.port))

    def _send(self, beat: Beat, receivers: list[members.Member]) -> None:
        if self.transport is None:
            return
        datagram = _ENCODER.encode(beat)
        for member in receivers:
            self.transport.sendto(datagram, (member.host.ip, self.port))

    def _is_near(self, member: members.Member) -> bool:
        zones = self.fleet.zones
        return zones.get(member.host.zone) == zones.get(self.fleet.own.zone)

    async def serve(self, request: messages.Request) -> messages.Response:
        """Returns a whole table to a peer."""
        table = request.target.decode("latin-1").rpartition("/")[2]
        mirror = self.mirrors.get(table)
        if mirror is None or not mirror.is_known:
            return messages.Response(404)
        rows = [
            RowForm(row.key, row.value, row.version)
            for row in mirror.rows.values()
        ]
        body = _ENCODER.encode(TableForm(mirror.version, rows))
        return messages.Response(200, (), body)

    def _make_beat(self, usages: list[UsageForm], warm: list[int]) -> Beat:
        return Beat(
            _host_form(self.fleet.own),
            self.fleet.own_state,
            self.mirrors[wire.OPERATOR_TABLE].changed_version,
            self.mirrors[wire.SERVER_TABLE].changed_version,
            usages,
            self._make_work(),
            warm,
            self._make_evidence(),
        )

    def _make_usages(self, now: float) -> list[UsageForm]:
        return [
            UsageForm(
                usage.customer,
                usage.admitted,
                round(usage.offered_rate * RATE_SCALE),
            )
            for usage in self.quotas.report(now)
        ]

    def _make_work(self) -> list[WorkForm]:
        at_work = self.placing.health.at_work()
        return [
            WorkForm(hash_server(server), count)
            for server, count in at_work.items()
        ]

    def _make_evidence(self) -> list[EvidenceForm]:
        forms = []
        report = self.placing.health.outliers.report(self.loop.time())
        for server, evidence in report.items():
            passed_ms = NOT_PASSED
            if evidence.passed_s is not None:
                passed_ms = round(evidence.passed_s * 1000.0)
            forms.append(
                EvidenceForm(
                    hash_server(server),
                    round(evidence.attempts * ATTEMPTS_SCALE),
                    round(evidence.bad * ATTEMPTS_SCALE),
                    passed_ms,
                )
            )
        return forms

    def _update_hashes(self) -> None:
        view = self.applier.view
        if self.hashes_version == view.servers_version:
            return
        self.hashes_version = view.servers_version
        self.servers_by_hash = {
            hash_server(server): server for server in view.servers
        }

    def _take_work(self, host: models.HostId, forms: list[WorkForm]) -> None:
        work = {}
        for form in forms:
            server = self.servers_by_hash.get(form.server)
            if server is not None:
                work[server] = form.at_work
        self.placing.set_peer_work(host, work)

    def _take_evidence(
        self, host: models.HostId, forms: list[EvidenceForm], now: float
    ) -> None:
        report = {}
        for form in forms:
            server = self.servers_by_hash.get(form.server)
            if server is None:
                continue
            passed_s = None
            if form.passed_ms != NOT_PASSED:
                passed_s = form.passed_ms / 1000.0
            report[server] = outliers.Evidence(
                form.attempts / ATTEMPTS_SCALE,
                form.bad / ATTEMPTS_SCALE,
                passed_s,
            )
        self.placing.health.outliers.take_report(host, report, now)

    def _take_beat(self, beat: Beat, now: float) -> None:
        host = _host(beat.host)
        known = self.fleet.peers.get(host.id)
        is_new = known is None or known.host.started_ms < host.started_ms
        never_heard = known is None or known.heard_at is None
        member = self.fleet.hear(host, beat.state, now)
        if member is None:
            return
        member.op_version = max(member.op_version, beat.op_version)
        member.servers_version = max(
            member.servers_version, beat.servers_version
        )
        if is_new or never_heard:
            self.quotas.drop_peer(host.id)
            self._greet(host, now)
        self._update_hashes()
        self._take_work(host.id, beat.work)
        self._take_evidence(host.id, beat.evidence, now)
        self.placing.warmth.learn(beat.warm, now)
        configuration = self.applier.view.configuration
        if configuration is None:
            return
        usages = [
            quotas_lib.Usage(
                models.CustomerName(usage.customer),
                usage.admitted,
                usage.offered_rate / RATE_SCALE,
            )
            for usage in beat.usages
        ]
        self.quotas.take_reports(host.id, usages, configuration, now)

    def _greet(self, host: members.Host, now: float) -> None:
        """Answers a host that has just started with the hosts known here."""
        if self.transport is None:
            return
        address = (host.ip, self.port)
        greeting = self._make_beat([], [])
        self.transport.sendto(_ENCODER.encode(greeting), address)
        if not self._is_seed():
            return
        known = [_host_form(m.host) for m in self.fleet.contacts(now)]
        for start in range(0, len(known), CONTACTS_PER_DATAGRAM):
            part = Contacts(known[start : start + CONTACTS_PER_DATAGRAM])
            self.transport.sendto(_ENCODER.encode(part), address)

    def _is_seed(self) -> bool:
        return self.fleet.own.ip in self.seeds

    def _take_contacts(self, contacts: Contacts, now: float) -> None:
        learned = False
        for form in contacts.hosts:
            learned |= self.fleet.learn(_host(form), now)
        if learned:
            self.send_beat()

    def _note_live(self, now: float) -> None:
        live = {member.host.id for member in self.fleet.live(now)}
        for id_ in live - self.live:
            logs.log_belief("peer_regained", peer=id_)
        for id_ in self.live - live:
            member = self.fleet.peers.get(id_)
            state = member.state.value if member is not None else "forgotten"
            self.placing.drop_peer(id_)
            self.placing.health.outliers.drop_peer(id_)
            logs.log_belief("peer_lost", peer=id_, state=state)
        self.live = live
        for id_ in self.fleet.drop_old(now):
            self.quotas.drop_peer(id_)

    async def _catch_up(self, now: float) -> None:
        for table, mirror in self.mirrors.items():
            ahead = self._find_ahead(table, mirror, now)
            if not ahead:
                self.behind_since.pop(table, None)
                continue
            since = self.behind_since.setdefault(table, now)
            if mirror.is_known and now - since < BEHIND_S:
                continue
            self.behind_since[table] = now
            await self._copy(mirror, random.choice(ahead))

    def _find_ahead(
        self, table: str, mirror: feeds.Mirror, now: float
    ) -> list[members.Member]:
        ahead = []
        for member in self.fleet.live(now):
            version = member.servers_version
            if table == wire.OPERATOR_TABLE:
                version = member.op_version
            if version > mirror.version:
                ahead.append(member)
        return ahead

    async def _copy(self, mirror: feeds.Mirror, member: members.Member) -> None:
        client = clients.HttpClient((member.host.ip, self.port))
        try:
            response = await client.call(
                "GET", f"/tables/{mirror.table}", b"", COPY_TIMEOUT_S
            )
            if response.status != 200:
                return
            form = _TABLE.decode(response.body)
        except (exceptions.PlatformError, msgspec.MsgspecError) as error:
            logs.log_belief(
                "peer_copy_failed", peer=member.host.id, error=str(error)
            )
            return
        finally:
            if client.connection is not None:
                client.connection.abort()
        rows = tuple(wire.Row(r.key, r.value, r.version) for r in form.rows)
        changed = mirror.replace(wire.Page(rows, form.version, False))
        logs.log_belief(
            "table_copied",
            table=mirror.table,
            peer=member.host.id,
            version=form.version,
            changed=len(changed),
        )
        self.applier.apply(mirror, changed, f"peer {member.host.id}")


async def open_gossip(
    gossip: Gossip, ip: str, port: int, stack: contextlib.AsyncExitStack
) -> None:
    """Opens the socket and runs the traffic until the exit stack closes.

    Raises:
        OSError: The address can't be used.
    """
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: gossip, local_addr=(ip, port)
    )
    stack.callback(transport.close)
    for coroutine in (gossip.run(), gossip.follow_peers()):
        task = loop.create_task(coroutine)
        stack.callback(task.cancel)


def hash_server(server: models.ServerId) -> int:
    """Returns the number that stands for a server in datagrams."""
    return xxhash.xxh32_intdigest(server.encode())


def _host_form(host: members.Host) -> HostForm:
    return HostForm(host.id, host.ip, host.zone, host.started_ms)


def _host(form: HostForm) -> members.Host:
    return members.Host(
        models.HostId(form.id),
        form.ip,
        models.ZoneName(form.zone),
        form.started_ms,
    )

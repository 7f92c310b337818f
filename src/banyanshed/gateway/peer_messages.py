"""Encoding of the datagrams and table copies that hosts exchange.

Messages are msgpack arrays. A hash replaces the id of a server or host where
the receiver knows the id.
"""

from collections.abc import Mapping, Sequence
import dataclasses
import math

import msgspec
import xxhash

from banyanshed.gateway import mirrors
from banyanshed.platform import wire
from banyanshed.steering import limits as limits_lib
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import quotas
from banyanshed.steering import relays
from banyanshed.steering import restores
from banyanshed.steering import suspects as suspects_lib
from banyanshed.steering import views

RATE_SCALE = 10.0
ATTEMPTS_SCALE = 10.0
NO_RECOVERY = -1
LIMIT_SCALE = 1000.0
# Largest encoded rate, in requests per second.
MAX_LIMIT = 1e9
NO_LIMIT = -1
FOREVER = -1
NEVER = -1
# Ages of the store's answers above this are reported as NEVER.
MAX_ANSWER_AGE_S = 60.0


class EncodedHost(msgspec.Struct, array_like=True, frozen=True):
    """A host's identity."""

    id: str
    ip: str
    zone: str
    started_ms: int


class EncodedUsage(msgspec.Struct, array_like=True, frozen=True):
    """A host's counters for one customer.

    The offered rate is in tenths of a request per second.
    """

    customer: str
    admitted: int
    offered_rate: int


class EncodedWork(msgspec.Struct, array_like=True, frozen=True):
    """Requests in flight at a backend server, given by the hash of its id."""

    server: int
    in_flight: int


class EncodedEvidence(msgspec.Struct, array_like=True, frozen=True):
    """A host's outlier evidence on a server, given by the hash of its id.

    Attempts and bad attempts are in tenths. The time since the last successful
    probe is in milliseconds, or NO_RECOVERY if there was none recently.
    """

    server: int
    attempts: int
    bad: int
    since_recovery_ms: int


class EncodedLimit(msgspec.Struct, array_like=True, frozen=True):
    """What a host knows of a server's rate limit.

    The server's process is given by `hash_process`. The rate is in thousandths
    of a request per second, or NO_LIMIT.
    """

    server: int
    rate: int
    age_ms: int


class EncodedDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand for a server with a limit, in tenths of a request per second."""

    server: int
    rate: int


class EncodedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """What a host knows of a request that may crash servers.

    Endings are pairs of the hash of a server's process and an age. Ages are in
    milliseconds, NEVER if something did not happen.
    """

    fingerprint: int
    endings: list[tuple[int, int]]
    borne_age_ms: int
    refusals: int
    refused_age_ms: int
    claimed_age_ms: int
    claimed_by: str


class EncodedStatement(msgspec.Struct, array_like=True, frozen=True):
    """What a server's process, given by `hash_process`, says of itself.

    The time for which it stays cold is in milliseconds. The removal of its
    entry that puts it in doubt is given by its era and version, NEVER if there
    is none, and the highest sequence of the process's entries.
    """

    server: int
    is_leaving: bool
    cold_ms: int = 0
    removed_era: int = 0
    removed_version: int = NEVER
    removed_sequence: int = 0


class EncodedRemoval(msgspec.Struct, array_like=True, frozen=True):
    """The removal of the entry of one process of a server."""

    server: str
    started_ms: int
    era: int
    version: int
    sequence: int


class EncodedReports(msgspec.Struct, array_like=True, frozen=True):
    """What a host reports of its tables, besides their versions.

    These are the eras, the fingerprints of what it keeps from before a restore,
    0 for none, and the ages of the store's last answers in milliseconds, NEVER
    if there is none.
    """

    op: int = 0
    servers: int = 0
    op_confirmed: int = 0
    servers_confirmed: int = 0
    op_age_ms: int = NEVER
    servers_age_ms: int = NEVER


class Heartbeat(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """What a host reports about itself.

    Heartbeats in between the regular ones have no `demand`. The versions are
    numbers within the eras in `tables`.
    """

    host: EncodedHost
    state: members.HostState
    op_version: int
    servers_version: int
    usages: list[EncodedUsage]
    work: list[EncodedWork]
    warm: list[int]
    evidence: list[EncodedEvidence]
    limits: list[EncodedLimit] = []
    demand: list[EncodedDemand] | None = None
    tables: EncodedReports = EncodedReports()
    suspects: list[EncodedSuspect] = []
    # Whether the host, which is ready, reaches no backend server.
    is_cut: bool = False
    statements: list[EncodedStatement] = []
    # Removals of entries of servers, for a host that has just started.
    removals: list[EncodedRemoval] = []


class Suspicions(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """What is new of requests that may crash servers, sent at once to all."""

    suspects: list[EncodedSuspect]


class Contacts(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Hosts known to the sender, sent to a host that has just started."""

    hosts: list[EncodedHost]


class EncodedRow(msgspec.Struct, array_like=True, frozen=True):
    """A row of a table."""

    key: str
    value: bytes | None
    version: int


class EncodedConfirmed(msgspec.Struct, array_like=True, frozen=True):
    """A row that is kept from before a restore of the store.

    The number belongs to the value, the era and the version to the transaction
    that is kept: the same one, or the removal of the row. The time for which
    it is still held is in milliseconds, or FOREVER.
    """

    key: str
    value: bytes
    number: int
    is_removed: bool
    era: int
    version: int
    held_ms: int


class EncodedTable(msgspec.Struct, array_like=True, frozen=True):
    """All rows of a table, or changes of it."""

    version: int
    rows: list[EncodedRow]
    era: int = 0
    confirmed: list[EncodedConfirmed] = []
    answer_age_ms: int = NEVER


class Digest(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """Aggregated state of a region's hosts, sent by one of its relays."""

    relay: EncodedHost
    op_version: int
    servers_version: int
    ready: list[int]
    starting: list[int]
    leaving: list[int]
    named: list[EncodedHost]
    usages: list[EncodedUsage]
    work: list[EncodedWork]
    warm: list[int]
    evidence: list[EncodedEvidence]
    limits: list[EncodedLimit] = []
    demand: list[EncodedDemand] = []
    tables: EncodedReports = EncodedReports()
    suspects: list[EncodedSuspect] = []
    # Those of the ready hosts that reach no backend server.
    cut: list[int] = []
    statements: list[EncodedStatement] = []


_MESSAGE = msgspec.msgpack.Decoder(Heartbeat | Contacts | Digest | Suspicions)
_TABLE = msgspec.msgpack.Decoder(EncodedTable)
_ENCODER = msgspec.msgpack.Encoder()


class ServerIndex:
    """Ids of backend servers by the hash that replaces them in messages."""

    def __init__(self) -> None:
        """Starts without servers."""
        self.by_hash: dict[int, models.ServerId] = {}
        self.by_process: dict[int, models.ServerId] = {}
        self.version = -1

    def update(
        self, servers: Mapping[models.ServerId, views.Server], version: int
    ) -> None:
        """Rebuilds the index if the version of the known servers changed."""
        if self.version == version:
            return
        self.version = version
        self.by_hash = {hash_server(server): server for server in servers}
        self.by_process = {
            hash_process(id_, server.registration.started_ms): id_
            for id_, server in servers.items()
        }

    def decode_work(
        self, entries: Sequence[EncodedWork]
    ) -> dict[models.ServerId, int]:
        """Returns requests in flight by server, without unknown servers."""
        work = {}
        for entry in entries:
            server = self.by_hash.get(entry.server)
            if server is not None:
                work[server] = entry.in_flight
        return work

    def decode_evidence(
        self, entries: Sequence[EncodedEvidence]
    ) -> dict[models.ServerId, outliers.Evidence]:
        """Returns evidence by server, without unknown servers."""
        report = {}
        for entry in entries:
            server = self.by_hash.get(entry.server)
            if server is None:
                continue
            since_recovery_s = None
            if entry.since_recovery_ms != NO_RECOVERY:
                since_recovery_s = entry.since_recovery_ms / 1000.0
            report[server] = outliers.Evidence(
                entry.attempts / ATTEMPTS_SCALE,
                entry.bad / ATTEMPTS_SCALE,
                since_recovery_s,
            )
        return report

    def decode_limits(
        self, entries: Sequence[EncodedLimit]
    ) -> dict[models.ServerId, limits_lib.LimitReport]:
        """Returns reports of limits by server, without unknown processes."""
        reports = {}
        for entry in entries:
            server = self.by_process.get(entry.server)
            if server is None or entry.rate < NO_LIMIT:
                continue
            rate = None if entry.rate == NO_LIMIT else entry.rate / LIMIT_SCALE
            reports[server] = limits_lib.LimitReport(
                rate, entry.age_ms / 1000.0
            )
        return reports

    def decode_statements(
        self, entries: Sequence[EncodedStatement]
    ) -> dict[models.ServerId, models.Statement]:
        """Returns statements by server, without unknown processes."""
        statements = {}
        for entry in entries:
            server = self.by_process.get(entry.server)
            if server is not None:
                statements[server] = _decode_statement(entry)
        return statements

    def decode_demand(
        self, entries: Sequence[EncodedDemand]
    ) -> dict[models.ServerId, float]:
        """Returns demand by server, without unknown servers."""
        demand = {}
        for entry in entries:
            server = self.by_hash.get(entry.server)
            if server is not None:
                demand[server] = max(0, entry.rate) / RATE_SCALE
        return demand

    def decode_digest(self, digest: Digest) -> relays.Summary:
        """Decodes a digest into a region's summary."""
        states = dict.fromkeys(digest.ready, members.HostState.READY)
        states |= dict.fromkeys(digest.starting, members.HostState.STARTING)
        states |= dict.fromkeys(digest.leaving, members.HostState.LEAVING)
        states |= dict.fromkeys(digest.cut, members.HostState.CUT)
        return relays.Summary(
            decode_host(digest.relay),
            *decode_tables(digest),
            states,
            [decode_host(entry) for entry in digest.named],
            decode_usages(digest.usages),
            self.decode_work(digest.work),
            digest.warm,
            self.decode_evidence(digest.evidence),
            self.decode_limits(digest.limits),
            self.decode_demand(digest.demand),
            decode_suspects(digest.suspects),
            self.decode_statements(digest.statements),
        )


def encode(
    message: Heartbeat | Contacts | Digest | Suspicions | EncodedTable,
) -> bytes:
    """Encodes a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Heartbeat | Contacts | Digest | Suspicions:
    """Decodes a datagram.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid message.
    """
    return _MESSAGE.decode(data)


def encode_table(mirror: mirrors.Mirror, now: float) -> bytes:
    """Encodes all rows of a table, and what is kept beside them."""
    confirmed = mirror.confirmed_page()
    rows = tuple(mirror.rows.values())
    page = dataclasses.replace(confirmed, rows=rows)
    return encode_page(page, now, now - mirror.answered_at)


def encode_page(
    page: wire.Page, now: float, answer_age_s: float = math.inf
) -> bytes:
    """Encodes a page of a table's rows.

    Args:
        page: The rows.
        now: Current time in seconds.
        answer_age_s: Seconds since the store last answered this host's call
            for the table.
    """
    rows = [EncodedRow(row.key, row.value, row.version) for row in page.rows]
    confirmed = []
    if isinstance(page, mirrors.PeerPage):
        confirmed = [
            _encode_confirmed(key, entry, now) for key, entry in page.confirmed
        ]
    age_ms = _encode_answer_age(answer_age_s)
    return encode(EncodedTable(page.version, rows, page.era, confirmed, age_ms))


def decode_table(data: bytes, table: str, now: float) -> mirrors.PeerPage:
    """Decodes rows of a table.

    Args:
        data: The encoded rows.
        table: Name of the table.
        now: Current time in seconds.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid table.
    """
    encoded = _TABLE.decode(data)
    rows = tuple(wire.Row(r.key, r.value, r.version) for r in encoded.rows)
    confirmed = tuple(
        (entry.key, _decode_confirmed(entry, table, now))
        for entry in encoded.confirmed
    )
    return mirrors.PeerPage(
        rows,
        encoded.version,
        False,
        encoded.era,
        confirmed,
        _decode_answer_age(encoded.answer_age_ms),
    )


def encode_reports(
    operators: members.TableReport, servers: members.TableReport
) -> EncodedReports:
    """Encodes what a host reports of its tables, besides their versions."""
    return EncodedReports(
        operators.version.era,
        servers.version.era,
        operators.confirmed,
        servers.confirmed,
        _encode_answer_age(operators.answer_age_s),
        _encode_answer_age(servers.answer_age_s),
    )


def decode_tables(
    message: Heartbeat | Digest,
) -> tuple[members.TableReport, members.TableReport]:
    """Returns what a host reports of its two tables, the operators' first."""
    reports = message.tables
    return (
        members.TableReport(
            models.TableVersion(reports.op, message.op_version),
            reports.op_confirmed,
            _decode_answer_age(reports.op_age_ms),
        ),
        members.TableReport(
            models.TableVersion(reports.servers, message.servers_version),
            reports.servers_confirmed,
            _decode_answer_age(reports.servers_age_ms),
        ),
    )


def _encode_confirmed(
    key: str, entry: restores.Confirmed, now: float
) -> EncodedConfirmed:
    held_ms = FOREVER
    if entry.held_until != math.inf:
        held_ms = max(0, round((entry.held_until - now) * 1000.0))
    return EncodedConfirmed(
        key,
        entry.state.value,
        entry.state.number,
        entry.is_removed,
        entry.written_at.era,
        entry.written_at.number,
        held_ms,
    )


def _decode_confirmed(
    entry: EncodedConfirmed, table: str, now: float
) -> restores.Confirmed:
    held_until = math.inf
    if entry.held_ms != FOREVER:
        held_until = now + entry.held_ms / 1000.0
    order = wire.decode_order(table, entry.key, entry.value)
    return restores.Confirmed(
        restores.RowState(entry.value, entry.number, order),
        entry.is_removed,
        models.TableVersion(entry.era, entry.version),
        held_until,
    )


def encode_digest(
    summary: relays.Summary, servers: Mapping[models.ServerId, views.Server]
) -> bytes:
    """Encodes a region's summary as a digest."""
    by_state: dict[members.HostState, list[int]] = {
        state: [] for state in members.HostState
    }
    for number, state in summary.states.items():
        by_state[state].append(number)
    return encode(
        Digest(
            encode_host(summary.relay),
            summary.operators.version.number,
            summary.servers.version.number,
            by_state[members.HostState.READY] + by_state[members.HostState.CUT],
            by_state[members.HostState.STARTING],
            by_state[members.HostState.LEAVING],
            [encode_host(host) for host in summary.identities],
            encode_usages(summary.usages),
            encode_work(summary.in_flight),
            list(summary.warm_pairs),
            encode_evidence(summary.evidence),
            encode_limits(summary.limits, servers),
            encode_demand(summary.demand),
            encode_reports(summary.operators, summary.servers),
            encode_suspects(summary.suspects),
            by_state[members.HostState.CUT],
            encode_statements(summary.statements, servers),
        )
    )


def encode_work(work: Mapping[models.ServerId, int]) -> list[EncodedWork]:
    """Encodes requests in flight by server."""
    return [
        EncodedWork(hash_server(server), count)
        for server, count in work.items()
    ]


def encode_evidence(
    report: Mapping[models.ServerId, outliers.Evidence],
) -> list[EncodedEvidence]:
    """Encodes evidence on servers."""
    entries = []
    for server, evidence in report.items():
        since_recovery_ms = NO_RECOVERY
        if evidence.since_recovery_s is not None:
            since_recovery_ms = round(evidence.since_recovery_s * 1000.0)
        entries.append(
            EncodedEvidence(
                hash_server(server),
                round(evidence.attempts * ATTEMPTS_SCALE),
                round(evidence.bad * ATTEMPTS_SCALE),
                since_recovery_ms,
            )
        )
    return entries


def encode_limits(
    reports: Mapping[models.ServerId, limits_lib.LimitReport],
    servers: Mapping[models.ServerId, views.Server],
) -> list[EncodedLimit]:
    """Encodes reports of limits, without those of servers that are gone."""
    entries = []
    for id_, report in reports.items():
        server = servers.get(id_)
        if server is None:
            continue
        rate = NO_LIMIT
        if report.rate is not None:
            rate = round(min(report.rate, MAX_LIMIT) * LIMIT_SCALE)
        process = hash_process(id_, server.registration.started_ms)
        entries.append(EncodedLimit(process, rate, round(report.age_s * 1000)))
    return entries


def encode_statements(
    statements: Mapping[models.ServerId, models.Statement],
    servers: Mapping[models.ServerId, views.Server],
) -> list[EncodedStatement]:
    """Encodes what servers say of themselves, without those that are gone."""
    entries = []
    for id_, statement in statements.items():
        server = servers.get(id_)
        if server is None:
            continue
        process = hash_process(id_, server.registration.started_ms)
        entries.append(_encode_statement(process, statement))
    return entries


def encode_removals(
    removals: Sequence[models.ProcessRemoval],
) -> list[EncodedRemoval]:
    """Encodes removals of servers' entries."""
    return [
        EncodedRemoval(
            told.server,
            told.started_ms,
            told.removal.at.era,
            told.removal.at.number,
            told.removal.sequence,
        )
        for told in removals
    ]


def decode_removals(
    entries: Sequence[EncodedRemoval],
) -> list[models.ProcessRemoval]:
    """Decodes removals of servers' entries."""
    return [
        models.ProcessRemoval(
            models.ServerId(entry.server),
            entry.started_ms,
            models.EntryRemoval(
                models.TableVersion(entry.era, entry.version), entry.sequence
            ),
        )
        for entry in entries
    ]


def _encode_statement(
    process: int, statement: models.Statement
) -> EncodedStatement:
    cold_ms = round((statement.cold_left_s or 0.0) * 1000.0)
    removal = statement.removal
    if removal is None:
        return EncodedStatement(process, statement.is_leaving, cold_ms)
    return EncodedStatement(
        process,
        statement.is_leaving,
        cold_ms,
        removal.at.era,
        removal.at.number,
        removal.sequence,
    )


def _decode_statement(entry: EncodedStatement) -> models.Statement:
    removal = None
    if entry.removed_version != NEVER:
        removal = models.EntryRemoval(
            models.TableVersion(entry.removed_era, entry.removed_version),
            entry.removed_sequence,
        )
    cold_left_s = max(0, entry.cold_ms) / 1000.0
    return models.Statement(entry.is_leaving, cold_left_s, removal)


def encode_demand(
    demand: Mapping[models.ServerId, float],
) -> list[EncodedDemand]:
    """Encodes demand by server."""
    return [
        EncodedDemand(hash_server(server), round(rate * RATE_SCALE))
        for server, rate in demand.items()
    ]


def encode_suspects(
    reports: Sequence[suspects_lib.SuspectReport],
) -> list[EncodedSuspect]:
    """Encodes reports of requests that may crash servers."""
    return [
        EncodedSuspect(
            report.fingerprint,
            [
                (process, round(age_s * 1000.0))
                for process, age_s in report.endings
            ],
            _encode_age(report.borne_age_s),
            report.refusals,
            _encode_age(report.refused_age_s),
            _encode_age(report.claimed_age_s),
            report.claimed_by,
        )
        for report in reports
    ]


def decode_suspects(
    entries: Sequence[EncodedSuspect],
) -> list[suspects_lib.SuspectReport]:
    """Decodes reports of requests that may crash servers."""
    return [
        suspects_lib.SuspectReport(
            models.Fingerprint(entry.fingerprint),
            tuple(
                (process, max(0, age_ms) / 1000.0)
                for process, age_ms in entry.endings
            ),
            _decode_age(entry.borne_age_ms),
            entry.refusals,
            _decode_age(entry.refused_age_ms),
            _decode_age(entry.claimed_age_ms),
            entry.claimed_by,
        )
        for entry in entries
    ]


def _encode_answer_age(age_s: float) -> int:
    """Encodes an age, rounded up; NEVER if it tells nothing of use."""
    return math.ceil(age_s * 1000.0) if age_s <= MAX_ANSWER_AGE_S else NEVER


def _decode_answer_age(age_ms: int) -> float:
    return math.inf if age_ms < 0 else age_ms / 1000.0


def _encode_age(age_s: float | None) -> int:
    return NEVER if age_s is None else round(age_s * 1000.0)


def _decode_age(age_ms: int) -> float | None:
    return None if age_ms < 0 else age_ms / 1000.0


def encode_usages(usages: Sequence[quotas.Usage]) -> list[EncodedUsage]:
    """Encodes customers' counters."""
    return [
        EncodedUsage(
            usage.customer,
            usage.admitted,
            round(usage.offered_rate * RATE_SCALE),
        )
        for usage in usages
    ]


def decode_usages(entries: Sequence[EncodedUsage]) -> list[quotas.Usage]:
    """Decodes customers' counters."""
    return [
        quotas.Usage(
            models.CustomerName(entry.customer),
            entry.admitted,
            entry.offered_rate / RATE_SCALE,
        )
        for entry in entries
    ]


def encode_state(state: members.HostState) -> members.HostState:
    """Returns the state in a heartbeat, which hosts of all releases know."""
    if state is members.HostState.CUT:
        return members.HostState.READY
    return state


def decode_state(heartbeat: Heartbeat) -> members.HostState:
    """Decodes the state of the host that sent a heartbeat."""
    if heartbeat.is_cut and heartbeat.state is members.HostState.READY:
        return members.HostState.CUT
    return heartbeat.state


def encode_host(host: members.Host) -> EncodedHost:
    """Encodes a host's identity."""
    return EncodedHost(host.id, host.ip, host.zone, host.started_ms)


def decode_host(entry: EncodedHost) -> members.Host:
    """Decodes a host's identity."""
    return members.Host(
        models.HostId(entry.id),
        entry.ip,
        models.ZoneName(entry.zone),
        entry.started_ms,
    )


def hash_process(server: models.ServerId, started_ms: int) -> int:
    """Returns the hash that stands for one process of a server."""
    return xxhash.xxh32_intdigest(f"{server}\0{started_ms}".encode())


def hash_server(server: models.ServerId) -> int:
    """Returns the hash that replaces a server's id in datagrams."""
    return xxhash.xxh32_intdigest(server.encode())

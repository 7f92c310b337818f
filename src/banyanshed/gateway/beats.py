"""Form of the datagrams and table copies between hosts.

Arrays of msgpack; servers and hosts are told by a hash where their name is
known to the receiver.
"""

from collections.abc import Collection, Mapping, Sequence

import msgspec
import xxhash

from banyanshed.gateway import mirrors
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import quotas
from banyanshed.steering import relays

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
    """A whole table, or changes of one."""

    version: int
    rows: list[RowForm]


class Digest(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """What the hosts of a region have together."""

    relay: HostForm
    op_version: int
    servers_version: int
    ready: list[int]
    starting: list[int]
    leaving: list[int]
    named: list[HostForm]
    usages: list[UsageForm]
    work: list[WorkForm]
    warm: list[int]
    evidence: list[EvidenceForm]


_MESSAGE = msgspec.msgpack.Decoder(Beat | Contacts | Digest)
_TABLE = msgspec.msgpack.Decoder(TableForm)
_ENCODER = msgspec.msgpack.Encoder()


class ServerNames:
    """Names of servers by the hash that stands for them."""

    def __init__(self) -> None:
        """Starts without servers."""
        self.by_hash: dict[int, models.ServerId] = {}
        self.version = -1

    def update(
        self, servers: Collection[models.ServerId], version: int
    ) -> None:
        """Takes the servers that are known, if they changed."""
        if self.version == version:
            return
        self.version = version
        self.by_hash = {hash_server(server): server for server in servers}

    def decode_work(
        self, forms: Sequence[WorkForm]
    ) -> dict[models.ServerId, int]:
        """Returns requests at work by server; unknown servers are left out."""
        work = {}
        for form in forms:
            server = self.by_hash.get(form.server)
            if server is not None:
                work[server] = form.at_work
        return work

    def decode_evidence(
        self, forms: Sequence[EvidenceForm]
    ) -> dict[models.ServerId, outliers.Evidence]:
        """Returns evidence by server; unknown servers are left out."""
        report = {}
        for form in forms:
            server = self.by_hash.get(form.server)
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
        return report

    def decode_digest(self, digest: Digest) -> relays.Summary:
        """Returns what a digest tells."""
        states = dict.fromkeys(digest.ready, members.HostState.READY)
        states |= dict.fromkeys(digest.starting, members.HostState.STARTING)
        states |= dict.fromkeys(digest.leaving, members.HostState.LEAVING)
        return relays.Summary(
            decode_host(digest.relay),
            digest.op_version,
            digest.servers_version,
            states,
            [decode_host(form) for form in digest.named],
            decode_usages(digest.usages),
            self.decode_work(digest.work),
            digest.warm,
            self.decode_evidence(digest.evidence),
        )


def encode(message: Beat | Contacts | Digest | TableForm) -> bytes:
    """Returns a message as bytes."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Beat | Contacts | Digest:
    """Returns a datagram's message.

    Raises:
        msgspec.MsgspecError: The bytes are no message.
    """
    return _MESSAGE.decode(data)


def encode_table(mirror: mirrors.Mirror) -> bytes:
    """Returns a whole table as bytes."""
    rows = tuple(mirror.rows.values())
    return encode_page(wire.Page(rows, mirror.version, False))


def encode_page(page: wire.Page) -> bytes:
    """Returns rows of a table as bytes."""
    rows = [RowForm(row.key, row.value, row.version) for row in page.rows]
    return encode(TableForm(page.version, rows))


def decode_table(data: bytes) -> wire.Page:
    """Returns rows of a table.

    Raises:
        msgspec.MsgspecError: The bytes are no table.
    """
    form = _TABLE.decode(data)
    rows = tuple(wire.Row(r.key, r.value, r.version) for r in form.rows)
    return wire.Page(rows, form.version, False)


def encode_digest(summary: relays.Summary) -> bytes:
    """Returns what a region's hosts have together as bytes."""
    by_state: dict[members.HostState, list[int]] = {
        state: [] for state in members.HostState
    }
    for number, state in summary.states.items():
        by_state[state].append(number)
    return encode(
        Digest(
            encode_host(summary.relay),
            summary.op_version,
            summary.servers_version,
            by_state[members.HostState.READY],
            by_state[members.HostState.STARTING],
            by_state[members.HostState.LEAVING],
            [encode_host(host) for host in summary.identities],
            encode_usages(summary.usages),
            encode_work(summary.in_flight),
            list(summary.warm_pairs),
            encode_evidence(summary.evidence),
        )
    )


def encode_work(work: Mapping[models.ServerId, int]) -> list[WorkForm]:
    """Returns the form of requests at work by server."""
    return [
        WorkForm(hash_server(server), count) for server, count in work.items()
    ]


def encode_evidence(
    report: Mapping[models.ServerId, outliers.Evidence],
) -> list[EvidenceForm]:
    """Returns the form of evidence on servers."""
    forms = []
    for server, evidence in report.items():
        passed_ms = NOT_PASSED
        if evidence.since_recovery_s is not None:
            passed_ms = round(evidence.since_recovery_s * 1000.0)
        forms.append(
            EvidenceForm(
                hash_server(server),
                round(evidence.attempts * ATTEMPTS_SCALE),
                round(evidence.bad * ATTEMPTS_SCALE),
                passed_ms,
            )
        )
    return forms


def encode_usages(usages: Sequence[quotas.Usage]) -> list[UsageForm]:
    """Returns the form of customers' counters."""
    return [
        UsageForm(
            usage.customer,
            usage.admitted,
            round(usage.offered_rate * RATE_SCALE),
        )
        for usage in usages
    ]


def decode_usages(forms: Sequence[UsageForm]) -> list[quotas.Usage]:
    """Returns customers' counters."""
    return [
        quotas.Usage(
            models.CustomerName(form.customer),
            form.admitted,
            form.offered_rate / RATE_SCALE,
        )
        for form in forms
    ]


def encode_host(host: members.Host) -> HostForm:
    """Returns the form of a host's identity."""
    return HostForm(host.id, host.ip, host.zone, host.started_ms)


def decode_host(form: HostForm) -> members.Host:
    """Returns a host's identity."""
    return members.Host(
        models.HostId(form.id),
        form.ip,
        models.ZoneName(form.zone),
        form.started_ms,
    )


def hash_server(server: models.ServerId) -> int:
    """Returns the number that stands for a server in datagrams."""
    return xxhash.xxh32_intdigest(server.encode())

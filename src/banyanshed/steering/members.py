"""Which hosts are alive, and which of them callers are sent to."""

from collections.abc import Iterable
import dataclasses
import enum

from banyanshed.steering import models

# A host is taken as down when it was not heard for this long.
HOST_TIMEOUT_S = 2.6
# A silent host is still told of this one for so long.
CONTACT_TIMEOUT_S = 30.0
# A silent host is tried now and then until it is forgotten.
FORGET_TIMEOUT_S = 600.0
MIN_HOSTS_IN_ZONE = 2
MAX_ADDRESSES = 64


class HostState(enum.Enum):
    """What a host says of itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host's identity.

    Attributes:
        id: Name of the host.
        ip: Its address; ports are the same on all hosts.
        zone: Availability zone.
        started_ms: Unix time of its process's start, in milliseconds.
    """

    id: models.HostId
    ip: str
    zone: models.ZoneName
    started_ms: int


@dataclasses.dataclass(slots=True)
class Member:
    """A peer as this host knows it.

    Attributes:
        host: Its identity.
        state: What it said last; STARTING while it was never heard.
        heard_at: When it was last heard; None when never.
        discovered_at: When this host learned of it.
        op_version: Newest change of the configuration's table that it knows.
        servers_version: Newest change of the servers' table that it knows.
    """

    host: Host
    state: HostState
    heard_at: float | None
    discovered_at: float
    op_version: int = 0
    servers_version: int = 0

    def update_versions(self, op_version: int, servers_version: int) -> None:
        """Takes versions that it told; words may arrive out of order."""
        self.op_version = max(self.op_version, op_version)
        self.servers_version = max(self.servers_version, servers_version)


class Members:
    """All hosts as one of them knows them."""

    def __init__(
        self,
        own: Host,
        zones: dict[models.ZoneName, models.RegionName],
        host_timeout_s: float = HOST_TIMEOUT_S,
    ):
        """Takes the identity of this host and the zones' regions.

        Args:
            own: This host.
            zones: Region of each availability zone.
            host_timeout_s: A host that was not heard for this long is down.
        """
        self.own = own
        self.own_state = HostState.STARTING
        self.zones = zones
        self.host_timeout_s = host_timeout_s
        self.own_region = zones.get(own.zone, models.RegionName(""))
        self.peers: dict[models.HostId, Member] = {}
        self.next_silent_index = 0

    def discover(self, host: Host, now: float) -> bool:
        """Takes a peer's identity from a third party; true when new."""
        if host.id == self.own.id:
            return False
        known = self.peers.get(host.id)
        if known is not None and known.host.started_ms >= host.started_ms:
            return False
        self.peers[host.id] = Member(host, HostState.STARTING, None, now)
        return True

    def record_state(
        self, host: Host, state: HostState, now: float
    ) -> Member | None:
        """Takes a peer's own word; None when it is of an older process."""
        if host.id == self.own.id:
            return None
        known = self.peers.get(host.id)
        if known is not None and known.host.started_ms > host.started_ms:
            return None
        if known is None or known.host.started_ms != host.started_ms:
            known = Member(host, state, now, now)
            self.peers[host.id] = known
        known.state = state
        known.heard_at = now
        return known

    def live(self, now: float) -> list[Member]:
        """Returns the peers that were heard lately and do not leave."""
        found = []
        for member in self.peers.values():
            if member.state is HostState.LEAVING:
                continue
            if self._is_heard(member, now):
                found.append(member)
        return found

    def live_in_region(self, now: float) -> list[Member]:
        """Returns the live peers of this host's region."""
        return [m for m in self.live(now) if self.is_in_own_region(m)]

    def is_in_own_region(self, member: Member) -> bool:
        """Whether a peer is in this host's region."""
        return self.zones.get(member.host.zone) == self.own_region

    def by_region(
        self, known: Iterable[Member]
    ) -> dict[models.RegionName, list[Member]]:
        """Returns peers by region; those of unknown zones are left out."""
        regions: dict[models.RegionName, list[Member]] = {}
        for member in known:
            region = self.zones.get(member.host.zone)
            if region is not None:
                regions.setdefault(region, []).append(member)
        return regions

    def live_ids(self, now: float) -> list[models.HostId]:
        """Returns the ids of the live hosts, this one among them."""
        ids = [member.host.id for member in self.live(now)]
        ids.append(self.own.id)
        return ids

    def contacts(self, now: float) -> list[Member]:
        """Returns the peers that are worth telling."""
        return [
            m for m in self.peers.values() if _age_s(m, now) < CONTACT_TIMEOUT_S
        ]

    def next_silent(self, now: float) -> Member | None:
        """Returns a peer that was silent for long, another with each call.

        A cut may have lasted so long that both sides stopped telling each
        other; whoever tries first ends that.
        """
        silent = [
            m
            for m in self.peers.values()
            if _age_s(m, now) >= CONTACT_TIMEOUT_S
        ]
        if not silent:
            return None
        self.next_silent_index += 1
        return silent[self.next_silent_index % len(silent)]

    def drop_expired(self, now: float) -> list[models.HostId]:
        """Forgets peers that were silent for very long; returns their ids."""
        gone = [
            id_
            for id_, member in self.peers.items()
            if _age_s(member, now) >= FORGET_TIMEOUT_S
        ]
        for id_ in gone:
            del self.peers[id_]
        return gone

    def resolve(self, region: str, zone: str, now: float) -> list[str]:
        """Returns the addresses of the hosts that a caller should use.

        Hosts of the caller's zone go first; those of its region follow when
        the zone has too few, and other regions only when it has none.
        """
        ready = self._ready(now)
        nearest = [host for host in ready if host.zone == zone]
        if len(nearest) < MIN_HOSTS_IN_ZONE:
            nearest = [
                host for host in ready if self.zones.get(host.zone) == region
            ]
        if not nearest:
            nearest = ready
        return [host.ip for host in nearest[:MAX_ADDRESSES]]

    def _ready(self, now: float) -> list[Host]:
        ready = []
        if self.own_state is HostState.READY:
            ready.append(self.own)
        for member in self.live(now):
            if member.state is HostState.READY:
                ready.append(member.host)
        return ready

    def _is_heard(self, member: Member, now: float) -> bool:
        return member.heard_at is not None and (
            now - member.heard_at < self.host_timeout_s
        )


def _age_s(member: Member, now: float) -> float:
    """Returns the time since a peer was heard, or first heard of."""
    since = member.heard_at
    if since is None:
        since = member.discovered_at
    return now - since

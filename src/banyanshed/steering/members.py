"""Fleet membership: which hosts are live, and which serve a caller."""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import enum
import math

from banyanshed.steering import models

# A host counts as down when nothing was heard from it for this long.
HOST_TIMEOUT_S = 2.6
# Messages are still sent to a silent host for this long.
CONTACT_TIMEOUT_S = 30.0
# A silent host is contacted occasionally for this long, then forgotten.
FORGET_TIMEOUT_S = 600.0
# A host that hears nothing of any other for this long may be cut off from all.
ALONE_S = 1.25
# How long the fraction of hosts that are heard is not computed again.
SHARE_CACHE_S = 0.05
MIN_HOSTS_IN_ZONE = 2
MAX_ADDRESSES = 64


class HostState(enum.Enum):
    """State that a host reports of itself.

    Attributes:
        STARTING: It has not read the platform's tables yet.
        READY: It has read them, and callers may be sent to it.
        CUT: It is ready, but reaches no backend server itself, so that it
            passes requests on to peers.
        LEAVING: It is stopping.
    """

    STARTING = "starting"
    READY = "ready"
    CUT = "cut"
    LEAVING = "leaving"


SERVING_STATES = frozenset({HostState.READY, HostState.CUT})


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host's identity.

    Attributes:
        id: Id of the host.
        ip: Its IP address; ports are the same on all hosts.
        zone: Its availability zone.
        started_ms: Unix time of its process's start in milliseconds.
    """

    id: models.HostId
    ip: str
    zone: models.ZoneName
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableReport:
    """What a host reports of its copy of a table.

    Attributes:
        version: Newest version that it has.
        confirmed: Fingerprint of what it keeps from before a restore of the
            store; 0 if there is nothing.
        answer_age_s: Seconds from the store's last answer to the host until
            the report; infinite if there was none or the host doesn't tell.
    """

    version: models.TableVersion = models.NO_TABLE
    confirmed: int = 0
    answer_age_s: float = math.inf

    def merge(self, newer: "TableReport") -> "TableReport":
        """Returns the newer report; messages may arrive out of order."""
        return newer if newer.version >= self.version else self


@dataclasses.dataclass(slots=True)
class Member:
    """A peer as known to this host.

    Attributes:
        host: Its identity.
        state: State last reported; STARTING if it was never heard from.
        heard_at: When it was last heard from; None if never.
        discovered_at: When this host first knew of it.
        operators: What it reports of the configuration table.
        servers: What it reports of the server table.
    """

    host: Host
    state: HostState
    heard_at: float | None
    discovered_at: float
    operators: TableReport = TableReport()
    servers: TableReport = TableReport()

    def update_tables(
        self, operators: TableReport, servers: TableReport
    ) -> None:
        """Updates what it reports of its tables."""
        self.operators = self.operators.merge(operators)
        self.servers = self.servers.merge(servers)


class Members:
    """All hosts of the fleet as known to one of them.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        own: Host,
        zones: dict[models.ZoneName, models.RegionName],
        host_timeout_s: float = HOST_TIMEOUT_S,
    ):
        """Starts without peers.

        Args:
            own: Identity of this host.
            zones: Region of each availability zone.
            host_timeout_s: Silence in seconds after which a host counts as
                down.
        """
        self.own = own
        self.own_state = HostState.STARTING
        self.zones = zones
        self.host_timeout_s = host_timeout_s
        self.own_region = zones.get(own.zone, models.RegionName(""))
        self.peers: dict[models.HostId, Member] = {}
        self.next_silent_index = 0
        # Whether the store or a seed has listed the hosts.
        self.are_all_known = False
        self.heard_any_at = float("-inf")
        self.share = 0.0
        self.share_at = float("-inf")

    def discover(self, host: Host, now: float) -> bool:
        """Adds a peer that a third party reported; returns whether it is new.

        A newer process of a known host replaces the older one.
        """
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
        """Records the state that a peer reported.

        Returns:
            The peer; None for a report of this host or of an older process.
        """
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
        self.heard_any_at = now
        return known

    def live(self, now: float) -> list[Member]:
        """Returns the peers heard from recently that are not leaving."""
        found = []
        for member in self.peers.values():
            if member.state is HostState.LEAVING:
                continue
            if self._is_heard(member, now):
                found.append(member)
        return found

    def live_in_region(self, now: float) -> list[Member]:
        """Returns the live peers in this host's region."""
        return [m for m in self.live(now) if self.is_in_own_region(m)]

    def is_in_own_region(self, member: Member) -> bool:
        """Returns whether a peer is in this host's region."""
        return self.zones.get(member.host.zone) == self.own_region

    def by_region(
        self, known: Iterable[Member]
    ) -> dict[models.RegionName, list[Member]]:
        """Returns peers by region, without those in unknown zones."""
        regions: dict[models.RegionName, list[Member]] = {}
        for member in known:
            region = self.zones.get(member.host.zone)
            if region is not None:
                regions.setdefault(region, []).append(member)
        return regions

    def live_ids(self, now: float) -> list[models.HostId]:
        """Returns the ids of the live hosts, including this one."""
        ids = [member.host.id for member in self.live(now)]
        ids.append(self.own.id)
        return ids

    def live_regions(
        self, now: float
    ) -> dict[models.HostId, models.RegionName]:
        """Returns the live hosts, including this one, with their regions."""
        hosts = {self.own.id: self.own_region}
        for member in self.live(now):
            region = self.zones.get(member.host.zone)
            if region is not None:
                hosts[member.host.id] = region
        return hosts

    def set_cut(self, is_cut: bool) -> bool:
        """Sets whether this host reaches no server; returns if it changed.

        Only a host that is ready can be in this state.
        """
        before, after = HostState.READY, HostState.CUT
        if not is_cut:
            before, after = after, before
        if self.own_state is not before:
            return False
        self.own_state = after
        return True

    def choose_helper(
        self,
        regions: Collection[models.RegionName],
        tried: Collection[models.HostId],
        random: Callable[[], float],
        now: float,
    ) -> Member | None:
        """Returns a ready peer to which this host passes a request on.

        Peers of this host's region come first, unless more of its hosts are cut
        off from the servers than are ready: then all regions share the load.

        Args:
            regions: Regions that may get the request; empty for all.
            tried: Peers that were tried.
            random: Returns random numbers from 0 up to 1.
            now: Current time in seconds.
        """
        ready = []
        cut_near = 1
        for member in self.live(now):
            is_near = self.is_in_own_region(member)
            if member.state is HostState.CUT and is_near:
                cut_near += 1
            if member.state is not HostState.READY or member.host.id in tried:
                continue
            if regions and self.zones.get(member.host.zone) not in regions:
                continue
            ready.append(member)
        if not ready:
            return None
        near = [member for member in ready if self.is_in_own_region(member)]
        if near and random() * cut_near < len(near):
            ready = near
        return ready[int(random() * len(ready))]

    def contacts(self, now: float) -> list[Member]:
        """Returns the peers that messages are sent to."""
        return [
            m for m in self.peers.values() if _age_s(m, now) < CONTACT_TIMEOUT_S
        ]

    def sharing_hosts(
        self, now: float
    ) -> dict[models.HostId, models.RegionName]:
        """Returns the hosts that divide a limit, with their regions.

        A host that is leaving has given up its part. A host that fell silent
        keeps it while messages are sent to it, as it may still be running.
        """
        hosts = {}
        if self.own_state is not HostState.LEAVING:
            hosts[self.own.id] = self.own_region
        for member in self.contacts(now):
            region = self.zones.get(member.host.zone)
            if region is None or member.state is HostState.LEAVING:
                continue
            hosts[member.host.id] = region
        return hosts

    def heard_share(self, now: float) -> float:
        """Returns the hosts heard recently as a fraction of all hosts.

        A silent host may be running until it is heard to leave or to start
        anew; one that was never heard, only for as long as messages are sent to
        it. Until all hosts are known, each availability zone is taken to
        have one at least.

        Args:
            now: Current time in seconds.
        """
        if 0.0 <= now - self.share_at < SHARE_CACHE_S:
            return self.share
        heard = 1
        silent = 0
        is_alone = now - self.heard_any_at > ALONE_S
        for member in self.peers.values():
            if self._is_heard(member, now) and not is_alone:
                heard += 1
            elif _may_run(member, now):
                silent += 1
        known = heard + silent
        if not self.are_all_known:
            known = max(known, len(self.zones))
        self.share = heard / known
        self.share_at = now
        return self.share

    def count_newcomers(self, now: float, within_s: float) -> int:
        """Returns the live peers that started at about the same time."""
        return sum(
            self.is_newcomer(member.host.id, within_s)
            for member in self.live(now)
        )

    def is_newcomer(self, host: models.HostId, within_s: float) -> bool:
        """Returns whether a peer started at about the same time as this one."""
        member = self.peers.get(host)
        if member is None:
            return False
        ahead_ms = member.host.started_ms - self.own.started_ms
        return abs(ahead_ms) < within_s * 1000.0

    def next_silent(self, now: float) -> Member | None:
        """Returns one of the long silent peers, in rotation; None if none.

        After a long network partition both sides have stopped sending to
        each other. Occasional messages to silent peers reconnect them.
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
        """Removes peers silent for `FORGET_TIMEOUT_S`; returns their ids."""
        expired_ids = [
            id_
            for id_, member in self.peers.items()
            if _age_s(member, now) >= FORGET_TIMEOUT_S
        ]
        for id_ in expired_ids:
            del self.peers[id_]
        return expired_ids

    def resolve(self, region: str, zone: str, now: float) -> list[str]:
        """Returns the IP addresses of the hosts that a caller should use.

        These are the ready hosts of the caller's zone, those of its region
        when the zone has fewer than `MIN_HOSTS_IN_ZONE`, and those of all
        regions when its region has none; at most `MAX_ADDRESSES` of them.

        Args:
            region: Region of the caller.
            zone: Availability zone of the caller.
            now: Current time in seconds.
        """
        serving = self._serving(now)
        nearest = [host for host in serving if host.zone == zone]
        if len(nearest) < MIN_HOSTS_IN_ZONE:
            nearest = [
                host for host in serving if self.zones.get(host.zone) == region
            ]
        if not nearest:
            nearest = list(serving)
        # Hosts that are cut off from the servers are left out where the others
        # can take their callers.
        ready = [host for host in nearest if serving[host] is HostState.READY]
        if 2 * len(ready) >= len(nearest):
            nearest = ready
        return [host.ip for host in nearest[:MAX_ADDRESSES]]

    def _serving(self, now: float) -> dict[Host, HostState]:
        """Returns the hosts that serve callers, with their states."""
        serving = {}
        if self.own_state in SERVING_STATES:
            serving[self.own] = self.own_state
        for member in self.live(now):
            if member.state in SERVING_STATES:
                serving[member.host] = member.state
        return serving

    def _is_heard(self, member: Member, now: float) -> bool:
        return member.heard_at is not None and (
            now - member.heard_at < self.host_timeout_s
        )


def _may_run(member: Member, now: float) -> bool:
    """Returns whether a silent peer may be running."""
    if member.state is HostState.LEAVING:
        return False
    return member.heard_at is not None or _age_s(member, now) < (
        CONTACT_TIMEOUT_S
    )


def _age_s(member: Member, now: float) -> float:
    """Returns the seconds since a peer was heard from, or was discovered."""
    since = member.heard_at
    if since is None:
        since = member.discovered_at
    return now - since

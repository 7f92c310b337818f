"""Known entry hosts and their states, from gossip and the platform's list.

Entries about a host are ordered by its heartbeat, a counter that only the host
itself increments. It does so when it was suspected and a peer's request then
reaches it, which refutes the suspicion. At equal heartbeats a suspicion takes
precedence over the live state, so a stale entry cannot refute it. A replacement
process under the same id has another incarnation; it raises its heartbeat above
that of the entry it replaces as soon as it receives that entry.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math
import random

from banyanshed.core import models

EXPIRY_S = 7200.0
"""Seconds after which a host that is neither live nor listed is removed."""

# Maximum number of hosts that one call of `sweep` checks, and of hosts whose
# profile is to be requested.
SWEEP_HOSTS = 16
# Heartbeat of a listed host about which no entry has been received.
NO_HEARTBEAT = -1
# Maximum number of other incarnations under this host's id that are counted.
MAX_CONFLICTS = 16
# Size of an entry with a profile, in units of the size of one without.
PROFILE_UNITS = 3

STATE_PRECEDENCE = {
    models.HostState.LIVE: 0,
    models.HostState.LEAVING: 1,
    models.HostState.SUSPECTED: 2,
}


@dataclasses.dataclass(frozen=True)
class MemberEntry:
    """Gossip entry about a host.

    Attributes:
        host: Host that the entry describes.
        incarnation: Random 64-bit id of the host's process.
        heartbeat: Counter of that process.
        state: State of the host according to the sender.
        profile: Region, zone and addresses; None when omitted.
    """

    host: models.HostId
    incarnation: int
    heartbeat: int
    state: models.HostState
    profile: models.ListedHost | None = None


@dataclasses.dataclass
class Member:
    """What this host knows about a host.

    Attributes:
        profile: Region, zone and addresses.
        incarnation: Random id of the process; 0 before the first entry.
        heartbeat: Highest known heartbeat; NO_HEARTBEAT before the first entry.
        state: State according to gossip.
        changed_at_s: Monotonic time at which this host last changed the state
            or incarnation.
        listed: The platform's list contains the host.
        listed_leaving: The platform's list states that the host is leaving.
        announced_leaving: The process announced that it is leaving; it is
            expected to stop replying.
    """

    profile: models.ListedHost
    incarnation: int = 0
    heartbeat: int = NO_HEARTBEAT
    state: models.HostState = models.HostState.LIVE
    changed_at_s: float = -math.inf
    listed: bool = False
    listed_leaving: bool = False
    announced_leaving: bool = False

    def effective_state(self) -> models.HostState:
        """Returns the state, with leaving in the platform's list applied."""
        if self.listed_leaving and self.state is models.HostState.LIVE:
            return models.HostState.LEAVING
        return self.state

    def entry(self, *, with_profile: bool = False) -> MemberEntry:
        """Returns the entry to send to peers."""
        return MemberEntry(
            host=self.profile.host,
            incarnation=self.incarnation,
            heartbeat=self.heartbeat,
            state=self.state,
            profile=self.profile if with_profile else None,
        )


def supersedes(entry: MemberEntry, member: Member) -> bool:
    """Returns whether an entry is newer than the known state."""
    new = (entry.heartbeat, STATE_PRECEDENCE[entry.state], entry.incarnation)
    old = (member.heartbeat, STATE_PRECEDENCE[member.state], member.incarnation)
    return new > old


class Membership:
    """All known hosts, this one included.

    Attributes:
        own: Member that represents this host.
        members: All known hosts by id.
        conflicting_incarnations: Other incarnations seen under this host's id,
            with the number of times that each had a heartbeat at least as high
            as this host's; more than once means that two processes run under
            one id.
        wanted_profiles: Hosts that entries named but whose profile is unknown.
        region_sizes: Number of known hosts by region.
    """

    def __init__(
        self,
        profile: models.ListedHost,
        incarnation: int,
        rng: random.Random,
        now_s: float = 0.0,
    ):
        """Initializes a membership that contains only this host.

        Args:
            profile: This host's region, zone and addresses.
            incarnation: Random 64-bit id of this process, above 0.
            rng: Source of random numbers.
            now_s: Monotonic time in seconds.
        """
        self.rng = rng
        self.own = Member(
            profile, incarnation=incarnation, heartbeat=0, changed_at_s=now_s
        )
        self.members: dict[models.HostId, Member] = {}
        self.conflicting_incarnations: dict[int, int] = {}
        self.wanted_profiles: dict[models.HostId, None] = {}
        self.region_sizes: collections.Counter[models.RegionId] = (
            collections.Counter()
        )
        self._host_order: list[models.HostId] = []
        self._positions: dict[models.HostId, int] = {}
        self._updates: collections.deque[models.HostId] = collections.deque()
        self._sends_left: dict[models.HostId, int] = {}
        self._sent_with_profile: set[models.HostId] = set()
        self._sweep_position = 0
        self._rotation_position = 0
        self._disputed_heartbeat = NO_HEARTBEAT
        self._add(self.own)
        self._queue_update(profile.host, with_profile=True)

    def states(self) -> dict[models.HostId, models.HostState]:
        """Returns the state of every known host, this one included."""
        return {
            host: member.effective_state()
            for host, member in self.members.items()
        }

    def state(self, host: models.HostId) -> models.HostState | None:
        """Returns the state of a host; None when it is unknown."""
        member = self.members.get(host)
        return member.effective_state() if member else None

    def live_hosts(self) -> tuple[models.ListedHost, ...]:
        """Returns the live hosts, which look-ups may return, sorted by id."""
        return tuple(
            self.members[host].profile
            for host in sorted(self.members)
            if self.state(host) is models.HostState.LIVE
        )

    def is_sole_host(self, region: models.RegionId | None = None) -> bool:
        """Returns whether all other hosts, if any, are leaving.

        Args:
            region: Region whose hosts count; None for all hosts.
        """
        for member in self.members.values():
            if member is self.own:
                continue
            if region is not None and member.profile.region != region:
                continue
            if not member.announced_leaving and not member.listed_leaving:
                return False
        return True

    def refute(self) -> None:
        """Refutes suspicions of this host after a peer's request reached it."""
        if self._disputed_heartbeat >= self.own.heartbeat:
            self.own.heartbeat = self._disputed_heartbeat + 1
            self._queue_update(self.own.profile.host)

    def leave(self, now_s: float) -> None:
        """Marks this host as leaving and queues the update."""
        self.own.state = models.HostState.LEAVING
        self.own.changed_at_s = now_s
        self._queue_update(self.own.profile.host)

    def merge(self, now_s: float, entry: MemberEntry) -> bool:
        """Merges an entry; returns whether it contained anything new."""
        if entry.host == self.own.profile.host:
            return self._merge_own(entry)
        member = self.members.get(entry.host)
        if member is None:
            return self._merge_unknown(now_s, entry)
        if not supersedes(entry, member):
            return False
        replaced = entry.incarnation != member.incarnation
        if replaced and member.incarnation and entry.profile is None:
            self._request_profile(entry.host)
            return False
        # The first entry about a listed host is not worth spreading: other
        # hosts have the platform's list as well.
        incarnation_changed = replaced and member.incarnation != 0
        changed = incarnation_changed or entry.state is not member.state
        if entry.profile is not None:
            self._set_profile(member, entry.profile)
        member.incarnation = entry.incarnation
        member.heartbeat = entry.heartbeat
        member.state = entry.state
        if entry.state is not models.HostState.SUSPECTED:
            member.announced_leaving = entry.state is models.HostState.LEAVING
        if changed:
            member.changed_at_s = now_s
            self._queue_update(entry.host, with_profile=incarnation_changed)
        return True

    def suspect(
        self, now_s: float, host: models.HostId, heartbeat: int
    ) -> bool:
        """Suspects a host unless its heartbeat has changed since."""
        member = self.members.get(host)
        if member is None or member.heartbeat != heartbeat:
            return False
        if member.state is models.HostState.SUSPECTED:
            return False
        member.state = models.HostState.SUSPECTED
        member.changed_at_s = now_s
        if heartbeat > NO_HEARTBEAT:
            self._queue_update(host)
        return True

    def update_list(self, hosts: Iterable[models.ListedHost]) -> None:
        """Applies the platform's list, which may be stale."""
        unlisted = set(self.members)
        for profile in hosts:
            unlisted.discard(profile.host)
            member = self.members.get(profile.host)
            if member is None:
                member = Member(profile)
                self._add(member)
            if member.heartbeat == NO_HEARTBEAT:
                self._set_profile(member, profile)
            member.listed = True
            member.listed_leaving = profile.state is models.HostState.LEAVING
        for host in unlisted:
            self.members[host].listed = False
            self.members[host].listed_leaving = False

    def sweep(self, now_s: float) -> None:
        """Removes expired hosts; each call checks the next SWEEP_HOSTS ones."""
        for _ in range(min(SWEEP_HOSTS, len(self._host_order))):
            self._sweep_position = (self._sweep_position + 1) % len(
                self._host_order
            )
            host = self._host_order[self._sweep_position]
            member = self.members[host]
            if member is self.own or member.listed:
                continue
            if member.state is models.HostState.LIVE:
                continue
            if now_s - member.changed_at_s > EXPIRY_S:
                self._remove(host)

    def random_member(self) -> Member:
        """Returns any known host, this one included, in constant time."""
        return self.members[self.rng.choice(self._host_order)]

    def select_entries(
        self, max_units: int, max_unchanged: int, *, with_profiles: bool = False
    ) -> list[MemberEntry]:
        """Returns the entries to send: updates first, then others in rotation.

        New updates come before those that were sent already. Entries of new or
        replaced hosts include the profile and count as PROFILE_UNITS units,
        other entries as one. Unchanged entries follow in rotation, so that
        lost updates are repaired.

        Args:
            max_units: Maximum number of units of entries.
            max_unchanged: Maximum number of unchanged entries.
            with_profiles: Whether unchanged entries include the profile.
        """
        entries = []
        units = max_units
        taken = self._take_updates(max_units)
        for host in taken:
            if host not in self.members:
                continue
            with_profile = host in self._sent_with_profile
            entry = self.members[host].entry(with_profile=with_profile)
            entries.append(entry)
            units -= PROFILE_UNITS if with_profile else 1
        self._count_sends(taken)
        chosen = {entry.host for entry in entries}
        for _ in range(min(units, max_unchanged, len(self._host_order))):
            self._rotation_position = (self._rotation_position + 1) % len(
                self._host_order
            )
            member = self.members[self._host_order[self._rotation_position]]
            if member is self.own or member.heartbeat == NO_HEARTBEAT:
                continue
            if member.profile.host not in chosen:
                entries.append(member.entry(with_profile=with_profiles))
        return entries

    def queue_profile(self, host: models.HostId) -> None:
        """Queues an update with a host's profile, which a peer lacks."""
        member = self.members.get(host)
        if member is None or member.heartbeat == NO_HEARTBEAT:
            return
        self._sent_with_profile.add(host)
        if host not in self._sends_left:
            self._sends_left[host] = 1
            self._updates.appendleft(host)

    def take_wanted_profiles(self, max_hosts: int) -> tuple[models.HostId, ...]:
        """Returns hosts whose profile to request, and clears those requests."""
        taken = tuple(self.wanted_profiles)[:max_hosts]
        for host in taken:
            del self.wanted_profiles[host]
        return taken

    def _take_updates(self, max_units: int) -> list[models.HostId]:
        taken: list[models.HostId] = []
        units = max_units
        while self._updates and units > 0:
            host = self._updates.popleft()
            taken.append(host)
            units -= PROFILE_UNITS if host in self._sent_with_profile else 1
        return taken

    def _count_sends(self, taken: list[models.HostId]) -> None:
        for host in taken:
            self._sends_left[host] -= 1
            if self._sends_left[host] > 0:
                self._updates.append(host)
                continue
            del self._sends_left[host]
            self._sent_with_profile.discard(host)

    def _merge_own(self, entry: MemberEntry) -> bool:
        if entry.incarnation != self.own.incarnation:
            return self._merge_conflict(entry)
        if entry.state is not models.HostState.SUSPECTED:
            return False
        # Refuted only once a peer's request shows that this host is reachable.
        self._disputed_heartbeat = max(
            self._disputed_heartbeat, entry.heartbeat
        )
        return True

    def _merge_conflict(self, entry: MemberEntry) -> bool:
        if entry.heartbeat < self.own.heartbeat:
            return False
        if (
            len(self.conflicting_incarnations) < MAX_CONFLICTS
            or entry.incarnation in self.conflicting_incarnations
        ):
            conflicts = self.conflicting_incarnations.get(entry.incarnation, 0)
            self.conflicting_incarnations[entry.incarnation] = conflicts + 1
        self._disputed_heartbeat = max(
            self._disputed_heartbeat, entry.heartbeat
        )
        # No proof of reachability is needed: the entry describes the other
        # process, not this one.
        self.refute()
        return True

    def _merge_unknown(self, now_s: float, entry: MemberEntry) -> bool:
        if entry.state is models.HostState.SUSPECTED:
            return False
        if entry.profile is None:
            self._request_profile(entry.host)
            return False
        self._add(
            Member(
                entry.profile,
                incarnation=entry.incarnation,
                heartbeat=entry.heartbeat,
                state=entry.state,
                changed_at_s=now_s,
                announced_leaving=entry.state is models.HostState.LEAVING,
            )
        )
        self._queue_update(entry.host, with_profile=True)
        return True

    def _request_profile(self, host: models.HostId) -> None:
        if len(self.wanted_profiles) < SWEEP_HOSTS:
            self.wanted_profiles[host] = None

    def _set_profile(self, member: Member, profile: models.ListedHost) -> None:
        self.region_sizes[member.profile.region] -= 1
        self.region_sizes[profile.region] += 1
        member.profile = profile
        self.wanted_profiles.pop(profile.host, None)

    def _add(self, member: Member) -> None:
        host = member.profile.host
        self.members[host] = member
        self._positions[host] = len(self._host_order)
        self._host_order.append(host)
        self.region_sizes[member.profile.region] += 1
        self.wanted_profiles.pop(host, None)

    def _remove(self, host: models.HostId) -> None:
        member = self.members.pop(host)
        self.region_sizes[member.profile.region] -= 1
        position = self._positions.pop(host)
        last = self._host_order.pop()
        if last != host:
            self._host_order[position] = last
            self._positions[last] = position
        self._sweep_position = 0
        self._rotation_position = 0

    def _queue_update(
        self, host: models.HostId, *, with_profile: bool = False
    ) -> None:
        if with_profile:
            self._sent_with_profile.add(host)
        if host not in self._sends_left:
            self._updates.appendleft(host)
        sends = 2 * math.ceil(math.log(len(self.members) + 1))
        self._sends_left[host] = sends

"""Gossip between entry hosts: membership, configuration version, freshness.

Each tick sends requests to a few peers of a small partial view that changes
slowly. Requests and replies carry a bounded number of entries, so the cost of a
tick does not depend on the size of the fleet. A peer that does not reply is
probed through other hosts before it is suspected. A new version of the
configuration is pushed to several peers at once; a host that is behind fetches
the rows from a peer that announced the newer version.
"""

import collections
import dataclasses
import math
import random
from typing import Any

from banyanshed.core import freshness
from banyanshed.core import membership
from banyanshed.core import models

# In seconds: default time between ticks; default time in which other hosts
# probe a host before it is suspected; and half of the time for the reply to a
# second request to a host that did not reply.
INTERVAL_S = 1.0
SUSPECT_AFTER_S = 2.0
REPLY_TIMEOUT_S = 2.0
# Number of peers of the view that get a request in each tick, and number of
# those that get one at once when there is an update.
FANOUT = 1
PUSH_FANOUT = 4
# Number of peers in the partial view, and how many of them are in this host's
# availability zone and in the store's region, if there are enough.
VIEW_SIZE = 8
VIEW_ZONE_HOSTS = 2
VIEW_STORE_REGION_HOSTS = 2
# Number of ticks after which a random peer of a full view is replaced, and
# number after which a suspected host is tried again.
ROTATION_TICKS = 8
SUSPECT_RETRY_TICKS = 5
# Number of requests to seeds in each tick, by all hosts together.
SEED_REQUESTS = 2
# Maximum size of the entries in a message, in units (see `membership`), and
# maximum number of unchanged ones among them; larger for the reply to a host
# that knows less than half of the hosts.
MAX_ENTRY_UNITS = 14
MAX_UNCHANGED_ENTRIES = 4
MAX_JOIN_ENTRY_UNITS = 64
# Limits on what is read from a peer's message: entries, requests for profiles,
# and probes or their results.
MAX_ENTRIES = 80
MAX_WANTED_PROFILES = 8
MAX_PROBES = 4
# Maximum number of probes waiting to be sent, and of those sent in a tick.
MAX_QUEUED_PROBES = 32
PROBES_PER_TICK = 2
# Maximum number of hosts that did not reply and are being probed.
MAX_SUSPICIONS = 64
# Number of peers that are asked to probe a host that did not reply.
INDIRECT_PROBERS = 2
# After a pause of more than this many intervals between ticks, this host drops
# its suspicions, since it may have missed the replies itself.
RESUME_GAP_TICKS = 5
# Fraction of the maximum age of keys from which a peer in the store's region is
# preferred as a receiver.
CONTACT_REFRESH_RATIO = 0.4
# Time in seconds after which another fetch of the configuration may start.
FETCH_TIMEOUT_S = 120.0
# Maximum number of peers remembered for having a newer configuration.
MAX_NEWER_PEERS = 8
# Maximum number of random choices made in search of a suitable host.
MAX_SAMPLES = 8


@dataclasses.dataclass(frozen=True)
class GossipMessage:
    """A request to a peer, or the reply to one.

    Attributes:
        sender: Entry of the sender.
        version: Version of the configuration in force at the sender.
        known_hosts: Number of hosts that the sender knows.
        confirmed_age_s: Age in seconds of the sender's configuration; used in
            replies only, infinite in requests.
        contacts: Contacts with the store's region; in replies only.
        entries: Entries of other hosts; also the receiver's own entry when the
            sender suspects it or knows it by another incarnation.
        wanted_profiles: Hosts whose profile the sender lacks.
        probes: Hosts that the receiver should probe for the sender.
        reached: Hosts that replied to a probe that the receiver asked for.
    """

    sender: membership.MemberEntry
    version: int
    known_hosts: int
    confirmed_age_s: float = math.inf
    contacts: tuple[freshness.StoreRegionContact, ...] = ()
    entries: tuple[membership.MemberEntry, ...] = ()
    wanted_profiles: tuple[models.HostId, ...] = ()
    probes: tuple[models.HostId, ...] = ()
    reached: tuple[models.HostId, ...] = ()


@dataclasses.dataclass(frozen=True)
class GossipRequest:
    """A request to send to a peer.

    Attributes:
        host: Receiver; None for an address from the settings.
        address: "IP:port" of the receiver.
        message: Message to send.
    """

    host: models.HostId | None
    address: str
    message: GossipMessage


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A host that did not reply and is not yet suspected.

    Attributes:
        heartbeat: Heartbeat known when the host did not reply.
        deadline_s: Monotonic time at which this record ends; the host is then
            suspected if it was also probed indirectly.
        probed_indirectly: The host did not reply a second time, and other
            hosts were asked to probe it.
    """

    heartbeat: int
    deadline_s: float
    probed_indirectly: bool = False


class Gossip:
    """Selects gossip peers, builds messages and detects failed hosts.

    Attributes:
        members: Known hosts.
        freshness: Age of the configuration in force on this host.
        seeds: Peer addresses from the settings.
        newer_peers: Versions of peers that hold a newer configuration.
        suspicions: Hosts that did not reply.
        view: Hosts to send requests to, in rotation.
    """

    def __init__(
        self,
        members: membership.Membership,
        config_freshness: freshness.Freshness,
        rng: random.Random,
        store_region: models.RegionId,
        seeds: tuple[str, ...] = (),
        interval_s: float = INTERVAL_S,
        suspect_after_s: float = SUSPECT_AFTER_S,
    ):
        """Initializes gossip with an empty view.

        Args:
            members: Known hosts, kept up to date by gossip.
            config_freshness: Age of the configuration, kept up to date by
                gossip.
            rng: Source of random numbers.
            store_region: Region of the table service.
            seeds: Peer addresses from the settings.
            interval_s: Time between ticks, in seconds.
            suspect_after_s: Time in seconds in which other hosts probe a host
                that did not reply; it is then suspected.
        """
        self.members = members
        self.freshness = config_freshness
        self.rng = rng
        self.store_region = store_region
        self.seeds = seeds
        self.interval_s = interval_s
        self.suspect_after_s = suspect_after_s
        self.newer_peers: dict[models.HostId, int] = {}
        self.suspicions: dict[models.HostId, Suspicion] = {}
        self.view: list[models.HostId] = []
        self._probe_queue: collections.deque[
            tuple[models.HostId, models.HostId | None]
        ] = collections.deque()
        self._probe_requesters: dict[models.HostId, models.HostId] = {}
        self._peer_recovered = False
        self._ticks = 0
        self._last_tick_s = -math.inf
        self._fetch_until_s = -math.inf

    def tick(self, now_s: float) -> list[GossipRequest]:
        """Returns the requests to send in this interval."""
        if now_s - self._last_tick_s > RESUME_GAP_TICKS * self.interval_s:
            # This host was paused, so missing replies prove nothing.
            self.suspicions.clear()
        self._last_tick_s = now_s
        self._ticks += 1
        self._expire_suspicions(now_s)
        self.members.sweep(now_s)
        self.freshness.sole_in_store_region = self.members.is_sole_host(
            self.store_region
        )
        self.freshness.sole_in_fleet = self.members.is_sole_host()
        self._refresh_view()
        receivers = self._choose_receivers(now_s)
        requests = [self._request(now_s, host) for host in receivers]
        requests.extend(self._seed_requests(now_s))
        return requests

    def on_gossip(self, now_s: float, message: GossipMessage) -> GossipMessage:
        """Handles a peer's request and returns the reply."""
        self._merge(now_s, message)
        self.members.refute()
        sender = message.sender.host
        state = self.members.state(sender)
        if state is models.HostState.SUSPECTED:
            self._queue_probe(sender, None)
        for host in message.probes[:MAX_PROBES]:
            self._queue_probe(host, sender)
        self._record_peer_version(sender, message.version)
        return self._message(now_s, reply_to=message)

    def on_reply(
        self, now_s: float, sent_s: float, reply: GossipMessage
    ) -> list[GossipRequest]:
        """Handles the reply to a request sent at `sent_s`.

        Returns:
            Requests to send immediately.
        """
        host = reply.sender.host
        before = self.members.state(host)
        self._merge(now_s, reply)
        if before is models.HostState.SUSPECTED:
            # A partition may have healed: other hosts may be reachable again.
            self._peer_recovered = before is not self.members.state(host)
        self.suspicions.pop(host, None)
        self.freshness.on_reply(
            sent_s, reply.version, reply.confirmed_age_s, reply.contacts
        )
        self._record_peer_version(host, reply.version)
        requester = self._probe_requesters.pop(host, None)
        if requester is None or requester not in self.members.members:
            return []
        request = self._request(now_s, requester)
        message = dataclasses.replace(request.message, reached=(host,))
        return [dataclasses.replace(request, message=message)]

    def on_failure(
        self, now_s: float, host: models.HostId | None
    ) -> list[GossipRequest]:
        """Handles a request that got no reply.

        Returns:
            Requests that probe the host again, directly at first and then
            through other hosts.
        """
        if host is None:
            return []
        self._probe_requesters.pop(host, None)
        member = self.members.members.get(host)
        if member is None or member.state is models.HostState.SUSPECTED:
            return []
        suspicion = self.suspicions.get(host)
        if suspicion is None:
            return self._probe_again(now_s, host, member.heartbeat)
        if suspicion.probed_indirectly:
            return []
        self.suspicions[host] = Suspicion(
            suspicion.heartbeat, now_s + self.suspect_after_s, True
        )
        return self._probe_indirectly(now_s, host)

    def _probe_again(
        self, now_s: float, host: models.HostId, heartbeat: int
    ) -> list[GossipRequest]:
        """Sends a second request to a host that did not reply."""
        if len(self.suspicions) >= MAX_SUSPICIONS:
            return []
        self.suspicions[host] = Suspicion(
            heartbeat, now_s + 2 * REPLY_TIMEOUT_S
        )
        return [self._request(now_s, host)]

    def _probe_indirectly(
        self, now_s: float, host: models.HostId
    ) -> list[GossipRequest]:
        probers: set[models.HostId] = set()
        for _ in range(INDIRECT_PROBERS * MAX_SAMPLES):
            prober = self._sample_host(None)
            if prober is not None and prober != host:
                probers.add(prober)
            if len(probers) == INDIRECT_PROBERS:
                break
        return [
            self._request(now_s, prober, probes=(host,))
            for prober in sorted(probers)
        ]

    def on_version(self, now_s: float, version: int) -> list[GossipRequest]:
        """Records that a version is in force on this host.

        Returns:
            Requests that announce the version to several peers at once; none
            when it was already in force.
        """
        known = self.freshness.version
        self.freshness.on_version(version)
        self.newer_peers = {
            host: newer_version
            for host, newer_version in self.newer_peers.items()
            if newer_version > version
        }
        if version <= known:
            return []
        return self.announce(now_s)

    def announce(self, now_s: float) -> list[GossipRequest]:
        """Returns requests to several peers at once, to spread an update."""
        count = min(PUSH_FANOUT, len(self.view))
        receivers = self.rng.sample(self.view, count)
        return [self._request(now_s, host) for host in receivers]

    def next_fetch(self, now_s: float) -> models.HostId | None:
        """Returns a peer to fetch the configuration from.

        Only one fetch is in progress at a time, for up to FETCH_TIMEOUT_S.
        """
        if not self.newer_peers or now_s < self._fetch_until_s:
            return None
        self._fetch_until_s = now_s + FETCH_TIMEOUT_S
        newest = max(self.newer_peers.values())
        holders = [
            host for host, held in self.newer_peers.items() if held == newest
        ]
        return self.rng.choice(holders)

    def on_fetch_done(self, host: models.HostId, *, applied: bool) -> None:
        """Records the end of a fetch; a peer whose fetch failed is dropped."""
        self._fetch_until_s = -math.inf
        if not applied:
            self.newer_peers.pop(host, None)

    def state(self, now_s: float) -> dict[str, Any]:
        """Returns the state of gossip as JSON data."""
        return {
            "view": list(self.view),
            "doubted": sorted(self.suspicions),
            "ahead": {
                host: self.newer_peers[host]
                for host in sorted(self.newer_peers)
            },
            "words_age_s": {
                host: now_s - at_s
                for host, at_s in sorted(self.freshness.contacts.items())
            },
            "heartbeat": self.members.own.heartbeat,
            "rivals": {
                str(incarnation): times
                for incarnation, times in (
                    self.members.conflicting_incarnations.items()
                )
            },
        }

    def _merge(self, now_s: float, message: GossipMessage) -> None:
        self.members.merge(now_s, message.sender)
        for entry in message.entries[:MAX_ENTRIES]:
            self.members.merge(now_s, entry)
        for host in message.reached[:MAX_PROBES]:
            self.suspicions.pop(host, None)
        for host in message.wanted_profiles[:MAX_WANTED_PROFILES]:
            self.members.queue_profile(host)

    def _record_peer_version(self, host: models.HostId, version: int) -> None:
        if version <= self.freshness.version:
            return
        if host not in self.members.members:
            return
        if len(self.newer_peers) < MAX_NEWER_PEERS or host in self.newer_peers:
            self.newer_peers[host] = version

    def _expire_suspicions(self, now_s: float) -> None:
        for host, suspicion in list(self.suspicions.items()):
            member = self.members.members.get(host)
            if member is None or member.heartbeat > suspicion.heartbeat:
                del self.suspicions[host]
                continue
            if now_s < suspicion.deadline_s:
                continue
            del self.suspicions[host]
            if suspicion.probed_indirectly:
                self.members.suspect(now_s, host, suspicion.heartbeat)

    def _queue_probe(
        self, host: models.HostId, requester: models.HostId | None
    ) -> None:
        if len(self._probe_queue) < MAX_QUEUED_PROBES:
            self._probe_queue.append((host, requester))

    def _choose_receivers(self, now_s: float) -> list[models.HostId]:
        chosen: dict[models.HostId, None] = {}
        for _ in range(min(PROBES_PER_TICK, len(self._probe_queue))):
            host, requester = self._probe_queue.popleft()
            if host not in self.members.members or host == self._own_id():
                continue
            if (
                requester is not None
                and len(self._probe_requesters) < MAX_QUEUED_PROBES
            ):
                self._probe_requesters[host] = requester
            chosen[host] = None
        for host in self._view_receivers(now_s):
            chosen[host] = None
        if self._ticks % SUSPECT_RETRY_TICKS == 0 or self._peer_recovered:
            self._peer_recovered = False
            member = self._sample_suspected()
            if member is not self.members.own:
                chosen[member.profile.host] = None
        return list(chosen)

    def _sample_suspected(self) -> membership.Member:
        """Returns a suspected host if MAX_SAMPLES samples find one, or any."""
        member = self.members.own
        for _ in range(MAX_SAMPLES):
            member = self.members.random_member()
            if member.state is models.HostState.SUSPECTED:
                break
        return member

    def _view_receivers(self, now_s: float) -> list[models.HostId]:
        needs_contact = (
            self.freshness.config_age_s(now_s)
            > self.freshness.max_key_age_s * CONTACT_REFRESH_RATIO
            and self.freshness.contact_age_s(now_s)
            > self.freshness.max_key_age_s * CONTACT_REFRESH_RATIO
        )
        chosen = []
        for position, host in enumerate(self.view):
            if needs_contact and self._in_store_region(host):
                chosen.append(self.view.pop(position))
                break
        while self.view and len(chosen) < FANOUT:
            chosen.append(self.view.pop(0))
        self.view.extend(chosen)
        return chosen

    def _refresh_view(self) -> None:
        self.view = [host for host in self.view if self._is_live(host)]
        if self._ticks % ROTATION_TICKS == 0 and len(self.view) == VIEW_SIZE:
            self.view.remove(self.rng.choice(self.view))
        for _ in range(VIEW_SIZE - len(self.view)):
            host = self._sample_host(self._needed_locality())
            if host is not None and host not in self.view:
                self.view.append(host)

    def _needed_locality(self) -> str | None:
        own = self.members.own.profile
        profiles = [self.members.members[host].profile for host in self.view]
        if sum(other.zone == own.zone for other in profiles) < VIEW_ZONE_HOSTS:
            return "zone"
        in_store = sum(other.region == self.store_region for other in profiles)
        if in_store < VIEW_STORE_REGION_HOSTS:
            return "store"
        return "elsewhere"

    def _sample_host(self, locality: str | None) -> models.HostId | None:
        """Returns a random live host other than this one.

        Args:
            locality: "zone" for this host's availability zone, "store" for the
                store's region, "elsewhere" for any other region than this
                host's; a preference, which MAX_SAMPLES samples may not meet.
                None for any host.
        """
        own = self.members.own.profile
        fallback = None
        for _ in range(MAX_SAMPLES):
            profile = self.members.random_member().profile
            if not self._is_live(profile.host):
                continue
            fallback = profile.host
            if locality == "zone" and profile.zone != own.zone:
                continue
            if locality == "store" and profile.region != self.store_region:
                continue
            if locality == "elsewhere" and profile.region == own.region:
                continue
            return profile.host
        return fallback

    def _is_live(self, host: models.HostId) -> bool:
        member = self.members.members.get(host)
        if member is None or member is self.members.own:
            return False
        return member.effective_state() is models.HostState.LIVE

    def _in_store_region(self, host: models.HostId) -> bool:
        profile = self.members.members[host].profile
        return profile.region == self.store_region

    def _seed_requests(self, now_s: float) -> list[GossipRequest]:
        if not self.seeds:
            return []
        # The fleet as a whole sends requests to seeds at a constant rate.
        probability = SEED_REQUESTS / len(self.members.members)
        if self.view and self.rng.random() >= probability:
            return []
        address = self.rng.choice(self.seeds)
        if address == self.members.own.profile.peer_address:
            return []
        return [GossipRequest(None, address, self._message(now_s))]

    def _request(
        self,
        now_s: float,
        host: models.HostId,
        probes: tuple[models.HostId, ...] = (),
    ) -> GossipRequest:
        member = self.members.members[host]
        message = self._message(now_s, receiver=host, probes=probes)
        return GossipRequest(host, member.profile.peer_address, message)

    def _message(
        self,
        now_s: float,
        receiver: models.HostId | None = None,
        probes: tuple[models.HostId, ...] = (),
        reply_to: GossipMessage | None = None,
    ) -> GossipMessage:
        joining = False
        if reply_to is not None:
            receiver = reply_to.sender.host
            joining = 2 * reply_to.known_hosts < len(self.members.members)
        entries = self.members.select_entries(
            MAX_JOIN_ENTRY_UNITS if joining else MAX_ENTRY_UNITS,
            MAX_JOIN_ENTRY_UNITS if joining else MAX_UNCHANGED_ENTRIES,
            with_profiles=joining,
        )
        receiver_member = (
            self.members.members.get(receiver) if receiver else None
        )
        if receiver_member and (
            receiver_member.state is models.HostState.SUSPECTED
            or (
                reply_to
                and receiver_member.incarnation != reply_to.sender.incarnation
            )
        ):
            entries.append(receiver_member.entry())
        reply = reply_to is not None
        return GossipMessage(
            sender=self.members.own.entry(with_profile=not reply or joining),
            version=self.freshness.version,
            known_hosts=len(self.members.members),
            confirmed_age_s=(
                self.freshness.config_age_s(now_s) if reply else math.inf
            ),
            contacts=self.freshness.contacts_to_send(now_s) if reply else (),
            entries=tuple(entries),
            # Only a reply is certain to bring a profile to this host.
            wanted_profiles=(
                ()
                if reply
                else self.members.take_wanted_profiles(MAX_WANTED_PROFILES)
            ),
            probes=probes,
        )

    def _own_id(self) -> models.HostId:
        return self.members.own.profile.host

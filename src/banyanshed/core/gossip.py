"""Gossip between entry hosts: who is alive, which configuration, how fresh.

Each tick asks a few peers of a small, slowly changing view. A message and its
reply carry a bounded number of entries, so that a tick costs the same in a
small and a large fleet. A peer that does not answer is asked through others
before it is suspected. A new version of the configuration is told to several
peers at once; a host that is behind fetches the rows from the peer that told.
"""

import collections
import dataclasses
import math
import random
from typing import Any

from banyanshed.core import freshness
from banyanshed.core import membership
from banyanshed.core import models

INTERVAL_S = 1.0
SUSPECT_AFTER_S = 2.0
REPLY_TIMEOUT_S = 2.0
FANOUT = 1
PUSH_FANOUT = 4
VIEW_HOSTS = 8
ZONE_HOSTS = 2
STORE_HOSTS = 2
ROTATION_TICKS = 8
RETRY_TICKS = 5
SEED_QUESTIONS = 2
MAX_ENTRY_UNITS = 14
MAX_UNCHANGED = 4
MAX_JOIN_UNITS = 64
MAX_ENTRIES = 80
MAX_WANTS = 8
MAX_PROBES = 4
MAX_RELAYS = 32
RELAYS_PER_TICK = 2
MAX_SUSPICIONS = 64
HELPERS = 2
RESUME_GAP_TICKS = 5
WORD_REFRESH_SHARE = 0.4
FETCH_TIMEOUT_S = 120.0
MAX_AHEAD = 8
PICK_TRIES = 8


@dataclasses.dataclass(frozen=True)
class GossipMessage:
    """A question to a peer, or its reply.

    Attributes:
        sender: Entry of the sender.
        version: Version of the configuration in force at the sender.
        known_hosts: Number of hosts that the sender knows.
        confirmed_age_s: Age of the sender's configuration; counts in replies
            only, infinite in questions.
        words: Ages of word of the store's region; in replies only.
        entries: Entries of other hosts, and of the receiver where the sender
            believes something else of it than that it is live.
        wants: Hosts whose profile the sender lacks.
        probes: Hosts that the receiver should ask for the sender.
        reached: Hosts that replied after the receiver had them asked.
    """

    sender: membership.MemberEntry
    version: int
    known_hosts: int
    confirmed_age_s: float = math.inf
    words: tuple[freshness.Word, ...] = ()
    entries: tuple[membership.MemberEntry, ...] = ()
    wants: tuple[models.HostId, ...] = ()
    probes: tuple[models.HostId, ...] = ()
    reached: tuple[models.HostId, ...] = ()


@dataclasses.dataclass(frozen=True)
class Question:
    """A message to send.

    Attributes:
        host: Receiver; None for an address from the settings.
        address: "IP:port" of the receiver.
        message: What to send.
    """

    host: models.HostId | None
    address: str
    message: GossipMessage


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A host that did not answer and is asked through others.

    Attributes:
        heartbeat: Heartbeat known when it did not answer.
        deadline_s: When it is suspected without news.
        asked_others: It did not answer a second time; others were asked.
    """

    heartbeat: int
    deadline_s: float
    asked_others: bool = False


class Gossip:
    """Decides whom to ask, what to tell and whom to suspect.

    Attributes:
        members: Known hosts.
        freshness: Age of the configuration in force here.
        seeds: Peer addresses from the settings.
        ahead: Peers that hold a newer configuration, with their version.
    """

    def __init__(
        self,
        members: membership.Membership,
        fresh: freshness.Freshness,
        rng: random.Random,
        store_region: models.RegionId,
        seeds: tuple[str, ...] = (),
        interval_s: float = INTERVAL_S,
        suspect_after_s: float = SUSPECT_AFTER_S,
    ):
        """Takes the parts that it keeps up to date.

        Args:
            members: Known hosts.
            fresh: Age of the configuration.
            rng: Source of random numbers.
            store_region: Region of the table service.
            seeds: Peer addresses from the settings.
            interval_s: Time between ticks.
            suspect_after_s: Time without news between a question that got no
                reply and suspicion; others ask the host in this time.
        """
        self.members = members
        self.freshness = fresh
        self.rng = rng
        self.store_region = store_region
        self.seeds = seeds
        self.interval_s = interval_s
        self.suspect_after_s = suspect_after_s
        self.ahead: dict[models.HostId, int] = {}
        self.suspicions: dict[models.HostId, Suspicion] = {}
        self.view: list[models.HostId] = []
        self._relays: collections.deque[
            tuple[models.HostId, models.HostId | None]
        ] = collections.deque()
        self._askers: dict[models.HostId, models.HostId] = {}
        self._revived = False
        self._ticks = 0
        self._last_tick_s = -math.inf
        self._fetch_until_s = -math.inf

    def tick(self, now_s: float) -> list[Question]:
        """Returns the questions of one interval."""
        if now_s - self._last_tick_s > RESUME_GAP_TICKS * self.interval_s:
            # This host was paused: silence of the others proves nothing.
            self.suspicions.clear()
        self._last_tick_s = now_s
        self._ticks += 1
        self._expire_suspicions(now_s)
        self.members.sweep(now_s)
        self.freshness.sole_host = self.members.is_sole_host(self.store_region)
        self.freshness.alone = self.members.is_sole_host()
        self._refresh_view()
        receivers = self._choose_receivers(now_s)
        questions = [self._question(now_s, host) for host in receivers]
        questions.extend(self._seed_questions(now_s))
        return questions

    def on_gossip(self, now_s: float, message: GossipMessage) -> GossipMessage:
        """Takes in a peer's question and returns the reply."""
        self._merge(now_s, message)
        self.members.refute()
        sender = message.sender.host
        state = self.members.state(sender)
        if state is models.HostState.SUSPECTED:
            self._relay(sender, None)
        for host in message.probes[:MAX_PROBES]:
            self._relay(host, sender)
        self._note_version(sender, message.version)
        return self._message(now_s, reply_to=message)

    def on_reply(
        self, now_s: float, sent_s: float, reply: GossipMessage
    ) -> list[Question]:
        """Takes in the reply to a question sent at `sent_s`.

        Returns:
            Questions to send at once.
        """
        host = reply.sender.host
        before = self.members.state(host)
        self._merge(now_s, reply)
        if before is models.HostState.SUSPECTED:
            # A cut has healed: others may be reachable again too.
            self._revived = before is not self.members.state(host)
        self.suspicions.pop(host, None)
        self.freshness.on_reply(
            sent_s, reply.version, reply.confirmed_age_s, reply.words
        )
        self._note_version(host, reply.version)
        asker = self._askers.pop(host, None)
        if asker is None or asker not in self.members.members:
            return []
        answer = self._question(now_s, asker)
        message = dataclasses.replace(answer.message, reached=(host,))
        return [dataclasses.replace(answer, message=message)]

    def on_failure(
        self, now_s: float, host: models.HostId | None
    ) -> list[Question]:
        """Takes in that a question got no reply.

        Returns:
            Questions that ask other hosts to try.
        """
        if host is None:
            return []
        self._askers.pop(host, None)
        member = self.members.members.get(host)
        if member is None or member.state is models.HostState.SUSPECTED:
            return []
        suspicion = self.suspicions.get(host)
        if suspicion is None:
            return self._doubt(now_s, host, member.heartbeat)
        if suspicion.asked_others:
            return []
        self.suspicions[host] = Suspicion(
            suspicion.heartbeat, now_s + self.suspect_after_s, True
        )
        return self._ask_helpers(now_s, host)

    def _doubt(
        self, now_s: float, host: models.HostId, heartbeat: int
    ) -> list[Question]:
        """Asks a host that did not answer a second time."""
        if len(self.suspicions) >= MAX_SUSPICIONS:
            return []
        self.suspicions[host] = Suspicion(
            heartbeat, now_s + 2 * REPLY_TIMEOUT_S
        )
        return [self._question(now_s, host)]

    def _ask_helpers(self, now_s: float, host: models.HostId) -> list[Question]:
        helpers: set[models.HostId] = set()
        for _ in range(HELPERS * PICK_TRIES):
            helper = self._pick(None)
            if helper is not None and helper != host:
                helpers.add(helper)
            if len(helpers) == HELPERS:
                break
        return [
            self._question(now_s, helper, probes=(host,))
            for helper in sorted(helpers)
        ]

    def on_version(self, now_s: float, version: int) -> list[Question]:
        """Takes in that a version is in force here.

        Returns:
            Questions that tell several peers at once; none for a version that
            was in force already.
        """
        known = self.freshness.version
        self.freshness.on_version(version)
        self.ahead = {
            host: ahead for host, ahead in self.ahead.items() if ahead > version
        }
        if version <= known:
            return []
        return self.announce(now_s)

    def announce(self, now_s: float) -> list[Question]:
        """Returns questions that tell several peers something at once."""
        count = min(PUSH_FANOUT, len(self.view))
        receivers = self.rng.sample(self.view, count)
        return [self._question(now_s, host) for host in receivers]

    def next_fetch(self, now_s: float) -> models.HostId | None:
        """Returns a peer to fetch the configuration from, one at a time."""
        if not self.ahead or now_s < self._fetch_until_s:
            return None
        self._fetch_until_s = now_s + FETCH_TIMEOUT_S
        newest = max(self.ahead.values())
        holders = [host for host, held in self.ahead.items() if held == newest]
        return self.rng.choice(holders)

    def on_fetch_done(self, host: models.HostId, *, applied: bool) -> None:
        """Takes in the end of a fetch; a peer that failed is not asked next."""
        self._fetch_until_s = -math.inf
        if not applied:
            self.ahead.pop(host, None)

    def state(self, now_s: float) -> dict[str, Any]:
        """Returns the state of the gossip as JSON data, for a state dump."""
        return {
            "view": list(self.view),
            "doubted": sorted(self.suspicions),
            "ahead": {host: self.ahead[host] for host in sorted(self.ahead)},
            "words_age_s": {
                host: now_s - at_s
                for host, at_s in sorted(self.freshness.words.items())
            },
            "heartbeat": self.members.own.heartbeat,
            "rivals": {
                str(incarnation): times
                for incarnation, times in self.members.rivals.items()
            },
        }

    def _merge(self, now_s: float, message: GossipMessage) -> None:
        self.members.merge(now_s, message.sender)
        for entry in message.entries[:MAX_ENTRIES]:
            self.members.merge(now_s, entry)
        for host in message.reached[:MAX_PROBES]:
            self.suspicions.pop(host, None)
        for host in message.wants[:MAX_WANTS]:
            self.members.tell_profile(host)

    def _note_version(self, host: models.HostId, version: int) -> None:
        if version <= self.freshness.version:
            return
        if host not in self.members.members:
            return
        if len(self.ahead) < MAX_AHEAD or host in self.ahead:
            self.ahead[host] = version

    def _expire_suspicions(self, now_s: float) -> None:
        for host, suspicion in list(self.suspicions.items()):
            member = self.members.members.get(host)
            if member is None or member.heartbeat > suspicion.heartbeat:
                del self.suspicions[host]
                continue
            if now_s < suspicion.deadline_s:
                continue
            del self.suspicions[host]
            if suspicion.asked_others:
                self.members.suspect(now_s, host, suspicion.heartbeat)

    def _relay(self, host: models.HostId, asker: models.HostId | None) -> None:
        if len(self._relays) < MAX_RELAYS:
            self._relays.append((host, asker))

    def _choose_receivers(self, now_s: float) -> list[models.HostId]:
        chosen: dict[models.HostId, None] = {}
        for _ in range(min(RELAYS_PER_TICK, len(self._relays))):
            host, asker = self._relays.popleft()
            if host not in self.members.members or host == self._own_id():
                continue
            if asker is not None and len(self._askers) < MAX_RELAYS:
                self._askers[host] = asker
            chosen[host] = None
        for host in self._view_receivers(now_s):
            chosen[host] = None
        if self._ticks % RETRY_TICKS == 0 or self._revived:
            self._revived = False
            member = self._pick_suspected()
            if member is not self.members.own:
                chosen[member.profile.host] = None
        return list(chosen)

    def _pick_suspected(self) -> membership.Member:
        """Returns a suspected host if a few tries hit one, else any host."""
        member = self.members.own
        for _ in range(PICK_TRIES):
            member = self.members.random_member()
            if member.state is models.HostState.SUSPECTED:
                break
        return member

    def _view_receivers(self, now_s: float) -> list[models.HostId]:
        wants_word = (
            self.freshness.config_age_s(now_s)
            > self.freshness.max_key_age_s * WORD_REFRESH_SHARE
            and self.freshness.word_age_s(now_s)
            > self.freshness.max_key_age_s * WORD_REFRESH_SHARE
        )
        chosen = []
        for place, host in enumerate(self.view):
            if wants_word and self._in_store_region(host):
                chosen.append(self.view.pop(place))
                break
        while self.view and len(chosen) < FANOUT:
            chosen.append(self.view.pop(0))
        self.view.extend(chosen)
        return chosen

    def _refresh_view(self) -> None:
        self.view = [host for host in self.view if self._usable(host)]
        if self._ticks % ROTATION_TICKS == 0 and len(self.view) == VIEW_HOSTS:
            self.view.remove(self.rng.choice(self.view))
        for _ in range(VIEW_HOSTS - len(self.view)):
            host = self._pick(self._lacking_place())
            if host is not None and host not in self.view:
                self.view.append(host)

    def _lacking_place(self) -> str | None:
        own = self.members.own.profile
        profiles = [self.members.members[host].profile for host in self.view]
        if sum(other.zone == own.zone for other in profiles) < ZONE_HOSTS:
            return "zone"
        in_store = sum(other.region == self.store_region for other in profiles)
        if in_store < STORE_HOSTS:
            return "store"
        return "elsewhere"

    def _pick(self, place: str | None) -> models.HostId | None:
        """Returns a random usable host, of the place if a few tries hit it."""
        own = self.members.own.profile
        fallback = None
        for _ in range(PICK_TRIES):
            profile = self.members.random_member().profile
            if not self._usable(profile.host):
                continue
            fallback = profile.host
            if place == "zone" and profile.zone != own.zone:
                continue
            if place == "store" and profile.region != self.store_region:
                continue
            if place == "elsewhere" and profile.region == own.region:
                continue
            return profile.host
        return fallback

    def _usable(self, host: models.HostId) -> bool:
        member = self.members.members.get(host)
        if member is None or member is self.members.own:
            return False
        return member.effective_state() is models.HostState.LIVE

    def _in_store_region(self, host: models.HostId) -> bool:
        profile = self.members.members[host].profile
        return profile.region == self.store_region

    def _seed_questions(self, now_s: float) -> list[Question]:
        if not self.seeds:
            return []
        # The fleet as a whole asks the seeds at a constant rate.
        chance = SEED_QUESTIONS / len(self.members.members)
        if self.view and self.rng.random() >= chance:
            return []
        address = self.rng.choice(self.seeds)
        if address == self.members.own.profile.peer_address:
            return []
        return [Question(None, address, self._message(now_s))]

    def _question(
        self,
        now_s: float,
        host: models.HostId,
        probes: tuple[models.HostId, ...] = (),
    ) -> Question:
        member = self.members.members[host]
        message = self._message(now_s, receiver=host, probes=probes)
        return Question(host, member.profile.peer_address, message)

    def _message(
        self,
        now_s: float,
        receiver: models.HostId | None = None,
        probes: tuple[models.HostId, ...] = (),
        reply_to: GossipMessage | None = None,
    ) -> GossipMessage:
        joins = False
        if reply_to is not None:
            receiver = reply_to.sender.host
            joins = 2 * reply_to.known_hosts < len(self.members.members)
        entries = self.members.select_entries(
            MAX_JOIN_UNITS if joins else MAX_ENTRY_UNITS,
            MAX_JOIN_UNITS if joins else MAX_UNCHANGED,
            with_profiles=joins,
        )
        about = self.members.members.get(receiver) if receiver else None
        if about and (
            about.state is models.HostState.SUSPECTED
            or (reply_to and about.incarnation != reply_to.sender.incarnation)
        ):
            entries.append(about.entry())
        reply = reply_to is not None
        return GossipMessage(
            sender=self.members.own.entry(with_profile=not reply or joins),
            version=self.freshness.version,
            known_hosts=len(self.members.members),
            confirmed_age_s=(
                self.freshness.config_age_s(now_s) if reply else math.inf
            ),
            words=self.freshness.words_to_tell(now_s) if reply else (),
            entries=tuple(entries),
            # A profile reaches this host for sure only in a reply.
            wants=() if reply else self.members.take_wanted(MAX_WANTS),
            probes=probes,
        )

    def _own_id(self) -> models.HostId:
        return self.members.own.profile.host

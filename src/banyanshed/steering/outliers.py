"""Ejects servers that fail or are slow, from what all hosts see together.

A host alone sees few requests of each server. Hosts tell each other, for
each suspected server, how many attempts ended and how many of them were bad,
so that all eject it once some have seen enough. The load it answers: servers
that time out every request take it for the whole of its time, and each host
would lose several of its callers' requests before it knows.

A server is compared with the rest of its service: when most servers fail
alike, ejecting them serves nobody. An ejected server gets one request at a
time from few hosts; the first that succeeds brings it back on all hosts.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
import dataclasses

from banyanshed.steering import models
from banyanshed.steering import ranks
from banyanshed.steering import views

# Attempts of all hosts that a decision needs at least.
MIN_ATTEMPTS = 4.0
# Part of bad attempts from which a server is ejected, and how many times
# the mean of the service's servers that must be.
BAD_SHARE = 0.4
BAD_FACTOR = 2.5
# Part of a service's slots that may be ejected.
MAX_EJECTED_SHARE = 0.4
# Evidence counts half after this time.
HALF_LIFE_S = 2.0
# Less evidence than this is not told and does not keep a server ejected.
MIN_BAD = 0.5
# Hosts that send trial requests, time until the first trial and between
# those of one host.
TRIAL_HOSTS = 2
TRIAL_INTERVAL_S = 1.0
# Fewer attempts are not told.
MIN_TOLD_ATTEMPTS = 0.1
# How long a passed trial is told to peers.
PASSED_TOLD_S = 5.0
REVIEW_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a host saw of a server lately.

    Attributes:
        attempts: Decayed number of attempts that ended or hang.
        bad: Decayed number of those that failed or took far too long.
        passed_s: Time since a trial of this host succeeded, if lately.
    """

    attempts: float
    bad: float
    passed_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A server was ejected or brought back.

    Attributes:
        server: The server.
        ejected: It was ejected now.
        attempts: Attempts of all hosts that decided.
        bad: Those of them that were bad.
        mean_share: Mean part of bad attempts of the service's servers.
        hosts: Peers whose word counted.
    """

    server: models.ServerId
    ejected: bool
    attempts: float
    bad: float
    mean_share: float
    hosts: int


@dataclasses.dataclass(slots=True)
class Tally:
    """Decaying counters.

    Attributes:
        attempts: Attempts.
        bad: Bad ones.
        at: Time for which the counters hold.
        passed_at: When the host that counted had a trial succeed, if lately.
    """

    attempts: float
    bad: float
    at: float
    passed_at: float | None = None

    def decayed(self, now: float) -> tuple[float, float]:
        """Returns attempts and bad ones as they count now."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        return self.attempts * factor, self.bad * factor


@dataclasses.dataclass(slots=True)
class Ejection:
    """An ejected server.

    Attributes:
        trial_at: When this host may send it the next trial.
        may_try: This host is one of those that send trials.
        checked_at: When that was found out.
    """

    trial_at: float
    may_try: bool
    checked_at: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A server and the evidence of all hosts."""

    server: views.Server
    attempts: float
    bad: float
    hosts: int

    @property
    def share(self) -> float:
        return self.bad / self.attempts if self.attempts > 0.0 else 0.0


class Outliers:
    """Evidence of all hosts and the ejections that one host draws from it."""

    def __init__(
        self,
        own: models.HostId,
        live_hosts: Callable[[], Sequence[models.HostId]],
    ):
        """Takes this host's id and what tells the live hosts."""
        self.own = own
        self.live_hosts = live_hosts
        self.tallies: dict[models.ServerId, Tally] = {}
        self.peers: dict[models.ServerId, dict[models.HostId, Tally]] = {}
        self.passed_at: dict[models.ServerId, float] = {}
        self.own_passed_at: dict[models.ServerId, float] = {}
        self.ejections: dict[models.ServerId, Ejection] = {}
        self.changes: list[Change] = []
        self.reviewed_at = float("-inf")

    def note(self, server: models.ServerId, bad: bool, now: float) -> None:
        """Counts an attempt of this host."""
        ejection = self.ejections.get(server)
        if ejection is not None and not bad:
            self.own_passed_at[server] = now
            self._pass(server, now)
            return
        if ejection is not None:
            ejection.trial_at = now + TRIAL_INTERVAL_S
        tally = self.tallies.get(server)
        attempts, bads = (0.0, 0.0) if tally is None else tally.decayed(now)
        self.tallies[server] = Tally(attempts + 1.0, bads + bad, now)

    def take_report(
        self,
        host: models.HostId,
        report: Mapping[models.ServerId, Evidence],
        now: float,
    ) -> None:
        """Takes all that a peer tells, in place of what it told before."""
        self.drop_peer(host)
        for server, evidence in report.items():
            passed_at = None
            if evidence.passed_s is not None:
                passed_at = now - evidence.passed_s
                self._take_pass(server, passed_at)
            tally = Tally(evidence.attempts, evidence.bad, now, passed_at)
            self.peers.setdefault(server, {})[host] = tally

    def drop_peer(self, host: models.HostId) -> None:
        """Forgets what a peer told."""
        for server in list(self.peers):
            tallies = self.peers[server]
            tallies.pop(host, None)
            if not tallies:
                del self.peers[server]

    def forget(self, server: models.ServerId) -> None:
        """Drops all evidence on a server that is gone or started anew."""
        self.tallies.pop(server, None)
        self.peers.pop(server, None)
        self.passed_at.pop(server, None)
        self.own_passed_at.pop(server, None)
        self.ejections.pop(server, None)

    def report(self, now: float) -> dict[models.ServerId, Evidence]:
        """Returns what peers should know: evidence on suspected servers."""
        return self.sum_up(frozenset(), now)

    def sum_up(
        self, hosts: Collection[models.HostId], now: float
    ) -> dict[models.ServerId, Evidence]:
        """Returns the evidence of this host and some peers together."""
        known = dict.fromkeys([*self.tallies, *self.peers, *self.own_passed_at])
        report = {}
        for server in known:
            evidence = self._add_up(server, hosts, now)
            if evidence.passed_s is not None:
                report[server] = evidence
                continue
            is_suspected = evidence.bad >= MIN_BAD or server in self.peers
            if is_suspected and evidence.attempts >= MIN_TOLD_ATTEMPTS:
                report[server] = evidence
        return report

    def _add_up(
        self,
        server: models.ServerId,
        hosts: Collection[models.HostId],
        now: float,
    ) -> Evidence:
        tallies = [
            tally
            for host, tally in self.peers.get(server, {}).items()
            if host in hosts
        ]
        attempts, bad = self._count(server, tallies, now)
        passed_at = self.own_passed_at.get(server, float("-inf"))
        for tally in tallies:
            if tally.passed_at is not None:
                passed_at = max(passed_at, tally.passed_at)
        passed_s = now - passed_at
        if passed_s > PASSED_TOLD_S:
            self.own_passed_at.pop(server, None)
            return Evidence(attempts, bad)
        return Evidence(attempts, bad, passed_s)

    def is_usable(
        self, server: models.ServerId, in_flight: int, now: float
    ) -> bool:
        """Whether this host may send a request to a server."""
        ejection = self.ejections.get(server)
        if ejection is None:
            return True
        return ejection.may_try and not in_flight and now >= ejection.trial_at

    def review(
        self,
        services: Mapping[models.ServiceName, Sequence[views.Server]],
        now: float,
    ) -> None:
        """Decides anew who is ejected, if that was not done lately."""
        if now - self.reviewed_at < REVIEW_INTERVAL_S:
            return
        self.reviewed_at = now
        if not self.tallies and not self.peers and not self.ejections:
            return
        for servers in services.values():
            self._review_service(servers, now)

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call, for logs."""
        changes, self.changes = self.changes, []
        return changes

    def _review_service(
        self, servers: Sequence[views.Server], now: float
    ) -> None:
        suspects = []
        for server in servers:
            suspect = self._suspect(server, now)
            if suspect.bad >= MIN_BAD:
                suspects.append(suspect)
            elif server.registration.id in self.ejections:
                self._readmit(suspect, 0.0)
        if not suspects:
            return
        mean = sum(suspect.share for suspect in suspects) / len(servers)
        suspects.sort(key=lambda suspect: -suspect.share)
        room = MAX_EJECTED_SHARE * sum(_slots(server) for server in servers)
        for suspect in suspects:
            room -= self._review_suspect(suspect, mean, room, now)

    def _review_suspect(
        self, suspect: _Suspect, mean: float, room: float, now: float
    ) -> int:
        """Decides on one server; returns the slots that are ejected."""
        id_ = suspect.server.registration.id
        slots = _slots(suspect.server)
        if id_ in self.ejections:
            if slots > room:
                self._readmit(suspect, mean)
                return 0
            self._check_turn(id_, now)
            return slots
        if suspect.attempts < MIN_ATTEMPTS or slots > room:
            return 0
        if suspect.share < max(BAD_SHARE, BAD_FACTOR * mean):
            return 0
        self.ejections[id_] = Ejection(
            now + TRIAL_INTERVAL_S, False, float("-inf")
        )
        self._check_turn(id_, now)
        self._note_change(suspect, True, mean)
        return slots

    def _check_turn(self, server: models.ServerId, now: float) -> None:
        """Finds out whether this host sends the trials; hosts may change."""
        ejection = self.ejections[server]
        if now - ejection.checked_at < TRIAL_INTERVAL_S:
            return
        ejection.checked_at = now
        ejection.may_try = ranks.is_among_first(
            server, self.own, self.live_hosts(), TRIAL_HOSTS
        )

    def _suspect(self, server: views.Server, now: float) -> _Suspect:
        """Returns what all hosts saw since the server passed a trial."""
        id_ = server.registration.id
        passed_at = self.passed_at.get(id_, float("-inf"))
        tallies = [
            tally
            for tally in self.peers.get(id_, {}).values()
            if tally.at > passed_at
        ]
        attempts, bad = self._count(id_, tallies, now)
        return _Suspect(server, attempts, bad, len(tallies))

    def _count(
        self, server: models.ServerId, told: Sequence[Tally], now: float
    ) -> tuple[float, float]:
        """Returns attempts and bad ones of this host and of some peers."""
        attempts, bad = 0.0, 0.0
        own = self.tallies.get(server)
        if own is not None:
            attempts, bad = own.decayed(now)
        for tally in told:
            more, more_bad = tally.decayed(now)
            attempts += more
            bad += more_bad
        return attempts, bad

    def _take_pass(self, server: models.ServerId, at: float) -> None:
        if at <= self.passed_at.get(server, float("-inf")):
            return
        self._pass(server, at)

    def _pass(self, server: models.ServerId, at: float) -> None:
        """Drops the evidence from before a passed trial."""
        self.passed_at[server] = at
        self.tallies.pop(server, None)

    def _readmit(self, suspect: _Suspect, mean: float) -> None:
        del self.ejections[suspect.server.registration.id]
        self._note_change(suspect, False, mean)

    def _note_change(
        self, suspect: _Suspect, ejected: bool, mean: float
    ) -> None:
        self.changes.append(
            Change(
                suspect.server.registration.id,
                ejected,
                round(suspect.attempts, 1),
                round(suspect.bad, 1),
                round(mean, 3),
                suspect.hosts,
            )
        )


def _slots(server: views.Server) -> int:
    return max(1, server.registration.slots)

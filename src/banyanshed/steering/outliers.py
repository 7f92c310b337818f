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
from banyanshed.steering import rendezvous
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
PROBE_HOSTS = 2
PROBE_INTERVAL_S = 1.0
# Fewer attempts are not told.
MIN_REPORTED_ATTEMPTS = 0.1
# How long a passed trial is told to peers.
RECOVERY_REPORT_S = 5.0
UPDATE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a host saw of a server lately.

    Attributes:
        attempts: Decayed number of attempts that ended or hang.
        bad: Decayed number of those that failed or took far too long.
        since_recovery_s: Time since a trial of this host succeeded, if lately.
    """

    attempts: float
    bad: float
    since_recovery_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionChange:
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
        recovered_at: When the host that counted had a trial succeed, if lately.
    """

    attempts: float
    bad: float
    at: float
    recovered_at: float | None = None

    def decayed(self, now: float) -> tuple[float, float]:
        """Returns attempts and bad ones as they count now."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        return self.attempts * factor, self.bad * factor


@dataclasses.dataclass(slots=True)
class Ejection:
    """An ejected server.

    Attributes:
        next_probe_at: When this host may send it the next trial.
        is_prober: This host is one of those that send trials.
        prober_checked_at: When that was found out.
    """

    next_probe_at: float
    is_prober: bool
    prober_checked_at: float


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
        own_id: models.HostId,
        live_hosts: Callable[[], Sequence[models.HostId]],
    ):
        """Takes this host's id and what tells the live hosts."""
        self.own_id = own_id
        self.live_hosts = live_hosts
        self.tallies: dict[models.ServerId, Tally] = {}
        self.peer_tallies: dict[
            models.ServerId, dict[models.HostId, Tally]
        ] = {}
        self.recovered_at: dict[models.ServerId, float] = {}
        self.own_recovered_at: dict[models.ServerId, float] = {}
        self.ejections: dict[models.ServerId, Ejection] = {}
        self.changes: list[EjectionChange] = []
        self.updated_at = float("-inf")

    def record_attempt(
        self, server: models.ServerId, bad: bool, now: float
    ) -> None:
        """Counts an attempt of this host."""
        ejection = self.ejections.get(server)
        if ejection is not None and not bad:
            self.own_recovered_at[server] = now
            self._record_recovery(server, now)
            return
        if ejection is not None:
            ejection.next_probe_at = now + PROBE_INTERVAL_S
        tally = self.tallies.get(server)
        attempts, bads = (0.0, 0.0) if tally is None else tally.decayed(now)
        self.tallies[server] = Tally(attempts + 1.0, bads + bad, now)

    def set_peer_report(
        self,
        host: models.HostId,
        report: Mapping[models.ServerId, Evidence],
        now: float,
    ) -> None:
        """Takes all that a peer tells, in place of what it told before."""
        self.drop_peer(host)
        for server, evidence in report.items():
            recovered_at = None
            if evidence.since_recovery_s is not None:
                recovered_at = now - evidence.since_recovery_s
                self._merge_recovery(server, recovered_at)
            tally = Tally(evidence.attempts, evidence.bad, now, recovered_at)
            self.peer_tallies.setdefault(server, {})[host] = tally

    def drop_peer(self, host: models.HostId) -> None:
        """Forgets what a peer told."""
        for server in list(self.peer_tallies):
            tallies = self.peer_tallies[server]
            tallies.pop(host, None)
            if not tallies:
                del self.peer_tallies[server]

    def forget(self, server: models.ServerId) -> None:
        """Drops all evidence on a server that is gone or started anew."""
        self.tallies.pop(server, None)
        self.peer_tallies.pop(server, None)
        self.recovered_at.pop(server, None)
        self.own_recovered_at.pop(server, None)
        self.ejections.pop(server, None)

    def report(self, now: float) -> dict[models.ServerId, Evidence]:
        """Returns what peers should know: evidence on suspected servers."""
        return self.aggregate_report(frozenset(), now)

    def aggregate_report(
        self, hosts: Collection[models.HostId], now: float
    ) -> dict[models.ServerId, Evidence]:
        """Returns the evidence of this host and some peers together."""
        known = dict.fromkeys(
            [*self.tallies, *self.peer_tallies, *self.own_recovered_at]
        )
        report = {}
        for server in known:
            evidence = self._aggregate(server, hosts, now)
            if evidence.since_recovery_s is not None:
                report[server] = evidence
                continue
            is_suspected = (
                evidence.bad >= MIN_BAD or server in self.peer_tallies
            )
            if is_suspected and evidence.attempts >= MIN_REPORTED_ATTEMPTS:
                report[server] = evidence
        return report

    def _aggregate(
        self,
        server: models.ServerId,
        hosts: Collection[models.HostId],
        now: float,
    ) -> Evidence:
        tallies = [
            tally
            for host, tally in self.peer_tallies.get(server, {}).items()
            if host in hosts
        ]
        attempts, bad = self._sum_tallies(server, tallies, now)
        recovered_at = self.own_recovered_at.get(server, float("-inf"))
        for tally in tallies:
            if tally.recovered_at is not None:
                recovered_at = max(recovered_at, tally.recovered_at)
        since_recovery_s = now - recovered_at
        if since_recovery_s > RECOVERY_REPORT_S:
            self.own_recovered_at.pop(server, None)
            return Evidence(attempts, bad)
        return Evidence(attempts, bad, since_recovery_s)

    def is_usable(
        self, server: models.ServerId, in_flight: int, now: float
    ) -> bool:
        """Whether this host may send a request to a server."""
        ejection = self.ejections.get(server)
        if ejection is None:
            return True
        return (
            ejection.is_prober
            and not in_flight
            and now >= ejection.next_probe_at
        )

    def update_ejections(
        self,
        services: Mapping[models.ServiceName, Sequence[views.Server]],
        now: float,
    ) -> None:
        """Decides anew who is ejected, if that was not done lately."""
        if now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        if not self.tallies and not self.peer_tallies and not self.ejections:
            return
        for servers in services.values():
            self._update_service(servers, now)

    def take_changes(self) -> list[EjectionChange]:
        """Returns the changes since the last call, for logs."""
        changes, self.changes = self.changes, []
        return changes

    def _update_service(
        self, servers: Sequence[views.Server], now: float
    ) -> None:
        suspects = []
        for server in servers:
            suspect = self._collect_evidence(server, now)
            if suspect.bad >= MIN_BAD:
                suspects.append(suspect)
            elif server.registration.id in self.ejections:
                self._readmit(suspect, 0.0)
        if not suspects:
            return
        mean = sum(suspect.share for suspect in suspects) / len(servers)
        suspects.sort(key=lambda suspect: -suspect.share)
        ejectable_slots = MAX_EJECTED_SHARE * sum(
            _slots(server) for server in servers
        )
        for suspect in suspects:
            ejectable_slots -= self._update_suspect(
                suspect, mean, ejectable_slots, now
            )

    def _update_suspect(
        self, suspect: _Suspect, mean: float, ejectable_slots: float, now: float
    ) -> int:
        """Decides on one server; returns the slots that are ejected."""
        id_ = suspect.server.registration.id
        slots = _slots(suspect.server)
        if id_ in self.ejections:
            if slots > ejectable_slots:
                self._readmit(suspect, mean)
                return 0
            self._update_prober(id_, now)
            return slots
        if suspect.attempts < MIN_ATTEMPTS or slots > ejectable_slots:
            return 0
        if suspect.share < max(BAD_SHARE, BAD_FACTOR * mean):
            return 0
        self.ejections[id_] = Ejection(
            now + PROBE_INTERVAL_S, False, float("-inf")
        )
        self._update_prober(id_, now)
        self._record_change(suspect, True, mean)
        return slots

    def _update_prober(self, server: models.ServerId, now: float) -> None:
        """Finds out whether this host sends the trials; hosts may change."""
        ejection = self.ejections[server]
        if now - ejection.prober_checked_at < PROBE_INTERVAL_S:
            return
        ejection.prober_checked_at = now
        ejection.is_prober = rendezvous.is_among_first(
            server, self.own_id, self.live_hosts(), PROBE_HOSTS
        )

    def _collect_evidence(self, server: views.Server, now: float) -> _Suspect:
        """Returns what all hosts saw since the server passed a trial."""
        id_ = server.registration.id
        recovered_at = self.recovered_at.get(id_, float("-inf"))
        tallies = [
            tally
            for tally in self.peer_tallies.get(id_, {}).values()
            if tally.at > recovered_at
        ]
        attempts, bad = self._sum_tallies(id_, tallies, now)
        return _Suspect(server, attempts, bad, len(tallies))

    def _sum_tallies(
        self, server: models.ServerId, peer_tallies: Sequence[Tally], now: float
    ) -> tuple[float, float]:
        """Returns attempts and bad ones of this host and of some peers."""
        attempts, bad = 0.0, 0.0
        own = self.tallies.get(server)
        if own is not None:
            attempts, bad = own.decayed(now)
        for tally in peer_tallies:
            more, more_bad = tally.decayed(now)
            attempts += more
            bad += more_bad
        return attempts, bad

    def _merge_recovery(self, server: models.ServerId, at: float) -> None:
        if at <= self.recovered_at.get(server, float("-inf")):
            return
        self._record_recovery(server, at)

    def _record_recovery(self, server: models.ServerId, at: float) -> None:
        """Drops the evidence from before a passed trial."""
        self.recovered_at[server] = at
        self.tallies.pop(server, None)

    def _readmit(self, suspect: _Suspect, mean: float) -> None:
        del self.ejections[suspect.server.registration.id]
        self._record_change(suspect, False, mean)

    def _record_change(
        self, suspect: _Suspect, ejected: bool, mean: float
    ) -> None:
        self.changes.append(
            EjectionChange(
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

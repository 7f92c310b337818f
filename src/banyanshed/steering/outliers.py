"""Outlier ejection: ejects servers that fail or are slow.

A single host sends few requests to each server. For each suspected server,
hosts report to each other how many attempts ended and how many were bad, so
that all hosts eject it once there is enough evidence among them. Without this,
a server that lets every request time out would hold each request for its whole
timeout, and each host would lose several requests before it noticed.

A server is compared with the other servers of its service: when most of them
fail alike, ejecting some does not help. A few hosts probe an ejected server
with one request at a time; the first success readmits it on all hosts.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
import dataclasses

from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import views

# Minimum number of attempts, over all hosts, for an ejection.
MIN_ATTEMPTS = 4.0
# Share of bad attempts from which a server is ejected, and the least multiple
# of the mean share of its service's servers.
BAD_SHARE = 0.4
BAD_FACTOR = 2.5
# Largest share of a service's slots that may be ejected.
MAX_EJECTED_SHARE = 0.4
# Half-life of the evidence.
HALF_LIFE_S = 2.0
# With fewer bad attempts a server is not suspected: they are not reported
# unless a peer reports the server, and do not keep it ejected.
MIN_BAD = 0.5
# Hosts that probe an ejected server; time until a host's first probe and
# after each probe that failed.
PROBE_HOSTS = 2
PROBE_INTERVAL_S = 1.0
# Evidence of fewer attempts is not reported.
MIN_REPORTED_ATTEMPTS = 0.1
# How long a recovery is reported to peers.
RECOVERY_REPORT_S = 5.0
UPDATE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Recent observations of a server.

    Attributes:
        attempts: Decayed number of attempts that ended or are slow.
        bad: Decayed number of those that failed or are slow.
        since_recovery_s: Seconds since the last successful probe of the
            hosts that observed; None if there was none recently.
    """

    attempts: float
    bad: float
    since_recovery_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionChange:
    """The ejection or readmission of a server, for logs.

    Attributes:
        server: The server.
        ejected: Whether it was ejected, not readmitted.
        attempts: Decayed number of attempts of all hosts.
        bad: Decayed number of those that were bad.
        mean_share: Mean share of bad attempts of the service's servers.
        peer_count: Number of peers whose evidence was counted.
    """

    server: models.ServerId
    ejected: bool
    attempts: float
    bad: float
    mean_share: float
    peer_count: int


@dataclasses.dataclass(slots=True)
class Tally:
    """Exponentially decaying counters of a server's attempts.

    Attributes:
        attempts: Number of attempts at `updated_at`.
        bad: Number of bad attempts at `updated_at`.
        updated_at: When the counters were last updated.
        recovered_at: When a probe last succeeded at the host that reported;
            None if not recently.
    """

    attempts: float
    bad: float
    updated_at: float
    recovered_at: float | None = None

    def decayed(self, now: float) -> tuple[float, float]:
        """Returns the attempts and the bad attempts, decayed until now."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        return self.attempts * factor, self.bad * factor


@dataclasses.dataclass(slots=True)
class Ejection:
    """The state of an ejected server.

    Attributes:
        next_probe_at: From when this host may send the next probe.
        is_prober: Whether this host is one of those that probe it.
        prober_checked_at: When `is_prober` was last determined.
    """

    next_probe_at: float
    is_prober: bool
    prober_checked_at: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A server and the combined evidence of all hosts."""

    server: views.Server
    attempts: float
    bad: float
    peer_count: int

    @property
    def share(self) -> float:
        return self.bad / self.attempts if self.attempts > 0.0 else 0.0


class Outliers:
    """Evidence of all hosts, and the ejections that follow from it.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        own_id: models.HostId,
        live_hosts: Callable[[], Sequence[models.HostId]],
    ):
        """Starts without evidence.

        Args:
            own_id: Id of this host.
            live_hosts: Returns the ids of the live hosts.
        """
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
        """Counts an attempt of this host.

        A good attempt at an ejected server is recorded as its recovery.
        """
        ejection = self.ejections.get(server)
        if ejection is not None and not bad:
            self.own_recovered_at[server] = now
            self._record_recovery(server, now)
            return
        if ejection is not None:
            ejection.next_probe_at = now + PROBE_INTERVAL_S
        tally = self.tallies.get(server)
        attempts, bad_attempts = (
            (0.0, 0.0) if tally is None else tally.decayed(now)
        )
        self.tallies[server] = Tally(attempts + 1.0, bad_attempts + bad, now)

    def set_peer_report(
        self,
        host: models.HostId,
        report: Mapping[models.ServerId, Evidence],
        now: float,
    ) -> None:
        """Replaces a peer's evidence by its new report."""
        self.drop_peer(host)
        for server, evidence in report.items():
            recovered_at = None
            if evidence.since_recovery_s is not None:
                recovered_at = now - evidence.since_recovery_s
                self._merge_recovery(server, recovered_at)
            tally = Tally(evidence.attempts, evidence.bad, now, recovered_at)
            self.peer_tallies.setdefault(server, {})[host] = tally

    def drop_peer(self, host: models.HostId) -> None:
        """Drops the evidence of a peer."""
        for server in list(self.peer_tallies):
            tallies = self.peer_tallies[server]
            tallies.pop(host, None)
            if not tallies:
                del self.peer_tallies[server]

    def reset_own(self) -> None:
        """Drops this host's evidence, and ejections that may rest on it."""
        self.tallies.clear()
        self.own_recovered_at.clear()
        self.ejections.clear()

    def forget(self, server: models.ServerId) -> None:
        """Drops all evidence on a removed or restarted server."""
        self.tallies.pop(server, None)
        self.peer_tallies.pop(server, None)
        self.recovered_at.pop(server, None)
        self.own_recovered_at.pop(server, None)
        self.ejections.pop(server, None)

    def report(self, now: float) -> dict[models.ServerId, Evidence]:
        """Returns this host's evidence on suspected servers, for peers."""
        return self.aggregate_report(frozenset(), now)

    def aggregate_report(
        self, hosts: Collection[models.HostId], now: float
    ) -> dict[models.ServerId, Evidence]:
        """Returns the combined evidence of this host and the given peers."""
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
        """Returns whether this host may send a request to a server."""
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
        """Updates the ejections, at most once per `UPDATE_INTERVAL_S`."""
        if now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        if not self.tallies and not self.peer_tallies and not self.ejections:
            return
        for servers in services.values():
            self._update_service(servers, now)

    def take_changes(self) -> list[EjectionChange]:
        """Returns and clears the changes since the last call, for logs."""
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
        """Updates the ejection of one server.

        Returns:
            The slots that its ejection takes from `ejectable_slots`.
        """
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
        """Determines whether this host probes a server, as hosts change."""
        ejection = self.ejections[server]
        if now - ejection.prober_checked_at < PROBE_INTERVAL_S:
            return
        ejection.prober_checked_at = now
        ejection.is_prober = rendezvous.is_among_first(
            server, self.own_id, self.live_hosts(), PROBE_HOSTS
        )

    def _collect_evidence(self, server: views.Server, now: float) -> _Suspect:
        """Returns the evidence of all hosts since the server recovered."""
        id_ = server.registration.id
        recovered_at = self.recovered_at.get(id_, float("-inf"))
        tallies = [
            tally
            for tally in self.peer_tallies.get(id_, {}).values()
            if tally.updated_at > recovered_at
        ]
        attempts, bad = self._sum_tallies(id_, tallies, now)
        return _Suspect(server, attempts, bad, len(tallies))

    def _sum_tallies(
        self, server: models.ServerId, peer_tallies: Sequence[Tally], now: float
    ) -> tuple[float, float]:
        """Returns the attempts and bad attempts of this host and some peers."""
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
        """Records a recovery and drops the evidence from before it."""
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
                suspect.peer_count,
            )
        )


def _slots(server: views.Server) -> int:
    return max(1, server.registration.slots)

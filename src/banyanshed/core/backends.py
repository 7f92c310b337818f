"""Choice of a backend server: load, health, signs of leaving, subsets.

Reports of load and health lag and mislead. A report only changes the order of
choice, and the older it is the less; what excludes a backend server is this
host's own knowledge: its requests at work, its failed attempts, and any sign
that the backend server is leaving.
"""

from collections.abc import Iterable, Iterator, Mapping, Set
import dataclasses
import enum
import functools
import math
import random
from typing import Any

import xxhash

from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.core import rows
from banyanshed.core import slots

REPORT_LIFE_S = 3.0
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 60.0
EJECTION_FORGET_S = 30.0
EJECTION_JITTER = 0.25
MAX_EJECTED_SHARE = 0.5
BLAMED_TIMEOUT_S = 1.0
MIN_SUBSET = 4
MIN_CONNECTIONS = 2
SUBSET_DEVIATIONS = 4.0
"""Standard deviations of hosts per backend server that connections allow."""

BLAMELESS_CODES = frozenset({"answer_too_large", "not_sendable"})


class Sign(enum.Enum):
    """Sources that may say that a backend server is leaving."""

    CONFIG = "config"
    DRAIN = "drain"
    HOST_LIST = "host_list"
    HEALTH = "health"
    ANSWER = "answer"


class Outcome(enum.Enum):
    """What an attempt says about its backend server."""

    WORKED = "worked"
    FAILED = "failed"
    SHED = "shed"
    NEUTRAL = "neutral"


@dataclasses.dataclass(frozen=True)
class Word:
    """Last word of one source.

    Attributes:
        state: What it said.
        order: Time or version of the word; older words are ignored.
    """

    state: models.BackendState
    order: float


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A slot of a backend server, held until AttemptFinished.

    Attributes:
        service: Service of the request.
        target: Backend server chosen.
        registration: Registration of the backend server chosen.
        started_s: Monotonic time of the choice.
    """

    service: models.ServiceId
    target: requests.Target
    registration: int
    started_s: float


@dataclasses.dataclass(frozen=True)
class AttemptFinished:
    """An attempt ended; just one comes for each attempt chosen."""

    attempt: Attempt
    result: requests.Answer | requests.AttemptFailure


@dataclasses.dataclass(frozen=True)
class AttemptDropped:
    """An attempt was given back without having been sent."""

    attempt: Attempt


@dataclasses.dataclass(frozen=True)
class LoadReported:
    """A backend server's load endpoint answered.

    Attributes:
        service: Service of the backend server.
        backend: Its id.
        in_flight: Requests at work, of all hosts.
        slots: Requests it works on at once.
        asked_s: Monotonic time at which the question was sent.
    """

    service: models.ServiceId
    backend: models.BackendId
    in_flight: int
    slots: int
    asked_s: float


@dataclasses.dataclass(frozen=True)
class HealthReported:
    """A backend server's health endpoint answered, or did not.

    Attributes:
        service: Service of the backend server.
        backend: Its id.
        state: What it said; None when nothing was learnt.
        refused: Nothing listens at its address.
        asked_s: Monotonic time at which the question was sent.
    """

    service: models.ServiceId
    backend: models.BackendId
    state: models.BackendState | None
    refused: bool
    asked_s: float


@dataclasses.dataclass(frozen=True)
class SignReported:
    """Another source said whether a backend server is leaving.

    Attributes:
        service: Service of the backend server.
        backend: Its id.
        sign: The source.
        state: What it said.
        order: Time or version of its word, rising with each newer word.
    """

    service: models.ServiceId
    backend: models.BackendId
    sign: Sign
    state: models.BackendState
    order: float


@dataclasses.dataclass(frozen=True)
class SubsetPlan:
    """How many backend servers of a placement a host uses.

    Attributes:
        size: Backend servers in the host's subset.
        connections: Most connections of the host to each.
    """

    size: int
    connections: int


class Backend:
    """What this host knows of one backend server.

    Attributes:
        row: Its configuration.
        registration: Differs for each registration.
        in_flight: This host's attempts at work.
        signs: Last word of each source.
        refused_at_s: When a probe last found nothing listening.
        failures: Failed attempts since the last that worked.
        ejections: Ejections in a row; sets the length of the next.
        ejected_until_s: End of the ejection.
        returning: One attempt at a time until one works.
        cold_since_s: Start of the slow start.
    """

    def __init__(self, row: rows.BackendRow, registration: int, cold_s: float):
        """Registers a backend server whose slow start began at `cold_s`."""
        self.row = row
        self.registration = registration
        self.in_flight = 0
        self.signs: dict[Sign, Word] = {}
        self.refused_at_s = -math.inf
        self.report: LoadReported | None = None
        self.own_at_report = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_at_s = -math.inf
        self.ejected_until_s = -math.inf
        self.returning = False
        self.cold_since_s = cold_s

    @property
    def leaving(self) -> bool:
        """Whether any sign says so."""
        leaving = models.BackendState.LEAVING
        return any(word.state is leaving for word in self.signs.values())

    def hear(
        self, sign: Sign, state: models.BackendState, order: float
    ) -> None:
        """Takes a word; the same source's older ones change nothing.

        Of two words of the same order, leaving counts.
        """
        last = self.signs.get(sign)
        tied = last is not None and order == last.order
        leaving = state is models.BackendState.LEAVING
        if last is None or order > last.order or (tied and leaving):
            self.signs[sign] = Word(state, order)

    def ejected(self, now_s: float) -> bool:
        """Whether it gets no work because of failures."""
        return now_s < self.ejected_until_s

    def warmth(self, now_s: float) -> float:
        """Share of its slots to count with during slow start."""
        warm = (now_s - self.cold_since_s) / SLOW_START_S
        return min(1.0, max(SLOW_START_FLOOR, warm))

    def load(self, now_s: float) -> float:
        """Expected load of its slots with one request more."""
        usable = self.row.slots
        others = 0.0
        if self.report is not None:
            age_s = max(0.0, now_s - self.report.asked_s)
            weight = max(0.0, 1 - age_s / REPORT_LIFE_S)
            if weight > 0:
                usable = max(1, min(usable, self.report.slots))
            reported = min(self.report.in_flight, self.row.slots)
            others = weight * max(0, reported - self.own_at_report)
        return (self.in_flight + 1 + others) / (usable * self.warmth(now_s))

    def target(self) -> requests.Target:
        """Returns the target of an attempt."""
        return requests.Target(
            models.BackendId(self.row.backend),
            models.RegionId(self.row.region),
            self.row.address,
        )


class Pool:
    """The backend servers of a service in a region.

    Attributes:
        backends: All of them.
        subset: Live ones that this host uses; None when not worked out.
        plan: Sizes of the subset.
        own: Slots to use first; None when not worked out.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.backends: dict[models.BackendId, Backend] = {}
        self.subset: list[Backend] | None = None
        self.plan = SubsetPlan(0, 1)
        self.own: dict[models.BackendId, int] | None = None

    def forget(self) -> None:
        """Has the subset and own slots worked out again."""
        self.subset = None
        self.own = None


class Backends:
    """All backend servers that this host knows.

    Attributes:
        host: This host; determines its subsets.
        rng: Source of random numbers.
        hosts: Entry hosts in the fleet.
    """

    def __init__(self, host: models.HostId, rng: random.Random):
        """Starts without backend servers."""
        self.host = host
        self.rng = rng
        self.hosts = 1
        self.registrations = 0
        self.configured = False
        self.pools: dict[tuple[str, str], Pool] = {}
        self.units: dict[tuple[str, str], dict[models.HostId, int]] = {}
        self.known: dict[tuple[str, str], Backend] = {}
        # Removed ones whose attempts still hold slots.
        self.removed: dict[tuple[str, str], Backend] = {}

    def configure(
        self, now_s: float, backend_rows: Iterable[rows.BackendRow], order: int
    ) -> None:
        """Takes all rows of backend servers, as of a configuration version.

        A row that was absent before, or has another address, registers its
        backend server anew: earlier signs of leaving count no more.
        """
        wanted = {(row.service, row.backend): row for row in backend_rows}
        for key in [key for key in self.known if key not in wanted]:
            gone = self.known.pop(key)
            if gone.in_flight:
                self.removed[key] = gone
        for key, row in wanted.items():
            known = self.known.get(key)
            if known is None or known.row.address != row.address:
                known = self._register(now_s, key, row)
            known.row = row
            known.hear(Sign.CONFIG, row.state, order)
        self.configured = True
        self._rebuild_pools()

    def _register(
        self, now_s: float, key: tuple[str, str], row: rows.BackendRow
    ) -> Backend:
        # At this host's own start nothing says which ones are cold.
        cold_s = now_s if self.configured else -math.inf
        self.registrations += 1
        backend = Backend(row, self.registrations, cold_s)
        removed = self.removed.pop(key, None)
        if removed is not None and removed.row.address == row.address:
            # Attempts of before hold slots of the same process.
            backend.in_flight = removed.in_flight
            backend.registration = removed.registration
        self.known[key] = backend
        return backend

    def _rebuild_pools(self) -> None:
        self.pools = {}
        for backend in self.known.values():
            row = backend.row
            pool = self.pools.setdefault((row.service, row.region), Pool())
            pool.backends[models.BackendId(row.backend)] = backend

    def set_hosts(self, count: int) -> None:
        """Takes the number of entry hosts that share the connections."""
        if count == self.hosts:
            return
        self.hosts = max(1, count)
        self._forget_subsets()

    def set_units(
        self,
        service: models.ServiceId,
        region: models.RegionId,
        units: Mapping[models.HostId, int],
    ) -> None:
        """Takes the units of a placement that each host holds.

        Hosts that know the same units use different slots. Without units,
        or with old ones, hosts choose independently.
        """
        if self.units.get((service, region)) == units:
            return
        self.units[service, region] = dict(units)
        pool = self.pools.get((service, region))
        if pool is not None:
            pool.own = None

    def _own_slots(
        self, service: models.ServiceId, region: models.RegionId
    ) -> dict[models.BackendId, int]:
        pool = self.pools.get((service, region))
        units = self.units.get((service, region))
        if pool is None or not units:
            return {}
        if pool.own is None:
            counts = {
                name: backend.row.slots
                for name, backend in pool.backends.items()
                if not backend.leaving
            }
            pool.own = slots.own_slots(self.host, counts, units)
        return pool.own

    def _forget_subsets(self) -> None:
        for pool in self.pools.values():
            pool.forget()

    def subset(
        self, service: models.ServiceId, region: models.RegionId
    ) -> list[Backend]:
        """Returns the live backend servers that this host uses."""
        pool = self.pools.get((service, region))
        if pool is None:
            return []
        if pool.subset is None:
            live = [b for b in pool.backends.values() if not b.leaving]
            pool.plan = plan_subset(live, self.hosts)
            ranked = sorted(live, key=self._rank, reverse=True)
            pool.subset = ranked[: pool.plan.size]
        return pool.subset

    def _rank(self, backend: Backend) -> int:
        row = backend.row
        key = f"{self.host}\0{row.service}\0{row.backend}"
        return xxhash.xxh64_intdigest(key.encode())

    def probed(self) -> Iterator[Backend]:
        """Yields backend servers whose health this host should ask for.

        These are the ones it uses, and leaving ones, which may come back.
        """
        for (service, region), pool in list(self.pools.items()):
            place = (models.ServiceId(service), models.RegionId(region))
            used = {b.row.backend for b in self.subset(*place)}
            used.update(self._own_slots(*place))
            for name, backend in pool.backends.items():
                if name in used or backend.leaving:
                    yield backend

    def choose(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId] = frozenset(),
    ) -> Attempt | None:
        """Returns an attempt on the better of two random backend servers.

        Args:
            now_s: Monotonic time.
            service: Service of the request.
            region: Region chosen.
            exclude: Backend servers that failed this request.

        Returns:
            The attempt, whose slot is held; None when none has a free slot.
        """
        free = self._free_own(service, region, exclude)
        if not free:
            free = self._free_shared(now_s, service, region, exclude)
        if not free:
            return None
        pair = self.rng.sample(free, min(2, len(free)))
        best = min(pair, key=lambda backend: backend.load(now_s))
        best.in_flight += 1
        return Attempt(service, best.target(), best.registration, now_s)

    def _free_own(
        self,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId],
    ) -> list[Backend]:
        """Returns healthy backend servers with a free slot of this host."""
        free = []
        for name, count in self._own_slots(service, region).items():
            backend = self.pools[service, region].backends[name]
            if name in exclude or backend.returning:
                continue
            if backend.in_flight < count and not backend.leaving:
                free.append(backend)
        return free

    def _free_shared(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId],
    ) -> list[Backend]:
        """Returns backend servers of the subset that may have a free slot."""
        subset = [
            backend
            for backend in self.subset(service, region)
            if backend.row.backend not in exclude
        ]
        healthy = [backend for backend in subset if not backend.returning]
        returning = [
            backend
            for backend in subset
            if backend.returning
            and not backend.ejected(now_s)
            and backend.in_flight == 0
        ]
        # Where all fail, failing ones are still better than none.
        candidates = healthy + returning or subset
        pool = self.pools.get((service, region))
        most = pool.plan.connections if pool else 0
        return [
            backend
            for backend in candidates
            if backend.in_flight < min(backend.row.slots, most)
        ]

    @functools.singledispatchmethod
    def handle(self, event: Any, now_s: float) -> None:
        """Takes an event, at a monotonic time."""
        raise TypeError(type(event).__name__)

    @handle.register
    def _on_finished(self, event: AttemptFinished, now_s: float) -> None:
        attempt = event.attempt
        backend = self._release(attempt)
        if backend is None:
            return
        if event.result.leaving:
            self._hear(backend, Sign.ANSWER, models.BackendState.LEAVING, now_s)
        elif isinstance(event.result, requests.Answer):
            # The word is as old as the attempt: it can't undo a newer sign.
            self._hear(
                backend,
                Sign.ANSWER,
                models.BackendState.LIVE,
                attempt.started_s,
            )
        if attempt.started_s < backend.ejected_at_s:
            return
        outcome = classify(event.result, now_s - attempt.started_s)
        if outcome is Outcome.WORKED:
            self._record_success(backend, now_s)
        elif outcome is Outcome.FAILED:
            self._record_failure(backend, now_s)
        elif outcome is Outcome.SHED:
            # The backend server just said by itself that it is full.
            backend.report = LoadReported(
                attempt.service,
                attempt.target.backend,
                backend.row.slots,
                backend.row.slots,
                now_s,
            )
            backend.own_at_report = 0

    @handle.register
    def _on_dropped(self, event: AttemptDropped, now_s: float) -> None:
        self._release(event.attempt)

    def _release(self, attempt: Attempt) -> Backend | None:
        """Frees the slot; returns the backend server if still registered."""
        key = (attempt.service, attempt.target.backend)
        backend = self.known.get(key)
        if backend is not None and backend.registration == attempt.registration:
            backend.in_flight -= 1
            return backend
        removed = self.removed.get(key)
        if removed is not None and removed.registration == attempt.registration:
            removed.in_flight -= 1
            if removed.in_flight == 0:
                del self.removed[key]
        return None

    @handle.register
    def _on_load(self, event: LoadReported, now_s: float) -> None:
        backend = self.known.get((event.service, event.backend))
        if backend is None:
            return
        if backend.report and event.asked_s <= backend.report.asked_s:
            return
        backend.report = event
        backend.own_at_report = backend.in_flight

    @handle.register
    def _on_health(self, event: HealthReported, now_s: float) -> None:
        backend = self.known.get((event.service, event.backend))
        if backend is None:
            return
        if event.refused:
            backend.refused_at_s = max(backend.refused_at_s, event.asked_s)
            self._record_failure(backend, now_s)
        if event.state is None:
            return
        self._hear(backend, Sign.HEALTH, event.state, event.asked_s)
        if event.state is models.BackendState.LIVE:
            self._notice_restart(backend, event.asked_s, now_s)

    def _notice_restart(
        self, backend: Backend, asked_s: float, now_s: float
    ) -> None:
        """Forgets what a process said that has stopped listening since."""
        said = backend.signs.get(Sign.ANSWER)
        if said is None or said.state is models.BackendState.LIVE:
            return
        if said.order < backend.refused_at_s < asked_s:
            del backend.signs[Sign.ANSWER]
            backend.cold_since_s = now_s
            self._forget_subsets()

    @handle.register
    def _on_sign(self, event: SignReported, now_s: float) -> None:
        backend = self.known.get((event.service, event.backend))
        if backend is not None:
            self._hear(backend, event.sign, event.state, event.order)

    def _hear(
        self,
        backend: Backend,
        sign: Sign,
        state: models.BackendState,
        order: float,
    ) -> None:
        before = backend.leaving
        backend.hear(sign, state, order)
        if backend.leaving != before:
            self._forget_subsets()

    def _record_success(self, backend: Backend, now_s: float) -> None:
        backend.failures = 0
        if backend.returning:
            backend.returning = False
            backend.cold_since_s = now_s
        if now_s - backend.ejected_until_s > EJECTION_FORGET_S:
            backend.ejections = 0

    def _record_failure(self, backend: Backend, now_s: float) -> None:
        backend.failures += 1
        enough = backend.failures >= FAILURES_TO_EJECT or backend.returning
        if backend.ejected(now_s) or not enough:
            return
        # Failures common to most are not the backend server's own.
        if not backend.returning and not self._may_eject(backend, now_s):
            return
        length_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**backend.ejections)
        jitter = 1 + self.rng.uniform(-EJECTION_JITTER, EJECTION_JITTER)
        backend.ejections = min(backend.ejections + 1, 16)
        backend.ejected_at_s = now_s
        backend.ejected_until_s = now_s + length_s * jitter
        backend.returning = True
        backend.failures = 0

    def _may_eject(self, backend: Backend, now_s: float) -> bool:
        row = backend.row
        pool = self.pools[(row.service, row.region)]
        live = [b for b in pool.backends.values() if not b.leaving]
        out = sum(b.returning for b in live)
        return out + 1 <= MAX_EJECTED_SHARE * len(live)


def classify(
    result: requests.Answer | requests.AttemptFailure, lasted_s: float
) -> Outcome:
    """Returns what an attempt's result says about its backend server."""
    if isinstance(result, requests.Answer):
        if result.status == 503:
            return Outcome.SHED
        return Outcome.FAILED if result.status >= 500 else Outcome.WORKED
    if result.code == "backend_refused":
        return Outcome.SHED
    if result.code in BLAMELESS_CODES:
        return Outcome.NEUTRAL
    # Callers with short deadlines must not get a backend server ejected.
    if result.code == "deadline" and lasted_s < BLAMED_TIMEOUT_S:
        return Outcome.NEUTRAL
    return Outcome.FAILED


def plan_subset(live: list[Backend], hosts: int) -> SubsetPlan:
    """Returns the largest subset for which connections suffice.

    A backend server is in the subsets of `hosts * size / len(live)` hosts on
    average, binomially distributed; its connections are divided between as
    many as it has with near certainty.

    Args:
        live: Backend servers to choose from.
        hosts: Entry hosts that choose.
    """
    if not live:
        return SubsetPlan(0, 1)
    allowed = min(backend.row.connections for backend in live)
    size = len(live)
    while True:
        share = size / len(live)
        mean = hosts * share
        spread = SUBSET_DEVIATIONS * math.sqrt(mean * (1 - share))
        connections = int(allowed / max(1.0, mean + spread))
        if connections >= MIN_CONNECTIONS or size <= MIN_SUBSET:
            return SubsetPlan(size, max(1, connections))
        size -= 1

"""Selection of a backend server by load, health, leaving state and subset.

Reported load is stale and can be wrong, so it only affects the order of
preference, with a weight that falls with its age. A backend server is excluded
only by what this host observes itself (its in-flight requests, its failed
attempts) and by any source that reports it as leaving.
"""

from collections.abc import Iterable, Iterator, Mapping, Set
import functools
import math
import random
from typing import Any

import xxhash

from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import rows
from banyanshed.core import servers
from banyanshed.core import slots
from banyanshed.core import subsets

# Number of failed attempts in succession for which a backend server is ejected.
FAILURES_TO_EJECT = 3
# Length of the first ejection and maximum length, in seconds; the length
# doubles with each ejection. The jitter is a fraction of it.
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 60.0
EJECTION_JITTER = 0.25
# Largest share of a pool's backend servers that may be ejected.
MAX_EJECTED_SHARE = 0.5


class Pool:
    """The backend servers of a service in a region.

    Attributes:
        backends: All backend servers of the pool, by id.
        subset: Live backend servers that this host uses; None until computed.
        plan: Size of the subset and connections allowed to each server.
        own_slots: Slots that this host uses first, by backend server; None
            until computed.
    """

    def __init__(self) -> None:
        """Initializes an empty pool."""
        self.backends: dict[models.BackendId, servers.Backend] = {}
        self.subset: list[servers.Backend] | None = None
        self.plan = subsets.SubsetPlan(0, 1)
        self.own_slots: dict[models.BackendId, int] | None = None

    def invalidate(self) -> None:
        """Discards the computed subset and slots."""
        self.subset = None
        self.own_slots = None


class BackendRegistry:
    """All backend servers that this host knows.

    Attributes:
        host: Id of this host; determines its subsets.
        rng: Source of random numbers.
        host_count: Number of entry hosts in the fleet.
        registered: Configured backend servers by service and id.
        removed: Backend servers that were removed from the configuration while
            attempts still held slots, by service and id.
    """

    def __init__(self, host: models.HostId, rng: random.Random):
        """Initializes a registry without backend servers."""
        self.host = host
        self.rng = rng
        self.host_count = 1
        self.registrations = 0
        self.configured = False
        self.pools: dict[tuple[str, str], Pool] = {}
        self.units: dict[tuple[str, str], dict[models.HostId, int]] = {}
        self.registered: dict[tuple[str, str], servers.Backend] = {}
        self.removed: dict[tuple[str, str], servers.Backend] = {}

    def configure(
        self, now_s: float, backend_rows: Iterable[rows.BackendRow], order: int
    ) -> None:
        """Applies the backend rows of a configuration version.

        A row that is new or whose address changed registers its backend server
        again, which discards earlier reports that it is leaving.

        Args:
            now_s: Monotonic time.
            backend_rows: Rows of all backend servers.
            order: Version of the configuration.
        """
        current_rows = {(row.service, row.backend): row for row in backend_rows}
        for key in [key for key in self.registered if key not in current_rows]:
            dropped = self.registered.pop(key)
            if dropped.in_flight:
                self.removed[key] = dropped
        for key, row in current_rows.items():
            backend = self.registered.get(key)
            if backend is None or backend.row.address != row.address:
                backend = self._register(now_s, key, row)
            backend.row = row
            backend.record_state(reports.StateSource.CONFIG, row.state, order)
        self.configured = True
        self._rebuild_pools()

    def _register(
        self, now_s: float, key: tuple[str, str], row: rows.BackendRow
    ) -> servers.Backend:
        # At this host's own start it is unknown which servers have just
        # started, so none gets a slow start.
        slow_start_s = now_s if self.configured else -math.inf
        self.registrations += 1
        backend = servers.Backend(row, self.registrations, slow_start_s)
        removed = self.removed.pop(key, None)
        if removed is not None and removed.row.address == row.address:
            # Earlier attempts still hold slots of the same process.
            backend.in_flight = removed.in_flight
            backend.registration = removed.registration
        self.registered[key] = backend
        return backend

    def _rebuild_pools(self) -> None:
        self.pools = {}
        for backend in self.registered.values():
            row = backend.row
            pool = self.pools.setdefault((row.service, row.region), Pool())
            pool.backends[models.BackendId(row.backend)] = backend

    def set_host_count(self, count: int) -> None:
        """Sets the number of entry hosts that share the connections."""
        if count == self.host_count:
            return
        self.host_count = max(1, count)
        self._invalidate_subsets()

    def set_units(
        self,
        service: models.ServiceId,
        region: models.RegionId,
        units: Mapping[models.HostId, int],
    ) -> None:
        """Sets the units of a placement that each host holds.

        Hosts that know the same units prefer different slots. A host without
        this data, or with stale data, chooses independently of the others.
        """
        if self.units.get((service, region)) == units:
            return
        self.units[service, region] = dict(units)
        pool = self.pools.get((service, region))
        if pool is not None:
            pool.own_slots = None

    def _own_slots(
        self, service: models.ServiceId, region: models.RegionId
    ) -> dict[models.BackendId, int]:
        pool = self.pools.get((service, region))
        units = self.units.get((service, region))
        if pool is None or not units:
            return {}
        if pool.own_slots is None:
            counts = {
                name: backend.row.slots
                for name, backend in pool.backends.items()
                if not backend.leaving
            }
            pool.own_slots = slots.own_slots(self.host, counts, units)
        return pool.own_slots

    def _invalidate_subsets(self) -> None:
        for pool in self.pools.values():
            pool.invalidate()

    def subset(
        self, service: models.ServiceId, region: models.RegionId
    ) -> list[servers.Backend]:
        """Returns the live backend servers that this host uses."""
        pool = self.pools.get((service, region))
        if pool is None:
            return []
        if pool.subset is None:
            live = [b for b in pool.backends.values() if not b.leaving]
            pool.plan = subsets.plan_subset(live, self.host_count)
            ranked = sorted(live, key=self._rank, reverse=True)
            pool.subset = ranked[: pool.plan.size]
        return pool.subset

    def _rank(self, backend: servers.Backend) -> int:
        row = backend.row
        key = f"{self.host}\0{row.service}\0{row.backend}"
        return xxhash.xxh64_intdigest(key.encode())

    def backends_to_probe(self) -> Iterator[servers.Backend]:
        """Yields the backend servers whose health this host should probe.

        These are the ones it uses, and leaving ones, which may become live
        again.
        """
        for (service, region), pool in list(self.pools.items()):
            service_region = (
                models.ServiceId(service),
                models.RegionId(region),
            )
            used = {b.row.backend for b in self.subset(*service_region)}
            used.update(self._own_slots(*service_region))
            for name, backend in pool.backends.items():
                if name in used or backend.leaving:
                    yield backend

    def choose(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId] = frozenset(),
    ) -> reports.Attempt | None:
        """Selects the less loaded of two random backend servers.

        Args:
            now_s: Monotonic time.
            service: Service of the request.
            region: Region selected for the request.
            exclude: Backend servers that already failed this request.

        Returns:
            An attempt that holds a slot of the backend server; None when no
            backend server has a free slot.
        """
        candidates = self._own_slot_candidates(service, region, exclude)
        if not candidates:
            candidates = self._subset_candidates(
                now_s, service, region, exclude
            )
        if not candidates:
            return None
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        best = min(pair, key=lambda backend: backend.expected_load(now_s))
        best.in_flight += 1
        return reports.Attempt(service, best.target(), best.registration, now_s)

    def _own_slot_candidates(
        self,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId],
    ) -> list[servers.Backend]:
        """Returns healthy backend servers with a free slot of this host."""
        candidates = []
        for name, count in self._own_slots(service, region).items():
            backend = self.pools[service, region].backends[name]
            if name in exclude or backend.recovering:
                continue
            if backend.in_flight < count and not backend.leaving:
                candidates.append(backend)
        return candidates

    def _subset_candidates(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId],
    ) -> list[servers.Backend]:
        """Returns backend servers of the subset that may have a free slot.

        Recovering ones take part once their ejection is over, with one attempt
        at a time.
        """
        subset = [
            backend
            for backend in self.subset(service, region)
            if backend.row.backend not in exclude
        ]
        healthy = [backend for backend in subset if not backend.recovering]
        recovering = [
            backend
            for backend in subset
            if backend.recovering
            and not backend.is_ejected(now_s)
            and backend.in_flight == 0
        ]
        # If no backend server is usable, failing ones are better than none.
        candidates = healthy + recovering or subset
        pool = self.pools.get((service, region))
        max_connections = pool.plan.connections if pool else 0
        return [
            backend
            for backend in candidates
            if backend.in_flight < min(backend.row.slots, max_connections)
        ]

    @functools.singledispatchmethod
    def handle(self, event: Any, now_s: float) -> None:
        """Dispatches an event that occurred at a monotonic time."""
        raise TypeError(type(event).__name__)

    @handle.register
    def _on_attempt_finished(
        self, event: reports.AttemptFinished, now_s: float
    ) -> None:
        attempt = event.attempt
        backend = self._release(attempt)
        if backend is None:
            return
        if event.result.leaving:
            self._record_state(
                backend,
                reports.StateSource.ANSWER,
                models.BackendState.LEAVING,
                now_s,
            )
        elif isinstance(event.result, requests.Answer):
            # The answer counts from the start of the attempt, so that it
            # cannot override a newer report.
            self._record_state(
                backend,
                reports.StateSource.ANSWER,
                models.BackendState.LIVE,
                attempt.started_s,
            )
        if attempt.started_s < backend.ejected_at_s:
            return
        outcome = reports.classify(event.result, now_s - attempt.started_s)
        if outcome is reports.Outcome.WORKED:
            self._record_success(backend, now_s)
        elif outcome is reports.Outcome.FAILED:
            self._record_failure(backend, now_s)
        elif outcome is reports.Outcome.SHED:
            # The backend server itself reported that it is at capacity.
            backend.load_report = reports.LoadReported(
                attempt.service,
                attempt.target.backend,
                backend.row.slots,
                backend.row.slots,
                now_s,
            )
            backend.in_flight_at_report = 0

    @handle.register
    def _on_attempt_dropped(
        self, event: reports.AttemptDropped, now_s: float
    ) -> None:
        self._release(event.attempt)

    def _release(self, attempt: reports.Attempt) -> servers.Backend | None:
        """Releases the slot of an attempt.

        Returns:
            The backend server; None when that registration has ended.
        """
        key = (attempt.service, attempt.target.backend)
        backend = self.registered.get(key)
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
    def _on_load_reported(
        self, event: reports.LoadReported, now_s: float
    ) -> None:
        backend = self.registered.get((event.service, event.backend))
        if backend is None:
            return
        if (
            backend.load_report
            and event.probe_sent_s <= backend.load_report.probe_sent_s
        ):
            return
        backend.load_report = event
        backend.in_flight_at_report = backend.in_flight

    @handle.register
    def _on_health_reported(
        self, event: reports.HealthReported, now_s: float
    ) -> None:
        backend = self.registered.get((event.service, event.backend))
        if backend is None:
            return
        if event.refused:
            backend.refused_at_s = max(backend.refused_at_s, event.probe_sent_s)
            self._record_failure(backend, now_s)
        if event.state is None:
            return
        self._record_state(
            backend, reports.StateSource.HEALTH, event.state, event.probe_sent_s
        )
        if event.state is models.BackendState.LIVE:
            self._detect_restart(backend, event.probe_sent_s, now_s)

    def _detect_restart(
        self, backend: servers.Backend, probe_sent_s: float, now_s: float
    ) -> None:
        """Discards a leaving answer of a process that has since been restarted.

        A restart is assumed when, after that answer, a probe was refused and
        a probe sent later than the refused one was answered as live.
        """
        last_answer = backend.state_reports.get(reports.StateSource.ANSWER)
        if last_answer is None or last_answer.state is models.BackendState.LIVE:
            return
        if last_answer.order < backend.refused_at_s < probe_sent_s:
            del backend.state_reports[reports.StateSource.ANSWER]
            backend.slow_start_s = now_s
            self._invalidate_subsets()

    @handle.register
    def _on_state(self, event: reports.StateReported, now_s: float) -> None:
        backend = self.registered.get((event.service, event.backend))
        if backend is not None:
            self._record_state(backend, event.source, event.state, event.order)

    def _record_state(
        self,
        backend: servers.Backend,
        source: reports.StateSource,
        state: models.BackendState,
        order: float,
    ) -> None:
        before = backend.leaving
        backend.record_state(source, state, order)
        if backend.leaving != before:
            self._invalidate_subsets()

    def _record_success(self, backend: servers.Backend, now_s: float) -> None:
        backend.failures = 0
        if backend.recovering:
            backend.recovering = False
            backend.slow_start_s = now_s
        if now_s - backend.ejected_until_s > servers.EJECTION_RESET_S:
            backend.ejections = 0

    def _record_failure(self, backend: servers.Backend, now_s: float) -> None:
        backend.failures += 1
        over_threshold = (
            backend.failures >= FAILURES_TO_EJECT or backend.recovering
        )
        if backend.is_ejected(now_s) or not over_threshold:
            return
        # Failures that most backend servers share have a common cause, so at
        # most MAX_EJECTED_SHARE of them are ejected.
        if not backend.recovering and not self._may_eject(backend, now_s):
            return
        length_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**backend.ejections)
        jitter = 1 + self.rng.uniform(-EJECTION_JITTER, EJECTION_JITTER)
        backend.ejections = min(backend.ejections + 1, 16)
        backend.ejected_at_s = now_s
        backend.ejected_until_s = now_s + length_s * jitter
        backend.recovering = True
        backend.failures = 0

    def _may_eject(self, backend: servers.Backend, now_s: float) -> bool:
        row = backend.row
        pool = self.pools[(row.service, row.region)]
        live = [b for b in pool.backends.values() if not b.leaving]
        ejected = sum(b.recovering for b in live)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(live)

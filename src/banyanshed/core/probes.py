"""Scheduling of health and load probes of backend servers; no I/O."""

from collections.abc import Iterator
import dataclasses
import random

from banyanshed.core import backends as backends_module
from banyanshed.core import events
from banyanshed.core import models
from banyanshed.core import reports

# Time between probes of a backend server in seconds; the jitter is a fraction
# of it.
PROBE_INTERVAL_S = 1.0
PROBE_JITTER = 0.1


@dataclasses.dataclass(frozen=True)
class Probe:
    """A probe of a backend server's health and load.

    Attributes:
        service: Service of the backend server.
        backend: Id of the backend server.
        address: "IP:port" of the backend server.
        unresponsive: The previous probe of the backend server got no state
            and was not refused.
    """

    service: models.ServiceId
    backend: models.BackendId
    address: str
    unresponsive: bool


class Probes:
    """Probes that a host sends to its backend servers."""

    def __init__(
        self, backends: backends_module.BackendRegistry, rng: random.Random
    ):
        """Takes the backend servers and the random source of the jitter."""
        self.backends = backends
        self.rng = rng
        self.due_s: dict[tuple[str, str], float] = {}
        self.in_progress: set[tuple[str, str]] = set()
        self.unresponsive: set[tuple[str, str]] = set()

    def due_probes(self, now_s: float) -> Iterator[Probe]:
        """Yields the probes to send now."""
        for backend in list(self.backends.backends_to_probe()):
            row = backend.row
            key = (row.service, row.backend)
            # At most one probe of a backend server is in progress, so that
            # unresponsive ones do not accumulate probes.
            if key in self.in_progress or now_s < self.due_s.get(key, 0.0):
                continue
            self.in_progress.add(key)
            jitter = self.rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
            self.due_s[key] = now_s + PROBE_INTERVAL_S * jitter
            yield Probe(
                models.ServiceId(row.service),
                models.BackendId(row.backend),
                row.address,
                key in self.unresponsive,
            )

    def record_result(
        self,
        now_s: float,
        sent_s: float,
        probe: Probe,
        result: events.ProbeResult,
    ) -> None:
        """Records the result of a probe sent at `sent_s`.

        Must be called once for each probe that `due_probes` yielded.
        """
        key = (probe.service, probe.backend)
        self.in_progress.discard(key)
        self.unresponsive.discard(key)
        if result.state is None and not result.refused:
            self.unresponsive.add(key)
        self.backends.handle(
            reports.HealthReported(
                probe.service,
                probe.backend,
                result.state,
                result.refused,
                sent_s,
            ),
            now_s,
        )
        if result.in_flight is None or result.slots is None:
            return
        self.backends.handle(
            reports.LoadReported(
                probe.service,
                probe.backend,
                result.in_flight,
                result.slots,
                sent_s,
            ),
            now_s,
        )

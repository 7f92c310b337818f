"""State of a backend server as a host knows it; no I/O."""

import math

from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import rows

# Age in seconds at which a load report has lost all of its weight.
LOAD_REPORT_TTL_S = 3.0
# Duration of slow start in seconds, and the least fraction of a backend
# server's slots that is available during it.
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
# Time in seconds since the last ejection's end from which a success resets the
# length of the next ejection.
EJECTION_RESET_S = 30.0


class Backend:
    """What this host knows about a backend server.

    Times are monotonic.

    Attributes:
        row: Configuration of the backend server.
        registration: Number that is unique to each registration.
        in_flight: Number of this host's attempts in flight.
        state_reports: Last state reported by each source.
        refused_at_s: Time of the last probe that found nothing listening.
        load_report: Last load report; None before the first.
        in_flight_at_report: Value of `in_flight` at that report.
        failures: Failed attempts since the last successful one.
        ejections: Consecutive ejections; determines the length of the next.
        ejected_at_s: Start of the last ejection.
        ejected_until_s: End of the last ejection.
        recovering: Set by an ejection until an attempt succeeds; after the
            ejection's end, one attempt at a time is allowed.
        slow_start_s: Time at which slow start began.
    """

    def __init__(
        self, row: rows.BackendRow, registration: int, slow_start_s: float
    ):
        """Registers a backend server, in slow start since `slow_start_s`."""
        self.row = row
        self.registration = registration
        self.in_flight = 0
        self.state_reports: dict[reports.StateSource, reports.StateReport] = {}
        self.refused_at_s = -math.inf
        self.load_report: reports.LoadReported | None = None
        self.in_flight_at_report = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_at_s = -math.inf
        self.ejected_until_s = -math.inf
        self.recovering = False
        self.slow_start_s = slow_start_s

    @property
    def leaving(self) -> bool:
        """Whether the last report of any source says that it is leaving."""
        leaving = models.BackendState.LEAVING
        return any(
            report.state is leaving for report in self.state_reports.values()
        )

    def record_state(
        self,
        source: reports.StateSource,
        state: models.BackendState,
        order: float,
    ) -> None:
        """Records a reported state unless the source has reported a newer one.

        Of two reports with the same order, leaving takes precedence.
        """
        last = self.state_reports.get(source)
        same_order = last is not None and order == last.order
        leaving = state is models.BackendState.LEAVING
        if last is None or order > last.order or (same_order and leaving):
            self.state_reports[source] = reports.StateReport(state, order)

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether it gets no work because of failures."""
        return now_s < self.ejected_until_s

    def slow_start_factor(self, now_s: float) -> float:
        """Returns the fraction of the slots that slow start makes available."""
        elapsed_ratio = (now_s - self.slow_start_s) / SLOW_START_S
        return min(1.0, max(SLOW_START_FLOOR, elapsed_ratio))

    def expected_load(self, now_s: float) -> float:
        """Returns the expected load per available slot with one more request.

        Requests of other hosts are estimated from the last load report, whose
        weight falls to 0 over LOAD_REPORT_TTL_S.
        """
        usable_slots = self.row.slots
        others = 0.0
        if self.load_report is not None:
            age_s = max(0.0, now_s - self.load_report.probe_sent_s)
            weight = max(0.0, 1 - age_s / LOAD_REPORT_TTL_S)
            if weight > 0:
                usable_slots = max(1, min(usable_slots, self.load_report.slots))
            reported = min(self.load_report.in_flight, self.row.slots)
            others = weight * max(0, reported - self.in_flight_at_report)
        return (self.in_flight + 1 + others) / (
            usable_slots * self.slow_start_factor(now_s)
        )

    def target(self) -> requests.Target:
        """Returns this backend server as the target of an attempt."""
        return requests.Target(
            models.BackendId(self.row.backend),
            models.RegionId(self.row.region),
            self.row.address,
        )

"""One backend server as a host knows it; no input or output."""

import math

from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import rows

REPORT_LIFE_S = 3.0
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
EJECTION_FORGET_S = 30.0


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
        self.signs: dict[reports.Sign, reports.Word] = {}
        self.refused_at_s = -math.inf
        self.report: reports.LoadReported | None = None
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
        self, sign: reports.Sign, state: models.BackendState, order: float
    ) -> None:
        """Takes a word; the same source's older ones change nothing.

        Of two words of the same order, leaving counts.
        """
        last = self.signs.get(sign)
        tied = last is not None and order == last.order
        leaving = state is models.BackendState.LEAVING
        if last is None or order > last.order or (tied and leaving):
            self.signs[sign] = reports.Word(state, order)

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

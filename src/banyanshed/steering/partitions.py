"""Caps on what one side of a network partition sends to a server.

Hosts whose rows may be outdated can't know that a server has turned cold, until
a health check tells them. If other hosts are silent at the same time, these may
know it, and send to the server what a cold one bears. What the platform
tolerates beyond that is left for all hosts of this side together.
"""

from collections.abc import Callable

from banyanshed.steering import models
from banyanshed.steering import views

# Requests that a host may send to a server at once: it must not reject requests
# that come unevenly at a rate below its part of the cap.
SAVED_REQUESTS = 2.0


class PartitionCaps:
    """Rates for servers that may have turned cold on the other side.

    Attributes:
        silent_share: The silent hosts as a fraction of all while this host's
            rows may be outdated; 0 while there are no caps.
    """

    def __init__(
        self,
        view: views.View,
        tolerance: models.ColdTolerance | None,
        find_silent_share: Callable[[], float],
    ):
        """Sets up the caps, which are not in force.

        Args:
            view: Configuration and servers known to this host.
            tolerance: What the platform tolerates; None if it sets no bound.
            find_silent_share: Returns the silent hosts as a fraction of all
                while this host's rows may be outdated, else 0.
        """
        self.view = view
        self.tolerance = tolerance
        self.find_silent_share = find_silent_share
        self.silent_share = 0.0

    def update(self) -> bool:
        """Puts the caps into force or out of it; returns if that changed."""
        before = self.silent_share
        if self.tolerance is not None:
            self.silent_share = self.find_silent_share()
        return (self.silent_share > 0.0) is not (before > 0.0)

    def rate(self, server: models.Registration) -> float | None:
        """Returns a server's cap in requests per second; None if none."""
        if self.silent_share <= 0.0 or self.tolerance is None:
            return None
        service = self.view.service_of(server)
        if service is None or service.cold_s <= 0.0:
            return None
        excess = service.cold_rate * (self.tolerance.excess - 1.0)
        return max(0.0, excess + self.tolerance.slack)

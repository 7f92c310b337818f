"""Slow start: limits the request rate to cold backend servers.

Hosts divide a server's rate without coordination: only the first few hosts in
the server's rendezvous order send to it, each at an equal part of the rate. A
host that fell silent keeps its place for as long as messages are sent to it: it
may be cut off from its peers only, and go on sending.
"""

from collections.abc import Callable, Iterable

from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import views

MAX_SENDERS = 4


class ColdRateLimiter:
    """One host's token buckets for cold backend servers.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        host: models.HostId,
        view: views.View,
        sharing_hosts: Callable[[], Iterable[models.HostId]],
    ):
        """Sets up the limiter without any buckets.

        Args:
            host: Id of this host.
            view: Configuration and servers known to this host.
            sharing_hosts: Returns the ids of the hosts that may send.
        """
        self.host = host
        self.view = view
        self.sharing_hosts = sharing_hosts
        self.buckets: dict[models.ServerId, tuple[float, float]] = {}

    def admit(self, server: views.Server, now: float) -> bool:
        """Takes a token for one request; returns false when there is none."""
        configuration = self.view.configuration
        if configuration is None:
            return False
        entry = server.registration
        service = configuration.services.get(entry.service)
        if service is None or service.cold_rate <= 0.0:
            return False
        senders = max(1, min(MAX_SENDERS, int(service.cold_rate / 2.0)))
        if not rendezvous.is_among_first(
            entry.id, self.host, self.sharing_hosts(), senders
        ):
            return False
        tokens, at = self.buckets.get(entry.id, (1.0, now))
        tokens = min(1.0, tokens + (now - at) * service.cold_rate / senders)
        if tokens < 1.0:
            self.buckets[entry.id] = (tokens, now)
            return False
        self.buckets[entry.id] = (tokens - 1.0, now)
        return True

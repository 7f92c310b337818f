"""Divides the rate that a cold backend server bears over hosts.

Hosts do not talk for it: few hosts, the first of a rendezvous order of the
live ones, may send to a cold server, each at an equal part of its rate.
"""

from collections.abc import Callable, Sequence

from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import views

MAX_SENDERS = 4


class ColdRateLimiter:
    """Token buckets of one host for the cold servers that it may use."""

    def __init__(
        self,
        host: models.HostId,
        view: views.View,
        live_hosts: Callable[[], Sequence[models.HostId]],
    ):
        """Takes this host's id and what tells the live hosts."""
        self.host = host
        self.view = view
        self.live_hosts = live_hosts
        self.buckets: dict[models.ServerId, tuple[float, float]] = {}

    def admit(self, server: views.Server, now: float) -> bool:
        """Takes a token for one request to a cold server."""
        configuration = self.view.configuration
        if configuration is None:
            return False
        entry = server.registration
        service = configuration.services.get(entry.service)
        if service is None or service.cold_rate <= 0.0:
            return False
        senders = max(1, min(MAX_SENDERS, int(service.cold_rate / 2.0)))
        if not rendezvous.is_among_first(
            entry.id, self.host, self.live_hosts(), senders
        ):
            return False
        tokens, at = self.buckets.get(entry.id, (1.0, now))
        tokens = min(1.0, tokens + (now - at) * service.cold_rate / senders)
        if tokens < 1.0:
            self.buckets[entry.id] = (tokens, now)
            return False
        self.buckets[entry.id] = (tokens - 1.0, now)
        return True

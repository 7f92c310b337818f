"""Decides which backend servers this host asks for their health.

Rows of the store tell that a server is cold, so that health checks are needed
only where rows can't: of servers that refused connections, whose next process
may not have written its row yet; of those whose row may be of the past, as it
was removed before; and while this host's copy of the rows is outdated. In the
last case the hosts that hear each other divide the servers; a host that hears
none asks those that it sends requests to.
"""

from collections.abc import Callable, Sequence

from banyanshed.steering import health as health_lib
from banyanshed.steering import models
from banyanshed.steering import rendezvous
from banyanshed.steering import views

# Interval of the checks of one server, in seconds: until it is reached again or
# its row is known to be of the present, and while the rows are outdated.
UNREACHED_INTERVAL_S = 0.3
OUTDATED_INTERVAL_S = 1.0
# Hosts that check a server while the rows are outdated.
CHECKING_HOSTS = 2


class HealthChecks:
    """The health checks of one host.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        host: models.HostId,
        view: views.View,
        health: health_lib.Health,
        live_hosts: Callable[[], Sequence[models.HostId]],
    ):
        """Starts without checks.

        Args:
            host: Id of this host.
            view: Configuration and servers known to this host.
            health: Requests of this host at the servers.
            live_hosts: Returns the ids of the live hosts.
        """
        self.host = host
        self.view = view
        self.health = health
        self.live_hosts = live_hosts
        self.checked_at: dict[models.ServerId, float] = {}
        self.assigned: set[models.ServerId] = set()
        self.assigned_for: tuple[frozenset[models.HostId], int] | None = None

    def take_due(self, is_outdated: bool, now: float) -> list[views.Server]:
        """Returns the servers to check now, which count as checked.

        Args:
            is_outdated: Whether this host's copy of the rows may be outdated.
            now: Current time in seconds.
        """
        is_alone = False
        if is_outdated:
            live = frozenset(self.live_hosts())
            is_alone = len(live) == 1
            self._assign(live)
        due = []
        for server in self.view.servers.values():
            id_ = server.registration.id
            is_assigned = is_outdated and id_ in self.assigned
            if is_assigned and is_alone:
                since = now - OUTDATED_INTERVAL_S
                is_assigned = self.health.is_used(id_, since, now)
            interval_s = self._interval_s(server, is_assigned, now)
            checked_at = self.checked_at.get(id_, float("-inf"))
            if interval_s is None or now - checked_at < interval_s:
                continue
            self.checked_at[id_] = now
            due.append(server)
        return due

    def forget(self, server: models.ServerId) -> None:
        """Drops what is known of a server that is gone or was restarted."""
        self.checked_at.pop(server, None)

    def _assign(self, live: frozenset[models.HostId]) -> None:
        """Determines the servers that this host checks among the live hosts."""
        basis = (live, self.view.servers_version)
        if basis == self.assigned_for:
            return
        self.assigned_for = basis
        self.assigned = {
            id_
            for id_ in self.view.servers
            if rendezvous.is_among_first(
                f"health {id_}", self.host, live, CHECKING_HOSTS
            )
        }

    def _interval_s(
        self, server: views.Server, is_assigned: bool, now: float
    ) -> float | None:
        """Returns the interval of a server's checks; None if there are none."""
        if self.view.must_ask(server):
            return UNREACHED_INTERVAL_S
        if not self.view.accepts_requests(server):
            return None
        entry = server.registration
        if self.view.lifecycles.is_presumed_cold(entry, now):
            return UNREACHED_INTERVAL_S
        return OUTDATED_INTERVAL_S if is_assigned else None

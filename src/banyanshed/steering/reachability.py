"""Whether this host reaches any backend server over its own links.

A host that is cut off from all servers sees the same as one whose servers all
failed at once. It suspects its own links when several servers fail at the same
time, and takes itself to be cut off when connections to other servers fail too.
What it observes of servers meanwhile says nothing about them.
"""

from collections.abc import Callable, Collection, Sequence

from banyanshed.steering import health as health_lib
from banyanshed.steering import models
from banyanshed.steering import views

# Number of servers that must fail, or stay silent, at the same time.
MIN_SUSPECTS = 2
# Time without any answer, while requests wait at several servers, from which
# they count as silent, in seconds.
SILENCE_S = 0.7
# Servers that are connected to in a check.
CHECKED_SERVERS = 5
# Time between checks, in seconds: after a successful one, and while the host is
# cut off.
CHECK_INTERVAL_S = 1.0
CUT_CHECK_INTERVAL_S = 0.25


class Reachability:
    """What this host knows of its links to the servers.

    Times are in seconds of one monotonic clock, which callers pass as `now`.

    Attributes:
        health: Requests in flight at servers.
        is_cut: Whether the host reaches no server.
        failed: Servers to which a connection failed since the last one that
            was established.
        heard_at: When a server last answered or accepted a connection.
        checked_at: When the links were last checked.
    """

    def __init__(self, health: health_lib.Health):
        """Starts without observations.

        Args:
            health: Requests in flight at servers.
        """
        self.health = health
        self.is_cut = False
        self.failed: set[models.ServerId] = set()
        self.heard_at = float("-inf")
        self.checked_at = float("-inf")

    def record_connected(self, now: float) -> None:
        """Records that a server accepted a connection."""
        self.failed.clear()
        self.heard_at = now
        self._update_health()

    def record_answer(self, now: float) -> None:
        """Records an answer, which may come on an older connection."""
        self.heard_at = now

    def record_connect_failure(self, server: models.ServerId) -> None:
        """Records that a connection to a server failed."""
        self.failed.add(server)
        self._update_health()

    @property
    def is_suspected(self) -> bool:
        """Whether the host can't tell its links' failure from the servers'."""
        return self.is_cut or len(self.failed) >= MIN_SUSPECTS

    def needs_check(self, now: float) -> bool:
        """Returns whether to check the links now."""
        age_s = now - self.checked_at
        if self.is_cut:
            return age_s >= CUT_CHECK_INTERVAL_S
        if age_s < CHECK_INTERVAL_S:
            return False
        return self.is_suspected or self._is_silent(now)

    def record_check(self, reached: bool, now: float) -> bool:
        """Records a check; returns whether `is_cut` has changed."""
        self.checked_at = now
        was_cut = self.is_cut
        self.is_cut = not reached
        if reached:
            self.record_connected(now)
        self._update_health()
        return self.is_cut is not was_cut

    def _update_health(self) -> None:
        self.health.ignores_results = self.is_suspected

    def _is_silent(self, now: float) -> bool:
        if now - self.heard_at < SILENCE_S:
            return False
        waiting = self.health.waiting_servers(now - SILENCE_S)
        return waiting >= MIN_SUSPECTS


def choose_checked(
    view: views.View,
    zone: models.ZoneName,
    failed: Collection[models.ServerId],
    shuffle: Callable[[list[views.Server]], None],
) -> Sequence[views.Server]:
    """Returns the servers to connect to in a check.

    They are of as many availability zones as possible, the host's own first,
    so that neither a zone's failure nor its cut looks like that of the links.
    Servers that have just failed come last, as they may have ended.

    Args:
        view: Known servers.
        zone: Availability zone of the host.
        failed: Servers to which a connection has just failed.
        shuffle: Puts servers into a random order.
    """
    servers = list(view.servers.values())
    shuffle(servers)
    servers.sort(key=lambda server: server.registration.zone != zone)
    first: list[views.Server] = []
    others: list[views.Server] = []
    last: list[views.Server] = []
    zones = set()
    for server in servers:
        entry = server.registration
        if entry.id in failed:
            last.append(server)
            continue
        (others if entry.zone in zones else first).append(server)
        zones.add(entry.zone)
    return [*first, *others, *last][:CHECKED_SERVERS]

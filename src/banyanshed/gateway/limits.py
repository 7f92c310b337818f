"""Tracks the rate limits of backend servers: applies and logs what is heard."""

from collections.abc import Mapping

from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.platform import headers as header_names
from banyanshed.steering import limits as limits_lib
from banyanshed.steering import models

# Length up to which a malformed header is logged.
MAX_LOGGED_VALUE_BYTES = 40


class LimitTracker:
    """Learns limits from servers' responses and from peers."""

    def __init__(
        self, limits: limits_lib.ServerLimits, counters: metrics.Metrics
    ):
        """Initializes the tracker.

        Args:
            limits: Limits known to this host.
            counters: Metrics to update.
        """
        self.limits = limits
        self.counters = counters
        self.malformed: dict[models.ServerId, bytes] = {}

    def observe_response(
        self, server: models.Registration, headers: messages.Headers, now: float
    ) -> None:
        """Records the limit that a server's response names, if any."""
        named = header_names.decode_server_limit(headers)
        if named.malformed is not None:
            self._record_malformed(server, named.malformed)
            if named.rate is None:
                # Whether the known limit still holds can't be told.
                return
        change = self.limits.observe(server, named.rate, now)
        if change is not None:
            self._record_change(change, "response")

    def apply_reports(
        self,
        reports: Mapping[models.ServerId, limits_lib.LimitReport],
        peer: models.HostId,
        now: float,
    ) -> None:
        """Applies a peer's reports of limits."""
        for change in self.limits.apply_reports(reports, now):
            self._record_change(change, f"peer {peer}")

    def drop_absent(self, now: float) -> None:
        """Drops what is known of servers that are gone for long."""
        self.limits.drop_absent(now)
        for server in list(self.malformed):
            if server not in self.limits.view.servers:
                del self.malformed[server]

    def _record_change(
        self, change: limits_lib.LimitChange, source: str
    ) -> None:
        kind = _describe(change)
        self.counters.count_server_limit(kind)
        logs.log_event(
            "server_limit",
            server=change.server,
            change=kind,
            rate=change.rate,
            previous=change.previous,
            age_s=round(change.age_s, 3),
            source=source,
        )

    def _record_malformed(
        self, server: models.Registration, value: bytes
    ) -> None:
        """Counts a malformed limit, and logs it once for each value."""
        self.counters.count_server_limit("malformed")
        value = value[:MAX_LOGGED_VALUE_BYTES]
        if self.malformed.get(server.id) == value:
            return
        self.malformed[server.id] = value
        logs.log_event(
            "server_limit_malformed",
            server=server.id,
            value=value.decode("latin-1"),
            rate=self.limits.rate(server),
        )


def _describe(change: limits_lib.LimitChange) -> str:
    """Returns how a limit changed, as a stable word."""
    if change.rate is None:
        return "ended"
    if change.previous is None:
        return "named"
    return "raised" if change.rate > change.previous else "lowered"

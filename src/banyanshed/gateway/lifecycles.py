"""Tracks what backend servers say of their life cycle: applies and logs it."""

from collections.abc import Mapping

from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.platform import headers as header_names
from banyanshed.steering import models
from banyanshed.steering import views


class LifecycleTracker:
    """Learns from servers' responses and from peers."""

    def __init__(self, view: views.View, counters: metrics.Metrics):
        """Initializes the tracker.

        Args:
            view: Servers known to this host.
            counters: Metrics to update.
        """
        self.view = view
        self.lifecycles = view.lifecycles
        self.counters = counters

    def observe_response(
        self,
        server: models.Registration,
        headers: messages.Headers,
        request_id: bytes,
        now: float,
    ) -> None:
        """Records what a server says in the headers of a response."""
        statement = header_names.decode_statement(headers)
        self._record(
            server,
            statement,
            now,
            source="response",
            request_id=request_id.decode("latin-1"),
        )

    def report(self) -> dict[models.ServerId, models.Statement]:
        """Returns what this host reports to its peers."""
        servers = self.view.servers.values()
        return self.lifecycles.report(s.registration for s in servers)

    def apply_reports(
        self,
        reports: Mapping[models.ServerId, models.Statement],
        peer: models.HostId,
        now: float,
    ) -> None:
        """Applies what a peer reports of servers' processes."""
        for id_, statement in reports.items():
            server = self.view.servers.get(id_)
            if server is not None:
                source = f"peer {peer}"
                self._record(server.registration, statement, now, source=source)

    def drop_absent(self, now: float) -> None:
        """Drops what is known of servers that are gone for long."""
        self.lifecycles.drop_absent(self.view.servers, now)

    def _record(
        self,
        server: models.Registration,
        statement: models.Statement,
        now: float,
        **fields: str,
    ) -> None:
        if not self.lifecycles.record(server, statement, now):
            return
        self.counters.count_statement("leaving")
        logs.log_event(
            "server_leaving",
            server=server.id,
            started_ms=server.started_ms,
            row_state=server.state.value,
            **fields,
        )

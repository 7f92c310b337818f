"""Tracks what backend servers say of their life cycle: applies and logs it."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence

from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.platform import headers as header_names
from banyanshed.steering import lifecycles as lifecycles_lib
from banyanshed.steering import models
from banyanshed.steering import views


class LifecycleTracker:
    """Learns from servers' responses, from connections and from peers."""

    def __init__(self, view: views.View, counters: metrics.Metrics):
        """Initializes the tracker.

        Args:
            view: Servers known to this host.
            counters: Metrics to update.
        """
        self.view = view
        self.lifecycles = view.lifecycles
        self.counters = counters
        self.loop = asyncio.get_running_loop()

    def observe_response(
        self,
        server: models.Registration,
        headers: messages.Headers,
        request_id: bytes,
    ) -> None:
        """Records what a server says in the headers of a response."""
        statement = header_names.decode_statement(headers)
        news = self.lifecycles.record(server, statement, self.loop.time())
        self._log(
            server,
            statement,
            news,
            source="response",
            request_id=request_id.decode("latin-1"),
        )

    def observe_health(
        self, server: models.Registration, headers: messages.Headers
    ) -> None:
        """Records what a server says in a health response."""
        statement = header_names.decode_statement(headers)
        news = self.lifecycles.record_health(
            server, statement, self.loop.time()
        )
        self._log(server, statement, news, source="health response")

    def settle(
        self,
        server: models.Registration,
        removal: models.EntryRemoval,
        source: str,
    ) -> None:
        """Records that a server lives on after its entry was removed."""
        if self.lifecycles.settle(server, removal):
            log_doubt("server_confirmed", server, removal, source=source)

    def record_refusal(self, server: models.Registration) -> None:
        """Records that a server refused connections."""
        if not self.lifecycles.record_refusal(server):
            return
        self.counters.count_statement("refusal")
        logs.log_event(
            "server_restart_presumed",
            server=server.id,
            started_ms=server.started_ms,
        )

    def record_reached(
        self, server: models.Registration, service: models.Service
    ) -> None:
        """Records that a server accepts connections."""
        now = self.loop.time()
        self.lifecycles.record_reached(server, service.cold_s, now)

    def report(self) -> dict[models.ServerId, models.Statement]:
        """Returns what this host reports to its peers."""
        entries = (server.registration for server in self.view.servers.values())
        return self.lifecycles.report(entries, self.loop.time())

    def apply_reports(
        self,
        reports: Mapping[models.ServerId, models.Statement],
        peer: models.HostId,
    ) -> None:
        """Applies what a peer reports of servers' processes."""
        now = self.loop.time()
        for id_, statement in reports.items():
            server = self.view.servers.get(id_)
            if server is None:
                continue
            entry = server.registration
            news = self.lifecycles.record(entry, statement, now)
            self._log(entry, statement, news, source=f"peer {peer}")

    def learn_removals(
        self, told: Sequence[models.ProcessRemoval], peer: models.HostId
    ) -> None:
        """Applies the removals that a peer tells this host at its start."""
        now = self.loop.time()
        for item in told:
            if self.lifecycles.learn_removal(item, now):
                logs.log_event(
                    "server_removal_told",
                    server=item.server,
                    started_ms=item.started_ms,
                    removed_sequence=item.removal.sequence,
                    removed_era=item.removal.at.era,
                    removed_version=item.removal.at.number,
                    source=f"peer {peer}",
                )

    def drop_absent(self) -> None:
        """Drops what is known of servers that are gone for long."""
        self.lifecycles.drop_absent(self.view.servers, self.loop.time())

    def _log(
        self,
        server: models.Registration,
        statement: models.Statement,
        news: Iterable[lifecycles_lib.News],
        **fields: str,
    ) -> None:
        for item in news:
            self.counters.count_statement(item.value)
            if item is lifecycles_lib.News.DOUBTED:
                assert statement.removal is not None
                log_doubt("server_doubted", server, statement.removal, **fields)
                continue
            logs.log_event(
                f"server_{item.value}",
                server=server.id,
                started_ms=server.started_ms,
                row_state=server.state.value,
                cold_left_s=statement.cold_left_s,
                **fields,
            )


def log_doubt(
    event: str,
    server: models.Registration,
    removal: models.EntryRemoval,
    **fields: str | int,
) -> None:
    """Logs that a process is in doubt or no longer, and for which removal."""
    logs.log_event(
        event,
        server=server.id,
        started_ms=server.started_ms,
        sequence=server.sequence,
        removed_sequence=removal.sequence,
        removed_era=removal.at.era,
        removed_version=removal.at.number,
        **fields,
    )

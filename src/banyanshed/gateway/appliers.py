"""Applies changed rows of the platform's tables to the host's view.

Decodes rows from the store or from a peer, logs the resulting changes, and
keeps backend servers whose missing entries may be written again.
"""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import time

from banyanshed.gateway import lifecycles
from banyanshed.gateway import logs
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.platform import wire
from banyanshed.steering import models
from banyanshed.steering import outages
from banyanshed.steering import restores
from banyanshed.steering import views
from banyanshed.steering import waits as waits_lib

# Removing more than this share of all entries at once is not taken as an
# orderly shutdown of the servers.
MASS_REMOVAL_SHARE = 0.25
# Source, in logs, of what is concluded from a row that stays in the store.
LASTING_ROW = "lasting row"


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What applies to all rows of servers that are applied together.

    Attributes:
        now: When they are applied, in seconds.
        era: Era of the store in which they were read.
        source: Where they were read from, for logs.
        keep_until: Until when servers without a row are kept.
        reason: Why they are kept; empty if they aren't.
    """

    now: float
    era: int
    source: str
    keep_until: float
    reason: str = ""


class Applier:
    """Decodes changed rows, updates the view and logs the changes."""

    def __init__(
        self,
        view: views.View,
        forget_server: Callable[[models.ServerId], None],
        set_limits: Callable[[models.Configuration], None],
        counters: metrics.Metrics,
        waits: waits_lib.Waits,
        clock: Callable[[], float],
    ):
        """Initializes the applier.

        Args:
            view: The configuration and servers to update.
            forget_server: Called with the id of each server that is new,
                restarted or dropped.
            set_limits: Called with each configuration that comes into force.
            counters: Metrics to update.
            waits: Delays and timeouts of this host.
            clock: Returns the current time in seconds.
        """
        self.view = view
        self.forget_server = forget_server
        self.set_limits = set_limits
        self.counters = counters
        self.waits = waits
        self.clock = clock
        self.outage = outages.Outage(waits)
        self.configuration_value = b""

    def apply(
        self,
        mirror: mirrors.Mirror,
        changed: Iterable[wire.Row],
        source: str,
        max_age_s: float = 0.0,
    ) -> None:
        """Applies the changed rows of a mirror.

        Args:
            mirror: The mirror, which already contains the changes.
            changed: The changed rows.
            source: Where the rows were read from, for logs.
            max_age_s: Upper limit of the time since the rows were changed, in
                seconds.
        """
        if mirror.table == wire.OPERATOR_TABLE:
            self._apply_operator(mirror, changed, source)
        else:
            self._apply_servers(list(changed), mirror.era, source, max_age_s)
            self.view.servers_known = True

    def replace(
        self, mirror: mirrors.Mirror, page: wire.Page
    ) -> list[wire.Row]:
        """Replaces a mirror's rows and logs what a restore of the store lost.

        Returns:
            The changed rows, which have not been applied yet.
        """
        now = self.clock()
        known = dict(mirror.overlay.rows)
        changed = mirror.replace(page, self._holds(mirror.table, now), now)
        _log_kept_rows(mirror, known)
        return changed

    def merge(self, mirror: mirrors.Mirror, page: wire.Page) -> list[wire.Row]:
        """Merges changes into a mirror and logs rows that it does not take.

        Returns:
            The changed rows, which have not been applied yet.
        """
        known = dict(mirror.overlay.rows)
        changed = mirror.merge(page)
        _log_kept_rows(mirror, known)
        return changed

    def expire(self, mirror: mirrors.Mirror) -> None:
        """Lets rows go that nobody has written again after a restore."""
        now = self.clock()
        changed = mirror.expire(now)
        for row in changed:
            logs.log_event(
                "row_released",
                table=mirror.table,
                key=row.key,
                is_removed=row.value is None,
                era=mirror.era,
            )
        if not changed:
            return
        if mirror.table == wire.OPERATOR_TABLE:
            self._apply_operator(mirror, changed, "store")
            return
        batch = Batch(now, mirror.era, "store", now)
        for row in changed:
            self._apply_server(row, batch)

    def believe_lasting(self, mirror: mirrors.Mirror) -> None:
        """Believes rows of servers that have lasted in the store.

        These are rows in doubt, and rows of processes that were taken to have
        ended. The store would have dropped them if nobody wrote them.

        Args:
            mirror: The table of the servers.
        """
        lasting_s = self.waits.bounds.lapse_s + waits_lib.RE_REGISTRATION_S
        self._settle_doubts(mirror.verified_at, lasting_s)
        now = self.clock()
        batch = Batch(now, mirror.era, LASTING_ROW, now)
        for entry in self.view.take_outlasting(mirror.verified_at, lasting_s):
            row = mirror.rows.get(entry.id)
            row_version = mirror.version if row is None else row.version
            self._update_server(entry, row_version, batch)

    def _settle_doubts(self, verified_at: float, lasting_s: float) -> None:
        known = self.view.lifecycles
        for entry in self.view.find_lasting(verified_at, lasting_s):
            removal = known.find_doubt(entry)
            if removal is None or not known.settle(entry, removal):
                continue
            lifecycles.log_doubt(
                "server_confirmed", entry, removal, source=LASTING_ROW
            )

    def waits_of(self, table: str) -> waits_lib.TableWaits:
        """Returns the delays that apply to changes of a table."""
        if table == wire.OPERATOR_TABLE:
            return self.waits.operator_table
        return self.waits.server_table

    def drop_missing(self) -> None:
        """Drops servers whose entries were not written again in time."""
        for server in self.view.drop_missing(self.clock()):
            self._record_removal(server, "not_back")

    def _apply_operator(
        self, mirror: mirrors.Mirror, changed: Iterable[wire.Row], source: str
    ) -> None:
        for row in changed:
            if row.key == wire.CONFIGURATION_KEY and row.value is not None:
                self._apply_configuration(row, source)
        prefix = wire.EVACUATION_PREFIX
        zones = {
            models.ZoneName(key[len(prefix) :])
            for key in mirror.current_rows()
            if key.startswith(prefix)
        }
        begun, ended = self.view.set_evacuated(zones, self.clock())
        for zone in begun:
            logs.log_event("evacuation_begun", zone=zone, source=source)
        for zone in ended:
            logs.log_event("evacuation_ended", zone=zone, source=source)

    def _apply_configuration(self, row: wire.Row, source: str) -> None:
        assert row.value is not None
        try:
            configuration = wire.decode_configuration(row.value)
        except wire.MalformedMessage as error:
            logs.log_event("configuration_unreadable", error=str(error))
            return
        is_rewritten = row.value != self.configuration_value
        if not self.view.accept_configuration(configuration, is_rewritten):
            return
        self.configuration_value = row.value
        self.set_limits(configuration)
        logs.log_event(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
            row_version=row.version,
            source=source,
        )

    def _apply_servers(
        self, changed: list[wire.Row], era: int, source: str, max_age_s: float
    ) -> None:
        now = self.clock()
        removed = sum(1 for row in changed if row.value is None)
        keep_until = self.outage.kept_until(now)
        reason = "store_lost" if self.outage.is_active else "store_returned"
        mass_removal = max(2.0, MASS_REMOVAL_SHARE * len(self.view.servers))
        if removed > mass_removal and not self.outage.is_active:
            in_service_until = now + self.waits.kept_in_service_s(max_age_s)
            if in_service_until > keep_until:
                keep_until, reason = in_service_until, "many_removed"
        batch = Batch(now, era, source, keep_until, reason)
        for row in changed:
            self._apply_server(row, batch)

    def _apply_server(self, row: wire.Row, batch: Batch) -> None:
        id_ = models.ServerId(row.key)
        removed_at = models.TableVersion(batch.era, row.version)
        if row.value is None:
            self._remove_server(id_, removed_at, batch)
            return
        try:
            entry = wire.decode_server(row.key, row.value)
        except wire.MalformedMessage as error:
            logs.log_event(
                "server_entry_unreadable", server=id_, error=str(error)
            )
            at_once = dataclasses.replace(batch, keep_until=batch.now)
            self._remove_server(id_, removed_at, at_once)
            return
        self._update_server(entry, row.version, batch)

    def _holds(self, table: str, now: float) -> restores.Holds:
        """Returns until when rows count that a restored store lacks."""
        if table == wire.OPERATOR_TABLE:
            until = now + restores.EVACUATION_HOLD_S
            return restores.Holds(until, until)
        missing_until = max(
            self.outage.kept_until(now), now + self.waits.kept_in_service_s(0.0)
        )
        lapsed_at = now + self.waits.bounds.lapse_s
        return restores.Holds(
            missing_until, lapsed_at + waits_lib.RE_REGISTRATION_S
        )

    def _update_server(
        self,
        entry: models.Registration,
        row_version: int,
        batch: Batch,
    ) -> None:
        known = self.view.servers.get(entry.id)
        state = known.registration.state if known is not None else None
        wall_ms = int(time.time() * 1000)
        new = self.view.put_server(entry, batch.now, wall_ms)
        current = self.view.servers.get(entry.id)
        if current is None or current.registration is not entry:
            logs.log_event(
                "server_row_late",
                server=entry.id,
                state=entry.state.value,
                started_ms=entry.started_ms,
                sequence=entry.sequence,
                row_version=row_version,
                source=batch.source,
            )
            return
        if new:
            self.forget_server(entry.id)
            self._log_doubt(entry, row_version, batch)
        if new or state is not entry.state:
            logs.log_event(
                "server_known",
                server=entry.id,
                service=entry.service,
                zone=entry.zone,
                state=entry.state.value,
                cold_left_s=entry.cold_left_s,
                row_version=row_version,
                source=batch.source,
            )

    def _log_doubt(
        self, entry: models.Registration, row_version: int, batch: Batch
    ) -> None:
        """Logs that a row appeared of a process whose entry was removed."""
        removal = self.view.lifecycles.find_doubt(entry)
        if removal is None:
            return
        lifecycles.log_doubt(
            "server_doubted",
            entry,
            removal,
            row_version=row_version,
            source=batch.source,
        )

    def _remove_server(
        self, id_: models.ServerId, at: models.TableVersion, batch: Batch
    ) -> None:
        if self.view.drop_server(id_, batch.now, batch.keep_until, at):
            self._record_removal(id_, "entry_removed", source=batch.source)
            return
        if id_ not in self.view.servers:
            return
        self.counters.count_kept_server(batch.reason)
        logs.log_event(
            "server_kept",
            server=id_,
            reason=batch.reason,
            kept_s=round(batch.keep_until - batch.now, 3),
            since_return_s=self._since_return_s(batch.now),
            source=batch.source,
        )

    def _since_return_s(self, now: float) -> float | None:
        """Returns the seconds since the store answered again.

        None while the store does not answer or before the first outage.
        """
        if self.outage.is_active or self.outage.failed_at == float("-inf"):
            return None
        return round(now - self.outage.ended_at, 3)

    def _record_removal(
        self, id_: models.ServerId, cause: str, **fields: str
    ) -> None:
        self.forget_server(id_)
        self.counters.count_dropped_server(cause)
        logs.log_event("server_gone", server=id_, cause=cause, **fields)


def _log_kept_rows(
    mirror: mirrors.Mirror, known: Mapping[str, restores.Confirmed]
) -> None:
    """Logs rows that count from now on in place of the store's."""
    for key, entry in mirror.overlay.rows.items():
        if known.get(key) == entry:
            continue
        row = mirror.rows.get(key)
        logs.log_event(
            "row_kept",
            table=mirror.table,
            key=key,
            is_removed=entry.is_removed,
            written_in_era=entry.written_at.era,
            row_version=entry.written_at.number,
            era=mirror.era,
            ignored_version=row.version if row is not None else None,
        )

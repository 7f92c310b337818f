"""Change feeds that keep the view up to date.

Each table has a mirror: its rows and the version at which they were read. A
feed applies changes to the mirror. It reads from the store or, in large
fleets, from a relay of the host's region. A host that can reach neither copies
a newer table from a peer.
"""

import asyncio
from collections.abc import Coroutine
import random
from typing import Any

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import logs
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.gateway import sources as sources_lib
from banyanshed.platform import store as store_lib
from banyanshed.platform import wire
from banyanshed.steering import waits as waits_lib

RETRY_MIN_S = 0.2


class Feed:
    """Keeps the mirror of one table up to date."""

    def __init__(
        self,
        mirror: mirrors.Mirror,
        sources: sources_lib.Sources,
        applier: appliers.Applier,
        counters: metrics.Metrics,
    ):
        """Initializes the feed.

        Args:
            mirror: The copy of the table to update.
            sources: Chooses where the table is read from.
            applier: Applies the changes to the view.
            counters: Metrics to update.
        """
        self.mirror = mirror
        self.sources = sources
        self.failures = 0
        self.applier = applier
        self.counters = counters
        self.source = sources.store
        self.needs_full_read = True
        self.is_connected = False
        self.was_connected = False
        self.retry_s = RETRY_MIN_S
        self.sent_at = float("-inf")
        self.lost_at = float("-inf")
        self.failed_at = float("-inf")
        self.era: int | None = None
        # Whether the changes after the last full read could not be read.
        self.lost_again = False

    async def run(self) -> None:
        """Reads changes until cancelled; retries failed calls with backoff."""
        while True:
            try:
                has_changes = await self._poll()
            except store_lib.HistoryLost as error:
                self._count_call(self.source, "lost")
                logs.log_event(
                    "history_lost",
                    table=self.mirror.table,
                    source=self.source.name,
                    version=self.mirror.version,
                    era=error.era,
                )
                if self.lost_again:
                    await asyncio.sleep(self._next_pause_s())
                self.needs_full_read = True
                self.lost_again = True
            except exceptions.PlatformError as error:
                self._record_failure(error)
                if not self.source.is_store:
                    continue
                await asyncio.sleep(self._next_pause_s())
            else:
                if has_changes and self.source.is_store:
                    # Batches changes that follow each other.
                    await asyncio.sleep(self._waits().batch_delay_s)

    async def _poll(self) -> bool:
        """Calls the source once.

        Returns:
            Whether the source returned changes, other than those of a full
            read.
        """
        mirror = self.mirror
        now = self.applier.clock()
        source = self.sources.choose(
            mirror.table, self.failures, now >= self._outdated_at(), now
        )
        self.source = source
        if not source.is_store:
            mirror.set_follows_store(False)
        self.sent_at = now
        was_known = not self.needs_full_read
        if self.needs_full_read:
            page = await self._read(source.tables.read_table(mirror.table))
            self._check_era(page.era)
            self._record_success("read")
            self.needs_full_read = False
            known_version = mirror.version
            changed = self.applier.replace(mirror, page)
            logs.log_event(
                "table_read",
                table=mirror.table,
                source=source.name,
                era=page.era,
                version=page.version,
                known_version=known_version,
                rows=len(page.rows),
                changed=len(changed),
            )
        else:
            # While disconnected, a long poll would delay the detection that
            # the store answers again.
            wait_s = self._wait_s(source) if self.is_connected else 0.0
            asked = mirror.table_version()
            page = await self._read(
                source.tables.read_changes(mirror.table, asked, wait_s)
            )
            self._check_era(page.era)
            if page.era != asked.era:
                raise store_lib.HistoryLost("restored", page.era)
            self._record_success("changes")
            self.retry_s = RETRY_MIN_S
            self.lost_again = False
            changed = self.applier.merge(mirror, page)
        mirror.verify_by_page(page, self.applier.clock())
        self._record_era(page.era)
        if changed or not self.applier.view.servers_known:
            max_age_s = self._waits().batch_delay_s
            self.applier.apply(mirror, changed, source.name, max_age_s)
        return was_known and bool(changed)

    async def _read(self, call: Coroutine[Any, Any, wire.Page]) -> wire.Page:
        """Makes a call of the source.

        A relay that falls silent is left as soon as the copy may be outdated;
        meanwhile other hosts may report that it still matches the store.

        Raises:
            HistoryLost: The source does not know all changes.
            PlatformError: The call failed.
            StoreTimeout: The copy may be outdated, and the relay is silent.
        """
        if self.source.is_store:
            return await call
        task = asyncio.ensure_future(call)
        try:
            while not task.done():
                remaining_s = self._outdated_at() - self.applier.clock()
                if remaining_s <= 0.0:
                    raise exceptions.StoreTimeout("the copy may be outdated")
                await asyncio.wait({task}, timeout=remaining_s)
            return task.result()
        finally:
            task.cancel()

    def _outdated_at(self) -> float:
        """Returns when this host may no longer rely on a relay."""
        return self.mirror.verified_at + self._waits().max_unverified_s

    def _wait_s(self, source: sources_lib.Source) -> float:
        """Returns how long the next call may wait for changes."""
        if not source.is_store:
            return source.wait_s
        answer_age_s = self.sent_at - self.mirror.answered_at
        return max(0.0, source.wait_s - answer_age_s)

    def _waits(self) -> waits_lib.TableWaits:
        return self.applier.waits_of(self.mirror.table)

    def _check_era(self, era: int) -> None:
        """Rejects a page from before a restore that is known already.

        Raises:
            StoreUnavailable: The source is behind.
        """
        if era < self.mirror.era:
            raise exceptions.StoreUnavailable(
                f"era {era} is before era {self.mirror.era}"
            )

    def _next_pause_s(self) -> float:
        """Returns the pause before the next call, and lengthens later ones."""
        pause_s = _add_jitter(self.retry_s)
        self.retry_s = min(
            self.applier.waits.max_retry_delay_s, 2.0 * self.retry_s
        )
        return pause_s

    def _record_era(self, era: int) -> None:
        """Logs a change of the era that the source's answers name."""
        if era == self.era:
            return
        logs.log_event(
            "store_era",
            table=self.mirror.table,
            source=self.source.name,
            era=era,
            previous=self.era,
        )
        self.era = era

    def _count_call(self, source: sources_lib.Source, result: str) -> None:
        if source.is_store:
            self.counters.count_store_call(self.mirror.table, result)

    def _record_success(self, result: str) -> None:
        """Records a successful call as soon as its response arrives."""
        self._count_call(self.source, result)
        if not self.lost_again:
            self.retry_s = RETRY_MIN_S
        self.failures = 0
        now = self.applier.clock()
        self.applier.outage.end(now)
        if self.source.is_store:
            self.mirror.record_answer(now)
        if self.is_connected:
            return
        self.is_connected = True
        fields = {}
        if self.was_connected:
            # The store may have recovered at any time since the last failed
            # call, so both times are logged.
            fields["lost_s"] = round(now - self.lost_at, 3)
            fields["failed_s_ago"] = round(now - self.failed_at, 3)
        self.was_connected = True
        logs.log_event(
            "store_regained",
            table=self.mirror.table,
            source=self.source.name,
            **fields,
        )

    def _record_failure(self, error: exceptions.PlatformError) -> None:
        self.failures += 1
        self.failed_at = self.applier.clock()
        self._count_call(self.source, error.code)
        self.mirror.set_follows_store(False)
        logs.log_event(
            "feed_failed",
            table=self.mirror.table,
            source=self.source.name,
            error=str(error),
            failures=self.failures,
            waited_s=round(self.failed_at - self.sent_at, 3),
        )
        if not self.source.is_store:
            # The next call may go to another source.
            return
        self.applier.outage.record_failure(self.sent_at)
        if not self.is_connected:
            return
        self.is_connected = False
        self.lost_at = self.failed_at
        self.applier.outage.begin(self.sent_at)
        logs.log_event(
            "store_lost",
            table=self.mirror.table,
            code=error.code,
            error=str(error),
        )


def _add_jitter(pause_s: float) -> float:
    """Returns a delay with jitter, so that hosts do not retry all at once."""
    variation = waits_lib.RETRY_JITTER
    return pause_s * random.uniform(1.0 - variation, 1.0 + variation)

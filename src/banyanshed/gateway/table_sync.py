"""Replication of tables between hosts, for hosts the store does not serve.

A host copies a table from a peer when the peer has reported a newer version
for some time and the host's own feed has not delivered it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any
from urllib import parse

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import mirrors
from banyanshed.gateway import peer_messages
from banyanshed.gateway import sources
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import relays as relays_lib
from banyanshed.steering import waits as waits_lib

MAX_WAIT_S = 30.0
# A method of PeerTables that reads a table by its name.
PeerRead = Callable[
    [sources.PeerTables, str], Coroutine[Any, Any, mirrors.PeerPage]
]


class TableSync:
    """Serves this host's tables to peers and copies newer ones from them."""

    def __init__(
        self,
        fleet: members.Members,
        applier: appliers.Applier,
        tables: dict[str, mirrors.Mirror],
        relays: relays_lib.Relays,
        port: int,
    ):
        """Initializes the synchronization.

        Args:
            fleet: The other hosts and the versions that they report.
            applier: Applies what was copied.
            tables: This host's mirrors by table name.
            relays: The relays of large fleets.
            port: Port of the traffic between hosts, the same on every host.
        """
        self.fleet = fleet
        self.applier = applier
        self.mirrors = tables
        self.relays = relays
        self.port = port
        self.loop = asyncio.get_running_loop()

    async def serve(self, request: messages.Request) -> messages.Response:
        """Serves a peer all rows of a table, or the changes after a version."""
        path, _, query = request.target.decode("latin-1").partition("?")
        mirror = self.mirrors.get(path.rpartition("/")[2])
        if mirror is None or not mirror.is_known:
            return messages.Response(404)
        now = self.loop.time()
        if not query:
            body = peer_messages.encode_table(mirror, now)
            return messages.Response(200, (), body)
        if query == sources.CONFIRMED_QUERY:
            page = mirror.confirmed_page()
            return messages.Response(
                200, (), peer_messages.encode_page(page, now)
            )
        fields = parse.parse_qs(query)
        try:
            # Hosts of earlier releases don't name the era.
            era = int(fields.get("era", [str(mirror.era)])[0])
            after = models.TableVersion(era, int(fields["after"][0]))
            wait_s = int(fields["wait_ms"][0]) / 1000.0
        except (KeyError, ValueError):
            return messages.Response(400)
        return await self._serve_changes(mirror, after, wait_s)

    async def _serve_changes(
        self,
        mirror: mirrors.Mirror,
        after: models.TableVersion,
        wait_s: float,
    ) -> messages.Response:
        ends_at = self.loop.time() + min(wait_s, MAX_WAIT_S)
        while self._vouches_until(mirror) > self.loop.time():
            until = min(ends_at, self._vouches_until(mirror))
            has_changed = await mirror.wait_for_change(
                after.era, after.number, until - self.loop.time()
            )
            if has_changed or until == ends_at:
                break
        is_silent = self._vouches_until(mirror) <= self.loop.time()
        if is_silent or not mirror.follows_store or mirror.era < after.era:
            # Hosts that followed each other without the store would all miss
            # new changes.
            return messages.Response(503)
        page = mirror.changes_after(after.number)
        if page is None or mirror.era > after.era:
            return messages.Response(410)
        now = self.loop.time()
        body = peer_messages.encode_page(page, now, now - mirror.answered_at)
        return messages.Response(200, (), body)

    def _vouches_until(self, mirror: mirrors.Mirror) -> float:
        """Returns until when the store's last answer says that it answers."""
        return mirror.answered_at + self._waits(mirror).max_answer_age_s

    async def run(self) -> None:
        """Copies tables of which peers have newer versions, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for mirror in self.mirrors.values():
                group.create_task(self._sync_table(mirror))

    async def _sync_table(self, mirror: mirrors.Mirror) -> None:
        behind_since: float | None = None
        while True:
            await asyncio.sleep(self._waits(mirror).check_interval_s)
            now = self.loop.time()
            await self._adopt_confirmed(mirror, now)
            newer_peers = self._newer_peers(mirror, now)
            if not newer_peers:
                behind_since = None
                continue
            if behind_since is None:
                behind_since = now
            copy_delay_s = self._copy_delay_s(mirror, newer_peers)
            if mirror.is_known and now - behind_since < copy_delay_s:
                continue
            if await self._copy_table(mirror, self._choose_peer(newer_peers)):
                behind_since = None

    def _waits(self, mirror: mirrors.Mirror) -> waits_lib.TableWaits:
        return self.applier.waits_of(mirror.table)

    def _newer_peers(
        self, mirror: mirrors.Mirror, now: float
    ) -> list[members.Member]:
        newer_peers = []
        for member in self.fleet.live(now):
            if _report(member, mirror).version > mirror.table_version():
                newer_peers.append(member)
        return newer_peers

    def knows_confirmed(self) -> bool:
        """Returns whether this host knows all that live peers keep.

        It does not while a peer keeps rows from before a restore of the store
        that this host has not seen, or has not noticed the restore yet.
        """
        now = self.loop.time()
        for mirror in self.mirrors.values():
            if self._peer_with_unknown_rows(mirror, now) is not None:
                return False
            for member in self.fleet.live(now):
                version = _report(member, mirror).version
                if 0 < version.era < mirror.era:
                    return False
        return True

    def _peer_with_unknown_rows(
        self, mirror: mirrors.Mirror, now: float
    ) -> members.Member | None:
        """Returns a peer that keeps rows which this host has not seen."""
        for member in self.fleet.live(now):
            report = _report(member, mirror)
            if report.version.era != mirror.era or not mirror.is_known:
                continue
            if report.confirmed not in mirror.overlay.merged:
                return member
        return None

    async def _adopt_confirmed(
        self, mirror: mirrors.Mirror, now: float
    ) -> None:
        """Adopts what a peer keeps from before a restore of the store."""
        member = self._peer_with_unknown_rows(mirror, now)
        if member is None:
            return
        fingerprint = _report(member, mirror).confirmed
        page = await self._read_from_peer(
            mirror, member, sources.PeerTables.read_confirmed
        )
        if page is None:
            return
        mirror.overlay.merged.add(fingerprint)
        changed = mirror.adopt(page, self.loop.time())
        logs.log_event(
            "confirmed_rows_adopted",
            table=mirror.table,
            peer=member.host.id,
            era=page.era,
            rows=len(page.confirmed),
            changed=len(changed),
        )
        if changed:
            self.applier.apply(mirror, changed, f"peer {member.host.id}")

    def _copy_delay_s(
        self, mirror: mirrors.Mirror, newer_peers: list[members.Member]
    ) -> float:
        """Returns the seconds to wait for the host's own feed before a copy."""
        waits = self._waits(mirror)
        if any(self.fleet.is_in_own_region(member) for member in newer_peers):
            return waits.near_copy_delay_s
        # All peers that have it are in other regions. Where relays are used,
        # a relay of this region copies the table first.
        now = self.loop.time()
        is_first = not self.relays.is_needed(now) or (
            self.relays.own_index(now) is not None
        )
        return waits.near_copy_delay_s if is_first else waits.far_copy_delay_s

    def _choose_peer(self, newer_peers: list[members.Member]) -> members.Member:
        """Returns the peer to copy from.

        Peers of the same region come first, as traffic between regions is
        expensive. Of the candidates, the one that was heard most recently is
        the least likely to have failed in the meantime.
        """
        near = [
            member
            for member in newer_peers
            if self.fleet.is_in_own_region(member)
        ]
        return max(
            near or newer_peers, key=lambda member: member.heard_at or 0.0
        )

    async def _copy_table(
        self, mirror: mirrors.Mirror, member: members.Member
    ) -> bool:
        """Copies a table from a peer; returns False if that failed."""
        waits = self._waits(mirror)
        page = await self._read_from_peer(
            mirror, member, sources.PeerTables.read_table
        )
        if page is None:
            return False
        changed = self.applier.replace(mirror, page)
        mirror.verify_by_page(page, self.loop.time())
        logs.log_event(
            "table_copied",
            table=mirror.table,
            peer=member.host.id,
            era=page.era,
            version=page.version,
            changed=len(changed),
        )
        max_age_s = self.applier.waits.max_copy_age_s(waits)
        self.applier.apply(mirror, changed, f"peer {member.host.id}", max_age_s)
        return True

    async def _read_from_peer(
        self, mirror: mirrors.Mirror, member: members.Member, read: PeerRead
    ) -> mirrors.PeerPage | None:
        """Makes one call of a peer; returns None, and logs why, if it fails."""
        tables = sources.PeerTables((member.host.ip, self.port))
        try:
            async with asyncio.timeout(self._waits(mirror).copy_timeout_s):
                return await read(tables, mirror.table)
        except (TimeoutError, exceptions.PlatformError) as error:
            is_timeout = isinstance(error, TimeoutError)
            logs.log_event(
                "peer_copy_failed",
                peer=member.host.id,
                error="timeout" if is_timeout else str(error),
            )
            return None
        finally:
            tables.close()


def _report(
    member: members.Member, mirror: mirrors.Mirror
) -> members.TableReport:
    """Returns what a peer reports of its copy of a mirror's table."""
    if mirror.table == wire.OPERATOR_TABLE:
        return member.operators
    return member.servers

"""Table copies between hosts, for those that the store does not serve.

A host that hears of a newer table for a while and does not get it from the
store takes it from a peer that has it.
"""

import asyncio
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
from banyanshed.steering import relays as relays_lib
from banyanshed.steering import waits as waits_lib

MAX_WAIT_S = 30.0


class TableSync:
    """Gives this host's tables to peers and takes theirs."""

    def __init__(
        self,
        fleet: members.Members,
        applier: appliers.Applier,
        tables: dict[str, mirrors.Mirror],
        relays: relays_lib.Relays,
        port: int,
    ):
        """Takes the tables and who has them; ports are alike on all hosts."""
        self.fleet = fleet
        self.applier = applier
        self.mirrors = tables
        self.relays = relays
        self.port = port
        self.loop = asyncio.get_running_loop()

    async def serve(self, request: messages.Request) -> messages.Response:
        """Returns a whole table to a peer, or the changes after a version."""
        path, _, query = request.target.decode("latin-1").partition("?")
        mirror = self.mirrors.get(path.rpartition("/")[2])
        if mirror is None or not mirror.is_known:
            return messages.Response(404)
        if not query:
            return messages.Response(
                200, (), peer_messages.encode_table(mirror)
            )
        fields = parse.parse_qs(query)
        try:
            after = int(fields["after"][0])
            wait_s = int(fields["wait_ms"][0]) / 1000.0
        except (KeyError, ValueError):
            return messages.Response(400)
        return await self._serve_changes(mirror, after, wait_s)

    async def _serve_changes(
        self, mirror: mirrors.Mirror, after: int, wait_s: float
    ) -> messages.Response:
        await mirror.wait_for_change(after, min(wait_s, MAX_WAIT_S))
        if not mirror.follows_store:
            # Peers that follow each other would all miss what is new.
            return messages.Response(503)
        page = mirror.changes_after(after)
        if page is None:
            return messages.Response(410)
        return messages.Response(200, (), peer_messages.encode_page(page))

    async def run(self) -> None:
        """Copies tables that peers know better, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for mirror in self.mirrors.values():
                group.create_task(self._sync_table(mirror))

    async def _sync_table(self, mirror: mirrors.Mirror) -> None:
        behind_since: float | None = None
        while True:
            await asyncio.sleep(self._waits(mirror).check_interval_s)
            now = self.loop.time()
            newer_peers = self._newer_peers(mirror, now)
            if not newer_peers:
                behind_since = None
                continue
            if behind_since is None:
                behind_since = now
            patience_s = self._patience_s(mirror, newer_peers)
            if mirror.is_known and now - behind_since < patience_s:
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
            version = member.servers_version
            if mirror.table == wire.OPERATOR_TABLE:
                version = member.op_version
            if version > mirror.version:
                newer_peers.append(member)
        return newer_peers

    def _patience_s(
        self, mirror: mirrors.Mirror, newer_peers: list[members.Member]
    ) -> float:
        """Returns how long the host's own feed may take to bring it."""
        waits = self._waits(mirror)
        if any(self.fleet.is_in_own_region(member) for member in newer_peers):
            return waits.near_copy_delay_s
        # A relay of this region copies it first.
        now = self.loop.time()
        is_first = not self.relays.is_needed(now) or (
            self.relays.own_index(now) is not None
        )
        return waits.near_copy_delay_s if is_first else waits.far_copy_delay_s

    def _choose_peer(self, newer_peers: list[members.Member]) -> members.Member:
        """Returns the peer to copy from.

        Bytes between regions are dear; of the others, the one that was heard
        last is the least likely to have failed meanwhile.
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
        """Takes a table from a peer; false when the peer did not answer."""
        waits = self._waits(mirror)
        tables = sources.PeerTables((member.host.ip, self.port))
        try:
            async with asyncio.timeout(waits.copy_timeout_s):
                page = await tables.read_table(mirror.table)
        except TimeoutError:
            logs.log_event(
                "peer_copy_failed", peer=member.host.id, error="timeout"
            )
            return False
        except exceptions.PlatformError as error:
            logs.log_event(
                "peer_copy_failed", peer=member.host.id, error=str(error)
            )
            return False
        finally:
            tables.close()
        changed = mirror.replace(page)
        logs.log_event(
            "table_copied",
            table=mirror.table,
            peer=member.host.id,
            version=page.version,
            changed=len(changed),
        )
        max_age_s = self.applier.waits.max_copy_age_s(waits)
        self.applier.apply(mirror, changed, f"peer {member.host.id}", max_age_s)
        return True

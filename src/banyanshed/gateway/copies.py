"""Table copies between hosts, for those that the store does not serve.

A host that hears of a newer table for a while and does not get it from the
store takes it from a peer that has it.
"""

import asyncio
import random
from urllib import parse

from banyanshed import exceptions
from banyanshed.gateway import beats
from banyanshed.gateway import feeds
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import mirrors
from banyanshed.gateway import sources
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import relays as relays_lib

# A peer's newer table is copied when the store has not brought it by then.
BEHIND_S = 1.0
# The same when only hosts of other regions have it.
FAR_BEHIND_S = 1.8
TICK_S = 0.2
MAX_WAIT_S = 30.0


class TableCopies:
    """Gives this host's tables to peers and takes theirs."""

    def __init__(
        self,
        fleet: members.Members,
        applier: feeds.Applier,
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
        self.behind_since: dict[str, float] = {}

    async def serve(self, request: messages.Request) -> messages.Response:
        """Returns a whole table to a peer, or the changes after a version."""
        path, _, query = request.target.decode("latin-1").partition("?")
        mirror = self.mirrors.get(path.rpartition("/")[2])
        if mirror is None or not mirror.is_known:
            return messages.Response(404)
        if not query:
            return messages.Response(200, (), beats.encode_table(mirror))
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
        await mirror.wait_beyond(after, min(wait_s, MAX_WAIT_S))
        if not mirror.follows_store:
            # Peers that follow each other would all miss what is new.
            return messages.Response(503)
        page = mirror.changes_after(after)
        if page is None:
            return messages.Response(410)
        return messages.Response(200, (), beats.encode_page(page))

    async def run(self) -> None:
        """Copies tables that peers know better, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await self._catch_up(self.loop.time())

    async def _catch_up(self, now: float) -> None:
        for table, mirror in self.mirrors.items():
            ahead = self._find_ahead(table, mirror, now)
            if not ahead:
                self.behind_since.pop(table, None)
                continue
            since = self.behind_since.setdefault(table, now)
            if mirror.is_known and now - since < self._patience_s(ahead):
                continue
            self.behind_since[table] = now
            await self._copy(mirror, self._choose(ahead))

    def _find_ahead(
        self, table: str, mirror: mirrors.Mirror, now: float
    ) -> list[members.Member]:
        ahead = []
        for member in self.fleet.live(now):
            version = member.servers_version
            if table == wire.OPERATOR_TABLE:
                version = member.op_version
            if version > mirror.version:
                ahead.append(member)
        return ahead

    def _patience_s(self, ahead: list[members.Member]) -> float:
        """Returns how long the host's own feed may bring it."""
        if any(self.fleet.is_near(member) for member in ahead):
            return BEHIND_S
        # A relay of this region copies it first.
        now = self.loop.time()
        is_first = not self.relays.is_needed(now) or (
            self.relays.own_place(now) is not None
        )
        return BEHIND_S if is_first else FAR_BEHIND_S

    def _choose(self, ahead: list[members.Member]) -> members.Member:
        """Returns the peer to copy from: bytes between regions are dear."""
        near = [member for member in ahead if self.fleet.is_near(member)]
        return random.choice(near or ahead)

    async def _copy(
        self, mirror: mirrors.Mirror, member: members.Member
    ) -> None:
        tables = sources.PeerTables((member.host.ip, self.port))
        try:
            page = await tables.read_table(mirror.table)
        except exceptions.PlatformError as error:
            logs.log_belief(
                "peer_copy_failed", peer=member.host.id, error=str(error)
            )
            return
        finally:
            tables.close()
        changed = mirror.replace(page)
        logs.log_belief(
            "table_copied",
            table=mirror.table,
            peer=member.host.id,
            version=page.version,
            changed=len(changed),
        )
        self.applier.apply(mirror, changed, f"peer {member.host.id}")

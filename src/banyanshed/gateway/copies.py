"""Table copies between hosts, for those that the store does not serve.

A host that hears of a newer table for a while and does not get it from the
store takes it from a peer that has it.
"""

import asyncio
import random

import msgspec

from banyanshed import exceptions
from banyanshed.gateway import beats
from banyanshed.gateway import clients
from banyanshed.gateway import feeds
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.platform import wire
from banyanshed.steering import members

# A peer's newer table is copied when the store has not brought it by then.
BEHIND_S = 1.0
TICK_S = 0.05
COPY_TIMEOUT_S = 2.0
PATH = "/tables/"


class TableCopies:
    """Gives this host's tables to peers and takes theirs."""

    def __init__(
        self,
        fleet: members.Members,
        applier: feeds.Applier,
        mirrors: dict[str, feeds.Mirror],
        port: int,
    ):
        """Takes the tables and who has them; ports are alike on all hosts."""
        self.fleet = fleet
        self.applier = applier
        self.mirrors = mirrors
        self.port = port
        self.loop = asyncio.get_running_loop()
        self.behind_since: dict[str, float] = {}

    async def serve(self, request: messages.Request) -> messages.Response:
        """Returns a whole table to a peer."""
        table = request.target.decode("latin-1").rpartition("/")[2]
        mirror = self.mirrors.get(table)
        if mirror is None or not mirror.is_known:
            return messages.Response(404)
        return messages.Response(200, (), beats.encode_table(mirror))

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
            if mirror.is_known and now - since < BEHIND_S:
                continue
            self.behind_since[table] = now
            await self._copy(mirror, self._choose(ahead))

    def _find_ahead(
        self, table: str, mirror: feeds.Mirror, now: float
    ) -> list[members.Member]:
        ahead = []
        for member in self.fleet.live(now):
            version = member.servers_version
            if table == wire.OPERATOR_TABLE:
                version = member.op_version
            if version > mirror.version:
                ahead.append(member)
        return ahead

    def _choose(self, ahead: list[members.Member]) -> members.Member:
        """Returns the peer to copy from: bytes between regions are dear."""
        near = [member for member in ahead if self.fleet.is_near(member)]
        return random.choice(near or ahead)

    async def _copy(self, mirror: feeds.Mirror, member: members.Member) -> None:
        client = clients.HttpClient((member.host.ip, self.port))
        try:
            response = await client.call(
                "GET", f"{PATH}{mirror.table}", b"", COPY_TIMEOUT_S
            )
            if response.status != 200:
                return
            page = beats.decode_table(response.body)
        except (exceptions.PlatformError, msgspec.MsgspecError) as error:
            logs.log_belief(
                "peer_copy_failed", peer=member.host.id, error=str(error)
            )
            return
        finally:
            if client.connection is not None:
                client.connection.abort()
        changed = mirror.replace(page)
        logs.log_belief(
            "table_copied",
            table=mirror.table,
            peer=member.host.id,
            version=page.version,
            changed=len(changed),
        )
        self.applier.apply(mirror, changed, f"peer {member.host.id}")

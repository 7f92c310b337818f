"""Where a host follows the platform's tables: the store, or a relay.

In large fleets a feed of each host would cost the store a call for each host
and change, and each change would cross between regions for each host. There
the relays of a region follow the store, and the others follow a relay. A host
whose relays do not serve it follows the store itself.
"""

import dataclasses
from typing import Protocol

import msgspec
import xxhash

from banyanshed import exceptions
from banyanshed.gateway import clients
from banyanshed.gateway import logs
from banyanshed.gateway import peer_messages
from banyanshed.platform import store as store_lib
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import relays as relays_lib

# How long the store may hold a call while nothing changes; relays ask more
# often, as others learn from them that it still answers.
STORE_WAIT_S = 20.0
RELAY_STORE_WAIT_S = 8.0
# The same for a relay, and what an answer may take beyond that.
PEER_WAIT_S = 2.0
PEER_TIMEOUT_S = 1.0
COPY_TIMEOUT_S = 2.0
TABLES_PATH = "/tables/"


class TableReader(Protocol):
    """What a host can follow."""

    async def read_table(self, table: str) -> wire.Page:
        """Returns all rows of a table."""

    async def read_changes(
        self, table: str, after: int, wait_s: float
    ) -> wire.Page:
        """Waits for changes of a table and returns them in order."""


class PeerTables:
    """The tables of one peer, each with its own connection."""

    def __init__(self, address: tuple[str, int]):
        """Takes the peer's address; calls connect."""
        self.address = address
        self.clients: dict[str, clients.HttpClient] = {}

    async def read_table(self, table: str) -> wire.Page:
        """Returns all rows of a table.

        Raises:
            PlatformError: The peer did not answer or does not have it.
        """
        return await self._call(table, "", COPY_TIMEOUT_S)

    async def read_changes(
        self, table: str, after: int, wait_s: float
    ) -> wire.Page:
        """Waits for changes of a table and returns them in order.

        Raises:
            HistoryLost: The peer does not know all changes.
            PlatformError: It did not answer, or does not follow the store.
        """
        query = f"?after={after}&wait_ms={round(wait_s * 1000.0)}"
        return await self._call(table, query, wait_s + PEER_TIMEOUT_S)

    def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            if client.connection is not None:
                client.connection.abort()

    async def _call(
        self, table: str, query: str, timeout_s: float
    ) -> wire.Page:
        client = self.clients.get(table)
        if client is None:
            client = clients.HttpClient(self.address)
            self.clients[table] = client
        target = f"{TABLES_PATH}{table}{query}"
        response = await client.call("GET", target, b"", timeout_s)
        if response.status == 410:
            raise store_lib.HistoryLost(query)
        if response.status != 200:
            raise exceptions.StoreUnavailable(f"status {response.status}")
        try:
            return peer_messages.decode_table(response.body)
        except msgspec.MsgspecError as error:
            raise exceptions.StoreUnavailable(str(error)) from error


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Something to follow.

    Attributes:
        name: For logs.
        tables: Makes the calls.
        wait_s: How long a call may wait for changes.
        is_store: It is the platform's store.
    """

    name: str
    tables: TableReader
    wait_s: float
    is_store: bool


class Sources:
    """Chooses what a host follows."""

    def __init__(
        self,
        store: store_lib.StoreClient,
        relays: relays_lib.Relays,
        port: int,
    ):
        """Takes the store and who the relays are; ports are all alike."""
        self.store = Source("store", store, STORE_WAIT_S, True)
        self.relays = relays
        self.port = port
        self.peers: dict[str, PeerTables] = {}
        self.current_names: dict[str, str] = {}

    def choose(self, table: str, failures: int, now: float) -> Source:
        """Returns what to follow next.

        Args:
            table: The table.
            failures: Sources that failed since one answered.
            now: Current time.
        """
        source = self._choose(failures, now)
        if self.current_names.get(table) != source.name:
            self.current_names[table] = source.name
            logs.log_event("feed_source", table=table, source=source.name)
        return source

    def close(self) -> None:
        """Closes all connections to peers."""
        for peer in self.peers.values():
            peer.close()

    def _choose(self, failures: int, now: float) -> Source:
        if not self.relays.is_needed(now):
            return self.store
        near = self.relays.own_region_relays(now)
        own = self.relays.fleet.own.id
        if own in {host.id for host in near}:
            return dataclasses.replace(self.store, wait_s=RELAY_STORE_WAIT_S)
        if failures >= len(near):
            return self.store
        first = xxhash.xxh32_intdigest(own.encode())
        host = near[(first + failures) % len(near)]
        self._close_others({relay.ip for relay in near})
        return self._peer_source(host)

    def _peer_source(self, host: members.Host) -> Source:
        tables = self.peers.get(host.ip)
        if tables is None:
            tables = PeerTables((host.ip, self.port))
            self.peers[host.ip] = tables
        return Source(f"peer {host.id}", tables, PEER_WAIT_S, False)

    def _close_others(self, kept: set[str]) -> None:
        for ip in set(self.peers) - kept:
            self.peers.pop(ip).close()

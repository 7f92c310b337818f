"""Choice of the source of a host's feeds: the store or a relay.

If every host of a large fleet read from the store, each change would cost the
store one call per host and would be sent between regions once per host. In
large fleets only the relays of a region read from the store, and the other
hosts read from a relay. A host that no relay serves falls back to the store.
"""

import asyncio
import dataclasses
from typing import Protocol

import msgspec
import xxhash

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import clients
from banyanshed.gateway import logs
from banyanshed.gateway import mirrors
from banyanshed.gateway import peer_messages
from banyanshed.platform import store as store_lib
from banyanshed.platform import wire
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import relays as relays_lib

# Duration of a long poll of a relay, and the additional time that its response
# may take.
PEER_WAIT_S = 2.0
PEER_TIMEOUT_S = 1.0
COPY_TIMEOUT_S = 2.0
TABLES_PATH = "/tables/"
CONFIRMED_QUERY = "confirmed"


class TableReader(Protocol):
    """Interface for reading tables from the store or a relay."""

    async def read_table(self, table: str) -> wire.Page:
        """Returns all rows of a table."""

    async def read_changes(
        self, table: str, after: models.TableVersion, wait_s: float
    ) -> wire.Page:
        """Waits for changes of a table and returns them in order."""


class PeerTables:
    """Reads tables from one peer, with one connection per table."""

    def __init__(self, address: tuple[str, int]):
        """Sets the peer's address; connections are opened by calls."""
        self.address = address
        self.clients: dict[str, clients.HttpClient] = {}

    async def read_table(self, table: str) -> mirrors.PeerPage:
        """Returns all rows of a table.

        Raises:
            PlatformError: The peer did not answer or does not have the table.
        """
        return await self._call(table, "", COPY_TIMEOUT_S)

    async def read_confirmed(self, table: str) -> mirrors.PeerPage:
        """Returns what the peer keeps from before a restore of the store.

        Raises:
            PlatformError: The peer did not answer or does not have the table.
        """
        return await self._call(table, f"?{CONFIRMED_QUERY}", COPY_TIMEOUT_S)

    async def read_changes(
        self, table: str, after: models.TableVersion, wait_s: float
    ) -> wire.Page:
        """Waits for changes of a table and returns them in order.

        Raises:
            HistoryLost: The peer does not know all changes.
            PlatformError: The peer did not answer, or the store does not
                answer it.
        """
        wait_ms = round(wait_s * 1000.0)
        query = f"?after={after.number}&era={after.era}&wait_ms={wait_ms}"
        return await self._call(table, query, wait_s + PEER_TIMEOUT_S)

    def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            if client.connection is not None:
                client.connection.abort()

    async def _call(
        self, table: str, query: str, timeout_s: float
    ) -> mirrors.PeerPage:
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
            now = asyncio.get_running_loop().time()
            return peer_messages.decode_table(response.body, table, now)
        except msgspec.MsgspecError as error:
            raise exceptions.StoreUnavailable(str(error)) from error


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A source from which a feed reads tables.

    Attributes:
        name: Name for logs.
        tables: Makes the calls.
        wait_s: How long a call may wait for changes, in seconds.
        is_store: Whether the source is the platform's store.
    """

    name: str
    tables: TableReader
    wait_s: float
    is_store: bool


class Sources:
    """Chooses the source of each feed of a host."""

    def __init__(
        self,
        store: store_lib.StoreClient,
        relays: relays_lib.Relays,
        applier: appliers.Applier,
        port: int,
    ):
        """Initializes the choice of sources.

        Args:
            store: Client of the platform's store.
            relays: The relays of large fleets.
            applier: Knows how long calls may wait for changes.
            port: Port of the traffic between hosts, the same on every host.
        """
        self.store = Source("store", store, applier.waits.poll_s, True)
        self.applier = applier
        self.relays = relays
        self.port = port
        self.peers: dict[str, PeerTables] = {}
        self.current_names: dict[str, str] = {}

    def choose(
        self, table: str, failures: int, is_outdated: bool, now: float
    ) -> Source:
        """Returns the source for the next call and logs a change of it.

        Args:
            table: Name of the table.
            failures: Number of failed calls since the last successful one.
            is_outdated: Whether the host's copy may miss changes for longer
                than it may rely on a relay.
            now: Current time.
        """
        source = self._choose(table, failures, is_outdated, now)
        if self.current_names.get(table) != source.name:
            self.current_names[table] = source.name
            logs.log_event("feed_source", table=table, source=source.name)
        return source

    def close(self) -> None:
        """Closes all connections to peers."""
        for peer in self.peers.values():
            peer.close()

    def _choose(
        self, table: str, failures: int, is_outdated: bool, now: float
    ) -> Source:
        if not self.relays.is_needed(now):
            return self.store
        near = self.relays.own_region_relays(now)
        own = self.relays.fleet.own.id
        if own in {host.id for host in near}:
            wait_s = self.applier.waits_of(table).relay_poll_s
            return dataclasses.replace(self.store, wait_s=wait_s)
        if is_outdated or failures >= len(near):
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

"""Client of the platform's store."""

from collections.abc import Callable, Sequence
from typing import Protocol
from urllib import parse

from banyanshed import exceptions
from banyanshed.platform import headers as header_names
from banyanshed.platform import wire
from banyanshed.steering import models

PAGE_ROWS = 500
MAX_FEED_WAIT_S = 30.0


class HistoryLost(exceptions.PlatformError):
    """The store does not have the changes after the requested version.

    Attributes:
        era: Era of the store; 0 if it is not known.
    """

    code = "history_lost"

    def __init__(self, detail: str, era: int = 0):
        """Sets the detail and the era of the store that answered."""
        super().__init__(detail)
        self.era = era


class Response(Protocol):
    """Response of an HTTP client."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class HttpClient(Protocol):
    """Makes calls to one address."""

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Response:
        """Sends a request and returns the response.

        Raises:
            StoreUnavailable: The request was not sent.
            StoreTimeout: No response arrived; the request may have taken
                effect.
        """


class StoreClient:
    """Calls the store, with separate connections for tables and writes.

    Attributes:
        connect: Creates an HTTP client with a single connection.
        clients: Connections by table, and one for writes.
        call_timeout_s: Timeout of a call in seconds, added to the duration of
            a long poll.
        era: Newest era that the store named.
    """

    def __init__(
        self, connect: Callable[[], HttpClient], call_timeout_s: float
    ):
        """Initializes the client.

        Args:
            connect: Creates an HTTP client with a single connection.
            call_timeout_s: Timeout of a call in seconds.
        """
        self.connect = connect
        self.call_timeout_s = call_timeout_s
        self.clients: dict[str, HttpClient] = {}
        self.era = 0

    async def read_table(self, table: str) -> wire.Page:
        """Returns all rows of a table; each page is a consistent snapshot.

        Raises:
            PlatformError: The store did not answer or rejected the call.
        """
        rows: list[wire.Row] = []
        first: wire.Page | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            page = await self._read("rows-get", query, 0.0, table)
            rows.extend(page.rows)
            # The first page's version is returned, so that a feed reads all
            # changes made since, including those already in later pages.
            first = first or page
            if page.era != first.era:
                raise exceptions.StoreUnavailable("restored during a read")
            if not page.more or not page.rows:
                return wire.Page(tuple(rows), first.version, False, first.era)
            start = page.rows[-1].key + "\0"

    async def read_changes(
        self, table: str, after: models.TableVersion, wait_s: float
    ) -> wire.Page:
        """Waits for changes of a table and returns them in order.

        The store compares the number alone: a response of another era may lack
        changes.

        Raises:
            HistoryLost: The store no longer has the changes.
            PlatformError: The store did not answer or rejected the call.
        """
        wait_s = min(wait_s, MAX_FEED_WAIT_S)
        query = {
            "table": table,
            "after": str(after.number),
            "waitMs": str(int(wait_s * 1000)),
        }
        return await self._read("rows-feed", query, wait_s, table)

    async def write(self, table: str, key: str, value: bytes) -> None:
        """Writes a row of one of the product's own tables.

        Raises:
            StoreTimeout: No response arrived; the row may have been written.
            PlatformError: The store rejected the write or can't be reached;
                nothing was written.
        """
        await self._transact(wire.encode_write(table, key, value))

    async def remove(self, table: str, key: str) -> None:
        """Removes a row of one of the product's own tables.

        Raises:
            StoreTimeout: No response arrived; the row may have been removed.
            PlatformError: The store rejected the removal or can't be reached;
                nothing was removed.
        """
        await self._transact(wire.encode_remove(table, key))

    async def _read(
        self,
        call: str,
        query: dict[str, str],
        wait_s: float,
        connection_key: str,
    ) -> wire.Page:
        target = f"/api/{call}?{parse.urlencode(query)}"
        timeout_s = wait_s + self.call_timeout_s
        response = await self._call(
            connection_key, "GET", target, b"", timeout_s
        )
        era = header_names.decode_era(response.headers)
        if response.status == 410:
            raise HistoryLost(query.get("after", ""), era)
        if response.status != 200:
            raise exceptions.StoreUnavailable(f"status {response.status}")
        return wire.decode_page(response.body, era)

    async def _transact(self, body: bytes) -> None:
        target = "/api/rows-tx"
        timeout_s = self.call_timeout_s
        response = await self._call("tx", "POST", target, body, timeout_s)
        if response.status != 200:
            raise exceptions.StoreUnavailable(f"status {response.status}")

    async def _call(
        self,
        connection_key: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> Response:
        client = self.clients.get(connection_key)
        if client is None:
            client = self.connect()
            self.clients[connection_key] = client
        response = await client.call(method, target, body, timeout_s)
        self.era = max(self.era, header_names.decode_era(response.headers))
        return response

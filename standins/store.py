"""Test double of the platform's store: rows, change feed and faults."""

import asyncio
import base64
import dataclasses
import enum
import json
from urllib import parse

from banyanshed.gateway import listeners
from banyanshed.gateway import memory
from banyanshed.gateway import messages
from banyanshed.steering import models

READ_ONLY_TABLES = frozenset({"op", "servers"})
MAX_PAGE_ROWS = 500


class Fault(enum.Enum):
    """Faults of the store.

    BUSY and TOO_MANY respond 503 and 429, SILENT never responds, and
    LOST_ANSWERS commits transactions without responding to them.
    """

    NONE = "none"
    BUSY = "busy"
    TOO_MANY = "too_many"
    SILENT = "silent"
    LOST_ANSWERS = "lost_answers"


@dataclasses.dataclass(slots=True)
class StoredRow:
    """A row, or the tombstone of a removed row."""

    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A copy of the store's rows, from which it can be restored."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


class Store:
    """A store within the test's process.

    Attributes:
        fault: Fault applied to calls.
        calls: Names of all calls, including failed ones.
        history_from: Changes up to this version are no longer available.
        era: Number of times that the store was restored, plus one.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.history_from = 0
        self.era = 1
        self.fault = Fault.NONE
        self.calls: list[str] = []
        self.changed = asyncio.Condition()
        self.listener = listeners.Listener(
            self.serve,
            models.ClientLimits(),
            64 << 20,
            memory.ResponseMemory(64 << 20),
        )

    async def put(self, table: str, key: str, value: object) -> int:
        """Writes a row as the platform would; returns its version."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self._write([(table, key, body)])

    async def remove(self, table: str, key: str) -> int:
        """Removes a row as the platform would; returns the new version."""
        return await self._write([(table, key, None)])

    def forget_history(self) -> None:
        """Discards the change history, so that feeds reread whole tables."""
        self.history_from = self.version

    def copy(self) -> Copy:
        """Returns a copy of all rows."""
        return Copy(dict(self.rows), self.version)

    async def restore(self, copy: Copy) -> None:
        """Continues from a copy; its later versions are given out again.

        Calls that are waiting for changes fail.
        """
        async with self.changed:
            self.rows = dict(copy.rows)
            self.version = copy.version
            self.history_from = min(self.history_from, copy.version)
            self.era += 1
            self.changed.notify_all()

    async def serve(self, request: messages.Request) -> messages.Response:
        """Handles an API call; all responses name the era."""
        response = await self._serve(request)
        era = (b"store-era", str(self.era).encode())
        return messages.Response(
            response.status, [*response.headers, era], response.body
        )

    async def _serve(self, request: messages.Request) -> messages.Response:
        path, _, text = request.target.decode().partition("?")
        query = {name: v[0] for name, v in parse.parse_qs(text).items()}
        call = path.removeprefix("/api/")
        self.calls.append(call)
        if self.fault is Fault.BUSY:
            return messages.Response(503)
        if self.fault is Fault.TOO_MANY:
            return messages.Response(429)
        if self.fault is Fault.SILENT:
            await asyncio.Event().wait()
        if call == "rows-get":
            return self._get(query)
        if call == "rows-feed":
            return await self._feed(query)
        if call == "rows-tx":
            return await self._transact(request.body)
        return messages.Response(404)

    def _get(self, query: dict[str, str]) -> messages.Response:
        start = query.get("from", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        matches = sorted(
            (key, row)
            for (table, key), row in self.rows.items()
            if table == query["table"]
            and key >= start
            and row.value is not None
        )
        rows = [self._encode(key, row) for key, row in matches[:limit]]
        return self._answer({"rows": rows, "hasMore": len(matches) > limit})

    async def _feed(self, query: dict[str, str]) -> messages.Response:
        after = int(query["after"])
        wait_s = int(query["waitMs"]) / 1000.0
        era = self.era
        try:
            async with asyncio.timeout(wait_s), self.changed:
                while (
                    after <= self.version
                    and self.era == era
                    and not self._changes_after(query["table"], after)
                ):
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.era != era:
            return messages.Response(503)
        if not self.history_from <= after <= self.version:
            return messages.Response(410)
        rows = [
            self._encode(key, row)
            for key, row in self._changes_after(query["table"], after)
        ]
        return self._answer({"rows": rows})

    def _changes_after(
        self, table: str, after: int
    ) -> list[tuple[str, StoredRow]]:
        changes = [
            (key, row)
            for (row_table, key), row in self.rows.items()
            if row_table == table and row.version > after
        ]
        return sorted(changes, key=lambda change: change[1].version)

    async def _transact(self, body: bytes) -> messages.Response:
        tree = json.loads(body)
        entries = tree["writes"] + tree["remove"]
        if any(entry["table"] in READ_ONLY_TABLES for entry in entries):
            return messages.Response(403)
        for entry in tree["precondition"]:
            row = self.rows.get((entry["table"], entry["key"]))
            version = row.version if row and row.value is not None else 0
            if version != entry["ver"]:
                return messages.Response(412)
        changes: list[tuple[str, str, bytes | None]] = []
        for entry in tree["writes"]:
            value = base64.b64decode(entry["value"])
            changes.append((entry["table"], entry["key"], value))
        for entry in tree["remove"]:
            changes.append((entry["table"], entry["key"], None))
        await self._write(changes)
        if self.fault is Fault.LOST_ANSWERS:
            await asyncio.Event().wait()
        return self._answer({})

    async def _write(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        async with self.changed:
            self.version += 1
            for table, key, value in changes:
                self.rows[table, key] = StoredRow(value, self.version)
            self.changed.notify_all()
        return self.version

    def _encode(self, key: str, row: StoredRow) -> dict[str, object]:
        if row.value is None:
            return {"key": key, "ver": row.version, "deleted": True}
        value = base64.b64encode(row.value).decode()
        return {"key": key, "ver": row.version, "value": value}

    def _answer(self, fields: dict[str, object]) -> messages.Response:
        body = json.dumps({**fields, "ver": self.version, "now": "1ms"})
        return messages.Response(200, (), body.encode())

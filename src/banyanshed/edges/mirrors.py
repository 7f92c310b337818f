"""Local copy of the rows below some prefixes, updated by incremental scans.

Reading many rows repeatedly transfers all of them each time; a scan since the
last seen commit transfers only the rows written after it.
"""

from collections.abc import Sequence

from banyanshed.core import models
from banyanshed.core import services


class TableMirror:
    """Serves reads like the table service; not thread-safe.

    Attributes:
        table: The table service.
        since: Last commit seen, by prefix.
        rows: Rows below the prefixes by key, including deleted ones.
    """

    def __init__(self, table: services.Table, prefixes: Sequence[str]):
        """Creates an empty mirror.

        Args:
            table: The table service.
            prefixes: Prefixes that each read scans, in this order.
        """
        self.table = table
        self.since = dict.fromkeys(prefixes, int(models.ABSENT_VERSION))
        self.rows: dict[str, models.TableRow] = {}

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent ones have no value.

        Rows below the first prefix are as of the page's commit; those below a
        later prefix may be newer. After an error of the table service the
        rows below each prefix are still as of the commit in `since`.

        Args:
            keys: Keys below the prefixes.
        """
        pages = [self._scan(prefix) for prefix in self.since]
        found = tuple(self._row(key) for key in keys)
        return models.TablePage(found, pages[0].version, pages[0].now_s)

    def _scan(self, prefix: str) -> models.TablePage:
        page = self.table.scan(prefix, self.since[prefix])
        for row in page.rows:
            self.rows[row.key] = row
        self.since[prefix] = max(self.since[prefix], page.version)
        return page

    def _row(self, key: str) -> models.TableRow:
        assert key.startswith(tuple(self.since)), key
        row = self.rows.get(key)
        if row is None:
            return models.TableRow(key, models.ABSENT_VERSION, None)
        return row

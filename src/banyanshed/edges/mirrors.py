"""Copy of the rows below some prefixes, kept current by scans for changes.

Reading many rows again and again costs bytes for all of them; a scan since the
last commit seen brings only those that were written since.
"""

from collections.abc import Sequence

from banyanshed.core import models
from banyanshed.core import services


class TableMirror:
    """Answers reads as the table service would; for one caller at a time.

    Attributes:
        table: The table service.
        since: Commit up to which the rows below each prefix are known.
        rows: Rows written below the prefixes, deleted ones included, by key.
    """

    def __init__(self, table: services.Table, prefixes: Sequence[str]):
        """Starts without rows.

        Args:
            table: The table service.
            prefixes: Each read scans below them in this order.
        """
        self.table = table
        self.since = dict.fromkeys(prefixes, int(models.ABSENT_VERSION))
        self.rows: dict[str, models.TableRow] = {}

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent ones have no value.

        Rows below the first prefix are as they stood at the page's commit;
        those below a later prefix may be newer. An error of the table service
        leaves all rows current up to `since`.

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

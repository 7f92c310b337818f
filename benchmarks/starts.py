"""Measures the cold start of a host, which reads all configuration rows.

Run with `python -m benchmarks.starts`. A page of a scan since version 0 is
parsed and applied as in the daemon. Times are processor time; memory is that
allocated by Python.
"""

import json
import time
import tracemalloc

from banyanshed.core import configuration
from banyanshed.core import models
from banyanshed.core import rows

ROWS = 20_000
FULL_ROWS = 580_000


def make_page() -> bytes:
    """Returns a table service response with one row per address block."""
    page_rows = []
    for number in range(ROWS):
        row = rows.BlockRow(
            cidr=f"10.{number >> 8}.{number & 255}.0/24",
            region=f"region-{number % 4}",
            zone=f"zone-{number % 93}",
        )
        page_rows.append(
            {
                "key": rows.row_key(row),
                "version": number + 1,
                "value": configuration.encode_row(row),
            }
        )
    page = {"rows": page_rows, "version": ROWS, "now_s": 1.0}
    return json.dumps(page).encode()


def apply_page(content: bytes) -> configuration.Configuration:
    """Parses and applies a page."""
    page = json.loads(content)
    table_rows = tuple(
        models.TableRow(row["key"], int(row["version"]), row["value"])
        for row in page["rows"]
    )
    table_page = models.TablePage(table_rows, page["version"], page["now_s"])
    target = configuration.Configuration()
    target.apply(
        configuration.delta_from_page(table_page, models.ABSENT_VERSION)
    )
    return target


def main() -> None:
    """Prints the cost per row, and scaled to the planned number of rows."""
    content = make_page()
    started_s = time.process_time()
    target = apply_page(content)
    used_s = time.process_time() - started_s
    assert len(target.blocks) == ROWS, len(target.blocks)
    del target
    tracemalloc.start()
    apply_page(content)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for name, total, unit, divisor in (
        ("bytes read", len(content), "MB", 1e6),
        ("peak memory", peak, "MB", 1e6),
        ("processor time", used_s * 1e6, "s", 1e6),
    ):
        each = total / ROWS
        print(
            f"{name:<16}{each:9.1f} a row,"
            f" {each * FULL_ROWS / divisor:8.1f} {unit}"
        )


if __name__ == "__main__":
    main()

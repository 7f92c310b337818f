"""Import and export of configuration rows as CSV sheets.

A sheet has one header line. The column `kind` gives the kind of each row; the
other columns are those of rows.py, plus two that exist in sheets only:
`version` is the version that the row had when it was exported (empty for a new
row), and `delete` is "yes" to delete the row. An empty cell stands for the
column's default.
"""

from collections.abc import Iterable, Iterator, Sequence
import csv
import dataclasses
import io
from typing import Any

import pydantic

from banyanshed import exceptions
from banyanshed.core import configuration as configurations
from banyanshed.core import edits
from banyanshed.core import models
from banyanshed.core import rows

KIND = "kind"
VERSION = "version"
DELETE = "delete"
SHEET_COLUMNS = (KIND, VERSION, DELETE)


@dataclasses.dataclass(frozen=True)
class Sheet:
    """Content of a parsed sheet.

    Attributes:
        edits: One edit per line.
        versions: Version of each row when it was exported, by key.
    """

    edits: tuple[edits.Edit, ...]
    versions: dict[str, int]


def _find_columns() -> dict[str, tuple[str, ...]]:
    columns = {}
    for model in rows.ConfigRow.__subclasses__():
        kind = model.model_fields[KIND].default
        names = [name for name in model.model_fields if name != KIND]
        columns[kind] = tuple(names)
    return columns


COLUMNS = _find_columns()


def export(stored: Iterable[models.TableRow]) -> str:
    """Returns a sheet of the rows, sorted by key, without deleted ones."""
    shown = [row for row in stored if row.value is not None]
    shown.sort(key=_row_key)
    header = [KIND]
    for row in shown:
        for column in COLUMNS.get(_kind(row), ()):
            if column not in header:
                header.append(column)
    header.append(VERSION)
    text = io.StringIO()
    writer = csv.DictWriter(
        text, header, restval="", extrasaction="ignore", lineterminator="\n"
    )
    writer.writeheader()
    for row in shown:
        assert row.value is not None
        cells = {name: _cell(value) for name, value in row.value.items()}
        writer.writerow(cells | {VERSION: row.version})
    return text.getvalue()


def parse(text: str) -> Sheet:
    """Parses a sheet.

    Raises:
        exceptions.InvalidInput: If the sheet is invalid, with all findings by
            line and column.
    """
    reader = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    findings: list[exceptions.Finding] = []
    parsed_edits: list[edits.Edit] = []
    versions: dict[str, int] = {}
    header: list[str] = []
    for line, cells in _lines(reader, findings):
        if not header:
            header = cells
            findings.extend(_check_header(header, line))
            continue
        place = f"line {line}"
        if len(cells) != len(header):
            findings.append(
                exceptions.Finding(
                    place,
                    "wrong_width",
                    f"{len(cells)} cells under {len(header)} columns",
                )
            )
            continue
        try:
            edit, version = _parse_line(
                dict(zip(header, cells, strict=True)), place
            )
        except exceptions.InvalidInput as error:
            findings.extend(error.findings)
            continue
        parsed_edits.append(edit)
        versions.setdefault(edit.key, version)
    if not header:
        findings.append(
            exceptions.Finding("line 1", "no_header", "the sheet is empty")
        )
    if findings:
        raise exceptions.InvalidInput(findings)
    return Sheet(tuple(parsed_edits), versions)


def _lines(
    reader: Any, findings: list[exceptions.Finding]
) -> Iterator[tuple[int, list[str]]]:
    """Yields line numbers and cells; stops at the first malformed line."""
    try:
        for cells in reader:
            if any(cell.strip() for cell in cells):
                yield reader.line_num, [cell.strip() for cell in cells]
    except csv.Error as error:
        findings.append(
            exceptions.Finding(f"line {reader.line_num}", "csv", str(error))
        )


def _check_header(
    header: Sequence[str], line: int
) -> Iterator[exceptions.Finding]:
    known = {*SHEET_COLUMNS}
    for names in COLUMNS.values():
        known.update(names)
    if KIND not in header:
        yield exceptions.Finding(
            f"line {line}", "missing", "the column kind is missing"
        )
    for number, name in enumerate(header, start=1):
        place = f"line {line}, column {number}"
        if name not in known:
            yield exceptions.Finding(
                place, "unknown_column", f"there is no column {name!r}"
            )
        if name in header[: number - 1]:
            yield exceptions.Finding(
                place, "duplicate_column", f"{name!r} is given twice"
            )


def _parse_line(cells: dict[str, str], place: str) -> tuple[edits.Edit, int]:
    version = _parse_version(cells.pop(VERSION, ""), place)
    deleted = cells.pop(DELETE, "").lower()
    if deleted not in ("", "yes", "no"):
        raise _malformed(f"{place}, column {DELETE}", "expected yes or no")
    kind = cells.get(KIND, "")
    if kind not in COLUMNS:
        raise _malformed(f"{place}, column {KIND}", "there is no such kind")
    value: dict[str, Any] = {}
    for name, cell in cells.items():
        if cell:
            value[name] = _parse_cell(name, cell, place)
    try:
        row = rows.ROW_ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidInput(
            configurations.row_findings(place, error)
        ) from None
    new_row = None if deleted == "yes" else row
    return edits.Edit(rows.row_key(row), new_row, place), version


def _parse_version(cell: str, place: str) -> int:
    if not cell:
        return models.ABSENT_VERSION
    if not (cell.isascii() and cell.isdigit()):
        raise _malformed(f"{place}, column {VERSION}", "expected a number")
    return int(cell)


def _parse_cell(name: str, cell: str, place: str) -> Any:
    if name != "distances_ms":
        return cell
    distances = {}
    for item in cell.split():
        region, separator, distance = item.partition("=")
        if not separator or region in distances:
            raise _malformed(
                f"{place}, column {name}",
                "expected REGION=NUMBER, each region once",
            )
        distances[region] = distance
    return distances


def _malformed(place: str, message: str) -> exceptions.InvalidInput:
    return exceptions.InvalidInput(
        [exceptions.Finding(place, "malformed", message)]
    )


def _cell(value: Any) -> str:
    if isinstance(value, dict):
        return " ".join(f"{name}={item}" for name, item in value.items())
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _kind(row: models.TableRow) -> str:
    return row.key.split("/")[1]


def _row_key(row: models.TableRow) -> str:
    return row.key

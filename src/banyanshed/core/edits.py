"""Configuration edits by operators: consistency checks and transactions."""

from collections.abc import Iterator, Sequence
import dataclasses
import functools

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed.core import configuration as configurations
from banyanshed.core import models
from banyanshed.core import rows

MAX_RECENT_CHANGES = 32


@dataclasses.dataclass(frozen=True)
class Edit:
    """A row that an operator wants to write or delete.

    Attributes:
        key: Key of the row in the table service.
        row: New row; None to delete the row.
        place: Position in the operator's input, for findings.
    """

    key: str
    row: rows.AnyRow | None
    place: str


@dataclasses.dataclass(frozen=True)
class Reference:
    """A column of a row that refers to another row, by that row's key."""

    column: str
    key: str


def check_edit(
    configuration: configurations.Configuration, edits: Sequence[Edit]
) -> list[exceptions.Finding]:
    """Returns all inconsistencies that the rows would have after an edit."""
    return EditCheck(configuration, edits).findings()


def plan_edit(
    edits: Sequence[Edit],
    current: Sequence[models.TableRow],
    head: models.TableRow,
    change_id: str,
    operator: str,
) -> models.Transaction:
    """Returns a transaction that applies all edits or none.

    Args:
        edits: Edits that passed the checks.
        current: The edited rows as just read; the transaction fails if any of
            them has changed since.
        head: Row HEAD_KEY, read together with `current`.
        change_id: Unique id of the change, recorded in the head row; it shows
            later whether a transaction whose answer was lost took effect.
        operator: Name of the operator.
    """
    conditions = [models.Condition(head.key, head.version)]
    for row in current:
        conditions.append(models.Condition(row.key, row.version))
    writes = []
    for edit in edits:
        value = (
            None if edit.row is None else configurations.encode_row(edit.row)
        )
        writes.append(models.Write(edit.key, value))
    recent = [change_id, *recent_changes(head)][:MAX_RECENT_CHANGES]
    value = {"changes": recent, "operator": operator}
    writes.append(models.Write(rows.HEAD_KEY, value))
    return models.Transaction(tuple(conditions), tuple(writes))


def recent_changes(head: models.TableRow) -> list[str]:
    """Returns the ids of the most recent changes, newest first."""
    if head.value is None:
        return []
    return [str(change) for change in head.value.get("changes", ())]


class EditCheck:
    """Checks the consistency of the rows that an edit would result in."""

    def __init__(
        self, configuration: configurations.Configuration, edits: Sequence[Edit]
    ):
        """Takes the configuration that the edit is based on, and the edits."""
        self.configuration = configuration
        self.edits = edits
        self.edited = {edit.key: edit for edit in edits}

    def findings(self) -> list[exceptions.Finding]:
        """Returns the findings: duplicates, each edit in order, then totals."""
        found = list(self._check_duplicates())
        for edit in self.edits:
            if edit.row is None:
                found.extend(self._check_delete(edit))
                continue
            found.extend(self._check_references(edit, edit.row))
            found.extend(_check_row(edit.row, edit.place))
        found.extend(self._check_weights())
        found.extend(self._check_addresses())
        return found

    def _row(self, key: str) -> rows.AnyRow | None:
        edit = self.edited.get(key)
        return self.configuration.rows.get(key) if edit is None else edit.row

    def _rows(self) -> Iterator[rows.AnyRow]:
        for key, row in self.configuration.rows.items():
            if key not in self.edited:
                yield row
        for edit in self.edited.values():
            if edit.row is not None:
                yield edit.row

    def _check_duplicates(self) -> Iterator[exceptions.Finding]:
        seen: dict[str, str] = {}
        for edit in self.edits:
            if edit.key in seen:
                yield exceptions.Finding(
                    edit.place,
                    "duplicate_row",
                    f"the row was given before at {seen[edit.key]}",
                )
            seen.setdefault(edit.key, edit.place)

    def _check_references(
        self, edit: Edit, row: rows.AnyRow
    ) -> Iterator[exceptions.Finding]:
        for reference in references(row):
            if self._row(reference.key) is not None:
                continue
            name = reference.key.removeprefix(rows.CONFIG_PREFIX)
            yield exceptions.Finding(
                f"{edit.place}, column {reference.column}",
                "unknown_reference",
                f"there is no row {name}",
            )

    def _check_delete(self, edit: Edit) -> Iterator[exceptions.Finding]:
        reference_count = 0
        for row in self._rows():
            for reference in references(row):
                if reference.key == edit.key:
                    reference_count += 1
        reference_count += self._count_blocks(edit.key)
        if reference_count:
            yield exceptions.Finding(
                edit.place,
                "still_used",
                f"{reference_count} other rows name this row",
            )

    def _count_blocks(self, key: str) -> int:
        """Returns how many blocks of a region the edit does not change."""
        prefix = rows.CONFIG_PREFIX + "region/"
        if not key.startswith(prefix):
            return 0
        region = models.RegionId(key.removeprefix(prefix))
        count = self.configuration.blocks.count(region)
        for edited in self.edited:
            block = self.configuration.stored_block(edited)
            if block is None or block.site is None:
                continue
            if block.site.region == region:
                count -= 1
        return count

    def _check_weights(self) -> Iterator[exceptions.Finding]:
        prefix = rows.CONFIG_PREFIX + "placement/"
        services = {}
        for edit in self.edits:
            if edit.key.startswith(prefix):
                services[edit.key.split("/")[2]] = edit.place
        for service, place in services.items():
            weights = []
            for row in self._rows():
                if not isinstance(row, rows.PlacementRow):
                    continue
                if row.service == service:
                    weights.append(row.weight)
            if weights and not sum(weights):
                yield exceptions.Finding(
                    f"{place}, column weight",
                    "no_weight",
                    f"no region of service {service} has a weight above 0",
                )

    def _check_addresses(self) -> Iterator[exceptions.Finding]:
        edited = {}
        for edit in self.edits:
            if isinstance(edit.row, rows.BackendRow):
                edited[edit.key] = edit
        if not edited:
            return
        used: dict[tuple[str, str], str] = {}
        for row in self._rows():
            if not isinstance(row, rows.BackendRow):
                continue
            other = used.setdefault((row.service, row.address), row.backend)
            if other == row.backend:
                continue
            for name in (row.backend, other):
                key = f"{rows.CONFIG_PREFIX}backend/{row.service}/{name}"
                if key in edited:
                    yield exceptions.Finding(
                        f"{edited[key].place}, column address",
                        "duplicate_address",
                        f"{row.backend} and {other} share an address",
                    )
                    break


def _check_row(row: rows.AnyRow, place: str) -> Iterator[exceptions.Finding]:
    """Yields findings that depend on the columns of one row only."""
    if isinstance(row, rows.LinkRow) and row.source == row.target:
        yield exceptions.Finding(
            f"{place}, column target",
            "same_region",
            "a link joins two regions",
        )
    if isinstance(row, rows.RegionRow) and row.region in row.distances_ms:
        yield exceptions.Finding(
            f"{place}, column distances_ms",
            "same_region",
            "a region has no distance to itself",
        )
    if not isinstance(row, rows.BackendRow):
        return
    try:
        addresses.parse(row.address)
    except ValueError:
        yield exceptions.Finding(
            f"{place}, column address",
            "not_an_address",
            'expected "IP:port" with an IP number',
        )


def _make_reference(column: str, kind: str, *names: str) -> Reference:
    return Reference(column, rows.CONFIG_PREFIX + "/".join([kind, *names]))


@functools.singledispatch
def references(row: rows.ConfigRow) -> list[Reference]:
    """Returns the columns of a row that refer to other rows."""
    return []


@references.register
def _(row: rows.RegionRow) -> list[Reference]:
    return [
        _make_reference("distances_ms", "region", other)
        for other in row.distances_ms
        if other != row.region
    ]


@references.register
def _(row: rows.PlacementRow) -> list[Reference]:
    return [
        _make_reference("service", "service", row.service),
        _make_reference("region", "region", row.region),
    ]


@references.register
def _(row: rows.BackendRow) -> list[Reference]:
    return [
        _make_reference("service", "service", row.service),
        _make_reference("region", "region", row.region),
    ]


@references.register
def _(row: rows.KeyRow) -> list[Reference]:
    return [_make_reference("tenant", "tenant", row.tenant)]


@references.register
def _(row: rows.LinkRow) -> list[Reference]:
    return [
        _make_reference("source", "region", row.source),
        _make_reference("target", "region", row.target),
    ]


@references.register
def _(row: rows.BlockRow) -> list[Reference]:
    return [_make_reference("region", "region", row.region)]


@references.register
def _(row: rows.DrainRow) -> list[Reference]:
    if row.region is not None:
        return [_make_reference("region", "placement", row.service, row.region)]
    return [
        _make_reference("backend", "backend", row.service, str(row.backend))
    ]

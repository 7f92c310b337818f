"""Commits operators' edits to the table service and settles lost answers."""

from collections.abc import Callable, Mapping, Sequence
import contextlib
import dataclasses
import secrets
import time
from typing import Protocol, TypeVar

from banyanshed import exceptions
from banyanshed.core import configuration as configurations
from banyanshed.core import edits as edit_rules
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.core import services

MAX_ATTEMPTS = 8
ATTEMPT_DELAY_S = 0.25
CHANGE_ID_BYTES = 12

T = TypeVar("T")


class LostRace(exceptions.BanyanshedError):
    """Rows changed since the operator read them; nothing was written.

    Attributes:
        edits: The edits of these rows, as the operator wants them.
        rows: The rows as stored, in the same order.
    """

    code = "lost_race"

    def __init__(
        self,
        edits: Sequence[edit_rules.Edit],
        stored: Sequence[models.TableRow],
    ):
        """Takes the edits that lost and the rows as stored."""
        super().__init__(", ".join(row.key for row in stored))
        self.edits = tuple(edits)
        self.rows = tuple(stored)


class ConfigurationOwner(Protocol):
    """Owner of the configuration in force; may be called by any thread."""

    def inspect(
        self, function: Callable[[configurations.Configuration], T]
    ) -> T:
        """Runs a function on the configuration, on the thread that owns it."""

    def apply(self, delta: configurations.ConfigDelta) -> None:
        """Puts newer rows in force."""


@dataclasses.dataclass(frozen=True)
class _TableState:
    """What one read of the table showed."""

    head: models.TableRow
    rows: tuple[models.TableRow, ...]


class Editor:
    """Writes edits so that none is lost silently or reported wrongly."""

    def __init__(
        self,
        table: services.Table,
        owner: ConfigurationOwner,
        sleep: Callable[[float], None] = time.sleep,
    ):
        """Takes the table service and the owner of the configuration."""
        self.table = table
        self.owner = owner
        self.sleep = sleep

    def store_now_s(self) -> float:
        """Returns the clock of the table service, in seconds."""
        return self._read_or_unavailable([rows.HEAD_KEY]).now_s

    def read_row(self, key: str) -> models.TableRow:
        """Returns a row as it stands in the table service now."""
        return self._read_or_unavailable([key]).rows[0]

    def commit(
        self,
        edits: Sequence[edit_rules.Edit],
        versions: Mapping[str, int],
        operator: str,
    ) -> models.ConfigVersion:
        """Writes all edits or none and returns the version they made.

        The same change id stands in every attempt, and every attempt is
        conditional on config-head, so that at most one takes effect and a
        later read of config-head shows whether one did.

        Args:
            edits: The edits.
            versions: Version of each row as the operator read it; rows not
                named are expected to be absent.
            operator: Name of the operator.

        Raises:
            exceptions.InvalidInput: A row would be at fault; none written.
            LostRace: Rows were changed by others; none written.
            exceptions.StoreUnavailable: None written.
            exceptions.StoreTimeout: It is unknown whether they were written.
        """
        change_id = secrets.token_hex(CHANGE_ID_BYTES)
        in_doubt = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self.sleep(ATTEMPT_DELAY_S)
            try:
                current = self._read(edits)
                if change_id in edit_rules.recent_changes(current.head):
                    return self._finish(current.head.version)
                _check_versions(edits, versions, current.rows)
                self._catch_up(current.head.version)
            except exceptions.PlatformError:
                # Reads change nothing, but can not settle a doubt either.
                if in_doubt:
                    continue
                raise exceptions.StoreUnavailable("no read") from None
            self._check(edits)
            plan = edit_rules.plan_edit(
                edits, current.rows, current.head, change_id, operator
            )
            try:
                return self._finish(self.table.transact(plan).version)
            except exceptions.ConditionFailed:
                continue
            except exceptions.StoreTimeout:
                in_doubt = True
            except exceptions.StoreUnavailable:
                if not in_doubt:
                    raise
        if in_doubt:
            raise exceptions.StoreTimeout(change_id)
        raise exceptions.StoreUnavailable("too many edits at once")

    def _read(self, edits: Sequence[edit_rules.Edit]) -> _TableState:
        keys = [rows.HEAD_KEY, *dict.fromkeys(edit.key for edit in edits)]
        found = self.table.read(keys).rows
        return _TableState(found[0], found[1:])

    def _read_or_unavailable(self, keys: Sequence[str]) -> models.TablePage:
        """Reads; a read without an answer has surely changed nothing."""
        try:
            return self.table.read(keys)
        except exceptions.StoreTimeout as error:
            raise exceptions.StoreUnavailable("no read") from error

    def _check(self, edits: Sequence[edit_rules.Edit]) -> None:
        findings = self.owner.inspect(
            lambda configuration: edit_rules.check_edit(configuration, edits)
        )
        if findings:
            raise exceptions.InvalidInput(findings)

    def _catch_up(self, version: int) -> None:
        """Brings the owner's configuration to the version of config-head."""
        current_version = self.owner.inspect(
            lambda configuration: configuration.version
        )
        if current_version >= version:
            return
        page = self.table.scan(rows.CONFIG_PREFIX, current_version)
        self.owner.apply(configurations.delta_from_page(page, current_version))

    def _finish(self, version: int) -> models.ConfigVersion:
        # It is written; if this fails, the next poll puts it in force here.
        with contextlib.suppress(exceptions.PlatformError):
            self._catch_up(version)
        return models.ConfigVersion(version)


def _check_versions(
    edits: Sequence[edit_rules.Edit],
    versions: Mapping[str, int],
    stored: Sequence[models.TableRow],
) -> None:
    by_key = {edit.key: edit for edit in edits}
    changed = []
    for row in stored:
        expected = versions.get(row.key, models.ABSENT_VERSION)
        if row.version == expected:
            continue
        if row.value is None and expected == models.ABSENT_VERSION:
            continue
        changed.append(row)
    if changed:
        raise LostRace([by_key[row.key] for row in changed], changed)

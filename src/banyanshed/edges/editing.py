"""Commits operators' edits to the table and resolves lost responses."""

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

# Maximum number of attempts at a commit, each of which reads the rows anew, and
# the pause between attempts in seconds.
MAX_ATTEMPTS = 8
ATTEMPT_DELAY_S = 0.25
CHANGE_ID_BYTES = 12

T = TypeVar("T")


class LostRace(exceptions.BanyanshedError):
    """Rows changed since the operator read them; nothing was written.

    Attributes:
        edits: The operator's edits of these rows.
        rows: The stored rows, in the same order.
    """

    code = "lost_race"

    def __init__(
        self,
        edits: Sequence[edit_rules.Edit],
        stored: Sequence[models.TableRow],
    ):
        """Creates an error from the rejected edits and the stored rows."""
        super().__init__(", ".join(row.key for row in stored))
        self.edits = tuple(edits)
        self.rows = tuple(stored)


class ConfigurationOwner(Protocol):
    """Owner of the configuration in force; thread-safe."""

    def inspect(
        self, function: Callable[[configurations.Configuration], T]
    ) -> T:
        """Runs a function on the configuration in the owner's thread."""

    def apply(self, delta: configurations.ConfigDelta) -> None:
        """Applies newer rows."""


@dataclasses.dataclass(frozen=True)
class _TableState:
    """The config-head row and the edited rows, read in one call."""

    head: models.TableRow
    rows: tuple[models.TableRow, ...]


class Editor:
    """Writes edits with optimistic concurrency control.

    Every edit writes the row config-head (rows.HEAD_KEY), which lists the ids
    of the last edits, and is conditional on that row's version. An attempt
    reads config-head with the edited rows; if config-head is newer than the
    owner's configuration, the attempt reads the rows changed since as well,
    since edits are checked against that configuration.

    When a response is lost, the next attempt looks for the edit's id in
    config-head. The id is found unless more than
    edits.MAX_RECENT_CHANGES - 1 edits were committed in between: only then
    might an edit that took effect be reported as rejected. An edit whose
    outcome stays unknown is reported as such.

    All methods block: for calls to the table service, which have their own
    timeout, and in `commit` for the pauses between attempts. They may not run
    on the event loop's thread, where the owner runs its functions.
    """

    def __init__(
        self,
        table: services.Table,
        owner: ConfigurationOwner,
        sleep: Callable[[float], None] = time.sleep,
    ):
        """Creates an editor.

        Args:
            table: The platform's table service.
            owner: Owner of the configuration that edits are checked against
                and that receives committed rows.
            sleep: Blocks the thread for a number of seconds; used between
                attempts.
        """
        self.table = table
        self.owner = owner
        self.sleep = sleep

    def store_now_s(self) -> float:
        """Returns the table service's clock, in seconds.

        Raises:
            exceptions.StoreUnavailable: The read failed.
        """
        return self._read_or_unavailable([rows.HEAD_KEY]).now_s

    def read_row(self, key: str) -> models.TableRow:
        """Returns the current row from the table service.

        Raises:
            exceptions.StoreUnavailable: The read failed.
        """
        return self._read_or_unavailable([key]).rows[0]

    def commit(
        self,
        edits: Sequence[edit_rules.Edit],
        versions: Mapping[str, int],
        operator: str,
    ) -> models.ConfigVersion:
        """Writes all edits or none and returns the resulting version.

        All attempts carry the same change id and are conditional on
        config-head, so that at most one takes effect and a later read of
        config-head shows whether one did.

        Args:
            edits: The edits.
            versions: Version of each row as the operator read it; rows not
                named are expected to be absent.
            operator: Name of the operator.

        Raises:
            exceptions.InvalidInput: A row would be invalid; none written.
            LostRace: Rows were changed concurrently; none written.
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
                # A failed read changes nothing and does not resolve whether an
                # earlier attempt took effect.
                if in_doubt:
                    continue
                raise exceptions.StoreUnavailable("read failed") from None
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
        raise exceptions.StoreUnavailable("too many concurrent edits")

    def _read(self, edits: Sequence[edit_rules.Edit]) -> _TableState:
        keys = [rows.HEAD_KEY, *dict.fromkeys(edit.key for edit in edits)]
        found = self.table.read(keys).rows
        return _TableState(found[0], found[1:])

    def _read_or_unavailable(self, keys: Sequence[str]) -> models.TablePage:
        """Reads rows; a timed-out read had no effect: StoreUnavailable."""
        try:
            return self.table.read(keys)
        except exceptions.StoreTimeout as error:
            raise exceptions.StoreUnavailable("read timed out") from error

    def _check(self, edits: Sequence[edit_rules.Edit]) -> None:
        findings = self.owner.inspect(
            lambda configuration: edit_rules.check_edit(configuration, edits)
        )
        if findings:
            raise exceptions.InvalidInput(findings)

    def _catch_up(self, version: int) -> None:
        """Updates the owner's configuration to the version of config-head."""
        current_version = self.owner.inspect(
            lambda configuration: configuration.version
        )
        if current_version >= version:
            return
        page = self.table.scan(rows.CONFIG_PREFIX, current_version)
        self.owner.apply(configurations.delta_from_page(page, current_version))

    def _finish(self, version: int) -> models.ConfigVersion:
        # The edit is committed; if this fails, the next poll applies it here.
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

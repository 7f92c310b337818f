"""The configuration in force on one host.

Every row carries the commit number of its last change and is replaced only by a
newer row, so deltas can be applied from any source and in any order without
reverting a change. The version of a configuration is the commit number up to
which it is complete.
"""

from collections.abc import Iterator, Sequence
import dataclasses
import functools
import ipaddress
import json
from typing import Any
import zlib

import pydantic

from banyanshed import exceptions
from banyanshed.core import blocks as block_maps
from banyanshed.core import models
from banyanshed.core import rows

BLOCK_PREFIX = rows.CONFIG_PREFIX + "block/"
MAX_RECENT_ROWS = 4096
SNAPSHOT_FORMAT = 1
SNAPSHOT_COMPRESSION = 1


@dataclasses.dataclass(frozen=True)
class ConfigDelta:
    """All rows changed between two versions.

    Attributes:
        base: Version after which the rows changed.
        version: Version that the receiver holds after applying the delta.
        rows: Changed rows; deleted rows have no value.
    """

    base: models.ConfigVersion
    version: models.ConfigVersion
    rows: tuple[models.TableRow, ...]


def delta_from_page(
    page: models.TablePage, since: models.ConfigVersion
) -> ConfigDelta:
    """Returns the delta given by a scan of CONFIG_PREFIX since a version."""
    version = max([int(since), *(row.version for row in page.rows)])
    return ConfigDelta(since, models.ConfigVersion(version), page.rows)


def encode_row(row: rows.AnyRow) -> dict[str, Any]:
    """Returns the value of a row as stored in the table service."""
    return row.model_dump(mode="json", exclude_none=True)


class Configuration:
    """All configuration rows held by a host, typed and indexed.

    Attributes:
        version: Commit number up to which the rows are complete.
        raw: Rows as stored, by key, except valid blocks.
        rows: Last valid version of each row that is not deleted, by key.
        findings: Validation errors of rows as stored, by key.
        recent: Versions of the most recently changed rows, by key.
        recent_since: Version after which `recent` holds every change.
        regions: Regions by id.
        services: Services by id.
        placements: Placements by service and region.
        backends: Backend servers by service and id.
        tenants: Tenants by id.
        keys: Keys of tenants by digest.
        links: Links by source and target.
        drains: Drains by id.
        blocks: Map of client blocks to sites.
    """

    def __init__(self) -> None:
        """Initializes an empty configuration of version 0."""
        self.version = models.ConfigVersion(0)
        self.raw: dict[str, models.TableRow] = {}
        self.rows: dict[str, rows.AnyRow] = {}
        self.findings: dict[str, tuple[exceptions.Finding, ...]] = {}
        self.recent: dict[str, int] = {}
        self.recent_since = 0
        self.regions: dict[models.RegionId, rows.RegionRow] = {}
        self.services: dict[models.ServiceId, rows.ServiceRow] = {}
        self.placements: dict[
            models.ServiceId, dict[models.RegionId, rows.PlacementRow]
        ] = {}
        self.backends: dict[
            models.ServiceId, dict[models.BackendId, rows.BackendRow]
        ] = {}
        self.tenants: dict[models.TenantId, rows.TenantRow] = {}
        self.keys: dict[models.KeyDigest, rows.KeyRow] = {}
        self.links: dict[
            models.RegionId, dict[models.RegionId, rows.LinkRow]
        ] = {}
        self.drains: dict[str, rows.DrainRow] = {}
        self.blocks = block_maps.BlockMap()

    def apply(self, delta: ConfigDelta) -> bool:
        """Applies those rows of a delta that are newer than the rows held.

        Returns:
            False when the delta was ignored because its base is above this
            version, so that rows before it would be missing.
        """
        if delta.base > self.version:
            return False
        changed: Sequence[models.TableRow] = delta.rows
        if len(changed) >= block_maps.BULK_BLOCKS:
            changed = self._apply_blocks(changed)
        for row in changed:
            if row.version > self.row_version(row.key):
                self._apply_row(row)
        self.version = max(self.version, delta.version)
        return True

    def row_version(self, key: str) -> int:
        """Returns the version of a row as held; 0 when it never existed."""
        raw = self.raw.get(key)
        if raw is not None:
            return raw.version
        network = _network_of_key(key)
        return 0 if network is None else self.blocks.version(network)

    def stored(self, key: str) -> models.TableRow:
        """Returns a row as stored, valid or not."""
        raw = self.raw.get(key)
        if raw is not None:
            return raw
        block = self.stored_block(key)
        if block is None:
            return models.TableRow(key, models.ABSENT_VERSION, None)
        return block_row(block)

    def stored_rows(self, kind: str = "") -> list[models.TableRow]:
        """Returns the rows of one kind, or all rows, as stored.

        Deleted rows and valid blocks are omitted.
        """
        prefix = f"{rows.CONFIG_PREFIX}{kind}/" if kind else ""
        stored = []
        for row in self.raw.values():
            if row.value is not None and row.key.startswith(prefix):
                stored.append(row)
        return stored

    def delta_since(self, version: models.ConfigVersion) -> ConfigDelta:
        """Returns all rows changed after a version."""
        if version >= self.recent_since:
            changed = [
                self.stored(key)
                for key, row_version in self.recent.items()
                if row_version > version
            ]
        else:
            changed = list(self._stored_since(version))
        return ConfigDelta(version, max(version, self.version), tuple(changed))

    def snapshot(self) -> bytes:
        """Returns the whole configuration as compressed JSON."""
        content = {
            "format": SNAPSHOT_FORMAT,
            "version": self.version,
            "rows": [dataclasses.astuple(row) for row in self.raw.values()],
            "blocks": self.blocks.pack(),
        }
        encoded = json.dumps(content, separators=(",", ":")).encode()
        return zlib.compress(encoded, SNAPSHOT_COMPRESSION)

    @classmethod
    def restore(cls, content: bytes) -> "Configuration":
        """Restores a configuration from a snapshot.

        Raises:
            exceptions.InvalidInput: If the snapshot is malformed.
        """
        try:
            packed = json.loads(zlib.decompress(content))
            if packed["format"] != SNAPSHOT_FORMAT:
                raise ValueError("unsupported snapshot format")
            configuration = cls()
            configuration.blocks = block_maps.BlockMap.unpack(packed["blocks"])
            for key, version, value in packed["rows"]:
                configuration._apply_row(models.TableRow(key, version, value))
            configuration.version = models.ConfigVersion(packed["version"])
        except (ValueError, KeyError, TypeError, zlib.error):
            finding = exceptions.Finding(
                "snapshot", "malformed", "the snapshot can not be read"
            )
            raise exceptions.InvalidInput([finding]) from None
        configuration.recent.clear()
        configuration.recent_since = configuration.version
        return configuration

    def drained(
        self,
        service: models.ServiceId,
        region: models.RegionId,
        store_now_s: float,
    ) -> bool:
        """Returns whether a planned drain of a placement is in force.

        Args:
            service: Service of the placement.
            region: Region of the placement.
            store_now_s: Clock of the table service, in seconds.
        """
        for drain in self.drains.values():
            if drain.service != service or drain.region != region:
                continue
            if drain.starts_s <= store_now_s < drain.ends_s:
                return True
        return False

    def backend_drained(
        self,
        service: models.ServiceId,
        backend: models.BackendId,
        store_now_s: float,
    ) -> bool:
        """Returns whether a planned drain of a backend server is in force."""
        for drain in self.drains.values():
            if drain.service != service or drain.backend != backend:
                continue
            if drain.starts_s <= store_now_s < drain.ends_s:
                return True
        return False

    def _apply_row(self, row: models.TableRow) -> None:
        self._record_recent(row)
        self.findings.pop(row.key, None)
        if row.value is None:
            self._delete(row)
            return
        try:
            valid = parse_row(row)
        except exceptions.InvalidInput as error:
            self.raw[row.key] = row
            self.findings[row.key] = error.findings
            # The last valid version of a key must not stay usable: the row
            # that cannot be parsed may be its withdrawal.
            if row.key.startswith(rows.CONFIG_PREFIX + "key/"):
                self._drop(row.key)
            return
        if isinstance(valid, rows.BlockRow):
            self.raw.pop(row.key, None)
            self.blocks.put(_network(valid), _site(valid), row.version)
            return
        self.raw[row.key] = row
        self.rows[row.key] = valid
        index, name = _find_index(valid, self)
        index[name] = valid

    def _apply_blocks(
        self, changed: Sequence[models.TableRow]
    ) -> list[models.TableRow]:
        """Applies the newer valid blocks in bulk; returns all other rows."""
        new_blocks = []
        others = []
        for row in changed:
            network = _network_of_key(row.key)
            if network is None or row.value is None:
                others.append(row)
                continue
            if row.version <= self._block_version(row.key, network):
                continue
            try:
                valid = parse_row(row)
            except exceptions.InvalidInput:
                others.append(row)
                continue
            assert isinstance(valid, rows.BlockRow)
            self._record_recent(row)
            self.raw.pop(row.key, None)
            self.findings.pop(row.key, None)
            new_blocks.append((network, _site(valid), row.version))
        self.blocks.put_all(new_blocks)
        return others

    def _block_version(self, key: str, network: block_maps.Network) -> int:
        raw = self.raw.get(key)
        if raw is not None:
            return raw.version
        return self.blocks.version(network)

    def _delete(self, row: models.TableRow) -> None:
        network = _network_of_key(row.key)
        if network is not None:
            self.raw.pop(row.key, None)
            self.blocks.put(network, None, row.version)
            return
        self.raw[row.key] = row
        self._drop(row.key)

    def _drop(self, key: str) -> None:
        held = self.rows.pop(key, None)
        if held is not None:
            index, name = _find_index(held, self)
            del index[name]

    def _record_recent(self, row: models.TableRow) -> None:
        self.recent.pop(row.key, None)
        self.recent[row.key] = row.version
        while len(self.recent) > MAX_RECENT_ROWS:
            oldest = next(iter(self.recent))
            version = self.recent.pop(oldest)
            self.recent_since = max(self.recent_since, version)

    def stored_block(self, key: str) -> block_maps.Block | None:
        """Returns the block stored under a key, deleted or not, if any."""
        network = _network_of_key(key)
        return None if network is None else self.blocks.get(network)

    def _stored_since(self, version: int) -> Iterator[models.TableRow]:
        for row in self.raw.values():
            if row.version > version:
                yield row
        for block in self.blocks.blocks_since(version):
            row = block_row(block)
            # If `raw` has the key, it holds a newer, invalid row.
            if row.key not in self.raw:
                yield row


def parse_row(row: models.TableRow) -> rows.AnyRow:
    """Returns the typed form of a stored row.

    Raises:
        exceptions.InvalidInput: If the row is invalid, with one finding for
            each error.
    """
    try:
        valid = rows.ROW_ADAPTER.validate_python(row.value)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidInput(
            row_findings(f"row {row.key}", error)
        ) from None
    if rows.row_key(valid) == row.key:
        return valid
    finding = exceptions.Finding(
        f"row {row.key}", "wrong_key", "the columns belong to another key"
    )
    raise exceptions.InvalidInput([finding])


def row_findings(
    place: str, error: pydantic.ValidationError
) -> list[exceptions.Finding]:
    """Returns a finding for each invalid column, without the column's value."""
    findings = []
    for detail in error.errors(include_input=False, include_url=False):
        # The first element of the location is the kind of the row.
        column = ".".join(str(part) for part in detail["loc"][1:])
        where = f"{place}, column {column}" if column else place
        findings.append(
            exceptions.Finding(where, detail["type"], detail["msg"])
        )
    return findings


@functools.singledispatch
def _find_index(
    row: rows.ConfigRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    """Returns the index that contains a row, and the row's name in it."""
    raise TypeError(type(row).__name__)


@_find_index.register
def _(
    row: rows.RegionRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.regions
    return index, row.region


@_find_index.register
def _(
    row: rows.ServiceRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.services
    return index, row.service


@_find_index.register
def _(
    row: rows.PlacementRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.placements.setdefault(
        models.ServiceId(row.service), {}
    )
    return index, row.region


@_find_index.register
def _(
    row: rows.BackendRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.backends.setdefault(models.ServiceId(row.service), {})
    return index, row.backend


@_find_index.register
def _(
    row: rows.TenantRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.tenants
    return index, row.tenant


@_find_index.register
def _(
    row: rows.KeyRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.keys
    return index, row.digest


@_find_index.register
def _(
    row: rows.LinkRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.links.setdefault(models.RegionId(row.source), {})
    return index, row.target


@_find_index.register
def _(
    row: rows.DrainRow, configuration: Configuration
) -> tuple[dict[Any, Any], str]:
    index = configuration.drains
    return index, row.drain


def _network(row: rows.BlockRow) -> block_maps.Network:
    return ipaddress.ip_network(row.cidr)


def _site(row: rows.BlockRow) -> block_maps.Site:
    return block_maps.Site(models.RegionId(row.region), models.ZoneId(row.zone))


def _network_of_key(key: str) -> block_maps.Network | None:
    if not key.startswith(BLOCK_PREFIX):
        return None
    cidr = key.removeprefix(BLOCK_PREFIX).replace("_", "/")
    try:
        network = ipaddress.ip_network(cidr)
    except ValueError:
        return None
    return network if str(network) == cidr else None


def block_row(block: block_maps.Block) -> models.TableRow:
    """Returns a block as a row of the table service."""
    key = BLOCK_PREFIX + block.cidr.replace("/", "_")
    if block.site is None:
        return models.TableRow(key, block.version, None)
    row = rows.BlockRow(
        cidr=block.cidr, region=block.site.region, zone=block.site.zone
    )
    return models.TableRow(key, block.version, encode_row(row))

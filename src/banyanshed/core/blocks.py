"""Longest-prefix-match table from blocks of caller addresses to sites.

A block is stored in the level of its prefix length, as the integer formed by
its prefix bits. Each level holds sorted arrays, so a block takes about 14 bytes
and a change shifts part of one level only; the table is never flattened or
rebuilt as a whole. A look-up searches the levels from the longest prefix to the
shortest.
"""

from array import array
import base64
import bisect
from collections.abc import Iterable, Iterator, MutableSequence
import dataclasses
import ipaddress
from typing import Any

from banyanshed.core import models

IPV4_BITS = 32
IPV6_BITS = 128
# Maximum length in bits of prefixes that fit the items of an array.
ARRAY_BITS = 64
# Number of new blocks from which they are added together.
BULK_BLOCKS = 256

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
Address = ipaddress.IPv4Address | ipaddress.IPv6Address


@dataclasses.dataclass(frozen=True)
class Site:
    """An availability zone of a region, to which blocks of callers belong."""

    region: models.RegionId
    zone: models.ZoneId


@dataclasses.dataclass(frozen=True)
class Block:
    """A stored block.

    Attributes:
        cidr: Network in canonical form.
        site: Site of the block; None when the block was deleted.
        version: Commit number of the last change.
    """

    cidr: str
    site: Site | None
    version: int


class Level:
    """Blocks of one address family and prefix length, sorted by prefix."""

    def __init__(self, bits: int, length: int):
        """Initializes an empty level.

        Args:
            bits: Bits of an address.
            length: Length of the prefixes in bits.
        """
        self.bits = bits
        self.length = length
        self.prefixes: MutableSequence[int] = _new_prefixes(length)
        self.sites = array("H")
        self.versions = array("Q")

    def find(self, prefix: int) -> int:
        """Returns the position of a prefix, or -1 when it is absent."""
        position = bisect.bisect_left(self.prefixes, prefix)
        if position == len(self.prefixes):
            return -1
        return position if self.prefixes[position] == prefix else -1

    def put(self, prefix: int, site: int, version: int) -> None:
        """Inserts or replaces a block."""
        position = bisect.bisect_left(self.prefixes, prefix)
        present = position < len(self.prefixes)
        if present and self.prefixes[position] == prefix:
            self.sites[position] = site
            self.versions[position] = version
            return
        self.prefixes.insert(position, prefix)
        self.sites.insert(position, site)
        self.versions.insert(position, version)

    def extend(self, added: list[tuple[int, int, int]]) -> None:
        """Merges many (prefix, site, version) tuples in one pass.

        None of the prefixes may be present yet.
        """
        prefixes = _new_prefixes(self.length)
        sites = array("H")
        versions = array("Q")
        start = 0
        for prefix, site, version in sorted(added):
            end = bisect.bisect_left(self.prefixes, prefix, start)
            prefixes.extend(self.prefixes[start:end])
            sites.extend(self.sites[start:end])
            versions.extend(self.versions[start:end])
            prefixes.append(prefix)
            sites.append(site)
            versions.append(version)
            start = end
        prefixes.extend(self.prefixes[start:])
        sites.extend(self.sites[start:])
        versions.extend(self.versions[start:])
        self.prefixes = prefixes
        self.sites = sites
        self.versions = versions

    def cidr(self, position: int) -> str:
        """Returns the network at a position, in canonical form."""
        number = self.prefixes[position] << (self.bits - self.length)
        if self.bits == IPV4_BITS:
            return f"{ipaddress.IPv4Address(number)}/{self.length}"
        return f"{ipaddress.IPv6Address(number)}/{self.length}"


class BlockMap:
    """All blocks with their versions; deleted blocks are kept as tombstones."""

    def __init__(self) -> None:
        """Initializes an empty map."""
        self.levels: dict[int, list[Level]] = {IPV4_BITS: [], IPV6_BITS: []}
        self.sites: list[Site | None] = [None]
        self.site_numbers: dict[Site, int] = {}
        self.site_blocks: list[int] = [0]

    def __len__(self) -> int:
        """Returns the number of blocks that are not deleted."""
        return sum(self.site_blocks[1:])

    def find(self, address: str | Address) -> Site | None:
        """Returns the site of the longest block that contains an address.

        Args:
            address: Address of a client; IPv4-mapped IPv6 addresses are looked
                up as IPv4.

        Raises:
            ValueError: If the text is not an IP address.
        """
        if isinstance(address, str):
            address = ipaddress.ip_address(address)
        if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped:
            address = address.ipv4_mapped
        number = int(address)
        for level in self.levels[address.max_prefixlen]:
            position = level.find(number >> (level.bits - level.length))
            if position < 0 or not level.sites[position]:
                continue
            return self.sites[level.sites[position]]
        return None

    def get(self, network: Network) -> Block | None:
        """Returns the block with exactly this network, deleted or not."""
        level = self._level(network)
        position = level.find(_prefix(network))
        return None if position < 0 else self._block(level, position)

    def version(self, network: Network) -> int:
        """Returns the version of a block; 0 when it never existed."""
        level = self._level(network)
        position = level.find(_prefix(network))
        return 0 if position < 0 else level.versions[position]

    def put(self, network: Network, site: Site | None, version: int) -> bool:
        """Stores a block or its deletion if the version is newer.

        Returns:
            Whether the map changed.
        """
        level = self._level(network)
        prefix = _prefix(network)
        position = level.find(prefix)
        if position >= 0:
            if level.versions[position] >= version:
                return False
            self.site_blocks[level.sites[position]] -= 1
        number = self._site_number(site)
        self.site_blocks[number] += 1
        level.put(prefix, number, version)
        return True

    def put_all(
        self, blocks: Iterable[tuple[Network, Site | None, int]]
    ) -> None:
        """Stores many blocks; new ones of a level are merged in one pass."""
        added: dict[int, dict[int, tuple[int, int]]] = {}
        levels = {}
        for network, site, version in blocks:
            level = self._level(network)
            prefix = _prefix(network)
            if level.find(prefix) >= 0:
                self.put(network, site, version)
                continue
            levels[id(level)] = level
            pending = added.setdefault(id(level), {})
            if prefix in pending and pending[prefix][1] >= version:
                continue
            pending[prefix] = (self._site_number(site), version)
        for identity, pending in added.items():
            for number, _ in pending.values():
                self.site_blocks[number] += 1
            _extend_level(levels[identity], pending)

    def blocks_since(self, version: int) -> Iterator[Block]:
        """Yields the blocks changed after a version, including deleted ones."""
        for levels in self.levels.values():
            for level in levels:
                for position, changed in enumerate(level.versions):
                    if changed > version:
                        yield self._block(level, position)

    def count(self, region: models.RegionId) -> int:
        """Returns the number of blocks that belong to sites of a region."""
        total = 0
        for site, number in self.site_numbers.items():
            if site.region == region:
                total += self.site_blocks[number]
        return total

    def pack(self) -> dict[str, Any]:
        """Returns a compact representation made of JSON types."""
        packed = []
        for levels in self.levels.values():
            for level in levels:
                packed.append(_pack_level(level))
        sites = [(site.region, site.zone) for site in self.site_numbers]
        return {"sites": sites, "levels": packed}

    @classmethod
    def unpack(cls, packed: dict[str, Any]) -> "BlockMap":
        """Restores a map from the result of `pack`.

        Raises:
            KeyError: If a field is missing.
            TypeError: If a field has the wrong type.
            ValueError: If the content is malformed.
        """
        blocks = cls()
        for region, zone in packed["sites"]:
            blocks._site_number(
                Site(models.RegionId(region), models.ZoneId(zone))
            )
        for item in packed["levels"]:
            level = _unpack_level(item)
            blocks.levels[level.bits].append(level)
            for number in level.sites:
                blocks.site_blocks[number] += 1
        for levels in blocks.levels.values():
            levels.sort(key=_level_length, reverse=True)
        return blocks

    def _block(self, level: Level, position: int) -> Block:
        site = self.sites[level.sites[position]]
        return Block(level.cidr(position), site, level.versions[position])

    def _site_number(self, site: Site | None) -> int:
        if site is None:
            return 0
        number = self.site_numbers.get(site)
        if number is not None:
            return number
        number = len(self.sites)
        self.site_numbers[site] = number
        self.sites.append(site)
        self.site_blocks.append(0)
        return number

    def _level(self, network: Network) -> Level:
        levels = self.levels[network.max_prefixlen]
        for level in levels:
            if level.length == network.prefixlen:
                return level
        level = Level(network.max_prefixlen, network.prefixlen)
        levels.append(level)
        levels.sort(key=_level_length, reverse=True)
        return level


def _new_prefixes(length: int) -> MutableSequence[int]:
    if length <= IPV4_BITS:
        return array("I")
    return array("Q") if length <= ARRAY_BITS else []


def _prefix(network: Network) -> int:
    shift = network.max_prefixlen - network.prefixlen
    return int(network.network_address) >> shift


def _level_length(level: Level) -> int:
    return level.length


def _is_sorted(numbers: MutableSequence[int]) -> bool:
    previous = -1
    for number in numbers:
        if number < previous:
            return False
        previous = number
    return True


def _extend_level(level: Level, pending: dict[int, tuple[int, int]]) -> None:
    if len(pending) >= BULK_BLOCKS:
        level.extend([(prefix, *value) for prefix, value in pending.items()])
        return
    for prefix, (site, version) in pending.items():
        level.put(prefix, site, version)


def _pack_level(level: Level) -> dict[str, Any]:
    packed: dict[str, Any] = {"bits": level.bits, "length": level.length}
    if isinstance(level.prefixes, array):
        packed["prefixes"] = _pack_array(level.prefixes)
    else:
        packed["prefixes"] = list(level.prefixes)
    packed["sites"] = _pack_array(level.sites)
    packed["versions"] = _pack_array(level.versions)
    return packed


def _unpack_level(packed: dict[str, Any]) -> Level:
    level = Level(packed["bits"], packed["length"])
    if isinstance(level.prefixes, array):
        level.prefixes.frombytes(base64.b64decode(packed["prefixes"]))
    else:
        level.prefixes.extend(packed["prefixes"])
    level.sites.frombytes(base64.b64decode(packed["sites"]))
    level.versions.frombytes(base64.b64decode(packed["versions"]))
    if not len(level.prefixes) == len(level.sites) == len(level.versions):
        raise ValueError("columns of a block level differ in length")
    if not _is_sorted(level.prefixes):
        raise ValueError("prefixes of a block level are not sorted")
    return level


def _pack_array(numbers: array) -> str:
    return base64.b64encode(numbers.tobytes()).decode("ascii")

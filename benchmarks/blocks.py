"""Measures the configuration and its map of address blocks at planned size.

Run with `python -m benchmarks.blocks [BLOCKS]`. Times are processor time of
this process, so that other load on the machine does not count.
"""

import ipaddress
import random
import sys
import time
import tracemalloc

from banyanshed.core import blocks
from banyanshed.core import configuration as configurations
from banyanshed.core import models

BLOCKS = 580_000
SITES = 93
REGIONS = 4
LOOKUPS = 100_000
CHANGES = 1_000
PAGE_BLOCKS = 10_000
SEED = 1


def make_sites() -> list[blocks.Site]:
    """Returns sites spread over the regions."""
    sites = []
    for number in range(SITES):
        region = models.RegionId(f"region-{number % REGIONS}")
        sites.append(blocks.Site(region, models.ZoneId(f"zone-{number}")))
    return sites


def make_blocks(
    count: int, rng: random.Random
) -> list[tuple[blocks.Network, blocks.Site, int]]:
    """Returns distinct blocks, about 90% of them IPv4, many nested."""
    sites = make_sites()
    result: dict[blocks.Network, blocks.Site] = {}
    while len(result) < count:
        network: blocks.Network
        if rng.random() < 0.9:
            length = rng.choice([16, 19, 20, 21, 22, 23, 24, 24, 24, 24])
            prefix = rng.getrandbits(length) << (32 - length)
            network = ipaddress.IPv4Network((prefix, length))
        else:
            length = rng.choice([32, 36, 40, 44, 48, 48, 48])
            low = rng.getrandbits(length - 16)
            prefix = ((0x2001 << (length - 16)) | low) << (128 - length)
            network = ipaddress.IPv6Network((prefix, length))
        result[network] = rng.choice(sites)
    listed = list(result.items())
    return [
        (network, site, number)
        for number, (network, site) in enumerate(listed, start=1)
    ]


def count_bytes(block_map: blocks.BlockMap) -> int:
    """Returns the size in bytes of a map's columns."""
    total = 0
    for levels in block_map.levels.values():
        for level in levels:
            for column in (level.prefixes, level.sites, level.versions):
                total += sys.getsizeof(column)
    return total


def report(name: str, value: float, unit: str) -> None:
    """Prints one result."""
    print(f"{name:<42} {value:>12.3f} {unit}")


def measure_map(
    listed: list[tuple[blocks.Network, blocks.Site, int]], rng: random.Random
) -> blocks.BlockMap:
    """Measures building the map, look-ups in it and changes of it."""
    started_s = time.process_time()
    block_map = blocks.BlockMap()
    block_map.put_all(listed)
    report("build the map", time.process_time() - started_s, "s")
    report("columns of the map", count_bytes(block_map) / (1 << 20), "MiB")
    texts = [str(rng.choice(listed)[0].network_address) for _ in range(LOOKUPS)]
    started_s = time.process_time()
    for text in texts:
        block_map.find(text)
    used_s = time.process_time() - started_s
    report("look-up of an address, from text", used_s / LOOKUPS * 1e6, "us")
    fresh = make_blocks(CHANGES, rng)
    started_s = time.process_time()
    for network, site, number in fresh:
        block_map.put(network, site, len(listed) + number)
    used_s = time.process_time() - started_s
    report("one changed block", used_s / CHANGES * 1e6, "us")
    return block_map


def measure_configuration(block_map: blocks.BlockMap) -> None:
    """Measures deltas and snapshots that hold all blocks."""
    source = configurations.Configuration()
    source.blocks = block_map
    source.version = models.ConfigVersion(len(block_map) + CHANGES)
    source.recent_since = source.version
    started_s = time.process_time()
    content = source.snapshot()
    report("write a snapshot", time.process_time() - started_s, "s")
    report("size of a snapshot", len(content) / (1 << 20), "MiB")
    started_s = time.process_time()
    restored = configurations.Configuration.restore(content)
    report("read a snapshot", time.process_time() - started_s, "s")
    assert len(restored.blocks) == len(block_map)
    del restored
    tracemalloc.start()
    restored = configurations.Configuration.restore(content)
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report("memory of a configuration from a snapshot", held / 2**20, "MiB")
    report("peak memory while reading it", peak / 2**20, "MiB")
    del restored
    used_s = 0.0
    taken = 0
    page: list[models.TableRow] = []
    target = configurations.Configuration()
    for block in block_map.blocks_since(models.ABSENT_VERSION):
        page.append(configurations.block_row(block))
        taken += 1
        if len(page) < PAGE_BLOCKS and taken < len(block_map):
            continue
        delta = configurations.ConfigDelta(
            target.version, models.ConfigVersion(taken), tuple(page)
        )
        started_s = time.process_time()
        target.apply(delta)
        used_s += time.process_time() - started_s
        page = []
    assert len(target.blocks) == len(block_map)
    report(f"apply deltas of {PAGE_BLOCKS} blocks, all", used_s, "s")


def main() -> None:
    """Runs all measurements and prints the results."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else BLOCKS
    rng = random.Random(SEED)
    listed = make_blocks(count, rng)
    print(f"{count} blocks, {SITES} sites")
    block_map = measure_map(listed, rng)
    del listed
    measure_configuration(block_map)


if __name__ == "__main__":
    main()

import ipaddress

import hypothesis
from hypothesis import strategies as st
import pytest

from banyanshed.core import blocks

SITES = [blocks.Site("sask", "sask-a"), blocks.Site("sask", "sask-b"), None]
V4 = st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32))
# Few bits differ, so that networks are nested.
V6 = st.tuples(
    st.integers(0, 255).map(lambda low: (0x2001 << 112) | (low << 60) | low),
    st.integers(0, 128),
)
NEAR_V4 = st.tuples(
    st.integers(0, 255).map(lambda low: (10 << 24) | low), st.integers(20, 32)
)
NETWORKS = st.one_of(
    V4.map(lambda pair: ipaddress.IPv4Network(pair, strict=False)),
    NEAR_V4.map(lambda pair: ipaddress.IPv4Network(pair, strict=False)),
    V6.map(lambda pair: ipaddress.IPv6Network(pair, strict=False)),
)
CHANGES = st.lists(
    st.tuples(NETWORKS, st.sampled_from(SITES), st.integers(1, 9)), max_size=40
)


def find_by_scan(model, address):
    found = None
    for network, (site, _) in model.items():
        if site is None or address not in network:
            continue
        if found is None or network.prefixlen > found[0]:
            found = (network.prefixlen, site)
    return None if found is None else found[1]


def apply_changes(changes):
    model = {}
    for network, site, version in changes:
        if version > model.get(network, (None, 0))[1]:
            model[network] = (site, version)
    return model


@hypothesis.given(CHANGES, st.booleans(), st.integers(1, 2))
def test_agrees_with_a_linear_scan(changes, in_bulk, bulk_blocks):
    model = apply_changes(changes)
    block_map = blocks.BlockMap()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(blocks, "BULK_BLOCKS", bulk_blocks)
        if in_bulk:
            half = len(changes) // 2
            block_map.put_all(changes[:half])
            block_map.put_all(changes[half:])
        else:
            for change in changes:
                block_map.put(*change)
    unpacked = blocks.BlockMap.unpack(block_map.pack())
    for network, (site, version) in model.items():
        address = network.network_address
        expected = find_by_scan(model, address)
        assert block_map.find(str(address)) == expected
        assert unpacked.find(address) == expected
        block = blocks.Block(str(network), site, version)
        assert block_map.get(network) == unpacked.get(network) == block
    live = [site for site, _ in model.values() if site is not None]
    assert len(block_map) == block_map.count("sask") == len(live)
    changed = {block.cidr for block in unpacked.blocks_since(4)}
    newer = {str(key) for key, value in model.items() if value[1] > 4}
    assert changed == newer


def test_mapped_address_is_found_as_ipv4():
    block_map = blocks.BlockMap()
    block_map.put(ipaddress.ip_network("0.0.0.0/0"), SITES[0], 1)
    assert block_map.find("::ffff:10.0.0.1") == SITES[0]
    assert block_map.find("::1") is None


@pytest.mark.parametrize("text", ["", "10.0.0", "10.0.0.0/8", "host"])
def test_find_rejects_invalid_addresses(text):
    with pytest.raises(ValueError):
        blocks.BlockMap().find(text)


def test_unpack_rejects_columns_of_different_length():
    block_map = blocks.BlockMap()
    block_map.put(ipaddress.ip_network("10.0.0.0/8"), SITES[0], 1)
    packed = block_map.pack()
    packed["levels"][0]["sites"] = ""
    with pytest.raises(ValueError):
        blocks.BlockMap.unpack(packed)

"""Agreement without talking: which of many have the first place for a key."""

from collections.abc import Iterable

import xxhash


def rank(key: str, member: str) -> int:
    """Returns the place of a member in the rendezvous order for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def is_among_first(
    key: str, own: str, others: Iterable[str], count: int
) -> bool:
    """Whether one is among the first of the rendezvous order for a key.

    Args:
        key: What the order is for.
        own: The one that asks.
        others: All that may be in the order; `own` may be among them.
        count: Number of places.
    """
    own_rank = rank(key, own)
    ahead = 0
    for other in others:
        if other == own:
            continue
        if rank(key, other) < own_rank:
            ahead += 1
    return ahead < count

"""Rendezvous hashing: lets hosts choose members for a key alike.

Hosts that know the same members make the same choice without coordination.
"""

from collections.abc import Iterable
import math

import xxhash

_HASH_SPACE = float(1 << 64)


def rank(key: str, member: str) -> int:
    """Returns the sort key of a member in the rendezvous order for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def weighted_rank(key: str, member: str, weight: float) -> float:
    """Returns a rank by which members come first in proportion to a weight."""
    return -math.log((rank(key, member) + 1.0) / (_HASH_SPACE + 2.0)) / weight


def is_among_first(
    key: str, own: str, others: Iterable[str], count: int
) -> bool:
    """Returns whether a member is among the first in a rendezvous order.

    Args:
        key: Key of the order.
        own: The member in question.
        others: All other members; may include `own`.
        count: Number of first places.
    """
    own_rank = rank(key, own)
    ahead = 0
    for other in others:
        if other == own:
            continue
        if rank(key, other) < own_rank:
            ahead += 1
    return ahead < count

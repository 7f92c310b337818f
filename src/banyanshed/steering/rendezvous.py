"""Rendezvous hashing: lets hosts choose members for a key alike.

Hosts that know the same members make the same choice without coordination.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, member: str) -> int:
    """Returns the sort key of a member in the rendezvous order for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


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

"""How current the configuration of this host surely is.

Two instants are kept on this host's own clock. The confirmation: a read of the
store, made by any host, was current then. The word: a host of the store's
region was then in touch. Both travel between hosts as ages, and a receiver
counts an age from when it *sent* the question that the age answers, so its
bound is never younger than the truth.

A peer's claim counts only once this host holds the peer's version.
"""

from collections.abc import Sequence
import dataclasses
import math

from banyanshed.core import models

MAX_CONTACTS = 2


@dataclasses.dataclass(frozen=True)
class StoreRegionContact:
    """Age of word of one host in the store's region, in seconds."""

    host: models.HostId
    age_s: float


@dataclasses.dataclass(frozen=True)
class PeerFreshness:
    """What a peer's reply says of freshness, on the receiver's clock.

    Attributes:
        version: Version of the configuration that the peer held.
        confirmed_at_s: Instant of the confirmation.
        words: Instant of word by host of the store's region.
    """

    version: int
    confirmed_at_s: float
    contacts: dict[models.HostId, float]


class Freshness:
    """Bounds the age of the configuration.

    Attributes:
        version: Version of the configuration in force here.
        confirmed_at_s: Latest instant at which it was surely current.
        words: Latest instants of word, of at most MAX_WORDS other hosts.
        sole_host: No other host of the store's region is known but leaving
            ones, so that this host's own word counts for itself while peers
            answer it.
        alone: No other host is known but leaving ones.
        answered_at_s: When the last question that a peer answered was sent.
    """

    def __init__(
        self,
        host: models.HostId,
        region: models.RegionId,
        store_region: models.RegionId,
        max_key_age_s: float,
    ):
        """Starts without any confirmation.

        Args:
            host: This host.
            region: Region of this host.
            store_region: Region of the table service.
            max_key_age_s: Age above which keys are refused.
        """
        self.host = host
        self.in_store_region = region == store_region
        self.max_key_age_s = max_key_age_s
        self.version = 0
        self.confirmed_at_s = -math.inf
        self.contacts: dict[models.HostId, float] = {}
        self.sole_in_store_region = False
        self.sole_in_fleet = False
        self.answered_at_s = -math.inf
        self._pending: PeerFreshness | None = None

    def on_version(self, version: int) -> None:
        """Takes in that a version is in force here; older ones are ignored."""
        self.version = max(self.version, version)
        if self._pending and self._pending.version <= self.version:
            self._merge(self._pending)
            self._pending = None

    def on_store_read(self, sent_s: float, version: int) -> None:
        """Takes in an answer of the store, after its rows were applied.

        Args:
            sent_s: When the read was sent.
            version: Version that the answer showed; a read that shows an
                older one than is in force was not current.
        """
        if version == self.version:
            self.confirmed_at_s = max(self.confirmed_at_s, sent_s)

    def on_reply(
        self,
        sent_s: float,
        version: int,
        confirmed_age_s: float,
        contacts: Sequence[StoreRegionContact],
    ) -> None:
        """Takes in the ages of a peer's reply.

        Args:
            sent_s: When the question to the peer was sent.
            version: Version that the peer held when it replied.
            confirmed_age_s: Age of the peer's confirmation.
            contacts: Ages of word known to the peer.
        """
        self.answered_at_s = max(self.answered_at_s, sent_s)
        claim = PeerFreshness(
            version,
            sent_s - confirmed_age_s,
            {word.host: sent_s - word.age_s for word in contacts},
        )
        if version <= self.version:
            self._merge(claim)
            return
        self._pending = claim

    def config_age_s(self, now_s: float) -> float:
        """Returns an upper bound of the configuration's age in seconds."""
        return now_s - self.confirmed_at_s

    def contact_age_s(self, now_s: float) -> float:
        """Returns the age of the latest word of another host."""
        if not self.in_store_region or not self.sole_in_store_region:
            return now_s - max(self.contacts.values(), default=-math.inf)
        return 0.0 if self.sole_in_fleet else now_s - self.answered_at_s

    def keys_usable(self, now_s: float) -> bool:
        """Returns whether requests that need a key may be served."""
        if self.config_age_s(now_s) <= self.max_key_age_s:
            return True
        if self.confirmed_at_s == -math.inf:
            return False
        return self.contact_age_s(now_s) <= self.max_key_age_s

    def contacts_to_send(self, now_s: float) -> tuple[StoreRegionContact, ...]:
        """Returns the ages of word for a reply made now."""
        told = [
            StoreRegionContact(host, now_s - at)
            for host, at in self.contacts.items()
        ]
        told.sort(key=lambda word: word.age_s)
        if self.in_store_region:
            told.insert(0, StoreRegionContact(self.host, 0.0))
        return tuple(told[:MAX_CONTACTS])

    def _merge(self, claim: PeerFreshness) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, claim.confirmed_at_s)
        for host, at in claim.contacts.items():
            if host == self.host:
                continue
            self.contacts[host] = max(self.contacts.get(host, -math.inf), at)
        while len(self.contacts) > MAX_CONTACTS:
            oldest = min(self.contacts, key=self.contacts.__getitem__)
            del self.contacts[oldest]

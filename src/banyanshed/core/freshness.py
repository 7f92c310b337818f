"""Upper bound on the age of this host's configuration.

Two kinds of time are tracked, both on this host's own clock. The confirmation
is a time at which the configuration was current according to a read of the
store by any host. A contact is a time at which a host of the store's region was
reachable. Both are sent between hosts as ages. The receiver subtracts an age
from the time at which it *sent* the request, so that its estimate is never more
recent than the actual time.

What a peer reports counts only once this host holds the peer's version.
"""

from collections.abc import Sequence
import dataclasses
import math

from banyanshed.core import models

# Maximum number of contacts that are kept and sent.
MAX_CONTACTS = 2


@dataclasses.dataclass(frozen=True)
class StoreRegionContact:
    """Age of the last contact with a host of the store's region.

    Attributes:
        host: Id of the host.
        age_s: Age of the contact in seconds.
    """

    host: models.HostId
    age_s: float


@dataclasses.dataclass(frozen=True)
class PeerFreshness:
    """Freshness reported by a peer's reply, on the receiver's clock.

    Attributes:
        version: Version of the configuration that the peer held.
        confirmed_at_s: Time of the confirmation.
        contacts: Time of the last contact by host of the store's region.
    """

    version: int
    confirmed_at_s: float
    contacts: dict[models.HostId, float]


class Freshness:
    """Tracks an upper bound on the age of the configuration.

    Attributes:
        version: Version of the configuration in force on this host.
        confirmed_at_s: Latest time at which it is known to have been current.
        contacts: Time of the last contact with other hosts of the store's
            region, for at most MAX_CONTACTS of them.
        sole_in_store_region: All other known hosts of the store's region, if
            any, are leaving. This host then counts as its own contact as long
            as peers reply to it.
        sole_in_fleet: All other known hosts, if any, are leaving.
        answered_at_s: Time at which the last request that got a reply was
            sent.
    """

    def __init__(
        self,
        host: models.HostId,
        region: models.RegionId,
        store_region: models.RegionId,
        max_key_age_s: float,
    ):
        """Initializes a host without any confirmation.

        Args:
            host: This host.
            region: Region of this host.
            store_region: Region of the table service.
            max_key_age_s: Age in seconds above which keys are refused.
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
        """Records the version in force on this host; ignores older versions."""
        self.version = max(self.version, version)
        if self._pending and self._pending.version <= self.version:
            self._merge(self._pending)
            self._pending = None

    def on_store_read(self, sent_s: float, version: int) -> None:
        """Records a response of the store, after its rows were applied.

        Args:
            sent_s: Monotonic time at which the read was sent.
            version: Version that the response showed; a response with an older
                version than the one in force confirms nothing.
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
        """Records the ages reported by a peer's reply.

        Args:
            sent_s: Monotonic time at which the request was sent to the peer.
            version: Version that the peer held when it replied.
            confirmed_age_s: Age of the peer's confirmation, in seconds.
            contacts: Contacts with the store's region known to the peer.
        """
        self.answered_at_s = max(self.answered_at_s, sent_s)
        reported = PeerFreshness(
            version,
            sent_s - confirmed_age_s,
            {contact.host: sent_s - contact.age_s for contact in contacts},
        )
        if version <= self.version:
            self._merge(reported)
            return
        self._pending = reported

    def config_age_s(self, now_s: float) -> float:
        """Returns an upper bound on the configuration's age in seconds."""
        return now_s - self.confirmed_at_s

    def contact_age_s(self, now_s: float) -> float:
        """Returns the age of the latest contact with the store's region."""
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
        """Returns the contacts to report in a reply, the latest first."""
        contacts = [
            StoreRegionContact(host, now_s - at_s)
            for host, at_s in self.contacts.items()
        ]
        contacts.sort(key=lambda contact: contact.age_s)
        if self.in_store_region:
            contacts.insert(0, StoreRegionContact(self.host, 0.0))
        return tuple(contacts[:MAX_CONTACTS])

    def _merge(self, reported: PeerFreshness) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, reported.confirmed_at_s)
        for host, at_s in reported.contacts.items():
            if host == self.host:
                continue
            self.contacts[host] = max(self.contacts.get(host, -math.inf), at_s)
        while len(self.contacts) > MAX_CONTACTS:
            oldest = min(self.contacts, key=self.contacts.__getitem__)
            del self.contacts[oldest]

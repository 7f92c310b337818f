"""Use of the shares that a session holds; performs no I/O.

Requests take tokens, units and bytes while the session is valid. The module
`leases` renews the session and adjusts its shares.
"""

from collections.abc import Sequence
import math

from banyanshed.core import admissions
from banyanshed.core import holdings
from banyanshed.core import models
from banyanshed.core import shares

DEFAULT_RETRY_AFTER_S = 1.0


class SpendableShares:
    """Shares of a session, and of adopted sessions of stopped hosts.

    Attributes:
        session: Session that the shares belong to.
        valid_until_s: Monotonic time in seconds until which the session's own
            shares may be used; each adopted session has its own.
        held: Held shares, by limit.
        retiring: Removed limits, whose shares are returned and not used.
        adopted: Holders of the shares of sessions that stopped hosts handed
            over to this one.
        tenants: Usable shares of tenants' rates, by tenant.
        links: Usable shares of links, by source and target region.
        placements: Usable units, by service and region.
    """

    session: shares.SessionId
    adopted: "Sequence[SpendableShares]"

    def __init__(self) -> None:
        """Creates an object without shares."""
        self.valid_until_s = -math.inf
        self.held: dict[shares.LimitKey, holdings.Held] = {}
        self.retiring: set[shares.LimitKey] = set()
        self.adopted = []
        self.rebuild_index()

    def rebuild_index(self) -> None:
        """Rebuilds the maps of the shares that may be used."""
        self.tenants: dict[str, holdings.HeldRate] = {}
        self.links: dict[tuple[str, ...], holdings.HeldRate] = {}
        self.placements: dict[tuple[str, ...], holdings.HeldUnits] = {}
        for key, held in self.held.items():
            if key in self.retiring:
                continue
            _, kind, *names = key.split("/")
            if isinstance(held, holdings.HeldUnits):
                self.placements[tuple(names)] = held
            elif kind == "tenant":
                self.tenants[names[0]] = held
            else:
                self.links[tuple(names)] = held

    def admit(
        self, now_s: float, tenant: models.TenantId, cost: float = 1.0
    ) -> admissions.Admission:
        """Takes tokens for a tenant's request, if it is within the rate.

        Args:
            now_s: Monotonic time in seconds.
            tenant: The tenant.
            cost: Number of tokens.
        """
        held = self.tenants.get(tenant)
        if held is None:
            return admissions.Admission(False, DEFAULT_RETRY_AFTER_S)
        held.meter.count += cost
        if now_s < self.valid_until_s and held.bucket.take(now_s, cost):
            return admissions.ADMITTED
        self._record_refusal(held, now_s, cost)
        for holder in self.adopted:
            if holder.admit(now_s, tenant, cost).admitted:
                return admissions.ADMITTED
        wait_s = held.bucket.wait_s(cost)
        if wait_s is None or now_s >= self.valid_until_s:
            wait_s = DEFAULT_RETRY_AFTER_S
        return admissions.Admission(False, max(wait_s, 0.001))

    def acquire(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
    ) -> admissions.Unit | None:
        """Takes a unit of a placement; returns None if none is free here."""
        held = self.placements.get((service, region))
        if held is None:
            return None
        in_use = held.in_use
        held.meter.count += 1
        if now_s < self.valid_until_s and in_use < held.target:
            held.in_use = in_use + 1
            if in_use >= held.peak.current:
                held.peak.current = in_use + 1
            return admissions.Unit(held.limit.key, self.session, now_s)
        self._record_refusal(held, now_s, 1)
        for holder in self.adopted:
            unit = holder.acquire(now_s, service, region)
            if unit is not None:
                return unit
        return None

    def free_units(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
    ) -> int:
        """Returns how many requests this host could start at a placement now.

        A unit allows one concurrent request of a service in a region. Units
        count as free while fewer than the target are in use; those held above
        the target are about to be returned. Units of adopted sessions are
        included. A session that has expired counts as 0.

        Args:
            now_s: Monotonic time in seconds.
            service: The placement's service.
            region: The placement's region.
        """
        adopted = sum(
            holder.free_units(now_s, service, region) for holder in self.adopted
        )
        held = self.placements.get((service, region))
        if held is None or now_s >= self.valid_until_s:
            return adopted
        return max(0, held.target - held.in_use) + adopted

    def release(self, now_s: float, unit: admissions.Unit) -> None:
        """Releases the unit of a request that has ended."""
        if unit.session != self.session:
            for holder in self.adopted:
                holder.release(now_s, unit)
            return
        held = self.held.get(unit.key)
        if not isinstance(held, holdings.HeldUnits):
            return
        held.in_use = max(0, held.in_use - 1)
        held.mean_duration_s += 0.05 * (
            now_s - unit.acquired_s - held.mean_duration_s
        )
        if held.units > held.target and held.in_use >= held.target:
            self.expedite_read(now_s)

    def reserve_bytes(
        self,
        now_s: float,
        source: models.RegionId,
        target: models.RegionId,
        size: float,
    ) -> admissions.Reservation | None:
        """Reserves bytes of a link; returns None if too few are available."""
        held = self.links.get((source, target))
        if held is None:
            return None
        held.meter.count += size
        if now_s < self.valid_until_s and held.bucket.reserve(now_s, size):
            return admissions.Reservation(held.limit.key, self.session, size)
        self._record_refusal(held, now_s, size)
        for holder in self.adopted:
            reservation = holder.reserve_bytes(now_s, source, target, size)
            if reservation is not None:
                return reservation
        return None

    def settle_bytes(
        self, now_s: float, reservation: admissions.Reservation, used: float
    ) -> None:
        """Ends a reservation and returns the bytes that were not sent."""
        if reservation.session != self.session:
            for holder in self.adopted:
                holder.settle_bytes(now_s, reservation, used)
            return
        held = self.held.get(reservation.key)
        if not isinstance(held, holdings.HeldRate):
            return
        held.meter.count -= max(0.0, reservation.size - used)
        held.bucket.settle(now_s, reservation.size, used)

    def valid(
        self,
        now_s: float,
        held: admissions.Unit | admissions.Reservation | None = None,
    ) -> bool:
        """Returns whether shares may be used; checked right before sending.

        Args:
            now_s: Monotonic time in seconds.
            held: Unit or reservation of the request, whose session must be
                valid; None if any session will do.
        """
        own = held is None or held.session == self.session
        if own and now_s < self.valid_until_s:
            return True
        return any(holder.valid(now_s, held) for holder in self.adopted)

    def usable_until_s(self, now_s: float) -> float:
        """Returns until when units and reservations taken now may be used.

        This is the earliest end of the sessions that are valid now.
        """
        until_s = self.valid_until_s
        for holder in self.adopted:
            if now_s >= holder.valid_until_s:
                continue
            if now_s >= until_s or holder.valid_until_s < until_s:
                until_s = holder.valid_until_s
        return until_s

    def _record_refusal(
        self, held: holdings.Held, now_s: float, amount: float
    ) -> None:
        """Counts refusals; the first one brings the next read forward."""
        if held.refused == 0:
            self.expedite_read(now_s)
        held.refused += amount

    def expedite_read(self, now_s: float) -> None:
        """Schedules the next read soon, since more shares may be needed."""
        raise NotImplementedError

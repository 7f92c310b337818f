"""Spending of the shares that a session holds; no input or output.

Requests take tokens, units and bytes while the session is valid. How the
session and its shares are kept is the business of `leases`.
"""

from collections.abc import Sequence
import math

from banyanshed.core import admissions
from banyanshed.core import holdings
from banyanshed.core import models
from banyanshed.core import shares

DEFAULT_RETRY_AFTER_S = 1.0


class SpendableShares:
    """Shares of a session, and of sessions that the host has adopted.

    Attributes:
        session: Whose shares they are.
        valid_until_s: Monotonic time until which they may be spent.
        held: What is held, by limit.
        retiring: Limits that are gone; what is held of them is not spent.
        adopted: Sessions of hosts that stopped.
    """

    session: shares.SessionId
    adopted: "Sequence[SpendableShares]"

    def __init__(self) -> None:
        """Starts without shares."""
        self.valid_until_s = -math.inf
        self.held: dict[shares.LimitKey, holdings.Held] = {}
        self.retiring: set[shares.LimitKey] = set()
        self.adopted = []
        self.rebuild_index()

    def rebuild_index(self) -> None:
        """Makes the maps of the holdings that may be spent."""
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
        """Returns whether a tenant's request is within its rate."""
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
        """Returns a unit of a placement, or None when none is free here."""
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
        """Returns the units of a placement that are free on this host."""
        adopted = sum(
            holder.free_units(now_s, service, region) for holder in self.adopted
        )
        held = self.placements.get((service, region))
        if held is None or now_s >= self.valid_until_s:
            return adopted
        return max(0, held.target - held.in_use) + adopted

    def release(self, now_s: float, unit: admissions.Unit) -> None:
        """Takes a unit back when its request has ended."""
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
        """Sets bytes of a link aside; None when too few are left."""
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
        """Ends a reservation; bytes that were not sent are put back."""
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
        """Returns whether shares may be spent; checked right before sending.

        Args:
            now_s: Monotonic time.
            held: What the request was given; it must be of this session.
        """
        own = held is None or held.session == self.session
        if own and now_s < self.valid_until_s:
            return True
        return any(holder.valid(now_s, held) for holder in self.adopted)

    def usable_until_s(self, now_s: float) -> float:
        """Returns until when what was just given surely may be used.

        That is the earliest end of the sessions that may be spent now.
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
        """Counts what was refused; the first asks for more shares."""
        if held.refused == 0:
            self.expedite_read(now_s)
        held.refused += amount

    def expedite_read(self, now_s: float) -> None:
        """Asks for more shares soon, as a request did not get one."""
        raise NotImplementedError

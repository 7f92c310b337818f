"""Choice of the region for a request, and of what it holds there."""

from collections.abc import Iterable, Mapping, Set
import dataclasses
import math
from typing import Generic, Protocol, TypeVar

from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import rows

NO_CAPACITY_RETRY_S = 1.0
UNKNOWN_DISTANCE_MS = math.inf

U = TypeVar("U")
R = TypeVar("R")


class Shares(Protocol[U, R]):
    """Limits of which this host holds shares; see `leases.ShareHolder`."""

    def acquire(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
    ) -> U | None:
        """Returns a unit of a placement, or None when none is free."""

    def release(self, now_s: float, unit: U) -> None:
        """Takes a unit back."""

    def reserve_bytes(
        self,
        now_s: float,
        source: models.RegionId,
        target: models.RegionId,
        size: float,
    ) -> R | None:
        """Sets bytes of a link aside; None when too few are left."""

    def settle_bytes(self, now_s: float, reservation: R, used: float) -> None:
        """Ends a reservation, with the bytes used."""


class BackendChooser(Protocol):
    """Choice of a backend server; see `backends.Backends`."""

    def choose(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId] = frozenset(),
    ) -> reports.Attempt | None:
        """Returns an attempt, or None when no backend server is free."""


@dataclasses.dataclass(frozen=True)
class RegionChoice:
    """A region that serves a service.

    Attributes:
        region: The region.
        distance_ms: Distance from this host; 0 for its own region.
        drained: Its weight is 0; it still serves while its units close.
    """

    region: models.RegionId
    distance_ms: float
    drained: bool


@dataclasses.dataclass(frozen=True)
class RequestPlacement(Generic[U, R]):
    """All that a request holds while it is at work.

    Attributes:
        attempt: Slot of the backend server chosen.
        unit: Unit of the placement.
        outward: Bytes set aside on the link to the region; None at home.
        homeward: Bytes set aside on the link back; None at home.
    """

    attempt: reports.Attempt
    unit: U
    outbound: R | None
    inbound: R | None


class Router(Generic[U, R]):
    """Places requests of this host's region.

    Attributes:
        home: Region of this host.
        order: Regions of each service, in the order in which they are asked.
    """

    def __init__(
        self,
        home_region: models.RegionId,
        shares: Shares[U, R],
        chooser: BackendChooser,
    ):
        """Starts without a table."""
        self.home_region = home_region
        self.shares = shares
        self.chooser = chooser
        self.region_order: dict[models.ServiceId, tuple[RegionChoice, ...]] = {}

    def configure(
        self,
        region_rows: Iterable[rows.RegionRow],
        placement_rows: Iterable[rows.PlacementRow],
    ) -> None:
        """Takes the operators' table."""
        distances_ms: Mapping[str, float] = {}
        for region_row in region_rows:
            if region_row.region == self.home_region:
                distances_ms = region_row.distances_ms
        by_service: dict[models.ServiceId, list[rows.PlacementRow]] = {}
        for row in placement_rows:
            service = models.ServiceId(row.service)
            by_service.setdefault(service, []).append(row)
        self.region_order = {
            service: order_regions(self.home_region, distances_ms, placements)
            for service, placements in by_service.items()
        }

    def place(
        self,
        now_s: float,
        service: models.ServiceId,
        sent_bytes: int,
        answer_bytes: int,
        exclude: Set[models.BackendId] = frozenset(),
    ) -> RequestPlacement[U, R] | models.Refusal:
        """Places a request in the first region that has all it needs.

        Args:
            now_s: Monotonic time.
            service: Service of the request.
            sent_bytes: Size of the request.
            answer_bytes: Largest answer.
            exclude: Backend servers that failed this request.

        Returns:
            What the request holds, to be given back by `release`; or why
            it can't be placed now.
        """
        for choice in self.region_order.get(service, ()):
            placed = self._place_in(
                now_s, service, choice.region, sent_bytes, answer_bytes, exclude
            )
            if placed is not None:
                return placed
        return models.Refusal(
            503,
            "no_capacity",
            models.Ran.NO,
            NO_CAPACITY_RETRY_S,
            "No region has capacity for the request now.",
        )

    def _place_in(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        sent_bytes: int,
        answer_bytes: int,
        exclude: Set[models.BackendId],
    ) -> RequestPlacement[U, R] | None:
        unit = self.shares.acquire(now_s, service, region)
        if unit is None:
            return None
        outbound = inbound = None
        if region != self.home_region:
            outbound = self.shares.reserve_bytes(
                now_s, self.home_region, region, sent_bytes
            )
            if outbound is not None:
                inbound = self.shares.reserve_bytes(
                    now_s, region, self.home_region, answer_bytes
                )
        if region == self.home_region or inbound is not None:
            attempt = self.chooser.choose(now_s, service, region, exclude)
            if attempt is not None:
                return RequestPlacement(attempt, unit, outbound, inbound)
        self._release_all(now_s, unit, outbound, 0, inbound, 0)
        return None

    def release(
        self,
        now_s: float,
        placement: RequestPlacement[U, R],
        sent_bytes: int,
        received_bytes: int,
    ) -> None:
        """Gives back what an ended attempt held, but for its slot.

        Args:
            now_s: Monotonic time.
            placement: What it held.
            sent_bytes: Bytes that may have gone to the region.
            received_bytes: Bytes that may have come back; the largest
                answer when unknown.
        """
        self._release_all(
            now_s,
            placement.unit,
            placement.outbound,
            sent_bytes,
            placement.inbound,
            received_bytes,
        )

    def _release_all(
        self,
        now_s: float,
        unit: U,
        outbound: R | None,
        sent_bytes: int,
        inbound: R | None,
        received_bytes: int,
    ) -> None:
        if inbound is not None:
            self.shares.settle_bytes(now_s, inbound, received_bytes)
        if outbound is not None:
            self.shares.settle_bytes(now_s, outbound, sent_bytes)
        self.shares.release(now_s, unit)


def order_regions(
    home_region: models.RegionId,
    distances_ms: Mapping[str, float],
    placements: Iterable[rows.PlacementRow],
) -> tuple[RegionChoice, ...]:
    """Returns the regions of a service: nearest first, drained ones last.

    A drained region stays in the list, since its units close no faster than
    its shift cap allows; it gives out no more units once they are closed.
    """
    choices = []
    for row in placements:
        if row.limit == 0:
            continue
        distance_ms = distances_ms.get(row.region, UNKNOWN_DISTANCE_MS)
        if row.region == home_region:
            distance_ms = 0.0
        choices.append(
            RegionChoice(
                models.RegionId(row.region), distance_ms, row.weight == 0
            )
        )
    choices.sort(key=lambda c: (c.drained, c.distance_ms, c.region))
    return tuple(choices)

"""Selection of a region for a request, and reservation of resources there."""

from collections.abc import Iterable, Mapping, Set
import dataclasses
import math
from typing import Generic, Protocol, TypeVar

from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import rows

# Time in seconds after which to retry a request that no region could take.
NO_CAPACITY_RETRY_S = 1.0
UNKNOWN_DISTANCE_MS = math.inf

U = TypeVar("U")
R = TypeVar("R")


class Shares(Protocol[U, R]):
    """Limits of which this host holds shares, like `leases.ShareHolder`."""

    def acquire(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
    ) -> U | None:
        """Acquires a unit of a placement; None when none is free."""

    def release(self, now_s: float, unit: U) -> None:
        """Releases a unit."""

    def reserve_bytes(
        self,
        now_s: float,
        source: models.RegionId,
        target: models.RegionId,
        size: float,
    ) -> R | None:
        """Reserves bytes of a link; None when too few are left."""

    def settle_bytes(self, now_s: float, reservation: R, used: float) -> None:
        """Ends a reservation, given the number of bytes used."""


class BackendChooser(Protocol):
    """Selection of a backend server, like `backends.BackendRegistry`."""

    def choose(
        self,
        now_s: float,
        service: models.ServiceId,
        region: models.RegionId,
        exclude: Set[models.BackendId] = frozenset(),
    ) -> reports.Attempt | None:
        """Returns an attempt; None when no backend server has a free slot."""


@dataclasses.dataclass(frozen=True)
class RegionCandidate:
    """A region that serves a service.

    Attributes:
        region: Id of the region.
        distance_ms: Distance from this host in milliseconds; 0 for the host's
            own region.
        drained: The weight is 0; the region still serves requests until its
            units are closed.
    """

    region: models.RegionId
    distance_ms: float
    drained: bool


@dataclasses.dataclass(frozen=True)
class RequestPlacement(Generic[U, R]):
    """Resources that a request holds while it is in flight.

    Attributes:
        attempt: Slot of the selected backend server.
        unit: Unit of the placement.
        outbound: Bytes reserved on the link to the region; None in the host's
            own region.
        inbound: Bytes reserved on the link back; None in the host's own
            region.
    """

    attempt: reports.Attempt
    unit: U
    outbound: R | None
    inbound: R | None


class Router(Generic[U, R]):
    """Places requests that arrive in this host's region.

    Attributes:
        home_region: Region of this host.
        region_order: Regions of each service in order of preference.
    """

    def __init__(
        self,
        home_region: models.RegionId,
        shares: Shares[U, R],
        chooser: BackendChooser,
    ):
        """Initializes a router without placements."""
        self.home_region = home_region
        self.shares = shares
        self.chooser = chooser
        self.region_order: dict[
            models.ServiceId, tuple[RegionCandidate, ...]
        ] = {}

    def configure(
        self,
        region_rows: Iterable[rows.RegionRow],
        placement_rows: Iterable[rows.PlacementRow],
    ) -> None:
        """Applies the rows of regions and placements."""
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
        """Places a request in the first region that has all resources free.

        Args:
            now_s: Monotonic time.
            service: Service of the request.
            sent_bytes: Size of the request in bytes.
            answer_bytes: Maximum size of the answer in bytes.
            exclude: Backend servers that already failed this request.

        Returns:
            The resources that the request holds, to be freed by `release`; or
            a refusal when no region can take the request now.
        """
        for candidate in self.region_order.get(service, ()):
            placed = self._place_in(
                now_s,
                service,
                candidate.region,
                sent_bytes,
                answer_bytes,
                exclude,
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
        """Frees the resources of an ended attempt, except the slot.

        Args:
            now_s: Monotonic time.
            placement: Resources that the attempt held.
            sent_bytes: Bytes that may have been sent to the region.
            received_bytes: Bytes that may have been received; the maximum
                size of an answer when unknown.
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
) -> tuple[RegionCandidate, ...]:
    """Returns the regions of a service: nearest first, drained ones last.

    A drained region stays in the list because its units close only as fast as
    the shift cap allows; once they are closed, none can be acquired there.
    """
    candidates = []
    for row in placements:
        if row.limit == 0:
            continue
        distance_ms = distances_ms.get(row.region, UNKNOWN_DISTANCE_MS)
        if row.region == home_region:
            distance_ms = 0.0
        candidates.append(
            RegionCandidate(
                models.RegionId(row.region), distance_ms, row.weight == 0
            )
        )
    candidates.sort(key=lambda c: (c.drained, c.distance_ms, c.region))
    return tuple(candidates)

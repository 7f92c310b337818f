"""Which backend servers know which objects, and what that is worth.

A server that has handled an object works faster with it. Hosts tell each
other the pairs of server and object that one of them saw answered, so that
all of them expect the same.
"""

import dataclasses
import enum

import xxhash

from banyanshed.steering import models

# A pair that nobody used for this long may have been displaced.
WARM_TTL_S = 60.0
MAX_PAIRS = 20_000
MAX_PAIRS_PER_REPORT = 100
MAX_UNSENT = 1000
ESTIMATE_SMOOTHING = 0.1
RECENT_SMOOTHING = 0.1
# Expected times before any were seen, in parts of the latency objective.
DEFAULT_WARM_SHARE = 0.6
DEFAULT_COLD_SHARE = 1.5
# An answer this much slower than a warm one shows a server that is not warm.
NOT_WARM_FACTOR = 2.0


class Audience(enum.Enum):
    """Which peers are told.

    Those of the same region hear more often; other regions may hear from
    few hosts that pass word on.
    """

    ALL = "all"
    NEAR = "near"
    FAR = "far"


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Expected times of a route's requests on a server with a free slot.

    Attributes:
        warm_s: When the server knows the object.
        cold_s: When it does not.
        recent_s: Mean of what was seen lately, as it is in a queue.
    """

    warm_s: float
    cold_s: float
    recent_s: float


class Warmth:
    """What one host knows of warm pairs and of work times."""

    def __init__(self) -> None:
        """Starts without pairs: every server counts as not warm."""
        self.pairs: dict[int, float] = {}
        self.unsent: dict[Audience, list[int]] = {
            audience: [] for audience in Audience
        }
        self.times: dict[models.RouteName, ServiceTimes] = {}

    def is_warm(self, pair: int, now: float) -> bool:
        """Whether a server knows an object."""
        used_at = self.pairs.get(pair)
        return used_at is not None and now - used_at < WARM_TTL_S

    def service_time_s(self, route: models.Route, warm: bool) -> float:
        """Returns the expected time of a request with a free slot."""
        times = self._times_of(route)
        return times.warm_s if warm else times.cold_s

    def queued_service_time_s(self, route: models.Route) -> float:
        """Returns the expected time of a request that is ahead in a queue."""
        return self._times_of(route).recent_s

    def record_answer(
        self,
        route: models.Route,
        pair: int | None,
        unqueued: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Learns from an answer.

        Args:
            route: Route of the request.
            pair: The server and object, from `hash_pair`; None when the
                request had no object.
            unqueued: The server had a free slot when it was chosen.
            latency_s: Time from the choice to the answer.
            now: Current time.
        """
        times = self._times_of(route)
        if unqueued:
            times.recent_s += RECENT_SMOOTHING * (latency_s - times.recent_s)
        if pair is None:
            if unqueued:
                times.warm_s += ESTIMATE_SMOOTHING * (latency_s - times.warm_s)
            return
        if not self.is_warm(pair, now):
            if unqueued:
                times.cold_s += ESTIMATE_SMOOTHING * (latency_s - times.cold_s)
            for unsent in self.unsent.values():
                unsent.append(pair)
        elif unqueued and latency_s > NOT_WARM_FACTOR * times.warm_s:
            # It has just become warm again, if it was not.
            times.warm_s += (
                ESTIMATE_SMOOTHING * 0.1 * (latency_s - times.warm_s)
            )
        elif unqueued:
            times.warm_s += ESTIMATE_SMOOTHING * (latency_s - times.warm_s)
        self._store(pair, now)

    def add_pairs(
        self, pairs: list[int], now: float, forward: bool = False
    ) -> None:
        """Takes the pairs that a peer saw answered.

        Args:
            pairs: From `hash_pair`.
            now: Current time.
            forward: Other regions hear of them from this host.
        """
        for pair in pairs:
            if forward and not self.is_warm(pair, now):
                self.unsent[Audience.FAR].append(pair)
            self._store(pair, now)

    def take_unsent(self, audience: Audience) -> list[int]:
        """Returns new pairs that some of the peers were not told yet."""
        unsent = self.unsent[audience]
        del unsent[:-MAX_UNSENT]
        sent = unsent[:MAX_PAIRS_PER_REPORT]
        del unsent[:MAX_PAIRS_PER_REPORT]
        if audience is Audience.ALL:
            self.unsent[Audience.NEAR] = list(unsent)
        return sent

    def _times_of(self, route: models.Route) -> ServiceTimes:
        times = self.times.get(route.name)
        if times is None:
            times = ServiceTimes(
                route.objective_s * DEFAULT_WARM_SHARE,
                route.objective_s * DEFAULT_COLD_SHARE,
                route.objective_s * DEFAULT_COLD_SHARE,
            )
            self.times[route.name] = times
        return times

    def _store(self, pair: int, now: float) -> None:
        self.pairs.pop(pair, None)
        self.pairs[pair] = now
        while len(self.pairs) > MAX_PAIRS:
            del self.pairs[next(iter(self.pairs))]


def hash_pair(
    route: models.RouteName, object_key: str, server: models.ServerId
) -> int:
    """Returns what stands for an object on a server, alike on all hosts."""
    text = f"{route}\0{object_key}\0{server}"
    return xxhash.xxh32_intdigest(text.encode())

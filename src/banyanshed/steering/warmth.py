"""Warm objects of backend servers, and expected service times.

A server is faster with an object that it has handled before: the object is
warm there. Hosts report to each other the pairs of object and server for which
they received an answer, so that all of them expect the same.
"""

import dataclasses
import enum

import xxhash

from banyanshed.steering import models

# An object that was not used at a server for this long may have been evicted.
WARM_TTL_S = 60.0
MAX_PAIRS = 20_000
MAX_PAIRS_PER_REPORT = 100
MAX_UNSENT = 1000
ESTIMATE_SMOOTHING = 0.1
RECENT_SMOOTHING = 0.1
# Initial estimates of service times, as multiples of the latency objective.
DEFAULT_WARM_SHARE = 0.6
DEFAULT_COLD_SHARE = 1.5
# An answer that takes this many times the warm service time shows that the
# object was not warm.
NOT_WARM_FACTOR = 2.0


class Audience(enum.Enum):
    """Peers that new pairs are sent to.

    Peers of the same region get reports more often than others. Other regions
    may get them from relays only.

    Attributes:
        ALL: All peers that get this host's heartbeats.
        NEAR: The peers of this host's region.
        FAR: Other regions, to which this host reports as a relay.
    """

    ALL = "all"
    NEAR = "near"
    FAR = "far"


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Estimated service times of a route on a server with a free slot.

    Attributes:
        warm_s: Service time in seconds for a warm object.
        cold_s: Service time in seconds for an object that is not warm.
        recent_s: Moving average of all requests in seconds, used for requests
            in a queue.
    """

    warm_s: float
    cold_s: float
    recent_s: float


class Warmth:
    """One host's knowledge of warm pairs and of service times.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(self) -> None:
        """Starts without pairs: no object counts as warm."""
        self.pairs: dict[int, float] = {}
        self.unsent: dict[Audience, list[int]] = {
            audience: [] for audience in Audience
        }
        self.times: dict[models.RouteName, ServiceTimes] = {}

    def is_warm(self, pair: int, now: float) -> bool:
        """Returns whether a pair's object is warm at its server."""
        used_at = self.pairs.get(pair)
        return used_at is not None and now - used_at < WARM_TTL_S

    def service_time_s(self, route: models.Route, warm: bool) -> float:
        """Returns the expected seconds of a request in a free slot."""
        times = self._times_of(route)
        return times.warm_s if warm else times.cold_s

    def queued_service_time_s(self, route: models.Route) -> float:
        """Returns the expected seconds of a request ahead in a queue."""
        return self._times_of(route).recent_s

    def record_answer(
        self,
        route: models.Route,
        pair: int | None,
        unqueued: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Updates the estimates and the warm pairs from an answer.

        Args:
            route: Route of the request.
            pair: Object and server, from `hash_pair`; None if the request had
                no object.
            unqueued: Whether the server had a free slot when it was chosen.
            latency_s: Time from the choice to the answer in seconds.
            now: Current time in seconds.
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
            # The object was probably not warm, but is so from now on.
            times.warm_s += (
                ESTIMATE_SMOOTHING * 0.1 * (latency_s - times.warm_s)
            )
        elif unqueued:
            times.warm_s += ESTIMATE_SMOOTHING * (latency_s - times.warm_s)
        self._store(pair, now)

    def add_pairs(
        self, pairs: list[int], now: float, forward: bool = False
    ) -> None:
        """Adds the pairs that a peer reported.

        Args:
            pairs: The pairs, from `hash_pair`.
            now: Current time in seconds.
            forward: Whether this host reports them to other regions if it is
                a relay.
        """
        for pair in pairs:
            if forward and not self.is_warm(pair, now):
                self.unsent[Audience.FAR].append(pair)
            self._store(pair, now)

    def take_unsent(self, audience: Audience) -> list[int]:
        """Returns new pairs that were not yet sent to some of the audience.

        At most `MAX_PAIRS_PER_REPORT` pairs are returned, which count as sent;
        of a backlog above `MAX_UNSENT`, the oldest pairs are dropped.
        """
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
    """Returns a hash of an object and a server, the same on all hosts."""
    text = f"{route}\0{object_key}\0{server}"
    return xxhash.xxh32_intdigest(text.encode())

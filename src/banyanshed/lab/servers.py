"""Simulated backend server: slots, a queue, an object cache and faults."""

import collections
import random

from banyanshed.lab import requests
from banyanshed.lab import scenarios
from banyanshed.steering import health


class Server:
    """One backend server."""

    def __init__(self, scenario: scenarios.Scenario, rng: random.Random):
        """Creates an idle server without faults and with an empty cache."""
        self.scenario = scenario
        self.rng = rng
        self.running = 0
        self.queue: collections.deque[requests.Attempt] = collections.deque()
        self.known_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.fault: scenarios.Fault | None = None

    def has_fault(self, kind: scenarios.FaultKind) -> bool:
        """Returns whether a fault of this kind is active."""
        return self.fault is not None and self.fault.trouble is kind

    def start(self, attempt: requests.Attempt, now: float) -> float:
        """Starts an attempt and sets its outcome; returns when it ends."""
        self.running += 1
        ends_at = now + self._work_s(attempt.request.object_key)
        if ends_at >= attempt.request.expires_at:
            attempt.outcome = health.Outcome.TIMED_OUT
            return attempt.request.expires_at
        if self._fails():
            attempt.outcome = health.Outcome.FAILURE
        return ends_at

    def finish(self, attempt: requests.Attempt) -> None:
        """Ends an attempt; caches its object if it succeeded."""
        self.running -= 1
        if attempt.outcome is not health.Outcome.SUCCESS:
            return
        key = attempt.request.object_key
        self.known_objects[key] = None
        self.known_objects.move_to_end(key)
        if len(self.known_objects) > self.scenario.keeps:
            self.known_objects.popitem(last=False)

    def _fails(self) -> bool:
        if self.fault is None or not self.has_fault(
            scenarios.FaultKind.FAILING
        ):
            return False
        return self.rng.random() < self.fault.severity

    def _work_s(self, object_key: str) -> float:
        scenario = self.scenario
        is_known = object_key in self.known_objects
        mean_s = scenario.warm_s if is_known else scenario.cold_s
        spread = self.rng.uniform(1.0 - scenario.spread, 1.0 + scenario.spread)
        if self.fault is not None and self.has_fault(scenarios.FaultKind.SLOW):
            mean_s *= self.fault.severity
        return mean_s * spread

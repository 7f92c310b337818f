"""Token buckets and meters of demand; no input or output."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket whose rate and burst may change.

    Attributes:
        rate: Tokens a second.
        burst: Most tokens, those reserved included.
        tokens: Tokens that may be taken at `at_s`.
        at_s: Time of the last refill, in monotonic seconds.
        reserved: Tokens taken whose use is not settled yet.
    """

    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    at_s: float = 0.0
    reserved: float = 0.0

    def refill(self, now_s: float) -> None:
        """Adds the tokens of the time since the last refill."""
        elapsed_s = now_s - self.at_s
        if elapsed_s <= 0:
            return
        self.at_s = now_s
        room = max(0.0, self.burst - self.reserved)
        self.tokens = min(room, self.tokens + self.rate * elapsed_s)

    def take(self, now_s: float, cost: float = 1.0) -> bool:
        """Takes `cost` tokens; returns False and takes none if too few."""
        self.refill(now_s)
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def reserve(self, now_s: float, cost: float) -> bool:
        """Takes tokens that count against the burst until settled."""
        if not self.take(now_s, cost):
            return False
        self.reserved += cost
        return True

    def settle(self, now_s: float, reserved: float, used: float) -> None:
        """Ends a reservation and puts back what was not used."""
        self.refill(now_s)
        self.reserved = max(0.0, self.reserved - reserved)
        self.add_tokens(max(0.0, reserved - used))

    def add_tokens(self, tokens: float) -> None:
        """Adds tokens, up to the burst."""
        room = max(0.0, self.burst - self.reserved)
        self.tokens = min(room, self.tokens + tokens)

    def resize(self, now_s: float, rate: float, burst: float) -> None:
        """Changes rate and burst; tokens above the burst are dropped."""
        self.refill(now_s)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, max(0.0, burst - self.reserved))

    def wait_s(self, cost: float = 1.0) -> float | None:
        """Returns the time until `cost` tokens are there; None for never."""
        if self.rate <= 0 or self.burst < cost:
            return None
        return max(0.0, cost - self.tokens) / self.rate


@dataclasses.dataclass(slots=True)
class RateMeter:
    """Moving average of a rate, updated when it is read.

    Attributes:
        time_constant_s: Time after which a change counts for two thirds.
        rate: Average a second at the last reading.
        count: What was counted since the last reading.
        at_s: Time of the last reading.
        observed_s: Time that the average covers, at most.
    """

    time_constant_s: float = 8.0
    rate: float = 0.0
    count: float = 0.0
    at_s: float = -math.inf
    observed_s: float = 0.0

    def read(self, now_s: float) -> float:
        """Folds the count in and returns the average."""
        elapsed_s = now_s - self.at_s
        if elapsed_s < 0.5:
            return self.rate
        if elapsed_s > 100 * self.time_constant_s:
            self.observed_s = 0.0
            elapsed_s = min(elapsed_s, self.time_constant_s)
        self.observed_s += elapsed_s
        window_s = min(self.observed_s, self.time_constant_s)
        weight = min(1.0, elapsed_s / window_s)
        # A settled reservation may take back more than was counted since.
        count = max(0.0, self.count)
        self.rate += weight * (count / elapsed_s - self.rate)
        self.count = 0.0
        self.at_s = now_s
        return self.rate


@dataclasses.dataclass(slots=True)
class PeakMeter:
    """Largest value within a time window, to within half of the window.

    Attributes:
        window_s: Length of the window.
    """

    window_s: float
    current: int = 0
    previous: int = 0
    rotated_s: float = 0.0

    def record(self, value: int) -> None:
        """Counts a value."""
        if value > self.current:
            self.current = value

    def read(self, now_s: float, value: int) -> int:
        """Counts the present value and returns the peak."""
        elapsed_s = now_s - self.rotated_s
        if elapsed_s >= self.window_s / 2:
            stale = elapsed_s >= self.window_s
            self.previous = 0 if stale else self.current
            self.current = value
            self.rotated_s = now_s
        self.record(value)
        return max(self.current, self.previous)

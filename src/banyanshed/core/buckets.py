"""Token buckets and meters of demand; performs no I/O."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket whose rate and burst may change.

    Attributes:
        rate: Tokens added per second.
        burst: Maximum number of tokens, including reserved ones.
        tokens: Tokens available at `at_s`.
        at_s: Monotonic time of the last refill in seconds.
        reserved: Tokens taken whose use is not settled yet.
    """

    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    at_s: float = 0.0
    reserved: float = 0.0

    def refill(self, now_s: float) -> None:
        """Adds the tokens accrued since the last refill."""
        elapsed_s = now_s - self.at_s
        if elapsed_s <= 0:
            return
        self.at_s = now_s
        room = max(0.0, self.burst - self.reserved)
        self.tokens = min(room, self.tokens + self.rate * elapsed_s)

    def take(self, now_s: float, cost: float = 1.0) -> bool:
        """Takes `cost` tokens, or none and returns False if there are fewer."""
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
        """Ends a reservation and returns its unused tokens to the bucket.

        Args:
            now_s: Monotonic time in seconds.
            reserved: Tokens of the reservation.
            used: Tokens that were used.
        """
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
        """Returns the seconds until `cost` tokens are available.

        The tokens are as of the last refill. Returns None if the rate or the
        burst is too small.
        """
        if self.rate <= 0 or self.burst < cost:
            return None
        return max(0.0, cost - self.tokens) / self.rate


@dataclasses.dataclass(slots=True)
class RateMeter:
    """Moving average of a rate, updated when it is read.

    Attributes:
        time_constant_s: Time constant of the average in seconds, after which a
            change is reflected to about two thirds.
        rate: Average per second at the last reading.
        count: Amount counted since the last reading.
        at_s: Monotonic time of the last reading in seconds.
        observed_s: Seconds that have been observed; until they exceed the time
            constant, the average covers this time.
    """

    time_constant_s: float = 8.0
    rate: float = 0.0
    count: float = 0.0
    at_s: float = -math.inf
    observed_s: float = 0.0

    def read(self, now_s: float) -> float:
        """Adds the count to the average and returns it.

        Within 0.5 seconds of the last reading the average is not updated.
        """
        elapsed_s = now_s - self.at_s
        if elapsed_s < 0.5:
            return self.rate
        if elapsed_s > 100 * self.time_constant_s:
            self.observed_s = 0.0
            elapsed_s = min(elapsed_s, self.time_constant_s)
        self.observed_s += elapsed_s
        window_s = min(self.observed_s, self.time_constant_s)
        weight = min(1.0, elapsed_s / window_s)
        # Settling a reservation may subtract more than was counted since the
        # last reading.
        count = max(0.0, self.count)
        self.rate += weight * (count / elapsed_s - self.rate)
        self.count = 0.0
        self.at_s = now_s
        return self.rate


@dataclasses.dataclass(slots=True)
class PeakMeter:
    """Largest value within a time window, to within half of the window.

    Attributes:
        window_s: Length of the window in seconds.
        current: Peak since the last rotation.
        previous: Peak of the period before the last rotation.
        rotated_s: Monotonic time of the last rotation in seconds.
    """

    window_s: float
    current: int = 0
    previous: int = 0
    rotated_s: float = 0.0

    def record(self, value: int) -> None:
        """Records a value in the current period."""
        if value > self.current:
            self.current = value

    def read(self, now_s: float, value: int) -> int:
        """Records the present value and returns the peak."""
        elapsed_s = now_s - self.rotated_s
        if elapsed_s >= self.window_s / 2:
            stale = elapsed_s >= self.window_s
            self.previous = 0 if stale else self.current
            self.current = value
            self.rotated_s = now_s
        self.record(value)
        return max(self.current, self.previous)

"""The store's absence as one host sees it, and how long it excuses.

While the store is away, entries of servers lapse that are alive; they come
back soon after the store does. A host can't tell whether the store was away
for all or only for itself, in which case nothing lapsed and entries that are
gone mean servers that left.
"""

from banyanshed.steering import waits as waits_lib


class Outage:
    """The last time that the store did not answer this host.

    Attributes:
        is_active: The store has not answered since.
        ended_at: When it first answered again.
        failed_at: When the last call that failed was sent.
    """

    def __init__(self, waits: waits_lib.Waits):
        """Starts without an outage."""
        self.waits = waits
        self.is_active = False
        self.ended_at = float("-inf")
        self.failed_at = float("-inf")

    def begin(self, sent_at: float) -> None:
        """Takes note of a failed call of a feed that was served before."""
        self.is_active = True
        self.record_failure(sent_at)

    def record_failure(self, sent_at: float) -> None:
        """Takes note of another failed call; it counts during an outage."""
        if self.is_active:
            self.failed_at = max(self.failed_at, sent_at)

    def end(self, now: float) -> None:
        """Takes note of an answer; only the first ends the outage."""
        if self.is_active:
            self.is_active = False
            self.ended_at = now

    def kept_until(self, now: float) -> float:
        """Returns until when a server may be kept whose entry is missed now.

        It is over in time even if the store was back right after the last
        failed call and the server left in good order.
        """
        since = now if self.is_active else self.ended_at
        return min(
            since + waits_lib.RE_REGISTRATION_S,
            self.failed_at + self.waits.kept_after_failure_s(),
        )

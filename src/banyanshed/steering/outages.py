"""Outages of the store as one host sees them.

While the store is unavailable, entries of live servers expire; the servers
register again soon after it returns, so missing entries are kept for a time.
A host can't tell whether the store was unavailable to all or only to itself.
In the latter case no entries expired, and missing ones mean that servers left.
"""

from banyanshed.steering import waits as waits_lib


class Outage:
    """The most recent outage of the store.

    Times are in seconds of one monotonic clock, which callers pass.

    Attributes:
        is_active: Whether the store has not answered since it began.
        ended_at: When the store first answered again.
        failed_at: When the last failed call was sent.
    """

    def __init__(self, waits: waits_lib.Waits):
        """Starts without an outage.

        Args:
            waits: Waits that limit how long servers are kept.
        """
        self.waits = waits
        self.is_active = False
        self.ended_at = float("-inf")
        self.failed_at = float("-inf")

    def begin(self, sent_at: float) -> None:
        """Begins an outage with a failed call of a feed that worked before.

        Args:
            sent_at: When the call was sent.
        """
        self.is_active = True
        self.record_failure(sent_at)

    def record_failure(self, sent_at: float) -> None:
        """Records a further failed call; has no effect without an outage.

        Args:
            sent_at: When the call was sent.
        """
        if self.is_active:
            self.failed_at = max(self.failed_at, sent_at)

    def end(self, now: float) -> None:
        """Ends the outage at the first answer; has no effect without one."""
        if self.is_active:
            self.is_active = False
            self.ended_at = now

    def kept_until(self, now: float) -> float:
        """Returns until when a server may be kept whose entry is missing now.

        The limit holds the deadline for departed servers even if the store
        was available right after the last failed call and the server left
        cleanly.
        """
        since = now if self.is_active else self.ended_at
        return min(
            since + waits_lib.RE_REGISTRATION_S,
            self.failed_at + self.waits.kept_after_failure_s(),
        )

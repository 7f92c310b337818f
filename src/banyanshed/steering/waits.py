"""Delays and timeouts on a change's way from the store to the last host.

Those of a table are fractions of the deadline that the platform sets for its
changes (`models.Bounds`), so that they add up to less than the deadline on any
deployment.
"""

import dataclasses

from banyanshed.steering import members
from banyanshed.steering import models

# Time after an outage of the store by which expired entries are back.
RE_REGISTRATION_S = 2.1
# Interval at which servers with missing entries are checked.
HOUSEKEEPING_S = 0.25
# Time from the choice of a server until the request arrives there.
DELIVERY_S = 0.15
# Fractions of a table's deadline: the pause after changes, in which further
# changes collect, and how much longer than that pause a host waits for its own
# feed before it copies a newer table from a peer of its region, or from one of
# another region.
SERVER_BATCH_SHARE = 0.2
OPERATOR_BATCH_SHARE = 0.06
NEAR_COPY_SHARE = 0.11
FAR_COPY_SHARE = 0.45
# Fractions of a table's deadline: the interval at which a host checks for such
# a peer, and the timeout of a copy. Fraction of the shortest deadline: the
# interval of heartbeats, which carry the table versions.
CHECK_SHARE = 0.08
COPY_TIMEOUT_SHARE = 0.4
HEARTBEAT_SHARE = 0.2
# Maximum interval of heartbeats, which also report requests.
MAX_HEARTBEAT_S = 0.5
# Callers may be sent to a host that is down for this long in addition to
# `Bounds.stable_s`. Relays report a host's state to other regions, so that the
# host timeout elapses twice there: once at the relay and once at the receiver.
# `RELAY_DELAY_S` is reserved for the relayed message.
DOWN_HOST_LISTED_S = 3.0
RELAY_DELAY_S = 0.2
# Fractions of `Bounds.stable_s`, after which the deadlines apply again to a
# recovered host: the maximum delay before the store is called again, without
# jitter, and the timeout for a connection to it. The jitter is a fraction of
# the delay.
RETRY_SHARE = 1.0 / 3.0
RETRY_JITTER = 0.3
CONNECT_TIMEOUT_SHARE = 0.3
# Fractions of `Bounds.stable_s` again: the timeout of a call of the store, and
# how long a call may wait there for changes. A call that was sent while the
# store did not answer must have failed once the deadlines apply again.
CALL_TIMEOUT_SHARE = 0.4
POLL_SHARE = 0.3
# Fractions of a table's deadline: how long a relay's call may wait at the store
# for changes, and the age of the last answer from which a relay's followers
# call the store themselves. A store that has taken a call but doesn't answer
# can't be told from one without changes.
RELAY_POLL_SHARE = 0.4
ANSWER_AGE_SHARE = 0.56
# Fraction of a table's deadline: how long a host relies on a relay without
# word that its copy still matches the store. The rest is for a connection to
# the store, the call, and the delivery of a request.
UNVERIFIED_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class TableWaits:
    """Delays and timeouts for the changes of one table, in seconds.

    Attributes:
        bound_s: Deadline for a change to be known to all hosts.
        batch_delay_s: Pause of a feed after changes.
        near_copy_delay_s: How long a peer of the region may have a newer
            table before the host copies it.
        far_copy_delay_s: The same for peers of other regions.
        check_interval_s: Interval at which the host checks for such peers.
        copy_timeout_s: Timeout of a copy.
        relay_poll_s: How long a relay's call may wait at the store for
            changes, counted from the last answer.
        max_answer_age_s: Age of the last answer of the store from which a
            relay no longer vouches for it.
        max_unverified_s: Time since the host's copy was last known to match
            the store from which it asks the store itself.
    """

    bound_s: float
    batch_delay_s: float
    near_copy_delay_s: float
    far_copy_delay_s: float
    check_interval_s: float
    copy_timeout_s: float
    relay_poll_s: float
    max_answer_age_s: float
    max_unverified_s: float


class Waits:
    """All delays and timeouts of one host that depend on the deadlines."""

    def __init__(self, bounds: models.Bounds):
        """Derives the delays and timeouts from the platform's deadlines."""
        self.update(bounds)

    def update(self, bounds: models.Bounds) -> None:
        """Derives the delays and timeouts again from changed deadlines."""
        self.bounds = bounds
        operator_s = min(bounds.config_s, bounds.evacuate_s, bounds.revoke_s)
        self.poll_s = bounds.stable_s * POLL_SHARE
        self.operator_table = _make_table(
            operator_s, OPERATOR_BATCH_SHARE, self.poll_s
        )
        self.server_table = _make_table(
            bounds.drain_s, SERVER_BATCH_SHARE, self.poll_s
        )
        self.heartbeat_s = min(
            MAX_HEARTBEAT_S, HEARTBEAT_SHARE * min(operator_s, bounds.drain_s)
        )
        self.host_timeout_s = min(
            members.HOST_TIMEOUT_S,
            (bounds.stable_s + DOWN_HOST_LISTED_S - RELAY_DELAY_S) / 2.0,
        )
        self.max_retry_delay_s = bounds.stable_s * RETRY_SHARE
        self.connect_timeout_s = bounds.stable_s * CONNECT_TIMEOUT_SHARE
        self.call_timeout_s = bounds.stable_s * CALL_TIMEOUT_SHARE

    def max_copy_age_s(self, table: TableWaits) -> float:
        """Returns the maximum age in seconds of changes in a copied table.

        This holds for the first attempt to copy, from a host of the region.

        Args:
            table: Delays of the table.
        """
        announced_s = table.batch_delay_s + self.heartbeat_s
        return announced_s + table.near_copy_delay_s + table.check_interval_s

    def kept_after_failure_s(self) -> float:
        """Returns the seconds after a failed call that a server may be kept.

        The store may have been available right after the call. The deadlines
        then apply from `stable_s` later on, also to servers that left earlier.
        """
        return self.bounds.stable_s - HOUSEKEEPING_S - DELIVERY_S

    def kept_in_service_s(self, max_age_s: float) -> float:
        """Returns the seconds that a server may be kept without an outage.

        Args:
            max_age_s: Maximum time since its entry was removed, in seconds.
        """
        remaining_s = (
            self.bounds.drain_s - max_age_s - HOUSEKEEPING_S - DELIVERY_S
        )
        return max(0.0, min(RE_REGISTRATION_S, remaining_s))


def _make_table(
    bound_s: float, batch_share: float, poll_s: float
) -> TableWaits:
    batch_delay_s = bound_s * batch_share
    return TableWaits(
        bound_s,
        batch_delay_s,
        batch_delay_s + bound_s * NEAR_COPY_SHARE,
        batch_delay_s + bound_s * FAR_COPY_SHARE,
        bound_s * CHECK_SHARE,
        bound_s * COPY_TIMEOUT_SHARE,
        min(poll_s, bound_s * RELAY_POLL_SHARE),
        bound_s * ANSWER_AGE_SHARE,
        bound_s * UNVERIFIED_SHARE,
    )

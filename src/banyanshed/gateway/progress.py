"""State of a caller's request while a host serves it."""

import asyncio
import dataclasses
import enum

from banyanshed.gateway import conversion
from banyanshed.gateway import messages
from banyanshed.steering import models
from banyanshed.steering import routing


class Ending(enum.Enum):
    """How a request ended, for logs and metrics.

    Attributes:
        ANSWERED: A backend server's final response was returned.
        REJECTED: No backend server can have run the request. It was rejected
            by routing, no server was found, reached or ready to run it in
            time, or the host stopped before it was sent.
        FAILED: A backend server may have run the request, but sent an error,
            its response was lost, or the host stopped before it.
        TIMED_OUT: The time limit was reached after a backend server may have
            run the request; no server sent an error.
        CLIENT_LEFT: The request was cancelled: the caller's connection ended.
        BROKEN: An unexpected exception in this host.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CLIENT_LEFT = "client_left"
    BROKEN = "broken"


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request while it is served.

    Attributes:
        request: The request.
        plan: Route and service of the request; None until it is planned.
        tried: Servers that were chosen for an attempt.
        sent_count: Number of attempts in which the request was sent.
        connect_failures: Number of failed connection attempts.
        unsettled_sends: Number of times that the request was sent, to a server
            or a peer, and nothing said that it was not run.
        failure: Last error response of a server.
        reason: Why the request failed or was rejected, or why the last
            attempt was not successful.
        retry_after_s: Seconds after which the caller should retry.
        trace: For each attempt the server, the outcome, its duration in
            milliseconds, and the load and warmth of the chosen server.
        inputs: Values that a rejection was based on.
        skipped: Servers that were passed over because of their limit.
        fingerprint: Hash of the request; 0 until it is planned.
        is_trial: Whether it tries whether servers bear a refused request.
        examination: Finds out whether the last attempt ended its server.
        attempts_left_by_peer: Attempts that a peer left for the request that
            it passed on; None for a request of an own caller.
        asked_peers: Peers to which the request was passed on.
        ending: How the request ended; None until then.
    """

    request: messages.Request
    plan: routing.Plan | None = None
    tried: list[models.ServerId] = dataclasses.field(default_factory=list)
    sent_count: int = 0
    connect_failures: int = 0
    unsettled_sends: int = 0
    failure: messages.Response | None = None
    reason: str = ""
    retry_after_s: float = conversion.DEFAULT_RETRY_AFTER_S
    trace: list[tuple[str, str, int, float, bool]] = dataclasses.field(
        default_factory=list
    )
    inputs: str = ""
    skipped: set[models.ServerId] = dataclasses.field(default_factory=set)
    fingerprint: models.Fingerprint = models.Fingerprint(0)
    is_trial: bool = False
    examination: asyncio.Task[None] | None = None
    attempts_left_by_peer: int | None = None
    asked_peers: list[models.HostId] = dataclasses.field(default_factory=list)
    ending: Ending | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request, or may run it yet."""
        return self.unsettled_sends > 0

    def record_send(self) -> None:
        """Records that the request is about to be sent to a server or a peer.

        From here on it may run, however the wait for the response ends.
        """
        self.unsettled_sends += 1

    def record_not_run(self) -> None:
        """Records that the last send has led to no run, and never will."""
        self.unsettled_sends -= 1

    def attempts_left(self, route: models.Route) -> int:
        """Returns the number of attempts that the route still allows."""
        allowed = route.attempts
        if self.attempts_left_by_peer is not None:
            allowed = min(allowed, self.attempts_left_by_peer)
        return allowed - self.sent_count

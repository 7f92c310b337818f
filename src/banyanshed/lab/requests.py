"""Requests of simulated callers and their attempts at servers."""

import dataclasses

from banyanshed.steering import health
from banyanshed.steering import models
from banyanshed.steering import placement


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A caller's request, over all tries by the caller. Times in seconds.

    Attributes:
        sent_at: When the caller first sent it.
        object_key: Key of the requested object.
        host: Number of the host that the caller uses.
        expires_at: When the caller stops waiting.
        caller_attempts: How often the caller has sent it.
        tried_servers: Servers that it was forwarded to in the caller's latest
            try.
    """

    sent_at: float
    object_key: str
    host: int
    expires_at: float = 0.0
    caller_attempts: int = 0
    tried_servers: list[models.ServerId] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One forwarding of a request to a server.

    Attributes:
        request: The request.
        choice: The chosen server and its estimates.
        number: Number of the attempt in the host's health records.
        started_at: When the host forwarded it, in seconds.
        outcome: Outcome that the host will see.
    """

    request: Request
    choice: placement.Choice
    number: int
    started_at: float
    outcome: health.Outcome = health.Outcome.SUCCESS

"""Requests of the model's callers and their attempts at servers."""

import dataclasses

from banyanshed.steering import health
from banyanshed.steering import models
from banyanshed.steering import placement


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """What a caller wants.

    Attributes:
        at: When it was sent first.
        object_key: What it asks for.
        host: Number of the host that the caller uses.
        expires_at: When the caller stops waiting.
        tries: How often the caller has asked.
        tried: Servers that it was sent to since the caller asked last.
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
    """A request at a server.

    Attributes:
        request: The request.
        choice: The server and what was expected of it.
        number: Number of the attempt in the host's health records.
        started_at: When it was sent.
        outcome: How it will end.
    """

    request: Request
    choice: placement.Choice
    number: int
    started_at: float
    outcome: health.Outcome = health.Outcome.SUCCESS

"""The JSON problem form of refusals."""

import json
import math

from banyanshed.core import models

CONTENT_TYPE = "application/problem+json"


def encode(refusal: models.Refusal) -> bytes:
    """Returns the body of a refusal."""
    return json.dumps(
        {
            "code": refusal.code,
            "detail": refusal.detail,
            "ran": refusal.ran.value,
            "retry_after_s": refusal.retry_after_s,
            "status": refusal.status,
        }
    ).encode()


def headers(refusal: models.Refusal) -> list[tuple[str, str]]:
    """Returns the headers of a refusal, whole seconds in Retry-After."""
    found = [
        ("Content-Type", CONTENT_TYPE),
        ("Banyanshed-Ran", refusal.ran.value),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        found.append(("Retry-After", str(seconds)))
    return found


def refuse(
    status: int,
    code: str,
    detail: str,
    retry_after_s: float | None = None,
    ran: models.Ran = models.Ran.NO,
) -> models.Refusal:
    """Returns a refusal; one that was not run unless said otherwise."""
    return models.Refusal(status, code, ran, retry_after_s, detail)

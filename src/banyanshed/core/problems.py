"""Encoding of refusals as JSON problem details.

Bodies have the media type of problem details, but not their members `type` and
`title`; `code` tells the kinds of problems apart.
"""

import json
import math

from banyanshed.core import models

CONTENT_TYPE = "application/problem+json"


def encode(refusal: models.Refusal) -> bytes:
    """Returns the response body of a refusal.

    The fields of the JSON object are those of the refusal: code, detail, ran
    (a value of models.Ran), retry_after_s and status. retry_after_s is in
    seconds and not rounded, other than the header Retry-After; it is null if a
    retry is useless.
    """
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
    """Returns the response headers of a refusal.

    Retry-After is retry_after_s, rounded up to whole seconds, at least 1; it is
    left out if retry_after_s is None.
    """
    result = [
        ("Content-Type", CONTENT_TYPE),
        ("Banyanshed-Ran", refusal.ran.value),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        result.append(("Retry-After", str(seconds)))
    return result


def refuse(
    status: int,
    code: str,
    detail: str,
    retry_after_s: float | None = None,
    ran: models.Ran = models.Ran.NO,
) -> models.Refusal:
    """Returns a refusal, by default of a request that was not executed."""
    return models.Refusal(status, code, ran, retry_after_s, detail)

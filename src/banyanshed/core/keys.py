"""Keys of callers and tokens of operators: generation and comparison."""

from collections.abc import Mapping
import hashlib
import hmac
import re
import secrets
import urllib.parse

from banyanshed.core import models

KEY_PREFIX = "bsk_"
KEY_BYTES = 32
BEARER_PREFIX = "bearer "
# A key in a header's name arrives with its case and underscores changed.
KEY_PATTERN = re.compile(r"bsk[_-][a-z0-9_-]{43}", re.IGNORECASE)
MAX_DECODING_ROUNDS = 4


def make_key() -> str:
    """Returns a new key, which is shown once and stored only as its digest."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest(secret: str) -> models.KeyDigest:
    """Returns the SHA-256 of a key or token in hex."""
    encoded = secret.encode("utf-8", "surrogateescape")
    return models.KeyDigest(hashlib.sha256(encoded).hexdigest())


def contains_key(text: str) -> bool:
    """Returns whether a text contains a key, percent-encoded or not.

    A text that is still percent-encoded after MAX_DECODING_ROUNDS counts as
    containing one.
    """
    for _ in range(MAX_DECODING_ROUNDS):
        if KEY_PATTERN.search(text):
            return True
        unquoted = urllib.parse.unquote(text)
        if unquoted == text:
            return False
        text = unquoted
    # Legitimate requests do not have so many layers of encoding; a key may be
    # hidden in them.
    return True


def bearer_credential(authorization: str) -> str | None:
    """Returns the bearer credential of an Authorization header, or None."""
    if not authorization.lower().startswith(BEARER_PREFIX):
        return None
    credential = authorization[len(BEARER_PREFIX) :].strip()
    return credential or None


def find_operator(token: str, operators: Mapping[str, str]) -> str | None:
    """Returns the operator whose token digest matches, or None.

    All digests are compared, each in constant time.

    Args:
        token: Token as received.
        operators: Operators' names by SHA-256 digest of their token in hex.
    """
    matching_operator = None
    received = digest(token)
    for token_digest, operator in operators.items():
        if hmac.compare_digest(token_digest, received):
            matching_operator = operator
    return matching_operator

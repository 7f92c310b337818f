"""HTTP calls to the platform and the mapping of their failures.

Calls are never retried here. Only failures before anything was sent, and the
service's status 503, mean that nothing took effect.
"""

from collections.abc import Iterator
import contextlib

import urllib3

from banyanshed import addresses
from banyanshed import exceptions

TIMEOUT_S = 2.0
POOL_SIZE = 16
OK = 200
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
EXPECTED_STATUSES = (OK, NOT_FOUND, CONFLICT)


class PlatformClient:
    """A connection pool for one service of the platform."""

    def __init__(self, address: str, timeout_s: float):
        """Creates a pool for "IP:port"; timeout_s limits one whole call."""
        self.pool = urllib3.HTTPConnectionPool(
            *addresses.split(address),
            timeout=urllib3.Timeout(total=timeout_s),
            maxsize=POOL_SIZE,
            retries=False,
        )

    def call(
        self, method: str, path: str, content: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Returns a complete response with status 200, 404 or 409.

        Raises:
            StoreUnavailable: Nothing was sent, or the service refused it.
            StoreTimeout: The call may have taken effect.
        """
        try:
            response = self.pool.urlopen(
                method, path, body=content, redirect=False
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise exceptions.StoreUnavailable(type(error).__name__) from error
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.StoreTimeout(type(error).__name__) from error
        if response.status == UNAVAILABLE:
            raise exceptions.StoreUnavailable("status 503")
        if response.status not in EXPECTED_STATUSES:
            raise exceptions.StoreTimeout(f"status {response.status}")
        return response

    def close(self) -> None:
        """Closes idle connections."""
        self.pool.close()


@contextlib.contextmanager
def malformed_as_timeout() -> Iterator[None]:
    """Raises StoreTimeout for a response that can not be decoded."""
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreTimeout("malformed response") from error

"""HTTP calls to the platform and the meaning of their failures.

A call is never repeated here. Only failures before anything was sent, and the
service's own refusal, count as "nothing took effect".
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
    """A pool of connections to one service of the platform."""

    def __init__(self, address: str, timeout_s: float):
        """Takes "IP:port" and the longest wait for a connection or answer."""
        self.pool = urllib3.HTTPConnectionPool(
            *addresses.split(address),
            timeout=urllib3.Timeout(total=timeout_s),
            maxsize=POOL_SIZE,
            retries=False,
        )

    def call(
        self, method: str, path: str, content: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Returns a whole answer of status 200, 404 or 409.

        Raises:
            StoreUnavailable: Nothing was sent, or the service refused it.
            StoreTimeout: It may have taken effect.
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
    """Turns an answer of the wrong form into StoreTimeout."""
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreTimeout("malformed answer") from error

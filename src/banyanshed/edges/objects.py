"""HTTP adapter of the platform's object store."""

import urllib.parse

from banyanshed import exceptions
from banyanshed.edges import platform_calls


class HttpObjectStore:
    """Implements `services.ObjectStore`; thread-safe."""

    def __init__(
        self, address: str, timeout_s: float = platform_calls.TIMEOUT_S
    ):
        """Creates a client of "IP:port"; timeout_s limits one call."""
        self.client = platform_calls.PlatformClient(address, timeout_s)

    def get(self, name: str) -> bytes | None:
        """Returns an object, or None if it does not exist."""
        response = self.client.call("GET", _path(name))
        if response.status == platform_calls.NOT_FOUND:
            return None
        return response.data

    def put(self, name: str, content: bytes) -> None:
        """Creates or replaces an object."""
        response = self.client.call("PUT", _path(name), content)
        if response.status != platform_calls.OK:
            raise exceptions.StoreTimeout(f"status {response.status}")

    def delete(self, name: str) -> None:
        """Deletes an object if it exists."""
        self.client.call("DELETE", _path(name))

    def close(self) -> None:
        """Closes idle connections."""
        self.client.close()


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name)

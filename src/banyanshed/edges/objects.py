"""HTTP adapter of the platform's object store."""

import urllib.parse

from banyanshed import exceptions
from banyanshed.edges import platform_calls


class HttpObjectStore:
    """Implements `platform.ObjectStore`; may be used by many threads."""

    def __init__(
        self, address: str, timeout_s: float = platform_calls.TIMEOUT_S
    ):
        """Takes "IP:port" of the service and the longest wait for a call."""
        self.client = platform_calls.PlatformClient(address, timeout_s)

    def get(self, name: str) -> bytes | None:
        """Returns an object, or None when there is none."""
        response = self.client.call("GET", _path(name))
        if response.status == platform_calls.NOT_FOUND:
            return None
        return response.data

    def put(self, name: str, content: bytes) -> None:
        """Writes or replaces an object."""
        response = self.client.call("PUT", _path(name), content)
        if response.status != platform_calls.OK:
            raise exceptions.StoreTimeout(f"status {response.status}")

    def delete(self, name: str) -> None:
        """Removes an object; absent ones are ignored."""
        self.client.call("DELETE", _path(name))

    def close(self) -> None:
        """Closes idle connections."""
        self.client.close()


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name)

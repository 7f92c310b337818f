"""HTTP adapter of the platform's object store."""

import urllib.parse

from banyanshed import exceptions
from banyanshed.edges import calls


class HttpObjectStore:
    """Implements `platform.ObjectStore`; may be used by many threads."""

    def __init__(self, address: str, timeout_s: float = calls.TIMEOUT_S):
        """Takes "IP:port" of the service and the longest wait for a call."""
        self.caller = calls.PlatformCaller(address, timeout_s)

    def get(self, name: str) -> bytes | None:
        """Returns an object, or None when there is none."""
        response = self.caller.call("GET", _path(name))
        if response.status == calls.NOT_FOUND:
            return None
        return response.data

    def put(self, name: str, content: bytes) -> None:
        """Writes or replaces an object."""
        response = self.caller.call("PUT", _path(name), content)
        if response.status != calls.OK:
            raise exceptions.StoreTimeout(f"status {response.status}")

    def delete(self, name: str) -> None:
        """Removes an object; absent ones are ignored."""
        self.caller.call("DELETE", _path(name))

    def close(self) -> None:
        """Closes idle connections."""
        self.caller.close()


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name)

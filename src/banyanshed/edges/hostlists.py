"""HTTP adapter of the platform's list of hosts."""

import json

from banyanshed.core import models
from banyanshed.edges import platform_calls


class HttpHostList:
    """Implements `services.HostList`; thread-safe."""

    def __init__(
        self, address: str, timeout_s: float = platform_calls.TIMEOUT_S
    ):
        """Creates a client of "IP:port"; timeout_s limits one call."""
        self.client = platform_calls.PlatformClient(address, timeout_s)

    def read(self) -> models.HostPage:
        """Returns the hosts that the platform lists."""
        response = self.client.call("GET", "/hosts")
        with platform_calls.malformed_as_timeout():
            page = json.loads(response.data)
            return models.HostPage(
                tuple(_host(entry) for entry in page["hosts"]),
                frozenset(page.get("leaving_backends", ())),
            )

    def close(self) -> None:
        """Closes idle connections."""
        self.client.close()


def _host(entry: dict[str, str]) -> models.ListedHost:
    return models.ListedHost(
        host=models.HostId(entry["host"]),
        region=models.RegionId(entry["region"]),
        zone=models.ZoneId(entry["zone"]),
        caller_address=entry["caller_address"],
        peer_address=entry["peer_address"],
        state=models.HostState(entry["state"]),
    )

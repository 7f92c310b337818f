"""HTTP adapter of the platform's list of hosts."""

import json

from banyanshed.core import models
from banyanshed.edges import platform_calls


class HttpHostList:
    """Implements `platform.HostList`; may be used by many threads."""

    def __init__(
        self, address: str, timeout_s: float = platform_calls.TIMEOUT_S
    ):
        """Takes "IP:port" of the service and the longest wait for a call."""
        self.client = platform_calls.PlatformClient(address, timeout_s)

    def read(self) -> models.HostPage:
        """Returns the hosts as the platform knows them."""
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

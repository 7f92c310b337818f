"""Rate limits that backend servers in need name in their responses.

Such a limit is the number of requests per second that a server takes from all
hosts together. It holds until a response of the server names none.
"""

import dataclasses

from banyanshed.steering import models


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of what this host knows of a server's limit, for logs.

    Attributes:
        server: The server.
        rate: Requests per second; None if the server no longer names a limit.
        previous: The rate known before; None if there was no limit.
    """

    server: models.ServerId
    rate: float | None
    previous: float | None


class ServerLimits:
    """Limits of the servers as known to one host."""

    def __init__(self) -> None:
        """Starts without limits."""
        self.rates: dict[models.ServerId, float] = {}

    def observe(
        self, server: models.ServerId, rate: float | None
    ) -> LimitChange | None:
        """Records what a server's response to this host says of its limit.

        Args:
            server: The server that responded.
            rate: The limit that it names; None if it names none.

        Returns:
            The change; None if the limit was known already.
        """
        previous = self.rates.get(server)
        if rate == previous:
            return None
        if rate is None:
            del self.rates[server]
        else:
            self.rates[server] = rate
        return LimitChange(server, rate, previous)

    def forget(self, server: models.ServerId) -> None:
        """Drops the limit of a removed or restarted server."""
        self.rates.pop(server, None)

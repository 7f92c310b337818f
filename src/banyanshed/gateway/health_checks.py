"""Asks backend servers for their health."""

import asyncio
from collections.abc import Callable
import contextlib

from banyanshed.gateway import clients
from banyanshed.gateway import lifecycles as lifecycles_lib
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import pools
from banyanshed.platform import headers as header_names
from banyanshed.steering import health_checks as health_checks_lib
from banyanshed.steering import models
from banyanshed.steering import reachability as reachability_lib
from banyanshed.steering import views

TICK_S = 0.1
# Timeout of a check, in seconds. Checks wait for a slot like requests.
CHECK_TIMEOUT_S = 1.0
# Status of a server that considers itself healthy.
HEALTHY_STATUS = 200


class HealthChecker:
    """Makes the health checks that are due."""

    def __init__(
        self,
        checks: health_checks_lib.HealthChecks,
        lifecycle_tracker: lifecycles_lib.LifecycleTracker,
        connection_pools: pools.ConnectionPools,
        reachability: reachability_lib.Reachability,
        is_outdated: Callable[[], bool],
    ):
        """Initializes the checker.

        Args:
            checks: Decides which servers are checked.
            lifecycle_tracker: Learns what the responses say.
            connection_pools: Connections to servers.
            reachability: Whether the host reaches any server.
            is_outdated: Returns whether the rows of the servers may be
                outdated.
        """
        self.checks = checks
        self.view = checks.view
        self.lifecycles = lifecycle_tracker
        self.connection_pools = connection_pools
        self.reachability = reachability
        self.is_outdated = is_outdated
        self.loop = asyncio.get_running_loop()
        self.running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Makes the checks until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                if not self.reachability.is_cut:
                    self._start_due()
        finally:
            for task in self.running:
                task.cancel()

    def _start_due(self) -> None:
        now = self.loop.time()
        for server in self.checks.take_due(self.is_outdated(), now):
            task = self.loop.create_task(self._check(server))
            self.running.add(task)
            task.add_done_callback(self.running.discard)

    async def _check(self, server: views.Server) -> None:
        entry = server.registration
        service = self.view.service_of(entry)
        if service is None:
            return
        # A removal that is read while the server is asked is not settled.
        doubt = self.view.lifecycles.find_doubt(entry)
        stays = False
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                connection = await self.connection_pools.acquire(
                    entry, True, self.loop.time()
                )
                self.lifecycles.record_reached(entry, service)
                with contextlib.ExitStack() as stack:
                    stack.callback(connection.abort)
                    if service.health_path:
                        stays = await self._ask(entry, service, connection)
                    stack.pop_all()
            self.connection_pools.release(entry.id, connection)
            if stays and doubt is not None:
                self.lifecycles.settle(entry, doubt, "health response")
        except clients.ConnectFailed:
            self.lifecycles.record_refusal(entry)
        except (clients.ResponseLost, TimeoutError) as error:
            logs.log_event(
                "health_check_failed",
                server=entry.id,
                error=str(error) or "timeout",
            )

    async def _ask(
        self,
        server: models.Registration,
        service: models.Service,
        connection: clients.Connection,
    ) -> bool:
        """Asks a server on a connection.

        Returns:
            Whether it is healthy and does not leave.

        Raises:
            ResponseLost: There was no response, or another server's.
        """
        host = f"{server.address[0]}:{server.address[1]}".encode()
        target = service.health_path.encode()
        request = messages.Request(b"GET", target, [(b"host", host)])
        response = await connection.send(request)
        if response.find(header_names.SERVER_ID) != server.id.encode():
            raise clients.ResponseLost("not the server's own health response")
        self.lifecycles.observe_health(server, response.headers)
        is_leaving = self.view.lifecycles.is_leaving(server)
        return response.status == HEALTHY_STATUS and not is_leaving

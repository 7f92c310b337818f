"""Finds out whether the host is cut off from the backend servers."""

import asyncio
import random

from banyanshed.gateway import clients
from banyanshed.gateway import logs
from banyanshed.gateway import pools
from banyanshed.steering import health as health_lib
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import reachability as reachability_lib
from banyanshed.steering import views

TICK_S = 0.1
# Timeout of a connection that checks the links, in seconds.
CHECK_TIMEOUT_S = 0.4


class CutDetector:
    """Checks the links to the servers while they are in doubt."""

    def __init__(
        self,
        reachability: reachability_lib.Reachability,
        view: views.View,
        health: health_lib.Health,
        fleet: members.Members,
        connection_pools: pools.ConnectionPools,
    ):
        """Initializes the detector.

        Args:
            reachability: What is known of the links.
            view: Known servers.
            health: Health of the servers as observed by this host.
            fleet: Tells the peers whether this host is cut off.
            connection_pools: Connections to servers.
        """
        self.reachability = reachability
        self.view = view
        self.health = health
        self.fleet = fleet
        self.connection_pools = connection_pools
        self.loop = asyncio.get_running_loop()
        self.check: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Checks the links whenever they are in doubt, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self.view.servers:
                continue
            if self.reachability.needs_check(self.loop.time()):
                await self._check()

    async def reaches_servers(self, lost: models.ServerId) -> bool:
        """Checks the links at once; returns whether a server answers.

        With fewer servers than a check connects to, all of them may have ended.

        Args:
            lost: Server that refuses connections.
        """
        self.reachability.record_connect_failure(lost)
        if len(self.view.servers) <= reachability_lib.CHECKED_SERVERS:
            return True
        if self.check is None:
            self.check = self.loop.create_task(self._check())
            self.check.add_done_callback(self._end_check)
        await asyncio.shield(self.check)
        return not self.reachability.is_cut

    def _end_check(self, task: asyncio.Task[None]) -> None:
        del task
        self.check = None

    async def _check(self) -> None:
        servers = reachability_lib.choose_checked(
            self.view,
            self.fleet.own.zone,
            self.reachability.failed,
            random.shuffle,
        )
        # One answer is enough, so the others are asked only without it.
        reached = await self._connect(servers[0])
        if not reached:
            rest = [self._connect(server) for server in servers[1:]]
            reached = any(await asyncio.gather(*rest))
        now = self.loop.time()
        if not self.reachability.record_check(reached, now):
            return
        logs.log_event(
            "servers_reachable" if reached else "servers_unreachable",
            checked=[server.registration.id for server in servers],
        )
        self.health.reset_observations(now)
        self.view.lifecycles.forget_refusals()
        self.fleet.set_cut(not reached)
        if not reached:
            self.connection_pools.drop_all()

    async def _connect(self, server: views.Server) -> bool:
        try:
            await self.connection_pools.check(
                server.registration, CHECK_TIMEOUT_S
            )
        except clients.ConnectFailed:
            return False
        return True

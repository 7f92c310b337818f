"""Finds out whether a server's process ended when a request was lost."""

import asyncio
import enum

import xxhash

from banyanshed.gateway import clients
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.gateway import pools
from banyanshed.platform import headers as header_names
from banyanshed.steering import models
from banyanshed.steering import routing

# Timeout of a connection that checks whether a server still runs, in seconds.
CHECK_TIMEOUT_S = 0.3


class Finding(enum.Enum):
    """State of a server after a connection to it was lost.

    Attributes:
        ENDED: Nothing listens at its address.
        RUNNING: It accepts connections.
        UNKNOWN: It can't be reached.
    """

    ENDED = "ended"
    RUNNING = "running"
    UNKNOWN = "unknown"


class CrashDetector:
    """Checks servers whose connections were lost, and logs what it finds."""

    def __init__(
        self,
        connection_pools: pools.ConnectionPools,
        counters: metrics.Metrics,
    ):
        """Initializes the detector.

        Args:
            connection_pools: Connections to backend servers.
            counters: Metrics to update.
        """
        self.connection_pools = connection_pools
        self.counters = counters
        self.loop = asyncio.get_running_loop()
        self.checks: dict[models.ServerId, asyncio.Task[Finding]] = {}
        self.examinations: set[asyncio.Task[None]] = set()

    def examine(
        self,
        request: messages.Request,
        plan: routing.Plan,
        server: models.Registration,
    ) -> asyncio.Task[None]:
        """Starts to find out whether a request was lost with its server."""
        task = self.loop.create_task(self._examine(request, plan, server))
        self.examinations.add(task)
        task.add_done_callback(self.examinations.discard)
        return task

    async def _examine(
        self,
        request: messages.Request,
        plan: routing.Plan,
        server: models.Registration,
    ) -> None:
        finding = await self._check(server)
        self.counters.count_lost_request(plan.service, finding.value)
        request_id = request.find(header_names.REQUEST_ID) or b""
        logs.log_event(
            "request_lost",
            request_id=request_id.decode("latin-1"),
            fingerprint=format_fingerprint(compute_fingerprint(request, plan)),
            server=server.id,
            service=plan.service,
            finding=finding.value,
        )

    async def _check(self, server: models.Registration) -> Finding:
        """Connects to a server, once for requests lost at the same time."""
        check = self.checks.get(server.id)
        if check is None:
            check = self.loop.create_task(self._connect(server))
            self.checks[server.id] = check
            check.add_done_callback(lambda _: self.checks.pop(server.id))
        return await asyncio.shield(check)

    async def _connect(self, server: models.Registration) -> Finding:
        try:
            connection = await clients.open_connection(
                server.address,
                CHECK_TIMEOUT_S,
                self.connection_pools.response_memory,
            )
        except clients.ConnectTimedOut:
            return Finding.UNKNOWN
        except clients.ConnectFailed:
            return Finding.ENDED
        self.connection_pools.release(server.id, connection)
        return Finding.RUNNING


def compute_fingerprint(
    request: messages.Request, plan: routing.Plan
) -> models.Fingerprint:
    """Returns a hash of the request's caller, method, host, path and body."""
    caller = plan.customer.name if plan.customer is not None else ""
    state = xxhash.xxh3_64()
    for part in (
        caller.encode(),
        request.method,
        request.find(b"host") or b"",
        request.target,
    ):
        state.update(len(part).to_bytes(4, "big"))
        state.update(part)
    state.update(request.body)
    return models.Fingerprint(state.intdigest())


def format_fingerprint(fingerprint: models.Fingerprint) -> str:
    """Returns a fingerprint as it stands in logs."""
    return f"{fingerprint:016x}"

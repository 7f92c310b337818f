"""Health probes of backend servers, in thread pools."""

import asyncio
import concurrent.futures
import contextlib
import time

from banyanshed.core import events
from banyanshed.core import probes
from banyanshed.edges import forwarding

PROBE_TIMEOUT_S = 0.5
PROBE_THREADS = 32
# Servers that did not respond to the last probe occupy a thread for the whole
# timeout.
UNRESPONSIVE_PROBE_THREADS = 8


class Prober:
    """Probes servers; unresponsive ones use a separate pool (a bulkhead)."""

    def __init__(self, exit_stack: contextlib.AsyncExitStack):
        """Creates the pools; the exit stack shuts them down."""
        self.pool = _open_pool(exit_stack, PROBE_THREADS)
        self.unresponsive_pool = _open_pool(
            exit_stack, UNRESPONSIVE_PROBE_THREADS
        )

    async def probe(
        self, probe: probes.Probe
    ) -> tuple[float, events.ProbeResult]:
        """Returns when a backend server was probed and the result."""
        loop = asyncio.get_running_loop()
        pool = self.unresponsive_pool if probe.unresponsive else self.pool
        return await loop.run_in_executor(pool, _run_probe, probe)


def _run_probe(probe: probes.Probe) -> tuple[float, events.ProbeResult]:
    sent_s = time.monotonic()
    try:
        return sent_s, forwarding.probe(probe.address, PROBE_TIMEOUT_S)
    except Exception:  # Without a result the server would not be probed again.
        return sent_s, events.ProbeResult(None, code="probe_failed")


def _open_pool(
    exit_stack: contextlib.AsyncExitStack, threads: int
) -> concurrent.futures.Executor:
    """Returns a pool whose shutdown cancels queued probes."""
    pool = concurrent.futures.ThreadPoolExecutor(threads)
    exit_stack.callback(pool.shutdown, cancel_futures=True)
    return pool

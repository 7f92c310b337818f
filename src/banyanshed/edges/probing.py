"""Asks backend servers for their health, in threads."""

import asyncio
import concurrent.futures
import contextlib
import time

from banyanshed.core import events
from banyanshed.core import probes
from banyanshed.edges import forwarding

PROBE_TIMEOUT_S = 0.5
PROBE_THREADS = 32
# Servers that did not answer last time keep threads for the whole timeout.
SILENT_PROBE_THREADS = 8


class Prober:
    """Threads that ask; silent servers can't take those of the others."""

    def __init__(self, exit_stack: contextlib.AsyncExitStack):
        """Starts the threads; they end with the exit stack."""
        self.pool = _open_pool(exit_stack, PROBE_THREADS)
        self.silent_pool = _open_pool(exit_stack, SILENT_PROBE_THREADS)

    async def probe(
        self, probe: probes.Probe
    ) -> tuple[float, events.ProbeResult]:
        """Returns when a backend server was asked and what was learnt."""
        loop = asyncio.get_running_loop()
        pool = self.silent_pool if probe.unresponsive else self.pool
        return await loop.run_in_executor(pool, _run_probe, probe)


def _run_probe(probe: probes.Probe) -> tuple[float, events.ProbeResult]:
    sent_s = time.monotonic()
    try:
        return sent_s, forwarding.probe(probe.address, PROBE_TIMEOUT_S)
    except Exception:  # A probe that is not accounted for would be the last.
        return sent_s, events.ProbeResult(None, code="probe_failed")


def _open_pool(
    exit_stack: contextlib.AsyncExitStack, threads: int
) -> concurrent.futures.Executor:
    """Returns a pool that does not wait for queued probes at its end."""
    pool = concurrent.futures.ThreadPoolExecutor(threads)
    exit_stack.callback(pool.shutdown, cancel_futures=True)
    return pool

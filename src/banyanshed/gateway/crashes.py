"""Keeps requests that crash backend servers from reaching more of them.

After a lost connection the host finds out whether the server's process ended,
tells its peers which request was in flight there, and stops the copies of a
request that is refused.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Iterator
import contextlib
import enum

import xxhash

from banyanshed.gateway import clients
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.gateway import peer_messages
from banyanshed.gateway import pools
from banyanshed.platform import headers as header_names
from banyanshed.steering import models
from banyanshed.steering import routing
from banyanshed.steering import suspects as suspects_lib

# Timeout of a connection that checks whether a server still runs, in seconds.
CHECK_TIMEOUT_S = 0.3
# Pause before a request is sent again after its server ended, in seconds: peers
# may tell that copies of it ended other servers at the same time.
RETRY_PAUSE_S = 0.06
# Pause in which news for peers gather, in seconds.
NEWS_PAUSE_S = 0.02
# How long a host that claims a trial listens for claims of others, in seconds.
CLAIM_WAIT_S = 0.2
# Least time after which a caller is told to come back, in seconds.
MIN_RETRY_AFTER_S = 0.3
REFUSED = "crashes_servers"


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
    """Examines lost requests, and refuses those that crash servers.

    Attributes:
        suspects: What is known of such requests.
        announce: Tells peers at once what is new; set by the host.
        reaches_servers: Returns whether the host reaches any server but the
            given one; set by the host.
        record_refusal: Called with a server whose process has ended; set by
            the host.
    """

    def __init__(
        self,
        suspects: suspects_lib.Suspects,
        connection_pools: pools.ConnectionPools,
        counters: metrics.Metrics,
    ):
        """Initializes the detector.

        Args:
            suspects: What is known of requests that crash servers.
            connection_pools: Connections to backend servers.
            counters: Metrics to update.
        """
        self.suspects = suspects
        self.connection_pools = connection_pools
        self.counters = counters
        self.loop = asyncio.get_running_loop()
        self.announce: Callable[[], None] = lambda: None
        self.reaches_servers: Callable[[models.ServerId], Awaitable[bool]]
        self.reaches_servers = _assume_reached
        self.record_refusal: Callable[[models.Registration], None]
        self.record_refusal = lambda server: None
        self.checks: dict[models.ServerId, asyncio.Task[Finding]] = {}
        self.examinations: set[asyncio.Task[None]] = set()
        self.is_announcing = False
        self.in_flight: dict[models.Fingerprint, set[clients.Connection]] = {}

    def is_refused(self, fingerprint: models.Fingerprint) -> bool:
        """Returns whether a request is refused, but for trials."""
        return self.suspects.is_refused(fingerprint)

    def retry_after_s(self, fingerprint: models.Fingerprint) -> float:
        """Returns the seconds until a refused request may be tried again."""
        wait_s = self.suspects.wait_s(fingerprint, self.loop.time())
        return max(MIN_RETRY_AFTER_S, wait_s)

    async def claim_trial(self, fingerprint: models.Fingerprint) -> bool:
        """Returns whether this request is the trial of all hosts together."""
        if not self.suspects.claim_trial(fingerprint, self.loop.time()):
            return False
        self._tell_peers()
        await asyncio.sleep(CLAIM_WAIT_S)
        is_own = self.suspects.owns_trial(fingerprint)
        logs.log_event(
            "trial_claimed",
            fingerprint=format_fingerprint(fingerprint),
            is_own=is_own,
        )
        return is_own

    async def wait_for_judgement(self, fingerprint: models.Fingerprint) -> None:
        """Waits until the evidence of all hosts on a request is known."""
        while True:
            pending_s = self.suspects.pending_s(fingerprint, self.loop.time())
            if pending_s <= 0.0:
                break
            await asyncio.sleep(pending_s)
        if self.suspects.is_suspected(fingerprint):
            self.judge()

    @contextlib.contextmanager
    def track(
        self,
        fingerprint: models.Fingerprint,
        connection: clients.Connection,
    ) -> Iterator[None]:
        """Tracks a request in flight, so that it can be stopped."""
        connections = self.in_flight.setdefault(fingerprint, set())
        connections.add(connection)
        try:
            yield
        finally:
            connections.discard(connection)
            if not connections:
                self.in_flight.pop(fingerprint, None)

    def record_answer(self, fingerprint: models.Fingerprint) -> None:
        """Records that a server answered a request."""
        now = self.loop.time()
        self._apply(self.suspects.record_answer(fingerprint, now))

    def apply_reports(
        self, reports: Iterable[suspects_lib.SuspectReport]
    ) -> None:
        """Applies what a peer reports."""
        now = self.loop.time()
        self._apply(self.suspects.apply_reports(reports, now))

    def judge(self) -> None:
        """Judges what is known by now."""
        self._apply(self.suspects.judge(self.loop.time()))

    def examine(
        self,
        request: messages.Request,
        fingerprint: models.Fingerprint,
        plan: routing.Plan,
        server: models.Registration,
    ) -> asyncio.Task[None]:
        """Starts to find out whether a request was lost with its server."""
        examination = self._examine(request, fingerprint, plan, server)
        task = self.loop.create_task(examination)
        self.examinations.add(task)
        task.add_done_callback(self.examinations.discard)
        return task

    async def _examine(
        self,
        request: messages.Request,
        fingerprint: models.Fingerprint,
        plan: routing.Plan,
        server: models.Registration,
    ) -> None:
        finding = await self._check(server)
        if finding is Finding.ENDED:
            # If the host's own links failed, the server may run.
            reached = await self.reaches_servers(server.id)
            finding = Finding.ENDED if reached else Finding.UNKNOWN
        self.counters.count_lost_request(plan.service, finding.value)
        request_id = request.find(header_names.REQUEST_ID) or b""
        logs.log_event(
            "request_lost",
            request_id=request_id.decode("latin-1"),
            fingerprint=format_fingerprint(fingerprint),
            server=server.id,
            service=plan.service,
            finding=finding.value,
        )
        if finding is not Finding.ENDED:
            return
        self.record_refusal(server)
        process = peer_messages.hash_process(server.id, server.started_ms)
        now = self.loop.time()
        self._apply(self.suspects.record_ending(fingerprint, process, now))
        await asyncio.sleep(RETRY_PAUSE_S)

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
            await self.connection_pools.check(server, CHECK_TIMEOUT_S)
        except clients.ConnectTimedOut:
            return Finding.UNKNOWN
        except clients.ConnectFailed:
            return Finding.ENDED
        return Finding.RUNNING

    def _apply(self, judgements: Iterable[suspects_lib.Judgement]) -> None:
        for judgement in judgements:
            self.counters.count_judgement(judgement.change.value)
            logs.log_event(
                "request_judged",
                fingerprint=format_fingerprint(judgement.fingerprint),
                change=judgement.change.value,
                endings=judgement.endings,
                refusals=judgement.refusals,
            )
            if judgement.change is suspects_lib.Change.REFUSED:
                self._stop_copies(judgement.fingerprint)
        self._tell_peers()

    def _stop_copies(self, fingerprint: models.Fingerprint) -> None:
        """Ends copies in flight; most servers then drop those in a queue."""
        for connection in list(self.in_flight.get(fingerprint, ())):
            connection.terminate(REFUSED)

    def _tell_peers(self) -> None:
        if not self.suspects.news or self.is_announcing:
            return
        self.is_announcing = True
        self.loop.call_later(NEWS_PAUSE_S, self._announce)

    def _announce(self) -> None:
        self.is_announcing = False
        self.announce()


async def _assume_reached(lost: models.ServerId) -> bool:
    del lost
    return True


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

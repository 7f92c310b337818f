"""The daemon `banyanshed-entry`: sockets, timers and threads for the core."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Mapping
import concurrent.futures
import contextlib
import functools
import pathlib
import random
import secrets
import signal
import sys
import time
from typing import Any, TypeVar

from absl import app
from absl import flags
import capnp

from banyanshed import exceptions
from banyanshed import settings as settings_module
from banyanshed.core import configuration
from banyanshed.core import deltas
from banyanshed.core import entry as entries
from banyanshed.core import handover
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import probes
from banyanshed.core import requests
from banyanshed.core import rows
from banyanshed.core import sessions
from banyanshed.core import shares
from banyanshed.edges import bridge as bridges
from banyanshed.edges import forwarding
from banyanshed.edges import hostlists
from banyanshed.edges import ledger as ledgers
from banyanshed.edges import logs
from banyanshed.edges import mirrors
from banyanshed.edges import objects
from banyanshed.edges import operators
from banyanshed.edges import peer_clients
from banyanshed.edges import peer_servers
from banyanshed.edges import peering
from banyanshed.edges import peers
from banyanshed.edges import probing
from banyanshed.edges import server
from banyanshed.edges import serving
from banyanshed.edges import tables
from banyanshed.edges import telemetry as telemetry_module
from banyanshed.edges import timers
from banyanshed.edges import web

SETTINGS = flags.DEFINE_string("settings", None, "YAML settings file.")

# Intervals in seconds of what the event loop repeats: steps of the share
# holder, heartbeats, serving waiting requests, the same while none wait,
# reading the host list of the platform, and flushing the ledger.
SHARE_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.1
TRAFFIC_INTERVAL_S = 0.02
IDLE_TRAFFIC_INTERVAL_S = 0.1
HOST_LIST_INTERVAL_S = 2.0
FLUSH_INTERVAL_S = 1.0
# For a graceful stop, in seconds: interval of checks for requests in flight;
# maximum time to return a session; time after which it is handed over to a peer
# instead; and interval of attempts at that.
IN_FLIGHT_POLL_INTERVAL_S = 0.02
SESSION_RETURN_TIMEOUT_S = 5.0
HANDOVER_AFTER_S = 1.5
HANDOVER_INTERVAL_S = 0.2
# Maximum random deviation of an interval, as a fraction of it.
POLL_JITTER = 0.3
EXIT_BAD_SETTINGS = 2

T = TypeVar("T")


class Daemon:
    """The process of one entry host."""

    def __init__(self, settings: settings_module.Settings):
        """Creates all components without starting them."""
        self.settings = settings
        self.host = settings.host_id()
        self.rng = random.Random(secrets.randbits(64))
        self.entry = entries.EntryHost(settings, self.rng, time.monotonic())
        self.telemetry = telemetry_module.Telemetry()
        timeout_s = settings.platform.timeout_s
        self.table = tables.HttpTable(
            settings.platform.table_address, timeout_s
        )
        self.objects = objects.HttpObjectStore(
            settings.platform.objects_address, timeout_s
        )
        self.host_list = hostlists.HttpHostList(
            settings.platform.hosts_address, timeout_s
        )
        # Shares are scanned before sessions: a share row names only sessions
        # that were written before it.
        self.mirror = mirrors.TableMirror(
            self.table, (shares.SHARE_PREFIX, sessions.SESSION_PREFIX)
        )
        self.ledger = ledgers.Ledger(self.table, self.objects)
        self.forwarder = forwarding.Forwarder()
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.share_timer = self._make_timer(
            self.move_shares, self._share_delay_s
        )
        self.traffic_timer = self._make_timer(
            self.step_traffic, self._traffic_delay_s
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
        async with capnp.kj_loop(), contextlib.AsyncExitStack() as exit_stack:
            await self._start(exit_stack)
            print(f"listening {self.settings.caller_address}", flush=True)
            await self.stopping.wait()
            await self._stop_gracefully()
        logs.log("stopped", host=self.settings.host)

    async def _start(self, exit_stack: contextlib.AsyncExitStack) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        self.bridge = bridges.LoopBridge(loop, self._handle)
        self.platform_pool = exit_stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(
                self.settings.platform_threads
            )
        )
        self.prober = probing.Prober(exit_stack)
        for adapter in (self.table, self.objects, self.host_list):
            exit_stack.callback(adapter.close)
        exit_stack.enter_context(self.forwarder)
        await self._start_peers(exit_stack)
        self._start_timers(exit_stack)
        await self._await_configuration()
        self._start_server(exit_stack)
        logs.log(
            "started",
            host=self.settings.host,
            incarnation=str(self.entry.incarnation),
        )

    async def _start_peers(self, exit_stack: contextlib.AsyncExitStack) -> None:
        secret = self.settings.fleet_secret.get_secret_value().encode()
        self.client = await exit_stack.enter_async_context(
            peer_clients.PeerClient(self.entry.host, secret, self.rng)
        )
        self.peering = peering.Peering(
            self.entry.gossip,
            self.client,
            self,
            self.entry.shares,
            time.monotonic,
            self.entry.adopted_sessions,
        )
        peer_server = await exit_stack.enter_async_context(
            peer_servers.PeerServer(self.entry.host, secret, self.peering)
        )
        await peer_server.start(self.settings.peer_address)
        await exit_stack.enter_async_context(self.peering)

    def _start_timers(self, exit_stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        actions: list[tuple[float, Callable[[], Awaitable[None]]]] = [
            (settings.poll_interval_s, self.poll_configuration),
            (settings.gossip_interval_s, self.refresh),
            (HOST_LIST_INTERVAL_S, self.read_hosts),
            (HEARTBEAT_INTERVAL_S, self.send_heartbeats),
            (FLUSH_INTERVAL_S, self.flush_ledger),
            (ledgers.SWEEP_INTERVAL_S, self.sweep_ledger),
        ]
        started = [self.share_timer, self.traffic_timer]
        for interval_s, action in actions:
            next_delay_s = functools.partial(self._jittered, interval_s)
            started.append(self._make_timer(action, next_delay_s))
        for timer in started:
            task = asyncio.create_task(timer.run())
            exit_stack.push_async_callback(_cancel, task)

    def _make_timer(
        self,
        action: Callable[[], Awaitable[None]],
        delay_s: Callable[[], float],
    ) -> timers.Timer:
        return timers.Timer(
            functools.partial(self._run_action, action), delay_s
        )

    async def _run_action(self, action: Callable[[], Awaitable[None]]) -> None:
        """Runs a timer's action; an exception must not end the timer."""
        name = getattr(action, "__name__", "action")
        try:
            await action()
        except exceptions.BanyanshedError as error:
            self._log_failure(name, error)
        except Exception as error:
            logs.log("timer_failed", action=name, error=repr(error))

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self.rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    def _on_changed(self) -> None:
        """Brings the timers forward after rows or drains changed."""
        self._schedule_due_work()
        self.traffic_timer.bring_forward(time.monotonic())

    def _share_delay_s(self) -> float:
        """Returns the seconds until the share holder has a request to send."""
        wait_s = self.entry.shares.due_s() - time.monotonic()
        return max(wait_s, self._jittered(SHARE_INTERVAL_S))

    def _traffic_delay_s(self) -> float:
        """Returns the seconds to the next run; longer while nothing waits."""
        if self.entry.traffic.has_waiting:
            return self._jittered(TRAFFIC_INTERVAL_S)
        return self._jittered(IDLE_TRAFFIC_INTERVAL_S)

    def _schedule_due_work(self) -> None:
        """Brings forward the timers for which the core has work."""
        self.share_timer.bring_forward(self.entry.shares.due_s())
        if self.entry.traffic.has_waiting:
            at_s = time.monotonic() + TRAFFIC_INTERVAL_S
            self.traffic_timer.bring_forward(at_s)

    def _log_failure(
        self, call: str, error: exceptions.BanyanshedError
    ) -> None:
        self.telemetry.platform_errors.labels(call, error.code).inc()
        logs.log("call_failed", call=call, code=error.code)

    def _start_server(self, exit_stack: contextlib.AsyncExitStack) -> None:
        self.requests = serving.RequestServer(
            self.bridge, self.forwarder, self.ledger
        )
        server.start(
            exit_stack,
            self.settings,
            web.CallerApplication(self, self.settings.body_limit_bytes),
            operators.OperatorPages(self.table, self, self.settings.operators),
            server.PublicPages(self, self.telemetry),
        )

    async def _await_configuration(self) -> None:
        """Waits for the first configuration, from the store or a peer."""
        while not self.stopping.is_set():
            if self.entry.freshness.confirmed_at_s > float("-inf"):
                return
            if self.entry.config.version > 0:
                return
            await asyncio.sleep(SHARE_INTERVAL_S)

    # Graceful shutdown.

    async def _stop_gracefully(self) -> None:
        """Leaves the fleet, finishes requests and returns all shares."""
        started_s = time.monotonic()
        end_s = started_s + self.settings.stop_timeout_s
        logs.log("stopping", host=self.settings.host)
        self.entry.leave()
        await self.peering.leave()
        self.entry.refresh(time.monotonic())
        # Callers may use a cached look-up until its time to live expires.
        ttl_s = self.settings.lookup_ttl_s + self.settings.gossip_interval_s
        await asyncio.sleep(ttl_s)
        self.entry.traffic.close()
        while self.entry.traffic.in_flight and time.monotonic() < end_s:
            await asyncio.sleep(IN_FLIGHT_POLL_INTERVAL_S)
        await self._call_platform(self.ledger.flush)
        await self._return_sessions()

    async def _return_sessions(self) -> None:
        await asyncio.gather(
            *(
                self._return_session(holder)
                for holder in self.entry.shares.all_holders()
            )
        )

    async def _return_session(self, holder: leases.ShareHolder) -> None:
        """Returns one session to the table, or hands it over to a peer.

        The handover is tried from HANDOVER_AFTER_S on, in case the table
        service is down.
        """
        started_s = time.monotonic()
        holder.release_all(started_s)
        self._schedule_due_work()
        outgoing = handover.OutgoingHandover(holder)
        while time.monotonic() < started_s + SESSION_RETURN_TIMEOUT_S:
            if holder.phase is leases.Phase.RETURNED:
                return
            if time.monotonic() < started_s + HANDOVER_AFTER_S:
                await asyncio.sleep(SHARE_INTERVAL_S)
                continue
            await self.peering.hand_over(outgoing)
            if outgoing.state is handover.HandoverState.TAKEN:
                break
            await asyncio.sleep(HANDOVER_INTERVAL_S)
        receiver = None if outgoing.receiver is None else outgoing.receiver[0]
        logs.log(
            "shares_not_returned",
            host=self.settings.host,
            session=holder.session,
            given=outgoing.state.value,
            receiver=receiver,
        )

    # Platform.

    async def _call_platform(self, function: Callable[..., T], *args: Any) -> T:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.platform_pool, function, *args)

    async def poll_configuration(self) -> None:
        """Reads the current version, and the rows if it is newer."""
        now_s = time.monotonic()
        entry = self.entry
        page = await self._call_platform(self.table.read, [rows.HEAD_KEY])
        self._observe_clock(now_s, page)
        newest = page.rows[0].version
        if newest > entry.config.version:
            newest, now_s = await self._scan_configuration()
        self.peering.on_store_read(now_s, newest)

    async def _scan_configuration(self) -> tuple[int, float]:
        """Applies newer rows; returns their version and when it was requested.

        The time is in monotonic seconds, from before the scan was sent.
        """
        sent_s = time.monotonic()
        since = self.entry.config.version
        page = await self._call_platform(
            self.table.scan, rows.CONFIG_PREFIX, since
        )
        self._observe_clock(sent_s, page)
        delta = configuration.delta_from_page(page, since)
        self.entry.apply_delta(time.monotonic(), delta)
        self._on_changed()
        return delta.version, sent_s

    def _observe_clock(self, sent_s: float, page: models.TablePage) -> None:
        self.entry.on_store_clock(sent_s, time.monotonic(), page.now_s)

    async def read_hosts(self) -> None:
        """Reads the platform's list of hosts."""
        page = await self._call_platform(self.host_list.read)
        self.entry.on_hosts(time.monotonic(), page)

    async def move_shares(self) -> None:
        """Sends one request of each share holder to the table service."""
        await asyncio.gather(
            *(
                self._perform_request(holder)
                for holder in self.entry.shares.all_holders()
            )
        )
        self.entry.adopted_sessions.remove_returned()

    async def _perform_request(self, holder: leases.ShareHolder) -> None:
        request = holder.next_request(time.monotonic())
        if request is None:
            return
        try:
            if isinstance(request, leases.ReadRequest):
                page = await self._call_platform(self.mirror.read, request.keys)
                holder.on_page(time.monotonic(), page)
                # Released units may let waiting requests be placed.
                self.traffic_timer.bring_forward(time.monotonic())
                return
            self.telemetry.transactions.labels("shares").inc()
            commit = await self._call_platform(self.table.transact, request)
            holder.on_commit(time.monotonic(), commit)
            self.traffic_timer.bring_forward(time.monotonic())
        except exceptions.ConditionFailed as error:
            holder.on_conflict(time.monotonic(), error.rows)
        except exceptions.StoreUnavailable:
            holder.on_unavailable(time.monotonic())
        except exceptions.StoreTimeout:
            holder.on_answer_lost(time.monotonic())

    async def flush_ledger(self) -> None:
        """Retries ledger writes that the platform did not accept."""
        if self.ledger.pending:
            await self._call_platform(self.ledger.flush)

    async def sweep_ledger(self) -> None:
        """Deletes some expired claims."""
        await self._call_platform(self.ledger.sweep, self.rng)

    # Peers.

    def version(self) -> int:
        """Returns the configuration version in force, for peers."""
        return self.entry.config.version

    def encode_delta(self, version: int) -> peers.Delta:
        """Returns the rows changed after a version, for a peer."""
        delta = self.entry.config.delta_since(models.ConfigVersion(version))
        return peers.Delta(delta.version, deltas.encode(delta))

    def apply_delta(self, delta: peers.Delta) -> None:
        """Applies a peer's rows; raises PeerError if they are malformed."""
        found = deltas.decode(delta.content)
        self.entry.apply_delta(time.monotonic(), found)
        self._on_changed()

    async def refresh(self) -> None:
        """Applies changes of membership and of planned drains."""
        drained = self.entry.drained
        self.entry.refresh(time.monotonic())
        if self.entry.drained != drained:
            self._on_changed()

    async def send_heartbeats(self) -> None:
        """Sends due heartbeats to the witnesses of this host's sessions."""
        for holder in self.entry.shares.all_holders():
            self._send_heartbeats_of(holder, time.monotonic())

    def _send_heartbeats_of(
        self, holder: leases.ShareHolder, now_s: float
    ) -> None:
        for host, heartbeat in holder.heartbeats(now_s):
            if host == self.host:
                answer = self.entry.shares.on_heartbeat(now_s, heartbeat)
                holder.on_acknowledgement(now_s, answer)
                continue
            member = self.entry.members.members.get(host)
            if member is None:
                continue
            address = member.profile.peer_address
            self._spawn(self._send_heartbeat(holder, address, heartbeat))

    async def _send_heartbeat(
        self,
        holder: leases.ShareHolder,
        address: str,
        heartbeat: sessions.Heartbeat,
    ) -> None:
        with contextlib.suppress(exceptions.PeerError):
            answer = await self.client.heartbeat(address, heartbeat)
            holder.on_acknowledgement(time.monotonic(), answer)

    def _spawn(self, action: Any) -> None:
        task = asyncio.ensure_future(action)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Traffic.

    def _handle(self, event: Any) -> None:
        self.entry.traffic.handle(event, time.monotonic())
        self._schedule_due_work()

    async def step_traffic(self) -> None:
        """Serves waiting requests and probes backend servers that are due."""
        now_s = time.monotonic()
        self.entry.traffic.tick(now_s)
        self._schedule_due_work()
        for probe in self.entry.traffic.probes.due_probes(now_s):
            self._spawn(self._probe(probe))

    async def _probe(self, probe: probes.Probe) -> None:
        sent_s, result = await self.prober.probe(probe)
        self.entry.traffic.probes.record_result(
            time.monotonic(), sent_s, probe, result
        )

    # Called from pool threads.

    def lookup(
        self, client: str, tenant: str | None, service: str
    ) -> Mapping[str, Any] | models.Refusal:
        """Returns the response to a look-up."""
        self.telemetry.lookups.inc()
        return self.bridge.run(
            lambda: self.entry.look_up(client, tenant, service)
        )

    def serve(
        self, request: requests.CallerRequest, arrived_s: float
    ) -> requests.Answer | models.Refusal:
        """Serves a request and counts its outcome."""
        answer = self.requests.serve(request, arrived_s)
        if isinstance(answer, models.Refusal):
            self.telemetry.refusals.labels(
                self._known_service(request.service),
                answer.code,
                answer.ran.value,
            ).inc()
            return answer
        self.telemetry.answers.labels(request.service).inc()
        self.telemetry.latency.labels(request.service).observe(
            time.monotonic() - arrived_s
        )
        return answer

    def _known_service(self, service: models.ServiceId) -> str:
        # A label per unknown name would let the metrics grow without bound.
        return service if service in self.entry.config.services else "unknown"

    def health(self) -> dict[str, Any]:
        """Returns whether this host takes new callers."""
        return self.bridge.run(self._health)

    def _health(self) -> dict[str, Any]:
        return {
            "state": "leaving" if self.entry.leaving else "live",
            "host": self.settings.host,
            "config_version": self.entry.config.version,
        }

    def sample_gauges(self) -> None:
        """Updates the gauges to the current state."""
        self.bridge.run(self._sample_gauges)

    def _sample_gauges(self) -> None:
        entry = self.entry
        telemetry = self.telemetry
        age_s = entry.freshness.config_age_s(time.monotonic())
        telemetry.config_version.set(entry.config.version)
        telemetry.config_age.set(age_s)
        telemetry.in_flight.set(entry.traffic.in_flight)
        telemetry.waiting.set(len(entry.traffic.queue))
        telemetry.retries.set(entry.traffic.retry_count)
        peers_by_state = collections.Counter(
            host.state for host in entry.known_hosts() if host.host != self.host
        )
        for state in models.HostState:
            telemetry.peers.labels(state.value).set(peers_by_state[state])

    def state_dump(self) -> dict[str, Any]:
        """Returns the state of this daemon as JSON data."""
        return self.bridge.run(self._state)

    def _state(self) -> dict[str, Any]:
        state = self.entry.state(time.monotonic())
        state["ledger"] = {
            "pending": len(self.ledger.pending),
            "results": dict(self.ledger.results),
        }
        return state

    def hosts(self) -> tuple[models.ListedHost, ...]:
        """Returns all known entry hosts with their states."""
        return self.bridge.run(self.entry.known_hosts)

    def inspect(
        self, function: Callable[[configuration.Configuration], T]
    ) -> T:
        """Runs a function on the configuration in the event loop's thread."""
        return self.bridge.run(lambda: function(self.entry.config))

    def apply(self, delta: configuration.ConfigDelta) -> None:
        """Applies rows that an operator changed through this host."""
        self.bridge.run(lambda: self._apply(delta))

    def _apply(self, delta: configuration.ConfigDelta) -> None:
        self.entry.apply_delta(time.monotonic(), delta)
        self._on_changed()
        self.peering.on_version()


async def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def main(argv: list[str]) -> int | None:
    """Runs the daemon; returns exit code 2 if the settings are invalid."""
    del argv
    try:
        text = pathlib.Path(SETTINGS.value).read_text(encoding="utf-8")
        settings = settings_module.load(text)
    except exceptions.InvalidInput as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.start()
    asyncio.run(Daemon(settings).run())
    return None


def run() -> None:
    """Entry point of the program."""
    flags.mark_flag_as_required("settings")
    app.run(main)


if __name__ == "__main__":
    run()

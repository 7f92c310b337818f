"""An entry host's process: creates, runs and stops its components."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import sys
import time
from urllib import parse

from absl import app
from absl import flags
import msgspec

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import clients
from banyanshed.gateway import crashes
from banyanshed.gateway import cuts
from banyanshed.gateway import feeds
from banyanshed.gateway import forwarding
from banyanshed.gateway import gossip as gossip_lib
from banyanshed.gateway import health_checks
from banyanshed.gateway import lifecycles
from banyanshed.gateway import limits as limits_lib
from banyanshed.gateway import listeners
from banyanshed.gateway import logs
from banyanshed.gateway import memory
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.gateway import peer_forwarding
from banyanshed.gateway import pools
from banyanshed.gateway import sources
from banyanshed.gateway import table_sync
from banyanshed.platform import settings as settings_lib
from banyanshed.platform import store as store_lib
from banyanshed.platform import wire
from banyanshed.steering import budgets
from banyanshed.steering import cold
from banyanshed.steering import health
from banyanshed.steering import health_checks as health_checks_lib
from banyanshed.steering import limits as server_limits
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import partitions
from banyanshed.steering import placement
from banyanshed.steering import quotas
from banyanshed.steering import reachability
from banyanshed.steering import relays
from banyanshed.steering import routing
from banyanshed.steering import suspects
from banyanshed.steering import throttling
from banyanshed.steering import views
from banyanshed.steering import waits
from banyanshed.steering import warmth

METRICS_PORT = flags.DEFINE_integer(
    "metrics_port", 9100, "Port of the metrics page.", 1, 65535
)
HOST_TABLE = "hosts"
# How long callers may cache the directory's answer, in seconds, unless the
# setting directory_ttl_max_s is less.
DIRECTORY_TTL_S = 1.5
# Interval of housekeeping while the host starts, in seconds; short, so that the
# host becomes ready soon after it has read the tables.
STARTING_CHECK_S = 0.02
# Interval at which the settings file is checked for changes, in seconds.
SETTINGS_CHECK_S = 1.0
# Interval at which a host that stops checks for idle connections, in seconds.
STOP_CHECK_S = 0.02
# Settings that a reload replaces; the others take effect at the next start.
RELOADABLE = frozenset(
    {"seeds", "memory_bytes", "stop_s", "bounds", "directory_ttl_max_s"}
    | {"retries"}
)
# Fractions of the setting stop_s, the time between SIGTERM and SIGKILL, both
# counted from the start of the graceful stop. After the first, the host accepts
# no more connections; until then, callers and peers learn that it is leaving.
# After the second, it answers the requests still in flight itself; the third
# is the time for these responses to be sent.
ACCEPT_SHARE = 0.5
FINISH_SHARE = 0.87
FLUSH_SHARE = 0.04
# Shares of the memory for request bodies and for buffered responses. Up to
# three copies of a response exist while it is forwarded.
MEMORY_SHARE_FOR_BODIES = 0.25
MEMORY_SHARE_FOR_RESPONSES = 0.15
# Size of the headers that peers add to callers' requests, in bytes.
PEER_HEADER_BYTES = 1024
# Interval at which the host retries to announce itself in the host table while
# the store does not answer.
ANNOUNCE_RETRY_S = 1.0
# After a restore of the store, each host writes its row again at a random
# moment within this time, in seconds, so that not all write at once.
ANNOUNCE_SPREAD_S = 4.0
# How long a starting host waits for a first heartbeat of a peer, which may know
# rows that the store has lost, in seconds.
PEER_CHECK_S = 1.0
# Time within which a ready peer replies to a starting host, in seconds.
PEER_REPLY_S = 0.25


class HostRow(msgspec.Struct):
    """A host's row in the store.

    Attributes:
        ip: IP address of the host.
        zone: Its availability zone.
        started_ms: Unix time of its process's start in milliseconds.
    """

    ip: str
    zone: str
    started_ms: int


class Host:
    """One entry host.

    Attributes:
        settings: Settings in force; a reload replaces those in RELOADABLE.
        metrics_port: Port of the metrics page.
        loop: The event loop that runs all components.
        waits: Timeouts and intervals that follow from the platform's bounds.
        counters: Metrics of this host.
        fleet: Known hosts, this one included.
        view: Configuration and backend servers in force.
        health: Health of backend servers as observed by this host.
        quotas: Rate limits of customers.
        caps: Limits all servers while this host is partitioned.
        placing: Chooses backend servers.
        router: Finds the route, the service and the customer of a request.
        response_memory: Limits the memory of buffered responses.
        connection_pools: Connections to backend servers.
        reachability: Whether the host reaches any server.
        cut_detector: Checks that while it is in doubt.
        health_checker: Asks servers for what their rows may not say.
        peer_pools: Connections to peers for requests that are passed on.
        peer_forwarder: Passes requests on to peers.
        retries: Budget of retries.
        limit_tracker: Learns the limits that backend servers name.
        lifecycle_tracker: Learns which servers leave or are cold.
        crash_detector: Refuses requests that crash backend servers.
        forwarder: Serves callers' requests.
        listener: State of the connections of callers.
        applier: Applies changes of the tables to the view.
        mirrors: Copies of the platform's tables, by table.
        store: Client of the platform's store.
        relays: Relays between regions, and this host's work as one.
        gossip: Exchanges heartbeats with peers.
        table_sync: Exchanges copies of the tables with peers.
        sources: Where the tables are read from: the store or a peer.
        stopping: Set once the host is to stop.
        reload_requested: Set by SIGHUP until the settings are read again.
        peer_listener: State of the connections of peers; set when opened.
        server: Server of the listener for callers; set when it is opened.
    """

    def __init__(self, settings: settings_lib.HostSettings, metrics_port: int):
        """Creates the components; no sockets are opened yet."""
        self.settings = settings
        self.metrics_port = metrics_port
        self.loop = asyncio.get_running_loop()
        clock = self.loop.time
        self.waits = waits.Waits(settings.bounds)
        own = members.Host(
            settings.host, settings.ip, settings.zone, int(time.time() * 1000)
        )
        self.counters = metrics.Metrics()
        self.fleet = members.Members(
            own, settings.zones, self.waits.host_timeout_s
        )
        self.view = views.View(settings.zones)
        self.view.awaits_peers = True
        self.started_at = clock()
        self.is_announced = False
        self.health = health.Health(
            outliers.Outliers(
                settings.host, lambda: self.fleet.live_ids(clock())
            )
        )
        self.quotas = quotas.Quotas(
            self.fleet, settings.quota_tolerance, random.random, clock()
        )
        cold_limiter = cold.ColdRateLimiter(
            settings.host,
            self.view,
            lambda: self.fleet.sharing_hosts(clock()),
        )
        limits = server_limits.ServerLimits(self.view)
        self.limit_tracker = limits_lib.LimitTracker(limits, self.counters)
        self.lifecycle_tracker = lifecycles.LifecycleTracker(
            self.view, self.counters
        )
        throttle = throttling.ServerThrottle(
            settings.host,
            self.view,
            limits,
            lambda: self.fleet.sharing_hosts(clock()),
        )
        self.caps = partitions.PartitionCaps(
            self.view, settings.cold_tolerance, self._find_silent_share
        )
        caps = throttling.ServerThrottle(
            settings.host,
            self.view,
            self.caps,
            lambda: self.fleet.live_regions(clock()),
            saved=partitions.SAVED_REQUESTS,
        )
        self.placing = placement.Placement(
            settings.region,
            self.view,
            self.health,
            cold_limiter,
            warmth.Warmth(),
            throttle,
            random.random,
            caps,
        )
        self.router = routing.Router(self.view, self.quotas, random.random)
        self.response_memory = memory.ResponseMemory(
            int(settings.memory_bytes * MEMORY_SHARE_FOR_RESPONSES)
        )
        self.connection_pools = pools.ConnectionPools(self.response_memory)
        self.reachability = reachability.Reachability(self.health)
        self.connection_pools.on_connected = self._record_connected
        self.cut_detector = cuts.CutDetector(
            self.reachability,
            self.view,
            self.health,
            self.fleet,
            self.connection_pools,
        )
        self.peer_pools = pools.ConnectionPools(self.response_memory)
        self.peer_forwarder = peer_forwarding.PeerForwarder(
            self.fleet, self.peer_pools, settings.peer_port, random.random
        )
        self.retries = budgets.RetryBudget(settings.retries)
        self.crash_detector = crashes.CrashDetector(
            suspects.Suspects(settings.host),
            self.connection_pools,
            self.counters,
        )
        self.forwarder = forwarding.Forwarder(
            self.router,
            self.placing,
            self.retries,
            self.connection_pools,
            self.counters,
            self.limit_tracker,
            self.lifecycle_tracker,
            self.crash_detector,
            self.reachability,
            self.peer_forwarder,
        )
        self.crash_detector.record_refusal = (
            self.lifecycle_tracker.record_refusal
        )
        self.crash_detector.reaches_servers = self.cut_detector.reaches_servers
        self.listener = listeners.Listener(
            self.forwarder.serve,
            models.ClientLimits(),
            int(settings.memory_bytes * MEMORY_SHARE_FOR_BODIES),
            self.response_memory,
        )
        self.applier = appliers.Applier(
            self.view,
            self._forget_server,
            self._set_limits,
            self.counters,
            self.waits,
            clock,
        )
        self.mirrors = {
            table: mirrors.Mirror(table)
            for table in (wire.OPERATOR_TABLE, wire.SERVER_TABLE)
        }
        self.health_checker = health_checks.HealthChecker(
            health_checks_lib.HealthChecks(
                settings.host,
                self.view,
                self.health,
                lambda: self.fleet.live_ids(clock()),
            ),
            self.lifecycle_tracker,
            self.connection_pools,
            self.reachability,
            self._has_outdated_servers,
        )
        self.store = store_lib.StoreClient(
            lambda: clients.HttpClient(
                settings.store, self.waits.connect_timeout_s
            ),
            self.waits.call_timeout_s,
        )
        self.relays = relays.Relays(
            self.fleet, self.quotas, self.placing, limits
        )
        self.gossip = gossip_lib.Gossip(
            self.fleet,
            self.quotas,
            self.placing,
            self.applier,
            self.mirrors,
            self.relays,
            self.limit_tracker,
            self.lifecycle_tracker,
            self.crash_detector,
            settings.peer_port,
            settings.seeds,
        )
        self.crash_detector.announce = self.gossip.send_suspects
        self.table_sync = table_sync.TableSync(
            self.fleet,
            self.applier,
            self.mirrors,
            self.relays,
            settings.peer_port,
        )
        self.sources = sources.Sources(
            self.store, self.relays, self.applier, settings.peer_port
        )
        self.stopping = asyncio.Event()
        self.reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Runs until a signal or a failed task, then stops gracefully."""
        async with contextlib.AsyncExitStack() as stack:
            await self._open(stack)
            logs.log_event(
                "started",
                zone=self.settings.zone,
                settings=self.settings.host,
                store=f"{self.settings.store[0]}:{self.settings.store[1]}",
            )
            await self.stopping.wait()
            await self._stop()

    async def _open(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        self.loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        peers = (settings.ip, settings.peer_port)
        await gossip_lib.open_gossip(self.gossip, *peers, stack)
        self.peer_listener = await self._listen(peers, self._serve_peers, stack)
        await self._listen(settings.directory, self._serve_directory, stack)
        await self._listen(settings.readiness, self._serve_readiness, stack)
        metrics_address = (settings.ip, self.metrics_port)
        await self._listen(metrics_address, self._serve_metrics, stack)
        if settings.control is not None:
            await self._listen(settings.control, self._serve_control, stack)
        self.server = await listeners.listen(
            settings.callers, self.listener, stack
        )
        stack.callback(self.sources.close)
        for mirror in self.mirrors.values():
            feed = feeds.Feed(mirror, self.sources, self.applier, self.counters)
            self._spawn(feed.run(), stack)
        self._spawn(self.table_sync.run(), stack)
        self._spawn(self.cut_detector.run(), stack)
        self._spawn(self.health_checker.run(), stack)
        self._spawn(self._announce(), stack)
        self._spawn(self._run_housekeeping(), stack)
        self._spawn(self._watch_settings(), stack)

    async def _listen(
        self,
        address: models.Address,
        handler: listeners.Handler,
        stack: contextlib.AsyncExitStack,
    ) -> listeners.Listener:
        listener = listeners.Listener(
            handler,
            models.ClientLimits(),
            self.listener.max_buffered_bytes,
            self.response_memory,
        )
        await listeners.listen(address, listener, stack)
        return listener

    def _spawn(self, coroutine: object, stack: object) -> None:
        assert asyncio.iscoroutine(coroutine)
        assert isinstance(stack, contextlib.AsyncExitStack)
        task = self.loop.create_task(coroutine)
        task.add_done_callback(self._check_task)
        stack.callback(task.cancel)

    def _check_task(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        logs.log_event("task_failed", error=repr(task.exception()))
        self.stopping.set()

    async def _announce(self) -> None:
        """Keeps this host's row in the store and learns the other hosts."""
        await self._retry(self._write_own_row)
        await self._retry(self._learn_hosts)
        self.is_announced = True
        self.gossip.send_heartbeat()
        while True:
            era = self.store.era
            while max(m.era for m in self.mirrors.values()) <= era:
                await asyncio.sleep(ANNOUNCE_RETRY_S)
            # A restored store may have lost the row.
            await asyncio.sleep(random.uniform(0.0, ANNOUNCE_SPREAD_S))
            await self._retry(self._write_own_row)
            logs.log_event("announced_again", era=self.store.era)

    async def _retry(self, call: Callable[[], Awaitable[None]]) -> None:
        """Makes a call of the store until it succeeds."""
        while True:
            try:
                await call()
                return
            except exceptions.PlatformError as error:
                logs.log_event("announce_failed", error=str(error))
                await asyncio.sleep(ANNOUNCE_RETRY_S)

    async def _write_own_row(self) -> None:
        own = self.fleet.own
        row = HostRow(own.ip, own.zone, own.started_ms)
        await self.store.write(HOST_TABLE, own.id, msgspec.json.encode(row))

    async def _learn_hosts(self) -> None:
        page = await self.store.read_table(HOST_TABLE)
        now = self.loop.time()
        for entry in page.rows:
            self._learn_host(entry, now)
        self.fleet.are_all_known = True

    def _learn_host(self, entry: wire.Row, now: float) -> None:
        try:
            row = msgspec.json.decode(entry.value or b"{}", type=HostRow)
        except (msgspec.MsgspecError, RecursionError) as error:
            logs.log_event("host_row_unreadable", error=repr(error))
            return
        host = members.Host(
            models.HostId(entry.key),
            row.ip,
            models.ZoneName(row.zone),
            row.started_ms,
        )
        self.fleet.discover(host, now)

    async def _run_housekeeping(self) -> None:
        while True:
            starting = self.fleet.own_state is members.HostState.STARTING
            interval_s = STARTING_CHECK_S if starting else waits.HOUSEKEEPING_S
            await asyncio.sleep(interval_s)
            self.applier.drop_missing()
            for mirror in self.mirrors.values():
                self.applier.expire(mirror)
            self.applier.believe_lasting(self.mirrors[wire.SERVER_TABLE])
            now = self.loop.time()
            self.connection_pools.close_expired(now)
            self.peer_pools.close_expired(now)
            self.limit_tracker.drop_absent(now)
            self.lifecycle_tracker.drop_absent()
            self.placing.throttle.drop_expired(now)
            self.placing.caps.drop_expired(now)
            self._update_caps()
            self.crash_detector.judge()
            self.crash_detector.suspects.drop_expired(now)
            self._update_state()
            # Contacts include hosts that recently fell silent and may go on
            # spending their share of the retry budget.
            self.retries.set_host_count(len(self.fleet.contacts(now)) + 1)

    async def _watch_settings(self) -> None:
        """Reloads the settings on SIGHUP or when their file changes."""
        path = os.environ.get(settings_lib.PATH_VARIABLE, "")
        seen = _file_signature(path)
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self.reload_requested.wait()
            state = _file_signature(path)
            if state == seen and not self.reload_requested.is_set():
                continue
            seen = state
            self.reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Applies changed settings; addresses change at the next start."""
        try:
            settings = load_settings()
        except (OSError, exceptions.InvalidSettings) as error:
            # The settings in force stay; the file is read again when it
            # changes.
            logs.log_event("reload_failed", error=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        fixed = [name for name in changed if name not in RELOADABLE]
        for name in fixed:
            changed.remove(name)
        self.settings = dataclasses.replace(
            self.settings, **{name: getattr(settings, name) for name in changed}
        )
        self.retries.limits = self.settings.retries
        self.waits.update(self.settings.bounds)
        self.store.call_timeout_s = self.waits.call_timeout_s
        logs.log_event("reloaded", changed=changed, at_next_start=fixed)

    def _update_state(self) -> None:
        if self.view.awaits_peers and self._has_asked_peers():
            self.view.awaits_peers = False
        starting = self.fleet.own_state is members.HostState.STARTING
        if starting and self.view.is_ready():
            self.fleet.own_state = members.HostState.READY
            self.fleet.set_cut(self.reachability.is_cut)
            logs.log_event("ready")
            self.gossip.send_heartbeat()

    def _has_asked_peers(self) -> bool:
        """Returns whether peers have told what the store may have lost.

        While a host starts, the store may have just been restored from an older
        copy, and only peers know what was confirmed since.
        """
        now = self.loop.time()
        age_s = now - self.started_at
        if age_s >= self.waits.bounds.stable_s:
            # All hosts that the store serves have read it again by then.
            return True
        live = self.fleet.live(now)
        if not live:
            others = set(self.settings.seeds) - {self.settings.ip}
            is_alone = not others and not self.fleet.peers
            return (self.is_announced and is_alone) or age_s >= PEER_CHECK_S
        states = {member.state for member in live}
        if members.HostState.READY not in states and age_s < PEER_REPLY_S:
            # Only hosts that have just started have replied so far.
            return False
        return self.view.servers_known and self.table_sync.knows_confirmed()

    def _forget_server(self, server: models.ServerId) -> None:
        self.health.forget(server)
        self.health_checker.checks.forget(server)
        self.placing.saturation.forget(server)
        self.connection_pools.drop(server)

    def _update_caps(self) -> None:
        """Limits all servers while this host is partitioned."""
        if self.caps.update():
            logs.log_event(
                "servers_capped" if self.caps.silent_share else "caps_ended",
                silent_share=round(self.caps.silent_share, 3),
                servers_version=self.mirrors[wire.SERVER_TABLE].version,
            )

    def _find_silent_share(self) -> float:
        """Returns the share of silent hosts while rows may be outdated."""
        if not self._has_outdated_servers():
            return 0.0
        return 1.0 - self.fleet.heard_share(self.loop.time())

    def _has_outdated_servers(self) -> bool:
        """Returns whether the rows of the servers may be outdated."""
        verified_at = self.mirrors[wire.SERVER_TABLE].verified_at
        max_age_s = self.waits.server_table.max_unverified_s
        return self.loop.time() - verified_at > max_age_s

    def _record_connected(self) -> None:
        self.reachability.record_connected(self.loop.time())

    def _set_limits(self, configuration: models.Configuration) -> None:
        self.listener.limits = configuration.limits
        # Peers pass callers' requests on, with some more headers.
        self.peer_listener.limits = dataclasses.replace(
            configuration.limits,
            header_bytes=configuration.limits.header_bytes + PEER_HEADER_BYTES,
        )

    async def _serve_peers(
        self, request: messages.Request
    ) -> messages.Response:
        """Serves a peer a table, or a request that it passes on."""
        if request.find(peer_forwarding.ATTEMPTS_HEADER) is not None:
            return await self.forwarder.serve_for_peer(request)
        return await self.table_sync.serve(request)

    async def _serve_directory(
        self, request: messages.Request
    ) -> messages.Response:
        query = parse.parse_qs(
            request.target.decode("latin-1").partition("?")[2]
        )
        addresses = self.fleet.resolve(
            query.get("region", [""])[0],
            query.get("zone", [""])[0],
            self.loop.time(),
        )
        if not addresses:
            return messages.Response(503)
        port = self.settings.callers[1]
        ttl_s = min(DIRECTORY_TTL_S, self.settings.directory_ttl_max_s)
        body = wire.encode_addresses(
            [f"{ip}:{port}" for ip in addresses], ttl_s
        )
        return messages.Response(
            200, [(b"content-type", b"application/json")], body
        )

    async def _serve_readiness(
        self, request: messages.Request
    ) -> messages.Response:
        del request
        ready = self.fleet.own_state in members.SERVING_STATES
        return messages.Response(200 if ready else 503)

    async def _serve_metrics(
        self, request: messages.Request
    ) -> messages.Response:
        del request
        return messages.Response(200, (), self.counters.encode())

    async def _serve_control(
        self, request: messages.Request
    ) -> messages.Response:
        """Returns the host's state as JSON."""
        del request
        now = self.loop.time()
        configuration = self.view.configuration
        state = {
            "host": self.fleet.own.id,
            "state": self.fleet.own_state.value,
            "config_version": configuration and configuration.version,
            "tables": {m.table: m.version for m in self.mirrors.values()},
            "evacuated": sorted(self.view.evacuated_zones),
            "live_hosts": sorted(self.fleet.live_ids(now)),
            "connections": len(self.listener.connections),
            "servers": {
                id_: {
                    "service": server.registration.service,
                    "state": server.registration.state.value,
                    "leaving": self.view.lifecycles.is_leaving(
                        server.registration
                    ),
                    "load": round(self.placing.load_of(server), 2),
                    "cold": self.view.is_cold(server, now),
                    "limit": self.limit_tracker.limits.rate(
                        server.registration
                    ),
                    "usable": self.health.is_usable(
                        id_, server.registration.service, now
                    ),
                }
                for id_, server in self.view.servers.items()
            },
        }
        return messages.Response(200, (), msgspec.json.encode(state))

    async def _stop(self) -> None:
        """Leaves the fleet and waits for requests in flight to complete."""
        stop_s = self.settings.stop_s
        stop_started_at = self.loop.time()
        logs.log_event("stopping", in_flight=self._in_flight())
        self.fleet.own_state = members.HostState.LEAVING
        self.gossip.send_heartbeat()
        self.listener.closing = True
        finish_at = stop_started_at + stop_s * FINISH_SHARE
        self.forwarder.ends_at = finish_at
        await asyncio.sleep(stop_s * ACCEPT_SHARE)
        self.server.close()
        self.forwarder.admits_requests = False
        await self._close_connections(finish_at)
        cut = len(self.forwarder.serving)
        self.forwarder.end_requests()
        await self._close_connections(finish_at + stop_s * FLUSH_SHARE)
        logs.log_event("stopped", cut=cut)

    async def _close_connections(self, until: float) -> None:
        """Closes connections as they become idle, until none is left."""
        while self.listener.connections or self.forwarder.serving:
            for connection in list(self.listener.connections):
                if connection.is_idle:
                    connection.close()
            if self.loop.time() >= until:
                return
            await asyncio.sleep(STOP_CHECK_S)

    def _in_flight(self) -> int:
        return sum(not c.is_idle for c in self.listener.connections)


def _file_signature(path: str) -> tuple[int, int] | None:
    """Returns a file's modification time and size; None when it is missing."""
    try:
        state = os.stat(path)
    except OSError:
        return None
    return state.st_mtime_ns, state.st_size


def load_settings() -> settings_lib.HostSettings:
    """Reads the settings file named by the environment variable.

    Raises:
        InvalidSettings: The settings are invalid; it lists all findings.
    """
    path = os.environ.get(settings_lib.PATH_VARIABLE)
    if not path:
        finding = exceptions.Finding(
            settings_lib.PATH_VARIABLE,
            "missing",
            "set the variable to the path of the settings file",
        )
        raise exceptions.InvalidSettings([finding])
    return settings_lib.decode(pathlib.Path(path).read_text(encoding="utf-8"))


async def serve(settings: settings_lib.HostSettings, metrics_port: int) -> None:
    """Runs a host until it stops."""
    await Host(settings, metrics_port).run()


def run() -> None:
    """Parses the command line and runs the program."""
    app.run(main)


def main(arguments: list[str]) -> int:
    """Runs an entry host; returns its exit code."""
    del arguments
    try:
        settings = load_settings()
    except (OSError, exceptions.InvalidSettings) as error:
        print(error, file=sys.stderr)
        return 2
    logs.start(sys.stdout.fileno(), settings.host)
    try:
        asyncio.run(serve(settings, METRICS_PORT.value))
    finally:
        logs.stop()
    return 0

"""Cluster of a soak run: store, backend servers, callers and host processes."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys

import h11
import yaml

from banyanshed.gateway import listeners
from standins import servers as servers_lib
from standins import store as store_lib
from tests import gateway_fleet
from tests.soak import proxies
from tests.soak import records as records_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "scripts" / "entry_host.py"
EXAMPLE = ROOT / "examples" / "platform-node.yaml"
# Apart from the addresses of gateway tests, which may run at the same time.
NETWORK = f"127.{60 + gateway_fleet.WORKER}"
ZONES = {"a1": "a", "a2": "a", "b1": "b"}
SLOTS = 4
HEALTH_PATH = "/healthz"
WORK_S = 0.05
GRACE_S = 3.0
READY_S = 60.0
STALL_S = 0.2
KEYS = ("key-1", "key-2", "key-3")
OBJECTS = 40


class Server:
    """A backend server behind a TCP proxy that injects link faults."""

    def __init__(self, cluster, id_):
        self.cluster = cluster
        self.id = id_
        cluster.ids.add(id_)
        self.slow_factor = 1.0
        self.failing_share = 0.0
        self.limit = None
        self.state = "ready"
        self.sequence = 0
        self.backend = servers_lib.BackendServer(id_, self._answer)
        self.proxy = None

    async def start(self, stack):
        await self.backend.start(stack, f"{NETWORK}.0.1")
        self.proxy = proxies.Proxy(self.backend.address)
        await self.proxy.start(stack, f"{NETWORK}.0.1")
        await self.register("ready")

    async def register(self, state):
        self.state = state
        entry = self.next_entry(state)
        await self.cluster.store.put("servers", self.id, entry)

    def next_entry(self, state):
        """Returns the entry that it writes next."""
        self.sequence += 1
        ip, port = self.proxy.address
        zones = list(ZONES)
        number = int(self.id.removeprefix("i"))
        return {
            "addr": f"{ip}:{port}",
            "info": {
                "backend": "s",
                "zone": zones[number % len(zones)],
                "slots": SLOTS,
            },
            "status": {
                "state": state,
                "seq": self.sequence,
                "coldLeft": "0ms",
            },
            "born": 1000,
        }

    async def _answer(self, exchange):
        cluster = self.cluster
        headers = exchange.headers
        if exchange.target == HEALTH_PATH:
            headers["x-banyanshed-request-id"] = ""
            status = 200 if self.state == "ready" else 503
            exchange.respond(status, X_Banyanshed_Instance_Id=self.id)
            return
        execution = records_lib.Execution(
            headers["x-banyanshed-request-id"],
            self.id,
            cluster.now(),
            headers.get("x-banyanshed-tenant", ""),
            "x-api-key" in headers,
        )
        cluster.records.executions.append(execution)
        if cluster.deadly_until > cluster.now() and (
            exchange.target == records_lib.DEADLY_PATH
        ):
            await self._crash()
            return
        try:
            work_s = WORK_S * cluster.rng.uniform(0.5, 1.5) * self.slow_factor
            await asyncio.sleep(work_s)
        except asyncio.CancelledError:
            execution.left_at = cluster.now()
            raise
        if cluster.rng.random() < self.failing_share:
            exchange.reset()
            return
        execution.body = (
            f"{execution.id} by {self.id} ".encode() * cluster.rng.randint(1, 9)
        )
        extra = {}
        if self.limit is not None:
            extra["Server-Limit"] = f"{self.limit:g}"
        if self.state == "draining":
            extra["Server-Leaving"] = "1"
            execution.says_leaving = True
        exchange.respond(200, execution.body, **extra)

    async def _crash(self):
        """Ends the server's process, which is back some time later."""
        start = self.cluster.now()
        self.proxy.stop()
        await asyncio.sleep(self.cluster.rng.uniform(1.0, 3.0))
        await self.proxy.restart()
        interval = records_lib.FaultInterval(
            "crash", self.id, start, self.cluster.now()
        )
        self.cluster.records.fault_intervals.append(interval)


class Host:
    """The process of an entry host."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"h{number}"
        self.ip = f"{NETWORK}.2.{number}"
        self.zone = list(ZONES)[number % len(ZONES)]
        self.store_proxy = proxies.Proxy(cluster.store_address)
        self.process = None
        self.path = cluster.folder / f"{self.name}.yaml"
        self.log = cluster.folder / f"{self.name}.log"

    async def open(self, stack):
        ip = f"{NETWORK}.0.1"
        await self.store_proxy.start(stack, ip)
        self.path.write_text(yaml.safe_dump(self._settings()))
        stack.callback(self.kill)
        await self.start()

    async def start(self):
        # On a busy machine it can take seconds; callers must not wait for it.
        await asyncio.to_thread(self._spawn)

    def _spawn(self):
        environment = {**os.environ, "BANYANSHED_BOOT": str(self.path)}
        port = self.cluster.ports[5]
        command = [sys.executable, str(PROGRAM), f"--metrics_port={port}"]
        with self.log.open("ab") as stream:
            self.process = subprocess.Popen(
                command, stdout=stream, stderr=stream, env=environment
            )

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is None:
            return
        self.send(signal.SIGKILL)
        self.process.wait()

    async def end(self):
        """Kills the process while the event loop goes on."""
        self.send(signal.SIGKILL)
        await self.wait_ended()

    async def wait_ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self):
        self.process.poll()
        try:
            status = await request_status(self.ip, self.cluster.ports[1], "/")
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return False
        return status == 200

    def change_settings(self):
        """Rewrites the settings with a change that a reload may apply."""
        settings = self._settings()
        extra = self.cluster.rng.randint(50, 200)
        settings["bounds"].append(f"budgetExtra={extra}")
        self.path.write_text(yaml.safe_dump(settings))

    def _settings(self):
        tree = yaml.safe_load(EXAMPLE.read_text())
        ports = self.cluster.ports
        names = ("front", "ready", "control", "directory")
        tree["node"], tree["ip"] = self.name, self.ip
        tree["zones"] = dict(ZONES)
        tree["zone"], tree["region"] = self.zone, ZONES[self.zone]
        tree["listen"] = {
            name: f"{self.ip}:{port}"
            for name, port in zip(names, ports, strict=False)
        }
        tree["portRange"] = [ports[4], ports[4]]
        tree["seeds"] = [f"{NETWORK}.2.1:{ports[2]}"]
        tree["bounds"].append(f"grace={GRACE_S:g}s")
        ip, port = self.store_proxy.address
        tree["provider"]["addr"] = f"{ip}:{port}"
        return tree


class Cluster:
    """All parts of a soak run."""

    def __init__(self, folder, seed, stack):
        self.folder = folder
        self.rng = random.Random(seed)
        self.stack = stack
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.records = records_lib.Records()
        self.store = store_lib.Store()
        self.store_address = ("", 0)
        self.servers = {}
        self.leaving = {}
        # Ids of all servers so far; each belongs to one server.
        self.ids = set()
        self.deadly_until = 0.0
        self.hosts = {}
        self.version = 1
        self.keys = list(KEYS)
        self.ports = []

    def now(self):
        return self.loop.time() - self.started_at

    async def start(self, hosts, servers):
        ip = f"{NETWORK}.0.1"
        *self.ports, store_port = gateway_fleet.free_ports(7, ip)
        self.store_address = (ip, store_port)
        await listeners.listen(
            self.store_address, self.store.listener, self.stack
        )
        await self.put_configuration()
        for number in range(servers):
            server = Server(self, f"i{number}")
            await server.start(self.stack)
            self.servers[server.id] = server
        for number in range(1, hosts + 1):
            host = Host(self, number)
            self.hosts[host.name] = host
            await host.open(self.stack)
        monitor = asyncio.ensure_future(self._record_stalls())
        self.stack.callback(monitor.cancel)
        for host in self.hosts.values():
            await self.wait_until_ready(host)

    async def wait_until_ready(self, host):
        end = self.now() + READY_S
        while not await host.is_ready():
            assert self.now() < end, f"{host.name} did not become ready"
            if host.process.returncode == -signal.SIGHUP:
                # A reload came before the program could handle the signal; the
                # platform starts a process again that ended.
                await host.start()
            await asyncio.sleep(0.05)

    async def put_configuration(self):
        customers = [
            {
                "name": records_lib.customer_of(key),
                "apiKeys": [key],
                "ratePerS": 0,
            }
            for key in self.keys
        ]
        extra = gateway_fleet.route(f"extra{self.version}")
        routes = [
            gateway_fleet.route(),
            gateway_fleet.route("u", "unsafe"),
            extra,
        ]
        tree = gateway_fleet.configuration(self.version, routes, customers)
        tree["backends"][0]["healthPath"] = HEALTH_PATH
        await self.store.put("op", "config", tree)

    async def write_again(self):
        """Writes what operators and servers wrote, as after a restore."""
        await self.put_configuration()
        registered = self.servers | self.leaving
        for server in list(registered.values()):
            await server.register(server.state)
        for table, key in list(self.store.rows):
            if table == "servers" and key not in registered:
                await self.store.remove(table, key)

    async def _record_stalls(self):
        """Records stalls of this process, which distort recorded times."""
        while True:
            before = self.now()
            await asyncio.sleep(0.05)
            if self.now() - before > 0.05 + STALL_S:
                self.records.stall_ends.append(self.now())


class Caller:
    """Sends requests one after another over a persistent connection."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.number = number
        self.count = 0
        self.host = None
        self.reader = None
        self.writer = None
        self.may_disconnect = True
        # A generator of its own, so that deadly requests leave the others'
        # draws as they are.
        self.rng = random.Random(number)

    async def run(self):
        while True:
            request = self._next()
            await self._send(request)
            pause_s = request.retry_after_s
            if pause_s is None:
                pause_s = self.cluster.rng.uniform(0.0, 0.1)
            await asyncio.sleep(pause_s)

    def _next(self):
        cluster = self.cluster
        self.count += 1
        if self.writer is None:
            self.host = cluster.rng.choice(list(cluster.hosts.values()))
        safe = cluster.rng.random() < 0.7
        number = cluster.rng.randrange(OBJECTS)
        if cluster.deadly_until > cluster.now() and self.rng.random() < 0.05:
            return self._make_request(records_lib.DEADLY_PATH, True, KEYS[0])
        path = f"/{'r' if safe else 'u'}/{number}"
        return self._make_request(path, safe, cluster.rng.choice(KEYS))

    def _make_request(self, path, safe, key):
        return records_lib.Request(
            f"c{self.number}-{self.count}",
            self.host.name,
            path,
            safe,
            key,
            self.cluster.now(),
        )

    async def _send(self, request):
        try:
            if self.writer is None:
                address = (self.host.ip, self.cluster.ports[0])
                async with asyncio.timeout(1.0):
                    self.reader, self.writer = await asyncio.open_connection(
                        *address
                    )
        except (OSError, TimeoutError):
            request.ending = records_lib.Ending.NOT_SENT
            return
        request.sent_at = self.cluster.now()
        self.cluster.records.requests.append(request)
        try:
            await self._exchange(request)
        except (OSError, h11.RemoteProtocolError):
            request.ending = records_lib.Ending.BROKEN
        except asyncio.CancelledError:
            request.ending = records_lib.Ending.RUN_OVER
            raise
        finally:
            request.ended_at = self.cluster.now()
            if request.ending is not records_lib.Ending.ANSWERED:
                self._close()

    async def _exchange(self, request):
        http = h11.Connection(h11.CLIENT)
        method = "GET" if request.safe else "POST"
        head = h11.Request(
            method=method,
            target=request.path,
            headers=[
                ("Host", "h.example"),
                ("X-Api-Key", request.key),
                ("X-Banyanshed-Request-Id", request.id),
                ("X-Banyanshed-Deadline-Ms", "3000"),
                ("X-Banyanshed-Affinity-Key", request.path),
                ("Content-Length", "0"),
            ],
        )
        self.writer.write(http.send(head) + http.send(h11.EndOfMessage()))
        disconnects = self.may_disconnect and self.cluster.rng.random() < 0.03
        reading = asyncio.ensure_future(self._read(http, request))
        timeout_s = self.cluster.rng.uniform(0.0, 0.08) if disconnects else 5.0
        try:
            done, _ = await asyncio.wait({reading}, timeout=timeout_s)
        except asyncio.CancelledError:
            reading.cancel()
            raise
        if done:
            reading.result()
            return
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        request.ending = (
            records_lib.Ending.LEFT
            if disconnects
            else records_lib.Ending.PENDING
        )

    async def _read(self, http, request):
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self.reader.read(65536))
            elif isinstance(event, h11.ConnectionClosed):
                request.ending = records_lib.Ending.CLOSED
                return
            elif isinstance(event, h11.Response):
                self._record_head(request, event)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                request.body = body
                request.ending = records_lib.Ending.ANSWERED
                if http.their_state is h11.MUST_CLOSE:
                    self._close()
                return

    def _record_head(self, request, event):
        headers = {name: value.decode() for name, value in event.headers}
        request.status = event.status_code
        stamp = headers.get(b"x-banyanshed-response-stamp", "")
        request.stamp = stamp.removeprefix("stamp-")
        retry_after = headers.get(b"retry-after")
        if retry_after is not None:
            request.retry_after_s = float(retry_after)

    def _close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def request_status(ip, port, target):
    """Sends a GET request and returns the status; 0 without a response."""
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(ip, port)
        with contextlib.closing(writer):
            writer.write(
                f"GET {target} HTTP/1.1\r\nHost: x\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            line = await reader.readline()
            return int(line.split()[1]) if line else 0

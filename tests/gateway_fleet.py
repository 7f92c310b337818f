"""Test fleet: hosts, a store and backend servers in one event loop."""

import asyncio
import contextlib
import os
import socket
import time

from banyanshed.gateway import clients
from banyanshed.gateway import host as host_lib
from banyanshed.gateway import listeners
from banyanshed.gateway import messages
from banyanshed.platform import settings as settings_lib
from banyanshed.steering import budgets
from banyanshed.steering import models
from banyanshed.steering import placement
from standins import servers as servers_lib
from standins import store as store_lib

# Each pytest-xdist worker uses a network of its own.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
NETWORK = f"127.{20 + WORKER}"
ZONES = {"a1": "a", "b1": "b"}
API_KEY = "key-1"
WAIT_TIMEOUT_S = 30.0


def route(name="r", kind="safe", service="s", **fields):
    values = {
        "name": name,
        "hostname": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": "2s",
        "targetLatency": "400ms",
        "attempts": 2,
        "backend": service,
        "affinity": True,
        "homeRegions": [],
    }
    values.update(fields)
    return values


def configuration(version=1, routes=None, customers=None):
    return {
        "version": f"r{version}",
        "routes": routes or [route(), route("u", "unsafe")],
        "backends": [{"name": "s", "cold": "1s", "coldPerS": 8.0}],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 100_000,
            "headerTimeout": "1s",
            "idleTimeout": "5s",
        },
        "tenants": customers
        or [{"name": "club", "apiKeys": [API_KEY], "ratePerS": 0}],
    }


def make_row(address, zone="a1", service="s", **status):
    """Returns the row of a backend server's first process."""
    return {
        "addr": f"{address[0]}:{address[1]}",
        "info": {"backend": service, "zone": zone, "slots": 4},
        "status": {"state": "ready", "coldLeft": "0ms", **status},
        "born": 1000,
    }


class Fleet:
    """A store, backend servers and hosts for one test."""

    def __init__(self, stack):
        self.stack = stack
        self.store = store_lib.Store()
        self.servers = {}
        self.hosts = {}
        self.tasks = {}
        self.request_number = 0

    async def start(self, hosts=1, servers=("i1", "i2"), config=None):
        self.store_address = (f"{NETWORK}.0.1", free_port())
        await listeners.listen(
            self.store_address, self.store.listener, self.stack
        )
        await self.store.put("op", "config", config or configuration())
        for id_ in servers:
            await self.add_server(id_)
        for number in range(hosts):
            self.start_host(f"h{number + 1}", host_ip(number + 1))
        for name in list(self.hosts):
            await self.wait_until_ready(name)

    async def add_server(self, id_, zone="a1", service="s", **status):
        server = servers_lib.BackendServer(id_)
        await server.start(self.stack, f"{NETWORK}.0.1")
        self.servers[id_] = server
        await self.register(id_, zone, service, **status)
        return server

    async def register(self, id_, zone="a1", service="s", **status):
        row = make_row(self.servers[id_].address, zone, service, **status)
        await self.store.put("servers", id_, row)

    def start_host(self, name, ip, zone="a1"):
        ports = free_ports(6, ip)
        if self.hosts:
            ports = self.ports
        self.ports = ports
        settings = settings_lib.HostSettings(
            host=name,
            ip=ip,
            zone=zone,
            region=ZONES[zone],
            zones=dict(ZONES),
            callers=(ip, ports[0]),
            readiness=(ip, ports[1]),
            directory=(ip, ports[2]),
            control=(ip, ports[3]),
            peer_port=ports[4],
            seeds=(host_ip(1),),
            store=self.store_address,
            memory_bytes=200_000_000,
            stop_s=2.0,
            bounds=models.Bounds(),
            directory_ttl_max_s=5.0,
            retries=budgets.RetryLimits(0.2, 100.0, 10.0),
        )
        host = host_lib.Host(settings, ports[5])
        self.hosts[name] = host
        self.tasks[name] = asyncio.ensure_future(host.run())

    async def wait_until_ready(self, name):
        host = self.hosts[name]
        await self.wait_until(lambda: host.fleet.own_state.value == "ready")
        await self.wait_until(
            lambda: len(host.view.servers) == len(self.servers)
        )

    async def wait_until(self, condition):
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_s, (
                "timed out waiting for the condition"
            )
            await asyncio.sleep(0.01)

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def connect(self, name="h1"):
        return await self.open(self.hosts[name].settings.callers)

    async def open(self, address):
        """Connects, with retries until the address accepts connections."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            try:
                return await clients.open_connection(address, WAIT_TIMEOUT_S)
            except clients.ConnectFailed:
                assert time.monotonic() < end_s
                await asyncio.sleep(0.01)

    def request(self, path="/r/x", method="GET", body=b"", **headers):
        self.request_number += 1
        values = {
            "host": "h.example",
            "x-banyanshed-request-id": f"id{self.request_number}",
            "x-banyanshed-deadline-ms": "3000",
            "x-banyanshed-affinity-key": "o",
            "x-api-key": API_KEY,
        }
        for header, value in headers.items():
            values[header.replace("_", "-")] = value
        encoded = [
            (key.encode(), value.encode())
            for key, value in values.items()
            if value is not None
        ]
        return messages.Request(method.encode(), path.encode(), encoded, body)

    async def call(self, path="/r/x", name="h1", **fields):
        connection = await self.connect(name)
        try:
            return await connection.send(self.request(path, **fields))
        finally:
            connection.abort()

    async def fetch(self, kind, target, name="h1"):
        address = getattr(self.hosts[name].settings, kind)
        connection = await self.open(address)
        try:
            request = messages.Request(
                b"GET", target.encode(), [(b"host", b"x")]
            )
            return await connection.send(request)
        finally:
            connection.abort()


def answer_after(seconds):
    async def act(exchange):
        await asyncio.sleep(seconds)
        exchange.respond()

    return act


def all_exchanges(fleet):
    found = []
    for server in fleet.servers.values():
        found.extend(server.exchanges)
    return found


def next_server(fleet, path="/r/x"):
    """Returns the server that the host would choose for the path."""
    host = fleet.hosts["h1"]
    name = path.split("/")[1]
    route = host.view.configuration.find_route("h.example", f"/{name}/")
    placement_request = placement.PlacementRequest(
        route, "s", "o", (), 0, (), 2.0
    )
    choice = host.placing.choose(placement_request, host.loop.time())
    return fleet.servers[choice.server.registration.id]


def host_ip(number):
    return f"{NETWORK}.1.{number}"


def free_port(ip=f"{NETWORK}.0.1"):
    return free_ports(1, ip)[0]


def free_ports(count, ip=f"{NETWORK}.0.1"):
    """Returns distinct free ports.

    All sockets stay open until the last port is drawn, because the system may
    assign a closed port again.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((ip, 0))
            ports.append(sock.getsockname()[1])
        return ports


def run_scenario(scenario, **fields):
    """Runs a test's coroutine with a started fleet, then stops the fleet."""

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            fleet = Fleet(stack)
            stack.push_async_callback(fleet.stop)
            await fleet.start(**fields)
            await scenario(fleet)

    asyncio.run(run())

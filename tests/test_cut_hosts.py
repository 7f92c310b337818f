"""Hosts that are cut off from all backend servers, but not from their peers."""

import asyncio
import enum

import pytest

from banyanshed.gateway import clients
from tests import gateway_fleet


class Cut(enum.Enum):
    """What becomes of connections to servers in a cut.

    Attributes:
        SILENT: Those that are open hang, and so do new ones.
        RESET: Those that are open are reset, new ones are refused.
        REFUSED: Those that are open live on, new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"


def cut_off(fleet, name, how):
    """Cuts a host off from all servers."""
    host = fleet.hosts[name]
    servers = {server.address for server in fleet.servers.values()}

    async def connect(address, timeout_s, response_memory):
        if address not in servers:
            return await clients.open_connection(
                address, timeout_s, response_memory
            )
        if how is Cut.SILENT:
            await asyncio.sleep(timeout_s)
            raise clients.ConnectTimedOut("cut off")
        raise clients.ConnectFailed("cut off")

    host.connection_pools.connect = connect
    for connections in host.connection_pools.idle.values():
        for connection in connections:
            if how is Cut.RESET:
                connection.transport.abort()
            elif how is Cut.SILENT:
                connection.transport.write = lambda data: None
                connection.transport.pause_reading()


def heal(fleet, name):
    fleet.hosts[name].connection_pools.connect = clients.open_connection


async def wait_until_known(fleet):
    """Waits until all hosts hear each other and are ready."""
    for host in fleet.hosts.values():
        await fleet.wait_until(
            lambda known=host: (
                len(known.fleet.live(known.loop.time())) == len(fleet.hosts) - 1
            )
        )


async def call_until_served(fleet, name="h1", tries=30):
    """Sends requests as callers do in the first seconds of a cut."""
    for _ in range(tries):
        response = await fleet.call(name=name)
        if response.status == 200:
            return
    raise AssertionError("the host serves nothing")


def runs_of(fleet, request_id):
    return sum(
        exchange.headers["x-banyanshed-request-id"] == request_id
        for exchange in gateway_fleet.all_exchanges(fleet)
    )


@pytest.mark.parametrize("how", list(Cut))
def test_a_host_that_reaches_no_server_serves_through_a_peer(how):
    async def scenario(fleet):
        await wait_until_known(fleet)
        await fleet.call()
        cut_off(fleet, "h1", how)
        await call_until_served(fleet)
        for number in range(10):
            method = "POST" if number % 2 else "GET"
            path = "/u/x" if number % 2 else "/r/x"
            response = await fleet.call(path, method=method, body=b"")
            assert (response.status, response.body) == (200, b"ok")
            assert runs_of(fleet, f"id{fleet.request_number}") == 1

    gateway_fleet.run_scenario(scenario, hosts=3, servers=("i1", "i2", "i3"))

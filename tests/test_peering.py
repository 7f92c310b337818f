"""Gossip of several daemons over TCP connections in one process."""

import asyncio
import contextlib
import dataclasses
import random
import time

import capnp

from banyanshed import exceptions
from banyanshed.core import freshness
from banyanshed.core import gossip
from banyanshed.core import membership
from banyanshed.core import models
from banyanshed.edges import peer_clients
from banyanshed.edges import peer_servers
from banyanshed.edges import peering
from banyanshed.edges import peers

SECRET = b"0123456789abcdef0123456789abcdef"
INTERVAL_S = 0.05
LIMITS = peers.PeerLimits(call_timeout_s=0.5)


class NumberReplica:
    """A configuration that consists of its version number."""

    def __init__(self):
        self.held_version = 0
        self.encoded = b""

    def version(self):
        return self.held_version

    def encode_delta(self, version):
        return peers.Delta(
            self.held_version, self.encoded or b"%d" % self.held_version
        )

    def apply_delta(self, delta):
        if not delta.content.isdigit():
            raise exceptions.PeerMalformed("rows")
        self.held_version = max(self.held_version, int(delta.content))


@dataclasses.dataclass
class Daemon:
    peering: peering.Peering
    replica: NumberReplica
    server: peer_servers.PeerServer
    address: str
    stack: contextlib.AsyncExitStack

    def live(self):
        return len(self.peering.core.members.live_hosts())

    def state(self, other):
        host = other.peering.core.members.own.profile.host
        return self.peering.core.members.state(host)


async def start(name, seeds=()):
    stack = contextlib.AsyncExitStack()
    rng = random.Random(name)
    replica = NumberReplica()
    client = peer_clients.PeerClient(name, SECRET, rng, LIMITS)
    server = peer_servers.PeerServer(name, SECRET, None, LIMITS)
    address = await server.start("127.0.0.1:0")
    profile = models.ListedHost(
        name, "sask", "sask-a", "127.0.0.1:1", address, models.HostState.LIVE
    )
    core = gossip.Gossip(
        membership.Membership(profile, rng.getrandbits(64) | 1, rng),
        freshness.Freshness(name, "sask", "sask", 4.0),
        rng,
        "sask",
        seeds,
        INTERVAL_S,
        suspect_after_s=0.2,
    )
    service = peering.Peering(core, client, replica, None, time.monotonic)
    server.handler = service
    for owned in (server, client, service):
        await stack.enter_async_context(owned)
    return Daemon(service, replica, server, address, stack)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def run(scenario):
    async def within_loop():
        async with capnp.kj_loop():
            await scenario()

    asyncio.run(within_loop())


def test_new_host_joins_through_peers_and_dead_host_is_suspected():
    async def scenario():
        first = await start("a")
        fleet = [first]
        for name in ("b", "c", "d"):
            fleet.append(await start(name, (first.address,)))
        first.replica.held_version = 7
        first.peering.on_version()
        await wait_until(
            lambda: all(d.replica.held_version == 7 for d in fleet)
        )
        await wait_until(lambda: all(d.live() == 4 for d in fleet))
        # The seed may disappear once a host knows other hosts.
        await first.stack.aclose()
        await wait_until(
            lambda: all(
                d.state(first) is models.HostState.SUSPECTED for d in fleet[1:]
            )
        )
        new_host = await start("e", (fleet[1].address,))
        await wait_until(
            lambda: new_host.replica.held_version == 7 and new_host.live() == 4
        )
        await new_host.peering.leave()
        await wait_until(
            lambda: all(
                d.state(new_host) is models.HostState.LEAVING for d in fleet[1:]
            )
        )
        for daemon in [*fleet[1:], new_host]:
            await daemon.stack.aclose()

    run(scenario)


def test_malformed_rows_of_one_peer_are_rejected_and_fetched_from_another():
    async def scenario():
        bad = await start("a")
        good = await start("b", (bad.address,))
        joined = await start("c", (bad.address,))
        for daemon in (bad, good):
            daemon.replica.held_version = 9
            daemon.replica.encoded = b"not rows" if daemon is bad else b""
            daemon.peering.on_version()
        await wait_until(lambda: joined.peering.failures.get("peer_malformed"))
        await wait_until(lambda: joined.replica.held_version == 9)
        for daemon in (bad, good, joined):
            await daemon.stack.aclose()

    run(scenario)

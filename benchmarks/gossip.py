"""Measures gossip: propagation time of a version, failure detection, overhead.

The product's gossip cores run on a simulated network within one process. Bytes
are those of the encoded messages plus the transport's envelope, counted on a
loopback connection. Processor time is that of the core and codec, plus that of
both ends of the transport's calls.

Run with `python -m benchmarks.gossip`.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import statistics
import time

import capnp

from banyanshed.core import gossip
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares
from banyanshed.edges import codec
from banyanshed.edges import peer_clients
from banyanshed.edges import peer_servers
from banyanshed.edges import peers
from benchmarks import simulated_network

DELAY_S = (0.01, 0.06)
WARM_UP_S = 40.0
COST_S = 20.0
CHANGES = 5
LONGEST_S = 60.0
STEP_S = 0.05
CALLS = 2000
CONNECTIONS = 200
IDLE_S = peers.IDLE_TIMEOUT_S / 2
PACKET_HEADER_BYTES = 52
PACKETS_PER_CALL = 6
PACKETS_PER_CONNECTION = 14
SIZES = (25, 100, 550)
SECRET = b"0123456789abcdef0123456789abcdef"


@dataclasses.dataclass(frozen=True)
class Transport:
    """Cost of the transport, both ends together.

    Attributes:
        call_s: Processor time of a call in seconds.
        connection_s: Processor time in seconds to open a connection, including
            its mutual authentication.
        call_bytes: Bytes of a call's envelope, both ways.
        heartbeat_bytes: Bytes of a heartbeat to a witness and its answer.
        connection_bytes: Bytes to set up a connection, both ways.
    """

    call_s: float
    connection_s: float
    call_bytes: float
    heartbeat_bytes: float
    connection_bytes: float


@dataclasses.dataclass
class Traffic:
    """Messages sent by the hosts.

    Attributes:
        messages: Number of requests and replies.
        encoded_bytes: Total encoded size.
        codec_s: Processor time in seconds to encode and decode them.
    """

    messages: int = 0
    encoded_bytes: int = 0
    codec_s: float = 0.0

    def count_message(
        self, _: models.HostId, message: gossip.GossipMessage
    ) -> None:
        """Counts one message."""
        started_s = time.process_time()
        builder = codec.SCHEMA.GossipMessage.new_message()
        codec.write_message(builder, message)
        codec.read_message(builder.as_reader())
        self.codec_s += time.process_time() - started_s
        self.messages += 1
        self.encoded_bytes += codec.encoded_size_bytes(message)


class Echo:
    """Peer service that answers each gossip request with one fixed reply."""

    def __init__(self, reply: gossip.GossipMessage):
        """Takes the fixed reply."""
        self.reply = reply

    def on_gossip(self, message: gossip.GossipMessage) -> gossip.GossipMessage:
        """Returns the reply."""
        del message
        return self.reply

    def version(self) -> int:
        """Returns version 0."""
        return 0

    def delta_since(self, version: int) -> peers.Delta:
        """Returns an empty delta."""
        return peers.Delta(version, b"")

    def on_heartbeat(
        self, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Rejects the heartbeat."""
        witness = sessions.WitnessId(
            models.HostId("h"), sessions.Incarnation("i"), heartbeat.term
        )
        return sessions.Acknowledgement(
            witness, heartbeat.session, heartbeat.sequence, False
        )


def start_network(
    hosts: int, loss: float = 0.0
) -> simulated_network.SimulatedNetwork:
    """Returns a network of four regions after WARM_UP_S seconds."""
    net = simulated_network.SimulatedNetwork(
        1, simulated_network.LinkConditions(delay_s=DELAY_S, loss=loss)
    )
    for number in range(hosts):
        net.add(number, regions=4, zones=2)
    net.publish_host_list()
    net.run(WARM_UP_S)
    return net


def measure_spread_s(
    net: simulated_network.SimulatedNetwork,
) -> Iterator[float]:
    """Yields, for several versions, the seconds until all hosts know it.

    Per version, one host reads the store; the others learn it from peers only.
    """
    nodes = [node for node in net.nodes.values() if node.running]
    for node in nodes:
        node.reads_store = False
    for _ in range(CHANGES):
        version = net.accept()
        started_s = net.now_s
        source = net.rng.choice(nodes)
        requests = source.core.on_version(net.now_s, version)
        net.send(source, requests)
        while any(node.core.freshness.version < version for node in nodes):
            if net.now_s - started_s > LONGEST_S:
                break
            net.run(STEP_S)
        yield net.now_s - started_s
        net.run(1.0)


@contextlib.contextmanager
def pull_only() -> Iterator[None]:
    """Disables push: versions spread by periodic requests only (baseline)."""
    announce = gossip.Gossip.announce
    gossip.Gossip.announce = lambda *_: []  # type: ignore[method-assign]
    try:
        yield
    finally:
        gossip.Gossip.announce = announce  # type: ignore[method-assign]


def print_spread() -> None:
    """Prints the propagation times of versions."""
    print("\nseconds until a version is everywhere (median, longest of 5)")
    print(f"{'hosts':>6} {'case':<22} {'median':>7} {'longest':>8}")
    for hosts in SIZES:
        cases = [("calm", 0.0, 0.0), ("10% dead", 0.1, 0.0)]
        cases.append(("5% of messages lost", 0.0, 0.05))
        for name, dead, loss in cases:
            net = start_network(hosts, loss)
            for node in list(net.nodes.values())[: int(hosts * dead)]:
                node.running = False
            print_times(hosts, name, list(measure_spread_s(net)))
        with pull_only():
            print_times(hosts, "no push, baseline", list(measure_spread_s(net)))


def print_times(hosts: int, name: str, times: list[float]) -> None:
    """Prints one row."""
    median_s = statistics.median(times)
    print(f"{hosts:>6} {name:<22} {median_s:>7.2f} {max(times):>8.2f}")


def print_detection() -> None:
    """Prints how soon dead hosts are suspected."""
    print("\nshare of (live host, dead host) pairs suspected, 10% dead at once")
    print(f"{'hosts':>6} {'5 s':>6} {'10 s':>6} {'15 s':>6} {'20 s':>6} wrong")
    for hosts in SIZES:
        net = start_network(hosts)
        dead = list(net.nodes.values())[::10][: hosts // 10]
        for node in dead:
            node.running = False
        shares = []
        for _ in range(4):
            net.run(5)
            shares.append(f"{suspected_share(net, dead):>6.3f}")
        wrong = sum(
            node.core.members.state(other.profile.host)
            is models.HostState.SUSPECTED
            for node in net.nodes.values()
            for other in net.nodes.values()
            if node.running and other.running
        )
        print(f"{hosts:>6} {' '.join(shares)} {wrong:>5}")


def suspected_share(
    net: simulated_network.SimulatedNetwork, dead: list[simulated_network.Node]
) -> float:
    """Returns the share of pairs in which the dead host is suspected."""
    live = [node for node in net.nodes.values() if node.running]
    suspected = sum(
        node.core.members.state(other.profile.host)
        is models.HostState.SUSPECTED
        for node in live
        for other in dead
    )
    return suspected / (len(live) * len(dead))


def print_cost(transport: Transport) -> None:
    """Prints bytes and processor time per second of one daemon."""
    print("\ncost of one daemon, a second")
    print(
        f"{'hosts':>6} {'calls':>6} {'opens':>6} {'sent bytes':>11}"
        f" {'with headers':>13} {'core share':>11}"
    )
    for hosts in SIZES:
        net = start_network(hosts)
        traffic = Traffic()
        opens = count_new_connections(net)
        net.on_message = traffic.count_message
        started_s = time.process_time()
        net.run(COST_S)
        spent_s = time.process_time() - started_s
        # Includes the codec, and the counting, which encodes once more.
        scale = hosts * COST_S
        calls = traffic.messages / 2 / scale
        connections = opens[0] / scale
        sent = (
            traffic.encoded_bytes / scale
            + calls * transport.call_bytes
            + connections * transport.connection_bytes
        )
        packets = (
            calls * PACKETS_PER_CALL + connections * PACKETS_PER_CONNECTION
        )
        share = (
            spent_s / scale
            + calls * transport.call_s
            + connections * transport.connection_s
        )
        print(
            f"{hosts:>6} {calls:>6.2f} {connections:>6.3f} {sent:>11.0f}"
            f" {sent + packets * PACKET_HEADER_BYTES:>13.0f} {share:>11.3%}"
        )


def count_new_connections(net: simulated_network.SimulatedNetwork) -> list[int]:
    """Counts connections opened from now on.

    Returns:
        A list whose only item is the current count.
    """
    opens = [0]
    used_s: dict[tuple[str, str], float] = {}
    send = net.send

    def count(
        node: simulated_network.Node, requests: list[gossip.GossipRequest]
    ) -> None:
        for request in requests:
            pair = (node.profile.peer_address, request.address)
            # A pair without a known use counts as connected until the network
            # has settled.
            if net.now_s - used_s.get(pair, started_s) > IDLE_S or (
                pair not in used_s and net.now_s > started_s + settled_s
            ):
                opens[0] += 1
            used_s[pair] = net.now_s
        send(node, requests)

    started_s = net.now_s
    settled_s = gossip.VIEW_SIZE * gossip.INTERVAL_S
    net.send = count  # type: ignore[method-assign]
    return opens


def measure_transport() -> Transport:
    """Returns the cost of calls and connections on a loopback address."""
    return asyncio.run(_measure_transport())


async def _measure_transport() -> Transport:
    net = start_network(25)
    node = next(iter(net.nodes.values()))
    message = node.core.tick(net.now_s)[0].message
    size = codec.encoded_size_bytes(message)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        server = peer_servers.PeerServer(
            node.profile.host, SECRET, Echo(message)
        )
        await stack.enter_async_context(server)
        address = await server.start("127.0.0.1:0")
        proxy = CountingProxy(address)
        counted = await proxy.start(stack)
        client = peer_clients.PeerClient(
            node.profile.host, SECRET, random.Random(1)
        )
        await stack.enter_async_context(client)
        await client.gossip(counted, message)
        first = proxy.bytes
        await client.gossip(counted, message)
        call_bytes = proxy.bytes - first - 2 * size
        connection_bytes = first - call_bytes - 2 * size
        before = proxy.bytes
        await client.heartbeat(
            counted,
            sessions.Heartbeat(
                shares.SessionId("entry-001/1234567890.1"), 1, 9
            ),
        )
        heartbeat_bytes = proxy.bytes - before
        call_s = await time_calls(client, address, message, CALLS, False)
        both_s = await time_calls(client, address, message, CONNECTIONS, True)
        # The codec's time is already counted with the core.
        traffic = Traffic()
        for _ in range(CALLS):
            traffic.count_message(node.profile.host, message)
        codec_s = 2 * traffic.codec_s / CALLS
        return Transport(
            max(0.0, call_s - codec_s),
            both_s - call_s,
            call_bytes,
            heartbeat_bytes,
            connection_bytes,
        )


async def time_calls(
    client: peer_clients.PeerClient,
    address: str,
    message: gossip.GossipMessage,
    count: int,
    reopen: bool,
) -> float:
    """Returns the processor time of one call, both ends together."""
    await client.gossip(address, message)
    started_s = time.process_time()
    for _ in range(count):
        if reopen:
            await client.close()
        await client.gossip(address, message)
    return (time.process_time() - started_s) / count


class CountingProxy:
    """TCP proxy that counts the bytes that it forwards.

    Attributes:
        bytes: Bytes forwarded, both ways.
    """

    def __init__(self, address: str):
        """Takes the address to forward to."""
        self.host, self.port = peers.split_address(address)
        self.bytes = 0

    async def start(self, stack: contextlib.AsyncExitStack) -> str:
        """Listens on a loopback address and returns it."""
        listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        stack.callback(listener.close)
        return f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self.host, self.port
        )
        await asyncio.gather(
            self._pump(reader, upstream_writer),
            self._pump(upstream_reader, writer),
        )

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(65536):
            self.bytes += len(data)
            sink.write(data)
        sink.close()


def main() -> None:
    """Runs all measurements and prints the tables."""
    transport = measure_transport()
    print("transport, both ends together:")
    print(f"  call: {transport.call_s * 1e3:.3f} ms", end="")
    print(f", envelope {transport.call_bytes:.0f} bytes")
    print(f"  connection: {transport.connection_s * 1e3:.2f} ms", end="")
    print(f", {transport.connection_bytes:.0f} bytes")
    print(f"  heartbeat of a witness: {transport.heartbeat_bytes:.0f} bytes")
    print_cost(transport)
    print_spread()
    print_detection()


if __name__ == "__main__":
    main()

"""The peer protocol between hosts on loopback addresses, in one process."""

import asyncio
import contextlib
import dataclasses
import math
import random

import capnp
import eliot
import pytest

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed.core import freshness
from banyanshed.core import gossip
from banyanshed.core import handover
from banyanshed.core import membership
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.edges import codec
from banyanshed.edges import peer_clients
from banyanshed.edges import peer_servers
from banyanshed.edges import peers

SECRET = b"0123456789abcdef0123456789abcdef"
PROFILE = models.ListedHost(
    host="h0",
    region="sask",
    zone="sask-a",
    caller_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    state=models.HostState.LIVE,
)
ENTRY = membership.MemberEntry("h0", 2**64 - 1, 7, models.HostState.LEAVING)
MESSAGE = gossip.GossipMessage(
    sender=dataclasses.replace(ENTRY, profile=PROFILE),
    version=3,
    known_hosts=2,
    confirmed_age_s=1.5,
    contacts=(freshness.StoreRegionContact("h1", 0.25),),
    entries=(dataclasses.replace(ENTRY, host="h9"),),
    wanted_profiles=("h2",),
    probes=("h3",),
)
LIMITS = peers.PeerLimits(handshake_timeout_s=0.2, call_timeout_s=0.3)
LARGEST_SESSION = bytes(handover.MAX_CONTENT_BYTES)
WHOLE_DELTA = bytes(range(256)) * 1000


class EchoHandler:
    """Echoes gossip messages and counts its calls."""

    def __init__(self):
        self.gossip_calls = 0
        self.encoded = 0

    def on_gossip(self, message):
        self.gossip_calls += 1
        return message

    def version(self):
        return 5

    def delta_since(self, version):
        self.encoded += 1
        return peers.Delta(version + 1, WHOLE_DELTA)

    def on_heartbeat(self, heartbeat):
        return sessions.Acknowledgement(
            sessions.WitnessId("h0", "f00d", heartbeat.term),
            heartbeat.session,
            heartbeat.sequence,
            accepted=heartbeat.term == 2,
        )

    def on_open_handover(self):
        return handover.HandoverOpening("f00d", 12.5)

    def on_hand_over(self, opening, content):
        return opening == self.on_open_handover() and content == LARGEST_SESSION


@dataclasses.dataclass
class ServerUnderTest:
    server: peer_servers.PeerServer
    handler: EchoHandler
    address: str
    logged: list

    def codes(self):
        return [line["code"] for line in self.logged if "code" in line]

    async def wait_for_code(self):
        while not self.codes():
            await asyncio.sleep(0.005)
        return self.codes()[0]


@contextlib.asynccontextmanager
async def run_server(limits=LIMITS):
    async with contextlib.AsyncExitStack() as stack:
        logged = []
        eliot.add_destinations(logged.append)
        stack.callback(eliot.remove_destination, logged.append)
        await stack.enter_async_context(capnp.kj_loop())
        handler = EchoHandler()
        server = peer_servers.PeerServer("h0", SECRET, handler, limits)
        await stack.enter_async_context(server)
        address = await server.start("127.0.0.1:0")
        yield ServerUnderTest(server, handler, address, logged)


def make_client(secret=SECRET, limits=LIMITS):
    return peer_clients.PeerClient("h1", secret, random.Random(1), limits)


def run(scenario):
    asyncio.run(scenario())


def test_calls_arrive_unchanged_over_one_connection():
    async def scenario():
        async with run_server() as under_test, make_client() as client:
            calls = [
                client.gossip(under_test.address, MESSAGE) for _ in range(9)
            ]
            assert await asyncio.gather(*calls) == [MESSAGE] * 9
            for term in (1, 2):
                beat = sessions.Heartbeat("h1/cafe.1", term, 9)
                answer = await client.heartbeat(under_test.address, beat)
                assert answer == under_test.handler.on_heartbeat(beat)
            opening = await client.open_handover(under_test.address)
            for content in (LARGEST_SESSION, b""):
                taken = await client.hand_over(
                    under_test.address, opening, content
                )
                assert taken == bool(content)
            for _ in range(3):
                delta = await client.fetch_delta(under_test.address, 4)
                assert delta == peers.Delta(5, WHOLE_DELTA)
            assert under_test.handler.encoded == 1
            assert len(under_test.server.connections) == 1

    run(scenario)


def test_wrong_secret_is_refused_on_either_side():
    async def scenario():
        async with run_server() as under_test:
            async with make_client(b"x" * 32) as client:
                with pytest.raises(exceptions.PeerNotProved, match="another"):
                    await client.gossip(under_test.address, MESSAGE)
            # A client that does not check the server's proof is refused, too.
            host, port = addresses.split(under_test.address)
            stream = await capnp.AsyncIoStream.create_connection(host, port)
            rpc = capnp.TwoPartyClient(stream)
            gate = rpc.bootstrap().cast_as(codec.SCHEMA.Gate)
            hello = await gate.hello(peers.PROTOCOL_VERSION, "h1", b"n" * 32)
            parts = (b"n" * 32, bytes(hello.nonce), b"h1", b"h0")
            # Refused proofs: from another secret, and the server's own proof
            # reflected. After a wrong proof even the correct one is refused.
            for proof in (
                peers.make_proof(b"x" * 32, "client", *parts),
                hello.proof,
                peers.make_proof(SECRET, "client", *parts),
            ):
                answer = await gate.authenticate(proof)
                assert answer.error == "peer_not_proved"
                with pytest.raises(capnp.KjException):
                    await answer.peer.gossip()
            assert under_test.handler.gossip_calls == 0
            assert "peer_not_proved" in under_test.codes()
            rpc.close()

    run(scenario)


def test_other_protocol_version_is_named(monkeypatch):
    async def scenario():
        async with run_server() as under_test, make_client() as client:
            host, port = addresses.split(under_test.address)
            stream = await capnp.AsyncIoStream.create_connection(host, port)
            rpc = capnp.TwoPartyClient(stream)
            gate = rpc.bootstrap().cast_as(codec.SCHEMA.Gate)
            hello = await gate.hello(2, "h1", b"n" * 32)
            assert (hello.error, hello.protocol) == ("peer_version", 1)
            assert under_test.codes() == ["peer_version"]
            rpc.close()
            # A server with another version, from the client's side.
            monkeypatch.setattr(peers, "PROTOCOL_VERSION", 2)
            call = client.gossip(under_test.address, MESSAGE)
            monkeypatch.setattr(
                peer_servers.GateService, "hello", answer_as_version_1
            )
            with pytest.raises(exceptions.PeerVersionMismatch):
                await call

    async def answer_as_version_1(self, _context, **_):
        _context.results.protocol = 1

    run(scenario)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", "peer_foreign"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "peer_foreign"),
        (b"\0\0\0\0\xff\xff\xff\x7f", "peer_foreign"),
        (b"\0\0\0", "peer_handshake_timeout"),
        (b"", "peer_handshake_timeout"),
        (b"\0\0\0\0\x10\0\0\0half", "peer_handshake_timeout"),
    ],
)
def test_non_protocol_and_partial_bytes_close_with_a_code(data, code):
    async def scenario():
        async with run_server() as under_test, make_client() as client:
            host, port = addresses.split(under_test.address)
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            assert await under_test.wait_for_code() == code
            await reader.read()
            writer.close()
            assert await client.gossip(under_test.address, MESSAGE) == MESSAGE

    run(scenario)


def test_oversize_message_of_an_authenticated_peer_closes_the_connection():
    async def scenario():
        big = dataclasses.replace(MESSAGE, wanted_profiles=("x" * (1 << 20),))
        async with run_server() as under_test, make_client() as client:
            await client.gossip(under_test.address, MESSAGE)
            with pytest.raises(exceptions.PeerError):
                await client.gossip(under_test.address, big)
            assert await under_test.wait_for_code() == "peer_gone"
            assert under_test.handler.gossip_calls == 1
            assert await client.gossip(under_test.address, MESSAGE) == MESSAGE

    run(scenario)


@pytest.mark.parametrize(
    "change",
    [
        {"confirmed_age_s": -1.0},
        {"confirmed_age_s": math.nan},
        {"contacts": (freshness.StoreRegionContact("h1", -0.5),)},
        {"wanted_profiles": ("",)},
        {"probes": ("h",) * 200},
        {"entries": (dataclasses.replace(ENTRY, host="x" * 200),)},
    ],
)
def test_malformed_message_is_refused_and_closes(change):
    async def scenario():
        bad = dataclasses.replace(MESSAGE, **change)
        async with run_server() as under_test, make_client() as client:
            with pytest.raises(exceptions.PeerError):
                await client.gossip(under_test.address, bad)
            assert under_test.codes() == ["peer_malformed"]
            assert under_test.handler.gossip_calls == 0

    run(scenario)


def test_silent_peer_times_out_then_backs_off_and_is_bounded():
    async def scenario():
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(capnp.kj_loop())
            accepted = []

            async def accept_without_reply(reader, writer):
                accepted.append(writer)
                await reader.read()
                writer.close()

            silent = await asyncio.start_server(
                accept_without_reply, "127.0.0.1", 0
            )
            stack.callback(silent.close)
            port = silent.sockets[0].getsockname()[1]
            limits = dataclasses.replace(
                LIMITS, connect_timeout_s=0.1, max_client_connections=2
            )
            client = make_client(limits=limits)
            await stack.enter_async_context(client)
            address = f"127.0.0.1:{port}"
            with pytest.raises(exceptions.PeerTimeout):
                await client.gossip(address, MESSAGE)
            with pytest.raises(exceptions.PeerBackoff):
                await client.gossip(address, MESSAGE)
            assert len(accepted) == 1
            for place in range(5):
                with pytest.raises(exceptions.PeerUnreachable):
                    await client.gossip(f"127.0.0.1:{place + 1}", MESSAGE)
            assert len(client.connections) == 2

    run(scenario)


def test_slow_reply_times_out_and_the_next_call_gets_its_own_reply():
    async def scenario():
        async with run_server() as under_test, make_client() as client:
            original = peer_servers.PeerService.gossip

            async def delayed_gossip(self, message, _context, **kwargs):
                await asyncio.sleep(0.4)
                await original(self, message, _context=_context)

            other = dataclasses.replace(MESSAGE, version=9)
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(
                    peer_servers.PeerService, "gossip", delayed_gossip
                )
                with pytest.raises(exceptions.PeerTimeout):
                    await client.gossip(under_test.address, MESSAGE)
            assert await client.gossip(under_test.address, other) == other

    run(scenario)


def test_served_connections_are_bounded_unauthenticated_ones_close_first():
    async def scenario():
        limits = dataclasses.replace(
            LIMITS, max_server_connections=3, handshake_timeout_s=9
        )
        async with run_server(limits) as under_test, make_client() as client:
            await client.gossip(under_test.address, MESSAGE)
            host, port = addresses.split(under_test.address)
            writers = []
            for _ in range(6):
                _, writer = await asyncio.open_connection(host, port)
                writers.append(writer)
            while under_test.codes().count("peer_connections_full") < 4:
                await asyncio.sleep(0.005)
            await client.gossip(under_test.address, MESSAGE)
            while len(under_test.server.connections) > 3:
                await asyncio.sleep(0.005)
            assert set(under_test.codes()) == {"peer_connections_full"}
            for writer in writers:
                writer.close()

    run(scenario)


def test_handler_errors_are_not_disclosed_to_the_peer():
    async def scenario():
        async with run_server() as under_test, make_client() as client:
            under_test.handler.on_gossip = lambda message: 1 / 0
            with pytest.raises(exceptions.PeerUnreachable) as caught:
                await client.gossip(under_test.address, MESSAGE)
            assert "zero" not in str(caught.value)
            assert any("exception" in line for line in under_test.logged)

    run(scenario)


def test_secret_never_crosses_the_wire():
    async def scenario():
        async with run_server() as under_test, make_client() as client:
            seen = bytearray()

            async def relay(reader, writer):
                host, port = addresses.split(under_test.address)
                up_reader, up_writer = await asyncio.open_connection(host, port)

                async def pump(source, sink):
                    while data := await source.read(4096):
                        seen.extend(data)
                        sink.write(data)
                    sink.close()

                await asyncio.gather(
                    pump(reader, up_writer), pump(up_reader, writer)
                )

            proxy = await asyncio.start_server(relay, "127.0.0.1", 0)
            port = proxy.sockets[0].getsockname()[1]
            assert await client.gossip(f"127.0.0.1:{port}", MESSAGE) == MESSAGE
            assert b"sask-a" in seen
            assert SECRET not in seen
            proxy.close()

    run(scenario)

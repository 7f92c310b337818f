"""Sends requests through peers while this host reaches no backend server.

The peer gets the caller's request as it is, with a header that says how many
attempts are left. It serves it like its own, but for the customer's quota and
the count of requests, which this host has taken, and it never passes it on to
another peer. Its response says whether a server may have run the request.
"""

import asyncio
from collections.abc import Callable, Collection, Sequence
import dataclasses
import enum

from banyanshed.gateway import clients
from banyanshed.gateway import messages
from banyanshed.gateway import pools
from banyanshed.platform import headers as header_names
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import routing

# Number of attempts that are left, in a request that a peer passes on.
ATTEMPTS_HEADER = b"banyanshed-attempts"
# What became of the request at the peer, in its response.
RESULT_HEADER = b"banyanshed-result"
# Peers that are asked for one request.
MAX_PEERS = 3


class Result(enum.Enum):
    """What became of a request at a peer.

    Attributes:
        ANSWERED: The response is a server's final one.
        NOT_RUN: No server can have run the request.
        FAILED: A server may have run it; the response is for the caller.
        UNAVAILABLE: The peer could not try; another one may.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNAVAILABLE = "unavailable"


_RESULT_BY_VALUE = {result.value.encode(): result for result in Result}
# Results of requests that have not run and never will.
NOT_RUN_RESULTS = frozenset({Result.NOT_RUN, Result.UNAVAILABLE})


@dataclasses.dataclass(frozen=True, slots=True)
class PeerResponse:
    """A peer's response to a request that was passed on.

    Attributes:
        result: What became of the request.
        response: The response for the caller.
    """

    result: Result
    response: messages.Response


class PeerForwarder:
    """Passes requests on to peers that reach the servers."""

    def __init__(
        self,
        fleet: members.Members,
        connection_pools: pools.ConnectionPools,
        port: int,
        random: Callable[[], float],
    ):
        """Initializes the forwarder.

        Args:
            fleet: The peers.
            connection_pools: Connections to peers.
            port: Port of the traffic between hosts, the same on every host.
            random: Returns random numbers from 0 up to 1.
        """
        self.fleet = fleet
        self.connection_pools = connection_pools
        self.port = port
        self.random = random
        self.loop = asyncio.get_running_loop()

    def choose_peer(
        self, plan: routing.Plan, tried: Collection[models.HostId]
    ) -> members.Member | None:
        """Returns a peer for a request; None if there is none to ask."""
        if len(tried) >= MAX_PEERS:
            return None
        return self.fleet.choose_helper(
            plan.home_regions, tried, self.random, self.loop.time()
        )

    async def connect(
        self, plan: routing.Plan, peer: members.Member
    ) -> clients.Connection:
        """Returns a connection to a peer, on which nothing has been sent yet.

        Args:
            plan: Route of the request.
            peer: The peer.

        Raises:
            ConnectFailed: The peer can't be reached.
        """
        entry = _register_peer(peer.host, self.port)
        return await self.connection_pools.acquire(
            entry, plan.route.idempotent, self.loop.time()
        )

    async def send(
        self,
        request: messages.Request,
        plan: routing.Plan,
        peer: members.Member,
        connection: clients.Connection,
        attempts: int,
    ) -> PeerResponse:
        """Sends a request through a peer.

        Args:
            request: The caller's request.
            plan: Its route.
            peer: The peer.
            connection: Connection to the peer.
            attempts: Number of servers that it may still be sent to.

        Raises:
            ResponseLost: The peer may have passed the request on.
            TimeoutError: The same.
        """
        remaining_s = plan.expires_at - self.loop.time()
        async with asyncio.timeout_at(plan.expires_at):
            response = await connection.send(
                _request_to_peer(request, remaining_s, attempts),
                header_names.REQUEST_ID,
            )
        self.connection_pools.release(_server_id(peer.host), connection)
        return _read_response(response)


def read_attempts(request: messages.Request) -> int | None:
    """Returns the attempts that a peer left for a request.

    None if the request was not passed on by a peer, or is malformed.
    """
    value = request.find(ATTEMPTS_HEADER)
    if value is None or not value.isdigit() or len(value) > 3:
        return None
    return int(value)


def strip_attempts(request: messages.Request) -> messages.Request:
    """Returns the caller's request that a peer passed on."""
    return dataclasses.replace(
        request, headers=_without(request.headers, {ATTEMPTS_HEADER})
    )


def response_to_peer(
    request: messages.Request, result: Result, response: messages.Response
) -> messages.Response:
    """Returns the response that tells a peer what became of its request."""
    headers = list(response.headers)
    headers.append((RESULT_HEADER, result.value.encode()))
    request_id = request.find(header_names.REQUEST_ID)
    if request_id is not None and not response.find(header_names.REQUEST_ID):
        headers.append((header_names.REQUEST_ID, request_id))
    return messages.Response(response.status, headers, response.body)


def _request_to_peer(
    request: messages.Request, remaining_s: float, attempts: int
) -> messages.Request:
    headers = _without(
        messages.strip_hop_by_hop(request.headers),
        {ATTEMPTS_HEADER, header_names.DEADLINE_MS, b"expect"},
    )
    deadline = header_names.encode_deadline(remaining_s)
    headers.append((header_names.DEADLINE_MS, deadline))
    headers.append((ATTEMPTS_HEADER, str(attempts).encode()))
    return messages.Request(
        request.method, request.target, headers, request.body
    )


def _read_response(response: messages.Response) -> PeerResponse:
    """Decodes a peer's response.

    Raises:
        ResponseLost: It does not tell what became of the request.
    """
    value = response.find(RESULT_HEADER)
    result = _RESULT_BY_VALUE.get(value) if value is not None else None
    if value is None and _is_unread(response.status):
        result = Result.UNAVAILABLE
    if result is None:
        text = "none" if value is None else value.decode("latin-1")
        raise clients.ResponseLost(f"unknown result of a peer: {text}")
    headers = _without(
        messages.strip_hop_by_hop(response.headers), {RESULT_HEADER}
    )
    return PeerResponse(
        result, messages.Response(response.status, headers, response.body)
    )


def _is_unread(status: int) -> bool:
    """Returns whether a status without a result is from before the forwarder.

    A listener rejects what it can't read, and hosts of early releases know of
    no requests of peers.
    """
    return 400 <= status < 500 or status in (501, 503)


def _without(
    headers: Sequence[tuple[bytes, bytes]], names: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    return [item for item in headers if item[0] not in names]


def _server_id(host: members.Host) -> models.ServerId:
    """Returns the id under which the pools know a peer."""
    return models.ServerId(f"peer {host.id}")


def _register_peer(host: members.Host, port: int) -> models.Registration:
    """Returns what the pools need to know of a peer."""
    return models.Registration(
        _server_id(host),
        (host.ip, port),
        models.ServiceName(""),
        host.zone,
        1,
        models.ServerState.READY,
        0.0,
        host.started_ms,
    )

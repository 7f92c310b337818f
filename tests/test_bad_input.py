"""Malformed input to a running host: it is rejected, the host keeps serving."""

import contextlib
import errno
import json
import socket

import pytest

from standins import fleet as fleets
from standins import sites

pytestmark = pytest.mark.processes

TIMEOUT_S = 30
BODY_LIMIT_BYTES = 1000
COMMON_HEADERS = (
    "Host: x\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n"
)
NON_PROTOCOL_BYTES = [
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(256)),
    b"\x00" * 5000,
    b"\xff" * 70000,
    b"SSH-2.0-client\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"\r\n" * 100,
]


@pytest.fixture(scope="module")
def site():
    with contextlib.ExitStack() as exits:
        fleet = fleets.Fleet(exits, store_region="sask")
        yield sites.start(
            fleet,
            hosts=sites.HOSTS[:1],
            lookup_ttl_s=1,
            stop_timeout_s=10,
            body_limit_bytes=BODY_LIMIT_BYTES,
        )


@pytest.fixture
def child(site):
    """Yields the host; after each test it must still serve requests."""
    host = site.fleet.hosts["sask-a-1"]
    yield host
    headers = {"Authorization": f"Bearer {site.key}"}
    answer = host.call("GET", "/services/board/after", headers=headers)
    assert answer.status == 200, answer.data
    assert host.process.poll() is None


def send_bytes(address, content, half_close=False):
    """Sends bytes and returns all received until the connection closes."""
    ip, port = address.rsplit(":", 1)
    with socket.create_connection((ip, int(port)), TIMEOUT_S) as link:
        with contextlib.suppress(ConnectionError, BrokenPipeError):
            link.sendall(content)
        if half_close:
            shut_down_writing(link)
        received = b""
        with contextlib.suppress(ConnectionError):
            while part := link.recv(65536):
                received += part
        return received


def shut_down_writing(link):
    """Shuts down writing unless the host has already closed the connection."""
    try:
        link.shutdown(socket.SHUT_WR)
    except OSError as error:
        if error.errno != errno.ENOTCONN:
            raise


def send_request(
    site, child, method="POST", lines="", body=b"", half_close=False
):
    """Sends a raw request and returns the status and the problem's code."""
    head = (
        f"{method} /services/board/bad HTTP/1.1\r\n{COMMON_HEADERS}{lines}\r\n"
    )
    content = head.format(key=site.key).encode("latin-1") + body
    received = send_bytes(child.address, content, half_close)
    head, _, text = received.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    return status, json.loads(text)["code"] if text.startswith(b"{") else None


def count_runs(site):
    backends = site.fleet.backends.values()
    return sum(
        run["path"] == "/bad"
        for backend in backends
        for run in backend.get("/_executed")["executions"]
    )


REFUSED = [
    ("Banyanshed-Deadline-Ms: -1\r\n", b"", (400, "bad_deadline")),
    ("Banyanshed-Deadline-Ms: 1e9\r\n", b"", (400, "bad_deadline")),
    ("Banyanshed-Deadline-Ms: \xb2\r\n", b"", (400, "bad_deadline")),
    ("Banyanshed-Deadline-Ms: 0\r\n", b"", (400, "bad_deadline")),
    ("Idempotency-Key:\r\n", b"", (400, "bad_idempotency_key")),
    (f"Idempotency-Key: {'k' * 256}\r\n", b"", (400, "bad_idempotency_key")),
    (
        f"Content-Length: {BODY_LIMIT_BYTES + 1}\r\n",
        b"x" * (BODY_LIMIT_BYTES + 1),
        (413, "body_too_large"),
    ),
    (
        "Transfer-Encoding: chunked\r\n",
        b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n",
        (413, "body_too_large"),
    ),
]


@pytest.mark.parametrize("lines, body, expected", REFUSED)
def test_a_bad_request_is_refused_with_a_code(
    site, child, lines, body, expected
):
    before = count_runs(site)
    assert send_request(site, child, lines=lines, body=body) == expected
    assert count_runs(site) == before


@pytest.mark.parametrize(
    "lines, body",
    [
        ("Content-Length: many\r\n", b"x"),
        ("Content-Length: -5\r\n", b"x"),
        ("Content-Length: 5\r\nContent-Length: 6\r\n", b"123456"),
        (
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"5\r\nabcde\r\n0\r\n\r\n",
        ),
        ("Content-Length: 100\r\n", b"half"),
        ("Authorization: Bearer another\r\n", b""),
        ("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", b""),
        ("Transfer-Encoding: chunked\r\n", b"zz\r\nabc\r\n0\r\n\r\n"),
        ("Transfer-Encoding: chunked\r\n", b"5\r\nab"),
        (f"X-Huge: {'x' * 100000}\r\n", b""),
        ("".join(f"X-{n}: {'x' * 80}\r\n" for n in range(1000)), b""),
        ("no colon here\r\n", b""),
        ("X: \x00\x01\r\n", b""),
    ],
)
def test_a_malformed_request_is_never_run(site, child, lines, body):
    """The HTTP server may respond in its own format or close the connection."""
    before = count_runs(site)
    with contextlib.suppress(IndexError):
        status, _ = send_request(
            site, child, lines=lines, body=body, half_close=True
        )
        assert 400 <= status < 500
    assert count_runs(site) == before


@pytest.mark.parametrize("content", NON_PROTOCOL_BYTES)
def test_non_http_bytes_on_the_caller_port(child, content):
    received = send_bytes(child.address, content, half_close=True)
    assert b" 200 " not in received[:20]


@pytest.mark.parametrize(
    "content", [*NON_PROTOCOL_BYTES, b"\x00\x00\x00\x80" * 4, b""]
)
def test_non_protocol_bytes_on_the_peer_port(site, child, content):
    address = site.fleet.settings["sask-a-1"]["peer_address"]
    send_bytes(address, content, half_close=True)
    assert child.get("/health")["state"] == "live"

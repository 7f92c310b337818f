import concurrent.futures
import contextlib
import hashlib
import socket
import threading

import pytest

from banyanshed.core import events
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import forwarding

LIMIT = 1 << 20


class Backend:
    """Threaded server whose script writes the bytes of each response.

    The script gets the connection, the parsed headers, the body and the
    number of the request on its connection; it returns False to close it.
    """

    def __init__(self, script):
        self.script = script
        self.seen = []
        self.connections = 0
        self.stack = contextlib.ExitStack()
        self.listener = self.stack.enter_context(
            socket.create_server(("127.0.0.1", 0))
        )
        port = self.listener.getsockname()[1]
        self.target = requests.Target("b", "sask", f"127.0.0.1:{port}")

    def __enter__(self):
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.stack.close()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self.serve, args=(conn,), daemon=True
                ).start()

    def serve(self, conn):
        number = 0
        with (
            contextlib.suppress(OSError),
            conn,
            conn.makefile("rb") as reader,
        ):
            while line := reader.readline():
                headers = {"line": line.decode().strip()}
                while (field := reader.readline().decode().strip()) != "":
                    name, _, value = field.partition(":")
                    headers[name.lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", 0)))
                self.seen.append(headers)
                number += 1
                if self.script(conn, headers, body, number) is False:
                    return


def answer(headers, body=b"", status=200, extra="", length=None):
    """Returns the bytes of a complete response that echoes the request id."""
    length = len(body) if length is None else length
    return (
        f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n"
        f"Banyanshed-Request-Id: {headers['banyanshed-request-id']}\r\n"
        f"{extra}\r\n"
    ).encode() + body


def call(request_id="r1", method="POST", body=b"", headers=None, target="/x"):
    return requests.CallerRequest(
        request_id,
        models.ServiceId("bookings"),
        None,
        None,
        method,
        target,
        headers or {},
        body,
        5.0,
    )


def send(forwarder, backend, request, time_left_s=5.0, limit=LIMIT):
    return forwarder.send(
        request,
        backend.target,
        models.TenantId("club"),
        time_left_s,
        answer_bytes=limit,
    )


@pytest.fixture
def forwarder():
    with forwarding.Forwarder() as made:
        yield made


def test_passes_request_and_answer_without_hop_by_hop_headers(forwarder):
    extra = (
        "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: X-Hop\r\n"
        "X-Hop: 1\r\nKeep-Alive: 3\r\nBanyanshed-Leaving: 1\r\n"
    )

    def script(conn, headers, body, number):
        conn.sendall(answer(headers, body.upper(), extra=extra))

    sent = {
        "Connection": "close, X-Mine",
        "X-Mine": "1",
        "X-Kept": "2",
        "Transfer-Encoding": "chunked",
        "content-length": "900",
        "BANYANSHED-Tenant": "other",
    }
    with Backend(script) as backend:
        result = send(forwarder, backend, call(body=b"seat", headers=sent))
        second = send(forwarder, backend, call("r2", "GET"))
        assert backend.connections == 1
    assert (result.status, result.body, result.leaving) == (200, b"SEAT", True)
    assert list(result.headers.items()) == [
        ("Content-Length", "4"),
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
    ]
    assert second.body == b""
    seen = backend.seen[0]
    assert seen["line"] == "POST /x HTTP/1.1"
    assert seen["banyanshed-request-id"] == "r1"
    assert seen["banyanshed-tenant"] == "club"
    assert 4000 < int(seen["banyanshed-deadline-ms"]) <= 5000
    assert seen["x-kept"] == "2"
    assert not {"x-mine", "transfer-encoding", "connection"} & seen.keys()


@pytest.mark.invariant("own-answer")
@pytest.mark.parametrize("form", ["length", "chunked", "empty", "head"])
def test_a_truncated_response_is_never_delivered(forwarder, form):
    ends = {
        "length": b"Content-Length: 10\r\n\r\n0123456789",
        # Truncated within "0a", the chunk size reads as that of the last chunk.
        "chunked": (
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"0a\r\n0123456789\r\n00f\r\n012345678901234\r\n0\r\n\r\n"
        ),
        "empty": b"Content-Length: 0\r\nX-Last: 1\r\n\r\n",
        "head": b"Content-Length: 10\r\nX-Last: 1\r\n\r\n",
    }
    whole = b"HTTP/1.1 200 OK\r\n" + ends[form]
    method = "HEAD" if form == "head" else "GET"
    cuts = iter(range(len(whole) + 1))

    def script(conn, headers, body, number):
        conn.sendall(whole[: next(cuts)])
        return False

    with Backend(script) as backend:
        results = [send(forwarder, backend, call(method=method)) for _ in whole]
        last = send(forwarder, backend, call(method=method))
    for cut, result in enumerate(results):
        assert isinstance(result, requests.AttemptFailure), cut
        assert result.ran is models.Ran.UNKNOWN, cut
    assert last.status == 200
    assert len(last.body) == {"length": 10, "chunked": 25}.get(form, 0)


@pytest.mark.invariant("own-answer")
@pytest.mark.parametrize(
    ("head", "code"),
    [
        ("", "unframed"),
        ("Content-Length: 1\r\nContent-Length: 2\r\n", "bad_framing"),
        ("Content-Length: +2\r\n", "bad_framing"),
        (
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
            "bad_framing",
        ),
        ("Content-Length: 2000000\r\n", "answer_too_large"),
        ("Content-Length: 2\r\nBanyanshed-Request-Id: r0\r\n", "crossed"),
    ],
)
def test_response_with_ambiguous_framing_or_wrong_id_is_rejected(
    forwarder, head, code
):
    def script(conn, headers, body, number):
        conn.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\nok".encode())

    with Backend(script) as backend:
        for attempt in range(2):
            result = send(forwarder, backend, call())
            assert result == requests.AttemptFailure(models.Ran.UNKNOWN, code)
            assert backend.connections == attempt + 1


@pytest.mark.invariant("own-answer")
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_a_status_that_is_no_final_response_is_rejected(forwarder, status):
    def script(conn, headers, body, number):
        head = f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n"
        head += f"Banyanshed-Request-Id: {headers['banyanshed-request-id']}\r\n"
        conn.sendall(f"{head}\r\nok".encode())

    with Backend(script) as backend:
        result = send(forwarder, backend, call())
    assert isinstance(result, requests.AttemptFailure)
    assert result.ran is models.Ran.UNKNOWN


@pytest.mark.invariant("own-answer")
def test_chunked_answer_over_the_limit_is_dropped(forwarder):
    def script(conn, headers, body, number):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            conn.sendall(b"3e8\r\n" + b"x" * 1000 + b"\r\n")

    with Backend(script) as backend:
        result = send(forwarder, backend, call(), limit=5000)
    assert result.code == "answer_too_large"


@pytest.mark.invariant("own-answer")
@pytest.mark.parametrize("echo", [True, False])
@pytest.mark.parametrize("late", [True, False])
def test_duplicated_answer_reaches_no_other_request(forwarder, echo, late):
    replies = []

    def script(conn, headers, body, number):
        reply = answer(headers, b"own " + body)
        if not echo:
            reply = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nown " + body
        replies.append(reply)
        if not late:
            conn.sendall(reply + reply)
        elif number > 1:
            # The duplicate arrives after the next request was sent.
            conn.sendall(replies[-2] + reply)
        else:
            conn.sendall(reply)

    answered = 0
    with Backend(script) as backend:
        for name in ["aa", "bb", "cc", "dd"]:
            result = send(forwarder, backend, call(name, body=name.encode()))
            if isinstance(result, requests.Answer):
                assert result.body == b"own " + name.encode()
                answered += 1
            else:
                assert result.ran is models.Ran.UNKNOWN
        assert answered == (2 if echo and late else 4)
        assert backend.connections == (2 if echo and late else 4)


@pytest.mark.invariant("own-answer")
def test_stray_answer_without_id_is_not_taken_on_a_used_connection(forwarder):
    stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

    def script(conn, headers, body, number):
        conn.sendall(answer(headers) if number == 1 else stray)

    with Backend(script) as backend:
        assert send(forwarder, backend, call("r1")).status == 200
        assert send(forwarder, backend, call("r2")).code == "crossed"


@pytest.mark.invariant("own-answer")
def test_early_hints_do_not_shift_answers(forwarder):
    def script(conn, headers, body, number):
        hints = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        conn.sendall(hints + answer(headers, body))

    with Backend(script) as backend:
        for name in ["r1", "r2"]:
            result = send(forwarder, backend, call(name))
            assert result.code == "informational_answer"
        assert backend.connections == 2


@pytest.mark.invariant("own-answer")
@pytest.mark.parametrize("trickle", [True, False])
def test_late_answer_ends_at_the_deadline_with_its_connection(
    forwarder, trickle
):
    never = threading.Event()
    cancelled = threading.Event()

    def script(conn, headers, body, number):
        if headers["banyanshed-request-id"] != "slow":
            conn.sendall(answer(headers, b"fast"))
            return None
        with contextlib.suppress(OSError):
            if trickle:
                # Each byte arrives within the timeout of a single receive.
                for byte in b"HTTP/1.1 200 OK\r\n" + b"X: 1\r\n" * 9999:
                    conn.sendall(bytes([byte]))
                    never.wait(0.02)
            conn.settimeout(10)
            assert conn.recv(1) == b""
        cancelled.set()
        return False

    with Backend(script) as backend:
        result = send(forwarder, backend, call("slow"), time_left_s=0.2)
        assert result == requests.AttemptFailure(models.Ran.UNKNOWN, "deadline")
        assert cancelled.wait(10)
        assert send(forwarder, backend, call("fast")).body == b"fast"
        assert backend.connections == 2


@pytest.mark.invariant("own-answer")
def test_large_concurrent_bodies_stay_with_their_requests(forwarder):
    def script(conn, headers, body, number):
        # Each response is sent in two parts, so that the parts of concurrent
        # responses interleave.
        reply = answer(headers, body)
        half = len(reply) // 2
        conn.sendall(reply[:half])
        conn.sendall(reply[half:])
        return number % 7 != 0

    def one(number):
        seed = hashlib.sha256(str(number).encode()).digest()
        body = seed * (200 + 41 * number % 9000)
        result = send(forwarder, backend, call(f"r{number}", body=body))
        if isinstance(result, requests.AttemptFailure):
            # The server closed the connection while the request was sent.
            assert result.ran is models.Ran.UNKNOWN
            return 0
        assert result.body == body
        return 1

    with (
        Backend(script) as backend,
        concurrent.futures.ThreadPoolExecutor(32) as pool,
    ):
        assert sum(pool.map(one, range(400))) > 200


@pytest.mark.invariant("true-refusal")
def test_ran_no_is_reported_only_when_proven(forwarder):
    answers = {
        "refused": "Banyanshed-Ran: no\r\nRetry-After: 3\r\n",
        "plain": "",
        "crossed": "Banyanshed-Ran: no\r\n",
        "cut": "Banyanshed-Ran: no\r\n",
    }

    def script(conn, headers, body, number):
        name = headers["banyanshed-request-id"]
        echoed = {"banyanshed-request-id": "no" if name == "crossed" else name}
        length = 9 if name == "cut" else None
        conn.sendall(answer(echoed, b"busy", 503, answers[name], length=length))
        return name != "cut"

    with Backend(script) as backend:
        refused = send(forwarder, backend, call("refused"))
        assert refused == requests.AttemptFailure(
            models.Ran.NO, "backend_refused", retry_after_s=3.0
        )
        assert send(forwarder, backend, call("plain")).status == 503
        assert send(forwarder, backend, call("crossed")).code == "crossed"
        assert send(forwarder, backend, call("cut")).ran is models.Ran.UNKNOWN
        count = len(backend.seen)
        for bad in [
            call(target="/a b"),
            call(headers={"X": "a\r\nb: c"}),
            call(headers={"X": "ş"}),
        ]:
            result = send(forwarder, backend, bad)
            assert (result.ran, result.code) == (models.Ran.NO, "not_sendable")
        result = send(forwarder, backend, call(), time_left_s=0)
        assert result == requests.AttemptFailure(models.Ran.NO, "deadline")
        assert len(backend.seen) == count
    result = send(forwarder, backend, call())
    assert result == requests.AttemptFailure(models.Ran.NO, "connect_failed")


@pytest.mark.invariant("true-refusal")
def test_idle_connection_closed_by_its_server_is_not_used(forwarder):
    closed = threading.Event()

    def script(conn, headers, body, number):
        conn.sendall(answer(headers))
        conn.shutdown(socket.SHUT_RDWR)
        closed.set()
        return False

    with Backend(script) as backend:
        for number in range(20):
            result = send(forwarder, backend, call(f"r{number}"))
            assert result.status == 200
            assert closed.wait(5)
            closed.clear()
        assert len(backend.seen) == 20


def test_probe_reads_health_and_load(forwarder):
    documents = {
        "/health": b'{"state": "live"}',
        "/load": b'{"state": "leaving", "in_flight": 3, "slots": 4}',
    }

    def script(conn, headers, body, number):
        document = documents[headers["line"].split()[1]]
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(document)
            + document
        )

    with Backend(script) as backend:
        result = forwarding.probe(backend.target.address, 5)
        assert result == events.ProbeResult(models.BackendState.LEAVING, 3, 4)
        documents["/load"] = b"nonsense"
        result = forwarding.probe(backend.target.address, 5)
        assert result == events.ProbeResult(
            models.BackendState.LIVE, code="no_load"
        )
        documents["/health"] = b'{"state": "lea'
        result = forwarding.probe(backend.target.address, 5)
        assert result == events.ProbeResult(None, code="no_health")
    result = forwarding.probe(backend.target.address, 5)
    assert result == events.ProbeResult(
        None, refused=True, code="connect_failed"
    )

"""Compares Forwarder.send with a direct http.client call and urllib3's pool.

Also measures the time to the first bytes and to the whole of responses of
several sizes, which is the cost of buffering compared with streaming.

Run with `python -m benchmarks.forwarding`.
"""

from collections.abc import Callable
import http.client
import multiprocessing
from multiprocessing import connection as pipes
import socket
import time

from hdrh import histogram
import urllib3

from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import forwarding

ROUNDS = 4000
BODY_BYTES = 2048
LARGE_ROUNDS = 100
LARGE_BYTES = (2048, 65536, 1 << 20, 8 << 20)


def serve(pipe: pipes.Connection) -> None:
    """Serves requests on loopback, one connection after another."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pipe.send(listener.getsockname()[1])
        while True:
            conn, _ = listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with conn:
                answer_all(conn)


def answer_all(conn: socket.socket) -> None:
    """Answers the requests of one connection, which have no body."""
    pending = b""
    while data := conn.recv(65536):
        pending += data
        while b"\r\n\r\n" in pending:
            head, _, pending = pending.partition(b"\r\n\r\n")
            _, _, rest = head.partition(b"Banyanshed-Request-Id: ")
            request_id = rest.partition(b"\r\n")[0] or b"none"
            size = int(head.split(b" ", 2)[1].rpartition(b"/")[2])
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                b"Server: stand-in\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
                b"Banyanshed-Request-Id: " + request_id + b"\r\n"
                b"Content-Length: %d\r\n\r\n" % size + b"x" * size
            )


def measure(name: str, call: Callable[[], bytes]) -> None:
    """Prints the latency and processor time of a call."""
    latencies = histogram.HdrHistogram(1, 10_000_000, 3)
    for _ in range(ROUNDS // 10):
        call()
    cpu_s = time.thread_time()
    for _ in range(ROUNDS):
        start_ns = time.perf_counter_ns()
        body = call()
        latencies.record_value((time.perf_counter_ns() - start_ns) // 1000)
        if len(body) != BODY_BYTES:
            raise RuntimeError(f"{name}: wrong body")
    cpu_us = (time.thread_time() - cpu_s) / ROUNDS * 1e6
    print(
        f"{name:<22} p50 {latencies.get_value_at_percentile(50):>5} us  "
        f"p99 {latencies.get_value_at_percentile(99):>5} us  "
        f"processor {cpu_us:6.1f} us"
    )


def direct_call(port: int) -> Callable[[], bytes]:
    """Returns a call by http.client on one persistent connection."""
    conn = http.client.HTTPConnection("127.0.0.1", port)

    def call() -> bytes:
        conn.request("GET", f"/{BODY_BYTES}", headers={"Accept": "*/*"})
        return conn.getresponse().read()

    return call


def pool_call(port: int) -> Callable[[], bytes]:
    """Returns a call by urllib3's connection pool."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=1)
    limit = urllib3.Timeout(total=5)

    def call() -> bytes:
        return pool.request(
            "GET",
            f"/{BODY_BYTES}",
            headers={"Accept": "*/*"},
            retries=False,
            redirect=False,
            timeout=limit,
            decode_content=False,
        ).data

    return call


def forwarder_call(port: int, size: int = BODY_BYTES) -> Callable[[], bytes]:
    """Returns a call by the product's forwarder."""
    forwarder = forwarding.Forwarder()
    target = requests.Target(
        models.BackendId("b"), models.RegionId("sask"), f"127.0.0.1:{port}"
    )
    request = requests.CallerRequest(
        "r1",
        models.ServiceId("board"),
        None,
        None,
        "GET",
        f"/{size}",
        {"Accept": "*/*"},
        b"",
        5.0,
    )

    def call() -> bytes:
        result = forwarder.send(
            request, target, models.TenantId("club"), 5.0, answer_bytes=size
        )
        if isinstance(result, requests.AttemptFailure):
            raise RuntimeError(result.code)
        return result.body

    return call


def measure_sizes(port: int) -> None:
    """Prints the times to the first bytes and to the whole of responses."""
    for size in LARGE_BYTES:
        first = histogram.HdrHistogram(1, 10_000_000, 3)
        whole = histogram.HdrHistogram(1, 10_000_000, 3)
        call = forwarder_call(port, size)
        for _ in range(LARGE_ROUNDS):
            start_ns = time.perf_counter_ns()
            call()
            whole.record_value((time.perf_counter_ns() - start_ns) // 1000)
        del call
        conn = http.client.HTTPConnection("127.0.0.1", port)
        for _ in range(LARGE_ROUNDS):
            start_ns = time.perf_counter_ns()
            conn.request("GET", f"/{size}")
            response = conn.getresponse()
            response.read1(65536)
            first.record_value((time.perf_counter_ns() - start_ns) // 1000)
            response.read()
        conn.close()
        print(
            f"answer of {size:>8} bytes: first bytes p50 "
            f"{first.get_value_at_percentile(50):>6} us, whole p50 "
            f"{whole.get_value_at_percentile(50):>6} us"
        )


def run() -> None:
    """Measures the three kinds of calls against a server process."""
    parent_end, child_end = multiprocessing.Pipe()
    server = multiprocessing.Process(
        target=serve, args=(child_end,), daemon=True
    )
    server.start()
    port = parent_end.recv()
    for _ in range(2):
        for name, make in [
            ("http.client", direct_call),
            ("urllib3 pool", pool_call),
            ("Forwarder.send", forwarder_call),
        ]:
            call = make(port)
            measure(name, call)
            del call
    measure_sizes(port)
    server.terminate()
    server.join()


if __name__ == "__main__":
    run()

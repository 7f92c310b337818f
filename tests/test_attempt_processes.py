"""Attempts against a backend server in its own process, under faults."""

import collections
import concurrent.futures
import contextlib
import hashlib
import json
import random
import signal
import time

import pytest

from banyanshed.core import backends
from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import rows
from banyanshed.edges import forwarding
from standins import processes

SLOTS = 6
THREADS = 12


def make_request(number):
    body = hashlib.sha256(str(number).encode()).digest() * (1 + number * 97)
    return requests.CallerRequest(
        f"r{number}",
        models.ServiceId("bookings"),
        None,
        None,
        "POST",
        f"/book/{number}",
        {},
        body,
        5.0,
    )


@pytest.mark.processes
@pytest.mark.invariant("own-answer")
@pytest.mark.invariant("true-refusal")
def test_answers_and_refusals_are_true_under_faults():
    rng = random.Random(1)
    names = ["refuse", "truncate", "cross", "duplicate", "drop_after_run"]
    with contextlib.ExitStack() as stack:
        server = processes.start(
            stack, "standins.backend", f"--slots={SLOTS}", "--work_ms=2"
        )
        forwarder = stack.enter_context(forwarding.Forwarder())
        pool = stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(THREADS)
        )
        target = requests.Target("b", "sask", server.address)

        def send(number):
            request = make_request(number)
            result = forwarder.send(
                request, target, "club", 1.0, answer_bytes=65536
            )
            return number, request, result

        results = []
        for batch in range(12):
            faults = {name: rng.randrange(4) for name in names}
            server.put("/_fault", faults)
            futures = [
                pool.submit(send, batch * 40 + index) for index in range(40)
            ]
            if batch % 4 == 3:
                # The server is stopped beyond the deadline: its late responses
                # must not be delivered.
                server.process.send_signal(signal.SIGSTOP)
                concurrent.futures.wait(futures, timeout=1.2)
                server.process.send_signal(signal.SIGCONT)
            results += [future.result() for future in futures]
        runs = server.get("/_executed")["by_request_id"]

    kinds = collections.Counter()
    for number, request, result in results:
        if isinstance(result, requests.Answer):
            content = json.loads(result.body)
            assert content["path"] == f"/book/{number}"
            digest = hashlib.sha256(request.body).hexdigest()
            assert content["body_digest"] == digest
            assert runs[request.request_id] == 1
            kinds["answer"] += 1
            continue
        if result.ran is models.Ran.NO:
            assert request.request_id not in runs, result
        assert runs.get(request.request_id, 0) <= 1
        kinds[result.code] += 1
    assert kinds["answer"] > 100
    assert {"backend_refused", "crossed", "truncated", "deadline"} <= set(kinds)


@pytest.mark.processes
@pytest.mark.invariant("leaving-backend")
@pytest.mark.parametrize("sign", ["answer", "probe"])
def test_leaving_process_gets_no_work_until_another_takes_its_address(sign):
    known = backends.BackendRegistry(models.HostId("h"), random.Random(1))

    def probe(address):
        probe_sent_s = time.monotonic()
        found = forwarding.probe(address, 5.0)
        event = reports.HealthReported(
            "bookings", "b", found.state, found.refused, probe_sent_s
        )
        known.handle(event, time.monotonic())

    def choose():
        return known.choose(time.monotonic(), "bookings", "sask")

    with contextlib.ExitStack() as stack:
        server = processes.start(stack, "standins.backend")
        forwarder = stack.enter_context(forwarding.Forwarder())
        row = {
            "kind": "backend",
            "service": "bookings",
            "backend": "b",
            "region": "sask",
            "zone": "a",
            "address": server.address,
            "slots": 4,
        }
        known.configure(0.0, [rows.BackendRow(**row)], 1)
        attempt = choose()
        server.put("/_fault", {"health": "leaving"})
        if sign == "answer":
            result = forwarder.send(
                make_request(1), attempt.target, None, 5.0, answer_bytes=65536
            )
            known.handle(
                reports.AttemptFinished(attempt, result), time.monotonic()
            )
            # The health endpoint contradicts the response.
            server.put("/_fault", {"health": "live"})
        for _ in range(3):
            probe(server.address)
            assert choose() is None
        executed = server.get("/_executed")["executions"]
        assert executed == []
        assert server.stop() == 0
        probe(server.address)
        assert choose() is None
        processes.start(
            stack, "standins.backend", f"--address={server.address}"
        )
        probe(server.address)
        assert choose() is not None

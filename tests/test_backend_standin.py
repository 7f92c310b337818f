import contextlib
import hashlib
import threading

import pytest
import urllib3

from standins import processes


@pytest.fixture
def backend():
    with contextlib.ExitStack() as stack:
        yield processes.start(stack, "standins.backend", "--slots=1")


@pytest.mark.processes
def test_backend_records_executions_and_applies_each_fault(backend):
    headers = {"Banyanshed-Request-Id": "r1", "Idempotency-Key": "k1"}
    answer = backend.call("POST", "/book?seat=1", b"body", headers)
    assert answer.headers["Banyanshed-Request-Id"] == "r1"
    assert answer.json()["path"] == "/book?seat=1"
    assert answer.json()["body_digest"] == hashlib.sha256(b"body").hexdigest()
    executed = backend.get("/_executed")
    assert executed["by_idempotency_key"] == {"k1": 1}
    assert executed["executions"][0]["headers"]["Idempotency-Key"] == "k1"

    backend.put("/_fault", {"cross": 1})
    crossed = backend.call("GET", "/", headers={"Banyanshed-Request-Id": "r2"})
    assert crossed.headers["Banyanshed-Request-Id"] == "r1"
    backend.put("/_fault", {"truncate": 1, "drop_after_run": 1})
    for _ in range(2):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            backend.call("GET", "/")
    backend.put("/_fault", {"refuse": 1, "load": 7, "health": "leaving"})
    refused = backend.call("GET", "/")
    assert refused.status == 503
    assert refused.headers["Banyanshed-Ran"] == "no"
    assert refused.headers["Banyanshed-Leaving"] == "1"
    assert backend.get("/load") == {"in_flight": 7, "slots": 1}
    assert backend.get("/health") == {"state": "leaving"}
    assert len(backend.get("/_executed")["executions"]) == 4


@pytest.mark.processes
def test_backend_sheds_load_and_finishes_work_before_it_stops(backend):
    backend.put("/_fault", {"hang_s": 1.0})
    statuses = []
    worker = threading.Thread(
        target=lambda: statuses.append(backend.call("GET", "/").status)
    )
    worker.start()
    while backend.get("/load")["in_flight"] == 0:
        continue
    assert backend.call("GET", "/").status == 503
    assert backend.stop() == 0
    worker.join()
    assert statuses == [200]

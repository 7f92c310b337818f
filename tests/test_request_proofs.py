"""Requests through running hosts, under failures of every component."""

import collections
import concurrent.futures
import contextlib
import hashlib
import itertools
import signal
import time

import pytest
import urllib3

from banyanshed.core import claims
from standins import fleet as fleets
from standins import sites

pytestmark = pytest.mark.processes

HOSTS = tuple(host for host, _ in sites.HOSTS)
PADDING_BYTES = 60_000
BODY = b"seat 7 " * 4000
MAX_POLLS = 1500
COUNTER = itertools.count(1)


class InstallationHarness:
    """A running installation, fault injection and clients for its hosts."""

    def __init__(self, exits):
        fleet = fleets.Fleet(exits, store_region="sask")
        limits = sites.Limits(rate=4000, burst=4000)
        self.installation = sites.start(
            fleet, limits, lookup_ttl_s=1, stop_timeout_s=20
        )
        self.fleet = fleet
        self.pool = urllib3.PoolManager(retries=False, maxsize=64)
        exits.callback(self.pool.clear)
        self.threads = exits.enter_context(
            concurrent.futures.ThreadPoolExecutor(48)
        )

    def restore(self):
        """Removes all faults and waits until every host serves requests."""
        self.set_store_fault("none")
        self.set_backend_faults()
        for host in HOSTS:
            process = self.fleet.hosts[host].process
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            else:
                self.fleet.start_host(host)
        for host in HOSTS:
            self.wait_until(lambda host=host: self.serves(host))

    def serves(self, host):
        name = f"/ready-{next(COUNTER)}"
        return self.send(host, name, None).status == 200

    def wait_until(self, condition):
        for _ in range(MAX_POLLS):
            if condition():
                return
            time.sleep(0.02)
        raise AssertionError("the condition did not become true in time")

    def set_store_fault(self, mode, **fault):
        self.fleet.platform.put("/fault", {"mode": mode, **fault})

    def set_backend_faults(self, **faults):
        for child in self.fleet.backends.values():
            child.put("/_fault", faults)

    def send(self, host, path, key, method="POST", deadline_ms=8000, body=BODY):
        headers = {
            "Authorization": f"Bearer {self.installation.key}",
            "Banyanshed-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        return self.pool.request(
            method,
            f"http://{self.fleet.hosts[host].address}/services/bookings{path}",
            body=body,
            headers=headers,
            timeout=30,
        )

    def start(self, *arguments, **options):
        return self.threads.submit(self.send, *arguments, **options)

    def send_to_all(self, path, key):
        """Sends a request to all hosts at once and returns the responses."""
        sent = [self.start(host, path, key) for host in HOSTS]
        return [future.result() for future in sent]

    def is_claimed(self, key):
        """Returns whether the table has a claim for an idempotency key."""
        row = claims.claim_key(sites.TENANT, key)
        answer = self.fleet.platform.call(
            "POST", "/table/read", {"keys": [row]}
        )
        return answer.json()["rows"][0]["value"] is not None

    def executed(self):
        """Returns the number of executions by path."""
        runs = collections.Counter()
        for child in self.fleet.backends.values():
            for run in child.get("/_executed")["executions"]:
                runs[run["path"]] += 1
        return runs


@pytest.fixture(scope="module")
def running():
    with contextlib.ExitStack() as exits:
        site = InstallationHarness(exits)
        # Also stops restarted hosts; all hosts are stopped concurrently.
        exits.callback(site.fleet.terminate_hosts)
        yield site


@pytest.fixture
def site(running):
    running.restore()
    return running


def ran(answer):
    """Returns "no" or "unknown" for a refusal, None for a response."""
    return answer.headers.get("Banyanshed-Ran")


def check_own(answer, path, body, padding_bytes=0):
    """Asserts that a response is complete and belongs to the request."""
    found = answer.json()
    assert answer.status == 200
    assert found["path"] == path
    assert found["body_digest"] == hashlib.sha256(body).hexdigest()
    assert found["padding"] == (path * padding_bytes)[:padding_bytes]


def check_runs_once(site, path, answers, padding_bytes=0):
    """Asserts at most one execution, and that all responses agree with it."""
    count = site.executed()[path]
    assert count <= 1
    bodies = set()
    for answer in answers:
        if ran(answer) is None:
            check_own(answer, path, BODY, padding_bytes)
            bodies.add(answer.data)
        elif ran(answer) == "no":
            assert count == 0
    assert len(bodies) <= count
    return count


@pytest.mark.invariant("at-most-once")
@pytest.mark.invariant("true-refusal")
@pytest.mark.parametrize(
    "fault",
    [
        {"mode": "none"},
        {"mode": "lose_answers", "count": 20},
        {"mode": "slow", "delay_s": 0.3, "count": 20},
        {"mode": "cut", "count": 12},
        {"mode": "down", "count": 12},
    ],
    ids=lambda fault: fault["mode"],
)
def test_one_key_at_all_hosts_at_once(site, fault):
    site.set_backend_faults(padding_bytes=PADDING_BYTES)
    site.set_store_fault(**fault, only_prefix=claims.CLAIM_PREFIX)
    paths = [f"/{fault['mode']}-{next(COUNTER)}" for _ in range(8)]
    sent = {
        path: [site.start(host, path, path) for host in HOSTS] for path in paths
    }
    first = {
        path: [future.result() for future in futures]
        for path, futures in sent.items()
    }
    for path in paths:
        check_runs_once(site, path, first[path], PADDING_BYTES)
    site.set_store_fault("none")
    for path in paths:
        repeats = site.send_to_all(path, path)
        # A claim whose write is in doubt is soon withdrawn by a flush.
        site.wait_until(lambda path=path: is_answered(site, path))
        recorded = site.send_to_all(path, path)
        assert {ran(answer) for answer in recorded} == {None}
        answers = first[path] + repeats + recorded
        assert check_runs_once(site, path, answers, PADDING_BYTES) == 1


def is_answered(site, path):
    """Returns whether a repeated request at the first host is answered."""
    return ran(site.send(HOSTS[0], path, path)) is None


@pytest.mark.invariant("at-most-once")
@pytest.mark.parametrize("when", ["running", "answered"])
def test_host_killed_before_its_record(site, when):
    path = f"/killed-{next(COUNTER)}"
    claimant, *others = HOSTS
    site.set_backend_faults(hang_s=1.0)
    sent = site.start(claimant, path, path, deadline_ms=2500)
    site.wait_until(lambda: site.executed()[path] == 1)
    if when == "answered":
        site.set_store_fault("down", only_prefix=claims.CLAIM_PREFIX)
        check_own(sent.result(), path, BODY)
    site.fleet.hosts[claimant].process.kill()
    if when == "running":
        with pytest.raises(urllib3.exceptions.HTTPError):
            sent.result()
    site.set_store_fault("none")
    early = [site.send(host, path, path) for host in others]
    site.wait_until(
        lambda: code(site.send(others[0], path, path)) != "in_progress"
    )
    site.fleet.start_host(claimant)
    site.wait_until(lambda: site.serves(claimant))
    late = site.send_to_all(path, path)
    assert check_runs_once(site, path, early + late) == 1
    assert [code(answer) for answer in late] == ["outcome_unknown"] * 3


def code(answer):
    """Returns the code of a refusal, None for a response."""
    return answer.json()["code"] if ran(answer) else None


@pytest.mark.invariant("at-most-once")
def test_outage_between_claim_and_record(site):
    path = f"/outage-{next(COUNTER)}"
    claimant, *others = HOSTS
    site.set_backend_faults(hang_s=0.5, padding_bytes=PADDING_BYTES)
    sent = site.start(claimant, path, path)
    site.wait_until(lambda: site.executed()[path] == 1)
    site.set_store_fault("down")
    first = sent.result()
    cut_off = site.send_to_all(path, path)
    assert check_runs_once(site, path, [first, *cut_off], PADDING_BYTES) == 1
    assert {ran(answer) for answer in cut_off[1:]} == {"unknown"}
    site.set_store_fault("none")
    for host in others:
        site.wait_until(
            lambda host=host: ran(site.send(host, path, path)) is None
        )
    repeats = site.send_to_all(path, path)
    assert check_runs_once(site, path, [first, *repeats], PADDING_BYTES) == 1
    assert {answer.data for answer in repeats} == {first.data}


@pytest.mark.invariant("at-most-once")
@pytest.mark.invariant("true-refusal")
@pytest.mark.parametrize("at", ["claim", "answer"])
def test_claimant_paused_past_its_deadline(site, at):
    path = f"/frozen-{next(COUNTER)}"
    claimant, *others = HOSTS
    frozen = site.fleet.hosts[claimant].process
    if at == "claim":
        site.set_store_fault(
            "slow", delay_s=0.8, only_prefix=claims.CLAIM_PREFIX, count=1
        )
    else:
        site.set_backend_faults(hang_s=0.8)
    sent = site.start(claimant, path, path, deadline_ms=1500)
    if at == "claim":
        platform = site.fleet.platform
        site.wait_until(lambda: platform.get("/fault")["count"] == 0)
    else:
        site.wait_until(lambda: site.executed()[path] == 1)
    frozen.send_signal(signal.SIGSTOP)
    # The other hosts try only after the claim's write has taken effect.
    site.wait_until(lambda: site.is_claimed(path))
    site.wait_until(
        lambda: code(site.send(others[0], path, path)) == "outcome_unknown"
    )
    frozen.send_signal(signal.SIGCONT)
    first = sent.result()
    count = check_runs_once(site, path, [first])
    assert count == (0 if at == "claim" else 1)
    if at == "claim":
        assert ran(first) is not None
    # An unused claim is released, so that a repeated request may then run.
    site.wait_until(lambda: ran(site.send(others[1], path, path)) is None)
    assert check_runs_once(site, path, site.send_to_all(path, path)) == 1


@pytest.mark.invariant("at-most-once")
@pytest.mark.invariant("true-refusal")
def test_key_used_for_another_request_is_refused(site):
    first, second = f"/one-{next(COUNTER)}", f"/other-{next(COUNTER)}"
    check_own(site.send(HOSTS[0], first, first), first, BODY)
    others = [site.send(host, second, first) for host in HOSTS]
    others += [site.send(host, first, first, body=b"new") for host in HOSTS]
    assert {answer.status for answer in others} == {422}
    assert {ran(answer) for answer in others} == {"no"}
    assert site.executed()[second] == 0
    assert check_runs_once(site, first, site.send_to_all(first, first)) == 1
    # Concurrently: only one of two requests gets the key.
    third, fourth = f"/third-{next(COUNTER)}", f"/fourth-{next(COUNTER)}"
    sent = [
        site.start(host, path, third)
        for host, path in itertools.product(HOSTS, (third, fourth))
    ]
    statuses = [future.result().status for future in sent]
    runs = site.executed()
    assert runs[third] + runs[fourth] == 1
    assert statuses.count(422) == 3


@pytest.mark.invariant("own-answer")
@pytest.mark.invariant("true-refusal")
@pytest.mark.invariant("at-most-once")
@pytest.mark.parametrize(
    ("fault", "seen"),
    [
        ("cross", "crossed"),
        ("truncate", "truncated"),
        ("duplicate", None),
        ("drop_after_run", "truncated"),
        ("refuse", "backend_refused"),
    ],
)
def test_faulty_answers_reach_no_request(site, fault, seen):
    site.set_backend_faults(padding_bytes=PADDING_BYTES, **{fault: 20})
    answers = send_many(site, count=120, deadline_ms=8000)
    check_answers(site, answers)
    assert {code(answer) for *_, answer in answers} >= {None, seen}


@pytest.mark.invariant("own-answer")
@pytest.mark.invariant("true-refusal")
def test_late_answers_reach_no_request(site):
    # The responses arrive after the deadline of their requests.
    site.set_backend_faults(padding_bytes=PADDING_BYTES, hang_s=0.4)
    late = send_many(site, count=45, deadline_ms=250)
    site.set_backend_faults(padding_bytes=PADDING_BYTES)
    answers = send_many(site, count=90, deadline_ms=8000)
    check_answers(site, late)
    check_answers(site, answers)
    assert {ran(answer) for *_, answer in late} <= {"no", "unknown"}
    # Slots that are still busy with late requests may cause refusals, but no
    # other failures.
    assert None in {ran(answer) for *_, answer in answers}


def send_many(site, count, deadline_ms):
    """Sends reads, and bookings with and without keys, to all hosts."""
    sent = []
    for number in range(count):
        path = f"/many-{next(COUNTER)}"
        body = f"{path} ".encode() * 2000
        method = "GET" if number % 3 == 0 else "POST"
        key = path if number % 3 == 2 else None
        # A booking with a key goes to two hosts: one gets the response that the
        # other recorded.
        for host in [HOSTS[number % 3], HOSTS[(number + 1) % 3]][
            : 1 + bool(key)
        ]:
            future = site.start(
                host,
                path,
                key,
                method=method,
                deadline_ms=deadline_ms,
                body=b"" if method == "GET" else body,
            )
            sent.append(
                (path, b"" if method == "GET" else body, method, future)
            )
    return [
        (path, body, method, future.result())
        for path, body, method, future in sent
    ]


def check_answers(site, answers):
    """Asserts that responses match their requests and refusals are true."""
    runs = site.executed()
    may_have_run = set()
    for path, body, method, answer in answers:
        if ran(answer) != "no":
            may_have_run.add(path)
        if ran(answer) is None:
            check_own(answer, path, body, PADDING_BYTES)
            assert runs[path] >= 1
        if method == "POST":
            assert runs[path] <= 1
    for path, *_ in answers:
        assert path in may_have_run or runs[path] == 0

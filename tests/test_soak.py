"""A short soak of host processes, and tests of the soak's checks.

More seeds are run from the command line:

.venv/bin/python -m tests.soak --first=1 --count=50
"""

import asyncio

import pytest

from tests.soak import invariants
from tests.soak import proxies
from tests.soak import records as records_lib
from tests.soak import runner

# Seeds and lengths in seconds. Besides the default seed, seeds that failed are
# added with their cause. 4807: once, a host that stopped cut a request that had
# been in flight for longer than its timeout; the cause is not known. 4815:
# requests waited for the check of a lost server past their timeout.
RUNS = ((1, 6.0), (4807, 12.0), (4815, 12.0))


@pytest.mark.processes
@pytest.mark.parametrize(("seed", "length_s"), RUNS)
def test_short_soak_violates_no_invariant(seed, length_s, tmp_path):
    result = asyncio.run(runner.run_seed(seed, length_s, tmp_path))
    assert result.violations == []
    assert result.served > 0.5 * result.requests


def request(**fields):
    values = {
        "id": "a",
        "host": "h1",
        "path": "/u/1",
        "safe": False,
        "key": "key-1",
        "sent_at": 10.0,
        "ended_at": 10.1,
        "ending": records_lib.Ending.ANSWERED,
        "status": 200,
        "body": b"x",
        "stamp": "i1",
    }
    return records_lib.Request(**{**values, **fields})


def execution(**fields):
    values = {
        "id": "a",
        "server": "i1",
        "at": 10.05,
        "customer": "ckey-1",
        "leaked_key": False,
        "body": b"x",
    }
    return records_lib.Execution(**{**values, **fields})


def violated_invariants(requests, executions, intervals=(), changes=()):
    records = records_lib.Records(
        list(requests), list(executions), list(intervals), list(changes)
    )
    records.recovery_s = 0.1
    return [line.split(":")[0] for line in invariants.check(records)]


def test_correct_records_violate_no_invariant():
    assert violated_invariants([request()], [execution()]) == []


@pytest.mark.parametrize(
    ("request_fields", "executions", "expected"),
    [
        ({"body": b"y"}, [execution()], "answer_is_whole_and_for_this_request"),
        (
            {},
            [execution(), execution(server="i2")],
            "unsafe_request_runs_at_most_once",
        ),
        (
            {"status": 503, "retry_after_s": 1.0},
            [execution()],
            "rejected_request_did_not_run",
        ),
        ({"status": 503}, [], "rejection_has_retry_after"),
        ({"status": 404}, [], "allowed_request_is_not_denied"),
        (
            {"ending": records_lib.Ending.CLOSED},
            [execution()],
            "graceful_stop_drops_no_request",
        ),
        ({"ended_at": 12.6}, [execution()], "request_ends_in_time"),
        ({}, [execution(leaked_key=True)], "execution_matches_a_request"),
        ({}, [execution(customer="other")], "execution_matches_a_request"),
        (
            {"ending": records_lib.Ending.LEFT},
            [execution(body=b"")],
            "work_is_cancelled_when_caller_disconnects",
        ),
    ],
)
def test_each_invariant_detects_its_violation(
    request_fields, executions, expected
):
    assert violated_invariants([request(**request_fields)], executions) == [
        expected
    ]


def test_execution_without_a_request_is_a_violation():
    assert violated_invariants([], [execution()]) == [
        "execution_matches_a_request"
    ]


def test_drained_server_and_withdrawn_key_have_time_bounds():
    draining = records_lib.AcknowledgedChange("draining", "i1", 7.0)
    violations = violated_invariants(
        [request()], [execution()], changes=[draining]
    )
    assert violations == ["leaving_server_gets_no_requests"]
    late = records_lib.AcknowledgedChange("draining", "i1", 8.0)
    assert violated_invariants([request()], [execution()], changes=[late]) == []
    withdrawn = records_lib.AcknowledgedChange("withdrawn", "key-1", 7.0)
    violations = violated_invariants(
        [request()], [execution()], changes=[withdrawn]
    )
    assert violations == ["withdrawn_key_stops_working"]


def test_a_key_that_a_host_refused_may_not_be_accepted_again():
    refused = request(id="b", status=401, sent_at=5.0, ended_at=5.1)
    withdrawn = records_lib.AcknowledgedChange("withdrawn", "key-1", 4.0)
    restored = records_lib.FaultInterval("harm", "store", 3.0, 10.0)
    violations = violated_invariants(
        [request(), refused], [execution()], [restored], [withdrawn]
    )
    assert violations == ["refused_key_is_never_accepted_again"]


def test_faults_excuse_only_the_invariants_they_affect():
    interval = records_lib.FaultInterval("harm", "store", 5.0, 9.0)
    draining = records_lib.AcknowledgedChange("draining", "i1", 7.0)
    assert (
        violated_invariants([request()], [execution()], [interval], [draining])
        == []
    )
    killed = records_lib.FaultInterval("kill", "h1", 9.5, 10.5)
    closed = request(ending=records_lib.Ending.CLOSED)
    assert violated_invariants([closed], [execution()], [killed]) == []
    stopped = records_lib.FaultInterval("stop", "h1", 9.5, 10.5)
    assert violated_invariants([closed], [execution()], [stopped]) == [
        "graceful_stop_drops_no_request"
    ]


@pytest.mark.parametrize("link_fault", list(proxies.LinkFault))
def test_proxy_applies_its_link_fault(link_fault):
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def ask(proxy):
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(b"x")
        try:
            async with asyncio.timeout(proxies.DELAY_S * 3):
                return await reader.read(1)
        finally:
            writer.close()

    async def scenario(stack):
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        stack.callback(server.close)
        proxy = proxies.Proxy(server.sockets[0].getsockname()[:2])
        await proxy.start(stack, "127.0.0.1")
        proxy.set_fault(link_fault)
        if link_fault in (proxies.LinkFault.NONE, proxies.LinkFault.DELAY):
            assert await ask(proxy) == b"x"
            return
        expected = (
            ConnectionError
            if link_fault is proxies.LinkFault.RESET
            else TimeoutError
        )
        with pytest.raises(expected):
            await ask(proxy)
        proxy.set_fault(proxies.LinkFault.NONE)
        assert await ask(proxy) == b"x"

    runner.run_with_exit_stack(scenario)


@pytest.mark.parametrize(("rate", "violated"), [(10.0, False), (2.0, True)])
def test_a_flooded_server_violates_its_limit(rate, violated):
    requests, executions = [], []
    for number in range(100):
        at = 10.0 + number / 10
        id_ = f"r{number}"
        requests.append(request(id=id_, sent_at=at, ended_at=at + 0.05))
        executions.append(execution(id=id_, at=at + 0.02))
    records = records_lib.Records(requests, executions, recovery_s=0.1)
    records.limits.append(records_lib.LimitInterval("i1", rate, 11.0, 19.0))
    found = [line.split(":")[0] for line in invariants.check(records)]
    assert found == ["limited_server_is_not_flooded"] * violated


@pytest.mark.parametrize(("count", "violated"), [(6, False), (12, True)])
def test_a_request_that_goes_on_crashing_servers_is_a_violation(
    count, violated
):
    requests, executions, crashes = [], [], []
    for number in range(count):
        at = 10.0 + 2.0 * number
        id_ = f"r{number}"
        path = records_lib.DEADLY_PATH
        requests.append(
            request(
                id=id_,
                path=path,
                safe=True,
                sent_at=at,
                ended_at=at,
                status=502,
            )
        )
        executions.append(execution(id=id_, at=at, body=b""))
        crashes.append(records_lib.FaultInterval("crash", "i1", at, at + 1.0))
    records = records_lib.Records(requests, executions, crashes)
    records.deadly_until = 99.0
    records.recovery_s = 0.1
    found = [line.split(":")[0] for line in invariants.check(records)]
    assert found == ["deadly_request_stops"] * violated


@pytest.mark.parametrize(
    ("sent_at", "host", "fault", "violated"),
    [
        (12.7, "h1", None, True),
        (12.5, "h1", None, False),
        (12.7, "h2", None, False),
        (12.7, "h1", "paused", False),
    ],
)
def test_requests_after_an_answer_that_says_leaving_are_found(
    sent_at, host, fault, violated
):
    records = records_lib.Records(recovery_s=0.1)
    records.requests = [
        request(),
        request(id="b", host=host, sent_at=sent_at, ended_at=sent_at + 0.1),
    ]
    records.executions = [
        execution(says_leaving=True),
        execution(id="b", at=sent_at + 0.05),
    ]
    if fault is not None:
        interval = records_lib.FaultInterval(fault, "h1", 11.0, 11.5)
        records.fault_intervals.append(interval)
    found = [v.split(":")[0] for v in invariants.check(records)]
    assert found == ["leaving_answer_is_heeded"] * violated

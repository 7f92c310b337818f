"""A short soak of real processes; more seeds are played by hand.

.venv/bin/python -m tests.soak --first=1 --count=50
"""

import asyncio

import pytest

from tests.soak import play
from tests.soak import promises
from tests.soak import proxies
from tests.soak import records as r

LENGTH_S = 6.0
# A seed, and each that ever failed with a line on its cause.
SEEDS = (1,)


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_soak_breaks_no_promise(seed, tmp_path):
    result = asyncio.run(play.play(seed, LENGTH_S, tmp_path))
    assert result.broken == []
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
        "ending": r.Ending.ANSWERED,
        "status": 200,
        "body": b"x",
        "stamp": "i1",
    }
    return r.Request(**{**values, **fields})


def run(**fields):
    values = {
        "id": "a",
        "server": "i1",
        "at": 10.05,
        "customer": "ckey-1",
        "leaked_key": False,
        "body": b"x",
    }
    return r.Run(**{**values, **fields})


def names(requests, runs, spans=(), marks=()):
    records = r.Records(list(requests), list(runs), list(spans), list(marks))
    records.served_again_s = 0.1
    return [line.split(":")[0] for line in promises.check(records)]


def test_a_good_play_has_no_findings():
    assert names([request()], [run()]) == []


@pytest.mark.parametrize(
    ("of_request", "runs", "broken"),
    [
        ({"body": b"y"}, [run()], "answers_are_whole_and_ones_own"),
        ({}, [run(), run(server="i2")], "unsafe_requests_run_once"),
        (
            {"status": 503, "retry_after_s": 1.0},
            [run()],
            "a_refusal_has_not_run",
        ),
        ({"status": 503}, [], "a_refusal_tells_when_to_come_back"),
        ({"status": 404}, [], "allowed_requests_are_not_denied"),
        ({"ending": r.Ending.CLOSED}, [run()], "a_stop_cuts_no_request"),
        ({"ended_at": 12.6}, [run()], "every_request_ends_in_time"),
        ({}, [run(leaked_key=True)], "a_run_was_asked_for"),
        ({}, [run(customer="other")], "a_run_was_asked_for"),
        (
            {"ending": r.Ending.LEFT},
            [run(body=b"")],
            "work_ends_when_its_caller_leaves",
        ),
    ],
)
def test_each_promise_is_missed_when_it_is_broken(of_request, runs, broken):
    assert names([request(**of_request)], runs) == [broken]


def test_a_run_that_nobody_asked_for_is_found():
    assert names([], [run()]) == ["a_run_was_asked_for"]


def test_a_server_that_left_and_a_withdrawn_key_are_bound_in_time():
    draining = r.Mark("draining", "i1", 7.0)
    broken = names([request()], [run()], marks=[draining])
    assert broken == ["a_server_that_leaves_gets_nothing"]
    late = r.Mark("draining", "i1", 8.0)
    assert names([request()], [run()], marks=[late]) == []
    withdrawn = r.Mark("withdrawn", "key-1", 7.0)
    broken = names([request()], [run()], marks=[withdrawn])
    assert broken == ["a_withdrawn_key_stops_working"]


def test_troubles_excuse_what_they_may():
    span = r.Span("harm", "store", 5.0, 9.0)
    draining = r.Mark("draining", "i1", 7.0)
    assert names([request()], [run()], [span], [draining]) == []
    killed = r.Span("kill", "h1", 9.5, 10.5)
    cut = request(ending=r.Ending.CLOSED)
    assert names([cut], [run()], [killed]) == []
    stopped = r.Span("stop", "h1", 9.5, 10.5)
    assert names([cut], [run()], [stopped]) == ["a_stop_cuts_no_request"]


@pytest.mark.parametrize("harm", list(proxies.Harm))
def test_a_proxy_does_what_it_says(harm):
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
        proxy.set_harm(harm)
        if harm in (proxies.Harm.NONE, proxies.Harm.DELAY):
            assert await ask(proxy) == b"x"
            return
        wanted = ConnectionError if harm is proxies.Harm.RESET else TimeoutError
        with pytest.raises(wanted):
            await ask(proxy)
        proxy.set_harm(proxies.Harm.NONE)
        assert await ask(proxy) == b"x"

    play.run_with_stack(scenario)

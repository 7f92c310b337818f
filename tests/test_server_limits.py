"""Rate limits that backend servers in need name in their responses."""

import asyncio

import pytest

from banyanshed.platform import headers
from tests import gateway_fleet


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"4.7", 4.7),
        (b" 12 ", 12.0),
        (b"0", 0.0),
        (b".5", 0.5),
        (b"0.05", 0.05),
    ],
)
@pytest.mark.parametrize("name", sorted(headers.SERVER_LIMITS))
def test_a_limit_is_read_in_both_spellings(name, value, rate):
    assert headers.decode_server_limit([(name, value)]).rate == rate


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"nan", b"inf", b"4,7", b"1_0", b"many", b"1e3", b"9" * 400],
)
def test_a_malformed_limit_is_no_limit(value):
    limit = headers.decode_server_limit([(b"server-limit", value)])
    assert limit == headers.ServerLimit(None, value)


def test_the_least_of_several_limits_counts():
    named = [
        (b"server-limit", b"5"),
        (b"x-banyanshed-server-limit", b"x"),
        (b"x-banyanshed-server-limit", b"4"),
    ]
    assert headers.decode_server_limit(named) == headers.ServerLimit(4.0, b"x")


def limit_lines(lines):
    return [line for line in lines() if "server_limit" in line["message_type"]]


def name_limits(fleet, values):
    """Lets a server name one value after the other; None for no header."""
    values = iter(values)

    async def act(exchange):
        value = next(values)
        extra = {} if value is None else {"Server_Limit": value}
        exchange.respond(**extra)

    fleet.servers["i1"].action = act


def test_logs_and_metrics_tell_what_a_server_names(lines):
    async def scenario(fleet):
        values = ["20", "20", "30", "x", "x", "10", None]
        name_limits(fleet, values)
        for _ in values:
            await fleet.call()
        page = fleet.hosts["h1"].counters.encode().decode()
        for change in ("named", "raised", "lowered", "ended"):
            assert f'limits_total{{change="{change}"}} 1.0' in page
        assert 'limits_total{change="malformed"} 2.0' in page

    gateway_fleet.run_scenario(scenario, servers=("i1",))
    seen = [
        (line.get("change"), line.get("value"), line["rate"])
        for line in limit_lines(lines)
    ]
    assert seen == [
        ("named", None, 20.0),
        ("raised", None, 30.0),
        (None, "x", 30.0),
        ("lowered", None, 10.0),
        ("ended", None, None),
    ]


# The platform's rule: at most one and a half times the limit in this time, and
# a few requests more, from half a second after the limit was named.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
NOTICE_S = 0.5


def most_in_window(arrivals):
    """Returns the largest number of arrivals in any window."""
    counts = [
        sum(start <= at < start + WINDOW_S for at in arrivals)
        for start in arrivals
    ]
    return max(counts, default=0)


def allowed_in_window(rate):
    return EXCESS_FACTOR * rate * WINDOW_S + EXCESS_REQUESTS


def test_a_server_that_named_a_limit_is_not_flooded_by_all_hosts_together():
    rate, hosts, load_s, interval_s = 2.0, 3, 6.0, 0.05
    arrivals = []

    async def scenario(fleet):
        loop = asyncio.get_running_loop()

        async def act(exchange):
            arrivals.append(loop.time())
            exchange.respond(Server_Limit=str(rate))

        fleet.servers["i1"].action = act
        started_at = loop.time()

        async def send(name):
            number = 0
            while loop.time() < started_at + load_s:
                number += 1
                response = await fleet.call(
                    name=name, x_banyanshed_affinity_key=str(number)
                )
                assert response.status == 200
                await asyncio.sleep(interval_s)

        await asyncio.gather(*(send(name) for name in fleet.hosts))

    gateway_fleet.run_scenario(scenario, hosts=hosts)
    later = [at for at in arrivals if at >= arrivals[0] + NOTICE_S]
    assert most_in_window(later) <= allowed_in_window(rate)

"""Rate limits that backend servers in need name in their responses."""

import asyncio

import msgspec
import pytest

from banyanshed.gateway import peer_messages
from banyanshed.platform import headers
from banyanshed.steering import limits
from banyanshed.steering import members
from tests import gateway_fleet
from tests import steering_cases as cases


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
    """Lets a server name one value after the other, then none."""
    values = list(values)

    async def act(exchange):
        extra = {"Server_Limit": values.pop(0)} if values else {}
        exchange.respond(**extra)

    fleet.servers["i1"].action = act


async def call_until(fleet, condition):
    """Repeats calls, some of which are rejected, until a condition holds."""
    async with asyncio.timeout(gateway_fleet.WAIT_TIMEOUT_S):
        while True:
            await fleet.call()
            if condition():
                return
            await asyncio.sleep(0.02)


def test_logs_and_metrics_tell_what_a_server_names(lines):
    async def scenario(fleet):
        name_limits(fleet, ["20", "20", "30", "x", "x", "10"])
        host = fleet.hosts["h1"]
        tracker = host.limit_tracker
        await call_until(fleet, lambda: tracker.malformed)
        await call_until(
            fleet, lambda: 'change="ended"' in host.counters.encode().decode()
        )
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


def test_a_host_that_joins_knows_the_limit_before_it_sends_anything():
    async def scenario(fleet):
        name_limits(fleet, ["0.5"] * 1000)
        await call_until(fleet, lambda: fleet.servers["i1"].exchanges)
        fleet.start_host("h2", gateway_fleet.host_ip(2))
        await fleet.wait_until_ready("h2")
        host = fleet.hosts["h2"]
        entry = host.view.servers["i1"].registration
        limits = host.limit_tracker.limits
        await fleet.wait_until(lambda: limits.rate(entry) is not None)
        assert limits.rate(entry) == 0.5

    gateway_fleet.run_scenario(scenario, servers=("i1",))


def test_a_malformed_limit_does_not_disturb_the_request():
    async def scenario(fleet):
        name_limits(fleet, ["\xff", "-3", "1,5"])
        for _ in range(4):
            assert (await fleet.call()).status == 200

    gateway_fleet.run_scenario(scenario, servers=("i1",))


def test_a_limit_named_in_a_failure_or_a_rejection_counts():
    async def scenario(fleet):
        statuses = [500, 503]

        async def act(exchange):
            status = statuses.pop(0) if statuses else 200
            exchange.respond(
                status,
                X_Banyanshed_Not_Executed="1",
                X_Banyanshed_Server_Limit=str(status / 1000),
            )

        fleet.servers["i1"].action = act
        limits = fleet.hosts["h1"].limit_tracker.limits
        entry = fleet.hosts["h1"].view.servers["i1"].registration
        await fleet.call()
        assert limits.rate(entry) == 0.5
        rejected = await fleet.call()
        assert rejected.status == 503
        # The mean interval of the limit.
        assert 1.5 <= float(rejected.find(b"retry-after")) <= 2.0

    gateway_fleet.run_scenario(scenario, servers=("i1",))


def make_reports():
    view = cases.make_view(3)
    reports = {
        "i0": limits.LimitReport(4.75, 1.25),
        "i1": limits.LimitReport(None, 0.0),
        "i9": limits.LimitReport(1.0, 0.0),
    }
    return view, peer_messages.encode_limits(reports, view.servers), reports


def test_reports_of_limits_are_encoded_by_process():
    view, encoded, reports = make_reports()
    index = peer_messages.ServerIndex()
    index.update(view.servers, view.servers_version)
    del reports["i9"]
    assert index.decode_limits(encoded) == reports
    view.put_server(cases.make_entry("i0", started_ms=2000), 1.0, 10**6)
    index.update(view.servers, view.servers_version)
    assert set(index.decode_limits(encoded)) == {"i1"}


# Position of the limits in an encoded heartbeat, after its tag.
LIMITS = 9


def test_reports_out_of_range_are_skipped_and_old_messages_understood():
    view, encoded, _ = make_reports()
    index = peer_messages.ServerIndex()
    index.update(view.servers, view.servers_version)
    process = encoded[0].server
    assert not index.decode_limits([peer_messages.EncodedLimit(process, -2, 0)])
    host = peer_messages.EncodedHost("h1", "10.0.0.1", "a1", 1)
    heartbeat = peer_messages.Heartbeat(
        host, members.HostState.READY, 1, 1, [], [], [], [], encoded
    )
    assert peer_messages.decode(peer_messages.encode(heartbeat)) == heartbeat
    fields = msgspec.msgpack.decode(peer_messages.encode(heartbeat))
    old = peer_messages.decode(msgspec.msgpack.encode(fields[:LIMITS]))
    assert old.limits == [] and old.demand is None
    with pytest.raises(msgspec.MsgspecError):
        fields[LIMITS] = [[process, "fast", 0]]
        peer_messages.decode(msgspec.msgpack.encode(fields))

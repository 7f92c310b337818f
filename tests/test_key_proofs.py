"""Secrecy and withdrawal of keys, on running hosts."""

import concurrent.futures
import contextlib
import json
import signal
import time
import urllib.parse

import pytest
import urllib3

from banyanshed.core import rows
from standins import fleet as fleets
from standins import sites

pytestmark = [pytest.mark.processes, pytest.mark.invariant("keys")]

OTHER_TENANT = "other-club"
WITHDRAWAL_S = 5.0
# Time for which a host is suspended: longer than the maximum age of the
# configuration for accepting keys, but shorter than the time after which the
# host's shares lapse, which would cause refusals anyway.
SUSPEND_S = 4.5
QUEUED_REQUESTS = 8
AWAIT_TIMEOUT_S = 60.0
OPEN_SERVICE = "walk-in"


@pytest.fixture(scope="module")
def site():
    with contextlib.ExitStack() as exits:
        fleet = fleets.Fleet(exits, store_region="sask")
        limits = sites.Limits(rate=2000, burst=2000)
        found = sites.start(fleet, limits, lookup_ttl_s=1, stop_timeout_s=10)
        board = fleet.backends["board-sask-1"].address
        extra = [
            rows.TenantRow(tenant=OTHER_TENANT, rate=500, burst=500),
            rows.ServiceRow(service=OPEN_SERVICE, open_to_all=True),
            rows.PlacementRow(
                service=OPEN_SERVICE,
                region="sask",
                weight=100,
                limit=8,
                shift_cap=8,
            ),
            rows.BackendRow(
                service=OPEN_SERVICE,
                backend="walk-in-1",
                region="sask",
                zone="sask-a",
                address=board,
                slots=8,
            ),
        ]
        fleet.call_operator("POST", "sheet", sites.as_sheet(extra).encode())
        yield found


@pytest.fixture
def fleet(site):
    yield site.fleet
    for proxy in site.fleet.table_proxies.values():
        proxy.set_blocked(False)


@pytest.fixture
def pools(fleet):
    """One persistent connection to each host."""
    with contextlib.ExitStack() as exits:
        found = {}
        for host, child in fleet.hosts.items():
            ip, port = child.address.split(":")
            pool = urllib3.HTTPConnectionPool(
                ip, int(port), maxsize=1, block=True, retries=False, timeout=30
            )
            exits.callback(pool.close)
            found[host] = pool
        yield found


def send_read(pool, key, path="/services/board/x", **headers):
    sent = {"Authorization": f"Bearer {key}"} | headers
    return pool.request("GET", path, headers=sent)


def outcome_of(answer):
    return "served" if answer.status == 200 else answer.json()["code"]


def await_code(pool, key, code):
    """Sends reads until the outcome is `code`; returns the time of that."""
    end_s = time.monotonic() + AWAIT_TIMEOUT_S
    seen = None
    while time.monotonic() < end_s:
        seen = outcome_of(send_read(pool, key))
        if seen == code:
            return time.monotonic()
        time.sleep(0.1)
    raise AssertionError(f"outcome is {seen}, expected {code}")


def issue(fleet, pools, tenant=sites.TENANT):
    """Issues a key and waits until every host accepts it."""
    issued = fleet.call_operator("POST", "key", {"tenant": tenant})
    fleet.await_version(issued["version"])
    for pool in pools.values():
        await_code(pool, issued["key"], "served")
    return issued


def withdraw(fleet, issued, host=None):
    started_s = time.monotonic()
    fleet.call_operator(
        "POST", "withdraw_key", {"digest": issued["digest"]}, host
    )
    return started_s


def executions(fleet):
    for backend in fleet.backends.values():
        yield from backend.get("/_executed")["executions"]


def requests_with_misplaced_key(key):
    quoted = "".join(f"%{ord(character):02x}" for character in key)
    twice = urllib.parse.quote(quoted, safe="")
    for form in (key, quoted, twice):
        yield f"/x/{form}", {}
        yield f"/x?key={form}", {}
        yield "/x", {"X-Key": form}
        yield "/x", {"Cookie": f"a=b; key={form}"}
        yield "/x", {"Idempotency-Key": form}
    yield "/x", {key: "1"}


def test_no_form_of_a_key_reaches_a_backend_server(fleet, pools):
    issued = issue(fleet, pools)
    pool = pools["sask-a-1"]
    other = issue(fleet, pools, OTHER_TENANT)["key"]
    key = issued["key"]
    for scheme in ("Bearer", "bearer", "BEARER"):
        for name in ("Authorization", "authorization", "AUTHORIZATION"):
            answer = pool.request(
                "GET", "/services/board/x", headers={name: f"{scheme} {key}"}
            )
            assert answer.status == 200
    for service in ("board", OPEN_SERVICE):
        for sent in ({}, {"Authorization": f"Bearer {other}"}):
            for path, headers in requests_with_misplaced_key(key):
                answer = pool.request(
                    "GET",
                    f"/services/{service}{path}",
                    headers=headers | sent,
                )
                assert answer.status == 400, (service, path, headers, sent)
                assert answer.json()["code"] == "key_elsewhere"
                assert answer.headers["Banyanshed-Ran"] == "no"
    secrets = [secret.lower() for secret in (key, other)]
    runs = list(executions(fleet))
    assert runs
    for run in runs:
        assert "authorization" not in {name.lower() for name in run["headers"]}
        seen = urllib.parse.unquote(urllib.parse.unquote(json.dumps(run)))
        assert not any(secret in seen.lower() for secret in secrets)


def test_a_request_runs_for_the_tenant_of_its_key_only(fleet, pools):
    mine = issue(fleet, pools)["key"]
    other = issue(fleet, pools, OTHER_TENANT)["key"]
    wanted = {}
    for host, pool in pools.items():
        for key, tenant in ((mine, sites.TENANT), (other, OTHER_TENANT)):
            for claimed_tenant in (sites.TENANT, OTHER_TENANT):
                path = f"/tenant/{host}/{tenant}/{claimed_tenant}"
                answer = send_read(
                    pool,
                    key,
                    f"/services/board{path}",
                    **{
                        "Banyanshed-Tenant": claimed_tenant,
                        "BANYANSHED_TENANT": claimed_tenant,
                    },
                )
                assert answer.status == 200
                wanted[path] = [tenant]
    seen = {}
    for run in executions(fleet):
        if run["path"] in wanted:
            tenants = seen.setdefault(run["path"], [])
            for name, value in run["headers"].items():
                if name.lower().replace("_", "-") == "banyanshed-tenant":
                    tenants.append(value)
    assert seen == wanted


def test_a_withdrawn_key_stops_at_every_host(fleet, pools):
    """Includes a host that is cut off from the store and relies on peers."""
    kept = issue(fleet, pools)
    withdrawn = issue(fleet, pools)
    fleet.table_proxies["alberta-a-1"].set_blocked(True)
    await_code(pools["alberta-a-1"], kept["key"], "served")
    started_s = withdraw(fleet, withdrawn)
    for pool in pools.values():
        stopped_s = await_code(pool, withdrawn["key"], "bad_key")
        assert stopped_s - started_s <= WITHDRAWAL_S
    for pool in pools.values():
        assert pool.num_connections == 1
        await_code(pool, kept["key"], "served")
        assert outcome_of(send_read(pool, withdrawn["key"])) == "bad_key"


def test_a_host_that_restarts_in_an_outage_refuses_a_withdrawn_key(
    fleet, pools
):
    kept = issue(fleet, pools)
    withdrawn = issue(fleet, pools)
    withdraw(fleet, withdrawn)
    await_code(pools["sask-b-1"], withdrawn["key"], "bad_key")
    await_code(pools["alberta-a-1"], withdrawn["key"], "bad_key")
    for proxy in fleet.table_proxies.values():
        proxy.set_blocked(True)
    child = fleet.hosts["sask-b-1"]
    child.process.kill()
    child.process.wait()
    fleet.start_host("sask-b-1")
    # It knows the key, but cannot get a share of the tenant's rate during the
    # outage.
    await_code(pools["sask-b-1"], kept["key"], "no_share")
    assert (
        outcome_of(send_read(pools["sask-b-1"], withdrawn["key"])) == "bad_key"
    )
    for host in ("sask-a-1", "alberta-a-1"):
        await_code(pools[host], kept["key"], "served")
        assert outcome_of(send_read(pools[host], withdrawn["key"])) == "bad_key"
    for proxy in fleet.table_proxies.values():
        proxy.set_blocked(False)
    await_code(pools["sask-b-1"], kept["key"], "served")
    assert (
        outcome_of(send_read(pools["sask-b-1"], withdrawn["key"])) == "bad_key"
    )


def test_a_host_frozen_during_the_withdrawal_serves_nothing_under_the_key(
    fleet, pools
):
    withdrawn = issue(fleet, pools)
    host = "alberta-a-1"
    frozen = fleet.hosts[host]
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        withdraw(fleet, withdrawn)
        with concurrent.futures.ThreadPoolExecutor(QUEUED_REQUESTS) as threads:
            queued = [
                threads.submit(send_once, frozen, withdrawn["key"])
                for _ in range(QUEUED_REQUESTS)
            ]
            time.sleep(SUSPEND_S)
            frozen.process.send_signal(signal.SIGCONT)
            resumed_s = time.monotonic()
            codes = [future.result() for future in queued]
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    stopped_s = await_code(pools[host], withdrawn["key"], "bad_key")
    assert stopped_s - resumed_s <= WITHDRAWAL_S
    assert "served" not in codes


def send_once(child, key):
    headers = {"Authorization": f"Bearer {key}"}
    return outcome_of(child.call("GET", "/services/board/x", headers=headers))

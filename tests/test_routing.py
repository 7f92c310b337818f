import collections
import random

import pytest

from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import retries
from banyanshed.core import routing
from banyanshed.core import rows


def placement_rows(**weights):
    return [
        rows.PlacementRow(
            service="board", region=region, weight=weight, limit=5, shift_cap=1
        )
        for region, weight in weights.items()
    ]


DISTANCES = [
    rows.RegionRow(region="ege", distances_ms={"marmara": 1.0}),
    rows.RegionRow(
        region="marmara", distances_ms={"ege": 20.0, "ic-anadolu": 9.0}
    ),
]


class FakeShares:
    """Grants units up to `free` and bytes up to `links`."""

    def __init__(self, free, links):
        self.free = collections.Counter(free)
        self.links = dict(links)
        self.settled = []

    def acquire(self, now_s, service, region):
        if self.free[region] <= 0:
            return None
        self.free[region] -= 1
        return region

    def release(self, now_s, unit):
        self.free[unit] += 1

    def reserve_bytes(self, now_s, source, target, size):
        left = self.links.get((source, target), 0)
        if left < size:
            return None
        self.links[source, target] = left - size
        return (source, target, size)

    def settle_bytes(self, now_s, reservation, used):
        source, target, size = reservation
        self.links[source, target] += size - used
        self.settled.append(used)


def make_router(free, links, full=()):
    class Chooser:
        def choose(self, now_s, service, region, exclude=frozenset()):
            if region in full:
                return None
            target = requests.Target("b", region, "127.0.0.1:1")
            return reports.Attempt(service, target, 1, now_s)

    shares = FakeShares(free, links)
    router = routing.Router("marmara", shares, Chooser())
    router.configure(
        DISTANCES,
        placement_rows(ege=100, marmara=50, izmir=100, **{"ic-anadolu": 1}),
    )
    return router, shares


def test_nearest_regions_come_first_and_drained_ones_last():
    router, _ = make_router({}, {})
    router.configure(
        DISTANCES, placement_rows(ege=9, marmara=0, **{"ic-anadolu": 1})
    )
    order = [(c.region, c.drained) for c in router.region_order["board"]]
    assert order == [
        ("ic-anadolu", False),
        ("ege", False),
        ("marmara", True),
    ]


@pytest.mark.parametrize(
    ("free", "links", "full", "region"),
    [
        ({"marmara": 1, "ege": 1}, {}, (), "marmara"),
        (
            {"ege": 1},
            {("marmara", "ege"): 10, ("ege", "marmara"): 99},
            (),
            "ege",
        ),
        ({"ege": 1}, {("marmara", "ege"): 10, ("ege", "marmara"): 9}, (), None),
        ({"ege": 1}, {("ege", "marmara"): 99}, (), None),
        ({"marmara": 1}, {}, ("marmara",), None),
        ({}, {}, (), None),
    ],
)
def test_request_is_placed_where_all_resources_are_free(
    free, links, full, region
):
    router, shares = make_router(free, links, full)
    before = (dict(shares.free), dict(shares.links))
    placed = router.place(0.0, "board", 10, 99)
    if region is None:
        assert (placed.code, placed.ran) == ("no_capacity", models.Ran.NO)
        assert placed.retry_after_s > 0
    else:
        assert placed.attempt.target.region == region
        assert shares.free[region] == 0
        router.release(0.0, placed, 0, 0)
    # After a refusal or a release, nothing is held.
    assert (+shares.free, shares.links) == (
        +collections.Counter(before[0]),
        before[1],
    )


def caller_request(method):
    return requests.CallerRequest(
        "r", "board", None, "key", method, "/", {}, b"", 5.0
    )


def decide(method, failures, budget, time_left_s=5.0):
    history = retries.AttemptHistory()
    for number, failure in enumerate(failures):
        history.record(f"b{number}", failure)
    return retries.decide(
        caller_request(method),
        history,
        failures[-1],
        time_left_s,
        budget,
        random.Random(1),
    )


NOT_RUN = requests.AttemptFailure(models.Ran.NO, "connect_failed")
MAYBE_RUN = requests.AttemptFailure(models.Ran.UNKNOWN, "connection_lost")


@pytest.mark.invariant("true-refusal")
@pytest.mark.parametrize(
    ("method", "failures", "retried", "ran"),
    [
        ("GET", [MAYBE_RUN], True, None),
        ("POST", [MAYBE_RUN], False, models.Ran.UNKNOWN),
        ("PUT", [MAYBE_RUN], False, models.Ran.UNKNOWN),
        ("POST", [NOT_RUN], True, None),
        ("POST", [NOT_RUN, MAYBE_RUN], False, models.Ran.UNKNOWN),
        # A later attempt that did not run leaves the first one uncertain.
        ("POST", [MAYBE_RUN, NOT_RUN], False, models.Ran.UNKNOWN),
        ("GET", [MAYBE_RUN, NOT_RUN, NOT_RUN], False, models.Ran.UNKNOWN),
        ("GET", [NOT_RUN, NOT_RUN, NOT_RUN], False, models.Ran.NO),
    ],
)
def test_retries_never_execute_unsafe_requests_twice(
    method, failures, retried, ran
):
    decision = decide(method, failures, retries.RetryBudget())
    if retried:
        assert decision.exclude == {f"b{n}" for n in range(len(failures))}
        return
    assert decision.ran is ran
    assert (decision.retry_after_s is None) == (ran is models.Ran.UNKNOWN)


def test_retries_stay_within_budget_and_deadline():
    budget = retries.RetryBudget()
    assert decide("GET", [NOT_RUN], budget, 0.01).code == "connect_failed"
    retried = 0
    for _ in range(1000):
        budget.record_request()
        retried += isinstance(decide("GET", [NOT_RUN], budget), retries.Retry)
    assert 100 <= retried <= 110

import types

import pytest

from banyanshed import exceptions
from banyanshed.gateway import appliers
from banyanshed.gateway import feeds
from banyanshed.gateway import metrics
from banyanshed.gateway import mirrors
from banyanshed.platform import wire
from banyanshed.steering import models
from banyanshed.steering import waits
from tests import steering_cases as cases


class Case:
    """An applier on a view of eight servers, with a clock set by the test."""

    def __init__(self):
        self.now = 100.0
        self.view = cases.make_view(now=90.0)
        self.forgotten = []
        self.applier = appliers.Applier(
            self.view,
            self.forgotten.append,
            lambda _: None,
            metrics.Metrics(),
            waits.Waits(models.Bounds()),
            lambda: self.now,
        )
        self.mirror = mirrors.Mirror(wire.SERVER_TABLE)

    def remove(self, *servers):
        rows = [wire.Row(server, None, 9) for server in servers]
        self.applier.apply(self.mirror, rows, "store")

    def lose_store(self):
        self.applier.outage.begin(self.now)

    def regain_store(self, seconds_ago):
        """Simulates an outage that ended 0.2 s after its last failed call."""
        returned_at = self.now - seconds_ago
        self.applier.outage.begin(returned_at - 0.2)
        self.applier.outage.end(returned_at)

    def servers_at(self, now):
        self.now = now
        self.applier.drop_missing()
        return set(self.view.servers)


def test_a_server_is_dropped_as_soon_as_its_entry_is_removed():
    case = Case()
    case.remove("i1")
    assert "i1" not in case.view.servers
    assert case.forgotten == ["i1"]


def test_a_removal_long_after_an_outage_takes_effect_at_once():
    # The store answered again 2.6 s ago, and entries that expired in the outage
    # are back by then. So this server has left in good order, and 2.5 s after
    # that it must get no more requests.
    case = Case()
    case.regain_store(2.6)
    case.remove("i1")
    assert "i1" not in case.view.servers


def test_a_removal_soon_after_an_outage_is_delayed_by_the_remaining_grace():
    case = Case()
    case.regain_store(1.5)
    case.remove("i1")
    assert "i1" in case.servers_at(100.5)
    assert "i1" not in case.servers_at(100.7)


@pytest.mark.parametrize("count", [3, 8])
def test_servers_in_a_mass_removal_are_kept_for_a_grace_period(count):
    case = Case()
    servers = [f"i{number}" for number in range(count)]
    case.remove(*servers)
    assert set(servers) <= case.servers_at(101.9)
    assert not set(servers) & case.servers_at(102.2)


def test_logs_and_metrics_give_the_reason_a_server_was_kept(lines):
    case = Case()
    case.lose_store()
    case.remove("i1")
    case.servers_at(103.0)
    kept, gone = lines()
    assert kept["message_type"] == "server_kept"
    assert (kept["server"], kept["reason"]) == ("i1", "store_lost")
    assert gone["message_type"] == "server_gone"
    assert (gone["server"], gone["cause"]) == ("i1", "not_back")
    page = case.applier.counters.encode().decode()
    assert 'banyanshed_servers_kept_total{reason="store_lost"} 1.0' in page
    assert 'banyanshed_servers_gone_total{cause="not_back"} 1.0' in page


def test_each_failed_call_of_the_store_is_logged_with_its_duration(lines):
    case = Case()
    feed = make_feed(case, wire.SERVER_TABLE)
    for _ in range(3):
        feed.sent_at = case.now
        case.now += 1.2
        feed._record_failure(exceptions.StoreTimeout("timeout"))
    failed = [
        (line["failures"], line["waited_s"])
        for line in lines()
        if line["message_type"] == "feed_failed"
    ]
    assert failed == [(1, 1.2), (2, 1.2), (3, 1.2)]


def test_the_metrics_page_has_its_counters_before_the_histograms():
    counters = metrics.Metrics()
    counters.count_request("s", "answered", 200, 0.1)
    counters.count_store_call("op", "store_timeout")
    page = counters.encode().decode()
    first_bucket = page.index("_bucket{")
    assert page.index("banyanshed_store_calls_total{") < first_bucket


def make_feed(case, table):
    store = types.SimpleNamespace(is_store=True, name="store")
    sources = types.SimpleNamespace(store=store)
    counters = metrics.Metrics()
    feed = feeds.Feed(mirrors.Mirror(table), sources, case.applier, counters)
    feed.was_connected = True
    return feed


def test_the_last_feed_to_reconnect_does_not_extend_the_grace_period():
    # The first feed reaches the store again at 100.0; the second one reconnects
    # 0.45 s later and finds an entry removed. The server may have left at 99.8
    # and must get no requests from 102.3 on.
    case = Case()
    feed = make_feed(case, wire.OPERATOR_TABLE)
    servers = make_feed(case, wire.SERVER_TABLE)
    case.lose_store()
    feed._record_success("changes")
    case.now = 100.45
    servers._record_success("changes")
    case.remove("i1")
    assert "i1" not in case.servers_at(102.3)

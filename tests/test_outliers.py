"""Outlier ejection by several hosts, and readmission after probes."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from banyanshed.lab import model as model_lib
from banyanshed.lab import scenarios
from banyanshed.steering import health
from banyanshed.steering import outliers
from tests import steering_cases as cases

HOSTS = [f"h{number}" for number in range(8)]


class Fleet:
    """Hosts that exchange their evidence."""

    def __init__(self, servers=10, hosts=HOSTS):
        self.view = cases.make_view(servers)
        self.hosts = hosts
        self.outliers = {
            host: outliers.Outliers(host, lambda: self.hosts) for host in hosts
        }

    def exchange_reports(self, now):
        for sender in self.hosts:
            report = self.outliers[sender].report(now)
            for receiver in self.hosts:
                if receiver != sender:
                    self.outliers[receiver].set_peer_report(sender, report, now)

    def update_ejections(self, now):
        for host in self.hosts:
            self.outliers[host].update_ejections(self.view.by_service, now)

    def ejected(self, host):
        return set(self.outliers[host].ejections)


def test_hosts_eject_a_server_on_combined_evidence():
    fleet = Fleet()
    for host in HOSTS:
        fleet.outliers[host].record_attempt("i3", True, 1.0)
    fleet.update_ejections(1.0)
    assert not fleet.ejected("h0")
    fleet.exchange_reports(1.1)
    fleet.update_ejections(1.2)
    for host in HOSTS:
        assert fleet.ejected(host) == {"i3"}


def test_successes_seen_by_other_hosts_are_counted():
    fleet = Fleet()
    for host in HOSTS[:2]:
        fleet.outliers[host].record_attempt("i3", True, 1.0)
    for host in HOSTS:
        for _ in range(4):
            fleet.outliers[host].record_attempt("i3", False, 1.0)
    # The first exchange tells which server is suspected; in the second, hosts
    # that saw no failure report their attempts too.
    fleet.exchange_reports(1.05)
    fleet.exchange_reports(1.1)
    fleet.update_ejections(1.2)
    assert not fleet.ejected("h0")


def test_servers_are_kept_when_all_fail_alike():
    fleet = Fleet()
    for server in fleet.view.servers:
        for step in range(20):
            fleet.outliers["h0"].record_attempt(server, step % 2 == 0, 1.0)
    fleet.update_ejections(1.1)
    assert not fleet.ejected("h0")


@settings(max_examples=50, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 9), strategies.booleans()),
        max_size=200,
    )
)
def test_no_more_than_a_share_of_a_service_is_ejected(attempts):
    fleet = Fleet(hosts=["h0"])
    detector = fleet.outliers["h0"]
    for number, (server, bad) in enumerate(attempts):
        now = number / 50
        detector.record_attempt(f"i{server}", bad, now)
        detector.update_ejections(fleet.view.by_service, now)
        assert len(detector.ejections) <= 10 * outliers.MAX_EJECTED_SHARE


def test_few_hosts_probe_an_ejected_server_one_request_at_a_time():
    fleet = Fleet()
    for host in HOSTS:
        fleet.outliers[host].record_attempt("i3", True, 1.0)
    fleet.exchange_reports(1.1)
    fleet.update_ejections(1.2)
    probe_at = 1.2 + outliers.PROBE_INTERVAL_S
    for host in HOSTS:
        assert not fleet.outliers[host].is_usable("i3", 0, 1.3)
    probers = [
        host
        for host in HOSTS
        if fleet.outliers[host].is_usable("i3", 0, probe_at)
    ]
    assert len(probers) == outliers.PROBE_HOSTS
    prober = fleet.outliers[probers[0]]
    assert not prober.is_usable("i3", 1, probe_at)
    prober.record_attempt("i3", True, probe_at)
    assert not prober.is_usable("i3", 0, probe_at + 0.1)


def test_a_successful_probe_readmits_the_server_on_all_hosts():
    fleet = Fleet()
    for host in HOSTS:
        fleet.outliers[host].record_attempt("i3", True, 1.0)
    fleet.exchange_reports(1.1)
    fleet.update_ejections(1.2)
    fleet.outliers["h2"].record_attempt("i3", False, 3.0)
    fleet.exchange_reports(3.1)
    fleet.exchange_reports(3.2)
    fleet.update_ejections(3.3)
    for host in HOSTS:
        assert not fleet.ejected(host)


def test_evidence_of_a_dropped_peer_is_not_counted():
    fleet = Fleet()
    for host in HOSTS:
        fleet.outliers[host].record_attempt("i3", True, 1.0)
    fleet.exchange_reports(1.1)
    for peer in HOSTS[1:]:
        fleet.outliers["h0"].drop_peer(peer)
    fleet.update_ejections(1.2)
    assert not fleet.ejected("h0")


def test_a_restarted_server_starts_without_evidence():
    fleet = Fleet(hosts=["h0"])
    for _ in range(9):
        fleet.outliers["h0"].record_attempt("i3", True, 1.0)
    fleet.update_ejections(1.1)
    assert fleet.ejected("h0") == {"i3"}
    fleet.outliers["h0"].forget("i3")
    fleet.update_ejections(1.3)
    assert not fleet.ejected("h0")


@pytest.fixture
def checker():
    return health.Health(outliers.Outliers("h1", lambda: ["h1"]))


def test_a_hanging_attempt_counts_as_bad_once(checker):
    number = checker.start_attempt("i", 0.0, expected_s=0.5)
    checker.count_slow_attempts(0.9)
    assert not checker.outliers.tallies
    checker.count_slow_attempts(1.0)
    checker.count_slow_attempts(1.1)
    assert checker.outliers.tallies["i"].bad == 1.0
    # The end of the attempt is not counted again.
    checker.finish_attempt("i", "s", number, health.Outcome.TIMED_OUT, 1.2)
    assert checker.outliers.tallies["i"].bad == 1.0


def test_a_timeout_before_the_slow_threshold_is_not_evidence(checker):
    number = checker.start_attempt("i", 0.0, expected_s=2.0)
    checker.finish_attempt("i", "s", number, health.Outcome.TIMED_OUT, 3.0)
    assert not checker.outliers.tallies


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_few_requests_fail_soon_after_some_servers_become_slow(seed):
    # A quarter of the servers takes 1.6 s for requests due within 1.5 s.
    scenario = scenarios.Scenario(
        name="slow",
        rate=60.0,
        length_s=18.0,
        faults=(
            scenarios.Fault(
                trouble=scenarios.FaultKind.SLOW,
                at_s=4.0,
                for_s=14.0,
                share=0.25,
                severity=6.0,
            ),
        ),
    )
    variant = scenarios.Variant(name="x", policy=scenarios.Policy.STEERING)
    model = model_lib.Simulation(scenario, variant, seed)
    model.run()
    assert model.share(model.failed, 10, 17) <= 0.05

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from banyanshed.core import backends
from banyanshed.core import models
from banyanshed.core import reports
from banyanshed.core import requests
from banyanshed.core import rows
from banyanshed.core import subsets

LIVE = models.BackendState.LIVE
LEAVING = models.BackendState.LEAVING
ANSWER = requests.Answer(200, {}, b"")
LOST = requests.AttemptFailure(models.Ran.UNKNOWN, "connection_lost")
SHED = requests.AttemptFailure(models.Ran.NO, "backend_refused")


def row(name, slots=3, state=LIVE, connections=650, port=1):
    return rows.BackendRow(
        service="board",
        backend=name,
        region="sask",
        zone="a",
        address=f"127.0.0.1:{port}",
        slots=slots,
        connections=connections,
        state=state,
    )


def make_registry(names="abcd", host="h1", now_s=0.0, **columns):
    registry = backends.BackendRegistry(
        models.HostId(host), random.Random(host)
    )
    registry.configure(now_s, [row(name, **columns) for name in names], 1)
    return registry


def choose(registry, now_s, exclude=frozenset()):
    return registry.choose(now_s, "board", "sask", exclude)


def finish(registry, attempt, now_s, result=ANSWER):
    registry.handle(reports.AttemptFinished(attempt, result), now_s)


def in_flight_by_name(registry):
    return {name: b.in_flight for (_, name), b in registry.registered.items()}


NAMES = st.sampled_from("abc")
LAG_S = st.floats(0, 5)


class BackendsMachine(stateful.RuleBasedStateMachine):
    """Stale and contradictory reports, checked against a simple model."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.version = 1
        self.rows = {name: row(name) for name in "abc"}
        self.registry = make_registry("abc", now_s=self.now_s)
        self.reports = {name: {} for name in "abc"}
        self.refused_s = dict.fromkeys("abc", 0.0)
        self.attempts = []

    def record_report(self, name, source, state, order):
        reported = self.reports.get(name)
        if reported is None:
            return
        last = reported.get(source, (LIVE, 0))[1]
        if order > last or (order == last and state is LEAVING):
            reported[source] = (state, order)

    def is_leaving(self, name):
        return any(state is LEAVING for state, _ in self.reports[name].values())

    @stateful.rule(seconds=st.floats(0.01, 20))
    def advance_time(self, seconds):
        self.now_s += seconds

    @stateful.rule(exclude=st.frozensets(NAMES, max_size=2))
    def choose_one(self, exclude):
        before = in_flight_by_name(self.registry)
        attempt = choose(self.registry, self.now_s, exclude)
        usable = [
            name
            for name in self.rows
            if not self.is_leaving(name)
            and name not in exclude
            and before[name] < self.rows[name].slots
        ]
        if attempt is None:
            healthy_but_full = any(
                not self.is_leaving(name)
                and name not in exclude
                and not self.registry.registered["board", name].recovering
                and before[name] >= self.rows[name].slots
                for name in self.rows
            )
            assert not usable or healthy_but_full
            return
        assert attempt.target.backend in usable
        self.attempts.append(attempt)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        data=st.data(),
        result=st.sampled_from([ANSWER, LOST, LOST, SHED]),
        leaving=st.booleans(),
    )
    def finish_one(self, data, result, leaving):
        index = data.draw(st.integers(0, len(self.attempts) - 1))
        attempt = self.attempts.pop(index)
        name = attempt.target.backend
        backend = self.registry.registered.get(("board", name))
        same = backend and backend.registration == attempt.registration
        if leaving:
            result = requests.Answer(200, {}, b"", leaving=True)
        finish(self.registry, attempt, self.now_s, result)
        if same and leaving:
            self.record_report(name, "answer", LEAVING, self.now_s)

    @stateful.rule(
        name=NAMES,
        state=st.sampled_from([LIVE, LEAVING, None]),
        refused=st.booleans(),
        lag_s=LAG_S,
    )
    def report_health(self, name, state, refused, lag_s):
        probe_sent_s = self.now_s - lag_s
        state = None if refused else state
        event = reports.HealthReported(
            "board", name, state, refused, probe_sent_s
        )
        self.registry.handle(event, self.now_s)
        if name not in self.rows:
            return
        if refused:
            self.refused_s[name] = max(self.refused_s[name], probe_sent_s)
        if state is not None:
            self.record_report(name, "health", state, probe_sent_s)
        last_answer = self.reports[name].get("answer", (LIVE, 0))
        if (
            state is LIVE
            and last_answer[1] < self.refused_s[name] < probe_sent_s
        ):
            self.reports[name].pop("answer", None)

    @stateful.rule(
        name=NAMES,
        source=st.sampled_from(
            [reports.StateSource.DRAIN, reports.StateSource.HOST_LIST]
        ),
        state=st.sampled_from([LIVE, LEAVING]),
        lag_s=LAG_S,
    )
    def report_state(self, name, source, state, lag_s):
        order = self.now_s - lag_s
        event = reports.StateReported("board", name, source, state, order)
        self.registry.handle(event, self.now_s)
        self.record_report(name, source, state, order)

    @stateful.rule(
        name=NAMES,
        count=st.integers(0, 9),
        slots=st.integers(0, 9),
        lag_s=LAG_S,
    )
    def report_load(self, name, count, slots, lag_s):
        event = reports.LoadReported(
            "board", name, count, slots, self.now_s - lag_s
        )
        self.registry.handle(event, self.now_s)

    @stateful.rule(
        units=st.dictionaries(st.sampled_from(["h1", "h2"]), st.integers(0, 9))
    )
    def move_units(self, units):
        self.registry.set_units("board", "sask", units)

    @stateful.rule(
        name=NAMES,
        state=st.sampled_from([LIVE, LEAVING]),
        slots=st.integers(1, 4),
        port=st.sampled_from([1, 1, 2]),
        present=st.sampled_from([True, True, True, False]),
    )
    def edit_row(self, name, state, slots, port, present):
        self.version += 1
        before = self.rows.pop(name, None)
        if not present:
            self.reports.pop(name, None)
        else:
            self.rows[name] = row(name, slots, state, port=port)
            if before is None or before.address != self.rows[name].address:
                self.reports[name] = {}
                self.refused_s[name] = 0.0
        self.registry.configure(self.now_s, self.rows.values(), self.version)
        for other, kept in self.rows.items():
            self.record_report(other, "config", kept.state, self.version)

    @stateful.invariant()
    def slots_are_counted_exactly(self):
        held = collections.Counter(
            (a.target.backend, a.registration) for a in self.attempts
        )
        for (_, name), backend in self.registry.registered.items():
            assert backend.in_flight == held[name, backend.registration]


TestBackendsMachine = BackendsMachine.TestCase
TestBackendsMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestBackendsMachine = pytest.mark.invariant("leaving-backend")(
    TestBackendsMachine
)


@pytest.mark.invariant("leaving-backend")
def test_stale_reports_do_not_undo_leaving_until_restart():
    registry = make_registry("a")
    old = [choose(registry, 1.0), choose(registry, 1.0)]
    leaving = requests.AttemptFailure(models.Ran.NO, "backend_refused", True)
    finish(registry, old[0], 2.0, leaving)
    finish(registry, old[1], 3.0)
    health = reports.HealthReported("board", "a", LIVE, False, 4.0)
    registry.handle(health, 4.0)
    registry.configure(5.0, [row("a")], 9)
    assert choose(registry, 6.0) is None
    refused = reports.HealthReported("board", "a", None, True, 7.0)
    registry.handle(refused, 7.0)
    registry.handle(health, 7.5)
    assert choose(registry, 8.0) is None
    back = reports.HealthReported("board", "a", LIVE, False, 8.5)
    registry.handle(back, 8.6)
    assert choose(registry, 9.0) is not None


def test_ejections_grow_and_a_recovering_backend_gets_one_attempt_at_a_time():
    registry = make_registry("ab")
    bad = registry.registered["board", "a"]
    now_s, lengths = 0.0, []
    for _ in range(8):
        while not bad.is_ejected(now_s):
            attempt = choose(registry, now_s, frozenset("b"))
            if bad.recovering:
                assert choose(registry, now_s) != attempt
                assert in_flight_by_name(registry)["a"] == 1
            finish(registry, attempt, now_s, LOST)
        lengths.append(bad.ejected_until_s - now_s)
        assert choose(registry, now_s).target.backend == "b"
        for key in registry.registered:
            registry.registered[key].in_flight = 0
        now_s = bad.ejected_until_s
    expected = [min(60, 2**n) for n in range(8)]
    for length, expected_length in zip(lengths, expected, strict=True):
        assert 0.74 * expected_length < length < 1.26 * expected_length
    attempt = choose(registry, now_s, frozenset("b"))
    finish(registry, attempt, now_s)
    assert not bad.recovering
    assert bad.expected_load(now_s) > registry.registered[
        "board", "b"
    ].expected_load(now_s)


def test_failures_of_all_backends_eject_at_most_half():
    registry = make_registry("abcd")
    for step in range(100):
        attempt = choose(registry, step / 100)
        finish(registry, attempt, step / 100, LOST)
    assert sum(b.recovering for b in registry.registered.values()) == 2


def test_only_failures_of_the_backend_itself_count_against_it():
    late = requests.AttemptFailure(models.Ran.UNKNOWN, "deadline")
    unsent = requests.AttemptFailure(models.Ran.NO, "not_sendable")
    classify = reports.classify
    assert classify(late, 0.2) is reports.Outcome.NEUTRAL
    assert classify(late, 2.0) is reports.Outcome.FAILED
    assert classify(unsent, 0.0) is reports.Outcome.NEUTRAL
    assert classify(LOST, 0.0) is reports.Outcome.FAILED
    assert classify(SHED, 0.0) is reports.Outcome.SHED
    for status, outcome in [(404, "worked"), (500, "failed"), (503, "shed")]:
        answer = requests.Answer(status, {}, b"")
        assert classify(answer, 0).value == outcome


@pytest.mark.parametrize("gone", ["", "b"])
def test_hosts_with_units_use_different_slots(gone):
    units = {f"h{number}": number % 4 + 1 for number in range(7)}
    units["h7"] = 2 if gone else 5
    used = collections.Counter()
    for host, count in units.items():
        registry = make_registry("abcdefg", host=host)
        registry.set_units("board", "sask", units)
        event = reports.StateReported(
            "board", gone, reports.StateSource.DRAIN, LEAVING, 1.0
        )
        registry.handle(event, 1.0)
        used.update(choose(registry, 2.0).target.backend for _ in range(count))
    assert used == {name: 3 for name in "abcdefg" if name != gone}


@pytest.mark.parametrize("lag_s", [0.0, 1.0, 10.0])
def test_a_wrong_load_report_does_not_attract_all_hosts(lag_s):
    names = "abcdefgh"
    chosen = collections.Counter()
    for number in range(25):
        registry = make_registry(names, host=f"h{number}", slots=4)
        for name in names:
            load = 0 if name == "a" else 4
            event = reports.LoadReported("board", name, load, 4, 10.0)
            registry.handle(event, 10.0 + lag_s)
        for _ in range(2):
            chosen[choose(registry, 10.0 + lag_s).target.backend] += 1
    # An even share would be 6.25 of the 50 attempts.
    assert chosen["a"] <= 25
    assert len(chosen) >= 6


def test_slow_start_limits_work_of_a_new_backend():
    registry = make_registry("ab", slots=100)
    registry.configure(10.0, [row(name, slots=100) for name in "abc"], 2)

    def share(now_s):
        attempts = [choose(registry, now_s) for _ in range(60)]
        for attempt in attempts:
            finish(registry, attempt, now_s)
        return sum(a.target.backend == "c" for a in attempts)

    assert share(10.0) < 8
    assert 15 < share(21.0) < 25


@pytest.mark.parametrize(
    ("hosts", "count", "connections"),
    [
        (25, 14, 650),
        (25, 12, 800),
        (550, 14, 800),
        (550, 18, 650),
        (550, 2, 650),
    ],
)
def test_subsets_respect_connection_limits(hosts, count, connections):
    names = [f"b{number}" for number in range(count)]
    used = collections.Counter()
    for number in range(hosts):
        registry = make_registry(
            names, host=f"h{number}", connections=connections
        )
        registry.set_host_count(hosts)
        subset = registry.subset("board", "sask")
        max_connections = registry.pools["board", "sask"].plan.connections
        assert len(subset) >= min(count, subsets.MIN_SUBSET)
        assert (
            max_connections >= subsets.MIN_CONNECTIONS
            or len(subset) == count < 4
        )
        used.update({b.row.backend: min(max_connections, 9) for b in subset})
        if number == 0:
            others = [b.row.backend for b in subset[1:]]
            gone = subset[0].row.backend
            event = reports.StateReported(
                "board", gone, reports.StateSource.DRAIN, LEAVING, 1.0
            )
            registry.handle(event, 1.0)
            after = [b.row.backend for b in registry.subset("board", "sask")]
            assert gone not in after
            # When its first server leaves, the rest of the subset stays, as
            # far as the new size allows.
            size = min(len(after), len(others))
            assert after[:size] == others[:size]
    assert len(used) == count
    assert max(used.values()) <= connections
    assert max(used.values()) <= 1.6 * min(used.values())

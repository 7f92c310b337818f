import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from banyanshed import exceptions
from banyanshed.core import blocks
from banyanshed.core import configuration as configurations
from banyanshed.core import models
from banyanshed.core import rows

DIGESTS = ["a" * 64, "b" * 64]
NAMES = st.sampled_from(["sask", "alberta"])
VALID_ROWS = st.one_of(
    st.builds(rows.RegionRow, region=NAMES),
    st.builds(rows.ServiceRow, service=NAMES, open_to_all=st.booleans()),
    st.builds(
        rows.PlacementRow,
        service=NAMES,
        region=NAMES,
        weight=st.integers(0, 100),
        limit=st.just(9),
        shift_cap=st.just(1),
    ),
    st.builds(
        rows.BackendRow,
        service=NAMES,
        backend=NAMES,
        region=NAMES,
        zone=NAMES,
        address=st.just("127.0.0.1:1"),
        slots=st.integers(1, 3),
    ),
    st.builds(
        rows.TenantRow, tenant=NAMES, rate=st.just(1.0), burst=st.just(1)
    ),
    st.builds(rows.KeyRow, digest=st.sampled_from(DIGESTS), tenant=NAMES),
    st.builds(
        rows.LinkRow, source=NAMES, target=NAMES, bytes_per_s=st.just(1.0)
    ),
    st.builds(
        rows.BlockRow,
        cidr=st.sampled_from(["10.0.0.0/8", "10.1.0.0/16", "2001:db8::/32"]),
        region=NAMES,
        zone=NAMES,
    ),
    st.builds(
        rows.DrainRow,
        drain=NAMES,
        service=NAMES,
        region=NAMES,
        starts_s=st.just(1.0),
        ends_s=st.just(2.0),
    ),
)
CHANGES = st.lists(
    st.tuples(VALID_ROWS, st.sampled_from(["put", "put", "delete", "damage"])),
    min_size=1,
    max_size=4,
    unique_by=lambda change: rows.row_key(change[0]),
)


def make_delta(commits, base, version):
    """Returns the delta that a scan at `version` since `base` yields."""
    latest = {}
    for number, written in enumerate(commits[:version], start=1):
        for key, value in written.items():
            latest[key] = models.TableRow(key, number, value)
    changed = [row for row in latest.values() if row.version > base]
    return configurations.ConfigDelta(base, version, tuple(changed))


class DeltaMachine(stateful.RuleBasedStateMachine):
    """Two hosts apply deltas from any source, out of order and repeatedly."""

    def __init__(self):
        super().__init__()
        self.commits = []
        self.hosts = [configurations.Configuration() for _ in range(2)]
        self.seen = [{}, {}]
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(configurations, "MAX_RECENT_ROWS", 3)
        self.patch.setattr(blocks, "BULK_BLOCKS", 2)

    def teardown(self):
        full_delta = make_delta(self.commits, 0, len(self.commits))
        expected = configurations.Configuration()
        expected.apply(full_delta)
        for host in self.hosts:
            assert host.apply(full_delta)
            assert_converged(host, expected, full_delta)
        self.patch.undo()

    @stateful.rule(changes=CHANGES)
    def commit(self, changes):
        written = {}
        for row, action in changes:
            value = configurations.encode_row(row)
            if action == "damage":
                value["colour"] = 1
            written[rows.row_key(row)] = None if action == "delete" else value
        self.commits.append(written)

    @stateful.rule(data=st.data(), host=st.integers(0, 1))
    def receive(self, data, host):
        version = data.draw(st.integers(0, len(self.commits)))
        base = data.draw(st.integers(0, version))
        receiver = self.hosts[host]
        old = receiver.version
        applied = receiver.apply(make_delta(self.commits, base, version))
        assert applied == (base <= old)
        assert receiver.version == (max(old, version) if applied else old)

    @stateful.rule(host=st.integers(0, 1), versions_back=st.integers(0, 6))
    def gossip(self, host, versions_back):
        target = self.hosts[1 - host]
        since = max(0, target.version - versions_back)
        assert target.apply(self.hosts[host].delta_since(since))
        assert target.version >= self.hosts[host].version

    @stateful.rule(host=st.integers(0, 1))
    def restart(self, host):
        content = self.hosts[host].snapshot()
        self.hosts[host] = configurations.Configuration.restore(content)

    @stateful.invariant()
    def rows_are_complete_correct_and_never_older(self):
        for host, seen in zip(self.hosts, self.seen, strict=True):
            complete = make_delta(self.commits, 0, host.version)
            for row in complete.rows:
                held = host.stored(row.key)
                assert held.version >= row.version
                assert held.value == self.commits[held.version - 1][row.key]
                assert held.version >= seen.get(row.key, 0)
                seen[row.key] = held.version


def assert_converged(host, expected, full_delta):
    for row in full_delta.rows:
        assert host.stored(row.key) == row
        assert (row.key in host.findings) == (row.key in expected.findings)
        if row.key in host.findings:
            assert "colour" in host.findings[row.key][0].place
    # For a row that is now invalid, a new host lacks the last valid version.
    damaged = set(host.findings)
    valid = {key for key in host.rows if key not in damaged}
    assert valid == {key for key in expected.rows if key not in damaged}
    for key in valid:
        assert host.rows[key] == expected.rows[key]
    assert not any(f"config/key/{digest}" in damaged for digest in host.keys)
    indexed = [*host.regions.values(), *host.services.values()]
    indexed += [*host.tenants.values(), *host.keys.values()]
    indexed += host.drains.values()
    for index in (host.placements, host.backends, host.links):
        for inner in index.values():
            indexed += inner.values()
    assert {rows.row_key(row) for row in indexed} == set(host.rows)


@pytest.mark.invariant("config")
def test_deltas_in_any_order_converge_without_reverting():
    settings = hypothesis.settings(max_examples=60, stateful_step_count=25)
    stateful.run_state_machine_as_test(DeltaMachine, settings=settings)


def make_configuration(*given, version=1):
    configuration = configurations.Configuration()
    table_rows = []
    for row in given:
        value = configurations.encode_row(row)
        key = rows.row_key(row)
        table_rows.append(models.TableRow(key, version, value))
    delta = configurations.ConfigDelta(0, version, tuple(table_rows))
    assert configuration.apply(delta)
    return configuration


def test_invalid_row_keeps_last_valid_version_except_for_keys():
    tenant = rows.TenantRow(tenant="club", rate=5, burst=5)
    key = rows.KeyRow(digest="a" * 64, tenant="club")
    configuration = make_configuration(tenant, key)
    damaged = tuple(
        models.TableRow(rows.row_key(row), 2, {"kind": row.kind, "rate": "x"})
        for row in (tenant, key)
    )
    assert configuration.apply(configurations.ConfigDelta(1, 2, damaged))
    assert configuration.tenants == {"club": tenant}
    assert configuration.keys == {}
    assert len(configuration.findings) == 2
    assert "row config/tenant/club, column rate" in {
        finding.place
        for findings in configuration.findings.values()
        for finding in findings
    }


@pytest.mark.parametrize("value", [{}, [], 3, {"kind": "moon"}])
def test_rows_of_unknown_kind_are_reported(value):
    configuration = configurations.Configuration()
    row = models.TableRow("config/moon/x", 4, value)
    assert configuration.apply(configurations.ConfigDelta(0, 4, (row,)))
    assert list(configuration.findings) == ["config/moon/x"]
    assert configuration.delta_since(0).rows == (row,)


def test_row_stored_under_wrong_key_is_rejected():
    row = rows.TenantRow(tenant="a", rate=1, burst=1)
    stored = models.TableRow("config/tenant/b", 1, row.model_dump())
    with pytest.raises(exceptions.InvalidInput) as caught:
        configurations.parse_row(stored)
    assert caught.value.findings[0].code == "wrong_key"


@pytest.mark.parametrize(
    "content", [b"", b"x", b"\x78\x01", configurations.zlib.compress(b"{}")]
)
def test_malformed_snapshot_is_rejected(content):
    with pytest.raises(exceptions.InvalidInput):
        configurations.Configuration.restore(content)


@pytest.mark.parametrize(
    ("now_s", "expected"), [(9.9, False), (10, True), (19, True), (20, False)]
)
def test_drains_use_the_store_clock(now_s, expected):
    times = {"starts_s": 10, "ends_s": 20, "service": "board"}
    configuration = make_configuration(
        rows.DrainRow(drain="one", region="sask", **times),
        rows.DrainRow(drain="two", backend="b1", **times),
    )
    assert configuration.drained("board", "sask", now_s) is expected
    assert configuration.backend_drained("board", "b1", now_s) is expected
    assert not configuration.drained("board", "alberta", now_s)
    assert not configuration.backend_drained("board", "b2", now_s)


def test_bulk_delta_does_not_replace_newer_invalid_block():
    old = []
    for number in range(blocks.BULK_BLOCKS):
        row = rows.BlockRow(cidr=f"10.0.{number}.0/24", region="a", zone="z")
        value = configurations.encode_row(row)
        old.append(models.TableRow(rows.row_key(row), 1, value))
    damaged = models.TableRow(old[7].key, 2, {"kind": "block"})
    configuration = configurations.Configuration()
    configuration.apply(configurations.ConfigDelta(0, 2, (damaged,)))
    configuration.apply(configurations.ConfigDelta(0, 1, tuple(old)))
    assert len(configuration.blocks) == blocks.BULK_BLOCKS - 1
    assert configuration.stored(damaged.key) == damaged
    assert damaged.key in configuration.findings

import pytest

from banyanshed.core import edits
from banyanshed.core import models
from banyanshed.core import rows
from tests import test_configuration


def placement(region, weight):
    return rows.PlacementRow(
        service="board", region=region, weight=weight, limit=9, shift_cap=1
    )


def backend(name, address="127.0.0.1:1", region="sask"):
    return rows.BackendRow(
        service="board",
        backend=name,
        region=region,
        zone="a",
        address=address,
        slots=4,
    )


def make_configuration():
    return test_configuration.make_configuration(
        rows.RegionRow(region="sask"),
        rows.RegionRow(region="alberta"),
        rows.ServiceRow(service="board"),
        rows.TenantRow(tenant="club", rate=1, burst=1),
        rows.KeyRow(digest="a" * 64, tenant="club"),
        rows.BlockRow(cidr="10.0.0.0/8", region="alberta", zone="a"),
        placement("sask", 100),
        backend("b1"),
    )


def upserts(*given):
    found = []
    for number, row in enumerate(given, start=1):
        found.append(edits.Edit(rows.row_key(row), row, f"line {number}"))
    return found


def deletions(*keys):
    return [edits.Edit(f"config/{key}", None, key) for key in keys]


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (
            upserts(placement("mars", 1), backend("b2", "x:1", "venus")),
            [
                ("line 1, column region", "unknown_reference"),
                ("line 2, column region", "unknown_reference"),
                ("line 2, column address", "not_an_address"),
            ],
        ),
        (
            upserts(placement("sask", 0)),
            [("line 1, column weight", "no_weight")],
        ),
        (upserts(placement("sask", 0), placement("alberta", 1)), []),
        (
            upserts(backend("b2")),
            [("line 1, column address", "duplicate_address")],
        ),
        (upserts(backend("b2"), backend("b1", "127.0.0.1:2")), []),
        (
            upserts(backend("b1"), backend("b1")),
            [("line 2", "duplicate_row")],
        ),
        (deletions("tenant/club"), [("tenant/club", "still_used")]),
        (deletions("tenant/club", "key/" + "a" * 64), []),
        (deletions("region/alberta"), [("region/alberta", "still_used")]),
        (deletions("region/alberta", "block/10.0.0.0_8"), []),
        (
            upserts(
                rows.LinkRow(source="sask", target="sask", bytes_per_s=1),
                rows.RegionRow(region="sask", distances_ms={"sask": 1}),
            ),
            [
                ("line 1, column target", "same_region"),
                ("line 2, column distances_ms", "same_region"),
            ],
        ),
        (
            upserts(
                rows.DrainRow(
                    drain="d",
                    service="board",
                    backend="b9",
                    starts_s=0,
                    ends_s=1,
                )
            ),
            [("line 1, column backend", "unknown_reference")],
        ),
    ],
)
def test_edits_are_checked_for_consistency(change, expected):
    found = edits.check_edit(make_configuration(), change)
    assert [(finding.place, finding.code) for finding in found] == expected


def test_plan_is_conditional_on_every_row_read():
    head = models.TableRow(rows.HEAD_KEY, 7, {"changes": ["old"]})
    current = [
        models.TableRow("config/placement/board/sask", 3, {}),
        models.TableRow("config/backend/board/b1", 0, None),
    ]
    change = upserts(placement("sask", 5)) + deletions("backend/board/b1")
    plan = edits.plan_edit(change, current, head, "new", "duty")
    assert [(c.key, c.version) for c in plan.conditions] == [
        (rows.HEAD_KEY, 7),
        ("config/placement/board/sask", 3),
        ("config/backend/board/b1", 0),
    ]
    assert plan.writes[1].value is None
    assert plan.writes[2] == models.Write(
        rows.HEAD_KEY, {"changes": ["new", "old"], "operator": "duty"}
    )

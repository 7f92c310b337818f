import hypothesis
from hypothesis import strategies as st
import pytest

from banyanshed import exceptions
from banyanshed.core import configuration as configurations
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.core import sheets
from tests import test_configuration

LABELS = st.text(
    st.characters(exclude_categories=["C", "Z"]) | st.sampled_from(',"; '),
    max_size=8,
).map(str.strip)
ROWS = st.one_of(
    test_configuration.VALID_ROWS,
    st.builds(
        rows.KeyRow, digest=st.just("c" * 64), tenant=st.just("a"), label=LABELS
    ),
    st.builds(
        rows.RegionRow,
        region=st.just("sask"),
        distances_ms=st.dictionaries(
            st.sampled_from(["a", "b"]), st.floats(0.001, 99)
        ),
    ),
)


@hypothesis.given(st.lists(ROWS, unique_by=rows.row_key, max_size=9))
def test_exported_sheet_parses_to_the_same_rows(given):
    stored = []
    for number, row in enumerate(given, start=1):
        value = configurations.encode_row(row)
        stored.append(models.TableRow(rows.row_key(row), number, value))
    stored.append(models.TableRow("config/tenant/gone", 9, None))
    sheet = sheets.parse(sheets.export(stored))
    by_key = {rows.row_key(row): row for row in given}
    assert {edit.key: edit.row for edit in sheet.edits} == by_key
    assert sheet.versions == {
        row.key: row.version for row in stored if row.value is not None
    }


def test_findings_name_line_and_column():
    text = (
        "kind,service,region,weight,limit,shift_cap,version\n"
        "placement,board,sask,101,x,5,\n"
        "\n"
        "moon,board,sask,1,1,1,\n"
        "placement,board,sask,1,1,1,one\n"
        "placement,board\n"
        "tenant,board,,,,,\n"
    )
    with pytest.raises(exceptions.InvalidInput) as caught:
        sheets.parse(text)
    assert [(item.place, item.code) for item in caught.value.findings] == [
        ("line 2, column weight", "less_than_equal"),
        ("line 2, column limit", "int_parsing"),
        ("line 4, column kind", "malformed"),
        ("line 5, column version", "malformed"),
        ("line 6", "wrong_width"),
        ("line 7, column tenant", "missing"),
        ("line 7, column rate", "missing"),
        ("line 7, column burst", "missing"),
        ("line 7, column service", "extra_forbidden"),
    ]


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("", "no_header"),
        ("service\nboard", "missing"),
        ("kind,colour\n", "unknown_column"),
        ("kind,tenant,tenant\n", "duplicate_column"),
        ('kind,tenant\ntenant,"a', "csv"),
        ("kind,region,distances_ms\nregion,a,b=1 b=2", "malformed"),
        ("kind,region,distances_ms\nregion,a,b", "malformed"),
        ("kind,tenant,delete\ntenant,a,perhaps", "malformed"),
        ("kind,tenant,rate,burst\ntenant,a,inf,1", "finite_number"),
        ("kind,tenant,rate,burst\ntenant,a,nan,1", "finite_number"),
    ],
)
def test_malformed_sheets_are_rejected(text, code):
    with pytest.raises(exceptions.InvalidInput) as caught:
        sheets.parse(text)
    assert code in {finding.code for finding in caught.value.findings}


def test_a_line_can_delete_its_row():
    sheet = sheets.parse(
        "kind,service,open_to_all,version,delete\nservice,a,true,4,yes"
    )
    assert sheet.edits[0].key == "config/service/a"
    assert sheet.edits[0].row is None
    assert sheet.versions == {"config/service/a": 4}

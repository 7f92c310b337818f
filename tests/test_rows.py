import pydantic
import pytest

from banyanshed.core import rows


def test_row_key_names_kind_and_columns():
    row = rows.PlacementRow(
        service="bookings", region="sask", weight=100, limit=50, shift_cap=5
    )
    assert rows.row_key(row) == "config/placement/bookings/sask"


def test_unknown_column_is_rejected():
    with pytest.raises(pydantic.ValidationError):
        rows.ROW_ADAPTER.validate_python(
            {"kind": "tenant", "tenant": "a", "rate": 1, "burst": 1, "x": 1}
        )

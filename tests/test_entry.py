"""Selection of the hosts that may witness a host's session."""

import pathlib
import random

import pytest

from banyanshed import settings
from banyanshed.core import entry as entries
from banyanshed.core import models

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "halvorsen.yaml"


def listed(number, zone):
    region, _, _ = zone.partition("-")
    return models.ListedHost(
        models.HostId(f"{zone}-{number}"),
        models.RegionId(region),
        models.ZoneId(zone),
        f"10.0.0.{number}:1",
        f"10.0.0.{number}:2",
        models.HostState.LIVE,
    )


@pytest.mark.parametrize(
    ("zones", "expected"),
    [
        (["sask-a", "sask-b", "alberta-a"], ["sask-b-3"]),
        (["sask-a", "alberta-a"], ["sask-a-2"]),
        (["alberta-a", "manitoba-b"], ["alberta-a-2", "manitoba-b-3"]),
    ],
)
def test_witnesses_prefer_another_zone_of_the_same_region(zones, expected):
    entry = entries.EntryHost(
        settings.load(EXAMPLE.read_text(encoding="utf-8")),
        random.Random(1),
        0.0,
    )
    own = entry.members.own.profile
    hosts = [listed(number, zone) for number, zone in enumerate(zones, 2)]
    entry.members.update_list([own, *hosts])
    entry.refresh(0.0)
    assert sorted(entry.shares.peers) == expected

import base64
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from banyanshed import exceptions
from banyanshed.platform import durations
from banyanshed.platform import headers
from banyanshed.platform import settings
from banyanshed.platform import wire
from banyanshed.steering import models

CONFIGURATION = {
    "version": "r7",
    "routes": [
        {
            "name": "r-1",
            "hostname": "Board.example",
            "prefix": "/a/",
            "kind": "safe",
            "timeout": "1200ms",
            "targetLatency": "0.4s",
            "priority": 2,
            "split": [
                {"backend": "board", "weight": 90},
                {"backend": "spare", "weight": 10},
            ],
            "attempts": 2,
            "public": False,
            "affinity": True,
            "homeRegions": ["sask"],
        }
    ],
    "backends": [{"name": "board", "cold": "3s", "coldPerS": 9.5}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s",
    },
    "tenants": [
        {"name": "club", "apiKeys": ["k1", "k2"], "ratePerS": 25, "burst": 50}
    ],
    "baseVersion": "r5",
}
SERVER = {
    "addr": "10.128.0.9:8080",
    "info": {"backend": "board", "version": "v1", "zone": "z", "slots": 9},
    "status": {"state": "ready", "seq": 4, "coldLeft": "1500ms"},
    "born": 1700000000000,
}


def encode(tree):
    return json.dumps(tree).encode()


def test_a_configuration_is_decoded():
    configuration = wire.decode_configuration(encode(CONFIGURATION))
    assert configuration.version == 7
    route = configuration.find_route("board.example", "/a/7")
    assert route.targets == (
        models.RouteTarget("board", 90),
        models.RouteTarget("spare", 10),
    )
    assert (route.timeout_s, route.objective_s) == (1.2, 0.4)
    assert route.idempotent and route.affinity and route.attempts == 2
    assert route.home_regions == {"sask"}
    assert configuration.find_route("board.example", "/b/") is None
    assert configuration.find_customer("k2").name == "club"
    assert configuration.find_customer("k3") is None
    assert configuration.limits.idle_timeout_s == 15.0


def test_the_longest_prefix_selects_the_route():
    tree = json.loads(encode(CONFIGURATION))
    longer = dict(tree["routes"][0], name="r-2", prefix="/a/b/")
    tree["routes"].append(longer)
    configuration = wire.decode_configuration(encode(tree))
    assert configuration.find_route("board.example", "/a/b/c").name == "r-2"
    assert configuration.find_route("board.example", "/a/bc").name == "r-1"


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"version": 7},
        {"routes": [{"name": "r"}]},
        {"routes": [dict(CONFIGURATION["routes"][0], kind="odd")]},
        {"routes": [dict(CONFIGURATION["routes"][0], timeout="5")]},
        {"backends": None},
    ],
)
def test_a_malformed_configuration_is_rejected(change):
    with pytest.raises(wire.MalformedMessage):
        wire.decode_configuration(encode({**CONFIGURATION, **change}))


def test_server_entry_is_decoded():
    entry = wire.decode_server("i-1", encode(SERVER))
    assert entry.address == ("10.128.0.9", 8080)
    assert entry.state is models.ServerState.READY
    assert entry.cold_left_s == 1.5
    assert entry.started_ms == 1700000000000


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        encode({**SERVER, "addr": 5}),
        encode({**SERVER, "addr": "nowhere"}),
        encode({**SERVER, "info": {"backend": "board"}}),
        encode({**SERVER, "status": {"state": "asleep"}}),
        encode({**SERVER, "born": 1.5}),
    ],
)
def test_a_malformed_server_entry_is_rejected(value):
    with pytest.raises(wire.MalformedMessage):
        wire.decode_server("i-1", value)


@given(st.binary())
def test_arbitrary_bytes_are_rejected_as_malformed(value):
    for decode in (
        wire.decode_page,
        wire.decode_configuration,
        lambda body: wire.decode_server("i", body),
    ):
        with pytest.raises(wire.MalformedMessage):
            decode(value)


def test_a_page_includes_deleted_rows():
    value = base64.b64encode(b"x").decode()
    page = wire.decode_page(
        encode(
            {
                "rows": [
                    {
                        "table": "t",
                        "part": "",
                        "key": "a",
                        "value": value,
                        "ver": 3,
                    },
                    {
                        "table": "t",
                        "part": "",
                        "key": "b",
                        "ver": 4,
                        "deleted": True,
                    },
                ],
                "ver": 9,
                "now": "5ms",
            }
        )
    )
    assert page.rows == (wire.Row("a", b"x", 3), wire.Row("b", None, 4))
    assert page.version == 9 and not page.more


def test_writes_name_table_and_key():
    tree = json.loads(wire.encode_write("hosts", "h1", b"row"))
    assert tree["writes"] == [
        {
            "table": "hosts",
            "part": "",
            "key": "h1",
            "value": base64.b64encode(b"row").decode(),
        }
    ]
    assert json.loads(wire.encode_remove("hosts", "h1"))["remove"] == [
        {"table": "hosts", "part": "", "key": "h1"}
    ]


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0s", 0.0)]
)
def test_durations_are_decoded(text, seconds):
    assert durations.decode(text) == seconds


@pytest.mark.parametrize("text", ["5", "-1s", "nans", "infs", "s", ""])
def test_invalid_durations_are_rejected(text):
    with pytest.raises(ValueError, match="duration|float"):
        durations.decode(text)


def test_load_and_deadline_headers():
    assert headers.decode_load(b"3,0,8") == models.Load(3, 0, 8)
    assert headers.decode_load(b"3,0") is None
    assert headers.decode_load(b"-1,0,8") is None
    assert headers.decode_deadline_s(b"2500") == 2.5
    assert headers.decode_deadline_s(b"-1") is None
    assert headers.decode_deadline_s(b"nan") is None
    assert headers.encode_deadline(0.25) == b"250"


SETTINGS = """
node: "front-1"
ip: "10.1.0.8"
zone: "a"
region: "r"
zones: {a: "r", b: "q"}
listen:
  front: "10.1.0.8:8206"
  ready: "10.1.0.8:8201"
  control: "10.1.0.8:8200"
  directory: "10.1.0.8:8209"
portRange: [7600, 7615]
seeds: ["10.1.0.8:8200"]
limits: {memoryMb: 222}
bounds: ["grace=6s", "config=2500ms", "ttl_max=5s", "budgetRatio=0.2",
         "budgetExtra=133", "budgetWindow=10s", "newBound=x"]
provider: {addr: "10.200.1.7:8205"}
unknown: 1
"""


def test_settings_are_decoded():
    host = settings.decode(SETTINGS)
    assert host.callers == ("10.1.0.8", 8206)
    assert host.peer_port == 7600
    assert host.seeds == ("10.1.0.8",)
    assert host.stop_s == 6.0
    assert host.retries.extra == 133.0


def test_all_findings_of_the_settings_are_reported_together():
    text = SETTINGS.replace("grace=6s", "grace=6").replace("node:", "nod:")
    text = text.replace('"10.200.1.7:8205"', '"10.200.1.7"')
    with pytest.raises(exceptions.InvalidSettings) as caught:
        settings.decode(text)
    places = {finding.place for finding in caught.value.findings}
    assert places == {"node", "provider.addr", "bounds.grace"}

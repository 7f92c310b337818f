import io
import json
import wsgiref.util

import cherrypy
import pytest

from banyanshed.core import keys
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.edges import operators
from tests import faulty_table
from tests import test_editing

TOKEN = "token-of-the-operator-on-duty"


class Daemon(test_editing.MemoryOwner):
    """Fake daemon for the operator pages."""

    host = models.HostId("sask-1")

    def state_dump(self):
        return {"host": self.host}

    def hosts(self):
        return (
            models.ListedHost(
                self.host,
                "sask",
                "sask-a",
                "127.0.0.1:1",
                "127.0.0.1:2",
                models.HostState.LIVE,
            ),
        )


class Client:
    """Calls the pages through the WSGI application, without a socket."""

    def __init__(self, faults=()):
        self.table = faulty_table.FaultyTable(faults)
        self.daemon = Daemon()
        pages = operators.OperatorPages(
            self.table, self.daemon, {keys.digest(TOKEN): "duty"}
        )
        pages.editor.sleep = lambda delay_s: None
        self.application = cherrypy.Application(pages, "/operator")
        self.status = 0
        self.headers = {}

    def call(self, method, path, body=None, **environ):
        path, _, query = path.partition("?")
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        full_environ = {
            "REQUEST_METHOD": method,
            "SCRIPT_NAME": "",
            "PATH_INFO": f"/operator/{path}",
            "QUERY_STRING": query,
            "HTTP_AUTHORIZATION": f"Bearer {TOKEN}",
            "wsgi.input": io.BytesIO(content),
        } | environ
        if body is not None:
            full_environ.setdefault("CONTENT_LENGTH", str(len(content)))
        wsgiref.util.setup_testing_defaults(full_environ)
        answer = b"".join(self.application(full_environ, self.start))
        if self.headers["Content-Type"].startswith("text/csv"):
            return answer.decode()
        return json.loads(answer)

    def start(self, status, headers, exc_info=None):
        self.status = int(status.split()[0])
        self.headers = dict(headers)

    def put(self, row, version=0):
        edit = {
            "key": rows.row_key(row),
            "version": version,
            "value": row.model_dump(mode="json", exclude_none=True),
        }
        return self.call("POST", "edit", {"edits": [edit]})


def tenant(rate=1.0):
    return rows.TenantRow(tenant="club", rate=rate, burst=1)


def test_a_row_is_written_shown_exported_and_imported():
    client = Client()
    version = client.put(tenant())["version"]
    shown = client.call("GET", "rows?kind=tenant")
    assert shown["version"] == version
    assert shown["rows"][0]["value"]["rate"] == 1
    sheet = client.call("GET", "export?kind=tenant")
    assert sheet.splitlines()[1] == f"tenant,club,1.0,1,{version}"
    newer = client.call("POST", "sheet", sheet.replace("1.0", "5").encode())
    assert client.call("GET", "version") == {"host": "sask-1"} | newer
    assert client.call("GET", "state") == {"host": "sask-1"}
    assert client.call("GET", "hosts")["hosts"][0]["state"] == "live"


def test_blocks_are_shown_and_exported():
    client = Client()
    client.put(rows.RegionRow(region="sask"))
    block = rows.BlockRow(cidr="10.0.0.0/8", region="sask", zone="sask-a")
    client.put(block)
    shown = client.call("GET", "rows?kind=block")["rows"]
    assert [row["key"] for row in shown] == ["config/block/10.0.0.0_8"]
    assert "10.0.0.0/8" in client.call("GET", "export")
    assert client.call("GET", "rows?kind=tenant")["rows"] == []


def test_a_lost_race_shows_both_values():
    client = Client()
    client.put(tenant(1))
    client.put(tenant(2), 1)
    problem = client.put(tenant(3), 1)
    assert (client.status, problem["code"]) == (409, "lost_race")
    assert problem["ran"] == "no"
    row = problem["rows"][0]
    assert (row["yours"]["rate"], row["value"]["rate"]) == (3, 2)
    assert row["version"] == 2


def test_a_key_is_shown_once_and_only_its_digest_is_stored():
    client = Client()
    client.put(tenant())
    issued = client.call("POST", "key", {"tenant": "club", "label": "shop"})
    assert keys.digest(issued["key"]) == issued["digest"]
    assert issued["digest"] in client.daemon.configuration.keys
    everything = str(client.table.state.rows) + str(client.call("GET", "rows"))
    assert issued["key"] not in everything
    digest = {"digest": issued["digest"]}
    client.call("POST", "withdraw_key", digest)
    assert client.daemon.configuration.keys == {}
    problem = client.call("POST", "withdraw_key", digest)
    assert (client.status, problem["code"]) == (404, "unknown_row")


def test_a_drain_is_planned_by_the_stores_clock_and_cancelled():
    client = Client()
    client.put(rows.RegionRow(region="sask"))
    client.put(rows.ServiceRow(service="board"))
    client.put(
        rows.PlacementRow(
            service="board", region="sask", weight=1, limit=1, shift_cap=1
        )
    )
    plan = {"drain": "d1", "service": "board", "region": "sask"}
    client.call("POST", "drain", plan | {"starts_in_s": 60, "lasts_s": 30})
    answer = client.call("GET", "drains")
    drain = answer["drains"][0]["value"]
    assert drain["ends_s"] - drain["starts_s"] == 30
    assert 0 < drain["starts_s"] - answer["now_s"] <= 60
    client.call("POST", "cancel_drain", {"drain": "d1"})
    assert client.call("GET", "drains")["drains"] == []
    client.call("POST", "drain", plan | {"lasts_s": 1, "backend": "b1"})
    assert client.status == 422


@pytest.mark.parametrize(
    "header",
    ["", "Bearer ", "Bearer wrong", f"Basic {TOKEN}", f"Bearer {TOKEN}x"],
)
@pytest.mark.parametrize("path", ["state", "edit", "key", "rows", "export"])
def test_nothing_is_answered_without_a_token(header, path):
    client = Client()
    problem = client.call("POST", path, {}, HTTP_AUTHORIZATION=header)
    assert (client.status, problem["code"]) == (401, "operator_unknown")
    assert TOKEN not in json.dumps(problem)


@pytest.mark.parametrize(
    ("method", "path", "body", "environ", "status"),
    [
        ("GET", "edit", None, {}, 405),
        ("POST", "state", {}, {}, 405),
        ("GET", "state/x", None, {}, 404),
        ("GET", "rows?kind=moon", None, {}, 404),
        ("GET", "rows?colour=1", None, {}, 400),
        ("GET", "rows?kind=a&kind=b", None, {}, 400),
        ("GET", "rows?operator=x", None, {}, 400),
        ("POST", "edit", None, {}, 411),
        ("POST", "edit", {}, {"CONTENT_LENGTH": "99999999"}, 413),
        ("POST", "edit", {}, {"CONTENT_LENGTH": "9"}, 400),
        ("POST", "edit", b"{", {}, 422),
        ("POST", "edit", {"edits": []}, {}, 422),
        ("POST", "edit", {"edits": [{"key": "x", "value": None}]}, {}, 422),
        ("POST", "sheet", b"\xff", {}, 422),
        ("POST", "key", {"tenant": "club", "key": "k"}, {}, 422),
        ("POST", "key", {"tenant": "nobody"}, {}, 422),
    ],
)
def test_invalid_calls_return_a_problem_with_a_code(
    method, path, body, environ, status
):
    client = Client()
    problem = client.call(method, path, body, **environ)
    assert (client.status, problem["status"]) == (status, status)
    assert client.headers["Connection"] == "close"
    assert client.table.state.rows == {}
    if status == 422:
        assert all(finding["place"] for finding in problem["findings"])


@pytest.mark.parametrize(
    ("faults", "status", "ran"),
    [
        (["down"], 503, "no"),
        (["lost"], 200, None),
        (["silent"] * 9, 504, "unknown"),
    ],
)
def test_store_faults_are_reported_truthfully(faults, status, ran):
    client = Client(faults)
    answer = client.put(tenant())
    assert (client.status, answer.get("ran")) == (status, ran)
    assert (client.table.value(tenant()) is not None) == (status == 200)

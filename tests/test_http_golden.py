"""Golden file of HTTP exchanges of a caller and of an operator."""

import contextlib
import json
import re

import pytest

from standins import fleet as fleets
from standins import sites

pytestmark = pytest.mark.processes

SHOWN_HEADERS = (
    "content-type",
    "cache-control",
    "retry-after",
    "banyanshed-ran",
)
REPLACED = (
    (r"bsk_[A-Za-z0-9_-]+", "KEY"),
    (r"\b[0-9a-f]{64}\b", "DIGEST"),
    (r"(board|bookings)-(sask|alberta)-1", r"\1-SERVER"),
    (r"127\.\d+\.\d+\.\d+:\d+", "ADDRESS"),
    (r'("retry_after_s": )\d+\.\d+', r"\1SECONDS"),
    (r'("now_s": |"starts_s": |"ends_s": )\d+\.\d+', r"\1SECONDS"),
)
VERSION = re.compile(r'("version": )(\d+)')
OPERATOR = {"Authorization": f"Bearer {fleets.OPERATOR_TOKEN}"}


class Exchange:
    """Calls one host and records the requests and responses."""

    def __init__(self, child):
        self.child = child
        self.lines = []

    def call(self, party, method, path, body=None, headers=None):
        answer = self.child.call(method, path, body, headers)
        self.lines.append(f"{party}> {method} {path}")
        if isinstance(body, dict):
            self.lines.append(f"{party}> {json.dumps(body)}")
        self.lines.append(f"{party}< {answer.status}")
        for name in SHOWN_HEADERS:
            if name in answer.headers:
                self.lines.append(f"{party}< {name}: {answer.headers[name]}")
        content = answer.json() if answer.data else None
        self.lines.append(json.dumps(content, indent=1, sort_keys=True))
        return content

    def text(self):
        text = "\n".join(self.lines) + "\n"
        for pattern, replacement in REPLACED:
            text = re.sub(pattern, replacement, text)
        return rank_versions(text)


def rank_versions(text):
    """Replaces versions by their ranks.

    Versions are commit numbers of the whole table and also increase with the
    host's own writes of shares; only their order and equality are stable.
    """
    found = sorted({int(match[2]) for match in VERSION.finditer(text)})
    ranks = {number: rank for rank, number in enumerate(found)}
    return VERSION.sub(lambda match: match[1] + str(ranks[int(match[2])]), text)


def test_exchange_over_http(snapshot):
    with contextlib.ExitStack() as exits:
        fleet = fleets.Fleet(exits, store_region="sask")
        installation = sites.start(
            fleet, hosts=sites.HOSTS[:1], lookup_ttl_s=1, stop_timeout_s=10
        )
        exchange = Exchange(fleet.hosts["sask-a-1"])
        run_operator_calls(exchange)
        run_caller_calls(exchange, installation)
        assert exchange.text() == snapshot


def run_operator_calls(exchange):
    def call(method, page, body=None, headers=OPERATOR):
        return exchange.call(
            "operator", method, f"/operator/{page}", body, headers
        )

    call("GET", "version", headers={})
    call("GET", "hosts")
    shown = call("GET", "rows?kind=placement")
    first = shown["rows"][0]
    edit = {
        "key": first["key"],
        "version": first["version"],
        "value": first["value"] | {"weight": 50},
    }
    call("POST", "edit", {"edits": [edit]})
    call("POST", "edit", {"edits": [edit | {"value": None}]})
    wrong = first["value"] | {"weight": 101, "colour": "red"}
    call("POST", "edit", {"edits": [edit | {"value": wrong}]})
    call("POST", "key", {"tenant": "nobody"})


def run_caller_calls(exchange, installation):
    key = {"Authorization": f"Bearer {installation.key}"}

    def call(method, path, body=None, headers=key):
        return exchange.call("caller", method, path, body, headers)

    call("GET", f"/lookup?service=board&tenant={sites.TENANT}", headers={})
    call("GET", "/lookup?service=nothing", headers={})
    call("GET", "/services/board/buggies?free=1")
    booking = key | {"Idempotency-Key": "order-1"}
    call("POST", "/services/bookings/x", b'{"buggy": 7}', booking)
    call("POST", "/services/bookings/x", b'{"buggy": 7}', booking)
    call("POST", "/services/bookings/x", b'{"buggy": 8}', booking)
    call("GET", "/services/board/x", headers={})
    call("GET", "/services/board/x", headers={"Authorization": "Bearer no"})
    call("GET", f"/services/board/x?key={installation.key}")
    call("GET", "/services/board/x", headers=key | {"X-Key": installation.key})
    call("GET", "/services/nothing/x")
    call("GET", "/nothing")
    call("POST", "/services/board/x", b"0" * ((1 << 20) + 1))
    call(
        "GET",
        "/services/board/x",
        headers=key | {"Banyanshed-Deadline-Ms": "x"},
    )

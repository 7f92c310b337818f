"""The operator API: CherryPy handlers that return JSON.

`OperatorPages` is mounted at "/operator". Every call needs an operator's token
in `Authorization: Bearer`. Errors are problem documents of `problems`, with
`findings` for invalid input and `rows` for a lost race.
"""

from collections.abc import Callable, Mapping
import copy
import dataclasses
import functools
import inspect
import json
from typing import Any, Protocol

import cherrypy

from banyanshed import exceptions
from banyanshed.core import blocks
from banyanshed.core import configuration as configurations
from banyanshed.core import edits as edit_rules
from banyanshed.core import keys
from banyanshed.core import models
from banyanshed.core import problems
from banyanshed.core import rows
from banyanshed.core import services
from banyanshed.core import sheets
from banyanshed.edges import bodies
from banyanshed.edges import editing
from banyanshed.edges import logs

RETRY_AFTER_S = 1
BLOCK_KIND = "block"
JSON_TYPE = "application/json"
CSV_TYPE = "text/csv; charset=utf-8"


class Daemon(editing.ConfigurationOwner, Protocol):
    """The daemon's interface for the pages; thread-safe."""

    host: models.HostId

    def state_dump(self) -> dict[str, Any]:
        """Returns the daemon's state as JSON data, without secrets."""

    def hosts(self) -> tuple[models.ListedHost, ...]:
        """Returns all entry hosts that the daemon knows."""


@dataclasses.dataclass(frozen=True)
class _Selection:
    """Selected rows of one version of the configuration."""

    version: models.ConfigVersion
    rows: list[models.TableRow]
    findings: list[exceptions.Finding]


def operator_call(method: str) -> Callable[..., Any]:
    """Exposes a handler to authenticated operators for one HTTP method."""

    def decorate(handler: Callable[..., Any]) -> Any:
        signature = inspect.signature(handler)

        @functools.wraps(handler)
        def handle(pages: "OperatorPages", *path: str, **query: str) -> bytes:
            try:
                operator = pages.authenticate()
                _check_method(method, path)
                _check_query(signature, query)
                return handler(pages, operator, **query)
            except (
                Exception
            ) as error:  # Every error becomes a problem document.
                return _problem_response(error)

        return cherrypy.expose(handle)

    return decorate


class OperatorPages:
    """Request handlers; thread-safe."""

    _cp_config = {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
    }

    def __init__(
        self,
        table: services.Table,
        daemon: Daemon,
        operators: Mapping[str, str],
    ):
        """Creates the pages; operators are names by their token's digest."""
        self.editor = editing.Editor(table, daemon)
        self.daemon = daemon
        self.operators = operators

    def authenticate(self) -> str:
        """Returns the operator's name; raises Refused without a valid token."""
        header = cherrypy.request.headers.get("Authorization", "")
        token = keys.bearer_credential(header)
        operator = None
        if token is not None:
            operator = keys.find_operator(token, self.operators)
        if operator is None:
            raise bodies.Refused(
                problems.refuse(
                    401, "operator_unknown", "An operator's token is needed."
                )
            )
        return operator

    @operator_call("GET")
    def version(self, operator: str) -> bytes:
        """Returns the version of the configuration in force on this host."""
        version = self.daemon.inspect(
            lambda configuration: configuration.version
        )
        return _json_response({"host": self.daemon.host, "version": version})

    @operator_call("GET")
    def hosts(self, operator: str) -> bytes:
        """Returns all known entry hosts."""
        found = []
        for host in self.daemon.hosts():
            found.append(
                {
                    "host": host.host,
                    "region": host.region,
                    "zone": host.zone,
                    "caller_address": host.caller_address,
                    "state": host.state.value,
                }
            )
        return _json_response({"hosts": found})

    @operator_call("GET")
    def state(self, operator: str) -> bytes:
        """Returns the daemon's state."""
        return _json_response(self.daemon.state_dump())

    @operator_call("GET")
    def rows(self, operator: str, kind: str = "", key: str = "") -> bytes:
        """Returns the stored rows: of one kind, under one key, or all."""
        selection = self._select_rows(kind, key)
        return _json_response(
            {
                "version": selection.version,
                "rows": [_encode_row(row) for row in selection.rows],
                "findings": [
                    _encode_finding(finding) for finding in selection.findings
                ],
            }
        )

    @operator_call("GET")
    def export(self, operator: str, kind: str = "") -> bytes:
        """Returns rows as CSV."""
        selection = self._select_rows(kind, "")
        content = sheets.export(selection.rows).encode()
        return _response(content, CSV_TYPE)

    @operator_call("POST")
    def edit(self, operator: str) -> bytes:
        """Writes or deletes rows together, unless one has changed."""
        body = bodies.read_model(bodies.EditsBody)
        edits, versions = bodies.parse_edits(body)
        return self._commit(edits, versions, operator)

    @operator_call("POST")
    def sheet(self, operator: str) -> bytes:
        """Writes the rows of a CSV sheet in one transaction."""
        try:
            text = bodies.read_body().decode("utf-8")
        except UnicodeDecodeError as error:
            finding = exceptions.Finding(
                f"byte {error.start}", "encoding", "expected UTF-8"
            )
            raise exceptions.InvalidInput([finding]) from None
        sheet = sheets.parse(text)
        return self._commit(list(sheet.edits), sheet.versions, operator)

    @operator_call("GET")
    def drains(self, operator: str) -> bytes:
        """Returns all planned drains and the table service's clock."""
        selection = self._select_rows("drain", "")
        return _json_response(
            {
                "version": selection.version,
                "now_s": self.editor.store_now_s(),
                "drains": [_encode_row(row) for row in selection.rows],
            }
        )

    @operator_call("POST")
    def drain(self, operator: str) -> bytes:
        """Plans a drain; its times are in the table service's clock."""
        body = bodies.read_model(bodies.DrainBody)
        starts_s = self.editor.store_now_s() + body.starts_in_s
        value = body.model_dump(exclude={"starts_in_s", "lasts_s"})
        value["kind"] = "drain"
        value["starts_s"] = starts_s
        value["ends_s"] = starts_s + body.lasts_s
        row = bodies.parse_row(value, f"drain {body.drain}")
        edit = edit_rules.Edit(rows.row_key(row), row, f"drain {body.drain}")
        return self._commit([edit], {}, operator)

    @operator_call("POST")
    def cancel_drain(self, operator: str) -> bytes:
        """Cancels a planned or active drain."""
        name = bodies.read_model(bodies.NameBody).drain
        key = f"{rows.CONFIG_PREFIX}drain/{name}"
        return self._delete(key, f"drain {name}", operator)

    @operator_call("POST")
    def key(self, operator: str) -> bytes:
        """Issues a key; only this response contains it."""
        body = bodies.read_model(bodies.KeyBody)
        secret = keys.make_key()
        digest = keys.digest(secret)
        row = rows.KeyRow(digest=digest, tenant=body.tenant, label=body.label)
        edit = edit_rules.Edit(rows.row_key(row), row, "key")
        try:
            version = self.editor.commit([edit], {}, operator)
        except exceptions.StoreTimeout as error:
            raise _unknown_outcome(error, digest=digest) from error
        logs.log("key_issued", operator=operator, tenant=body.tenant)
        return _json_response(
            {"version": version, "key": secret, "digest": digest}
        )

    @operator_call("POST")
    def withdraw_key(self, operator: str) -> bytes:
        """Withdraws a key."""
        digest = bodies.read_model(bodies.DigestBody).digest
        key = f"{rows.CONFIG_PREFIX}key/{digest}"
        return self._delete(key, f"key {digest}", operator)

    def _select_rows(self, kind: str, key: str) -> _Selection:
        if kind and kind not in sheets.COLUMNS:
            raise bodies.Refused(
                problems.refuse(404, "unknown_kind", "No such kind of row.")
            )
        selection, block_map = self.daemon.inspect(
            lambda configuration: _select(configuration, kind, key)
        )
        invalid = {row.key for row in selection.rows}
        for block in block_map.blocks_since(models.ABSENT_VERSION):
            if block.site is None:
                continue
            row = configurations.block_row(block)
            if row.key not in invalid:
                selection.rows.append(row)
        return selection

    def _delete(self, key: str, place: str, operator: str) -> bytes:
        """Deletes the current version of a row."""
        stored = self.editor.read_row(key)
        if stored.value is None:
            raise bodies.Refused(
                problems.refuse(404, "unknown_row", f"There is no {place}.")
            )
        edit = edit_rules.Edit(key, None, place)
        return self._commit([edit], {key: stored.version}, operator)

    def _commit(
        self,
        edits: list[edit_rules.Edit],
        versions: Mapping[str, int],
        operator: str,
    ) -> bytes:
        if not edits:
            finding = exceptions.Finding("input", "no_rows", "no rows given")
            raise exceptions.InvalidInput([finding])
        version = self.editor.commit(edits, versions, operator)
        logs.log(
            "edit_committed",
            operator=operator,
            version=version,
            rows=len(edits),
        )
        return _json_response({"version": version})


def _select(
    configuration: configurations.Configuration, kind: str, key: str
) -> tuple[_Selection, blocks.BlockMap]:
    """Returns rows, and a copy of the blocks for use in other threads."""
    found = (
        [configuration.stored(key)] if key else configuration.stored_rows(kind)
    )
    findings: list[exceptions.Finding] = []
    for row in found:
        findings.extend(configuration.findings.get(row.key, ()))
    selection = _Selection(configuration.version, found, findings)
    if key or kind not in ("", BLOCK_KIND):
        return selection, blocks.BlockMap()
    return selection, copy.deepcopy(configuration.blocks)


def _check_method(method: str, path: tuple[str, ...]) -> None:
    if path:
        raise bodies.Refused(
            problems.refuse(404, "unknown_path", "No such page.")
        )
    if cherrypy.request.method == method:
        return
    cherrypy.response.headers["Allow"] = method
    raise bodies.Refused(
        problems.refuse(405, "wrong_method", f"This page takes {method}.")
    )


def _check_query(
    signature: inspect.Signature, query: Mapping[str, str]
) -> None:
    # The first two parameters are the pages and the operator's name.
    known = list(signature.parameters)[2:]
    for name, value in query.items():
        if name in known and isinstance(value, str):
            continue
        raise bodies.Refused(
            problems.refuse(
                400, "bad_query", f"This page takes {known} once each."
            )
        )


def _encode_row(row: models.TableRow) -> dict[str, Any]:
    return {"key": row.key, "version": row.version, "value": row.value}


def _encode_finding(finding: exceptions.Finding) -> dict[str, str]:
    return {
        "place": finding.place,
        "code": finding.code,
        "message": finding.message,
    }


def _json_response(value: Any) -> bytes:
    return _response(json.dumps(value).encode(), JSON_TYPE)


def _response(content: bytes, content_type: str) -> bytes:
    cherrypy.response.headers["Content-Type"] = content_type
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return content


def _unknown_outcome(
    error: exceptions.StoreTimeout, **fields: Any
) -> bodies.Refused:
    return bodies.Refused(
        problems.refuse(
            504,
            error.code,
            "The table service did not answer; the change may be in force.",
            RETRY_AFTER_S,
            models.Ran.UNKNOWN,
        ),
        **fields,
    )


@functools.singledispatch
def _as_refused(error: Exception) -> bodies.Refused:
    logs.log("operator_call_failed", error=type(error).__name__)
    return bodies.Refused(
        problems.refuse(
            500,
            "internal",
            "The call failed; it may have taken effect.",
            ran=models.Ran.UNKNOWN,
        )
    )


@_as_refused.register
def _(error: bodies.Refused) -> bodies.Refused:
    return error


@_as_refused.register
def _(error: exceptions.InvalidInput) -> bodies.Refused:
    return bodies.Refused(
        problems.refuse(422, error.code, "The input was refused whole."),
        findings=[_encode_finding(finding) for finding in error.findings],
    )


@_as_refused.register
def _(error: editing.LostRace) -> bodies.Refused:
    lost = []
    for edit, row in zip(error.edits, error.rows, strict=True):
        yours = None
        if edit.row is not None:
            yours = configurations.encode_row(edit.row)
        lost.append(_encode_row(row) | {"yours": yours})
    return bodies.Refused(
        problems.refuse(
            409, error.code, "Rows were changed since they were read."
        ),
        rows=lost,
    )


@_as_refused.register
def _(error: exceptions.StoreUnavailable) -> bodies.Refused:
    return bodies.Refused(
        problems.refuse(
            503,
            error.code,
            "The table service did not take the call; nothing was changed.",
            RETRY_AFTER_S,
        )
    )


@_as_refused.register
def _(error: exceptions.StoreTimeout) -> bodies.Refused:
    return _unknown_outcome(error)


def _problem_response(error: Exception) -> bytes:
    refused = _as_refused(error)
    response = cherrypy.response
    response.status = refused.refusal.status
    for name, value in problems.headers(refused.refusal):
        response.headers[name] = value
    response.headers["Cache-Control"] = "no-store"
    # An unread body must not be parsed as the next request.
    response.headers["Connection"] = "close"
    content = json.loads(problems.encode(refused.refusal))
    return json.dumps(content | refused.fields).encode()

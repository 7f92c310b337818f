"""Reads and validates the request bodies of the operator API."""

from typing import Any

import cherrypy
import pydantic

from banyanshed import exceptions
from banyanshed.core import configuration as configurations
from banyanshed.core import edits as edit_rules
from banyanshed.core import models
from banyanshed.core import problems
from banyanshed.core import rows

BODY_LIMIT_BYTES = 8 << 20


class Body(pydantic.BaseModel):
    """Base class of request bodies; rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", allow_inf_nan=False)


class EditBody(Body):
    """One row to write, or to delete if its value is null."""

    key: str
    version: int = models.ABSENT_VERSION
    value: dict[str, Any] | None


class EditsBody(Body):
    """Rows to write or delete in one transaction."""

    edits: list[EditBody]


class DrainBody(Body):
    """A drain to plan; starts_in_s is relative to now."""

    drain: rows.Name
    service: rows.Name
    region: rows.Name | None = None
    backend: rows.Name | None = None
    starts_in_s: float = pydantic.Field(default=0, ge=0)
    lasts_s: float = pydantic.Field(gt=0)


class NameBody(Body):
    """The name of a drain."""

    drain: rows.Name


class KeyBody(Body):
    """A key to issue."""

    tenant: rows.Name
    label: str = ""


class DigestBody(Body):
    """The digest of a key."""

    digest: str = pydantic.Field(pattern="^[0-9a-f]{64}$")


class Refused(Exception):
    """A refusal with additional fields for its problem document."""

    def __init__(self, refusal: models.Refusal, **fields: Any):
        """Creates an exception from a refusal and additional fields."""
        super().__init__(refusal.code)
        self.refusal = refusal
        self.fields = fields


def read_body() -> bytes:
    """Returns the body of the current request.

    Raises:
        Refused: Its length is missing or too large, or it is truncated.
    """
    length = cherrypy.request.headers.get("Content-Length", "")
    if not (length.isascii() and length.isdigit()):
        raise Refused(
            problems.refuse(411, "no_length", "Content-Length is needed.")
        )
    if int(length) > BODY_LIMIT_BYTES:
        raise Refused(
            problems.refuse(
                413, "too_large", f"At most {BODY_LIMIT_BYTES} bytes."
            )
        )
    content = cherrypy.request.rfile.read(int(length))
    if len(content) < int(length):
        raise Refused(problems.refuse(400, "truncated", "The body was cut."))
    return content


def read_model(model: type[Any]) -> Any:
    """Returns the JSON body as a validated model.

    Raises:
        InvalidInput: The findings by field.
        Refused: The body could not be read.
    """
    try:
        return model.model_validate_json(read_body())
    except pydantic.ValidationError as error:
        findings = []
        for detail in error.errors(include_input=False, include_url=False):
            field = ".".join(str(part) for part in detail["loc"])
            findings.append(
                exceptions.Finding(
                    f"field {field}" if field else "body",
                    detail["type"],
                    detail["msg"],
                )
            )
        raise exceptions.InvalidInput(findings) from None


def parse_row(value: Any, place: str) -> rows.AnyRow:
    """Returns a configuration row from JSON data.

    Raises:
        InvalidInput: The findings, located at the given place.
    """
    try:
        return rows.ROW_ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidInput(
            configurations.row_findings(place, error)
        ) from None


def parse_edits(
    body: EditsBody,
) -> tuple[list[edit_rules.Edit], dict[str, int]]:
    """Returns the edits of a request and the row versions that it expects.

    Raises:
        InvalidInput: The findings of all rows.
    """
    edits = []
    versions: dict[str, int] = {}
    findings: list[exceptions.Finding] = []
    for item in body.edits:
        place = f"row {item.key}"
        versions.setdefault(item.key, item.version)
        if not item.key.startswith(rows.CONFIG_PREFIX):
            findings.append(
                exceptions.Finding(place, "wrong_key", "no configuration row")
            )
            continue
        row = None
        if item.value is not None:
            try:
                row = configurations.parse_row(
                    models.TableRow(item.key, item.version, item.value)
                )
            except exceptions.InvalidInput as error:
                findings.extend(error.findings)
                continue
        edits.append(edit_rules.Edit(item.key, row, place))
    if findings:
        raise exceptions.InvalidInput(findings)
    return edits, versions

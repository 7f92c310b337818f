"""Loads YAML documents into validated models; reports findings by line."""

from collections.abc import Iterator
from typing import Any, TypeVar

import pydantic
import yaml

from banyanshed import exceptions


class StrictModel(pydantic.BaseModel):
    """Rejects unknown fields; errors do not quote the input."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, hide_input_in_errors=True
    )


_Model = TypeVar("_Model", bound=pydantic.BaseModel)


def load(text: str, model: type[_Model]) -> _Model:
    """Loads a document.

    Args:
        text: YAML text, a mapping of the model's fields.
        model: Type of the document.

    Returns:
        The document as an instance of the model.

    Raises:
        exceptions.InvalidSettings: All findings by line and field.
    """
    root = _compose(text)
    if not isinstance(root, yaml.MappingNode):
        raise exceptions.InvalidSettings(
            [
                exceptions.Finding(
                    "line 1", "not_a_mapping", "expected a mapping"
                )
            ]
        )
    findings = list(_find_duplicates(root))
    try:
        document = model.model_validate(_construct(text))
    except pydantic.ValidationError as error:
        for detail in error.errors(include_input=False, include_url=False):
            findings.append(_validation_finding(root, detail["loc"], detail))
    if findings:
        raise exceptions.InvalidSettings(findings)
    return document


def _compose(text: str) -> yaml.Node | None:
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        _construct(text)
    except yaml.YAMLError as error:
        raise exceptions.InvalidSettings([_syntax_finding(error)]) from None
    except (ValueError, RecursionError):
        finding = exceptions.Finding("line 1", "yaml", "a value is malformed")
        raise exceptions.InvalidSettings([finding]) from None
    return root


def _construct(text: str) -> Any:
    return yaml.load(text, Loader=yaml.SafeLoader)


def _syntax_finding(error: yaml.YAMLError) -> exceptions.Finding:
    # The library's message may quote the file, including secrets.
    mark = getattr(error, "problem_mark", None)
    line = 1 if mark is None else mark.line + 1
    return exceptions.Finding(f"line {line}", "yaml", "malformed YAML")


def _find_duplicates(root: yaml.Node) -> Iterator[exceptions.Finding]:
    seen_nodes = set()
    nodes = [root]
    while nodes:
        node = nodes.pop(0)
        # An alias may form a cycle.
        if id(node) in seen_nodes:
            continue
        seen_nodes.add(id(node))
        if isinstance(node, yaml.SequenceNode):
            nodes.extend(node.value)
        if isinstance(node, yaml.MappingNode):
            yield from _find_duplicate_fields(node)
            nodes.extend(value for _, value in node.value)


def _find_duplicate_fields(
    mapping: yaml.MappingNode,
) -> Iterator[exceptions.Finding]:
    seen = set()
    for key, _ in mapping.value:
        if key.value in seen:
            yield exceptions.Finding(
                f"line {key.start_mark.line + 1}, field {key.value}",
                "duplicate_field",
                "duplicate field",
            )
        seen.add(key.value)


def _validation_finding(
    root: yaml.Node, loc: tuple[int | str, ...], detail: Any
) -> exceptions.Finding:
    line = 1
    node = root
    for part in loc:
        child = _find_child(node, part)
        if child is None:
            break
        line, node = child
    field = ".".join(str(part) for part in loc if part != "[key]")
    place = f"line {line}, field {field}" if field else f"line {line}"
    return exceptions.Finding(place, detail["type"], detail["msg"])


def _find_child(
    node: yaml.Node, part: int | str
) -> tuple[int, yaml.Node] | None:
    """Returns the line and the value node of a field or list item."""
    if isinstance(node, yaml.SequenceNode):
        if not isinstance(part, int) or part >= len(node.value):
            return None
        item = node.value[part]
        return item.start_mark.line + 1, item
    if not isinstance(node, yaml.MappingNode):
        return None
    for key, value in node.value:
        if key.value == str(part):
            return key.start_mark.line + 1, value
    return None

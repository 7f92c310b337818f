"""Reconstructs the outcome of a request from the logs of entry hosts."""

from collections.abc import Iterable, Sequence
import dataclasses
import json
from typing import Any

# State changes up to this long before a request may have affected it.
CHANGE_WINDOW_S = 10.0
CHANGE_KINDS = frozenset(
    {
        "configuration_in_force",
        "evacuation_begun",
        "evacuation_ended",
        "history_lost",
        "peer_lost",
        "peer_regained",
        "ready",
        "server_ejected",
        "server_gone",
        "server_kept",
        "server_known",
        "server_limit",
        "server_limit_malformed",
        "server_readmitted",
        "server_unreachable",
        "started",
        "stopping",
        "stopped",
        "store_lost",
        "store_regained",
        "table_copied",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One log line.

    Attributes:
        at_s: Unix time in seconds.
        host: Host that wrote the line.
        kind: Message type of the event.
        fields: All other fields of the line.
    """

    at_s: float
    host: str
    kind: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Returns the event as one human-readable line."""
        rest = " ".join(
            f"{name}={_format_value(v)}" for name, v in self.fields.items()
        )
        return f"{self.at_s:.3f} {self.host} {self.kind} {rest}"


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Log events that concern one request.

    Attributes:
        requests: Events with the request's id, in time order.
        changes: State changes on the same hosts up to CHANGE_WINDOW_S before,
            if they name a server that was tried or the request's service, or
            no server at all.
    """

    requests: tuple[Event, ...]
    changes: tuple[Event, ...]


def parse_lines(lines: Iterable[str]) -> list[Event]:
    """Returns the events of a log; skips lines in any other format."""
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            event = Event(
                float(fields.pop("timestamp")),
                str(fields.pop("host")),
                str(fields.pop("message_type")),
                fields,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        events.append(event)
    return events


def explain(request_id: str, events: Sequence[Event]) -> Explanation:
    """Returns the events that concern a request."""
    requests = [
        event
        for event in events
        if event.fields.get("request_id") == request_id
    ]
    requests.sort(key=lambda event: event.at_s)
    changes = [
        event
        for event in events
        if any(_is_related(event, request) for request in requests)
    ]
    changes.sort(key=lambda event: event.at_s)
    return Explanation(tuple(requests), tuple(changes))


def _is_related(event: Event, request: Event) -> bool:
    if event.kind not in CHANGE_KINDS or event.host != request.host:
        return False
    if not request.at_s - CHANGE_WINDOW_S <= event.at_s <= request.at_s:
        return False
    server = event.fields.get("server")
    if server is None:
        return True
    tried = [attempt[0] for attempt in request.fields.get("attempts", ())]
    if server in tried:
        return True
    return event.fields.get("service") == request.fields.get("service")


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)

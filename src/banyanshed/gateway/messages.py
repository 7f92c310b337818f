"""HTTP messages as connections pass them to request handlers."""

from collections.abc import Sequence
import dataclasses

Headers = Sequence[tuple[bytes, bytes]]

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

    Attributes:
        method: Method as received.
        target: Path and query as received.
        headers: Pairs of lower-case name and value.
        body: The complete body.
        arrived_at: When the head was read, in loop time.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float = 0.0

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case name and value.
        body: The complete body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def strip_hop_by_hop(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers without hop-by-hop headers and Content-Length.

    The connection that sends the message adds a Content-Length of its own.
    """
    dropped = set(HOP_BY_HOP)
    dropped.add(b"content-length")
    for key, value in headers:
        if key != b"connection":
            continue
        for name in value.split(b","):
            dropped.add(name.strip().lower())
    return [(key, value) for key, value in headers if key not in dropped]

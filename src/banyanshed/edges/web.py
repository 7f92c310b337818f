"""WSGI application for callers: look-ups and forwarded requests."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import http
import json
import re
import time
from typing import Any, Protocol
import urllib.parse
import uuid

from banyanshed.core import keys
from banyanshed.core import models
from banyanshed.core import problems
from banyanshed.core import requests
from banyanshed.edges import logs

SERVICE_PREFIX = "/services/"
LOOKUP_PATH = "/lookup"
DEADLINE_HEADER = "HTTP_BANYANSHED_DEADLINE_MS"
MAX_DEADLINE_S = 60.0
MAX_IDEMPOTENCY_KEY_CHARS = 255
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
METHODS = SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}
HEADER_PREFIX = "HTTP_"
# Hop-by-hop headers, and headers that this host sets itself.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
RESERVED_HEADER_PREFIX = "banyanshed-"
SERVICE_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class InvalidRequest(Exception):
    """A request was rejected while it was read."""

    def __init__(self, refusal: models.Refusal):
        """Creates an exception with the refusal to send."""
        super().__init__(refusal.code)
        self.refusal = refusal


class Daemon(Protocol):
    """The daemon's interface for the application; thread-safe.

    `banyanshed.daemon.Daemon` implements it. Both methods are called in the
    HTTP server's worker threads and block until the result is known. The
    application turns any exception into a refusal with status 500 that states
    that the request may have run.
    """

    def lookup(
        self, client: str, tenant: str | None, service: str
    ) -> Mapping[str, Any] | models.Refusal:
        """Returns the response to a look-up as JSON data, or a refusal.

        Args:
            client: IP address for which to find hosts, not yet validated.
            tenant: Name of the tenant; None if not given.
            service: Name of the service.
        """

    def serve(
        self, request: requests.CallerRequest, arrived_s: float
    ) -> requests.Answer | models.Refusal:
        """Serves a request and returns its final response or a refusal.

        Args:
            request: The complete request.
            arrived_s: Value of time.monotonic() when its head had been read,
                in seconds.
        """


class CallerApplication:
    """WSGI application, grafted into CherryPy's tree."""

    def __init__(self, daemon: Daemon, body_limit_bytes: int):
        """Creates the application; body_limit_bytes limits request bodies."""
        self.daemon = daemon
        self.body_limit_bytes = body_limit_bytes

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        arrived_s = time.monotonic()
        try:
            answer = self._serve(environ, arrived_s)
        except InvalidRequest as error:
            answer = error.refusal
        except (
            Exception
        ) as error:  # The caller must learn that it may have run.
            logs.log("request_failed", error=type(error).__name__)
            answer = problems.refuse(
                500,
                "internal_error",
                "The host failed; the request may have run.",
                ran=models.Ran.UNKNOWN,
            )
        return _respond(answer, start_response)

    def _serve(
        self, environ: Environ, arrived_s: float
    ) -> requests.Answer | models.Refusal:
        path = raw_path(environ)
        if path == LOOKUP_PATH:
            return self._look_up(environ)
        if path.startswith(SERVICE_PREFIX):
            request = read_request(environ, path, self.body_limit_bytes)
            return self.daemon.serve(request, arrived_s)
        return problems.refuse(404, "no_such_path", "There is no such path.")

    def _look_up(self, environ: Environ) -> requests.Answer | models.Refusal:
        if environ["REQUEST_METHOD"] not in SAFE_METHODS:
            return problems.refuse(405, "bad_method", "Look-ups are GET.")
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        client = query.get("client", [environ.get("REMOTE_ADDR", "")])[0]
        tenant = query.get("tenant", [None])[0]
        service = query.get("service", [""])[0]
        found = self.daemon.lookup(client, tenant, service)
        if isinstance(found, models.Refusal):
            return found
        headers = {
            "Content-Type": "application/json",
            "Cache-Control": f"private, max-age={int(found['ttl_s'])}",
        }
        return requests.Answer(200, headers, json.dumps(found).encode())


def raw_path(environ: Environ) -> str:
    """Returns the path as sent, or the decoded path encoded again."""
    uri = environ.get("REQUEST_URI")
    if uri:
        if not uri.startswith("/"):
            uri = urllib.parse.urlsplit(uri).path
        return str(uri).partition("?")[0]
    joined = environ.get("SCRIPT_NAME", "") + environ.get("PATH_INFO", "")
    return urllib.parse.quote(joined.encode("latin-1"), safe="/%:@!$&'()*+,;=~")


def read_request(
    environ: Environ, path: str, body_limit_bytes: int
) -> requests.CallerRequest:
    """Reads a complete request; raises InvalidRequest if it is rejected."""
    method = environ["REQUEST_METHOD"]
    if method not in METHODS:
        raise InvalidRequest(
            problems.refuse(405, "bad_method", "The method is not served.")
        )
    service, _, rest = path[len(SERVICE_PREFIX) :].partition("/")
    if not SERVICE_PATTERN.fullmatch(service):
        raise InvalidRequest(
            problems.refuse(404, "no_such_service", "There is no such service.")
        )
    target = "/" + rest
    if environ.get("QUERY_STRING"):
        target += "?" + environ["QUERY_STRING"]
    key = _read_key(environ)
    headers = dict(_forwarded_headers(environ))
    _refuse_key_outside_authorization(key, target, headers)
    return requests.CallerRequest(
        request_id=uuid.uuid4().hex,
        service=models.ServiceId(service),
        key_digest=None if key is None else keys.digest(key),
        idempotency_key=_read_idempotency_key(environ),
        method=method,
        target=target,
        headers=headers,
        body=_read_body(environ, body_limit_bytes),
        deadline_s=_read_deadline(environ),
    )


def _read_key(environ: Environ) -> str | None:
    authorization = environ.get("HTTP_AUTHORIZATION")
    if authorization is None:
        return None
    key = keys.bearer_credential(authorization)
    if key is None:
        raise InvalidRequest(
            problems.refuse(
                401, "bad_key", "Send the key as Authorization: Bearer KEY."
            )
        )
    return key


def _refuse_key_outside_authorization(
    key: str | None, target: str, headers: Mapping[str, str]
) -> None:
    """Rejects any key, also of another tenant, outside Authorization."""
    texts = [target, *headers, *headers.values()]
    for text in texts:
        holds_own_key = key is not None and key in urllib.parse.unquote(text)
        if not holds_own_key and not keys.contains_key(text):
            continue
        raise InvalidRequest(
            problems.refuse(
                400,
                "key_elsewhere",
                "The key may stand in the Authorization header only.",
            )
        )


def _read_idempotency_key(environ: Environ) -> str | None:
    value = environ.get("HTTP_IDEMPOTENCY_KEY")
    if value is None:
        return None
    if not value or len(value) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise InvalidRequest(
            problems.refuse(
                400,
                "bad_idempotency_key",
                "Idempotency-Key holds 1 to "
                f"{MAX_IDEMPOTENCY_KEY_CHARS} characters.",
            )
        )
    return str(value)


def _read_deadline(environ: Environ) -> float:
    value = environ.get(DEADLINE_HEADER)
    if value is None:
        return MAX_DEADLINE_S
    if not re.fullmatch(r"[0-9]{1,9}", value) or int(value) == 0:
        raise InvalidRequest(
            problems.refuse(
                400,
                "bad_deadline",
                "Banyanshed-Deadline-Ms is a positive whole number.",
            )
        )
    return min(int(value) / 1000, MAX_DEADLINE_S)


def _read_body(environ: Environ, limit_bytes: int) -> bytes:
    stream = environ["wsgi.input"]
    length = environ.get("CONTENT_LENGTH")
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    if not length and not chunked:
        return b""
    if length and chunked:
        raise InvalidRequest(
            problems.refuse(
                400,
                "bad_length",
                "Content-Length and chunks exclude another.",
            )
        )
    if length and not re.fullmatch(r"[0-9]{1,18}", length):
        raise InvalidRequest(
            problems.refuse(400, "bad_length", "Content-Length is no number.")
        )
    if length and int(length) > limit_bytes:
        raise _body_too_large(limit_bytes)
    expected = int(length) if length else None
    try:
        body = bytes(
            stream.read(limit_bytes + 1 if expected is None else expected)
        )
    except (ValueError, OSError):
        raise InvalidRequest(
            problems.refuse(400, "half_sent", "The body is malformed.")
        ) from None
    if len(body) > limit_bytes:
        raise _body_too_large(limit_bytes)
    if expected is not None and len(body) < expected:
        raise InvalidRequest(
            problems.refuse(400, "half_sent", "The body ended early.")
        )
    return body


def _body_too_large(limit_bytes: int) -> InvalidRequest:
    return InvalidRequest(
        problems.refuse(
            413, "body_too_large", f"Bodies hold at most {limit_bytes} bytes."
        )
    )


def _forwarded_headers(environ: Environ) -> Iterator[tuple[str, str]]:
    named_by_connection = {
        name.strip().lower()
        for name in environ.get("HTTP_CONNECTION", "").split(",")
    }
    for variable, value in environ.items():
        if variable == "CONTENT_TYPE" and value:
            yield "content-type", value
            continue
        if not variable.startswith(HEADER_PREFIX):
            continue
        name = variable[len(HEADER_PREFIX) :].replace("_", "-").lower()
        if name in DROPPED_HEADERS or name in named_by_connection:
            continue
        if name in ("content-length", "content-type"):
            continue
        if name.startswith(RESERVED_HEADER_PREFIX):
            continue
        yield name, value


def _respond(
    answer: requests.Answer | models.Refusal, start_response: StartResponse
) -> list[bytes]:
    if isinstance(answer, models.Refusal):
        body = problems.encode(answer)
        headers = problems.headers(answer)
        status = answer.status
    else:
        body = answer.body
        headers = [
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() != "content-length"
        ]
        status = answer.status
    headers.append(("Content-Length", str(len(body))))
    try:
        reason = http.HTTPStatus(status).phrase
    except ValueError:
        reason = "Unknown"
    start_response(f"{status} {reason}", headers)
    return [body]

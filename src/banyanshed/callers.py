"""Client side: cached look-ups and requests to entry hosts."""

from collections.abc import Mapping, Sequence
import contextlib
import dataclasses
import json
import random
import time
from typing import Self
import urllib.parse

import urllib3

from banyanshed import exceptions

LOOKUP_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 30.0
MAX_CACHED_LOOKUPS = 1024
RETRY_ON_ANOTHER_HOST_CODES = frozenset({"leaving", "no_share", "stale_keys"})
"""Codes of refusals after which the request is tried at another host."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response of a backend server.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        content: Body.
        host: "IP:port" of the entry host that forwarded the request.
    """

    status: int
    headers: Mapping[str, str]
    content: bytes
    host: str

    def json(self) -> object:
        """Returns the body decoded as JSON."""
        return json.loads(self.content)


@dataclasses.dataclass(frozen=True)
class CachedLookup:
    """Hosts in order of preference and their expiry, in monotonic seconds."""

    hosts: tuple[str, ...]
    expires_s: float


class Caller:
    """A client that uses one tenant's key; not thread-safe."""

    def __init__(
        self,
        seeds: Sequence[str],
        key: str | None = None,
        tenant: str | None = None,
    ):
        """Creates a client from "IP:port" of some entry hosts."""
        self.seeds = list(seeds)
        self.key = key
        self.tenant = tenant
        self.cache: dict[str, CachedLookup] = {}
        self._exit_stack = contextlib.ExitStack()
        self.pool = self._exit_stack.enter_context(
            urllib3.PoolManager(retries=False)
        )

    def __enter__(self) -> Self:
        """Returns itself."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Closes all connections."""
        self.close()

    def close(self) -> None:
        """Closes all connections."""
        self._exit_stack.close()

    def lookup(self, service: str) -> tuple[str, ...]:
        """Returns "IP:port" of entry hosts for a service, preferred first."""
        cached = self.cache.get(service)
        if cached is not None and time.monotonic() < cached.expires_s:
            return cached.hosts
        known = list(cached.hosts) if cached else []
        for seed in known + random.sample(self.seeds, len(self.seeds)):
            found = self._query_host(seed, service)
            if found is None:
                continue
            if len(self.cache) >= MAX_CACHED_LOOKUPS:
                self.cache.clear()
            self.cache[service] = found
            return found.hosts
        raise exceptions.LookupFailed(
            f"no entry host answered the look-up of {service}"
        )

    def request(
        self,
        method: str,
        service: str,
        path: str = "/",
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        idempotency_key: str | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Response:
        """Sends a request; retries at other hosts only where that is safe.

        After a lost response only requests with an idempotency key, GET and
        HEAD are sent again.

        Raises:
            LookupFailed: No entry host answered the look-up.
            RequestRefused: The request was refused or its response was lost.
        """
        request_headers = dict(headers or {})
        if self.key is not None:
            request_headers["Authorization"] = f"Bearer {self.key}"
        if idempotency_key is not None:
            request_headers["Idempotency-Key"] = idempotency_key
        request_headers["Banyanshed-Deadline-Ms"] = str(
            max(1, int(timeout_s * 1000))
        )
        retryable = idempotency_key is not None or method in ("GET", "HEAD")
        refusal = exceptions.RequestRefused(0, "no_host", "no", 1.0)
        for host in self.lookup(service):
            url = f"http://{host}/services/{service}{path}"
            try:
                answer = self.pool.request(
                    method,
                    url,
                    body=body,
                    headers=request_headers,
                    timeout=urllib3.Timeout(total=timeout_s),
                    redirect=False,
                )
            except urllib3.exceptions.NewConnectionError:
                self.cache.pop(service, None)
                continue
            except urllib3.exceptions.HTTPError:
                self.cache.pop(service, None)
                refusal = exceptions.RequestRefused(
                    0, "answer_lost", "unknown", None
                )
                if retryable:
                    continue
                raise refusal from None
            if "Banyanshed-Ran" not in answer.headers:
                return _response_from(answer, host)
            refusal = _refusal_from(answer)
            if refusal.code not in RETRY_ON_ANOTHER_HOST_CODES:
                raise refusal
            self.cache.pop(service, None)
        raise refusal

    def _query_host(self, seed: str, service: str) -> CachedLookup | None:
        query = {"service": service}
        if self.tenant is not None:
            query["tenant"] = self.tenant
        url = f"http://{seed}/lookup?{urllib.parse.urlencode(query)}"
        try:
            answer = self.pool.request("GET", url, timeout=LOOKUP_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        if answer.status != 200:
            return None
        found = answer.json()
        hosts = tuple(host["address"] for host in found["hosts"])
        if not hosts:
            return None
        return CachedLookup(hosts, time.monotonic() + float(found["ttl_s"]))


def _response_from(answer: urllib3.BaseHTTPResponse, host: str) -> Response:
    headers = {name.lower(): value for name, value in answer.headers.items()}
    return Response(answer.status, headers, answer.data, host)


def _refusal_from(
    answer: urllib3.BaseHTTPResponse,
) -> exceptions.RequestRefused:
    problem = answer.json()
    return exceptions.RequestRefused(
        answer.status,
        problem["code"],
        problem["ran"],
        problem["retry_after_s"],
    )

"""Client functions: look up entry hosts and call a service."""

from collections.abc import Sequence
from typing import Any

from banyanshed import callers


def lookup(
    service: str, *, seeds: Sequence[str], tenant: str | None = None
) -> tuple[str, ...]:
    """Returns "IP:port" of the entry hosts for a service, preferred first.

    Args:
        service: Service to call.
        seeds: "IP:port" of some entry hosts.
        tenant: Tenant on whose behalf the call is made.

    Raises:
        LookupFailed: No entry host answered.
    """
    with callers.Caller(seeds, tenant=tenant) as caller:
        return caller.lookup(service)


def call(
    method: str,
    service: str,
    path: str = "/",
    *,
    seeds: Sequence[str],
    key: str | None = None,
    tenant: str | None = None,
    **options: Any,
) -> callers.Response:
    """Sends one request; accepts the further options of Caller.request.

    Args:
        method: HTTP method.
        service: Service to call.
        path: Path below the service, including the query string.
        seeds: "IP:port" of some entry hosts.
        key: The tenant's key; not needed for services open to all.
        tenant: Tenant that calls; the look-up prefers hosts that serve it.
        **options: body, headers, idempotency_key and timeout_s.

    Raises:
        LookupFailed: No entry host answered the look-up.
        RequestRefused: The request was refused or its response was lost.
    """
    with callers.Caller(seeds, key=key, tenant=tenant) as caller:
        return caller.request(method, service, path, **options)

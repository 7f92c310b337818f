"""The callers' functions: look up entry hosts, call a service."""

from collections.abc import Sequence
from typing import Any

from banyanshed import callers


def lookup(
    service: str, *, seeds: Sequence[str], tenant: str | None = None
) -> tuple[str, ...]:
    """Returns "IP:port" of the entry hosts for a service, best first.

    Args:
        service: Service to call.
        seeds: "IP:port" of some entry hosts.
        tenant: Tenant that calls.

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
    """Sends one request; takes the further options of Caller.request.

    Args:
        method: HTTP method.
        service: Service to call.
        path: Path below the service, with its query.
        seeds: "IP:port" of some entry hosts.
        key: The tenant's key; not needed on services open to all.
        tenant: Tenant that calls; places it at the hosts that serve it.
        **options: body, headers, idempotency_key and timeout_s.

    Raises:
        LookupFailed: No entry host answered a look-up.
        RequestRefused: The request was refused or its answer was lost.
    """
    with callers.Caller(seeds, key=key, tenant=tenant) as caller:
        return caller.request(method, service, path, **options)

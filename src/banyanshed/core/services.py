"""Interfaces of the platform's services, implemented by adapters.

All calls block, so they are made outside the event loop. Each raises
StoreUnavailable when nothing took effect and StoreTimeout when a write may have
taken effect.
"""

from collections.abc import Sequence
from typing import Protocol

from banyanshed.core import models


class Table(Protocol):
    """The transactional table service."""

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent rows have no value."""

    def scan(self, prefix: str, since: int) -> models.TablePage:
        """Returns the rows under a prefix that were written after `since`."""

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction, or raises ConditionFailed."""


class ObjectStore(Protocol):
    """The object store; an object is always replaced as a whole."""

    def get(self, name: str) -> bytes | None:
        """Returns an object; None when it does not exist."""

    def put(self, name: str, content: bytes) -> None:
        """Writes or replaces an object."""

    def delete(self, name: str) -> None:
        """Deletes an object, if it exists."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which may be stale."""

    def read(self) -> models.HostPage:
        """Returns the hosts according to the platform."""

"""Interfaces of the platform's services; adapters implement them.

All calls block and are made off the event loop. Each raises
StoreUnavailable when nothing took effect and StoreTimeout when a write may
have taken effect.
"""

from collections.abc import Sequence
from typing import Protocol

from banyanshed.core import models


class Table(Protocol):
    """The transactional table service."""

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent ones have no value."""

    def scan(self, prefix: str, since: int) -> models.TablePage:
        """Returns rows below a prefix written after commit `since`."""

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction; raises ConditionFailed when refused."""


class ObjectStore(Protocol):
    """The object store; objects are replaced whole."""

    def get(self, name: str) -> bytes | None:
        """Returns an object, or None when there is none."""

    def put(self, name: str, content: bytes) -> None:
        """Writes or replaces an object."""

    def delete(self, name: str) -> None:
        """Removes an object; absent ones are ignored."""


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    def read(self) -> models.HostPage:
        """Returns the hosts as the platform knows them."""

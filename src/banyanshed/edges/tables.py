"""HTTP adapter of the platform's table service."""

from collections.abc import Mapping, Sequence
import dataclasses
import json
from typing import Any

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.edges import platform_calls


class HttpTable:
    """Implements `services.Table`; thread-safe."""

    def __init__(
        self, address: str, timeout_s: float = platform_calls.TIMEOUT_S
    ):
        """Creates a client of "IP:port"; timeout_s limits one call."""
        self.client = platform_calls.PlatformClient(address, timeout_s)

    def read(self, keys: Sequence[str]) -> models.TablePage:
        """Returns the rows of the keys, in order; absent ones have no value."""
        return _page(self._post("/table/read", {"keys": list(keys)}))

    def scan(self, prefix: str, since: int) -> models.TablePage:
        """Returns rows below a prefix written after commit `since`."""
        request = {"prefix": prefix, "since": since}
        return _page(self._post("/table/scan", request))

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction; may raise ConditionFailed."""
        result = self._post("/table/transact", dataclasses.asdict(transaction))
        with platform_calls.malformed_as_timeout():
            return models.Commit(int(result["version"]), float(result["now_s"]))

    def close(self) -> None:
        """Closes idle connections."""
        self.client.close()

    def _post(self, path: str, value: object) -> Mapping[str, Any]:
        content = json.dumps(value).encode()
        response = self.client.call("POST", path, content)
        with platform_calls.malformed_as_timeout():
            result = json.loads(response.data)
            if response.status != platform_calls.CONFLICT:
                return dict(result)
            rows = [_row(row) for row in result["rows"]]
        raise exceptions.ConditionFailed(rows)


def _row(row: Mapping[str, Any]) -> models.TableRow:
    return models.TableRow(row["key"], int(row["version"]), row["value"])


def _page(page: Mapping[str, Any]) -> models.TablePage:
    with platform_calls.malformed_as_timeout():
        rows = tuple(_row(row) for row in page["rows"])
        return models.TablePage(
            rows, int(page["version"]), float(page["now_s"])
        )

"""In-process fakes of the platform's services, with scripted faults."""

import dataclasses

from banyanshed import exceptions
from banyanshed.core import models
from banyanshed.core import requests
from standins import platform


def make_request(idempotency_key, body=b"seat 1"):
    return requests.CallerRequest(
        request_id="r",
        service=models.ServiceId("bookings"),
        key_digest=None,
        idempotency_key=idempotency_key,
        method="POST",
        target="/seats",
        headers={},
        body=body,
        deadline_s=10.0,
    )


def parse_page(page):
    """Converts a page of the platform's stand-in as the adapters do."""
    rows = tuple(models.TableRow(**row) for row in page["rows"])
    return models.TablePage(rows, page["version"], page["now_s"])


def parse_commit(status, result):
    """Converts a commit of the platform's stand-in.

    Raises:
        ConditionFailed: The stand-in refused the transaction.
    """
    if status == 409:
        raise exceptions.ConditionFailed(parse_page(result).rows)
    return models.Commit(result["version"], result["now_s"])


class FaultyMemoryTable:
    """Table service whose next calls fail as scripted in `faults`.

    Faults, one per call: "ok"; "down" applies nothing and raises
    StoreUnavailable; "lost" applies the call and raises StoreTimeout; "late"
    raises StoreTimeout and applies the call when `apply_delayed_writes` is
    called.
    """

    def __init__(self):
        self.platform = platform.Platform()
        self.faults = []
        self.delayed_writes = []
        self.transactions = 0
        self.now_s = 1000.0

    def read(self, keys):
        return self._page(self._call(lambda: self.platform.read(list(keys))))

    def scan(self, prefix, since):
        return self._page(self._call(lambda: self.platform.scan(prefix, since)))

    def transact(self, transaction):
        self.transactions += 1
        status, result = self._call(
            lambda: self.platform.transact(dataclasses.asdict(transaction))
        )
        return parse_commit(status, result | {"now_s": self.now_s})

    def apply_delayed_writes(self):
        for apply in self.delayed_writes:
            apply()
        self.delayed_writes.clear()

    def _call(self, apply):
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "down":
            raise exceptions.StoreUnavailable
        if fault == "late":
            self.delayed_writes.append(apply)
            raise exceptions.StoreTimeout
        result = apply()
        if fault == "lost":
            raise exceptions.StoreTimeout
        return result

    def _page(self, page):
        return parse_page(page | {"now_s": self.now_s})


class MemoryObjectStore:
    """Object store in memory that is unavailable while `down` is set."""

    def __init__(self):
        self.contents = {}
        self.down = False

    def get(self, name):
        self._check()
        return self.contents.get(name)

    def put(self, name, content):
        self._check()
        self.contents[name] = content

    def delete(self, name):
        self._check()
        self.contents.pop(name, None)

    def _check(self):
        if self.down:
            raise exceptions.StoreUnavailable

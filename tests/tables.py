"""A table service in memory whose transactions fail as told."""

import dataclasses

from banyanshed import exceptions
from banyanshed.core import rows
from standins import platform
from tests import fakes


class MemoryTable:
    """Takes one fault for each transaction from a list, then none.

    Faults: "down" (nothing takes effect), "lost" (it takes effect, the answer
    is lost), "late" (it takes effect, if it still can, at the next call after
    the following read), "silent" (it never takes effect, no answer).
    """

    def __init__(self, faults=()):
        self.state = platform.Platform()
        self.faults = list(faults)
        self.reads_fail = 0
        self.late = []
        self.before_transact = []

    def read(self, keys):
        if self.reads_fail:
            self.reads_fail -= 1
            raise exceptions.StoreUnavailable("down")
        return fakes.parse_page(self.state.read(list(keys)))

    def scan(self, prefix, since):
        return fakes.parse_page(self.state.scan(prefix, since))

    def transact(self, transaction):
        for action in self.before_transact[:1]:
            del self.before_transact[0]
            action()
        self.settle()
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "down":
            raise exceptions.StoreUnavailable("down")
        if fault == "late":
            self.late.append(transaction)
        if fault in ("late", "silent"):
            raise exceptions.StoreTimeout("no answer")
        commit = self.take(transaction)
        if fault == "lost":
            raise exceptions.StoreTimeout("no answer")
        return commit

    def settle(self):
        """Lets late transactions take effect."""
        while self.late:
            try:
                self.take(self.late.pop())
            except exceptions.ConditionFailed:
                continue

    def take(self, transaction):
        request = dataclasses.asdict(transaction)
        return fakes.parse_commit(*self.state.transact(request))

    def value(self, row):
        return self.state.row(rows.row_key(row))["value"]

"""An in-memory table service with fault injection."""

import dataclasses

from banyanshed import exceptions
from banyanshed.core import rows
from standins import platform
from tests import fakes


class FaultyTable:
    """Table whose transactions use up one fault each from a list.

    Faults: "down" (nothing takes effect), "lost" (it takes effect, but the
    response is lost), "late" (no response; it takes effect before the next
    transaction, if its conditions still hold), "silent" (no response; it never
    takes effect). Once the list is empty, transactions succeed.
    `failing_reads` is the number of next reads that fail; `before_transact`
    has one function to run before each next transaction.
    """

    def __init__(self, faults=()):
        self.state = platform.Platform()
        self.faults = list(faults)
        self.failing_reads = 0
        self.delayed = []
        self.before_transact = []

    def read(self, keys):
        if self.failing_reads:
            self.failing_reads -= 1
            raise exceptions.StoreUnavailable("down")
        return fakes.parse_page(self.state.read(list(keys)))

    def scan(self, prefix, since):
        return fakes.parse_page(self.state.scan(prefix, since))

    def transact(self, transaction):
        for action in self.before_transact[:1]:
            del self.before_transact[0]
            action()
        self.apply_delayed()
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "down":
            raise exceptions.StoreUnavailable("down")
        if fault == "late":
            self.delayed.append(transaction)
        if fault in ("late", "silent"):
            raise exceptions.StoreTimeout("no answer")
        commit = self.apply(transaction)
        if fault == "lost":
            raise exceptions.StoreTimeout("no answer")
        return commit

    def apply_delayed(self):
        """Applies the delayed transactions whose conditions still hold."""
        while self.delayed:
            try:
                self.apply(self.delayed.pop())
            except exceptions.ConditionFailed:
                continue

    def apply(self, transaction):
        request = dataclasses.asdict(transaction)
        return fakes.parse_commit(*self.state.transact(request))

    def value(self, row):
        return self.state.row(rows.row_key(row))["value"]

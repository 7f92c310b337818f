"""Measures transactions and latency of bookings with and without group commit.

Bookings run on threads of one host against an in-memory table service with a
simulated round trip per call. With 2 repeats, each idempotency key is sent
twice concurrently; the executions per key are counted. The baseline only
forwards the key, to a backend server that ignores it. "group N" has at most N
commits in flight.

Run with `python -m benchmarks.claims`.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import itertools
import time

from hdrh import histogram

from banyanshed.core import claims
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import commits
from banyanshed.edges import ledger as ledgers
from tests import fakes

BOOKINGS_PER_THREAD = 10
THREADS = (1, 8, 32)
ROUND_TRIPS_S = (0.02, 0.055)
WORK_S = 0.01
TENANT = models.TenantId("club")
ANSWER = requests.Answer(201, {"content-type": "text/plain"}, b"x" * 300)
MAX_MS = 60_000
FORWARDED_ONLY = "passed on"
SINGLE = "single"
COMMITS_AT_ONCE = {"group 1": 1, "group 2": 2, "group 4": 4}
MODES = (FORWARDED_ONLY, SINGLE, *COMMITS_AT_ONCE)
Result = claims.Claim | requests.Answer | models.Refusal


class RemoteTable(fakes.FaultyMemoryTable):
    """Table service with a simulated round trip per transaction."""

    def __init__(self, round_trip_s: float):
        """Takes the round-trip time in seconds."""
        super().__init__()
        self.round_trip_s = round_trip_s

    def transact(self, transaction: models.Transaction) -> models.Commit:
        """Applies a transaction after one round-trip time."""
        time.sleep(self.round_trip_s)
        return super().transact(transaction)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Transactions and executions per booking, and its latency."""

    transactions: float
    executions: float
    p50_ms: float
    p99_ms: float


def make_request(number: int) -> requests.CallerRequest:
    """Returns the booking request with a number."""
    return requests.CallerRequest(
        request_id=str(number),
        service=models.ServiceId("bookings"),
        key_digest=None,
        idempotency_key=str(number),
        method="POST",
        target="/bookings",
        headers={},
        body=b"y" * 300,
        deadline_s=10.0,
    )


def book(ledger: ledgers.Ledger | None, number: int) -> bool:
    """Sends a booking; returns whether the backend server executed it."""
    if ledger is None:
        time.sleep(WORK_S)
        return True
    claim = ledger.claim(TENANT, make_request(number), 10.0)
    if not isinstance(claim, claims.Claim):
        return False
    time.sleep(WORK_S)
    ledger.record(claim, ANSWER)
    return True


def run_bookings(
    threads: int, repeats: int, book_one: Callable[[int], bool]
) -> tuple[float, float, float]:
    """Returns executions per key, and latency p50 and p99 in milliseconds."""
    times = histogram.HdrHistogram(1, MAX_MS * 1000, 3)
    executions: collections.Counter[int] = collections.Counter()
    bookings = threads * BOOKINGS_PER_THREAD

    def timed(number: int) -> None:
        started_s = time.monotonic()
        ran = book_one(number)
        if ran:
            times.record_value(int((time.monotonic() - started_s) * 1e6))
            executions[number] += 1

    numbers = itertools.chain.from_iterable(
        [number] * repeats for number in range(bookings)
    )
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        list(pool.map(timed, numbers))
    return (
        executions.total() / bookings,
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
    )


def measure(
    round_trip_s: float, threads: int, repeats: int, mode: str
) -> Outcome:
    """Runs the bookings in one of MODES."""
    table = RemoteTable(round_trip_s)
    ledger = None
    if mode != FORWARDED_ONLY:
        ledger = ledgers.Ledger(table, fakes.MemoryObjectStore())
        ledger.table = table
    if ledger is not None and mode in COMMITS_AT_ONCE:
        ledger.table = commits.GroupCommit(table, COMMITS_AT_ONCE[mode])
    executions, p50_ms, p99_ms = run_bookings(
        threads, repeats, lambda number: book(ledger, number)
    )
    transactions = table.transactions / (threads * BOOKINGS_PER_THREAD)
    return Outcome(transactions, executions, p50_ms, p99_ms)


def run() -> None:
    """Prints the results as a table."""
    row = "{:>6} {:>8} {:>8} {:>10} {:>13} {:>11} {:>8} {:>8}"
    print(
        row.format(
            "rtt ms",
            "threads",
            "repeats",
            "mode",
            "transactions",
            "executions",
            "p50 ms",
            "p99 ms",
        )
    )
    cases = itertools.product(ROUND_TRIPS_S, THREADS, (1, 2), MODES)
    for round_trip_s, threads, repeats, mode in cases:
        outcome = measure(round_trip_s, threads, repeats, mode)
        print(
            row.format(
                f"{round_trip_s * 1000:.0f}",
                threads,
                repeats,
                mode,
                f"{outcome.transactions:.2f}",
                f"{outcome.executions:.2f}",
                f"{outcome.p50_ms:.1f}",
                f"{outcome.p99_ms:.1f}",
            )
        )


if __name__ == "__main__":
    run()

"""Leased shares of the rate and concurrency limits that one host holds.

A ShareHolder admits requests within its shares and adjusts the shares to
demand. It performs no I/O: its owner sends the requests of `next_request` to
the table service, one at a time, and the heartbeats to the witness, and passes
the responses back.
"""

from collections.abc import Iterable, Sequence
import dataclasses
import enum
import math
import random
from typing import Any

from banyanshed.core import holdings
from banyanshed.core import models
from banyanshed.core import planning
from banyanshed.core import sessions
from banyanshed.core import shares
from banyanshed.core import snapshots
from banyanshed.core import spending
from banyanshed.core import witnessing

# Time between reads of the share rows in seconds: usually, and after requests
# were refused for lack of shares.
IDLE_READ_INTERVAL_S = 2.0
SHORT_READ_INTERVAL_S = 0.25
# Delay after failed requests to the store, in seconds: by how much it grows
# with each failure in succession, and its maximum.
BACKOFF_STEP_S = 1.0
MAX_BACKOFF_S = 5.0
# Base in seconds of the maximum random delay after a transaction that lost a
# race; it doubles with each conflict.
CONFLICT_BACKOFF_S = 0.03
# Fraction of the lease after which it is renewed.
LEASE_RENEW_FRACTION = 1 / 3
# Without a witness nobody can close the session early: if the host dies, its
# shares stay unavailable until the lease expires, so the lease is short.
UNWITNESSED_LEASE_S = 15.0
# Time in seconds after which to try again when no unit was free.
UNIT_RETRY_AFTER_S = 0.2
# Time between reads of the rows of other hosts' sessions, in seconds.
SESSION_READ_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """A read of rows of the table service."""

    keys: tuple[str, ...]


Request = ReadRequest | models.Transaction


class Phase(enum.Enum):
    """Life-cycle phase of a share holder.

    Attributes:
        HOLDING: Admits requests within its shares.
        RETURNING: Admits nothing and returns its shares.
        RETURNED: Holds no shares; sends nothing more.
        GIVEN: Handed over to a peer, or offered to one; sends nothing more.
    """

    HOLDING = "holding"
    RETURNING = "returning"
    RETURNED = "returned"
    GIVEN = "given"


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request in flight to the table service.

    Attributes:
        sent_s: Monotonic time in seconds at which it was sent.
        write_id: Id of the transaction; empty for a read.
        conditions: Row versions that the transaction requires, by row key.
        plans: Plans that the transaction writes, by limit.
        session: Row of this host's session that it writes, if any.
        closes: Sessions of other hosts that it closes.
    """

    sent_s: float
    write_id: str = ""
    conditions: dict[str, int] = dataclasses.field(default_factory=dict)
    plans: dict[shares.LimitKey, holdings.Plan] = dataclasses.field(
        default_factory=dict
    )
    session: sessions.Session | None = None
    closes: tuple[shares.SessionId, ...] = ()


class ShareHolder(spending.SpendableShares):
    """The shares of one host's session."""

    def __init__(
        self,
        host: models.HostId,
        incarnation: sessions.Incarnation,
        rng: random.Random,
        lease_s: float = sessions.LEASE_S,
    ):
        """Creates a holder without shares.

        Args:
            host: This host.
            incarnation: Differs for each start of the process.
            rng: Random number generator for the jitter of its requests.
            lease_s: Duration of the session's lease in seconds.
        """
        super().__init__()
        self.host = host
        self.incarnation = incarnation
        self.rng = rng
        self.lease_s = lease_s
        self.clock = sessions.StoreClockBounds()
        self.witness = sessions.Witness(host, incarnation)
        self.phase = Phase.HOLDING
        self.snapshot = snapshots.Snapshot()
        self.peers: tuple[models.HostId, ...] = ()
        self.pending: PendingRequest | None = None
        self.plan_due = False
        self.next_request_s = 0.0
        self.failures = 0
        self.conflicts = 0
        self.write_count = 0
        self.next_session_read_s = 0.0
        self.epoch = 0
        self.adopted: list[ShareHolder] = []
        self._open_session()

    def _open_session(self) -> None:
        """Starts a new session; the shares of an earlier one are dropped."""
        self.epoch += 1
        self.session = sessions.session_id(
            self.host, self.incarnation, self.epoch
        )
        self.session_version = 0
        self.valid_until_s = -math.inf
        self.lease_end_s = -math.inf
        self.granted_lease_s = self.lease_s
        self.witness_tracker = witnessing.WitnessTracker(self.rng, self.peers)
        self.unconfirmed_sessions: dict[
            str, tuple[float, sessions.Session]
        ] = {}
        for key, held in self.held.items():
            empty = holdings.make_held(held.limit)
            empty.refused = held.refused
            if isinstance(held, holdings.HeldRate) and isinstance(
                empty, holdings.HeldRate
            ):
                empty.meter = held.meter
            self.held[key] = empty
        self.rebuild_index()

    # Configuration and peers.

    def set_limits(self, limits: Iterable[shares.Limit]) -> None:
        """Replaces the limits; shares of limits that remain are kept.

        Shares of a removed limit are no longer used and are returned.
        """
        wanted = {limit.key: limit for limit in limits}
        for key, limit in wanted.items():
            held = self.held.get(key)
            if held is None or type(held.limit) is not type(limit):
                self.held[key] = holdings.make_held(limit)
                continue
            held.limit = limit
        previously_retiring = self.retiring
        self.retiring = set(self.held) - set(wanted)
        for key in previously_retiring & set(wanted):
            self.held[key].uncertain.setdefault("", 0.0)
        self.rebuild_index()
        self.next_request_s = min(self.next_request_s, 0.0)

    def set_peers(self, peers: Sequence[models.HostId]) -> None:
        """Sets the live hosts; any but this one may become its witness."""
        self.peers = tuple(host for host in peers if host != self.host)
        self.witness_tracker.peers = self.peers

    def all_holders(self) -> "list[ShareHolder]":
        """Returns this holder and those of adopted sessions."""
        return [self, *self.adopted]

    def due_s(self) -> float:
        """Returns when this or an adopted holder may have a request to send.

        Returns:
            Monotonic time in seconds.
        """
        due_s = self.next_request_s
        for holder in self.adopted:
            due_s = min(due_s, holder.next_request_s)
        return due_s

    def retry_after_s(self) -> float:
        """Returns the seconds to wait after `acquire` returned None."""
        return UNIT_RETRY_AFTER_S

    def release_all(self, now_s: float) -> None:
        """Stops admitting and starts returning all shares, for a planned stop.

        Further calls of `next_request` carry out the return, until the phase
        is RETURNED.
        """
        if self.phase is Phase.HOLDING:
            self.phase = Phase.RETURNING
        self.valid_until_s = -math.inf
        self.next_request_s = min(self.next_request_s, now_s)

    # Requests to the table service.

    def expedite_read(self, now_s: float) -> None:
        """Schedules the next read soon, unless the store is failing."""
        if self.failures:
            return
        wait_s = SHORT_READ_INTERVAL_S * self.rng.uniform(0.2, 1.0)
        self.next_request_s = min(self.next_request_s, now_s + wait_s)

    def next_request(self, now_s: float) -> Request | None:
        """Returns the request to send to the table service now, if any.

        Returns None until the outcome of the previous request was passed to
        one of the `on_` methods.
        """
        if self.pending or now_s < self.next_request_s:
            return None
        if self.phase in (Phase.RETURNED, Phase.GIVEN):
            return None
        if self.plan_due:
            self.plan_due = False
            transaction = self._transaction(now_s)
            if transaction:
                return transaction
            self._schedule_read(now_s)
            return None
        self.pending = PendingRequest(now_s)
        return ReadRequest(self._read_keys(now_s))

    def _read_keys(self, now_s: float) -> tuple[str, ...]:
        """Returns the keys of the share rows and of session rows to read.

        The rows of other hosts' sessions are read only every
        SESSION_READ_INTERVAL_S.
        """
        limit_keys = list(self.held)
        own_key = sessions.session_key(self.session)
        session_keys = [own_key]
        if now_s >= self.next_session_read_s:
            self.next_session_read_s = now_s + SESSION_READ_INTERVAL_S
            holders = self._sessions_with_grants()
            session_keys = [
                sessions.session_key(name) for name in sorted(holders)
            ]
            if own_key not in session_keys:
                session_keys.append(own_key)
        return (*limit_keys, *session_keys)

    def _sessions_with_grants(self) -> set[shares.SessionId]:
        """Returns the sessions that have grants in the rows last read."""
        return self.snapshot.sessions_with_grants(
            held.limit for held in self.held.values()
        )

    def _schedule_read(self, now_s: float) -> None:
        """Schedules the next read, sooner after requests were refused."""
        any_short = any(holdings.is_short(held) for held in self.held.values())
        wait_s = SHORT_READ_INTERVAL_S if any_short else IDLE_READ_INTERVAL_S
        for held in self.held.values():
            held.refused = 0
        self.next_request_s = now_s + wait_s * self.rng.uniform(0.75, 1.25)

    def _store_view(self, now_s: float) -> shares.StoreView:
        """Returns the bounds of the store's clock and the closed sessions."""
        return shares.StoreView(
            self.clock.earliest_s(now_s),
            self.clock.latest_s(now_s),
            self.snapshot.ended_sessions(self.session),
        )

    def _transaction(self, now_s: float) -> models.Transaction | None:
        """Returns the transaction to send for the rows last read, if any."""
        view = self._store_view(now_s)
        leaving = self.phase is Phase.RETURNING
        self.write_count += 1
        pending = PendingRequest(now_s, f"{self.session}#{self.write_count}")
        writes: list[models.Write] = []
        for key in self._keys_to_plan():
            held = self.held[key]
            row = self.snapshot.get(key)
            if row is None or row.version < held.uncertain_version:
                continue
            share = self.snapshot.share(held.limit)
            returning = leaving or key in self.retiring
            if returning and not (share and self._own_grant(share)):
                self._drop_removed_limit(key)
                continue
            plan = holdings.make_plan(
                held, share, self.session, pending.write_id, now_s, view,
                returning,
            )  # fmt: skip
            if not plan.worthwhile:
                holdings.apply_skipped(held, plan)
                continue
            pending.plans[key] = plan
            pending.conditions[key] = row.version
            writes.append(models.Write(key, shares.share_value(plan.share)))
        writes.extend(self._session_writes(now_s, view, pending))
        if not writes:
            if leaving and self._returns_all(pending):
                self.phase = Phase.RETURNED
            return None
        for key, plan in pending.plans.items():
            holdings.apply_reductions(self.held[key], now_s, plan)
        self.pending = pending
        conditions = tuple(
            models.Condition(key, version)
            for key, version in pending.conditions.items()
        )
        return models.Transaction(conditions, tuple(writes))

    def _drop_removed_limit(self, key: shares.LimitKey) -> None:
        """Drops the state of a removed limit whose share was returned."""
        if key in self.retiring:
            self.retiring.remove(key)
            del self.held[key]
            self.rebuild_index()

    def _keys_to_plan(self) -> Sequence[shares.LimitKey]:
        """Returns the limits to plan.

        After repeated conflicts these are fewer, picked at random and from
        those that are short of shares if there are any.
        """
        keys = list(self.held)
        if self.session_version == 0:
            return []  # Write the session row alone, which can't conflict.
        if self.conflicts < 3:
            return keys
        short_keys = [key for key in keys if holdings.is_short(self.held[key])]
        if short_keys:
            keys = short_keys
        count = max(1, len(keys) >> (self.conflicts - 2))
        return self.rng.sample(keys, count)

    def _own_grant(self, share: Any) -> Any:
        """Returns this session's grant in a share row, or None."""
        for grant in share.grants:
            if grant.session == self.session:
                return grant
        return None

    def _session_writes(
        self, now_s: float, view: shares.StoreView, pending: PendingRequest
    ) -> Iterable[models.Write]:
        """Yields the writes of session rows: this host's and ended ones.

        Adds their conditions and this host's session row to `pending`.
        """
        own_key = sessions.session_key(self.session)
        if self.phase is Phase.RETURNING:
            row = self.snapshot.get(own_key)
            row_absent = row is None or row.value is None
            if (
                row is not None
                and not row_absent
                and self._returns_all(pending)
            ):
                pending.conditions[own_key] = row.version
                yield models.Write(own_key, None)
        elif self._session_write_due(now_s):
            witness = self.witness_tracker.next_witness(now_s)
            lease_s = self._next_lease_s(witness)
            session = sessions.Session(
                self.host,
                pending.write_id,
                view.latest_s + lease_s * (1 + 2 * sessions.CLOCK_DRIFT),
                witness,
                lease_s=lease_s,
            )
            pending.session = session
            pending.conditions[own_key] = self.session_version
            yield models.Write(own_key, dataclasses.asdict(session))
        yield from self._closing_writes(now_s, view, pending)

    def _returns_all(self, pending: PendingRequest) -> bool:
        """Returns whether this session has no grant after a transaction."""
        for key, held in self.held.items():
            if key in pending.plans:
                share: Any = pending.plans[key].share
            else:
                share = self.snapshot.share(held.limit)
            if share is not None and self._own_grant(share):
                return False
        return True

    def _next_lease_s(self, witness: sessions.WitnessId | None) -> float:
        """Returns the lease in seconds to write into the session row."""
        no_peers = self.session_version != 0 and not self.peers
        if witness is not None or self.witness_tracker.named or no_peers:
            return self.lease_s
        return min(self.lease_s, UNWITNESSED_LEASE_S)

    def _session_write_due(self, now_s: float) -> bool:
        """Returns whether this host's session row must be written."""
        if self.session_version == 0:
            return True
        if now_s > self.lease_end_s - self.granted_lease_s * (
            1 - LEASE_RENEW_FRACTION
        ):
            return True
        witness = self.witness_tracker.next_witness(now_s)
        if witness is None:
            return False
        return self.witness_tracker.named != {witness}

    def _closing_writes(
        self, now_s: float, view: shares.StoreView, pending: PendingRequest
    ) -> Iterable[models.Write]:
        """Yields the writes that close or delete other, ended sessions."""

        def may_close(
            name: shares.SessionId, session: sessions.Session
        ) -> bool:
            lapsed_s = session.end_s + sessions.LEASE_MARGIN_S
            if view.earliest_s > lapsed_s:
                return True
            if name.startswith(f"{self.host}/{self.incarnation}."):
                return True
            return self.witness.may_close(now_s, name, session)

        for row, write in self.snapshot.closing_writes(
            self.session, self._sessions_with_grants(), view, may_close
        ):
            pending.conditions[row.key] = row.version
            yield write

    def on_page(self, now_s: float, page: models.TablePage) -> None:
        """Handles the response to a read."""
        pending = self.pending
        self.pending = None
        if pending is None:
            return
        self.clock.observe(pending.sent_s, now_s, page.now_s)
        self.failures = 0
        self._apply_rows(now_s, page.rows)
        self.plan_due = True

    def _apply_rows(
        self, now_s: float, rows: Iterable[models.TableRow]
    ) -> None:
        """Stores rows that were read and applies this host's part of them."""
        own_key = sessions.session_key(self.session)
        for row in rows:
            if not self.snapshot.update(row):
                continue
            held = self.held.get(shares.LimitKey(row.key))
            if held is not None:
                self._apply_share_row(now_s, held, row)
                continue
            if row.key == own_key:
                self._apply_session_row(now_s, row)
                if own_key != sessions.session_key(self.session):
                    return

    def _apply_share_row(
        self, now_s: float, held: holdings.Held, row: models.TableRow
    ) -> None:
        """Applies this session's grant in a share row.

        While the row still has the version on which a transaction of unknown
        outcome was conditional, that transaction may still take effect, so the
        smaller of the two outcomes remains in force.
        """
        if held.uncertain and row.version <= held.uncertain_version:
            return
        share = self.snapshot.share(held.limit)
        grant = None if share is None else self._own_grant(share)
        changed = bool(held.uncertain) or grant is None
        held.uncertain_version = 0
        if changed:
            holdings.apply_grant(held, now_s, grant)

    def _apply_session_row(self, now_s: float, row: models.TableRow) -> None:
        """Applies this host's session row; opens a new session if it ended."""
        session = sessions.parse_session(row.value)
        if session is None or session.closed_s is not None:
            if row.version > 0 and self.phase is Phase.HOLDING:
                self._open_session()
            return
        if row.version == self.session_version:
            return
        unconfirmed = self.unconfirmed_sessions.pop(session.write_id, None)
        if unconfirmed is not None:
            self._set_session_row(unconfirmed[0], session, row.version)
        self.unconfirmed_sessions.clear()
        self._update_validity()

    def _set_session_row(
        self, sent_s: float, session: sessions.Session, version: int
    ) -> None:
        """Applies a session row that this host has written."""
        self.session_version = version
        self.granted_lease_s = session.lease_s
        self.lease_end_s = max(self.lease_end_s, sent_s + self.granted_lease_s)
        self.witness_tracker.named = (
            {session.witness} if session.witness else set()
        )
        self._update_validity()

    def on_commit(self, now_s: float, commit: models.Commit) -> None:
        """Handles the commit of the transaction in flight."""
        pending = self.pending
        self.pending = None
        if pending is None:
            return
        self.clock.observe(pending.sent_s, now_s, commit.now_s)
        self.failures = 0
        self.conflicts = 0
        for key, plan in pending.plans.items():
            held = self.held.get(key)
            if held is None:
                continue
            holdings.apply_committed(held, now_s, plan)
            held.uncertain_version = 0
            row = models.TableRow(
                key, commit.version, shares.share_value(plan.share)
            )
            self.snapshot.store_share(row, plan.share)
        if pending.session is not None:
            self.unconfirmed_sessions.clear()
            opened = self.session_version == 0
            self._set_session_row(
                pending.sent_s, pending.session, commit.version
            )
            if opened:
                self.plan_due = True
                self.next_request_s = now_s
                return
        if self.phase is Phase.RETURNING:
            self.next_request_s = now_s
            return
        self._schedule_read(now_s)

    def on_conflict(
        self, now_s: float, rows: Sequence[models.TableRow]
    ) -> None:
        """Handles a transaction rejected because a row had changed.

        Args:
            now_s: Monotonic time in seconds.
            rows: Rows whose conditions failed, as stored.
        """
        self._roll_back(now_s)
        self.conflicts = min(self.conflicts + 1, 6)
        self._apply_rows(now_s, rows)
        self.plan_due = True
        wait_s = CONFLICT_BACKOFF_S * (1 << self.conflicts)
        self.next_request_s = now_s + self.rng.uniform(0.0, wait_s)

    def on_unavailable(self, now_s: float) -> None:
        """Handles a request that the store did not process."""
        self._roll_back(now_s)
        self._back_off(now_s)

    def on_answer_lost(self, now_s: float) -> None:
        """Handles a lost response; a transaction may have taken effect."""
        pending = self.pending
        self.pending = None
        self._back_off(now_s)
        if pending is None:
            return
        for key, plan in pending.plans.items():
            held = self.held.get(key)
            if held is None:
                continue
            gained_tokens = (
                plan.tokens if isinstance(plan, planning.RatePlan) else 0.0
            )
            held.uncertain[pending.write_id] = max(0.0, gained_tokens)
            held.uncertain_version = pending.conditions[key]
        if pending.session is not None:
            self.unconfirmed_sessions[pending.write_id] = (
                pending.sent_s,
                pending.session,
            )
            if pending.session.witness:
                self.witness_tracker.named.add(pending.session.witness)
            self._update_validity()

    def _roll_back(self, now_s: float) -> None:
        """Restores the shares after a transaction that took no effect."""
        pending = self.pending
        self.pending = None
        if pending is None:
            return
        for key, plan in pending.plans.items():
            held = self.held.get(key)
            row = self.snapshot.get(key)
            if held is None or row is None or held.uncertain:
                continue
            share = self.snapshot.share(held.limit)
            grant = None if share is None else self._own_grant(share)
            holdings.apply_grant(held, now_s, grant)
            holdings.revert_reductions(held, now_s, plan)

    def _back_off(self, now_s: float) -> None:
        """Delays the next request, longer after each failure of the store."""
        self.failures = min(self.failures + 1, 8)
        self.plan_due = False
        wait_s = min(MAX_BACKOFF_S, BACKOFF_STEP_S * self.failures)
        self.next_request_s = now_s + wait_s * self.rng.uniform(0.5, 1.0)

    # Heartbeats.

    def _update_validity(self) -> None:
        """Computes until when shares may be used."""
        if self.phase is not Phase.HOLDING or self.session_version == 0:
            self.valid_until_s = -math.inf
            return
        self.valid_until_s = min(
            self.lease_end_s, self.witness_tracker.valid_until_s()
        )

    def heartbeats(
        self, now_s: float
    ) -> tuple[tuple[models.HostId, sessions.Heartbeat], ...]:
        """Returns the heartbeats to send now, with their recipients."""
        if self.phase in (Phase.RETURNED, Phase.GIVEN):
            return ()
        return self.witness_tracker.heartbeats(now_s, self.session)

    def on_acknowledgement(
        self, now_s: float, answer: sessions.Acknowledgement
    ) -> None:
        """Handles a witness's acknowledgement, which may come late."""
        if answer.session != self.session:
            return
        result = self.witness_tracker.on_acknowledgement(now_s, answer)
        if result is witnessing.AcknowledgementResult.SESSION_ENDED:
            self._open_session()
        if result is not witnessing.AcknowledgementResult.NONE:
            self.expedite_read(now_s)
        self._update_validity()

    def on_heartbeat(
        self, now_s: float, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Acknowledges or refuses a peer's heartbeat as its witness."""
        return self.witness.on_heartbeat(now_s, heartbeat)

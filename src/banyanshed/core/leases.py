"""Shares that one host holds under lease; no input or output.

A ShareHolder admits requests within its shares and moves the shares towards
demand. Its owner carries the requests of `next_request` to the table service,
one at a time, and the heartbeats to the witness, and hands back what came.
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

QUIET_READ_S = 2.0
BUSY_READ_S = 0.25
RETRY_S = 1.0
MAX_RETRY_S = 5.0
CONFLICT_S = 0.03
RENEW_PART = 1 / 3
# Lease of a session without a witness: nobody can close it early, so that
# what it holds stays lost until its end when the host dies at once.
UNWITNESSED_LEASE_S = 15.0
UNIT_RETRY_AFTER_S = 0.2
SESSION_READ_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks for rows of the table service."""

    keys: tuple[str, ...]


Request = ReadRequest | models.Transaction


class Phase(enum.Enum):
    """What a holder does."""

    HOLDING = "holding"
    RETURNING = "returning"
    RETURNED = "returned"
    GIVEN = "given"


@dataclasses.dataclass(slots=True)
class Pending:
    """A request on its way to the table service.

    Attributes:
        sent_s: When it was sent.
        write_id: Id of the transaction; empty for a read.
        conditions: Versions that it requires.
        plans: Plans that it carries out, by limit.
        session: The row of this host's session that it writes, if any.
        closes: Sessions of others that it closes.
    """

    sent_s: float
    write_id: str = ""
    conditions: dict[str, int] = dataclasses.field(default_factory=dict)
    plans: dict[shares.LimitKey, holdings.Plan] = dataclasses.field(
        default_factory=dict
    )
    session: sessions.Session | None = None
    closes: tuple[shares.SessionId, ...] = ()


class ShareHolder(spending.Spending):
    """The shares of one host."""

    def __init__(
        self,
        host: models.HostId,
        incarnation: sessions.Incarnation,
        rng: random.Random,
        lease_s: float = sessions.LEASE_S,
    ):
        """Starts without shares.

        Args:
            host: This host.
            incarnation: Differs for each start of the process.
            rng: Source of the jitter of its requests.
            lease_s: Length of the session's lease.
        """
        super().__init__()
        self.host = host
        self.incarnation = incarnation
        self.rng = rng
        self.lease_s = lease_s
        self.clock = sessions.StoreClock()
        self.witness = sessions.Witness(host, incarnation)
        self.phase = Phase.HOLDING
        self.seen = snapshots.Snapshot()
        self.peers: tuple[models.HostId, ...] = ()
        self.pending: Pending | None = None
        self.fresh = False
        self.next_s = 0.0
        self.failures = 0
        self.conflicts = 0
        self.writes = 0
        self.next_sessions_s = 0.0
        self.epoch = 0
        self.adopted: list[ShareHolder] = []
        self._open_session()

    def _open_session(self) -> None:
        """Starts another session; nothing of an earlier one is held."""
        self.epoch += 1
        self.session = sessions.session_id(
            self.host, self.incarnation, self.epoch
        )
        self.session_version = 0
        self.valid_until_s = -math.inf
        self.lease_end_s = -math.inf
        self.granted_s = self.lease_s
        self.witnessing = witnessing.Witnessing(self.rng, self.peers)
        self.uncertain_ends: dict[str, tuple[float, sessions.Session]] = {}
        for key, held in self.held.items():
            empty = holdings.make_held(held.limit)
            empty.refused = held.refused
            if isinstance(held, holdings.HeldRate) and isinstance(
                empty, holdings.HeldRate
            ):
                empty.meter = held.meter
            self.held[key] = empty
        self.index()

    # Configuration and peers.

    def set_limits(self, limits: Iterable[shares.Limit]) -> None:
        """Replaces the limits; holdings of known limits go on.

        Shares of a limit that is gone are returned, and not used before.
        """
        wanted = {limit.key: limit for limit in limits}
        for key, limit in wanted.items():
            held = self.held.get(key)
            if held is None or type(held.limit) is not type(limit):
                self.held[key] = holdings.make_held(limit)
                continue
            held.limit = limit
        returned = self.retiring
        self.retiring = set(self.held) - set(wanted)
        for key in returned & set(wanted):
            self.held[key].uncertain.setdefault("", 0.0)
        self.index()
        self.next_s = min(self.next_s, 0.0)

    def set_peers(self, peers: Sequence[models.HostId]) -> None:
        """Sets the live hosts that may be this host's witness."""
        self.peers = tuple(host for host in peers if host != self.host)
        self.witnessing.peers = self.peers

    def all(self) -> "list[ShareHolder]":
        """Returns this holder and those that this host has adopted."""
        return [self, *self.adopted]

    def due_s(self) -> float:
        """Returns when `next_request` of any of them may yield something."""
        due_s = self.next_s
        for holder in self.adopted:
            due_s = min(due_s, holder.next_s)
        return due_s

    def retry_after_s(self) -> float:
        """Returns when to come back after `acquire` returned None."""
        return UNIT_RETRY_AFTER_S

    def release_all(self, now_s: float) -> None:
        """Returns all shares, for a planned stop; admits nothing from now on.

        The return is carried out by further calls of `next_request` until
        the phase is RETURNED.
        """
        if self.phase is Phase.HOLDING:
            self.phase = Phase.RETURNING
        self.valid_until_s = -math.inf
        self.next_s = min(self.next_s, now_s)

    # Exchange with the table service.

    def hurry(self, now_s: float) -> None:
        """Brings the next read forward, unless the store is failing."""
        if self.failures:
            return
        wait_s = BUSY_READ_S * self.rng.uniform(0.2, 1.0)
        self.next_s = min(self.next_s, now_s + wait_s)

    def next_request(self, now_s: float) -> Request | None:
        """Returns what to ask of the table service now, if anything.

        The answer must be handed to one of the `on_` methods before the next
        call yields anything.
        """
        if self.pending or now_s < self.next_s:
            return None
        if self.phase in (Phase.RETURNED, Phase.GIVEN):
            return None
        if self.fresh:
            self.fresh = False
            transaction = self._transaction(now_s)
            if transaction:
                return transaction
            self._schedule(now_s)
            return None
        self.pending = Pending(now_s)
        return ReadRequest(self._read_keys(now_s))

    def _read_keys(self, now_s: float) -> tuple[str, ...]:
        """Returns the rows to read: shares, and at times their sessions."""
        keys = list(self.held)
        own_key = sessions.session_key(self.session)
        names = [own_key]
        if now_s >= self.next_sessions_s:
            self.next_sessions_s = now_s + SESSION_READ_S
            holders = self._holders()
            names = [sessions.session_key(name) for name in sorted(holders)]
            if own_key not in names:
                names.append(own_key)
        return (*keys, *names)

    def _holders(self) -> set[shares.SessionId]:
        """Returns the sessions that have grants in the rows last seen."""
        return self.seen.holders(held.limit for held in self.held.values())

    def _schedule(self, now_s: float) -> None:
        """Sets the time of the next read."""
        short = any(holdings.is_short(held) for held in self.held.values())
        wait_s = BUSY_READ_S if short else QUIET_READ_S
        for held in self.held.values():
            held.refused = 0
        self.next_s = now_s + wait_s * self.rng.uniform(0.75, 1.25)

    def _moment(self, now_s: float) -> shares.Moment:
        """Returns the store's time and the sessions known to have ended."""
        return shares.Moment(
            self.clock.earliest_s(now_s),
            self.clock.latest_s(now_s),
            self.seen.ended_sessions(self.session),
        )

    def _transaction(self, now_s: float) -> models.Transaction | None:
        """Returns the transaction that suits the rows last read."""
        moment = self._moment(now_s)
        leaving = self.phase is Phase.RETURNING
        self.writes += 1
        pending = Pending(now_s, f"{self.session}#{self.writes}")
        writes: list[models.Write] = []
        for key in self._plan_keys():
            held = self.held[key]
            row = self.seen.get(key)
            if row is None or row.version < held.uncertain_version:
                continue
            share = self.seen.share(held.limit)
            returning = leaving or key in self.retiring
            if returning and not (share and self._own_grant(share)):
                self._forget(key)
                continue
            plan = holdings.make_plan(
                held, share, self.session, pending.write_id, now_s, moment,
                returning,
            )  # fmt: skip
            if not plan.worthwhile:
                holdings.keep(held, plan)
                continue
            pending.plans[key] = plan
            pending.conditions[key] = row.version
            writes.append(models.Write(key, shares.share_value(plan.share)))
        writes.extend(self._session_writes(now_s, moment, pending))
        if not writes:
            if leaving and self._returns_all(pending):
                self.phase = Phase.RETURNED
            return None
        for key, plan in pending.plans.items():
            holdings.give_up(self.held[key], now_s, plan)
        self.pending = pending
        conditions = tuple(
            models.Condition(key, version)
            for key, version in pending.conditions.items()
        )
        return models.Transaction(conditions, tuple(writes))

    def _forget(self, key: shares.LimitKey) -> None:
        """Drops the holding of a limit that is gone, once it is returned."""
        if key in self.retiring:
            self.retiring.remove(key)
            del self.held[key]
            self.index()

    def _plan_keys(self) -> Sequence[shares.LimitKey]:
        """Returns the limits to plan; fewer after repeated conflicts."""
        keys = list(self.held)
        if self.session_version == 0:
            return []  # A session row alone can't conflict.
        if self.conflicts < 3:
            return keys
        short = [key for key in keys if holdings.is_short(self.held[key])]
        if short:
            keys = short
        count = max(1, len(keys) >> (self.conflicts - 2))
        return self.rng.sample(keys, count)

    def _own_grant(self, share: Any) -> Any:
        """Returns this session's grant in a share, or None."""
        for grant in share.grants:
            if grant.session == self.session:
                return grant
        return None

    def _session_writes(
        self, now_s: float, moment: shares.Moment, pending: Pending
    ) -> Iterable[models.Write]:
        """Yields the writes of session rows, this host's and ended ones."""
        own_key = sessions.session_key(self.session)
        if self.phase is Phase.RETURNING:
            row = self.seen.get(own_key)
            gone = row is None or row.value is None
            if row is not None and not gone and self._returns_all(pending):
                pending.conditions[own_key] = row.version
                yield models.Write(own_key, None)
        elif self._session_due(now_s):
            witness = self.witnessing.next_witness(now_s)
            lease_s = self._next_lease_s(witness)
            session = sessions.Session(
                self.host,
                pending.write_id,
                moment.latest_s + lease_s * (1 + 2 * sessions.CLOCK_DRIFT),
                witness,
                lease_s=lease_s,
            )
            pending.session = session
            pending.conditions[own_key] = self.session_version
            yield models.Write(own_key, dataclasses.asdict(session))
        yield from self._closing_writes(now_s, moment, pending)

    def _returns_all(self, pending: Pending) -> bool:
        """Returns whether no grant is left after a transaction."""
        for key, held in self.held.items():
            if key in pending.plans:
                share: Any = pending.plans[key].share
            else:
                share = self.seen.share(held.limit)
            if share is not None and self._own_grant(share):
                return False
        return True

    def _next_lease_s(self, witness: sessions.WitnessId | None) -> float:
        """Returns the length of the lease that the session row gives."""
        alone = self.session_version != 0 and not self.peers
        if witness is not None or self.witnessing.named or alone:
            return self.lease_s
        return min(self.lease_s, UNWITNESSED_LEASE_S)

    def _session_due(self, now_s: float) -> bool:
        """Returns whether this host's session row must be written."""
        if self.session_version == 0:
            return True
        if now_s > self.lease_end_s - self.granted_s * (1 - RENEW_PART):
            return True
        witness = self.witnessing.next_witness(now_s)
        if witness is None:
            return False
        return self.witnessing.named != {witness}

    def _closing_writes(
        self, now_s: float, moment: shares.Moment, pending: Pending
    ) -> Iterable[models.Write]:
        """Yields the writes that close or remove others' ended sessions."""

        def may_close(
            name: shares.SessionId, session: sessions.Session
        ) -> bool:
            lapsed_s = session.end_s + sessions.LEASE_MARGIN_S
            if moment.earliest_s > lapsed_s:
                return True
            if name.startswith(f"{self.host}/{self.incarnation}."):
                return True
            return self.witness.may_close(now_s, name, session)

        for row, write in self.seen.closing_writes(
            self.session, self._holders(), moment, may_close
        ):
            pending.conditions[row.key] = row.version
            yield write

    def on_page(self, now_s: float, page: models.TablePage) -> None:
        """Takes the answer to a read."""
        pending = self.pending
        self.pending = None
        if pending is None:
            return
        self.clock.observe(pending.sent_s, now_s, page.now_s)
        self.failures = 0
        self._adopt_rows(now_s, page.rows)
        self.fresh = True

    def _adopt_rows(
        self, now_s: float, rows: Iterable[models.TableRow]
    ) -> None:
        """Takes rows as stored, and this host's part of them."""
        own_key = sessions.session_key(self.session)
        for row in rows:
            if not self.seen.take(row):
                continue
            held = self.held.get(shares.LimitKey(row.key))
            if held is not None:
                self._adopt_share(now_s, held, row)
                continue
            if row.key == own_key:
                self._adopt_session(now_s, row)
                if own_key != sessions.session_key(self.session):
                    return

    def _adopt_share(
        self, now_s: float, held: holdings.Held, row: models.TableRow
    ) -> None:
        """Takes this host's part of a share row.

        While the row still has the version on which a transaction of unknown
        outcome was conditional, that transaction may yet take effect, and the
        smaller outcome stands.
        """
        if held.uncertain and row.version <= held.uncertain_version:
            return
        share = self.seen.share(held.limit)
        grant = None if share is None else self._own_grant(share)
        changed = bool(held.uncertain) or grant is None
        held.uncertain_version = 0
        if changed:
            holdings.adopt(held, now_s, grant)

    def _adopt_session(self, now_s: float, row: models.TableRow) -> None:
        """Takes this host's session row; another session if it has ended."""
        session = sessions.parse_session(row.value)
        if session is None or session.closed_s is not None:
            if row.version > 0 and self.phase is Phase.HOLDING:
                self._open_session()
            return
        if row.version == self.session_version:
            return
        uncertain = self.uncertain_ends.pop(session.write_id, None)
        if uncertain is not None:
            self._take_session(uncertain[0], session, row.version)
        self.uncertain_ends.clear()
        self._update_validity()

    def _take_session(
        self, sent_s: float, session: sessions.Session, version: int
    ) -> None:
        """Takes a written session row of this host as its present one."""
        self.session_version = version
        self.granted_s = session.lease_s
        self.lease_end_s = max(self.lease_end_s, sent_s + self.granted_s)
        self.witnessing.named = {session.witness} if session.witness else set()
        self._update_validity()

    def on_commit(self, now_s: float, commit: models.Commit) -> None:
        """Takes the news that the transaction took effect."""
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
            holdings.take_up(held, now_s, plan)
            held.uncertain_version = 0
            row = models.TableRow(
                key, commit.version, shares.share_value(plan.share)
            )
            self.seen.put_share(row, plan.share)
        if pending.session is not None:
            self.uncertain_ends.clear()
            opened = self.session_version == 0
            self._take_session(pending.sent_s, pending.session, commit.version)
            if opened:
                self.fresh = True
                self.next_s = now_s
                return
        if self.phase is Phase.RETURNING:
            self.next_s = now_s
            return
        self._schedule(now_s)

    def on_conflict(
        self, now_s: float, rows: Sequence[models.TableRow]
    ) -> None:
        """Takes a refused transaction and the rows as stored."""
        self._undo(now_s)
        self.conflicts = min(self.conflicts + 1, 6)
        self._adopt_rows(now_s, rows)
        self.fresh = True
        wait_s = CONFLICT_S * (1 << self.conflicts)
        self.next_s = now_s + self.rng.uniform(0.0, wait_s)

    def on_unavailable(self, now_s: float) -> None:
        """Takes the news that the store took no request."""
        self._undo(now_s)
        self._back_off(now_s)

    def on_unknown(self, now_s: float) -> None:
        """Takes the loss of an answer; a transaction may have taken effect."""
        pending = self.pending
        self.pending = None
        self._back_off(now_s)
        if pending is None:
            return
        for key, plan in pending.plans.items():
            held = self.held.get(key)
            if held is None:
                continue
            gain = plan.tokens if isinstance(plan, planning.RatePlan) else 0.0
            held.uncertain[pending.write_id] = max(0.0, gain)
            held.uncertain_version = pending.conditions[key]
        if pending.session is not None:
            self.uncertain_ends[pending.write_id] = (
                pending.sent_s,
                pending.session,
            )
            if pending.session.witness:
                self.witnessing.named.add(pending.session.witness)
            self._update_validity()

    def _undo(self, now_s: float) -> None:
        """Takes back what a transaction without effect would have moved."""
        pending = self.pending
        self.pending = None
        if pending is None:
            return
        for key, plan in pending.plans.items():
            held = self.held.get(key)
            row = self.seen.get(key)
            if held is None or row is None or held.uncertain:
                continue
            share = self.seen.share(held.limit)
            grant = None if share is None else self._own_grant(share)
            holdings.adopt(held, now_s, grant)
            holdings.take_back(held, now_s, plan)

    def _back_off(self, now_s: float) -> None:
        """Waits longer after each failure of the store."""
        self.failures = min(self.failures + 1, 8)
        self.fresh = False
        wait_s = min(MAX_RETRY_S, RETRY_S * self.failures)
        self.next_s = now_s + wait_s * self.rng.uniform(0.5, 1.0)

    # Exchange with the witness.

    def _update_validity(self) -> None:
        """Computes until when shares may be spent."""
        if self.phase is not Phase.HOLDING or self.session_version == 0:
            self.valid_until_s = -math.inf
            return
        self.valid_until_s = min(
            self.lease_end_s, self.witnessing.valid_until_s()
        )

    def heartbeats(
        self, now_s: float
    ) -> tuple[tuple[models.HostId, sessions.Heartbeat], ...]:
        """Returns the heartbeats to send now, with their receivers."""
        if self.phase in (Phase.RETURNED, Phase.GIVEN):
            return ()
        return self.witnessing.heartbeats(now_s, self.session)

    def on_acknowledgement(
        self, now_s: float, answer: sessions.Acknowledgement
    ) -> None:
        """Takes a witness's answer to a heartbeat, late ones included."""
        if answer.session != self.session:
            return
        news = self.witnessing.on_acknowledgement(now_s, answer)
        if news is witnessing.News.SESSION_ENDED:
            self._open_session()
        if news is not witnessing.News.NONE:
            self.hurry(now_s)
        self._update_validity()

    def on_heartbeat(
        self, now_s: float, heartbeat: sessions.Heartbeat
    ) -> sessions.Acknowledgement:
        """Answers a peer's heartbeat as its witness."""
        return self.witness.on_heartbeat(now_s, heartbeat)

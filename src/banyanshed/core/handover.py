"""Hand-over of a session to a peer; no input or output.

A host that stops while the table service is down can't return its shares. It
gives its session to one peer, which spends it until the service is back and
then returns it. At most one process spends a session: the giver is frozen
before the message is sent, and after a lost answer asks only the same process.

The peer first tells the time of its own clock; the message repeats it and
tells durations, which the peer counts from that time on.
"""

from collections.abc import Sequence
import dataclasses
import enum
import math
import random
import zlib

import pydantic

from banyanshed import exceptions
from banyanshed.core import buckets
from banyanshed.core import holdings
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares

MAX_ADOPTED_SESSIONS = 16
MAX_TAKEN_SESSIONS = 4096
MAX_HOLDINGS = 2000
MAX_CONTENT_BYTES = 200_000
MAX_DECOMPRESSED_BYTES = 4_000_000
DRIFT_UPPER_FACTOR = 1 + 2 * sessions.CLOCK_DRIFT
"""A duration on a slow clock times this covers it on a fast one."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverOpening:
    """What a peer tells before it takes a session over.

    Attributes:
        incarnation: The peer's process.
        opened_s: Its monotonic time.
    """

    incarnation: sessions.Incarnation
    opened_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GivenWitness:
    """A named witness: seconds since a heartbeat it acknowledged was sent."""

    witness: sessions.WitnessId
    acked_age_s: float | None
    waived: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GivenRate:
    """Part of a rate limit, as in holdings.HeldRate."""

    limit: shares.RateLimit
    rate: float
    burst: float
    tokens: float
    uncertain: dict[str, float]
    uncertain_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUnits:
    """Units of a placement, as in holdings.HeldUnits."""

    limit: shares.UnitLimit
    units: int
    target: int
    uncertain: dict[str, float]
    uncertain_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class GivenSession:
    """A session as it is handed over.

    Attributes:
        remaining_s: Rest of the lease, surely not longer on any clock.
    """

    host: models.HostId
    incarnation: sessions.Incarnation
    session: shares.SessionId
    version: int
    term: int
    remaining_s: float
    witnesses: tuple[GivenWitness, ...]
    rates: tuple[GivenRate, ...]
    units: tuple[GivenUnits, ...]


GIVEN_SESSION_ADAPTER: pydantic.TypeAdapter[GivenSession] = (
    pydantic.TypeAdapter(GivenSession)
)


def encode(given: GivenSession) -> bytes:
    """Returns a session as compressed JSON."""
    return zlib.compress(GIVEN_SESSION_ADAPTER.dump_json(given))


def decode(content: bytes) -> GivenSession:
    """Returns a session; raises PeerMalformed."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise exceptions.PeerMalformed("session too long")
        return GIVEN_SESSION_ADAPTER.validate_json(document)
    except (zlib.error, ValueError) as error:
        raise exceptions.PeerMalformed("bad session") from error


def is_idle(holder: leases.ShareHolder) -> bool:
    """Returns whether no request at work holds units or bytes."""
    for held in holder.held.values():
        if isinstance(held, holdings.HeldUnits) and held.in_use:
            return False
        if isinstance(held, holdings.HeldRate) and held.bucket.reserved:
            return False
    return True


def freeze(holder: leases.ShareHolder, now_s: float) -> None:
    """Ends all use of a holder; a transaction under way may take effect."""
    holder.on_answer_lost(now_s)
    holder.phase = leases.Phase.GIVEN
    holder.valid_until_s = -math.inf


def export_session(holder: leases.ShareHolder, now_s: float) -> GivenSession:
    """Returns a frozen holder's session as it is now."""
    witnesses = []
    for witness in holder.witness_tracker.named:
        acked_s = holder.witness_tracker.acked_s.get(witness)
        age_s = (
            None if acked_s is None else (now_s - acked_s) * DRIFT_UPPER_FACTOR
        )
        waived = witness in holder.witness_tracker.waived
        witnesses.append(GivenWitness(witness, age_s, waived))
    rates: list[GivenRate] = []
    units: list[GivenUnits] = []
    for key, held in holder.held.items():
        # What is left out is free for others when the session row is gone.
        if key in holder.retiring or len(rates) + len(units) >= MAX_HOLDINGS:
            continue
        if isinstance(held, holdings.HeldUnits):
            if held.units or held.uncertain:
                units.append(_export_units(held))
            continue
        if held.bucket.burst or held.uncertain:
            rates.append(_export_rate(held, now_s))
    return GivenSession(
        holder.host,
        holder.incarnation,
        holder.session,
        holder.session_version,
        holder.witness_tracker.term,
        max(0.0, (holder.lease_end_s - now_s) * holdings.DRIFT_LOWER_FACTOR),
        tuple(witnesses),
        tuple(rates),
        tuple(units),
    )


def _export_rate(held: holdings.HeldRate, now_s: float) -> GivenRate:
    held.bucket.refill(now_s)
    return GivenRate(
        held.limit,
        held.bucket.rate,
        held.bucket.burst,
        held.bucket.tokens,
        held.uncertain,
        held.uncertain_version,
    )


def _export_units(held: holdings.HeldUnits) -> GivenUnits:
    return GivenUnits(
        held.limit,
        held.units,
        held.target,
        held.uncertain,
        held.uncertain_version,
    )


class AdoptedHolder(leases.ShareHolder):
    """Spends a session that a peer gave, and returns it when it can."""

    def __init__(
        self,
        given: GivenSession,
        rng: random.Random,
        opened_s: float,
        now_s: float,
    ):
        """Takes the session over.

        Args:
            given: The session.
            rng: Source of the jitter of its requests.
            opened_s: The durations count from this time on.
            now_s: Monotonic time; tokens refill from now on.
        """
        super().__init__(given.host, given.incarnation, rng)
        # The giver waived its witness's right to close sessions.
        self.witness.waive()
        self.session = given.session
        self.session_version = given.version
        self.witness_tracker.term = given.term
        self.lease_end_s = opened_s + given.remaining_s
        for one in given.witnesses:
            self.witness_tracker.named.add(one.witness)
            if one.waived:
                self.witness_tracker.waived.add(one.witness)
            if one.acked_age_s is not None:
                self.witness_tracker.acked_s[one.witness] = (
                    opened_s - one.acked_age_s
                )
        for rate in given.rates:
            self.held[rate.limit.key] = holdings.HeldRate(
                rate.limit,
                buckets.TokenBucket(rate.rate, rate.burst, rate.tokens, now_s),
                uncertain=dict(rate.uncertain),
                uncertain_version=rate.uncertain_version,
            )
        for unit in given.units:
            self.held[unit.limit.key] = holdings.HeldUnits(
                unit.limit,
                unit.units,
                unit.target,
                uncertain=dict(unit.uncertain),
                uncertain_version=unit.uncertain_version,
            )
        self.next_request_s = now_s
        self.initializing = False
        self.rebuild_index()
        self._update_validity()

    initializing = True

    def _open_session(self) -> None:
        """Ends the holder with its session, which has no successor."""
        if self.initializing:
            super()._open_session()
            return
        self.phase = leases.Phase.RETURNED
        self.valid_until_s = -math.inf

    def on_page(self, now_s: float, page: models.TablePage) -> None:
        """Takes the answer to a read; the shares can now be returned."""
        super().on_page(now_s, page)
        if self.phase is leases.Phase.HOLDING:
            self.release_all(now_s)


class AdoptedSessions:
    """The sessions that one host has taken over.

    Attributes:
        own_holder: The host's own holder, which lists the others.
        taken: Sessions ever taken, the latest ones last.
    """

    def __init__(self, own_holder: leases.ShareHolder):
        """Starts without any."""
        self.own_holder = own_holder
        self.taken_ids: dict[shares.SessionId, None] = {}

    def open(self, now_s: float) -> HandoverOpening:
        """Returns what a giver must repeat."""
        return HandoverOpening(self.own_holder.incarnation, now_s)

    def accept(
        self, now_s: float, opening: HandoverOpening, content: bytes
    ) -> bool:
        """Takes a session over, once; returns whether it was ever taken.

        Raises:
            PeerMalformed: The content is not a session.
        """
        if opening.incarnation != self.own_holder.incarnation:
            return False
        given = decode(content)
        if given.session in self.taken_ids:
            return True
        if self.own_holder.phase is not leases.Phase.HOLDING:
            return False
        if (
            opening.opened_s > now_s
            or len(self.own_holder.adopted) >= MAX_ADOPTED_SESSIONS
        ):
            return False
        if len(self.taken_ids) >= MAX_TAKEN_SESSIONS:
            return False
        self.taken_ids[given.session] = None
        self.own_holder.adopted.append(
            AdoptedHolder(given, self.own_holder.rng, opening.opened_s, now_s)
        )
        return True

    def remove_returned(self) -> None:
        """Drops the sessions that were returned or have ended."""
        self.own_holder.adopted[:] = [
            holder
            for holder in self.own_holder.adopted
            if holder.phase is not leases.Phase.RETURNED
        ]


class HandoverState(enum.Enum):
    """What is known of a session that a host gives away."""

    KEPT = "kept"
    MAYBE_TAKEN = "maybe_taken"
    TAKEN = "taken"


class OutgoingHandover:
    """Gives one session away.

    Attributes:
        holder: Its holder, which is returning it.
        state: What is known.
        first: Only one message was sent.
        receiver: The process that may have taken it.
    """

    def __init__(self, holder: leases.ShareHolder):
        """Starts with the session kept."""
        self.holder = holder
        self.state = HandoverState.KEPT
        self.receiver: tuple[models.HostId, sessions.Incarnation] | None = None
        self.is_first_message = True

    def can_send(self, now_s: float) -> bool:
        """Returns whether there is something that may be given now."""
        holder = self.holder
        if self.state is HandoverState.MAYBE_TAKEN:
            return True
        return (
            holder.phase is leases.Phase.RETURNING
            and holder.session_version > 0
            and holder.lease_end_s > now_s
            and is_idle(holder)
        )

    def ranked_receivers(
        self, peers: Sequence[models.ListedHost], region: models.RegionId
    ) -> list[models.ListedHost]:
        """Returns the peers to ask in turn, best first.

        Shares of links serve hosts of their own region only; a holder that
        is its own witness would be missed only when its lease has ended.
        """
        if self.receiver is not None:
            return [peer for peer in peers if peer.host == self.receiver[0]]
        witnesses = {
            witness.host for witness in self.holder.witness_tracker.named
        }
        return sorted(
            peers,
            key=lambda peer: (peer.region != region, peer.host in witnesses),
        )

    def prepare_message(
        self, now_s: float, host: models.HostId, opening: HandoverOpening
    ) -> bytes | None:
        """Returns the message to send, from which on it may be taken.

        None when this process must not be asked, or the session is too long.
        """
        receiver = (host, opening.incarnation)
        if self.receiver not in (None, receiver):
            return None
        if self.receiver is None:
            if not self.can_send(now_s):
                return None
            freeze(self.holder, now_s)
        content = encode(export_session(self.holder, now_s))
        if len(content) > MAX_CONTENT_BYTES:
            if self.receiver is None:
                self._resume()
            return None
        self.is_first_message = self.receiver is None
        self.receiver = receiver
        self.state = HandoverState.MAYBE_TAKEN
        return content

    def on_answer(self, taken: bool) -> None:
        """Takes the receiver's answer to the last message."""
        if taken:
            self.state = HandoverState.TAKEN
        elif self.is_first_message:
            # No message is under way, and the only one was refused.
            self.receiver = None
            self.state = HandoverState.KEPT
            self._resume()

    def _resume(self) -> None:
        self.holder.phase = leases.Phase.RETURNING

"""Handover of a session from a stopping host to a peer; performs no I/O.

A host that stops while the table service is down can't return its shares. It
hands its session over to one peer, which uses the shares until the service is
back and then returns them. At most one process uses a session: the sender
stops using it before the message is sent, and after a lost response it retries
with the same process only.

The receiver first states the time of its own clock. The message repeats this
time and contains durations, which the receiver counts from that time on.
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

# Maximum number of adopted sessions at a time, and since the process started.
MAX_ADOPTED_SESSIONS = 16
MAX_TAKEN_SESSIONS = 4096
# Maximum number of shares in a handover; the others become free for all hosts.
MAX_HOLDINGS = 2000
# Maximum size of a handover when compressed and decompressed, in bytes.
MAX_CONTENT_BYTES = 200_000
MAX_DECOMPRESSED_BYTES = 4_000_000
DRIFT_UPPER_FACTOR = 1 + 2 * sessions.CLOCK_DRIFT
"""Factor by which a duration is extended to allow for clock drift.

A duration measured on a slow clock and scaled by it is not shorter than the
same duration on a fast clock.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverOpening:
    """Response of a peer that is asked to receive a session.

    Attributes:
        incarnation: Incarnation of the receiver's process.
        opened_s: The receiver's monotonic time in seconds.
    """

    incarnation: sessions.Incarnation
    opened_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GivenWitness:
    """A witness that the session row names or may name.

    Attributes:
        witness: The witness.
        acked_age_s: Seconds since the last heartbeat that it acknowledged was
            sent; None if it acknowledged none.
        waived: The witness waived its right to close the session.
    """

    witness: sessions.WitnessId
    acked_age_s: float | None
    waived: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GivenRate:
    """Part of a rate limit; fields as in holdings.HeldRate and its bucket."""

    limit: shares.RateLimit
    rate: float
    burst: float
    tokens: float
    uncertain: dict[str, float]
    uncertain_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUnits:
    """Units of a placement; fields as in holdings.HeldUnits."""

    limit: shares.UnitLimit
    units: int
    target: int
    uncertain: dict[str, float]
    uncertain_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class GivenSession:
    """Message that hands a session over.

    Attributes:
        host: Host that opened the session.
        incarnation: Incarnation of the process that opened the session.
        session: Id of the session.
        version: Version of the session row.
        term: Highest term that a witness was chosen under.
        remaining_s: Remaining seconds of the lease, reduced so that it is not
            exceeded on any clock.
        witnesses: Witnesses that the session row names or may name.
        rates: Held parts of rate limits.
        units: Held units of placements.
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
    """Encodes a session as compressed JSON."""
    return zlib.compress(GIVEN_SESSION_ADAPTER.dump_json(given))


def decode(content: bytes) -> GivenSession:
    """Decodes a session from compressed JSON.

    Raises:
        PeerMalformed: The content is not a session, or is longer than
            MAX_DECOMPRESSED_BYTES when decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise exceptions.PeerMalformed("session is too large or truncated")
        return GIVEN_SESSION_ADAPTER.validate_json(document)
    except (zlib.error, ValueError) as error:
        raise exceptions.PeerMalformed("session is not valid") from error


def is_idle(holder: leases.ShareHolder) -> bool:
    """Returns whether no running request holds units or reserved bytes."""
    for held in holder.held.values():
        if isinstance(held, holdings.HeldUnits) and held.in_use:
            return False
        if isinstance(held, holdings.HeldRate) and held.bucket.reserved:
            return False
    return True


def freeze(holder: leases.ShareHolder, now_s: float) -> None:
    """Ends all use of a holder's shares.

    A transaction in flight may still take effect.
    """
    holder.on_answer_lost(now_s)
    holder.phase = leases.Phase.GIVEN
    holder.valid_until_s = -math.inf


def export_session(holder: leases.ShareHolder, now_s: float) -> GivenSession:
    """Returns the session of a frozen holder, with durations from now on."""
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
        # Omitted shares become free for others once the session row is
        # deleted.
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
    """Uses a session received from a peer, until it can return its shares."""

    def __init__(
        self,
        given: GivenSession,
        rng: random.Random,
        opened_s: float,
        now_s: float,
    ):
        """Creates a holder of a received session.

        Args:
            given: The session.
            rng: Random number generator for the jitter of its requests.
            opened_s: Monotonic time from which the message's durations count.
            now_s: Monotonic time; tokens refill from now on.
        """
        super().__init__(given.host, given.incarnation, rng)
        # The sender, as a witness, waived its right to close sessions.
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
        """Ends the holder, since an adopted session is not replaced."""
        if self.initializing:
            super()._open_session()
            return
        self.phase = leases.Phase.RETURNED
        self.valid_until_s = -math.inf

    def on_page(self, now_s: float, page: models.TablePage) -> None:
        """Handles the response to a read, and starts returning the shares."""
        super().on_page(now_s, page)
        if self.phase is leases.Phase.HOLDING:
            self.release_all(now_s)


class AdoptedSessions:
    """The sessions that one host has received from others.

    Attributes:
        own_holder: The host's own holder, which lists those of the others.
        taken_ids: Ids of all sessions ever received, the latest last.
    """

    def __init__(self, own_holder: leases.ShareHolder):
        """Creates an empty collection."""
        self.own_holder = own_holder
        self.taken_ids: dict[shares.SessionId, None] = {}

    def open(self, now_s: float) -> HandoverOpening:
        """Returns the opening that a sender must repeat in its message."""
        return HandoverOpening(self.own_holder.incarnation, now_s)

    def accept(
        self, now_s: float, opening: HandoverOpening, content: bytes
    ) -> bool:
        """Receives a session unless this host can't; repeats have no effect.

        Args:
            now_s: Monotonic time in seconds.
            opening: Opening that the sender repeats.
            content: The encoded session.

        Returns:
            Whether this process received the session, now or earlier.

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
        """Removes the sessions that were returned or have ended."""
        self.own_holder.adopted[:] = [
            holder
            for holder in self.own_holder.adopted
            if holder.phase is not leases.Phase.RETURNED
        ]


class HandoverState(enum.Enum):
    """State of a handover, as known to the sender.

    Attributes:
        KEPT: No receiver has the session.
        MAYBE_TAKEN: A message was sent; the receiver may have the session.
        TAKEN: The receiver has confirmed that it has the session.
    """

    KEPT = "kept"
    MAYBE_TAKEN = "maybe_taken"
    TAKEN = "taken"


class OutgoingHandover:
    """Handover of one session to a peer, on the sender's side.

    Attributes:
        holder: Holder of the session, which is returning its shares.
        state: State of the handover.
        is_first_message: The last message prepared was the first for its
            receiver.
        receiver: Host and incarnation that may have received the session.
    """

    def __init__(self, holder: leases.ShareHolder):
        """Creates a handover that has not started."""
        self.holder = holder
        self.state = HandoverState.KEPT
        self.receiver: tuple[models.HostId, sessions.Incarnation] | None = None
        self.is_first_message = True

    def can_send(self, now_s: float) -> bool:
        """Returns whether the session may be sent, or sent again, now."""
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
        """Returns the peers to try in turn, best first.

        Peers of the same region come first, because shares of links can be
        used there only. Within a region, witnesses of the session come last:
        if a witness held the session itself and died, the session would end
        only when its lease expires. Once the session may have been received,
        only the receiver is returned.
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
        """Returns the message to send and marks the session as maybe taken.

        Args:
            now_s: Monotonic time in seconds.
            host: The receiver.
            opening: The receiver's opening.

        Returns:
            The message, or None if the session must not be sent to this
            process, can't be sent now, or exceeds MAX_CONTENT_BYTES.
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
        """Handles the receiver's response to the last message.

        Args:
            taken: Whether the receiver has received the session.
        """
        if taken:
            self.state = HandoverState.TAKEN
        elif self.is_first_message:
            # The only message was refused, and none is in flight.
            self.receiver = None
            self.state = HandoverState.KEPT
            self._resume()

    def _resume(self) -> None:
        self.holder.phase = leases.Phase.RETURNING

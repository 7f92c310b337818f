"""Heartbeats between a session and its witness; performs no I/O.

The witness is a peer that must have acknowledged a heartbeat recently for the
session's shares to be used. The session row names it. While the named witness
does not respond, another peer is tried as a candidate.
"""

from collections.abc import Sequence
import enum
import math
import random

from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares

# Heartbeats remembered for a late acknowledgement; those of older heartbeats
# are ignored.
MAX_UNANSWERED_HEARTBEATS = 64


class AcknowledgementResult(enum.Enum):
    """Effect of an acknowledgement on the session.

    Attributes:
        NONE: Nothing to do.
        NEW_WITNESS: A host that the row does not name has acknowledged.
        SESSION_ENDED: A named witness considers the session ended.
    """

    NONE = "none"
    NEW_WITNESS = "new_witness"
    SESSION_ENDED = "session_ended"


class WitnessTracker:
    """Tracks the witnesses of one session.

    Attributes:
        named: Witnesses that the session row names, or may name.
        waived: Witnesses that waived their right to end the session.
        acked_s: Time at which the last acknowledged heartbeat was sent, by
            witness.
        candidate: Peer tried as the next witness; empty before the first.
        candidate_active_s: Time at which the candidate was chosen or last
            acknowledged a heartbeat.
        term: Term of the candidate, which distinguishes its responses from
            those of earlier candidates.
        sequence: Sequence number of the last heartbeats.
        sent_s: Time at which heartbeats were sent, by sequence number.
        next_heartbeat_s: Time at which the next heartbeats are due.
    """

    def __init__(self, rng: random.Random, peers: Sequence[models.HostId]):
        """Creates a tracker without a witness.

        Args:
            rng: Random number generator for the choice of candidates.
            peers: Hosts that may become the witness.
        """
        self.rng = rng
        self.peers = tuple(peers)
        self.named: set[sessions.WitnessId] = set()
        self.waived: set[sessions.WitnessId] = set()
        self.acked_s: dict[sessions.WitnessId, float] = {}
        self.candidate = models.HostId("")
        self.candidate_active_s = -math.inf
        self.term = 0
        self.sequence = 0
        self.sent_s: dict[int, float] = {}
        self.next_heartbeat_s = 0.0

    def valid_until_s(self) -> float:
        """Returns until when the witnesses permit the use of shares."""
        until_s = math.inf
        for witness in self.named - self.waived:
            acked_s = self.acked_s.get(witness, -math.inf)
            until_s = min(until_s, acked_s + sessions.WITNESS_TIMEOUT_S)
        return until_s

    def next_witness(self, now_s: float) -> sessions.WitnessId | None:
        """Returns the witness that the session row should name.

        Only a host that has recently acknowledged a heartbeat is named, so
        that naming it does not interrupt the use of shares.
        """
        named = [one for one in self.named if self._is_responsive(now_s, one)]
        if named:
            return named[0]
        for witness in self.acked_s:
            if witness.host != self.candidate or witness.term != self.term:
                continue
            if self._is_responsive(now_s, witness):
                return witness
        return None

    def heartbeats(
        self, now_s: float, session: shares.SessionId
    ) -> tuple[tuple[models.HostId, sessions.Heartbeat], ...]:
        """Returns the heartbeats to send now, with their recipients."""
        if now_s < self.next_heartbeat_s:
            return ()
        self.next_heartbeat_s = now_s + sessions.HEARTBEAT_INTERVAL_S
        terms = {
            (witness.host, witness.term) for witness in self.named - self.waived
        }
        if self.peers and not self._has_responsive_witness(now_s):
            self._choose_candidate(now_s)
            terms.add((self.candidate, self.term))
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        self.sent_s.pop(self.sequence - MAX_UNANSWERED_HEARTBEATS, None)
        return tuple(
            (host, sessions.Heartbeat(session, term, self.sequence))
            for host, term in sorted(terms)
        )

    def on_acknowledgement(
        self, now_s: float, answer: sessions.Acknowledgement
    ) -> AcknowledgementResult:
        """Handles a witness's acknowledgement, which may come late."""
        sent_s = self.sent_s.get(answer.sequence)
        if sent_s is None:
            return AcknowledgementResult.NONE
        if not answer.accepted:
            return self._on_refusal(answer.witness)
        last_s = self.acked_s.get(answer.witness, -math.inf)
        self.acked_s[answer.witness] = max(last_s, sent_s)
        if answer.witness.term == self.term:
            self.candidate_active_s = now_s
        if answer.waived:
            self.waived.add(answer.witness)
        if answer.witness not in self.named:
            return AcknowledgementResult.NEW_WITNESS
        return AcknowledgementResult.NONE

    def _on_refusal(self, witness: sessions.WitnessId) -> AcknowledgementResult:
        """Handles a refusal, which ends the session if the witness is named.

        A witness that has waived its right can't end the session.
        """
        self.acked_s.pop(witness, None)
        if witness in self.named and witness not in self.waived:
            return AcknowledgementResult.SESSION_ENDED
        return AcknowledgementResult.NONE

    def _is_responsive(self, now_s: float, witness: sessions.WitnessId) -> bool:
        """Returns whether a witness responds and has not waived its right."""
        if witness in self.waived:
            return False
        acked_s = self.acked_s.get(witness, -math.inf)
        return acked_s >= now_s - sessions.WITNESS_SUSPECT_AFTER_S

    def _has_responsive_witness(self, now_s: float) -> bool:
        """Returns whether the only named witness responds."""
        return len(self.named) == 1 and all(
            self._is_responsive(now_s, witness) for witness in self.named
        )

    def _choose_candidate(self, now_s: float) -> None:
        """Replaces the candidate when it does not respond or is not a peer.

        The new one is neither a named witness nor the previous candidate, if
        there are other peers.
        """
        stale = (
            now_s > self.candidate_active_s + sessions.WITNESS_SUSPECT_AFTER_S
        )
        if not stale and self.candidate in self.peers:
            return
        avoided = {witness.host for witness in self.named}
        avoided.add(self.candidate)
        choices = [host for host in self.peers if host not in avoided]
        self.candidate = self.rng.choice(choices or self.peers)
        self.candidate_active_s = now_s
        self.term += 1

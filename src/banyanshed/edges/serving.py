"""Serves a request in a pool thread: admit, claim, place, send, record."""

import time
from typing import Protocol

from banyanshed.core import claims
from banyanshed.core import events
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import bridge as bridges
from banyanshed.edges import web


class Sender(Protocol):
    """Transport to backend servers."""

    def send(
        self,
        request: requests.CallerRequest,
        target: requests.Target,
        tenant: models.TenantId | None,
        time_left_s: float,
        *,
        answer_bytes: int,
    ) -> requests.Answer | requests.AttemptFailure:
        """Sends a request once, without retries."""


class ClaimLedger(Protocol):
    """Ledger of requests that carry an idempotency key."""

    def claim(
        self,
        tenant: models.TenantId | None,
        request: requests.CallerRequest,
        time_left_s: float,
    ) -> claims.Claim | requests.Answer | models.Refusal:
        """Reserves a request, or returns its recorded result or a refusal."""

    def record(self, claim: claims.Claim, answer: requests.Answer) -> None:
        """Records the response for repeated requests."""

    def release(self, claim: claims.Claim) -> None:
        """Releases the claim of a request that certainly did not run."""


class RequestServer:
    """Passes requests through the core, the ledger and the transport."""

    def __init__(
        self, bridge: bridges.LoopBridge, sender: Sender, ledger: ClaimLedger
    ):
        """Creates a server from the core's bridge, a transport and a ledger."""
        self.bridge = bridge
        self.sender = sender
        self.ledger = ledger

    def serve(
        self, request: requests.CallerRequest, arrived_s: float
    ) -> requests.Answer | models.Refusal:
        """Returns the final response to a request, or a refusal."""
        needs_claim = (
            request.idempotency_key is not None
            and request.method not in web.SAFE_METHODS
        )
        decision = self.bridge.request_decision(
            lambda reply: events.RequestArrived(
                request, arrived_s, not needs_claim, reply
            )
        )
        if isinstance(decision, models.Refusal):
            return decision
        if isinstance(decision, events.Admitted):
            return self._serve_claimed(request, decision)
        return self._attempt(request, decision)

    def _serve_claimed(
        self, request: requests.CallerRequest, admitted: events.Admitted
    ) -> requests.Answer | models.Refusal:
        ended = events.RequestEnded(admitted.ticket)
        time_left_s = admitted.deadline_at_s - time.monotonic()
        try:
            claim = self.ledger.claim(admitted.tenant, request, time_left_s)
        except BaseException:
            self.bridge.post_event(ended)
            raise
        if isinstance(claim, requests.Answer | models.Refusal):
            self.bridge.post_event(ended)
            return claim
        decision = self.bridge.request_decision(
            lambda reply: events.PlacementRequested(admitted.ticket, reply)
        )
        result = self._run_claimed(request, claim, decision)
        self._finish_claim(claim, result)
        return result

    def _run_claimed(
        self,
        request: requests.CallerRequest,
        claim: claims.Claim,
        decision: events.Decision,
    ) -> requests.Answer | models.Refusal:
        """Sends a claimed request if it was placed in time."""
        if isinstance(decision, events.Placed):
            if claims.may_send(claim, time.monotonic()):
                return self._attempt(request, decision)
            failure = requests.AttemptFailure(models.Ran.NO, "deadline")
            decision = self._report_failed_attempt(decision, failure)
        assert isinstance(decision, models.Refusal)
        return decision

    def _finish_claim(
        self, claim: claims.Claim, result: requests.Answer | models.Refusal
    ) -> None:
        if isinstance(result, requests.Answer):
            self.ledger.record(claim, result)
            return
        if result.ran is models.Ran.NO:
            self.ledger.release(claim)

    def _attempt(
        self, request: requests.CallerRequest, placed: events.Placed
    ) -> requests.Answer | models.Refusal:
        while True:
            outcome = self._send(request, placed)
            if isinstance(outcome, requests.Answer):
                self.bridge.post_event(
                    events.AttemptEnded(placed.admitted.ticket, outcome, None)
                )
                return outcome
            decision = self._report_failed_attempt(placed, outcome)
            if isinstance(decision, events.Placed):
                placed = decision
                continue
            assert isinstance(decision, models.Refusal)
            return decision

    def _report_failed_attempt(
        self, placed: events.Placed, failure: requests.AttemptFailure
    ) -> events.Decision:
        return self.bridge.request_decision(
            lambda reply: events.AttemptEnded(
                placed.admitted.ticket, failure, reply
            )
        )

    def _send(
        self, request: requests.CallerRequest, placed: events.Placed
    ) -> requests.Answer | requests.AttemptFailure:
        admitted = placed.admitted
        # A paused thread must not send after its lease expired.
        now_s = time.monotonic()
        if now_s >= placed.valid_until_s:
            return requests.AttemptFailure(models.Ran.NO, events.LAPSED_CODE)
        try:
            return self.sender.send(
                request,
                placed.target,
                admitted.tenant,
                admitted.deadline_at_s - now_s,
                answer_bytes=admitted.answer_bytes,
            )
        except Exception:  # The core must release the unit.
            return requests.AttemptFailure(
                models.Ran.UNKNOWN, "transport_failed"
            )

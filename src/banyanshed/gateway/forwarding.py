"""Forwards callers' requests to backend servers, with retries."""

import asyncio
import contextlib
import math
from typing import Any

from banyanshed.gateway import clients
from banyanshed.gateway import conversion
from banyanshed.gateway import crashes
from banyanshed.gateway import lifecycles
from banyanshed.gateway import limits as limits_lib
from banyanshed.gateway import logs
from banyanshed.gateway import messages
from banyanshed.gateway import metrics
from banyanshed.gateway import peer_forwarding
from banyanshed.gateway import pools
from banyanshed.gateway import progress as progress_lib
from banyanshed.platform import headers as header_names
from banyanshed.steering import budgets
from banyanshed.steering import health
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import placement
from banyanshed.steering import reachability as reachability_lib
from banyanshed.steering import routing

# Minimum remaining time for an attempt to be started.
MIN_ATTEMPT_S = 0.02
# Time after the route's timeout in which a response that the server sent before
# the timeout may still arrive.
ANSWER_GRACE_S = 0.15
MAX_CONNECT_FAILURES = 4
# Retry-After of a host that is stopping: the other hosts may serve at once.
STOPPING_RETRY_AFTER_S = 0.0
STOPPING = "stopping"
_ANSWERED = frozenset({conversion.Verdict.FINAL, conversion.Verdict.FAILED})
# Responses whose headers tell nothing of the chosen server.
_UNTRUSTED = frozenset(
    {conversion.Verdict.MISDIRECTED, conversion.Verdict.UNSIGNED}
)
_RESULTS = {
    progress_lib.Ending.ANSWERED: peer_forwarding.Result.ANSWERED,
    progress_lib.Ending.REJECTED: peer_forwarding.Result.NOT_RUN,
}


class Forwarder:
    """Forwards requests to the backend servers that the host chooses.

    All times are in seconds of the event loop's clock.

    Attributes:
        serving: Tasks that serve requests of callers and peers.
        ends_at: When the host ends; what would take longer is not sent.
        admits_requests: Whether new requests of callers and peers are served.
    """

    def __init__(
        self,
        router: routing.Router,
        placing: placement.Placement,
        retries: budgets.RetryBudget,
        connection_pools: pools.ConnectionPools,
        counters: metrics.Metrics,
        limits: limits_lib.LimitTracker,
        lifecycle_tracker: lifecycles.LifecycleTracker,
        crash_detector: crashes.CrashDetector,
        reachability: reachability_lib.Reachability,
        peer_forwarder: peer_forwarding.PeerForwarder,
    ):
        """Initializes the forwarder.

        Args:
            router: Finds the route, the service and the customer.
            placing: Chooses the backend server.
            retries: Budget of retries.
            connection_pools: Connections to backend servers.
            counters: Metrics to update.
            limits: Learns the limits that backend servers name.
            lifecycle_tracker: Learns which servers leave or are cold.
            crash_detector: Examines requests that were lost.
            reachability: Whether the host reaches any server.
            peer_forwarder: Passes requests on to peers if it does not.
        """
        self.router = router
        self.placing = placing
        self.health = placing.health
        self.retries = retries
        self.connection_pools = connection_pools
        self.counters = counters
        self.limits = limits
        self.lifecycles = lifecycle_tracker
        self.crashes = crash_detector
        self.reachability = reachability
        self.peer_forwarder = peer_forwarder
        self.serving: set[asyncio.Task[Any]] = set()
        self.ends_at = math.inf
        self.admits_requests = True
        self.is_ending = False
        self.loop = asyncio.get_running_loop()

    def end_requests(self) -> None:
        """Ends all requests at once; each gets a final response."""
        self.is_ending = True
        for task in self.serving:
            task.cancel()

    async def serve(self, request: messages.Request) -> messages.Response:
        """Returns the response to a caller; errors become a 502 response."""
        return await self._run(progress_lib.Progress(request))

    async def serve_for_peer(
        self, request: messages.Request
    ) -> messages.Response:
        """Returns the response to a peer that passed a caller's request on."""
        attempts = peer_forwarding.read_attempts(request)
        request = peer_forwarding.strip_attempts(request)
        result = peer_forwarding.Result.UNAVAILABLE
        response = messages.Response(503)
        # A host that is cut off, too, does not pass it on once more.
        is_able = self.admits_requests and not self.reachability.is_cut
        if attempts and is_able:
            progress = progress_lib.Progress(
                request, attempts_left_by_peer=attempts
            )
            response = await self._run(progress)
            assert progress.ending is not None
            result = _RESULTS.get(
                progress.ending, peer_forwarding.Result.FAILED
            )
            if (
                progress.plan is None
                and result is peer_forwarding.Result.NOT_RUN
            ):
                # This host may know an older configuration.
                result = peer_forwarding.Result.UNAVAILABLE
        return peer_forwarding.response_to_peer(request, result, response)

    async def _run(self, progress: progress_lib.Progress) -> messages.Response:
        task = asyncio.current_task()
        assert task is not None
        self.serving.add(task)
        try:
            response = await self._serve(progress)
        except asyncio.CancelledError:
            if self.is_ending:
                task.uncancel()
                return self._respond_to_stop(progress)
            self._record_end(progress, progress_lib.Ending.CLIENT_LEFT, 0)
            raise
        except Exception as error:  # pylint: disable=broad-except
            progress.reason = f"{type(error).__name__}: {error}"
            self._record_end(progress, progress_lib.Ending.BROKEN, 502)
            return messages.Response(502)
        finally:
            self.serving.discard(task)
        return response

    def _respond_to_stop(
        self, progress: progress_lib.Progress
    ) -> messages.Response:
        """Returns the response to a request that the host no longer serves."""
        progress.reason = STOPPING
        if progress.may_have_run:
            self._record_end(progress, progress_lib.Ending.FAILED, 502)
            return messages.Response(502)
        self._record_end(progress, progress_lib.Ending.REJECTED, 503)
        return conversion.make_refusal(503, STOPPING_RETRY_AFTER_S)

    async def _serve(
        self, progress: progress_lib.Progress
    ) -> messages.Response:
        if not self.admits_requests:
            return self._respond_to_stop(progress)
        is_for_peer = progress.attempts_left_by_peer is not None
        plan = self.router.plan(
            conversion.read_query(progress.request), is_for_peer
        )
        if isinstance(plan, routing.Refusal):
            progress.reason = plan.reason.value
            progress.inputs = plan.inputs
            self._record_end(
                progress, progress_lib.Ending.REJECTED, plan.status
            )
            return conversion.make_refusal(plan.status, plan.retry_after_s)
        progress.plan = plan
        progress.fingerprint = crashes.compute_fingerprint(
            progress.request, plan
        )
        if self.crashes.is_refused(progress.fingerprint):
            progress.is_trial = await self.crashes.claim_trial(
                progress.fingerprint
            )
        if not is_for_peer:
            self.retries.record_request(plan.service, self.loop.time())
        while True:
            await self._wait_for_judgement(progress, plan)
            if self.reachability.is_cut:
                response = await self._serve_through_peer(progress, plan)
                if response is not None:
                    return response
            choice = self._next_server(progress, plan)
            if choice is None and self._is_doubtful(progress):
                response = await self._serve_through_peer(progress, plan)
                if response is not None:
                    return response
            if choice is None:
                return self._respond_to_failure(progress, plan)
            response = await self._attempt(progress, plan, choice)
            if response is not None:
                self._record_end(
                    progress, progress_lib.Ending.ANSWERED, response.status
                )
                return response

    async def _wait_for_judgement(
        self, progress: progress_lib.Progress, plan: routing.Plan
    ) -> None:
        """Waits while it is open whether the request crashes servers.

        A request that won't be sent again does not wait.
        """
        is_suspected = self.crashes.suspects.is_suspected(progress.fingerprint)
        if progress.examination is None and not is_suspected:
            return
        if progress.may_have_run and not plan.route.idempotent:
            return
        if progress.attempts_left(plan.route) <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(plan.expires_at):
                if progress.examination is not None:
                    await asyncio.shield(progress.examination)
                await self.crashes.wait_for_judgement(progress.fingerprint)

    def _is_stopped(self, progress: progress_lib.Progress) -> bool:
        """Returns whether the request may not be sent as it crashes servers."""
        if not self.crashes.is_refused(progress.fingerprint):
            return False
        if progress.is_trial and not progress.sent_count:
            return False
        progress.reason = crashes.REFUSED
        progress.retry_after_s = self.crashes.retry_after_s(
            progress.fingerprint
        )
        return True

    def _is_doubtful(self, progress: progress_lib.Progress) -> bool:
        """Returns whether this host's links may be why no server was found."""
        return self.reachability.is_suspected or progress.connect_failures > 0

    async def _serve_through_peer(
        self, progress: progress_lib.Progress, plan: routing.Plan
    ) -> messages.Response | None:
        """Passes a request on to peers; returns None if none could serve it."""
        while self._may_ask_peer(progress, plan):
            peer = self.peer_forwarder.choose_peer(plan, progress.asked_peers)
            if peer is None:
                return None
            if not self._try_spend_retry(progress, plan):
                return None
            progress.asked_peers.append(peer.host.id)
            answer = await self._ask_peer(progress, plan, peer)
            if answer is None:
                continue
            return self._respond_from_peer(progress, plan, answer)
        return None

    def _may_ask_peer(
        self, progress: progress_lib.Progress, plan: routing.Plan
    ) -> bool:
        if progress.attempts_left_by_peer is not None:
            return False
        if self._is_stopped(progress):
            return False
        if progress.may_have_run and not plan.route.idempotent:
            return False
        if progress.attempts_left(plan.route) <= 0:
            return False
        return plan.expires_at - self.loop.time() >= MIN_ATTEMPT_S

    async def _ask_peer(
        self,
        progress: progress_lib.Progress,
        plan: routing.Plan,
        peer: members.Member,
    ) -> peer_forwarding.PeerResponse | None:
        """Asks one peer; returns None if another one may be asked."""
        started_at = self.loop.time()
        outcome = health.Outcome.ABANDONED.value
        try:
            connection = await self.peer_forwarder.connect(plan, peer)
            progress.record_send()
            answer = await self.peer_forwarder.send(
                progress.request,
                plan,
                peer,
                connection,
                progress.attempts_left(plan.route),
            )
            outcome = answer.result.value
            if answer.result in peer_forwarding.NOT_RUN_RESULTS:
                progress.record_not_run()
            if answer.result is peer_forwarding.Result.UNAVAILABLE:
                return None
            return answer
        except clients.ConnectFailed:
            outcome = health.Outcome.UNREACHABLE.value
            return None
        except (clients.ResponseLost, TimeoutError) as error:
            outcome = health.Outcome.FAILURE.value
            progress.sent_count += 1
            progress.reason = str(error) or "timeout"
            return None
        finally:
            elapsed_ms = round((self.loop.time() - started_at) * 1000.0)
            progress.trace.append(
                (f"peer {peer.host.id}", outcome, elapsed_ms, 0.0, False)
            )

    def _respond_from_peer(
        self,
        progress: progress_lib.Progress,
        plan: routing.Plan,
        answer: peer_forwarding.PeerResponse,
    ) -> messages.Response:
        """Returns the response to a caller whose request a peer served."""
        response = answer.response
        if answer.result is peer_forwarding.Result.ANSWERED:
            self._record_end(
                progress, progress_lib.Ending.ANSWERED, response.status
            )
            return response
        if answer.result is peer_forwarding.Result.NOT_RUN:
            progress.reason = "rejected by a peer"
            progress.retry_after_s = conversion.read_retry_after_s(response)
            return self._respond_to_failure(progress, plan)
        progress.reason = "failed at a peer"
        response = conversion.failure_to_caller(response)
        self._record_end(progress, progress_lib.Ending.FAILED, response.status)
        return response

    def _next_server(
        self, progress: progress_lib.Progress, plan: routing.Plan
    ) -> placement.Choice | None:
        now = self.loop.time()
        if self._is_stopped(progress):
            return None
        if plan.expires_at - now < MIN_ATTEMPT_S:
            progress.reason = "timeout"
            return None
        if progress.connect_failures >= MAX_CONNECT_FAILURES:
            progress.reason = "unreachable"
            return None
        if progress.attempts_left(plan.route) <= 0:
            progress.reason = progress.reason or "attempts_used"
            return None
        if progress.may_have_run and not plan.route.idempotent:
            return None
        placement_request = placement.PlacementRequest(
            plan.route,
            plan.service,
            conversion.affinity_key(progress.request, plan.route),
            plan.home_regions,
            plan.priority,
            progress.tried,
            plan.expires_at - now,
        )
        choice = self.placing.choose(placement_request, now)
        self._log_ejections()
        if isinstance(choice, placement.Rejection):
            progress.reason = progress.reason or choice.reason
            progress.retry_after_s = choice.retry_after_s
            progress.inputs = choice.inputs
            return None
        if now + choice.expected_s > self.ends_at:
            # Another host can still see it through.
            progress.reason = progress.reason or STOPPING
            progress.retry_after_s = STOPPING_RETRY_AFTER_S
            progress.inputs = f"expected_ms={choice.expected_s * 1000:.0f}"
            return None
        if not self._try_spend_retry(progress, plan):
            return None
        progress.skipped.update(choice.skipped)
        return choice

    def _try_spend_retry(
        self, progress: progress_lib.Progress, plan: routing.Plan
    ) -> bool:
        """Takes an attempt after the first from the budget of retries."""
        if not progress.sent_count:
            return True
        if self.retries.try_spend(plan.service, self.loop.time()):
            return True
        progress.reason = f"{progress.reason}, no retry budget"
        return False

    def _log_ejections(self) -> None:
        for change in self.health.outliers.take_changes():
            if change.ejected:
                self.connection_pools.drop(change.server)
            logs.log_event(
                "server_ejected" if change.ejected else "server_readmitted",
                server=change.server,
                attempts=change.attempts,
                bad=change.bad,
                mean_share=change.mean_share,
                peers=change.peer_count,
            )

    async def _attempt(
        self,
        progress: progress_lib.Progress,
        plan: routing.Plan,
        choice: placement.Choice,
    ) -> messages.Response | None:
        """Sends the request to a server; returns only a final response."""
        entry = choice.server.registration
        progress.tried.append(entry.id)
        started_at = self.loop.time()
        number = self.health.start_attempt(
            entry.id, started_at, choice.expected_s
        )
        outcome = health.Outcome.ABANDONED
        try:
            connection = await self.connection_pools.acquire(
                entry, plan.route.idempotent, self.loop.time()
            )
            if not self._may_send(progress, choice, connection):
                return None
            progress.sent_count += 1
            progress.record_send()
            response = await self._exchange(progress, plan, entry, connection)
            self.reachability.record_answer(self.loop.time())
            verdict = conversion.classify(response)
            if verdict is conversion.Verdict.UNSIGNED:
                connection.abort()
            self.connection_pools.release(entry.id, connection)
            if verdict not in _UNTRUSTED:
                self._learn(progress, entry, response)
            outcome = self._assess_response(progress, entry, verdict, response)
            if verdict in _ANSWERED:
                self.crashes.record_answer(progress.fingerprint)
            if verdict is conversion.Verdict.FINAL:
                self._record_success(plan, choice, started_at)
                return conversion.response_to_caller(response)
        except clients.ConnectTimedOut:
            outcome = health.Outcome.CONNECT_TIMEOUT
            self.reachability.record_connect_failure(entry.id)
            progress.connect_failures += 1
            progress.reason = "connect_timeout"
        except clients.ConnectFailed:
            outcome = health.Outcome.UNREACHABLE
            self.reachability.record_connect_failure(entry.id)
            progress.connect_failures += 1
            progress.reason = "unreachable"
        except clients.ResponseLost as error:
            outcome = health.Outcome.FAILURE
            progress.reason = str(error)
            if isinstance(error, clients.ConnectionLost):
                progress.examination = self.crashes.examine(
                    progress.request, progress.fingerprint, plan, entry
                )
            elif self.crashes.is_refused(progress.fingerprint):
                # This host stopped it, so that it tells nothing of the server.
                outcome = health.Outcome.ABANDONED
        except TimeoutError:
            outcome = health.Outcome.TIMED_OUT
            progress.reason = "timeout"
        finally:
            self._record_outcome(plan, entry, number, outcome)
            elapsed_s = self.loop.time() - started_at
            progress.trace.append(
                (
                    entry.id,
                    outcome.value,
                    round(elapsed_s * 1000.0),
                    round(choice.load, 2),
                    choice.warm,
                )
            )
        return None

    def _learn(
        self,
        progress: progress_lib.Progress,
        server: models.Registration,
        response: messages.Response,
    ) -> None:
        """Learns what a server says of itself in a response."""
        now = self.loop.time()
        self.limits.observe_response(server, response.headers, now)
        request_id = progress.request.find(header_names.REQUEST_ID) or b""
        self.lifecycles.observe_response(server, response.headers, request_id)

    def _may_send(
        self,
        progress: progress_lib.Progress,
        choice: placement.Choice,
        connection: clients.Connection,
    ) -> bool:
        """Returns whether the server may still get the request.

        It may have left, or named a limit, while the connection was opened.
        """
        server = choice.server
        if self._is_stopped(progress):
            self.connection_pools.release(server.registration.id, connection)
            return False
        if not self.placing.view.accepts_requests(server):
            connection.abort()
            progress.reason = "server_left"
            return False
        if not self.placing.may_send(choice, self.loop.time()):
            self.connection_pools.release(server.registration.id, connection)
            progress.reason = "server_limited"
            return False
        return True

    def _record_success(
        self, plan: routing.Plan, choice: placement.Choice, started_at: float
    ) -> None:
        now = self.loop.time()
        self.placing.warmth.record_answer(
            plan.route,
            choice.pair,
            choice.load < placement.FULL_LOAD,
            now - started_at,
            now,
        )

    async def _exchange(
        self,
        progress: progress_lib.Progress,
        plan: routing.Plan,
        server: models.Registration,
        connection: clients.Connection,
    ) -> messages.Response:
        remaining_s = plan.expires_at - self.loop.time()
        request = conversion.request_to_server(
            progress.request, plan, server, remaining_s
        )
        expires_at = plan.expires_at + ANSWER_GRACE_S
        with self.crashes.track(progress.fingerprint, connection):
            async with asyncio.timeout_at(expires_at):
                return await connection.send(request, header_names.REQUEST_ID)

    def _assess_response(
        self,
        progress: progress_lib.Progress,
        server: models.Registration,
        verdict: conversion.Verdict,
        response: messages.Response,
    ) -> health.Outcome:
        """Updates the progress and returns the outcome of the attempt."""
        if verdict is conversion.Verdict.FINAL:
            return health.Outcome.SUCCESS
        progress.reason = f"{verdict.value} {response.status}"
        if verdict is conversion.Verdict.FAILED:
            progress.failure = response
            return health.Outcome.FAILURE
        if verdict is conversion.Verdict.UNSIGNED:
            return health.Outcome.FAILURE
        progress.record_not_run()
        if verdict is conversion.Verdict.MISDIRECTED:
            self.connection_pools.drop(server.id)
            return health.Outcome.UNREACHABLE
        value = response.find(header_names.SERVER_LOAD)
        load = header_names.decode_load(value) if value is not None else None
        if load is not None and load.running < load.slots:
            return health.Outcome.FAILURE
        return health.Outcome.REJECTED

    def _record_outcome(
        self,
        plan: routing.Plan,
        server: models.Registration,
        number: int,
        outcome: health.Outcome,
    ) -> None:
        avoided = self.health.finish_attempt(
            server.id, plan.service, number, outcome, self.loop.time()
        )
        self.counters.count_attempt(plan.service, outcome)
        if avoided:
            self.connection_pools.drop(server.id)
            self.lifecycles.record_refusal(server)
            logs.log_event(
                "server_unreachable",
                server=server.id,
                service=plan.service,
                outcome=outcome.value,
            )

    def _respond_to_failure(
        self, progress: progress_lib.Progress, plan: routing.Plan
    ) -> messages.Response:
        """Returns the response to a request that no server answered."""
        if not progress.may_have_run:
            self._record_end(progress, progress_lib.Ending.REJECTED, 503)
            return conversion.make_refusal(503, progress.retry_after_s)
        if progress.failure is not None:
            response = conversion.failure_to_caller(progress.failure)
            self._record_end(
                progress, progress_lib.Ending.FAILED, response.status
            )
            return response
        if plan.expires_at - self.loop.time() < MIN_ATTEMPT_S:
            self._record_end(progress, progress_lib.Ending.TIMED_OUT, 504)
            return messages.Response(504)
        self._record_end(progress, progress_lib.Ending.FAILED, 502)
        return messages.Response(502)

    def _record_end(
        self,
        progress: progress_lib.Progress,
        ending: progress_lib.Ending,
        status: int,
    ) -> None:
        elapsed_s = self.loop.time() - progress.request.arrived_at
        progress.ending = ending
        plan = progress.plan
        service = plan.service if plan is not None else ""
        self.counters.count_request(service, ending, status, elapsed_s)
        request_id = progress.request.find(header_names.REQUEST_ID) or b""
        fields: dict[str, Any] = {
            "request_id": request_id.decode("latin-1"),
            "ending": ending.value,
            "status": status,
            "elapsed_ms": round(elapsed_s * 1000.0, 1),
        }
        if progress.reason:
            fields["reason"] = progress.reason
        if ending is not progress_lib.Ending.ANSWERED:
            fields["unsettled_sends"] = progress.unsettled_sends
        if plan is not None:
            fields["route"] = plan.route.name
            fields["service"] = plan.service
            fields["customer"] = plan.customer.name if plan.customer else None
            fields["object"] = conversion.affinity_key(
                progress.request, plan.route
            )
            fields["attempts"] = progress.trace
            fields["config_version"] = plan.config_version
        if self.crashes.suspects.is_suspected(progress.fingerprint):
            fields["fingerprint"] = crashes.format_fingerprint(
                progress.fingerprint
            )
            fields["is_trial"] = progress.is_trial
        if progress.attempts_left_by_peer is not None:
            fields["attempts_left_by_peer"] = progress.attempts_left_by_peer
        if progress.skipped:
            fields["limited"] = sorted(progress.skipped)
        if progress.inputs:
            fields["inputs"] = progress.inputs
        routine = ending is progress_lib.Ending.ANSWERED
        logs.log_request("request", routine, **fields)

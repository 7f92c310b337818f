"""The promises that a play must keep, from what callers and servers saw."""

import collections

from tests.soak import records as r

# Bounds of the platform's pages that the world's settings name.
DRAIN_S = 2.5
CONFIG_S = 2.5
STABLE_S = 3.0
RECOVER_S = 15.0
ROUTE_TIMEOUT_S = 2.0
HELD_S = 0.5
# Requests whose end was not the host's doing.
UNJUDGED = frozenset({r.Ending.LEFT, r.Ending.NOT_SENT, r.Ending.PLAY_OVER})
# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


def check(records):
    """Returns what was broken, a line each."""
    broken = []
    by_id = collections.defaultdict(list)
    for run in records.runs:
        by_id[run.id].append(run)
    for request in records.requests:
        runs = by_id.get(request.id, [])
        for check_one in REQUEST_CHECKS:
            fault = check_one(records, request, runs)
            if fault:
                broken.append(f"{check_one.__name__}: {fault}: {request}")
    known = {request.id: request for request in records.requests}
    for run in records.runs:
        for check_run in RUN_CHECKS:
            fault = check_run(records, known.get(run.id), run)
            if fault:
                broken.append(f"{check_run.__name__}: {fault}: {run}")
    if records.served_again_s is None:
        broken.append(f"recovers: not served {RECOVER_S} s after all ended")
    return broken


def answers_are_whole_and_ones_own(records, request, runs):
    if request.ending is not r.Ending.ANSWERED or request.status != 200:
        return None
    made = [run.body for run in runs if run.server == request.stamp]
    if request.body not in made:
        return f"no such answer among {made}"
    return None


def unsafe_requests_run_once(records, request, runs):
    if request.safe or len(runs) <= 1:
        return None
    return f"ran on {[run.server for run in runs]}"


def a_refusal_has_not_run(records, request, runs):
    if request.safe or request.status not in NOT_RUN or not runs:
        return None
    return f"ran on {[run.server for run in runs]}"


def a_refusal_tells_when_to_come_back(records, request, runs):
    if request.status in (429, 503) and request.retry_after_s is None:
        return "no Retry-After"
    return None


def allowed_requests_are_not_denied(records, request, runs):
    if request.status not in (401, 403, 404):
        return None
    withdrawn = any(
        mark.kind == "withdrawn" and mark.name == request.key
        for mark in records.marks
    )
    return None if withdrawn else "its key and route are allowed"


def a_stop_cuts_no_request(records, request, runs):
    if request.ending not in (r.Ending.CLOSED, r.Ending.BROKEN) or not runs:
        return None
    # Kills and pauses excuse; a planned stop does not, nor does the store.
    for span in records.spans:
        if span.kind not in ("kill", "pause") or span.target != request.host:
            continue
        if span.start > request.ended_at + HELD_S:
            continue
        if span.end >= request.sent_at - STABLE_S:
            return None
    return "its connection ended after it was passed on"


def every_request_ends_in_time(records, request, runs):
    if request.ending in UNJUDGED:
        return None
    bound = request.sent_at + ROUTE_TIMEOUT_S + HELD_S
    if r.Ending.PENDING is not request.ending and request.ended_at <= bound:
        return None
    start = request.sent_at - STABLE_S
    if not records.is_calm({request.host}, start, bound):
        return None
    return f"took {request.ended_at - request.sent_at:.2f} s"


def a_withdrawn_key_stops_working(records, request, runs):
    for mark in records.marks:
        if mark.kind != "withdrawn" or mark.name != request.key or not runs:
            continue
        if request.sent_at <= mark.at + CONFIG_S:
            continue
        start = mark.at - STABLE_S
        targets = {request.host, "store"}
        if records.is_calm(targets, start, request.sent_at):
            return f"withdrawn {request.sent_at - mark.at:.2f} s before"
    return None


def a_run_was_asked_for(records, request, run):
    if request is None:
        return "nobody sent it"
    if run.leaked_key:
        return "the caller's key was passed on"
    if run.customer != r.customer_of(request.key):
        return f"it is not {request.key}'s customer"
    return None


def a_server_that_leaves_gets_nothing(records, request, run):
    if request is None:
        return None
    for mark in records.marks:
        if mark.kind not in ("draining", "gone") or mark.name != run.server:
            continue
        if run.at <= mark.at + DRAIN_S:
            continue
        start = mark.at - STABLE_S
        if records.is_calm({request.host, "store", run.server}, start, run.at):
            return f"{mark.kind} {run.at - mark.at:.2f} s before"
    return None


def work_ends_when_its_caller_leaves(records, request, run):
    if request is None or request.ending is not r.Ending.LEFT:
        return None
    end = request.ended_at + HELD_S
    targets = {request.host, run.server}
    if not records.is_calm(targets, request.sent_at - STABLE_S, end):
        return None
    if run.at > end:
        return "reached the server after the caller had left"
    if not run.body and (run.left_at is None or run.left_at > end):
        return "the server was not told"
    return None


REQUEST_CHECKS = (
    answers_are_whole_and_ones_own,
    unsafe_requests_run_once,
    a_refusal_has_not_run,
    a_refusal_tells_when_to_come_back,
    allowed_requests_are_not_denied,
    a_stop_cuts_no_request,
    every_request_ends_in_time,
    a_withdrawn_key_stops_working,
)
RUN_CHECKS = (
    a_run_was_asked_for,
    a_server_that_leaves_gets_nothing,
    work_ends_when_its_caller_leaves,
)

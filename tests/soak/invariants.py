"""Invariants of a soak run, checked on the records of callers and servers.

Each check returns a description of the violation, or None.
"""

import collections

from tests.soak import records as records_lib

# Time bounds in seconds that the cluster's settings and configuration set, and
# tolerances of the checks.
DRAIN_BOUND_S = 2.5
CONFIG_BOUND_S = 2.5
SETTLE_TIME_S = 3.0
RECOVERY_BOUND_S = 15.0
ROUTE_TIMEOUT_S = 2.0
TOLERANCE_S = 0.5
# A server that named a limit may get this many times the limit in a window of
# this length, and a few requests more, from hosts that it told a moment before.
LIMIT_EXCESS = 1.5
LIMIT_EXTRA = 5
LIMIT_WINDOW_S = 4.0
LIMIT_NOTICE_S = 0.5
# Crashes by one request after which it is refused, and retries that may follow.
CRASHES_TO_REFUSE = 3
DEADLY_RETRIES = 3
# Endings that the host did not cause.
UNCHECKED_ENDINGS = frozenset(
    {
        records_lib.Ending.LEFT,
        records_lib.Ending.NOT_SENT,
        records_lib.Ending.RUN_OVER,
    }
)
# Statuses that state that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def check(records):
    """Returns the violations, one line each."""
    violations = []
    executions_by_id = collections.defaultdict(list)
    for execution in records.executions:
        executions_by_id[execution.id].append(execution)
    for request in records.requests:
        if request.status == 401:
            place = (request.host, request.key)
            refused = records.refused_keys.setdefault(place, [])
            refused.append(request.ended_at)
    for request in records.requests:
        executions = executions_by_id.get(request.id, [])
        for check_request in REQUEST_CHECKS:
            violation = check_request(records, request, executions)
            if violation:
                violations.append(
                    f"{check_request.__name__}: {violation}: {request}"
                )
    requests_by_id = {request.id: request for request in records.requests}
    for execution in records.executions:
        for check_execution in EXECUTION_CHECKS:
            violation = check_execution(
                records, requests_by_id.get(execution.id), execution
            )
            if violation:
                violations.append(
                    f"{check_execution.__name__}: {violation}: {execution}"
                )
    for limit in records.limits:
        violation = limited_server_is_not_flooded(
            records, requests_by_id, limit
        )
        if violation:
            violations.append(
                f"limited_server_is_not_flooded: {violation}: {limit}"
            )
    violations.extend(leaving_answer_is_heeded(records, requests_by_id))
    violation = deadly_request_stops(records, requests_by_id)
    if violation:
        violations.append(f"deadly_request_stops: {violation}")
    if records.recovery_s is None:
        violations.append(
            f"recovers: not served {RECOVERY_BOUND_S} s after the last fault"
        )
    return violations


def answer_is_whole_and_for_this_request(records, request, executions):
    if (
        request.ending is not records_lib.Ending.ANSWERED
        or request.status != 200
    ):
        return None
    sent_bodies = [
        execution.body
        for execution in executions
        if execution.server == request.stamp
    ]
    if request.body not in sent_bodies:
        return f"answer not among those sent: {sent_bodies}"
    return None


def unsafe_request_runs_at_most_once(records, request, executions):
    if request.safe or len(executions) <= 1:
        return None
    return f"ran on {[execution.server for execution in executions]}"


def rejected_request_did_not_run(records, request, executions):
    if request.safe or request.status not in NOT_RUN_STATUSES or not executions:
        return None
    return f"ran on {[execution.server for execution in executions]}"


def rejection_has_retry_after(records, request, executions):
    if request.status in (429, 503) and request.retry_after_s is None:
        return "Retry-After is missing"
    return None


def allowed_request_is_not_denied(records, request, executions):
    if request.status not in (401, 403, 404):
        return None
    withdrawn = any(
        change.kind == "withdrawn" and change.name == request.key
        for change in records.acknowledged
    )
    return None if withdrawn else "key and route are allowed"


def graceful_stop_drops_no_request(records, request, executions):
    if (
        request.ending
        not in (records_lib.Ending.CLOSED, records_lib.Ending.BROKEN)
        or not executions
    ):
        return None
    # Killed and paused hosts are excused; a graceful stop is not, and neither
    # are faults of the store.
    for interval in records.fault_intervals:
        if (
            interval.kind not in ("kill", "pause")
            or interval.target != request.host
        ):
            continue
        if interval.start > request.ended_at + TOLERANCE_S:
            continue
        if interval.end >= request.sent_at - SETTLE_TIME_S:
            return None
    return "connection ended after the request was forwarded"


def request_ends_in_time(records, request, executions):
    if request.ending in UNCHECKED_ENDINGS:
        return None
    bound = request.sent_at + ROUTE_TIMEOUT_S + TOLERANCE_S
    if (
        records_lib.Ending.PENDING is not request.ending
        and request.ended_at <= bound
    ):
        return None
    start = request.sent_at - SETTLE_TIME_S
    if not records.is_fault_free({request.host}, start, bound):
        return None
    return f"took {request.ended_at - request.sent_at:.2f} s"


def withdrawn_key_stops_working(records, request, executions):
    for change in records.acknowledged:
        if (
            change.kind != "withdrawn"
            or change.name != request.key
            or not executions
        ):
            continue
        if request.sent_at <= change.at + CONFIG_BOUND_S:
            continue
        start = change.at - SETTLE_TIME_S
        targets = {request.host, "store"}
        if records.is_fault_free(targets, start, request.sent_at):
            return f"withdrawn {request.sent_at - change.at:.2f} s before"
    return None


def refused_key_is_never_accepted_again(records, request, execution):
    if request is None:
        return None
    restarts = [
        interval.end
        for interval in records.fault_intervals
        if interval.kind in ("kill", "stop", "overdue")
        and interval.target == request.host
    ]
    for other in records.refused_keys.get((request.host, request.key), ()):
        if request.sent_at <= other + TOLERANCE_S:
            continue
        if not any(other <= end <= request.sent_at for end in restarts):
            return f"refused {request.sent_at - other:.2f} s before"
    return None


def execution_matches_a_request(records, request, execution):
    if request is None:
        return "no caller sent this request"
    if execution.leaked_key:
        return "the caller's key was forwarded to the server"
    if execution.customer != records_lib.customer_of(request.key):
        return f"customer does not match key {request.key}"
    return None


def leaving_server_gets_no_requests(records, request, execution):
    if request is None:
        return None
    for change in records.acknowledged:
        if (
            change.kind not in ("draining", "gone")
            or change.name != execution.server
        ):
            continue
        if execution.at <= change.at + DRAIN_BOUND_S:
            continue
        start = change.at - SETTLE_TIME_S
        if records.is_fault_free(
            {request.host, "store", execution.server}, start, execution.at
        ):
            return f"{change.kind} {execution.at - change.at:.2f} s before"
    return None


def work_is_cancelled_when_caller_disconnects(records, request, execution):
    if request is None or request.ending is not records_lib.Ending.LEFT:
        return None
    end = request.ended_at + TOLERANCE_S
    targets = {request.host, execution.server}
    if not records.is_fault_free(targets, request.sent_at - SETTLE_TIME_S, end):
        return None
    if execution.at > end:
        return "reached the server after the caller disconnected"
    if not execution.body and (
        execution.left_at is None or execution.left_at > end
    ):
        return "the server's connection was not closed"
    return None


def limited_server_is_not_flooded(records, requests_by_id, limit):
    told_at = _hosts_told(records, limit)
    arrivals = []
    for execution in records.executions:
        request = requests_by_id.get(execution.id)
        if request is None or execution.server != limit.server:
            continue
        told = told_at.get(request.host, float("inf"))
        if not told + LIMIT_NOTICE_S <= execution.at <= limit.end:
            continue
        # Bytes that a fault held up arrive together.
        targets = {request.host, limit.server}
        start = execution.at - SETTLE_TIME_S
        if records.is_fault_free(targets, start, execution.at):
            arrivals.append(execution.at)
    allowed = LIMIT_EXCESS * limit.rate * LIMIT_WINDOW_S + LIMIT_EXTRA
    for end in arrivals:
        if end < limit.start + SETTLE_TIME_S:
            continue
        count = sum(end - LIMIT_WINDOW_S < at <= end for at in arrivals)
        if count > allowed:
            return f"{count} requests in {LIMIT_WINDOW_S} s until {end:.2f}"
    return None


def deadly_request_stops(records, requests_by_id):
    crashed_at = sorted(
        interval.start
        for interval in records.fault_intervals
        if interval.kind == "crash"
    )
    if len(crashed_at) < CRASHES_TO_REFUSE:
        return None
    bound = crashed_at[CRASHES_TO_REFUSE - 1] + SETTLE_TIME_S
    late = []
    for execution in records.executions:
        request = requests_by_id.get(execution.id)
        if request is None or request.path != records_lib.DEADLY_PATH:
            continue
        if request.sent_at <= bound or execution.at > records.deadly_until:
            continue
        start = execution.at - SETTLE_TIME_S
        if records.is_fault_free({request.host}, start, execution.at):
            late.append(execution.at)
    if len(late) <= DEADLY_RETRIES:
        return None
    return f"{len(late)} executions from {late[0]:.2f} s on"


def leaving_answer_is_heeded(records, requests_by_id):
    """Returns requests for a server after the host passed on its leaving."""
    told_at = {}
    for execution in records.executions:
        request = requests_by_id.get(execution.id)
        if request is None or not execution.says_leaving:
            continue
        if request.stamp != execution.server:
            continue
        pair = (request.host, execution.server)
        told_at[pair] = min(told_at.get(pair, float("inf")), request.ended_at)
    violations = []
    for execution in records.executions:
        request = requests_by_id.get(execution.id)
        if request is None:
            continue
        since = told_at.get((request.host, execution.server), float("inf"))
        if request.sent_at <= since + DRAIN_BOUND_S:
            continue
        if records.is_fault_free({request.host}, since, execution.at):
            late_s = request.sent_at - since
            violations.append(
                f"leaving_answer_is_heeded: {late_s:.2f} s after: {execution}"
            )
    return violations


def _hosts_told(records, limit):
    """Returns when each host first passed on an answer with the limit."""
    told_at = {}
    for request in records.requests:
        if request.stamp != limit.server or request.sent_at < limit.start:
            continue
        if request.ended_at <= limit.end:
            known = told_at.get(request.host, float("inf"))
            told_at[request.host] = min(known, request.ended_at)
    return told_at


REQUEST_CHECKS = (
    answer_is_whole_and_for_this_request,
    unsafe_request_runs_at_most_once,
    rejected_request_did_not_run,
    rejection_has_retry_after,
    allowed_request_is_not_denied,
    graceful_stop_drops_no_request,
    request_ends_in_time,
    withdrawn_key_stops_working,
)
EXECUTION_CHECKS = (
    refused_key_is_never_accepted_again,
    execution_matches_a_request,
    leaving_server_gets_no_requests,
    work_is_cancelled_when_caller_disconnects,
)

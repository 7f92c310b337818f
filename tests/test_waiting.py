import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from banyanshed.core import models
from banyanshed.core import waiting

INTERACTIVE = models.Priority.INTERACTIVE
BACKGROUND = models.Priority.BACKGROUND


def waiter(
    ticket, tenant="a", service="board", priority=INTERACTIVE, deadline_s=9.0
):
    return waiting.Waiter(ticket, service, tenant, priority, deadline_s)


def place_up_to(count):
    """Returns a function that places `count` waiters and then none."""
    left = [count]

    def place(_):
        left[0] -= 1
        return "placed" if left[0] >= 0 else None

    return place


class WaitingMachine(stateful.RuleBasedStateMachine):
    """Checks that each waiter ends once and in time, and the bounds hold."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.queue = waiting.WaitQueue(random.Random(1), 3, 2)
        self.since_s = {}
        self.model = {}
        self.count = 0

    @stateful.rule(
        tenant=st.sampled_from([None, "a", "b", "c"]),
        service=st.sampled_from(["board", "logs"]),
        priority=st.sampled_from(models.Priority),
        remaining_s=st.floats(-1, 60),
    )
    def add(self, tenant, service, priority, remaining_s):
        self.count += 1
        ticket = f"t{self.count}"
        new = waiter(
            ticket, tenant, service, priority, self.now_s + remaining_s
        )
        same = [w for w in self.model.values() if w.tenant == tenant]
        room = len(self.model) < 3 and len(same) < 2
        allowed = new.deadline_at_s > self.now_s and room
        refusal = self.queue.add(self.now_s, new)
        assert (refusal is None) == allowed
        if refusal is None:
            self.model[ticket] = new
            self.since_s[ticket] = self.now_s
        else:
            assert refusal.ran is models.Ran.NO
            assert refusal.retry_after_s >= waiting.RETRY_AFTER_S[priority]

    @stateful.rule(room=st.integers(0, 6))
    def serve(self, room):
        services = {w.service for w in self.model.values()}
        waited = len(self.model)
        placed = []
        for served in self.queue.serve(self.now_s, place_up_to(room)):
            del self.model[served.waiter.ticket]
            placed.append(served.waiter)
            # It is the oldest waiter of its tenant, service and priority.
            rest = [
                w
                for w in self.model.values()
                if (w.service, w.priority, w.tenant)
                == (
                    served.waiter.service,
                    served.waiter.priority,
                    served.waiter.tenant,
                )
            ]
            since_s = self.since_s[served.waiter.ticket]
            assert all(self.since_s[w.ticket] >= since_s for w in rest)
        assert len(placed) == min(room, waited)
        assert {w.service for w in placed} <= services

    @stateful.rule(seconds=st.floats(0.01, 3))
    def advance_time(self, seconds):
        self.now_s += seconds
        for rejected in self.queue.expire(self.now_s):
            gone = self.model.pop(rejected.waiter.ticket)
            assert rejected.refusal.ran is models.Ran.NO
            # No waiter expires early.
            waited_s = self.now_s - self.since_s[gone.ticket]
            assert waited_s >= min(
                waiting.MAX_WAIT_S[gone.priority],
                0.25 * (gone.deadline_at_s - self.since_s[gone.ticket]) - 1e-9,
            )

    @stateful.precondition(lambda self: self.model)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        ticket = data.draw(st.sampled_from(sorted(self.model)))
        del self.model[ticket]
        self.queue.cancel(ticket)
        self.queue.cancel(ticket)

    @stateful.rule()
    def stop(self):
        rejected = {g.waiter.ticket for g in self.queue.reject_all()}
        assert rejected == self.model.keys()
        self.model.clear()

    @stateful.invariant()
    def waiters_match_the_model_and_expire_early(self):
        assert self.queue.waiters == self.model
        if not self.model:
            assert self.queue.next_expiry_s() is None
            return
        ends = []
        for ticket, waits in self.model.items():
            since_s = self.since_s[ticket]
            remaining_s = waits.deadline_at_s - since_s
            ends.append(since_s + 0.25 * remaining_s)
        assert self.queue.next_expiry_s() <= min(ends) + 1e-9


TestWaitingMachine = WaitingMachine.TestCase
TestWaitingMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def serve(queue, count):
    return [s.waiter.ticket for s in queue.serve(0.0, place_up_to(count))]


def test_tenants_take_turns():
    queue = waiting.WaitQueue(random.Random(1))
    for number in range(4):
        queue.add(0.0, waiter(f"a{number}"))
    queue.add(0.0, waiter("b0", tenant="b"))
    queue.add(0.0, waiter("c0", tenant="c"))
    assert serve(queue, 2) == ["a0", "b0"]
    assert serve(queue, 9) == ["c0", "a1", "a2", "a3"]


def test_interactive_work_goes_first_and_background_never_starves():
    queue = waiting.WaitQueue(random.Random(1), tenant_limit=99)
    for number in range(40):
        queue.add(0.0, waiter(f"i{number}"))
        queue.add(0.0, waiter(f"b{number}", "a", "logs", BACKGROUND))
    assert queue.has_waiters("logs", BACKGROUND)
    assert not queue.has_waiters("logs", INTERACTIVE)
    served = serve(queue, 24)
    background = [i for i, t in enumerate(served) if t.startswith("b")]
    assert background == [7, 15, 23]


def test_full_service_does_not_block_others():
    queue = waiting.WaitQueue(random.Random(1))
    queue.add(0.0, waiter("x", service="board"))
    queue.add(0.0, waiter("y", service="bookings"))
    queue.add(0.0, waiter("z", "a", "logs", BACKGROUND))
    served = queue.serve(
        0.0, lambda w: None if w.service == "board" else "placed"
    )
    assert [s.waiter.ticket for s in served] == ["y", "z"]


def test_short_waits_leave_time_to_try_elsewhere():
    queue = waiting.WaitQueue(random.Random(1))
    queue.add(0.0, waiter("short", deadline_s=0.4))
    queue.add(0.0, waiter("long", "b", deadline_s=60.0))
    queue.add(0.0, waiter("logs", "c", priority=BACKGROUND, deadline_s=60.0))
    ends = []
    while (next_s := queue.next_expiry_s()) is not None:
        ends += [(next_s, g.waiter.ticket) for g in queue.expire(next_s)]
    assert ends == [(0.1, "short"), (0.5, "long"), (5.0, "logs")]

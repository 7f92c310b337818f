"""Hosts that share customers' limits while some of them are silent.

Hosts exchange reports as the gateway does, without sockets, on simulated time.
"""

import random

from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import relays
from tests import steering_cases as cases
from tests import test_quotas

REGIONS = ("a", "b", "c")
ZONES = {f"{region}{number}": region for region in REGIONS for number in "12"}
STEP_S = 0.05
HEARTBEAT_S = 1.0
DIGEST_S = 1.0
URGENT_DIGEST_S = 0.2
# How long callers wait for a host that doesn't read.
PATIENCE_S = 1.0


class Host:
    def __init__(self, number, fleet, started_ms):
        zone = list(ZONES)[number % len(ZONES)]
        self.number = number
        self.identity = members.Host(
            f"h{number}", f"10.0.0.{number}", zone, started_ms
        )
        self.region = ZONES[zone]
        self.members = members.Members(self.identity, dict(ZONES))
        self.members.own_state = members.HostState.READY
        self.quotas = fleet.make_quotas(self)
        self.placing = cases.make_placement(
            fleet.view, [f"h{number}"], self.identity.id, self.region
        )
        self.relays = relays.Relays(
            self.members,
            self.quotas,
            self.placing,
            self.placing.throttle.limits,
        )
        phase = number % 20 / 20
        self.heartbeat_at = fleet.now + phase
        self.digest_at = fleet.now + phase / 2
        self.live = set()
        self.inbox = []

    def knows(self, other):
        member = self.members.peers.get(other.identity.id)
        return (
            member is not None
            and member.host == other.identity
            and member.heard_at is not None
        )


class Fleet:
    """All hosts, what cuts them off, and what they admitted."""

    def __init__(self, count, customer, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.customer = customer
        self.view = cases.make_view()
        self.view.accept_configuration(
            cases.make_configuration(2, customers=[customer])
        )
        self.groups = {}
        self.frozen = {}
        self.down = set()
        self.admitted = []
        self.refused = []
        self.hosts = [Host(number, self, 1) for number in range(count)]
        for host in self.hosts:
            self.read_host_table(host)

    def make_quotas(self, host):
        tolerance = models.QuotaTolerance(
            test_quotas.WINDOW_S, test_quotas.EXCESS, test_quotas.SLACK
        )
        return quotas_lib.Quotas(
            host.members, tolerance, self.rng.random, self.now
        )

    def read_host_table(self, host):
        for other in self.hosts:
            host.members.discover(other.identity, self.now)
        host.members.are_all_known = True

    def cut(self, numbers, group):
        """Cuts hosts off from all hosts of other groups."""
        for number in numbers:
            self.groups[number] = group

    def heal(self):
        self.groups = {}

    def isolate(self, numbers):
        for number in numbers:
            self.cut([number], f"alone {number}")

    def kill(self, numbers):
        self.down.update(numbers)

    def start(self, numbers):
        """Starts new processes, which have read the table of the hosts."""
        for number in numbers:
            self.down.discard(number)
            host = Host(number, self, int(self.now * 1000) + 2)
            self.hosts[number] = host
            self.read_host_table(host)
            self.send_heartbeat(host)

    def freeze(self, numbers, for_s):
        for number in numbers:
            self.frozen[number] = self.now + for_s

    def is_running(self, host):
        return host.number not in self.down and host.number not in self.frozen

    def send(self, sender, receiver, handle):
        group = self.groups.get(sender.number)
        if group != self.groups.get(receiver.number):
            return
        if receiver.number in self.down:
            return
        if receiver.number in self.frozen:
            receiver.inbox.append(handle)
            return
        handle()

    def send_heartbeat(self, sender):
        sender.heartbeat_at = self.now + HEARTBEAT_S
        usages = sender.quotas.report(self.now)
        for other in self.hosts:
            if other is sender:
                continue
            is_near = other.region == sender.region
            if not is_near and sender.relays.is_needed(self.now):
                continue
            self.send(
                sender,
                other,
                lambda other=other: self.receive(other, sender, usages),
            )

    def receive(self, host, sender, usages):
        is_new = not host.knows(sender)
        host.members.record_state(
            sender.identity, sender.members.own_state, self.now
        )
        if is_new:
            host.quotas.drop_peer(sender.identity.id)
            reply = host.quotas.known_usages(self.now)
            self.send(host, sender, lambda: self.receive(sender, host, reply))
        host.quotas.apply_reports(
            sender.identity.id, usages, self.view.configuration, self.now
        )

    def send_digest(self, sender):
        sender.digest_at = self.now + DIGEST_S
        if not sender.relays.is_needed(self.now):
            return
        index = sender.relays.own_index(self.now)
        if index is None:
            return
        report = members.TableReport()
        summary = sender.relays.summarize(report, report, (), {}, self.now)
        for partner in sender.relays.partners(index, self.now):
            receiver = self.hosts[int(partner.id[1:])]
            self.send(
                sender,
                receiver,
                lambda receiver=receiver: self.forward(receiver, summary),
            )

    def forward(self, relay, summary):
        for host in self.hosts:
            if host.region == relay.region:
                self.send(
                    relay,
                    host,
                    lambda host=host: host.relays.apply_summary(
                        summary, self.view.configuration, self.now
                    ),
                )

    def call(self, host):
        if host.quotas.admit(self.customer, self.now):
            self.admitted.append(self.now)
        else:
            self.refused.append(self.now)

    def wake(self, host):
        del self.frozen[host.number]
        # Callers that are still waiting are read before what peers have sent.
        waiting = self.rate(self.now) / len(self.hosts) * PATIENCE_S
        for _ in range(int(waiting)):
            self.call(host)
        for handle in host.inbox:
            handle()
        host.inbox = []

    def run(self, until, rate):
        """Plays callers that send `rate(now)` requests a second in total."""
        self.rate = rate
        while self.now < until:
            self.now += STEP_S
            for number, ends_at in list(self.frozen.items()):
                if ends_at <= self.now:
                    self.wake(self.hosts[number])
            for host in self.hosts:
                if self.is_running(host):
                    self.tick(host)
            self.send_requests(rate(self.now) * STEP_S)

    def tick(self, host):
        host.relays.drop_silent_regions(self.now)
        live = {member.host.id for member in host.members.live(self.now)}
        for lost in host.live - live:
            host.quotas.drop_peer(lost)
        host.live = live
        contacts = len(host.members.contacts(self.now)) + 1
        is_urgent = host.quotas.needs_report(contacts, self.now)
        if self.now >= host.heartbeat_at or is_urgent:
            self.send_heartbeat(host)
        urgent_at = host.digest_at - DIGEST_S + URGENT_DIGEST_S
        is_urgent = self.now >= urgent_at and host.quotas.needs_region_report(
            len(REGIONS), self.now
        )
        if self.now >= host.digest_at or is_urgent:
            self.send_digest(host)

    def send_requests(self, expected):
        count = int(expected)
        count += self.rng.random() < expected - count
        running = [host for host in self.hosts if self.is_running(host)]
        for _ in range(count):
            self.call(self.rng.choice(running))


def make_customer(rate, burst):
    return models.Customer("club", (), rate=rate, burst=burst)

"""Judgement of requests that were in flight when servers ended."""

import dataclasses

import msgspec
import pytest

from banyanshed.gateway import peer_messages
from banyanshed.steering import suspects

DEADLY = 0xDEAD
INNOCENT = 0x1


class Hosts:
    """Hosts that tell each other what they know, with a delay."""

    def __init__(self, count, delay_s=0.06):
        self.now = 1000.0
        self.delay_s = delay_s
        self.hosts = [suspects.Suspects(f"h{n:03}") for n in range(count)]
        self.on_the_way = []
        self.cut_off = set()
        self.bytes = 0

    def pass_time(self, seconds):
        """Lets time pass in steps of 50 ms, as the hosts' housekeeping."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            due = [m for m in self.on_the_way if m[0] <= self.now]
            self.on_the_way = [m for m in self.on_the_way if m[0] > self.now]
            for _, receiver, data in due:
                if receiver.own_host in self.cut_off:
                    continue
                message = peer_messages.decode(data)
                reports = peer_messages.decode_suspects(message.suspects)
                receiver.apply_reports(reports, self.now)
            for host in self.hosts:
                host.judge(self.now)
            self.tell()

    def tell(self):
        """Sends what is new on each host to all others."""
        for host in self.hosts:
            while host.news:
                self.send(host, host.take_news(self.now))

    def beat(self):
        """Sends each host's regular report."""
        for host in self.hosts:
            self.send(host, host.report(self.now))

    def send(self, sender, reports):
        if sender.own_host in self.cut_off:
            return
        encoded = peer_messages.encode_suspects(reports)
        data = peer_messages.encode(peer_messages.Suspicions(encoded))
        self.bytes += len(data)
        for host in self.hosts:
            if host is not sender:
                at = self.now + self.delay_s
                self.on_the_way.append((at, host, data))

    def end_server(self, process, *lost):
        """Ends a server that had requests of (host, fingerprint)."""
        for number, fingerprint in lost:
            host = self.hosts[number]
            host.record_ending(fingerprint, process, self.now)
        self.tell()

    def answer(self, number, fingerprint):
        self.hosts[number].record_answer(fingerprint, self.now)
        self.tell()

    def refusing(self, fingerprint):
        return sum(host.is_refused(fingerprint) for host in self.hosts)


@pytest.mark.parametrize("count", [1, 3, 25, 123])
def test_all_hosts_refuse_after_the_third_ending_at_any_hosts(count):
    hosts = Hosts(count)
    for process in range(3):
        assert hosts.refusing(DEADLY) == 0
        hosts.end_server(process, (process % count, DEADLY))
        hosts.pass_time(0.2)
    assert hosts.hosts[0].pending_s(DEADLY, hosts.now) > 0.0
    hosts.pass_time(0.4)
    assert hosts.refusing(DEADLY) == count


def test_two_endings_refuse_nothing():
    hosts = Hosts(3)
    hosts.end_server(1, (0, DEADLY), (1, DEADLY))
    hosts.end_server(2, (1, DEADLY))
    hosts.pass_time(60.0)
    assert hosts.refusing(DEADLY) == 0


def test_one_server_that_crashes_again_and_again_counts_each_time():
    hosts = Hosts(3)
    for _ in range(3):
        hosts.end_server(7, (0, DEADLY), (1, DEADLY))
        hosts.pass_time(3.0)
    assert hosts.refusing(DEADLY) == 3


def test_requests_in_flight_beside_a_deadly_one_are_not_refused():
    hosts = Hosts(25)
    for process in range(8):
        lost = [(process, DEADLY), (process + 1, 100 + process)]
        if process < 3:
            # Retried three times, always on a server that ends.
            lost.append((9, INNOCENT))
        if process == 0:
            hosts.end_server(50, (3, DEADLY))
        hosts.end_server(process, *lost)
        hosts.pass_time(0.1)
    hosts.pass_time(1.0)
    assert hosts.refusing(DEADLY) == 25
    assert hosts.refusing(INNOCENT) == 0
    assert not any(hosts.refusing(100 + n) for n in range(8))


def test_a_late_report_of_the_likelier_cause_comes_in_time():
    hosts = Hosts(3, delay_s=0.2)
    hosts.end_server(90, (0, DEADLY))
    for process in range(3):
        hosts.end_server(process, (1, INNOCENT), (0, DEADLY))
        hosts.pass_time(0.05)
    hosts.pass_time(2.0)
    assert hosts.refusing(INNOCENT) == 0
    assert hosts.refusing(DEADLY) == 3


def test_a_popular_request_on_a_rack_that_ends_is_not_refused():
    hosts = Hosts(25)
    for number in range(25):
        hosts.answer(number, INNOCENT)
    hosts.pass_time(1.0)
    for process in range(12):
        hosts.end_server(process, (process, INNOCENT))
        hosts.now += 0.005
    hosts.pass_time(2.0)
    assert hosts.refusing(INNOCENT) == 0


def test_servers_that_crash_by_themselves_refuse_nothing_that_others_bear():
    hosts = Hosts(25)
    for process in range(12):
        hosts.end_server(process, (process, INNOCENT))
        hosts.pass_time(0.1)
        hosts.answer((process + 5) % 25, INNOCENT)
        hosts.pass_time(0.2)
    assert hosts.refusing(INNOCENT) == 0


def test_a_request_that_was_borne_before_is_refused_once_it_is_deadly():
    hosts = Hosts(5)
    hosts.answer(0, DEADLY)
    for process in range(3):
        hosts.pass_time(0.2)
        hosts.end_server(process, (0, DEADLY))
    hosts.pass_time(0.5)
    assert hosts.refusing(DEADLY) == 5


def make_refused(count):
    hosts = Hosts(count)
    for process in range(3):
        hosts.end_server(process, (0, DEADLY))
        hosts.pass_time(0.2)
    hosts.pass_time(0.5)
    assert hosts.refusing(DEADLY) == count
    return hosts


def test_hosts_that_were_cut_off_or_start_learn_what_is_refused():
    hosts = Hosts(4)
    hosts.cut_off = {"h003"}
    for process in range(3):
        hosts.end_server(process, (0, DEADLY))
        hosts.pass_time(0.2)
    hosts.pass_time(20.0)
    assert hosts.refusing(DEADLY) == 3
    hosts.cut_off = set()
    late = suspects.Suspects("h004")
    hosts.hosts.append(late)
    hosts.beat()
    hosts.pass_time(0.2)
    assert hosts.refusing(DEADLY) == 5


def claims(hosts):
    return [h for h in hosts.hosts if h.claim_trial(DEADLY, hosts.now)]


def test_one_request_of_all_hosts_together_is_tried_and_the_time_grows():
    hosts = make_refused(25)
    assert not claims(hosts)
    hosts.pass_time(suspects.FIRST_TRIAL_S)
    # All claim at once: only one of them goes on.
    assert len(claims(hosts)) == 25
    hosts.tell()
    hosts.pass_time(0.2)
    owners = [h for h in hosts.hosts if h.owns_trial(DEADLY)]
    assert len(owners) == 1
    owners[0].record_ending(DEADLY, 77, hosts.now)
    hosts.tell()
    hosts.pass_time(suspects.FIRST_TRIAL_S + 5.0)
    assert hosts.refusing(DEADLY) == 25
    assert not claims(hosts)
    hosts.pass_time(2 * suspects.FIRST_TRIAL_S)
    assert claims(hosts)


def test_a_claim_without_a_result_gives_way():
    hosts = make_refused(3)
    hosts.pass_time(suspects.FIRST_TRIAL_S)
    assert hosts.hosts[0].claim_trial(DEADLY, hosts.now)
    hosts.tell()
    hosts.pass_time(0.2)
    assert not claims(hosts)
    hosts.pass_time(suspects.CLAIM_S)
    assert claims(hosts)


def test_all_hosts_accept_a_request_again_once_a_server_bears_it():
    hosts = make_refused(25)
    hosts.pass_time(suspects.FIRST_TRIAL_S)
    assert hosts.hosts[4].claim_trial(DEADLY, hosts.now)
    hosts.answer(4, DEADLY)
    hosts.pass_time(0.2)
    assert hosts.refusing(DEADLY) == 0
    # It is refused again once it ends three more.
    for process in range(10, 13):
        hosts.end_server(process, (process, DEADLY))
        hosts.pass_time(0.4)
    hosts.pass_time(0.5)
    assert hosts.refusing(DEADLY) == 25


def test_memory_and_reports_are_bounded():
    hosts = Hosts(2)
    host = hosts.hosts[0]
    for number in range(3 * suspects.MAX_SUSPECTS):
        for process in range(2 * suspects.MAX_ENDINGS):
            host.record_ending(number, number + process, hosts.now)
    for number in range(2 * suspects.MAX_BORNE):
        host.record_answer(10**6 + number, hosts.now)
    assert len(host.suspects) <= suspects.MAX_SUSPECTS
    assert len(host.borne) <= suspects.MAX_BORNE
    for suspect in host.suspects.values():
        assert len(suspect.endings) <= suspects.MAX_ENDINGS
    assert len(host.news) <= suspects.MAX_SUSPECTS
    for known in (host.report(hosts.now), host.take_news(hosts.now)):
        reports = peer_messages.encode_suspects(known)
        data = peer_messages.encode(peer_messages.Suspicions(reports))
        # Fits a datagram of one Ethernet frame.
        assert len(data) < 1400


def test_suspects_without_endings_for_long_are_forgotten():
    hosts = Hosts(1)
    hosts.end_server(1, (0, INNOCENT))
    hosts.now += suspects.EVIDENCE_S + 1.0
    hosts.hosts[0].drop_expired(hosts.now)
    assert not hosts.hosts[0].suspects


@pytest.mark.parametrize(
    "fields",
    [["x", [], -1, 0, -1, -1, ""], [1, [[1]], -1, 0, -1, -1, ""], [1], "a"],
)
def test_malformed_reports_are_rejected(fields):
    with pytest.raises(msgspec.MsgspecError):
        peer_messages.decode(msgspec.msgpack.encode(["s", [fields]]))


def test_a_request_is_held_for_a_bounded_time_while_servers_go_on_ending():
    hosts = Hosts(1)
    held_s = 0.0
    for process in range(20):
        # Two requests lost together, so that neither is likelier.
        hosts.end_server(process, (0, DEADLY), (0, INNOCENT))
        if hosts.hosts[0].pending_s(INNOCENT, hosts.now) > 0.0:
            held_s += 0.2
        hosts.pass_time(0.2)
    assert held_s <= suspects.SETTLE_S + 0.2


def test_a_rack_that_ends_tells_each_peer_little():
    hosts = Hosts(25)
    for process in range(20):
        lost = [(n, 1000 * process + n) for n in range(25)]
        hosts.end_server(process, *lost)
    # 500 lost requests, each told once by its host.
    assert hosts.bytes < 500 * 64


def test_a_report_of_countless_refusals_does_no_harm():
    hosts = make_refused(2)
    (report,) = hosts.hosts[0].report(hosts.now)
    absurd = dataclasses.replace(report, refusals=1 << 62, borne_age_s=None)
    hosts.hosts[1].apply_reports([absurd], hosts.now)
    waited_s = hosts.hosts[1].wait_s(DEADLY, hosts.now)
    assert 0.0 < waited_s <= suspects.MAX_TRIAL_S

from banyanshed.steering import members
from tests import steering_cases as cases

READY = members.HostState.READY
LEAVING = members.HostState.LEAVING


def host(name, zone="a1", started_ms=1):
    return members.Host(name, f"10.0.0.{name[1:]}", zone, started_ms)


def make_members():
    fleet = members.Members(host("h1"), dict(cases.ZONES))
    fleet.own_state = READY
    return fleet


def test_resolve_prefers_hosts_in_the_callers_zone():
    fleet = make_members()
    fleet.record_state(host("h2"), READY, 0.0)
    fleet.record_state(host("h3", "a2"), READY, 0.0)
    fleet.record_state(host("h4", "b1"), READY, 0.0)
    assert fleet.resolve("a", "a1", 1.0) == ["10.0.0.1", "10.0.0.2"]
    assert fleet.resolve("b", "b1", 1.0) == ["10.0.0.4"]


def test_resolve_uses_the_region_when_a_zone_has_too_few_hosts():
    fleet = make_members()
    fleet.record_state(host("h3", "a2"), READY, 0.0)
    fleet.record_state(host("h4", "b1"), READY, 0.0)
    assert fleet.resolve("a", "a2", 1.0) == ["10.0.0.1", "10.0.0.3"]


def test_resolve_uses_any_host_when_a_region_has_none():
    fleet = make_members()
    assert fleet.resolve("b", "b1", 1.0) == ["10.0.0.1"]


def test_resolve_omits_a_silent_host_after_the_timeout():
    fleet = make_members()
    fleet.record_state(host("h2"), READY, 0.0)
    assert "10.0.0.2" in fleet.resolve("a", "a1", 2.0)
    assert "10.0.0.2" not in fleet.resolve("a", "a1", 6.0)


def test_resolve_omits_leaving_and_starting_hosts():
    fleet = make_members()
    fleet.record_state(host("h2"), READY, 0.0)
    fleet.record_state(host("h2"), LEAVING, 0.1)
    fleet.discover(host("h3"), 0.1)
    assert fleet.resolve("a", "a1", 0.2) == ["10.0.0.1"]


def test_messages_of_an_older_process_are_ignored():
    fleet = make_members()
    fleet.record_state(host("h2", started_ms=5), READY, 0.0)
    assert fleet.record_state(host("h2", started_ms=3), LEAVING, 0.1) is None
    assert "10.0.0.2" in fleet.resolve("a", "a1", 0.2)
    assert fleet.discover(host("h2", started_ms=9), 0.3)
    assert "10.0.0.2" not in fleet.resolve("a", "a1", 0.4)


def test_a_partitioned_host_resolves_to_itself():
    fleet = make_members()
    fleet.record_state(host("h2"), READY, 0.0)
    assert fleet.resolve("a", "a1", 60.0) == ["10.0.0.1"]


def test_peers_never_heard_from_expire():
    fleet = make_members()
    fleet.discover(host("h2"), 0.0)
    assert fleet.drop_expired(1.0) == []
    after_s = members.CONTACT_TIMEOUT_S + 1.0
    assert fleet.drop_expired(after_s) == []
    assert fleet.contacts(after_s) == []
    assert fleet.drop_expired(members.FORGET_TIMEOUT_S + 1.0) == ["h2"]


def test_silent_peers_are_contacted_in_rotation():
    fleet = make_members()
    for name in ("h2", "h3"):
        fleet.record_state(host(name), members.HostState.READY, 0.0)
    assert fleet.next_silent(members.CONTACT_TIMEOUT_S - 1.0) is None
    after_s = members.CONTACT_TIMEOUT_S + 1.0
    tried = {fleet.next_silent(after_s).host.id for _ in range(2)}
    assert tried == {"h2", "h3"}

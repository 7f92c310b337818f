from banyanshed.steering import models
from banyanshed.steering import views
from tests import steering_cases as cases


def test_an_older_configuration_is_never_accepted():
    view = views.View(dict(cases.ZONES))
    assert view.accept_configuration(cases.make_configuration(5))
    assert not view.accept_configuration(cases.make_configuration(4))
    assert not view.accept_configuration(cases.make_configuration(5))
    assert view.configuration.version == 5
    assert view.accept_configuration(cases.make_configuration(9))


def test_an_entry_that_comes_back_after_an_outage_is_kept():
    view = cases.make_view()
    assert not view.drop_server("i1", 1.0, keep_until=3.0)
    assert "i1" in view.servers
    view.put_server(cases.make_entry("i1", "a2"), 2.0, 10**6)
    assert view.drop_missing(10.0) == []
    assert "i1" in view.servers


def test_an_entry_still_missing_after_the_grace_period_is_dropped():
    view = cases.make_view()
    view.drop_server("i1", 1.0, keep_until=3.2)
    assert view.drop_missing(3.0) == []
    assert view.drop_missing(3.2) == ["i1"]
    assert "i1" not in view.servers


def test_a_removed_entry_is_dropped_immediately_without_an_outage():
    view = cases.make_view()
    assert view.drop_server("i1", 1.0, keep_until=1.0)
    assert all(
        server.registration.id != "i1" for server in view.by_service["s"]
    )


def test_a_restart_under_the_same_id_is_a_new_server():
    view = cases.make_view()
    entry = cases.make_entry("i1", "a2", started_ms=5000, cold_left_s=2.0)
    assert view.put_server(entry, 1.0, 5500)
    assert view.is_cold(view.servers["i1"], 2.9)
    assert not view.put_server(entry, 1.2, 5700)


def test_servers_are_cold_for_their_reported_time():
    view = cases.make_view(0)
    view.put_server(cases.make_entry("x", cold_left_s=1.5), 1.0, 10**6)
    server = view.servers["x"]
    assert view.is_cold(server, 2.4)
    assert not view.is_cold(server, 2.6)


def test_a_service_change_under_the_same_id_is_a_new_server():
    view = cases.make_view()
    assert view.put_server(cases.make_entry("i1", service="t"), 1.0, 10**6)
    assert [s.registration.id for s in view.by_service["t"]] == ["i1"]
    assert models.ServerId("i1") not in [
        s.registration.id for s in view.by_service["s"]
    ]

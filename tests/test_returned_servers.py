"""Rows of servers whose entries were removed before."""

import asyncio

import pytest

from banyanshed.gateway import peer_messages
from banyanshed.steering import models
from standins import store as store_lib
from tests import gateway_fleet
from tests import steering_cases as cases

HEALTH_PATH = "/healthz"
# Sequence of the entry that hosts hold when it is removed.
HELD_SEQUENCE = 5


def make_configuration(health_path=HEALTH_PATH):
    config = gateway_fleet.configuration()
    config["backends"][0]["healthPath"] = health_path
    return config


def version(number, era=1):
    return models.TableVersion(era, number)


def make_asking_view(count=2):
    """Returns a view whose servers can be asked for their health."""
    view = cases.make_view(count)
    service = models.Service("s", 3.0, 8.0, health_path=HEALTH_PATH)
    view.configuration = cases.make_configuration(services=[service])
    return view


class Worker:
    """Answers requests and health checks of one server, and counts them."""

    def __init__(self, fleet, id_="i1"):
        self.fleet = fleet
        self.id = id_
        self.extra = {}
        self.health_status = 200
        self.checks = 0
        self.requests = 0
        fleet.servers[id_].action = self.act

    async def act(self, exchange):
        if exchange.target == HEALTH_PATH:
            self.checks += 1
            exchange.headers["x-banyanshed-request-id"] = ""
            exchange.respond(
                self.health_status,
                X_Banyanshed_Instance_Id=self.id,
                **self.extra,
            )
            return
        self.requests += 1
        exchange.respond(**self.extra)

    async def register(self, sequence):
        await self.fleet.register(self.id, seq=sequence)

    async def remove(self):
        """Removes its entry; returns once all hosts have dropped it."""
        await self.fleet.store.remove("servers", self.id)
        for host in self.fleet.hosts.values():
            await self.fleet.wait_until(
                lambda view=host.view: self.id not in view.servers
            )

    def leave(self):
        self.extra = {"Server_Leaving": "1"}
        self.health_status = 503


async def call_for(fleet, seconds, hosts=("h1",)):
    """Sends requests for objects of their own to the hosts in turn."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    number = 0
    while loop.time() < ends_at:
        number += 1
        response = await fleet.call(
            "/u/x",
            name=hosts[number % len(hosts)],
            method="POST",
            x_banyanshed_affinity_key=f"o{number}",
        )
        assert response.status == 200
        await asyncio.sleep(0.01)


async def call_until_used(fleet, worker, hosts=("h1",)):
    async with asyncio.timeout(gateway_fleet.WAIT_TIMEOUT_S):
        while not worker.requests:
            await call_for(fleet, 0.05, hosts)


async def start_and_leave(fleet):
    """Returns a worker that was used, and left without reporting it."""
    worker = Worker(fleet)
    await worker.register(HELD_SEQUENCE)
    await call_until_used(fleet, worker)
    worker.leave()
    await worker.remove()
    worker.requests = 0
    return worker


# Guards against DRAIN: a write that the store performs late, after the removal
# of the entry, was taken for a registration of the server (review/13). The
# sequence that a host holds may be behind that of the late row.
@pytest.mark.parametrize(
    ("health_path", "sequence"),
    [
        (HEALTH_PATH, HELD_SEQUENCE - 2),
        (HEALTH_PATH, HELD_SEQUENCE),
        (HEALTH_PATH, HELD_SEQUENCE + 4),
        ("", HELD_SEQUENCE - 2),
        ("", HELD_SEQUENCE),
    ],
)
def test_a_late_row_of_a_server_that_left_brings_it_no_requests(
    health_path, sequence
):
    async def scenario(fleet):
        worker = await start_and_leave(fleet)
        await worker.register(sequence)
        await call_for(fleet, 2.0)
        assert worker.requests == 0

    gateway_fleet.run_scenario(scenario, config=make_configuration(health_path))


@pytest.mark.parametrize("health_path", [HEALTH_PATH, ""])
def test_a_live_server_whose_entry_lapsed_is_used_again(health_path):
    async def scenario(fleet):
        worker = Worker(fleet)
        await worker.register(HELD_SEQUENCE)
        await worker.remove()
        worker.requests = 0
        await worker.register(HELD_SEQUENCE + 4)
        async with asyncio.timeout(2.0):
            await call_until_used(fleet, worker)

    gateway_fleet.run_scenario(scenario, config=make_configuration(health_path))


def test_a_server_that_starts_again_under_its_id_is_used_at_once():
    async def scenario(fleet):
        worker = Worker(fleet)
        await worker.register(HELD_SEQUENCE)
        await worker.remove()
        worker.requests = 0
        row = gateway_fleet.make_row(fleet.servers["i1"].address, seq=1)
        row["born"] += 1000
        await fleet.store.put("servers", "i1", row)
        await call_until_used(fleet, worker)
        assert worker.checks == 0

    gateway_fleet.run_scenario(scenario, config=make_configuration())


def test_a_server_is_asked_until_it_says_that_it_is_healthy():
    async def scenario(fleet):
        worker = Worker(fleet)
        await worker.register(HELD_SEQUENCE)
        await worker.remove()
        worker.requests = 0
        worker.health_status = 503
        await worker.register(HELD_SEQUENCE + 4)
        await fleet.wait_until(lambda: worker.checks >= 3)
        await call_for(fleet, 0.3)
        assert worker.requests == 0
        worker.health_status = 200
        await call_until_used(fleet, worker)
        checks = worker.checks
        await call_for(fleet, 0.7)
        assert worker.checks == checks

    gateway_fleet.run_scenario(scenario, config=make_configuration())


def drop(view, id_, at, now=1.0):
    assert view.drop_server(id_, now, now, version(at))


def test_a_removal_puts_a_returned_entry_in_doubt_until_it_is_settled():
    view = make_asking_view()
    entry = cases.make_entry("i0", sequence=3)
    view.put_server(entry, 0.0, 10**6)
    assert view.lifecycles.find_doubt(entry) is None
    drop(view, "i0", at=7)
    view.put_server(cases.make_entry("i0", sequence=9), 2.0, 10**6)
    doubt = view.lifecycles.find_doubt(entry)
    assert doubt == models.EntryRemoval(version(7), 3)
    assert view.must_ask(view.servers["i0"])
    assert not view.accepts_requests(view.servers["i0"])
    assert view.lifecycles.settle(entry, doubt)
    assert not view.lifecycles.settle(entry, doubt)
    assert view.accepts_requests(view.servers["i0"])
    # Each removal that this host reads is a doubt of its own.
    drop(view, "i0", at=8)
    view.put_server(cases.make_entry("i0", sequence=10), 3.0, 10**6)
    assert not view.lifecycles.settle(entry, doubt)
    assert not view.accepts_requests(view.servers["i0"])


def test_an_entry_that_lasts_in_the_store_is_being_written():
    view = make_asking_view()
    drop(view, "i0", at=7)
    entry = cases.make_entry("i0", sequence=9)
    view.put_server(entry, 2.0, 10**6)
    assert view.find_lasting(8.5, 6.6) == []
    assert view.find_lasting(8.7, 6.6) == [entry]


def test_a_server_in_doubt_that_leaves_or_is_evacuated_is_not_asked():
    view = make_asking_view()
    drop(view, "i0", at=7)
    entry = cases.make_entry("i0", sequence=9)
    view.put_server(entry, 2.0, 10**6)
    assert view.must_ask(view.servers["i0"])
    view.set_evacuated({entry.zone}, 2.0)
    assert not view.must_ask(view.servers["i0"])
    view.set_evacuated(set(), 2.0)
    view.lifecycles.record(entry, models.Statement(True), 2.0)
    assert not view.must_ask(view.servers["i0"])


# Guards against a late write that ends the time for which a server with a
# missing entry is kept, and brings it back for good.
@pytest.mark.parametrize(
    ("sequence", "is_back"), [(2, False), (3, False), (4, True)]
)
def test_a_late_row_does_not_end_the_time_for_which_a_server_is_kept(
    sequence, is_back
):
    view = make_asking_view()
    view.put_server(cases.make_entry("i0", sequence=3), 0.0, 10**6)
    assert not view.drop_server("i0", 1.0, 3.0, version(7))
    view.put_server(cases.make_entry("i0", sequence=sequence), 2.0, 10**6)
    assert ("i0" not in view.drop_missing(3.5)) is is_back


def test_an_entry_that_is_back_after_an_outage_raises_no_doubt():
    view = make_asking_view()
    view.put_server(cases.make_entry("i0", sequence=3), 0.0, 10**6)
    assert not view.drop_server("i0", 1.0, 3.0, version(7))
    view.put_server(cases.make_entry("i0", sequence=5), 2.0, 10**6)
    assert view.accepts_requests(view.servers["i0"])
    # One that is still missing by the end of that time is gone.
    assert not view.drop_server("i0", 4.0, 6.0, version(8))
    assert view.drop_missing(6.0) == ["i0"]
    view.put_server(cases.make_entry("i0", sequence=7), 7.0, 10**6)
    assert not view.accepts_requests(view.servers["i0"])


# Guards against DRAIN: a host that started after a removal, or read it and the
# late row at once, did not know that the entry was of the past.
@pytest.mark.parametrize("starts_after_the_row", [False, True])
def test_a_host_that_starts_after_the_removal_learns_of_it(
    starts_after_the_row,
):
    async def scenario(fleet):
        worker = await start_and_leave(fleet)
        if starts_after_the_row:
            await worker.register(HELD_SEQUENCE + 4)
        fleet.start_host("h3", gateway_fleet.host_ip(3))
        host = fleet.hosts["h3"]
        await fleet.wait_until(lambda: host.fleet.own_state.value == "ready")
        if not starts_after_the_row:
            await worker.register(HELD_SEQUENCE + 4)
        await call_for(fleet, 2.0, hosts=("h3",))
        assert worker.requests == 0

    gateway_fleet.run_scenario(scenario, hosts=2, config=make_configuration())


# A copy may hold a later row than the last one that hosts read before the
# removal, so that it looks as if the server had written it once more.
def test_a_row_that_a_restored_store_has_again_brings_no_requests():
    async def scenario(fleet):
        worker = Worker(fleet)
        await worker.register(HELD_SEQUENCE)
        await call_until_used(fleet, worker)
        restored = store_lib.Store()
        restored.rows = dict(fleet.store.rows)
        restored.version = fleet.store.version
        row = gateway_fleet.make_row(
            fleet.servers["i1"].address, seq=HELD_SEQUENCE + 4
        )
        await restored.put("servers", "i1", row)
        worker.leave()
        await worker.remove()
        worker.requests = 0
        await fleet.store.restore(restored.copy())
        era = fleet.store.era
        for host in fleet.hosts.values():
            await fleet.wait_until(
                lambda mirror=host.mirrors["servers"]: mirror.era == era
            )
        await call_for(fleet, 2.0, hosts=("h1", "h2"))
        assert worker.requests == 0

    gateway_fleet.run_scenario(scenario, hosts=2, config=make_configuration())


def test_a_host_that_missed_the_removal_learns_of_it():
    async def scenario(fleet):
        worker = Worker(fleet)
        await worker.register(HELD_SEQUENCE)
        view = fleet.hosts["h2"].view
        drop_server = view.drop_server
        view.drop_server = lambda *_: False
        worker.leave()
        await fleet.store.remove("servers", "i1")
        await fleet.wait_until(
            lambda: "i1" not in fleet.hosts["h1"].view.servers
        )
        await worker.register(HELD_SEQUENCE + 4)
        view.drop_server = drop_server
        known = view.servers["i1"]
        await fleet.wait_until(lambda: not view.accepts_requests(known))

    gateway_fleet.run_scenario(scenario, hosts=2, config=make_configuration())


def test_peers_that_heard_of_a_removal_ask_once():
    # A report of a doubt that was settled meanwhile raises none.
    async def scenario(fleet):
        worker = Worker(fleet)
        await worker.register(HELD_SEQUENCE)
        host = fleet.hosts["h1"]
        await fleet.wait_until(
            lambda: (
                host.view.servers["i1"].registration.sequence == HELD_SEQUENCE
            )
        )
        removal = models.EntryRemoval(version(99), HELD_SEQUENCE)
        statement = {"i1": models.Statement(False, removal=removal)}
        known = host.view.servers["i1"]
        host.lifecycle_tracker.apply_reports(statement, "h9")
        assert not host.view.accepts_requests(known)
        await fleet.wait_until(lambda: host.view.accepts_requests(known))
        host.lifecycle_tracker.apply_reports(statement, "h9")
        assert host.view.accepts_requests(known)
        assert worker.checks == 1

    gateway_fleet.run_scenario(scenario, config=make_configuration())


def test_removals_survive_the_way_to_peers_and_older_releases():
    view = make_asking_view()
    drop(view, "i0", at=7)
    [removal] = view.lifecycles.removals()
    assert removal == models.ProcessRemoval(
        "i0", 1000, models.EntryRemoval(version(7), 0)
    )
    encoded = peer_messages.encode_removals([removal])
    assert peer_messages.decode_removals(encoded) == [removal]
    peer = make_asking_view()
    assert peer.lifecycles.learn_removal(removal, 1.0)
    assert not peer.lifecycles.learn_removal(removal, 1.0)
    assert not peer.accepts_requests(peer.servers["i0"])
    # A host in doubt reports it with the process's hash.
    statements = peer.lifecycles.report(
        [server.registration for server in peer.servers.values()], 1.0
    )
    assert statements["i0"].removal == removal.removal
    index = peer_messages.ServerIndex()
    index.update(peer.servers, peer.servers_version)
    entries = peer_messages.encode_statements(statements, peer.servers)
    assert index.decode_statements(entries) == statements
    # Hosts of earlier releases neither send nor read the new fields.
    earlier = peer_messages.EncodedStatement(entries[0].server, False, 0)
    assert index.decode_statements([earlier]) == {
        "i0": models.Statement(False, 0.0)
    }


@pytest.mark.parametrize("started_ms", [1000, 3000])
def test_a_removal_of_another_process_says_nothing_of_the_known_one(started_ms):
    view = make_asking_view()
    entry = cases.make_entry("i0", started_ms=2000)
    view.put_server(entry, 1.0, 10**6)
    statement = models.Statement(True)
    removal = models.EntryRemoval(version(7), 3)
    told = models.ProcessRemoval("i0", started_ms, removal)
    assert not view.lifecycles.learn_removal(told, 1.0)
    assert view.accepts_requests(view.servers["i0"])
    view.lifecycles.record(entry, statement, 1.0)
    assert not view.lifecycles.learn_removal(told, 1.0)
    assert not view.accepts_requests(view.servers["i0"])


def test_a_removal_is_remembered_until_the_row_appears():
    view = make_asking_view(0)
    removal = models.EntryRemoval(version(7), 3)
    told = models.ProcessRemoval("i0", 3000, removal)
    assert view.lifecycles.learn_removal(told, 1.0)
    later = cases.make_entry("i0", started_ms=3000, sequence=9)
    view.put_server(later, 2.0, 10**6)
    assert not view.accepts_requests(view.servers["i0"])

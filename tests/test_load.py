"""What callers get while few servers know the objects asked for.

36 slots carry 136 warm requests a second and 41 cold ones; the load lies
between: it can be served only once the servers know their objects.
"""

import pytest

from banyanshed.lab import model as model_lib
from banyanshed.lab import requests
from banyanshed.lab import scenarios

RATE = 73.0
SEEDS = (1, 2, 3)
STEERING = scenarios.Variant(name="ours", policy=scenarios.Policy.STEERING)


def play(seed, **fields):
    scenario = scenarios.Scenario(name="load", **fields)
    model = model_lib.Simulation(scenario, STEERING, seed)
    model.run()
    return model


@pytest.mark.parametrize("seed", SEEDS)
def test_a_load_that_warm_servers_can_carry_is_served_in_time(seed):
    model = play(seed, rate=RATE, length_s=15.0)
    assert model.share(model.in_time, 5, 14) >= 0.9
    assert model.share(model.timed_out, 5, 14) <= 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_are_hardly_ever_cut_at_their_deadline(seed):
    # A cut run takes a slot, serves nobody and teaches the server nothing.
    model = play(seed, rate=RATE, length_s=10.0)
    assert model.share(model.timed_out, 0, 9) <= 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_more_than_can_be_served_is_refused_and_the_rest_served(seed):
    model = play(seed, rate=2.0 * 136.0, length_s=12.0)
    served = sum(model.in_time.values()) + sum(model.late.values())
    assert served >= 0.7 * 136.0 * 12.0
    assert model.share(model.timed_out, 4, 11) <= 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_answers_come_in_time_although_more_is_asked_than_can_be_served(seed):
    # Callers would wait 4 s, so queues could grow until every answer is late.
    model = play(seed, rate=200.0, length_s=15.0, timeout_s=4.0)
    in_time = model.share(model.in_time, 6, 14)
    late = model.share(model.late, 6, 14)
    assert in_time >= late
    # The slots are not left idle for it.
    assert (in_time + late) * 200.0 >= 0.7 * 136.0


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_short_burst_is_queued_rather_than_refused(seed):
    scenario = scenarios.Scenario(
        name="burst", rate=73.0, length_s=10.0, timeout_s=4.0
    )
    model = model_lib.Simulation(scenario, STEERING, seed)
    # Twenty requests for known objects at once, on top of the usual load.
    for number in range(20):
        key = f"{model.hosts[number % 16].region}{number % 36}"
        request = requests.Request(7.0, key, number % 16)
        model.sent[7] += 1
        model.add_request(7.0, request)
    model.run()
    assert model.share(model.refused, 7, 8) <= 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_servers_that_know_some_objects_go_on_serving_these(seed):
    # Two servers know 50 of 72 objects. If each request that they get taught
    # them another, they would soon know none of those that are asked for.
    model = play(
        seed, servers=2, keeps=25, objects=72, rate=24.0, length_s=30.0
    )
    reachable = 50 / 72
    assert model.share(model.in_time, 8, 29) >= 0.5 * reachable
    assert model.share(model.timed_out, 8, 29) <= 0.05

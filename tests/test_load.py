"""What callers get while few servers know the objects asked for.

36 slots carry 136 warm requests a second and 41 cold ones; the load lies
between: it can be served only once the servers know their objects.
"""

import pytest

from banyanshed.lab import model as model_lib
from banyanshed.lab import scenarios

RATE = 73.0
SEEDS = (1, 2, 3)
STEERING = scenarios.Variant(name="ours", policy=scenarios.Policy.STEERING)


def play(seed, **fields):
    scenario = scenarios.Scenario(name="load", **fields)
    model = model_lib.Model(scenario, STEERING, seed)
    model.play()
    return model


@pytest.mark.parametrize("seed", SEEDS)
def test_a_load_that_warm_servers_can_carry_is_served_in_time(seed):
    model = play(seed, rate=RATE, length_s=15.0)
    assert model.share(model.in_time, 5, 14) >= 0.9
    assert model.share(model.cut, 5, 14) <= 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_are_hardly_ever_cut_at_their_deadline(seed):
    # A cut run takes a slot, serves nobody and teaches the server nothing.
    model = play(seed, rate=RATE, length_s=10.0)
    assert model.share(model.cut, 0, 9) <= 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_more_than_can_be_served_is_refused_and_the_rest_served(seed):
    model = play(seed, rate=2.0 * 136.0, length_s=12.0)
    served = sum(model.in_time.values()) + sum(model.late.values())
    assert served >= 0.7 * 136.0 * 12.0
    assert model.share(model.cut, 4, 11) <= 0.05

"""Builders of configurations, views and placements for tests."""

from banyanshed.steering import cold
from banyanshed.steering import health
from banyanshed.steering import limits
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import placement
from banyanshed.steering import throttling
from banyanshed.steering import views
from banyanshed.steering import warmth

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
ROUTE = models.Route(
    "r", "h", "/x/", (models.RouteTarget("s", 1.0),), True, 1.0, 0.4
)


def make_entry(id_, zone="a1", service="s", slots=4, **fields):
    values = {
        "state": models.ServerState.READY,
        "cold_left_s": 0.0,
        "started_ms": 1000,
    }
    values.update(fields)
    number = sum(ord(character) for character in id_)
    return models.Registration(
        id_, ("10.0.0.1", number), service, zone, slots, **values
    )


def make_configuration(version=1, **fields):
    values = {
        "routes": [ROUTE],
        "services": [models.Service("s", 3.0, 8.0)],
    }
    values.update(fields)
    return models.Configuration(version, **values)


def make_view(count=8, now=0.0):
    view = views.View(dict(ZONES))
    view.accept_configuration(make_configuration())
    zones = list(ZONES)
    for index in range(count):
        entry = make_entry(f"i{index}", zones[index % len(zones)])
        view.put_server(entry, now, 10**6)
    view.servers_known = True
    return view


def make_placement(
    view, hosts=("h1",), own="h1", region="a", sharing_hosts=None
):
    throttle = throttling.ServerThrottle(
        own,
        view,
        limits.ServerLimits(view),
        sharing_hosts or (lambda: dict.fromkeys(hosts, region)),
    )
    cold_limiter = cold.ColdRateLimiter(own, view, lambda: hosts)
    return placement.Placement(
        region,
        view,
        health.Health(outliers.Outliers(own, lambda: hosts)),
        cold_limiter,
        warmth.Warmth(),
        throttle,
        lambda: 0.5,
    )

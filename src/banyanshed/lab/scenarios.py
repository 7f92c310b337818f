"""Scenario files: fleet, servers, load, faults and compared policies."""

import enum
from typing import Annotated

import pydantic

from banyanshed import documents

Seconds = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(gt=0)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Factor = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class Policy(enum.Enum):
    """How hosts select a server."""

    STEERING = "steering"
    OWNER = "owner"
    LEAST_LOADED = "least_loaded"
    RANDOM = "random"


class FaultKind(enum.Enum):
    """Kinds of injected server faults."""

    SLOW = "slow"
    FAILING = "failing"
    DOWN = "down"


class Variant(documents.StrictModel):
    """A policy with overrides of steering constants.

    Attributes:
        name: Shown in the table.
        policy: How hosts select a server.
        constants: Values by "module.NAME", of modules of the steering package.
        version: Folder of another source version, such as a checkout of an
            earlier commit, whose steering package is used; None uses this
            version's.
    """

    name: str
    policy: Policy
    version: str | None = None
    constants: dict[str, float] = {}


class Fault(documents.StrictModel):
    """A fault injected into some of the servers.

    Attributes:
        trouble: Kind of the fault.
        at_s: Start, in seconds.
        for_s: Duration, in seconds.
        share: Share of the servers that it affects.
        severity: For slow servers the factor of their work time, for failing
            servers the share of requests that fail.
    """

    trouble: FaultKind
    at_s: Seconds
    for_s: Seconds
    share: Share
    severity: Factor = 1.0


class Scenario(documents.StrictModel):
    """A fleet and its load.

    Attributes:
        name: Shown in the table.
        hosts: Number of hosts.
        servers: Number of servers.
        slots: Requests that a server processes concurrently.
        queue: Maximum length of a server's queue.
        keeps: Capacity of a server's object cache.
        objects: Number of objects that callers ask for.
        rate: Requests per second.
        length_s: How long callers send, in seconds.
        measured_from_s: Requests sent before this time are not measured.
        cold_s: Mean work time of an object that is not in the server's cache.
        warm_s: Mean work time of an object in the server's cache.
        spread: Largest relative deviation of work times from their mean.
        objective_s: Latency objective, in seconds.
        timeout_s: Seconds after which a caller stops waiting.
        attempts: Servers that a host may forward a request to.
        caller_tries: How often a caller sends a request in all if rejected.
        beat_s: Interval between a host's heartbeats to the others, in seconds.
        beat_delay_s: Delay of a heartbeat, in seconds.
        beat_lost: Share of heartbeats that are lost.
        faults: Injected server faults.
        variants: Policies that are compared.
    """

    name: str
    hosts: Count = 16
    servers: Count = 12
    slots: Count = 3
    queue: Count = 9
    keeps: Count = 25
    objects: Count = 72
    rate: Factor = 73.0
    length_s: Seconds = 15.0
    measured_from_s: Seconds = 5.0
    cold_s: Seconds = 0.88
    warm_s: Seconds = 0.264
    spread: Share = 0.15
    objective_s: Seconds = 0.6
    timeout_s: Seconds = 1.5
    attempts: Count = 2
    caller_tries: Count = 2
    beat_s: Seconds = 0.2
    beat_delay_s: Seconds = 0.03
    beat_lost: Share = 0.0
    faults: tuple[Fault, ...] = ()
    variants: tuple[Variant, ...] = (
        Variant(name="steering", policy=Policy.STEERING),
    )


def load(text: str) -> Scenario:
    """Reads a scenario from YAML text.

    Raises:
        exceptions.InvalidSettings: The scenario is invalid; its findings
            name line and field.
    """
    return documents.load(text, Scenario)

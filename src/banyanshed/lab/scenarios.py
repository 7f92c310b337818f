"""What an experiment plays: fleet, servers, callers, faults and policies."""

import enum
from typing import Annotated

import pydantic

from banyanshed import documents

Seconds = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(gt=0)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Factor = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class Policy(enum.Enum):
    """How hosts choose a server."""

    STEERING = "steering"
    OWNER = "owner"
    LEAST_LOADED = "least_loaded"
    RANDOM = "random"


class FaultKind(enum.Enum):
    """What can be wrong with servers."""

    SLOW = "slow"
    FAILING = "failing"
    DOWN = "down"


class Variant(documents.StrictModel):
    """A policy with constants of its own.

    Attributes:
        name: Shown in the table.
        policy: How hosts choose.
        constants: Values by "module.NAME", of modules of the steering.
        version: Folder of another version, such as a checkout of an earlier
            commit, whose steering decides; this version's if none.
    """

    name: str
    policy: Policy
    version: str | None = None
    constants: dict[str, float] = {}


class Fault(documents.StrictModel):
    """A trouble with some of the servers.

    Attributes:
        trouble: What is wrong.
        at_s: Its start.
        for_s: How long it lasts.
        share: Part of the servers that have it.
        severity: For slow servers how many times as long they work, for
            failing ones the part of the requests that fail.
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
        slots: Requests that a server runs at once.
        queue: Requests that a server queues.
        keeps: Objects that a server knows at most.
        objects: Objects that callers ask for.
        rate: Requests per second.
        length_s: How long callers send.
        measured_from_s: Requests before that do not count.
        cold_s: Work with an object that the server does not know.
        warm_s: Work with one that it knows.
        spread: Part by which work times vary at most.
        objective_s: Time within which an answer is in time.
        timeout_s: Time after which nobody waits for an answer.
        attempts: Servers that a request may be sent to.
        caller_tries: How often a caller asks in all when it is rejected.
        beat_s: Interval at which hosts tell each other of their work.
        beat_delay_s: How long that takes.
        beat_lost: Part of these messages that do not arrive.
        faults: Troubles with servers.
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
        exceptions.InvalidSettings: with all findings by line and field.
    """
    return documents.load(text, Scenario)

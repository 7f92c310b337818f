"""Server selection policies to compare with the product's placement."""

from collections.abc import Iterator
import contextlib
import importlib
import random

from banyanshed import exceptions
from banyanshed.lab import scenarios
from banyanshed.steering import placement


class Chooser:
    """Selects servers for one host by a policy."""

    def __init__(
        self,
        policy: scenarios.Policy,
        placing: placement.Placement,
        rng: random.Random,
    ):
        """Takes the policy, and the placement with the host's knowledge."""
        self.policy = policy
        self.placing = placing
        self.rng = rng

    def choose(
        self, demand: placement.PlacementRequest, now: float
    ) -> placement.Choice | placement.Rejection:
        """Returns the server for a request, or a rejection."""
        if self.policy is scenarios.Policy.STEERING:
            return self.placing.choose(demand, now)
        candidates = self.placing.estimate_all(demand, now)
        if not candidates:
            return placement.Rejection("no_server", 1.0, "")
        if self.policy is scenarios.Policy.OWNER:
            return candidates[0]
        if self.policy is scenarios.Policy.RANDOM:
            return self.rng.choice(candidates)
        return min(candidates, key=lambda c: (c.load, self.rng.random()))


@contextlib.contextmanager
def override_constants(constants: dict[str, float]) -> Iterator[None]:
    """Overrides constants of the steering package within the context.

    Args:
        constants: Values by "module.NAME".

    Raises:
        exceptions.InvalidSettings: A constant does not exist.
    """
    with contextlib.ExitStack() as stack:
        for path, value in constants.items():
            module_name, _, name = path.partition(".")
            try:
                module = importlib.import_module(
                    f"banyanshed.steering.{module_name}"
                )
                former = getattr(module, name)
            except (ImportError, AttributeError):
                finding = exceptions.Finding(
                    f"constant {path}",
                    "unknown_constant",
                    'expected "module.NAME" of a steering module',
                )
                raise exceptions.InvalidSettings([finding]) from None
            stack.callback(setattr, module, name, former)
            setattr(module, name, value)
        yield

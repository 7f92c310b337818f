"""The settings file that the platform writes for each process."""

from collections.abc import Callable
import dataclasses
from typing import Any, TypeVar

import yaml

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed.platform import durations
from banyanshed.steering import budgets
from banyanshed.steering import models

# Environment variable with the path of the settings file.
PATH_VARIABLE = "BANYANSHED_BOOT"
# The platform's names of the time bounds, by field of Bounds. The platform sets
# only the bounds of the rules in force.
WAIT_BOUNDS = {
    "drain_s": "drain",
    "config_s": "config",
    "evacuate_s": "evac",
    "revoke_s": "revoke",
    "stable_s": "stable",
}

# A backend server's entry is removed after this many of its heartbeats are
# missing.
LAPSE_BEATS = 3

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a host's process.

    Attributes:
        host: Name of the host.
        ip: IP address of the host.
        zone: Availability zone of the host.
        region: Region of the host.
        zones: Region of each availability zone.
        callers: Address that accepts callers' requests.
        readiness: Address of the readiness check.
        directory: Address where callers look up which hosts to use.
        control: Address where operators read the host's state; None when
            this is not served.
        peer_port: Port of the traffic between hosts, the same on every host.
        seeds: IP addresses of hosts that may know others.
        store: Address of the platform's store.
        memory_bytes: Memory that the process may use.
        stop_s: Time between SIGTERM and SIGKILL, in seconds.
        bounds: Times within which changes must take effect on all hosts.
        directory_ttl_max_s: Longest time for which callers may cache an
            answer of the directory, in seconds.
        retries: Budget of retries over all hosts.
        quota_tolerance: Tolerated excess over customers' limits.
        cold_tolerance: Tolerated excess over the rate of cold servers; None if
            the platform sets none.
    """

    host: models.HostId
    ip: str
    zone: models.ZoneName
    region: models.RegionName
    zones: dict[models.ZoneName, models.RegionName]
    callers: models.Address
    readiness: models.Address
    directory: models.Address
    control: models.Address | None
    peer_port: int
    seeds: tuple[str, ...]
    store: models.Address
    memory_bytes: int
    stop_s: float
    bounds: models.Bounds
    directory_ttl_max_s: float
    retries: budgets.RetryLimits
    quota_tolerance: models.QuotaTolerance = models.QuotaTolerance()
    cold_tolerance: models.ColdTolerance | None = None


def decode_address(text: Any) -> models.Address:
    """Decodes an address with a port, such as "10.0.0.1:80".

    Raises:
        ValueError: The text is not an address with a port.
    """
    if not isinstance(text, str):
        raise ValueError(f"expected an address string, not {text!r}")
    return addresses.parse(text)


def decode(text: str) -> HostSettings:
    """Decodes a settings file.

    Raises:
        InvalidSettings: The settings are invalid; it lists all findings.
    """
    try:
        document = yaml.load(
            text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        )
    except yaml.YAMLError as error:
        finding = exceptions.Finding("file", "not_yaml", str(error))
        raise exceptions.InvalidSettings([finding]) from error
    return _Decoder(document).decode()


class _Decoder:
    """Decodes field by field and collects all findings."""

    def __init__(self, document: Any):
        self.document = document
        self.findings: list[exceptions.Finding] = []

    def decode(self) -> HostSettings:
        """Returns the settings or raises an error with all findings."""
        zones = self._read("zones", _decode_zones)
        bounds = self._read("bounds", _decode_bounds) or {}
        settings: dict[str, Any] = {
            "host": self._read("node", _decode_text),
            "ip": self._read("ip", _decode_text),
            "zone": self._read("zone", _decode_text),
            "region": self._read("region", _decode_text),
            "zones": zones,
            "callers": self._read("listen.front", decode_address),
            "readiness": self._read("listen.ready", decode_address),
            "directory": self._read("listen.directory", decode_address),
            "control": self._read("listen.control", decode_address, True),
            "peer_port": self._read("portRange", _decode_first_port),
            "seeds": self._read("seeds", _decode_seeds, True) or (),
            "store": self._read("provider.addr", decode_address),
            "memory_bytes": self._read("limits.memoryMb", _decode_megabytes),
            "stop_s": self._read_bound(bounds, "grace", durations.decode),
            "bounds": self._decode_wait_bounds(bounds),
            "directory_ttl_max_s": self._read_bound(
                bounds, "ttl_max", durations.decode
            ),
            "retries": budgets.RetryLimits(
                self._read_bound(bounds, "budgetRatio", float) or 0.0,
                self._read_bound(bounds, "budgetExtra", float) or 0.0,
                self._read_bound(bounds, "budgetWindow", durations.decode)
                or 1.0,
            ),
            "quota_tolerance": self._decode_tolerance(bounds),
            "cold_tolerance": self._decode_cold_tolerance(bounds),
        }
        if self.findings:
            raise exceptions.InvalidSettings(self.findings)
        return HostSettings(**settings)

    def _read(
        self, path: str, decode_: Callable[[Any], T], optional: bool = False
    ) -> T | None:
        value = self.document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            if not optional:
                self._add_finding(path, "missing", "the field is missing")
            return None
        try:
            return decode_(value)
        except (ValueError, TypeError) as error:
            self._add_finding(path, "invalid", str(error))
            return None

    def _read_bound(
        self, bounds: dict[str, str], name: str, decode_: Callable[[str], float]
    ) -> float | None:
        place = f"bounds.{name}"
        if name not in bounds:
            self._add_finding(place, "missing", "the bound is missing")
            return None
        try:
            return decode_(bounds[name])
        except ValueError as error:
            self._add_finding(place, "invalid", str(error))
            return None

    def _decode_wait_bounds(self, bounds: dict[str, str]) -> models.Bounds:
        """Decodes the given bounds; missing ones keep their defaults."""
        given = {}
        for field, name in WAIT_BOUNDS.items():
            if name not in bounds:
                continue
            bound = self._read_bound(bounds, name, durations.decode)
            if bound is not None:
                given[field] = bound
        beat_s = self._read("beat", durations.decode, True)
        if beat_s is not None:
            given["lapse_s"] = LAPSE_BEATS * beat_s
        return models.Bounds(**given)

    def _decode_tolerance(
        self, bounds: dict[str, str]
    ) -> models.QuotaTolerance:
        """Decodes the tolerated excess over quotas; none if not given."""
        if "quotaWindow" not in bounds:
            return models.QuotaTolerance()
        return models.QuotaTolerance(
            self._read_bound(bounds, "quotaWindow", durations.decode) or 1.0,
            self._read_bound(bounds, "quotaExcess", float) or 0.0,
            self._read_bound(bounds, "quotaSlack", float) or 0.0,
        )

    def _decode_cold_tolerance(
        self, bounds: dict[str, str]
    ) -> models.ColdTolerance | None:
        """Decodes the tolerated excess over the rate of cold servers."""
        if "coldExcess" not in bounds:
            return None
        return models.ColdTolerance(
            self._read_bound(bounds, "coldExcess", float) or 1.0,
            self._read_bound(bounds, "coldSlack", float) or 0.0,
        )

    def _add_finding(self, place: str, code: str, message: str) -> None:
        self.findings.append(exceptions.Finding(place, code, message))


def _decode_text(value: Any) -> Any:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a string, not {value!r}")
    return value


def _decode_zones(value: Any) -> Any:
    if not isinstance(value, dict) or not value:
        raise ValueError("expected the region of each availability zone")
    return {str(zone): str(region) for zone, region in value.items()}


def _decode_bounds(value: Any) -> dict[str, str]:
    if not isinstance(value, list):
        raise ValueError("expected a list of NAME=VALUE")
    bounds = {}
    for entry in value:
        name, _, bound = str(entry).partition("=")
        bounds[name.strip()] = bound.strip()
    return bounds


def _decode_first_port(value: Any) -> int:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("expected the first and the last port")
    return int(value[0])


def _decode_seeds(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError("expected a list of addresses")
    return tuple(decode_address(seed)[0] for seed in value)


def _decode_megabytes(value: Any) -> int:
    return int(float(value) * 1e6)

"""YAML settings of the daemon, validated as a whole before it starts."""

from typing import Annotated

import pydantic

from banyanshed import addresses
from banyanshed import documents
from banyanshed.core import models
from banyanshed.core import rows
from banyanshed.core import sessions

KEY_WITHDRAWAL_LIMIT_S = 5
"""Seconds after which no host may accept a withdrawn key."""


def _check_address(value: str) -> str:
    try:
        addresses.parse(value)
    except ValueError:
        raise ValueError('expected "IP:port" with an IP address') from None
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Seconds = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(gt=0)]
Digest = Annotated[str, pydantic.StringConstraints(pattern="^[0-9a-f]{64}$")]


class PlatformSettings(documents.StrictModel):
    """Addresses of the platform's services.

    Attributes:
        table_address: "IP:port" of the table service.
        objects_address: "IP:port" of the object store.
        hosts_address: "IP:port" of the host list service.
        timeout_s: Timeout of one call, in seconds.
    """

    table_address: Address
    objects_address: Address
    hosts_address: Address
    timeout_s: Seconds = 1.5


class Settings(documents.StrictModel):
    """Settings of one entry host.

    Attributes:
        host: Id of this entry host, unique in the fleet.
        region: Its region.
        zone: Its availability zone.
        caller_address: "IP:port" for callers and operators.
        peer_address: "IP:port" for other entry hosts.
        store_region: Region of the platform's table service.
        platform: Addresses of the platform's services.
        fleet_secret: Shared secret that authenticates the fleet's hosts.
        operators: Operator names by the hex SHA-256 digest of their token.
        max_key_age_s: Maximum age of the configuration, in seconds, at which
            keys are still accepted.
        lease_s: Duration of a lease on shares, in seconds.
        gossip_interval_s: Seconds between gossip messages to peers.
        suspect_after_s: Seconds between asking other hosts to probe an
            unresponsive peer and suspecting it.
        poll_interval_s: Seconds between reads of the configuration.
        lookup_ttl_s: Seconds that callers may cache a look-up.
        lookup_hosts: Maximum number of entry hosts in a look-up's response.
        stop_timeout_s: Time limit of a graceful stop, in seconds; must cover
            the look-up's time to live and the longest request deadline.
        threads: Threads for callers' requests.
        platform_threads: Threads for calls to the platform.
        body_limit_bytes: Maximum size of a request body.
        answer_limit_bytes: Maximum size of a backend server's response body.
        waiting_limit: Maximum number of requests that wait for a backend
            server.
    """

    host: rows.Name
    region: rows.Name
    zone: rows.Name
    caller_address: Address
    peer_address: Address
    store_region: rows.Name
    platform: PlatformSettings
    fleet_secret: Annotated[pydantic.SecretStr, pydantic.Field(min_length=16)]
    operators: dict[Digest, rows.Name] = {}
    max_key_age_s: Annotated[
        float, pydantic.Field(gt=0, lt=KEY_WITHDRAWAL_LIMIT_S)
    ] = 4
    lease_s: Seconds = sessions.LEASE_S
    gossip_interval_s: Seconds = 1
    suspect_after_s: Seconds = 2
    poll_interval_s: Seconds = 1
    lookup_ttl_s: Seconds = 5
    lookup_hosts: Count = 3
    stop_timeout_s: Seconds = 30
    threads: Count = 32
    platform_threads: Count = 4
    body_limit_bytes: Count = 1 << 20
    answer_limit_bytes: Count = 8 << 20
    waiting_limit: Count = 256

    @pydantic.model_validator(mode="after")
    def check_times(self) -> "Settings":
        """Rejects inconsistent times and addresses."""
        problems = []
        if self.caller_address == self.peer_address:
            problems.append("caller_address and peer_address must differ")
        if self.poll_interval_s >= self.max_key_age_s:
            problems.append("poll_interval_s must be below max_key_age_s")
        if self.gossip_interval_s >= self.suspect_after_s:
            problems.append("gossip_interval_s must be below suspect_after_s")
        if self.lease_s <= sessions.WITNESS_TIMEOUT_S:
            problems.append(
                f"lease_s must be above {sessions.WITNESS_TIMEOUT_S:g}"
            )
        if self.lookup_ttl_s >= self.stop_timeout_s:
            problems.append("lookup_ttl_s must be below stop_timeout_s")
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def host_id(self) -> models.HostId:
        """Returns the id of this entry host."""
        return models.HostId(self.host)


def load(text: str) -> Settings:
    """Loads settings from YAML text.

    Raises:
        exceptions.InvalidSettings: All findings by line and field.
    """
    return documents.load(text, Settings)

"""Selection of the entry hosts that a caller should use, best first.

Rendezvous hashing assigns each tenant a small subset of the hosts of a region,
so that few hosts need shares of its rate and burst. A second rendezvous hash
spreads the callers of the tenant over the subset.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import itertools
import math

import xxhash

from banyanshed.core import blocks
from banyanshed.core import models

# A tenant's subset has one host for each of this many requests per second of
# its rate, and at least MIN_SUBSET_HOSTS if the burst suffices.
REQUESTS_PER_HOST_PER_S = 200
MIN_SUBSET_HOSTS = 2
# Number of a service's units for each host to which its callers are sent.
UNITS_PER_HOST = 8
# Number of cached subsets at which the cache is cleared.
MAX_CACHED_SUBSETS = 16384


@dataclasses.dataclass(frozen=True)
class LookupAnswer:
    """Hosts in the order in which a caller should try them.

    Attributes:
        hosts: Live hosts; empty when none is known.
        ttl_s: Time for which the caller may cache the answer, in seconds.
    """

    hosts: tuple[models.ListedHost, ...]
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class Caller:
    """The caller of a look-up and the service that it wants to call.

    Attributes:
        address: Hash key that spreads callers, such as an address or block.
        site: Site of the address; None when no block contains it.
        tenant: Tenant of the caller; None for services open to all.
        service: Service to be called.
        subset_hosts: Number of hosts in a region that serve this tenant.
        service_hosts: Number of hosts in a region that serve this service;
            the tenant's hosts are among them. None for all hosts.
    """

    address: str
    site: blocks.Site | None
    tenant: models.TenantId | None
    service: models.ServiceId
    subset_hosts: int = MIN_SUBSET_HOSTS
    service_hosts: int | None = None


@dataclasses.dataclass(frozen=True)
class _Candidate:
    host: models.ListedHost
    seed: int


_Subset = dict[models.ZoneId, list[_Candidate]]


def subset_hosts(rate: float, burst: int, regions: int) -> int:
    """Returns how many hosts of each region serve a tenant.

    Tokens are indivisible: if more hosts shared a burst than it has tokens,
    some would get none. The subset is therefore no larger than the burst.

    Args:
        rate: The tenant's rate in requests per second.
        burst: The tenant's burst in requests.
        regions: Number of regions.
    """
    wanted = max(MIN_SUBSET_HOSTS, math.ceil(rate / REQUESTS_PER_HOST_PER_S))
    return max(1, min(wanted, burst // max(1, regions)))


def service_hosts(units: int, regions: int) -> int:
    """Returns how many hosts of each region serve a service.

    Units are indivisible: if each host held only a few, one host would refuse
    requests while another had units free.

    Args:
        units: Limit on concurrent requests of the service in all regions.
        regions: Number of regions.
    """
    wanted = math.ceil(units / UNITS_PER_HOST / max(1, regions))
    return max(MIN_SUBSET_HOSTS, wanted)


class Lookup:
    """Answers look-ups from the known hosts and distances.

    Attributes:
        ttl_s: Time for which callers may cache an answer, in seconds.
        answer_hosts: Maximum number of hosts in an answer.
    """

    def __init__(self, ttl_s: float, answer_hosts: int):
        """Initializes a look-up table without hosts."""
        self.ttl_s = ttl_s
        self.answer_hosts = answer_hosts
        self.regions: dict[models.RegionId, list[models.ListedHost]] = {}
        self.distances_ms: dict[
            models.RegionId, Mapping[models.RegionId, float]
        ] = {}
        self.subsets: dict[tuple[object, ...], _Subset] = {}
        self.region_orders: dict[models.RegionId, list[models.RegionId]] = {}

    def set_hosts(self, hosts: Iterable[models.ListedHost]) -> None:
        """Replaces the known hosts; only live hosts are returned to callers."""
        regions: dict[models.RegionId, list[models.ListedHost]] = {}
        for host in hosts:
            if host.state is models.HostState.LIVE:
                regions.setdefault(host.region, []).append(host)
        for members in regions.values():
            members.sort(key=_host_id)
        if regions == self.regions:
            return
        self.regions = regions
        self.subsets.clear()
        self.region_orders.clear()

    def set_distances(
        self,
        distances_ms: Mapping[models.RegionId, Mapping[models.RegionId, float]],
    ) -> None:
        """Replaces the distances between regions, in milliseconds."""
        self.distances_ms = dict(distances_ms)
        self.region_orders.clear()

    def lookup(self, caller: Caller) -> LookupAnswer:
        """Returns the hosts for a caller, the nearest first.

        The last position is reserved for another region, if there is one, so
        that the caller has an address to use when its own region fails.
        """
        site = caller.site or self._assign_site(caller.address)
        order = self._order_regions(site.region)
        reserved = 1 if len(order) > 1 and self.answer_hosts > 1 else 0
        chosen: list[models.ListedHost] = []
        for region in order:
            remaining = self.answer_hosts - len(chosen) - reserved
            subset = self._subset(region, caller)
            chosen.extend(
                _rank_for_caller(subset, caller, site.zone, remaining)
            )
            reserved = 0
            if len(chosen) >= self.answer_hosts:
                break
        return LookupAnswer(tuple(chosen), self.ttl_s)

    def _assign_site(self, address: str) -> blocks.Site:
        """Returns a site in a hashed region for callers outside all blocks."""
        ranked = []
        for region in self.regions:
            ranked.append((_hash(region, address), region))
        region = max(ranked)[1] if ranked else models.RegionId("")
        return blocks.Site(region, models.ZoneId(""))

    def _subset(self, region: models.RegionId, caller: Caller) -> _Subset:
        count = caller.service_hosts
        # If the subset does not depend on the service, all services share a
        # cache entry.
        service = None if count is None else caller.service
        key = (region, caller.tenant, caller.subset_hosts, service, count)
        subset = self.subsets.get(key)
        if subset is not None:
            return subset
        if len(self.subsets) >= MAX_CACHED_SUBSETS:
            self.subsets.clear()
        members = self.regions[region]
        if count is not None:
            members = _rank_across_zones(members, caller.service, count)
        # Services open to all use each of these hosts.
        if caller.tenant is not None:
            members = _rank_by_name(members, caller.tenant, caller.subset_hosts)
        subset = {}
        for host in members:
            candidate = _Candidate(host, _hash(host.host, ""))
            subset.setdefault(host.zone, []).append(candidate)
        self.subsets[key] = subset
        return subset

    def _order_regions(self, origin: models.RegionId) -> list[models.RegionId]:
        order = self.region_orders.get(origin)
        if order is not None:
            return order
        distances_ms = self.distances_ms.get(origin, {})
        ranked = []
        for region in self.regions:
            distance_ms = distances_ms.get(region, math.inf)
            if region == origin:
                distance_ms = 0.0
            ranked.append((distance_ms, region))
        order = [region for _, region in sorted(ranked)]
        self.region_orders[origin] = order
        return order


def _rank_by_name(
    hosts: list[models.ListedHost], name: str, count: int
) -> list[models.ListedHost]:
    """Returns the first `count` hosts by rendezvous hashing of a name."""
    ranked = []
    for host in hosts:
        ranked.append((_hash(host.host, name), host.host, host))
    ranked.sort(reverse=True)
    return [host for _, _, host in ranked[:count]]


def _rank_across_zones(
    hosts: list[models.ListedHost], name: str, count: int
) -> list[models.ListedHost]:
    """Returns the first hosts by hash, alternating between zones."""
    zones: dict[models.ZoneId, list[models.ListedHost]] = {}
    for host in _rank_by_name(hosts, name, len(hosts)):
        zones.setdefault(host.zone, []).append(host)
    rounds = itertools.zip_longest(*zones.values())
    members = [
        host
        for round_hosts in rounds
        for host in round_hosts
        if host is not None
    ]
    return members[:count]


def _rank_for_caller(
    subset: _Subset, caller: Caller, zone: models.ZoneId, count: int
) -> list[models.ListedHost]:
    """Returns up to `count` hosts, those of the caller's zone first."""
    hash_key = f"{caller.service}\0{caller.address}".encode()
    ranked = _rank_group(subset.get(zone, []), hash_key)
    if len(ranked) < count:
        others = []
        for other, group in subset.items():
            if other != zone:
                others.extend(group)
        ranked.extend(_rank_group(others, hash_key))
    return ranked[:count]


def _rank_group(
    group: list[_Candidate], hash_key: bytes
) -> list[models.ListedHost]:
    hash_function = xxhash.xxh3_64_intdigest
    weights = [hash_function(hash_key, candidate.seed) for candidate in group]
    order = sorted(range(len(group)), key=weights.__getitem__)
    return [group[position].host for position in order]


def _hash(host: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode())


def _host_id(host: models.ListedHost) -> str:
    return host.host

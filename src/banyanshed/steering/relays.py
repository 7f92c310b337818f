"""Relays: a few hosts exchange summaries between regions in large fleets.

When every host reports to every other, the traffic between regions and the
cost of processing it grow with the square of the fleet's size. In fleets
larger than `MAX_MESH_HOSTS`, hosts report only within their own region. In
each region, the first hosts of a rendezvous order are its relays. They send a
summary of their region to the relays of other regions, which forward it within
their own. The relays of a region work independently, so that one may fail.
"""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses

import xxhash

from banyanshed.steering import limits as limits_lib
from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import placement
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import rendezvous
from banyanshed.steering import suspects as suspects_lib
from banyanshed.steering import warmth

# Hosts of fleets up to this size report to each other directly.
MAX_MESH_HOSTS = 12
# Number of relays in each region.
RELAYS_PER_REGION = 2
# Silence after which another relay of the region becomes the one whose
# customer counters are used.
MAIN_RELAY_TIMEOUT_S = 1.6
# A summary names hosts discovered within this time, up to a maximum number,
# and this many hosts of the region in rotation.
RECENT_HOST_S = 10.0
MAX_RECENT_HOSTS = 20
ROTATING_IDENTITIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The state of a region's hosts, combined by one of its relays.

    Attributes:
        relay: The relay that sends it.
        operators: The relay's copy of the configuration table.
        servers: The relay's copy of the server table.
        states: States of the region's live hosts, by `hash_host`.
        identities: Identities of some of these hosts.
        usages: Sums of the customers' counters.
        in_flight: Number of requests in flight, by server.
        warm_pairs: Hashes of object and server that became warm.
        evidence: Combined evidence on suspected servers.
        limits: Rate limits of servers known to the relay.
        demand: Requests per second of the region for servers with a limit.
        suspects: Requests that may crash servers, as known to the relay.
        statements: What servers say of themselves beside their rows.
    """

    relay: members.Host
    operators: members.TableReport
    servers: members.TableReport
    states: Mapping[int, members.HostState]
    identities: Sequence[members.Host]
    usages: Sequence[quotas_lib.Usage]
    in_flight: Mapping[models.ServerId, int]
    warm_pairs: Sequence[int]
    evidence: Mapping[models.ServerId, outliers.Evidence]
    limits: Mapping[models.ServerId, limits_lib.LimitReport]
    demand: Mapping[models.ServerId, float]
    suspects: Sequence[suspects_lib.SuspectReport]
    statements: Mapping[models.ServerId, models.Statement]


class Relays:
    """The relays known to one host, and its own work as a relay.

    Times are in seconds of one monotonic clock, which callers pass as `now`.
    """

    def __init__(
        self,
        fleet: members.Members,
        quotas: quotas_lib.Quotas,
        placing: placement.Placement,
        server_limits: limits_lib.ServerLimits,
    ):
        """Sets up the relays.

        Args:
            fleet: Hosts known to this host.
            quotas: Rate limits of the customers.
            placing: Placement, with the load and health of the servers.
            server_limits: Limits that servers name.
        """
        self.fleet = fleet
        self.quotas = quotas
        self.placing = placing
        self.server_limits = server_limits
        self.main_relays: dict[
            models.RegionName, tuple[models.HostId, float]
        ] = {}
        self.rotation = 0

    def is_needed(self, now: float) -> bool:
        """Returns whether the fleet is too large to report directly."""
        return is_needed(len(self.fleet.contacts(now)))

    def own_index(self, now: float) -> int | None:
        """Returns this host's index among its region's relays, if it is one."""
        relays = self.own_region_relays(now)
        own = self.fleet.own
        return relays.index(own) if own in relays else None

    def own_region_relays(self, now: float) -> list[members.Host]:
        """Returns the relays of this host's region, which may include it."""
        hosts = {m.host.id: m.host for m in self.fleet.live_in_region(now)}
        hosts[self.fleet.own.id] = self.fleet.own
        first = _choose_relays(self.fleet.own_region, hosts)
        return [hosts[id_] for id_ in first]

    def partners(self, index: int, now: float) -> list[members.Host]:
        """Returns the relays of other regions that a relay sends to.

        Args:
            index: The relay's index among those of its region.
            now: Current time in seconds.

        Returns:
            One host for each other region: the relay of the same index, or any
            of its known hosts in rotation if none is live.
        """
        live = self.fleet.by_region(self.fleet.live(now))
        partners = []
        regions = self.fleet.by_region(self.fleet.peers.values())
        for region, known in regions.items():
            if region == self.fleet.own_region:
                continue
            hosts = {m.host.id: m.host for m in live.get(region, [])}
            if not hosts:
                # Any host of the region may be reachable again.
                self.rotation += 1
                partners.append(known[self.rotation % len(known)].host)
                continue
            first = _choose_relays(region, hosts)
            partners.append(hosts[first[index % len(first)]])
        return partners

    def summarize(
        self,
        operators: members.TableReport,
        servers: members.TableReport,
        suspects: Sequence[suspects_lib.SuspectReport],
        statements: Mapping[models.ServerId, models.Statement],
        now: float,
    ) -> Summary:
        """Returns the summary that this host sends as a relay.

        Args:
            operators: This host's copy of the configuration table.
            servers: This host's copy of the server table.
            suspects: Requests that may crash servers.
            statements: What servers say of themselves beside their rows.
            now: Current time in seconds.
        """
        near = self.fleet.live_in_region(now)
        states = {hash_host(m.host): m.state for m in near}
        states[hash_host(self.fleet.own)] = self.fleet.own_state
        ids = {member.host.id for member in near}
        in_flight = {}
        if not self.placing.health.ignores_results:
            in_flight.update(self.placing.health.in_flight_by_server())
        for id_ in ids:
            for server, count in self.placing.peer_in_flight.get(
                id_, {}
            ).items():
                in_flight[server] = in_flight.get(server, 0) + count
        return Summary(
            self.fleet.own,
            operators,
            servers,
            states,
            self._select_identities(near, now),
            self.quotas.region_report(now),
            in_flight,
            self.placing.warmth.take_unsent(warmth.Audience.FAR),
            self.placing.health.outliers.aggregate_report(ids, now),
            self.server_limits.report_all(now),
            self.placing.region_demand(ids, now),
            suspects,
            statements,
        )

    def apply_summary(
        self,
        summary: Summary,
        configuration: models.Configuration | None,
        now: float,
    ) -> None:
        """Applies the summary of a relay of another region."""
        region = self.fleet.zones.get(summary.relay.zone)
        if region is None or region == self.fleet.own_region:
            return
        self._apply_host_states(summary, now)
        region_peer_id = _region_peer_id(region)
        self.placing.set_peer_in_flight(region_peer_id, dict(summary.in_flight))
        self.placing.warmth.add_pairs(list(summary.warm_pairs), now)
        self.placing.health.outliers.set_peer_report(
            region_peer_id, summary.evidence, now
        )
        self.placing.set_region_demand(region, summary.demand, now)
        if not self._update_main_relay(region, summary.relay.id, now):
            return
        if configuration is not None:
            self.quotas.apply_region_reports(
                region, summary.usages, configuration, now
            )

    def drop_silent_regions(self, now: float) -> None:
        """Drops what is known of regions without a recent summary."""
        for region, (_, heard_at) in self.main_relays.items():
            if now - heard_at > self.fleet.host_timeout_s:
                self.drop_region(region)
                self.quotas.drop_region(region, now)

    def drop_region(self, region: models.RegionName) -> None:
        """Drops a region's combined load and evidence.

        This is also done when the region's hosts report directly again.
        """
        self.placing.drop_peer(_region_peer_id(region))

    def _apply_host_states(self, summary: Summary, now: float) -> None:
        for host in summary.identities:
            self.fleet.discover(host, now)
        self.fleet.discover(summary.relay, now)
        for member in list(self.fleet.peers.values()):
            state = summary.states.get(hash_host(member.host))
            if state is None:
                continue
            self.fleet.record_state(member.host, state, now)
            # What the host reported directly is now part of the region's sums.
            self.placing.drop_peer(member.host.id)
        relay = self.fleet.peers.get(summary.relay.id)
        if relay is not None:
            relay.update_tables(summary.operators, summary.servers)

    def _update_main_relay(
        self, region: models.RegionName, relay: models.HostId, now: float
    ) -> bool:
        """Returns whether to use a relay's customer counters.

        The counters of a region's relays differ slightly, so only those of one
        are used, until it falls silent and another takes its place.
        """
        main, heard_at = self.main_relays.get(region, (relay, now))
        if main != relay and now - heard_at < MAIN_RELAY_TIMEOUT_S:
            return False
        if main != relay:
            self.quotas.drop_region(region, now)
        self.main_relays[region] = (relay, now)
        return True

    def _select_identities(
        self, near: Sequence[members.Member], now: float
    ) -> list[members.Host]:
        """Returns recently discovered hosts, and others in rotation."""
        recent = [m.host for m in near if now - m.discovered_at < RECENT_HOST_S]
        identities = recent[:MAX_RECENT_HOSTS]
        for _ in range(min(ROTATING_IDENTITIES, len(near))):
            self.rotation += 1
            identities.append(near[self.rotation % len(near)].host)
        return identities


def is_needed(contacts: int) -> bool:
    """Returns whether a host with this many contacts relies on relays."""
    return contacts >= MAX_MESH_HOSTS


def hash_host(host: members.Host) -> int:
    """Returns the hash that identifies a host's process in datagrams."""
    return xxhash.xxh32_intdigest(f"{host.id}\0{host.started_ms}".encode())


def _choose_relays(
    region: models.RegionName, hosts: Iterable[models.HostId]
) -> list[models.HostId]:
    """Returns the relays of a region."""
    key = f"relay of {region}"
    return sorted(hosts, key=lambda host: rendezvous.rank(key, host))[
        :RELAYS_PER_REGION
    ]


def _region_peer_id(region: models.RegionName) -> models.HostId:
    """Returns the peer id under which a region's combined state is kept."""
    return models.HostId(f"region {region}")

"""Word between regions in large fleets: few hosts pass it on for the rest.

The load it answers: when every host tells every other of its requests, bytes
between regions and the work of taking them in grow with the square of the
fleet. In fleets above `MAX_MESH_HOSTS` hosts tell only their own region; in
each region the first hosts of a rendezvous order, its relays, tell those of
other regions what their region has together, and these tell their own region.
Each relay's chain is independent of the other's, so that one may fail.
"""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses

import xxhash

from banyanshed.steering import members
from banyanshed.steering import models
from banyanshed.steering import outliers
from banyanshed.steering import placement
from banyanshed.steering import quotas as quotas_lib
from banyanshed.steering import rendezvous
from banyanshed.steering import warmth

# Fleets up to this size tell each other directly.
MAX_MESH_HOSTS = 12
# Hosts of a region that pass word on.
RELAYS_PER_REGION = 2
# A relay that was not heard for this long is replaced as the one whose
# counters count.
MAIN_RELAY_TIMEOUT_S = 1.6
# Hosts that were learned of so lately are named to other regions, and so
# many of the others in turn.
RECENT_HOST_S = 10.0
MAX_RECENT_HOSTS = 20
ROTATING_IDENTITIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What the hosts of a region have together, as one of its relays knows.

    Attributes:
        relay: Who tells it.
        op_version: Newest change of the configuration's table there.
        servers_version: Newest change of the servers' table there.
        states: States of the region's live hosts, by `hash_host`.
        identities: Identities of some of them.
        usages: Sums of the customers' counters.
        in_flight: Requests at work, by server.
        warm_pairs: Pairs of server and object that became warm.
        evidence: Evidence on suspected servers.
    """

    relay: members.Host
    op_version: int
    servers_version: int
    states: Mapping[int, members.HostState]
    identities: Sequence[members.Host]
    usages: Sequence[quotas_lib.Usage]
    in_flight: Mapping[models.ServerId, int]
    warm_pairs: Sequence[int]
    evidence: Mapping[models.ServerId, outliers.Evidence]


class Relays:
    """The relays as one host sees them, and what it passes on as one."""

    def __init__(
        self,
        fleet: members.Members,
        quotas: quotas_lib.Quotas,
        placing: placement.Placement,
    ):
        """Takes what the host knows."""
        self.fleet = fleet
        self.quotas = quotas
        self.placing = placing
        self.main_relays: dict[
            models.RegionName, tuple[models.HostId, float]
        ] = {}
        self.rotation = 0

    def is_needed(self, now: float) -> bool:
        """Whether the fleet is too large to tell each other directly."""
        return is_needed(len(self.fleet.contacts(now)))

    def own_index(self, now: float) -> int | None:
        """Returns this host's place among its region's relays, if any."""
        relays = self.own_region_relays(now)
        own = self.fleet.own
        return relays.index(own) if own in relays else None

    def own_region_relays(self, now: float) -> list[members.Host]:
        """Returns the relays of this host's region, itself perhaps."""
        hosts = {m.host.id: m.host for m in self.fleet.live_in_region(now)}
        hosts[self.fleet.own.id] = self.fleet.own
        first = _choose_relays(self.fleet.own_region, hosts)
        return [hosts[id_] for id_ in first]

    def partners(self, index: int, now: float) -> list[members.Host]:
        """Returns the relay of the same place in each other region."""
        live = self.fleet.by_region(self.fleet.live(now))
        partners = []
        regions = self.fleet.by_region(self.fleet.peers.values())
        for region, known in regions.items():
            if region == self.fleet.own_region:
                continue
            hosts = {m.host.id: m.host for m in live.get(region, [])}
            if not hosts:
                # Any of them may be the one that is back.
                self.rotation += 1
                partners.append(known[self.rotation % len(known)].host)
                continue
            first = _choose_relays(region, hosts)
            partners.append(hosts[first[index % len(first)]])
        return partners

    def summarize(
        self, op_version: int, servers_version: int, now: float
    ) -> Summary:
        """Returns what the relay tells other regions."""
        near = self.fleet.live_in_region(now)
        states = {hash_host(m.host): m.state for m in near}
        states[hash_host(self.fleet.own)] = self.fleet.own_state
        ids = {member.host.id for member in near}
        in_flight = dict(self.placing.health.in_flight_by_server())
        for id_ in ids:
            for server, count in self.placing.peer_in_flight.get(
                id_, {}
            ).items():
                in_flight[server] = in_flight.get(server, 0) + count
        return Summary(
            self.fleet.own,
            op_version,
            servers_version,
            states,
            self._select_identities(near, now),
            self.quotas.region_report(now),
            in_flight,
            self.placing.warmth.take_unsent(warmth.Audience.FAR),
            self.placing.health.outliers.aggregate_report(ids, now),
        )

    def apply_summary(
        self,
        summary: Summary,
        configuration: models.Configuration | None,
        now: float,
    ) -> None:
        """Takes what a relay of another region tells."""
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
        if not self._update_main_relay(region, summary.relay.id, now):
            return
        if configuration is not None:
            self.quotas.apply_region_reports(
                region, summary.usages, configuration, now
            )

    def drop_silent_regions(self, now: float) -> None:
        """Forgets the work of regions of which nothing was heard lately."""
        for region, (_, heard_at) in self.main_relays.items():
            if now - heard_at > self.fleet.host_timeout_s:
                self.drop_region(region)

    def drop_region(self, region: models.RegionName) -> None:
        """Forgets the work of a region, whose hosts tell it themselves."""
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
            # What it told itself before is now part of the region's sums.
            self.placing.drop_peer(member.host.id)
        relay = self.fleet.peers.get(summary.relay.id)
        if relay is not None:
            relay.update_versions(summary.op_version, summary.servers_version)

    def _update_main_relay(
        self, region: models.RegionName, relay: models.HostId, now: float
    ) -> bool:
        """Whether a relay's counters count; those of others differ a bit."""
        main, heard_at = self.main_relays.get(region, (relay, now))
        if main != relay and now - heard_at < MAIN_RELAY_TIMEOUT_S:
            return False
        if main != relay:
            self.quotas.drop_region(region)
        self.main_relays[region] = (relay, now)
        return True

    def _select_identities(
        self, near: Sequence[members.Member], now: float
    ) -> list[members.Host]:
        """Returns hosts that other regions may not know yet."""
        recent = [m.host for m in near if now - m.discovered_at < RECENT_HOST_S]
        identities = recent[:MAX_RECENT_HOSTS]
        for _ in range(min(ROTATING_IDENTITIES, len(near))):
            self.rotation += 1
            identities.append(near[self.rotation % len(near)].host)
        return identities


def is_needed(contacts: int) -> bool:
    """Whether a host with so many contacts leaves the far ones to relays."""
    return contacts >= MAX_MESH_HOSTS


def hash_host(host: members.Host) -> int:
    """Returns the number that stands for a host's process in datagrams."""
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
    """What a region's hosts have together is kept like one peer's."""
    return models.HostId(f"region {region}")

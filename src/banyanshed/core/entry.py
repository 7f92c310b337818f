"""The core of an entry host: fleet, configuration, limits and traffic.

It performs no I/O: the daemon calls it on its event loop with the time of a
monotonic clock, and carries out the actions that it returns.
"""

from collections.abc import Sequence
import dataclasses
import random
from typing import Any

from banyanshed import settings as settings_module
from banyanshed.core import blocks
from banyanshed.core import configuration
from banyanshed.core import freshness
from banyanshed.core import gossip
from banyanshed.core import handover
from banyanshed.core import holdings
from banyanshed.core import leases
from banyanshed.core import lookups
from banyanshed.core import membership
from banyanshed.core import models
from banyanshed.core import problems
from banyanshed.core import rows
from banyanshed.core import sessions
from banyanshed.core import shares
from banyanshed.core import traffic

MAX_INCARNATION = (1 << 64) - 1


class EntryHost:
    """State of a daemon; used only on the thread of its event loop."""

    def __init__(
        self,
        settings: settings_module.Settings,
        rng: random.Random,
        now_s: float,
    ):
        """Initializes a host without configuration and without shares.

        Args:
            settings: Settings of this host.
            rng: Source of random numbers.
            now_s: Monotonic time in seconds.
        """
        self.settings = settings
        self.rng = rng
        self.host = settings.host_id()
        self.region = models.RegionId(settings.region)
        self.store_region = models.RegionId(settings.store_region)
        self.incarnation = rng.randint(1, MAX_INCARNATION)
        self.leaving = False
        self.config = configuration.Configuration()
        self.clock = sessions.StoreClockBounds()
        self.freshness = freshness.Freshness(
            self.host, self.region, self.store_region, settings.max_key_age_s
        )
        self.members = membership.Membership(
            self._profile(), self.incarnation, rng, now_s
        )
        self.gossip = gossip.Gossip(
            self.members,
            self.freshness,
            rng,
            self.store_region,
            interval_s=settings.gossip_interval_s,
            suspect_after_s=settings.suspect_after_s,
        )
        self.shares = leases.ShareHolder(
            self.host,
            sessions.Incarnation(str(self.incarnation)),
            rng,
            settings.lease_s,
        )
        self.adopted_sessions = handover.AdoptedSessions(self.shares)
        self.lookup = lookups.Lookup(
            settings.lookup_ttl_s, settings.lookup_hosts
        )
        self.traffic = traffic.Traffic(
            settings, self.config, self.shares, self.freshness, rng
        )
        self.drained: frozenset[str] = frozenset()

    def _profile(self) -> models.ListedHost:
        return models.ListedHost(
            host=self.host,
            region=self.region,
            zone=models.ZoneId(self.settings.zone),
            caller_address=self.settings.caller_address,
            peer_address=self.settings.peer_address,
            state=models.HostState.LIVE,
        )

    # Configuration.

    def apply_delta(
        self, now_s: float, delta: configuration.ConfigDelta
    ) -> None:
        """Applies a configuration delta; older rows have no effect."""
        before = self.config.version
        self.config.apply(delta)
        if self.config.version == before and not delta.rows:
            return
        self._on_config(now_s)

    def on_store_clock(
        self, sent_s: float, now_s: float, store_s: float
    ) -> None:
        """Updates the estimate of the table service's clock from a response.

        Args:
            sent_s: Monotonic time at which the request was sent.
            now_s: Monotonic time.
            store_s: Clock of the table service in the response, in seconds.
        """
        self.clock.observe(sent_s, now_s, store_s)

    def _on_config(self, now_s: float) -> None:
        self.lookup.set_distances(
            {
                region: {
                    models.RegionId(name): distance_ms
                    for name, distance_ms in row.distances_ms.items()
                }
                for region, row in self.config.regions.items()
            }
        )
        self._set_limits(now_s)
        self.traffic.on_config(now_s, self.drained)

    def _set_limits(self, now_s: float) -> None:
        """Updates the limits; drained placements count with a weight of 0."""
        self.drained = self._drained_now(now_s)
        limit_rows: list[rows.AnyRow] = []
        for row in self.config.rows.values():
            if rows.row_key(row) not in self.drained:
                limit_rows.append(row)
                continue
            limit_rows.append(row.model_copy(update={"weight": 0}))
        self.shares.set_limits(
            shares.limits_of(limit_rows, self.config.version)
        )

    def _drained_now(self, now_s: float) -> frozenset[str]:
        """Returns the keys of drained placements and backend servers."""
        if not self.config.drains or not self.clock.known:
            return frozenset()
        store_s = self.clock.latest_s(now_s)
        keys = []
        for key, row in self.config.rows.items():
            if isinstance(row, rows.PlacementRow):
                drained = self.config.drained(
                    models.ServiceId(row.service),
                    models.RegionId(row.region),
                    store_s,
                )
            elif isinstance(row, rows.BackendRow):
                drained = self.config.backend_drained(
                    models.ServiceId(row.service),
                    models.BackendId(row.backend),
                    store_s,
                )
            else:
                continue
            if drained:
                keys.append(key)
        return frozenset(keys)

    # Fleet.

    def on_hosts(self, now_s: float, page: models.HostPage) -> None:
        """Applies the platform's list of hosts."""
        self.members.update_list(page.hosts)
        self.traffic.on_leaving_hosts(now_s, page.leaving_addresses)

    def refresh(self, now_s: float) -> None:
        """Applies changes of the membership, and drains that began or ended."""
        live = self.members.live_hosts()
        self.lookup.set_hosts(live)
        self.shares.set_peers(self._witness_candidates(live))
        self.traffic.backends.set_host_count(len(live))
        if self._drained_now(now_s) != self.drained:
            self._set_limits(now_s)
            self.traffic.on_config(now_s, self.drained)

    def _witness_candidates(
        self, live: Sequence[models.ListedHost]
    ) -> list[models.HostId]:
        """Returns the hosts that may witness this host's session.

        Hosts of the same region but another availability zone are preferred:
        the region then keeps working when it is partitioned from the others,
        and shares are freed when a whole availability zone fails.
        """
        own = self.members.own.profile
        others = [host for host in live if host.host != self.host]
        same_region = [host for host in others if host.region == own.region]
        other_zone = [host for host in same_region if host.zone != own.zone]
        return [host.host for host in other_zone or same_region or others]

    def known_hosts(self) -> tuple[models.ListedHost, ...]:
        """Returns all known entry hosts with their current states."""
        return tuple(
            dataclasses.replace(member.profile, state=member.effective_state())
            for member in self.members.members.values()
        )

    def leave(self) -> None:
        """Starts a planned stop; the caller must announce it to the peers."""
        self.leaving = True
        self.shares.witness.waive()

    # Look-ups.

    def look_up(
        self, client: str, tenant: str | None, service: str
    ) -> dict[str, Any] | models.Refusal:
        """Returns the result of a look-up as JSON data.

        Args:
            client: Address of the caller.
            tenant: Tenant of the caller; None for services open to all.
            service: Service to be called.
        """
        if models.ServiceId(service) not in self.config.services:
            return problems.refuse(
                404, "no_such_service", "There is no such service."
            )
        try:
            site = self.config.blocks.find(client)
        except ValueError:
            return problems.refuse(
                400, "bad_client", "client is an IP address."
            )
        answer = self.lookup.lookup(self._caller(client, site, tenant, service))
        return {
            "hosts": [
                {"host": host.host, "address": host.caller_address}
                for host in answer.hosts
            ],
            "ttl_s": answer.ttl_s,
            "version": self.config.version,
        }

    def _caller(
        self,
        client: str,
        site: blocks.Site | None,
        tenant: str | None,
        service: str,
    ) -> lookups.Caller:
        service_id = models.ServiceId(service)
        regions = max(1, len(self.lookup.regions))
        placements = self.config.placements.get(service_id, {})
        units = sum(row.limit for row in placements.values())
        service_hosts = lookups.service_hosts(units, regions)
        tenant_id = None if tenant is None else models.TenantId(tenant)
        row = None if tenant_id is None else self.config.tenants.get(tenant_id)
        if row is None:
            return lookups.Caller(
                client, site, None, service_id, service_hosts=service_hosts
            )
        hosts = lookups.subset_hosts(row.rate, row.burst, regions)
        # A tenant whose rate needs more hosts than the service has by its units
        # gets that many hosts.
        return lookups.Caller(
            client,
            site,
            tenant_id,
            service_id,
            hosts,
            max(hosts, service_hosts),
        )

    # State.

    def state(self, now_s: float) -> dict[str, Any]:
        """Returns the state of this host as JSON data, without secrets."""
        return {
            "host": self.host,
            "region": self.region,
            "incarnation": str(self.incarnation),
            "leaving": self.leaving,
            "config_version": self.config.version,
            "config_age_s": _finite(self.freshness.config_age_s(now_s)),
            "keys_usable": self.freshness.keys_usable(now_s),
            "findings": _findings(self.config),
            "hosts": {
                host: state.value
                for host, state in sorted(self.members.states().items())
            },
            "gossip": self.gossip.state(now_s),
            "drained": sorted(self.drained),
            "shares": _shares(self.shares, now_s),
            "traffic": self.traffic.state(now_s),
        }


def _finite(value: float) -> float | None:
    return value if value < float("inf") else None


def _findings(config: configuration.Configuration) -> list[str]:
    found: list[str] = []
    for findings in config.findings.values():
        found.extend(str(finding) for finding in findings)
    return found


def _shares(holder: leases.ShareHolder, now_s: float) -> dict[str, Any]:
    held: dict[str, Any] = {}
    for key, share in sorted(holder.held.items()):
        if isinstance(share, holdings.HeldUnits):
            held[key] = {
                "units": share.units,
                "target": share.target,
                "in_use": share.in_use,
            }
            continue
        held[key] = {
            "rate": share.bucket.rate,
            "burst": share.bucket.burst,
            "tokens": share.bucket.tokens,
        }
    return {
        "phase": holder.phase.value,
        "session": holder.session,
        "valid": holder.valid(now_s),
        "witnesses": sorted(
            witness.host for witness in holder.witness_tracker.named
        ),
        "held": held,
        "adopted": [_shares(adopted, now_s) for adopted in holder.adopted],
    }

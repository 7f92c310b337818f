"""A host's view of the configuration, evacuations and backend servers.

The view is updated from whole tables or from changes, which come from the
store or from a peer. It never returns to an older configuration.
"""

import dataclasses

from banyanshed.steering import lifecycles as lifecycles_lib
from banyanshed.steering import models


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server as known to this host.

    Attributes:
        registration: Its newest entry in the store.
        cold_until: Until when it is cold after its start.
        registered_at: When its entry appeared.
        missing_until: Until when a missing entry may come back; None while
            the entry is present.
        missing_since: Version of the table that no longer has the entry.
    """

    registration: models.Registration
    cold_until: float
    registered_at: float
    missing_until: float | None = None
    missing_since: models.TableVersion = models.NO_TABLE


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedEntry:
    """An entry of a process with an earlier start than the known one.

    Attributes:
        registration: The newest entry of that process.
        since: When its first entry was refused.
    """

    registration: models.Registration
    since: float


class View:
    """Configuration and servers of the fleet as known to one host.

    Times are in seconds of one monotonic clock, which callers pass as `now`.

    Attributes:
        zones: Region of each availability zone.
        configuration: The configuration in force; None before the first.
        evacuated_zones: Zones whose servers get nothing.
        evacuation_ended_at: When the last evacuation of a zone ended.
        servers: Known servers by id.
        refused: Entries of processes that are taken to have ended, by server.
        servers_known: Whether the table of the servers has been read.
        awaits_peers: Whether peers may know of rows that the store has lost.
        lifecycles: What the servers say of their own life cycle.
        servers_version: Number of changes of the set of servers.
        by_service: Known servers by service.
    """

    def __init__(self, zones: dict[models.ZoneName, models.RegionName]):
        """Starts without a configuration or servers.

        Args:
            zones: Region of each availability zone.
        """
        self.zones = zones
        self.configuration: models.Configuration | None = None
        self.evacuated_zones: set[models.ZoneName] = set()
        self.evacuation_ended_at: dict[models.ZoneName, float] = {}
        self.servers: dict[models.ServerId, Server] = {}
        self.refused: dict[models.ServerId, RefusedEntry] = {}
        self.servers_known = False
        self.awaits_peers = False
        self.lifecycles = lifecycles_lib.Lifecycles()
        self.servers_version = 0
        self.by_service: dict[models.ServiceName, list[Server]] = {}

    def accept_configuration(
        self, new: models.Configuration, is_rewritten: bool = False
    ) -> bool:
        """Accepts a configuration that is newer than the one in force.

        Args:
            new: The configuration.
            is_rewritten: Whether its content differs. A version is given out
                again after a restore of the store has lost it.

        Returns:
            Whether it was accepted.
        """
        current = self.configuration
        if current is not None:
            if new.version < current.version:
                return False
            if new.version == current.version and not is_rewritten:
                return False
        self.configuration = new
        return True

    def is_ready(self) -> bool:
        """Returns whether requests can be served with what is known."""
        if self.configuration is None or self.awaits_peers:
            return False
        return self.servers_known

    def set_evacuated(
        self, zones: set[models.ZoneName], now: float
    ) -> tuple[set[models.ZoneName], set[models.ZoneName]]:
        """Replaces the set of evacuated zones.

        Returns:
            The zones whose evacuation has begun, and those where it ended.
        """
        begun = zones - self.evacuated_zones
        ended = self.evacuated_zones - zones
        self.evacuated_zones = set(zones)
        for zone in ended:
            self.evacuation_ended_at[zone] = now
        return begun, ended

    def put_server(
        self, entry: models.Registration, now: float, wall_ms: int
    ) -> bool:
        """Adds or updates a server from its entry in the store.

        Args:
            entry: The entry.
            now: Current time in seconds.
            wall_ms: Current Unix time in milliseconds.

        Returns:
            Whether the server is new: its id was unknown, or its start time,
            address or service differs.
        """
        known = self.servers.get(entry.id)
        if not self.lifecycles.accept_row(entry, now):
            self._refuse(entry, now)
            return False
        self.refused.pop(entry.id, None)
        cold_until = now + entry.cold_left_s
        same = (
            known is not None
            and known.registration.started_ms == entry.started_ms
            and known.registration.address == entry.address
            and known.registration.service == entry.service
        )
        if not same and entry.started_ms > 0 and entry.cold_left_s > 0:
            cold_until = max(
                cold_until, self._compute_cold_until(entry, now, wall_ms)
            )
        if known is not None and same:
            if _is_late(entry, known):
                return False
            known.missing_until = None
            known.registration = entry
            known.cold_until = cold_until
            return False
        self.servers[entry.id] = Server(entry, cold_until, now)
        self._index()
        return True

    def drop_server(
        self,
        id_: models.ServerId,
        now: float,
        keep_until: float,
        removed_at: models.TableVersion = models.NO_TABLE,
    ) -> bool:
        """Handles the removal of a server's entry.

        Args:
            id_: Server whose entry is missing.
            now: Current time in seconds.
            keep_until: Until when the server is kept, as its entry may come
                back after an outage of the store; not later than `now` to drop
                it immediately.
            removed_at: Version of the table that no longer has the entry.

        Returns:
            Whether the server was dropped now.
        """
        self.refused.pop(id_, None)
        known = self.servers.get(id_)
        if known is None:
            return False
        known.missing_since = removed_at
        if keep_until > now:
            known.missing_until = keep_until
            return False
        self._drop(known, now)
        self._index()
        return True

    def drop_missing(self, now: float) -> list[models.ServerId]:
        """Drops servers whose entries did not come back; returns their ids."""
        dropped = []
        for id_, server in self.servers.items():
            if server.missing_until is None or now < server.missing_until:
                continue
            dropped.append(id_)
        for id_ in dropped:
            self._drop(self.servers[id_], now)
        if dropped:
            self._index()
        return dropped

    def find_lasting(
        self, verified_at: float, lasting_s: float
    ) -> list[models.Registration]:
        """Returns entries that have lasted although they were in doubt.

        The store drops the entry of a silent server, so that one that lasts is
        being written.

        Args:
            verified_at: When the entries were last known to match the store.
            lasting_s: Seconds after which a silent server's entry is gone.
        """
        lasting = []
        for server in self.servers.values():
            entry = server.registration
            if self.lifecycles.find_doubt(entry) is None:
                continue
            doubted_since = self.lifecycles.doubted_since(entry)
            since = max(server.registered_at, doubted_since)
            if (
                server.missing_until is None
                and verified_at - since >= lasting_s
            ):
                lasting.append(entry)
        return lasting

    def take_outlasting(
        self, verified_at: float, lasting_s: float
    ) -> list[models.Registration]:
        """Takes refused entries that have lasted, for the known ones' place.

        They are of live processes, whose machines' clocks went back.

        Args:
            verified_at: When the entries were last known to match the store.
            lasting_s: Seconds after which a silent server's entry is gone.
        """
        outlasting = []
        for id_, refused in list(self.refused.items()):
            if verified_at - refused.since < lasting_s:
                continue
            del self.refused[id_]
            self.lifecycles.forget(id_)
            outlasting.append(refused.registration)
        return outlasting

    def accepts_requests(self, server: Server) -> bool:
        """Returns whether a server may get requests.

        It must be known, neither leaving nor evacuated, and not be taken to
        have left for an entry that was removed before.
        """
        entry = server.registration
        if self.servers.get(entry.id) is not server:
            return False
        if self.lifecycles.is_leaving(entry) or self.is_doubtful(server):
            return False
        return entry.zone not in self.evacuated_zones

    def is_doubtful(self, server: Server) -> bool:
        """Returns whether a server's entry may be of the past.

        That is so after a removal until the server says that it is healthy. Of
        one that can't be asked, only the numbers of its entries tell.
        """
        entry = server.registration
        removal = self.lifecycles.find_doubt(entry)
        if removal is None:
            return False
        return self._can_ask(entry) or 0 < entry.sequence <= removal.sequence

    def must_ask(self, server: Server) -> bool:
        """Returns whether a health check decides if a server is used."""
        entry = server.registration
        if self.lifecycles.find_doubt(entry) is None:
            return False
        if self.lifecycles.is_leaving(entry) or not self._can_ask(entry):
            return False
        return entry.zone not in self.evacuated_zones

    def region_of(self, server: Server) -> models.RegionName | None:
        """Returns the region of a server; None if its zone is unknown."""
        return self.zones.get(server.registration.zone)

    def service_of(self, entry: models.Registration) -> models.Service | None:
        """Returns the service of a server; None if it is not configured."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(entry.service)

    def is_cold(self, server: Server, now: float) -> bool:
        """Returns whether a server is cold, so that its rate is limited.

        Servers are cold after their start, after an evacuation of their zone
        ended, and when they or peers say so.
        """
        if now < server.cold_until:
            return True
        entry = server.registration
        service = self.service_of(entry)
        if service is None or service.cold_s <= 0.0:
            return False
        if self.lifecycles.is_cold(entry, now):
            return True
        returned = self.evacuation_ended_at.get(entry.zone)
        return returned is not None and now < returned + service.cold_s

    def _refuse(self, entry: models.Registration, now: float) -> None:
        since = now
        refused = self.refused.get(entry.id)
        if refused and refused.registration.started_ms == entry.started_ms:
            since = refused.since
        self.refused[entry.id] = RefusedEntry(entry, since)

    def _can_ask(self, entry: models.Registration) -> bool:
        service = self.service_of(entry)
        return service is not None and bool(service.health_path)

    def _drop(self, server: Server, now: float) -> None:
        entry = server.registration
        self.lifecycles.record_removal(entry, server.missing_since, now)
        del self.servers[entry.id]

    def _compute_cold_until(
        self, entry: models.Registration, now: float, wall_ms: int
    ) -> float:
        service = None
        if self.configuration is not None:
            service = self.configuration.services.get(entry.service)
        if service is None:
            return now
        age_s = max(0.0, (wall_ms - entry.started_ms) / 1000.0)
        return now + max(0.0, service.cold_s - age_s)

    def _index(self) -> None:
        self.servers_version += 1
        self.by_service = {}
        for server in self.servers.values():
            service_servers = self.by_service.setdefault(
                server.registration.service, []
            )
            service_servers.append(server)


def _is_late(entry: models.Registration, known: Server) -> bool:
    """Returns whether a server wrote an entry before the known one.

    One that was removed doesn't come back as it was: the server has written it
    once more.
    """
    if entry.sequence < known.registration.sequence:
        return True
    is_same = 0 < entry.sequence == known.registration.sequence
    return is_same and known.missing_until is not None

"""Encodes and decodes the messages of peer.capnp.

Decoders check what the schema can not express and raise PeerMalformed.
"""

import importlib.resources
import math
from typing import Any

import capnp

from banyanshed import exceptions
from banyanshed.core import freshness
from banyanshed.core import gossip
from banyanshed.core import membership
from banyanshed.core import models
from banyanshed.core import sessions
from banyanshed.core import shares

MAX_NAME_BYTES = 128
MAX_LIST_ITEMS = 128


def load_schema() -> Any:
    """Loads the schema from the file in this package."""
    source = importlib.resources.files("banyanshed.edges").joinpath(
        "peer.capnp"
    )
    with importlib.resources.as_file(source) as path:
        return capnp.load(str(path))


SCHEMA = load_schema()


def write_message(builder: Any, message: gossip.GossipMessage) -> None:
    """Encodes a gossip message into a schema builder."""
    _write_entry(builder.init("sender"), message.sender)
    builder.version = message.version
    builder.knownHosts = message.known_hosts
    builder.confirmedAgeS = message.confirmed_age_s
    contacts = builder.init("words", len(message.contacts))
    for index, contact in enumerate(message.contacts):
        contacts[index].host = contact.host
        contacts[index].ageS = contact.age_s
    entries = builder.init("entries", len(message.entries))
    for index, entry in enumerate(message.entries):
        _write_entry(entries[index], entry)
    builder.wants = list(message.wanted_profiles)
    builder.probes = list(message.probes)
    builder.reached = list(message.reached)


def read_message(reader: Any) -> gossip.GossipMessage:
    """Decodes a gossip message from a schema reader."""
    try:
        return gossip.GossipMessage(
            sender=_read_entry(reader.sender),
            version=reader.version,
            known_hosts=reader.knownHosts,
            confirmed_age_s=_read_age(reader.confirmedAgeS),
            contacts=tuple(
                freshness.StoreRegionContact(
                    _read_host(contact.host), _read_age(contact.ageS)
                )
                for contact in _read_list(reader.words)
            ),
            entries=tuple(
                _read_entry(entry) for entry in _read_list(reader.entries)
            ),
            wanted_profiles=tuple(
                _read_host(host) for host in _read_list(reader.wants)
            ),
            probes=tuple(
                _read_host(host) for host in _read_list(reader.probes)
            ),
            reached=tuple(
                _read_host(host) for host in _read_list(reader.reached)
            ),
        )
    except (capnp.KjException, ValueError) as error:
        raise exceptions.PeerMalformed(str(error)) from error


def write_heartbeat(builder: Any, heartbeat: sessions.Heartbeat) -> None:
    """Encodes a heartbeat into a schema builder."""
    builder.session = heartbeat.session
    builder.term = heartbeat.term
    builder.sequence = heartbeat.sequence


def read_heartbeat(reader: Any) -> sessions.Heartbeat:
    """Decodes a heartbeat from a schema reader."""
    return sessions.Heartbeat(
        shares.SessionId(_read_name(reader.session)),
        reader.term,
        reader.sequence,
    )


def write_acknowledgement(
    builder: Any, acknowledgement: sessions.Acknowledgement
) -> None:
    """Encodes an acknowledgement into a schema builder."""
    builder.host = acknowledgement.witness.host
    builder.incarnation = acknowledgement.witness.incarnation
    builder.term = acknowledgement.witness.term
    builder.session = acknowledgement.session
    builder.sequence = acknowledgement.sequence
    builder.accepted = acknowledgement.accepted
    builder.waived = acknowledgement.waived


def read_acknowledgement(reader: Any) -> sessions.Acknowledgement:
    """Decodes an acknowledgement from a schema reader."""
    witness = sessions.WitnessId(
        _read_host(reader.host),
        sessions.Incarnation(_read_name(reader.incarnation)),
        reader.term,
    )
    return sessions.Acknowledgement(
        witness,
        shares.SessionId(_read_name(reader.session)),
        reader.sequence,
        reader.accepted,
        reader.waived,
    )


def encoded_size_bytes(message: gossip.GossipMessage) -> int:
    """Returns a message's encoded size, without the RPC envelope."""
    builder = SCHEMA.GossipMessage.new_message()
    write_message(builder, message)
    return len(builder.to_bytes())


def _write_entry(builder: Any, entry: membership.MemberEntry) -> None:
    builder.host = entry.host
    builder.incarnation = entry.incarnation
    builder.heartbeat = entry.heartbeat
    builder.state = entry.state.value
    if entry.profile is None:
        return
    profile = builder.init("profile")
    profile.region = entry.profile.region
    profile.zone = entry.profile.zone
    profile.callerAddress = entry.profile.caller_address
    profile.peerAddress = entry.profile.peer_address


def _read_entry(reader: Any) -> membership.MemberEntry:
    host = _read_host(reader.host)
    profile = None
    if reader._has("profile"):
        profile = models.ListedHost(
            host=host,
            region=models.RegionId(_read_name(reader.profile.region)),
            zone=models.ZoneId(_read_name(reader.profile.zone)),
            caller_address=_read_name(reader.profile.callerAddress),
            peer_address=_read_name(reader.profile.peerAddress),
            state=models.HostState.LIVE,
        )
    return membership.MemberEntry(
        host=host,
        incarnation=reader.incarnation,
        heartbeat=reader.heartbeat,
        state=models.HostState(str(reader.state)),
        profile=profile,
    )


def _read_host(text: str) -> models.HostId:
    return models.HostId(_read_name(text))


def _read_name(text: str) -> str:
    if not 0 < len(text) <= MAX_NAME_BYTES:
        raise exceptions.PeerMalformed(f"name of {len(text)} characters")
    return text


def _read_age(age_s: float) -> float:
    if math.isnan(age_s) or age_s < 0:
        raise exceptions.PeerMalformed(f"age of {age_s} s")
    return age_s


def _read_list(items: Any) -> Any:
    if len(items) > MAX_LIST_ITEMS:
        raise exceptions.PeerMalformed(f"list of {len(items)} items")
    return items

"""Heartbeat topology: which members exchange heartbeats and whose gossip counts.

In a small deployment all members exchange heartbeats with each other. In a large one,
the members of an availability zone do so with each other, or, if the zone is large
itself, only with its two relays. The relays of each zone also exchange heartbeats with
the relays of the other zones. Gossip about a member then travels from the member to the
relays of its zone, from these to the members of the zone and to the relays of another
zone, and from those to the members there. Members only report members of their own zone
from which they receive heartbeats themselves, so that two daemons cannot keep a dead
member live by repeating each other's gossip.

The functions of this module are pure.
"""

from collections.abc import Collection, Iterable, Sequence

from .model import Member
from .ranking import rendezvous_order

__all__ = [
    "FULL_MESH_LIMIT",
    "ZONE_MESH_LIMIT",
    "RELAYS_PER_ZONE",
    "accepts_gossip",
    "is_large",
    "is_relay",
    "heartbeat_peers",
    "gossip_for",
    "relays",
]

FULL_MESH_LIMIT = 12
# Members of a zone up to which they all exchange heartbeats with each other.
ZONE_MESH_LIMIT = 8
RELAYS_PER_ZONE = 2
RELAY_KEY = "relay"
# Silent members that may be relays and are called nevertheless: after a loss of many
# members of a zone, most of those that rank first come back.
MAX_SILENT_RELAYS = 6
# Other members that are called while too few relays are live. They know which are.
MAX_CONTACTS = 2


def is_large(members: Collection[Member]) -> bool:
    """Return whether a deployment is too large for a full mesh."""
    return len(members) > FULL_MESH_LIMIT


def relays(zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the relays of an availability zone.

    Parameters
    ----------
    zone : str
        The zone.
    members : iterable of Member
        Live members.
    """
    local = (member for member in members if member.zone == zone)
    return rendezvous_order(RELAY_KEY, local)[:RELAYS_PER_ZONE]


def is_relay(own: Member, live: Iterable[Member]) -> bool:
    """Return whether a live member is a relay of its availability zone."""
    return own.vm in {member.vm for member in relays(own.zone, live)}


def heartbeat_peers(
    own: Member,
    live: Sequence[Member],
    known: Sequence[Member],
    seeds: Collection[str],
) -> set[str]:
    """Return the ids of the members to exchange heartbeats with.

    Parameters
    ----------
    own : Member
        This daemon.
    live : sequence of Member
        Live members, this daemon included.
    known : sequence of Member
        All other recently known members, live or not. A daemon that has just
        started has received no heartbeats and selects its peers from these.
    seeds : collection of str
        Ids of the members that are named in the settings.
    """
    if not is_large(known):
        return {member.vm for member in known}
    # The name and zone of a seed may be placeholders until it is heard.
    local = [
        member
        for member in known
        if member.zone == own.zone and (member.incarnation or member.vm not in seeds)
    ]
    if len(local) < ZONE_MESH_LIMIT:
        result = {member.vm for member in local}
    else:
        result = _relays_to_call(own, live, local, seeds)
    if not is_relay(own, live):
        return result
    # Relays also exchange heartbeats with the seeds, through which the relays of all
    # zones find each other.
    result.update(seeds)
    by_zone = _group_by_zone(known)
    by_zone.update(_group_by_zone(live))
    for zone, members in by_zone.items():
        if zone != own.zone:
            result.update(member.vm for member in relays(zone, members))
    return result - {own.vm}


def _relays_to_call(
    own: Member,
    live: Sequence[Member],
    local: Sequence[Member],
    seeds: Collection[str],
) -> set[str]:
    """Return the relays of the own zone, and silent members that may be relays.

    While fewer relays are live than there should be, some other members and the seeds
    are called as well.
    """
    live_ids = {member.vm for member in live}
    result: set[str] = set()
    live_relays = silent = 0
    for member in rendezvous_order(RELAY_KEY, [own, *local]):
        if member.vm in live_ids:
            live_relays += 1
        elif silent < MAX_SILENT_RELAYS:
            silent += 1
        else:
            continue
        result.add(member.vm)
        if live_relays == RELAYS_PER_ZONE:
            return result
    contacts = rendezvous_order(own.vm, local)[:MAX_CONTACTS]
    return result | {member.vm for member in contacts} | set(seeds)


def _group_by_zone(members: Iterable[Member]) -> dict[str, list[Member]]:
    groups: dict[str, list[Member]] = {}
    for member in members:
        groups.setdefault(member.zone, []).append(member)
    return groups


def gossip_for(
    own: Member, peer_zone: str, direct: Iterable[Member], indirect: Iterable[Member]
) -> list[Member]:
    """Return the members to report to a peer.

    Parameters
    ----------
    own : Member
        This daemon.
    peer_zone : str
        Availability zone of the peer.
    direct : iterable of Member
        Members from which this daemon itself receives heartbeats.
    indirect : iterable of Member
        Members of other zones that a member of their zone reports as live.

    Returns
    -------
    list of Member
        For a peer in another zone, the direct members; for a peer in this zone, also
        the indirect ones.
    """
    reported = {member.vm: member for member in direct}
    if peer_zone == own.zone:
        for member in indirect:
            reported.setdefault(member.vm, member)
    return sorted(reported.values(), key=lambda member: member.vm)


def accepts_gossip(own: Member, source: Member, about: Member) -> bool:
    """Return whether gossip of a peer makes another member count as live.

    A peer is accepted for members of its own zone, from which it receives heartbeats
    itself, and a peer in this zone also for members of other zones. Other gossip only
    provides a member's address.
    """
    return source.zone in (about.zone, own.zone)

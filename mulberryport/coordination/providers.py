"""Which daemons a daemon may follow instead of watching the store itself.

In a small fleet two daemons of each availability zone watch the store. In a large one
two of the relays of all zones do, the roots; the other relays follow them, and the
other daemons the relays of their zone.
"""

import random

from ..membership import Member, Members, rendezvous_order
from ..membership.topology import relays
from ..runtime.clock import boottime

__all__ = [
    "LARGE_FLEET_WAIT_S",
    "PROVIDER_WAIT_S",
    "choose_providers",
    "choose_wait_s",
    "is_silent",
    "max_provider_distance",
]

# Longest wait of one call to a provider. In a small deployment it bounds the time until
# a provider that hangs is noticed; targets may be used for at most 2 s after they
# announce that they leave. In a large one, where each call costs the providers more,
# missing heartbeats of the provider end the call.
PROVIDER_WAIT_S = 1.0
LARGE_FLEET_WAIT_S = 10.0
# Smallest part of the longest wait. Followers wait for different times, so that their
# calls do not all end at the same time.
MIN_WAIT_SHARE = 0.6
# Age of the last heartbeat at which a provider counts as hanging.
MAX_HEARTBEAT_AGE_S = 1.8
ROOT_KEY = "root"
ROOTS = 2


def choose_wait_s(members: Members, vm: str) -> float:
    """Return how long a call to a provider may wait for a change."""
    if not _is_heard_often(members, vm):
        return PROVIDER_WAIT_S
    return LARGE_FLEET_WAIT_S * random.uniform(MIN_WAIT_SHARE, 1.0)


def is_silent(members: Members, vm: str) -> bool:
    """Return whether a VM is unknown, or its heartbeats are overdue."""
    member = members.get(vm)
    if member is None:
        return True
    age = boottime() - member.heard_at
    return _is_heard_often(members, vm) and age > MAX_HEARTBEAT_AGE_S


def _is_heard_often(members: Members, vm: str) -> bool:
    """Whether the heartbeats of a VM show soon that it hangs."""
    member = members.get(vm)
    own_zone = members.self_member.zone
    return members.is_large() and member is not None and member.zone == own_zone


def choose_providers(members: Members) -> list[str]:
    """Return the VMs that this daemon may follow; empty if it must watch the store.

    Rendezvous hashing of the daemon's id sets which of several it prefers, so that the
    load is spread.
    """
    own = members.self_member
    staying = [member for member in members.live() if not member.leaving]
    providers = relays(own.zone, staying)
    if own.leaving:
        return []
    if own.vm in {member.vm for member in providers}:
        providers = _choose_roots(staying) if members.is_large() else []
        if own.vm in {member.vm for member in providers}:
            return []
    return [member.vm for member in rendezvous_order(own.vm, providers)]


def _choose_roots(staying: list[Member]) -> list[Member]:
    zones = sorted({member.zone for member in staying})
    all_relays = [relay for zone in zones for relay in relays(zone, staying)]
    return rendezvous_order(ROOT_KEY, all_relays)[:ROOTS]


def max_provider_distance(members: Members) -> int:
    """Return the largest distance from the store at which a provider may be used."""
    return 0 if members.is_relay() else 1

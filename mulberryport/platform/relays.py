"""Which peers the store serves, as they tell in their heartbeats."""

from attrs import define, field

from ..membership import Members
from ..peering import peer_pb2
from ..runtime.clock import boottime
from .store import PlatformStore

__all__ = ["StoreWitnesses"]

# Three heartbeats.
NEWS_LIFETIME_S = 3.0


@define(eq=False)
class StoreWitnesses:
    """Peers that say that the store answers them."""

    store: PlatformStore
    members: Members
    _served_at: dict[str, float] = field(factory=dict)

    @property
    def store_readable(self) -> bool:
        """Whether the store answers this daemon, for its heartbeats."""
        return self.store.served_directly

    def apply_heartbeat(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Note what a peer says of the store."""
        vm = heartbeat.sender.vm
        if heartbeat.store_readable and not heartbeat.leaving:
            self._served_at[vm] = boottime()
        else:
            self._served_at.pop(vm, None)

    def relays(self) -> list[str]:
        """Return the peers that can make calls, those of the own zone first."""
        now, zone = boottime(), self.members.self_member.zone
        fresh = [
            member
            for vm, at in self._served_at.items()
            if now - at <= NEWS_LIFETIME_S
            and (member := self.members.get(vm)) is not None
        ]
        fresh.sort(key=lambda member: (member.zone != zone, member.vm))
        return [member.vm for member in fresh]

"""Which members may hold a record: the recent owners and replicas of its key."""

from collections.abc import Callable, Iterable

from attrs import define, field

from ..membership import Member, rendezvous_order
from ..runtime.clock import boottime

__all__ = ["HOLDERS_PER_KEY", "HolderHistory", "choose_holders"]

HOLDERS_PER_KEY = 2
Holder = tuple[str, int]


def choose_holders(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the owner of a key and its replica, which is in another zone if possible.

    The owner is the first member in the rendezvous order.
    """
    ordered = rendezvous_order(key, members)
    if len(ordered) < HOLDERS_PER_KEY:
        return ordered
    first = ordered[0]
    other = next((m for m in ordered[1:] if m.zone != first.zone), ordered[1])
    return [first, other]


@define(eq=False)
class HolderHistory:
    """Recent membership views of this daemon, which determine the record holders.

    Parameters
    ----------
    lifetime : float
        Seconds for which a view is relevant after another replaced it.
    """

    lifetime: float
    now: Callable[[], float] = boottime
    _views: list[tuple[float, tuple[Member, ...]]] = field(factory=list)
    _handed_over: set[Holder] = field(factory=set)

    def record_members(self, live: Iterable[Member]) -> None:
        """Record the members that are live now, if they changed."""
        ordered = tuple(sorted(live, key=lambda member: member.vm))
        # Members that are stopping do not become owners of new records.
        view = tuple(m for m in ordered if not m.leaving) or ordered
        last = self._views[-1][1] if self._views else ()
        if _identities(last) != _identities(view):
            self._views.append((self.now(), view))
        cutoff = self.now() - self.lifetime
        # The oldest view that is kept is the one that was current at the cutoff.
        while len(self._views) > 1 and self._views[1][0] < cutoff:
            self._views.pop(0)

    def mark_handed_over(self, vm: str, incarnation: int) -> None:
        """Exclude a member that has handed over all of its records."""
        self._handed_over.add((vm, incarnation))

    def holders(self, key: str) -> dict[Holder, Member]:
        """Return the owners and replicas of a key within the lifetime."""
        found: dict[Holder, Member] = {}
        for _, view in self._views:
            for member in choose_holders(key, view):
                identity = (member.vm, member.incarnation)
                if identity not in self._handed_over:
                    found[identity] = member
        return found


def _identities(view: Iterable[Member]) -> set[Holder]:
    return {(m.vm, m.incarnation) for m in view}

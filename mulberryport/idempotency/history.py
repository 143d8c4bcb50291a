"""Which members could hold a record: the owners of its key in recent times."""

from collections.abc import Callable, Iterable

from attrs import define, field

from ..membership import Member, rendezvous_order
from ..runtime.clock import boottime

__all__ = ["HOLDERS", "OwnerHistory", "owners_among"]

HOLDERS = 2
Holder = tuple[str, int]


def owners_among(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the owner of a key and its replica, in another zone if possible."""
    ordered = rendezvous_order(key, members)
    if len(ordered) < HOLDERS:
        return ordered
    first = ordered[0]
    other = next((m for m in ordered[1:] if m.zone != first.zone), ordered[1])
    return [first, other]


@define(eq=False)
class OwnerHistory:
    """The sets of members of the last time, as this daemon saw them.

    Parameters
    ----------
    lifetime : float
        Seconds for which a set matters after it was replaced.
    """

    lifetime: float
    now: Callable[[], float] = boottime
    _views: list[tuple[float, tuple[Member, ...]]] = field(factory=list)
    _retired: set[Holder] = field(factory=set)

    def note(self, live: Iterable[Member]) -> None:
        """Note the members that are live now."""
        ordered = tuple(sorted(live, key=lambda member: member.vm))
        # Members that are stopping own nothing new.
        view = tuple(m for m in ordered if not m.leaving) or ordered
        last = self._views[-1][1] if self._views else ()
        if _identities(last) != _identities(view):
            self._views.append((self.now(), view))
        limit = self.now() - self.lifetime
        # The first view kept is the one that was in force at the limit.
        while len(self._views) > 1 and self._views[1][0] < limit:
            self._views.pop(0)

    def retire(self, vm: str, incarnation: int) -> None:
        """Note that a member handed all of its records over."""
        self._retired.add((vm, incarnation))

    def holders(self, key: str) -> dict[Holder, Member]:
        """Return the members that owned a key within the lifetime."""
        found: dict[Holder, Member] = {}
        for _, view in self._views:
            for member in owners_among(key, view):
                identity = (member.vm, member.incarnation)
                if identity not in self._retired:
                    found[identity] = member
        return found


def _identities(view: Iterable[Member]) -> set[Holder]:
    return {(m.vm, m.incarnation) for m in view}

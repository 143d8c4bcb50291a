"""Polling of load reports and of the list of VMs."""

from collections.abc import Iterable, Mapping

import eventlet
from attrs import define, field

from ..membership import Member, Members
from ..membership.ranking import rendezvous_order
from ..outcomes import Done
from ..routing import TargetView
from .directory import TargetDirectory
from .load_client import fetch_load
from .vm_list import fetch_vms

__all__ = ["POLL_PERIOD_S", "LoadPoller", "choose_pollers", "poll_vm_list"]

# Two lost polls still keep the bound of 3 s for leaving targets.
POLL_PERIOD_S = 1.0
POLL_TIMEOUT_S = 0.8
POLLERS = 2
# Up to this number of daemons all poll all targets, so that each has its own
# judgement; beyond it the polls would grow with the product of both numbers.
ALL_POLL_UP_TO = 12


def choose_pollers(
    target: str, zone: str, live: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the daemons that poll a target.

    Parameters
    ----------
    target, zone : str
        Id and availability zone of the target.
    live : iterable of Member
        The live members.
    """
    members = tuple(live)
    if len(members) <= ALL_POLL_UP_TO:
        return members
    near = [member for member in members if member.zone == zone]
    return tuple(rendezvous_order(f"poll/{target}", near or members)[:POLLERS])


@define(eq=False)
class LoadPoller:
    """Polls the targets that fall to this daemon."""

    directory: TargetDirectory
    members: Members
    _zones: dict[str, str] = field(factory=dict)
    _polled: frozenset[str] = frozenset()
    _all_poll: bool = True

    @property
    def zones(self) -> Mapping[str, str]:
        """Zone of each target, as of the last turn."""
        return self._zones

    @property
    def polled(self) -> frozenset[str]:
        """Targets that this daemon polls, as of the last turn."""
        return self._polled

    @property
    def all_poll(self) -> bool:
        """Whether the fleet is so small that every daemon polls every target."""
        return self._all_poll

    def turn(self) -> None:
        """Poll once, side by side."""
        pool = eventlet.GreenPool(64)
        for view in self.assign():
            pool.spawn_n(self._poll, view)
        pool.waitall()

    def assign(self) -> list[TargetView]:
        """Determine and return the targets that this daemon polls from now on."""
        live = self.members.live()
        vm = self.members.self_member.vm
        views = self.directory.all_views()
        mine = [
            view
            for view in views
            if any(m.vm == vm for m in choose_pollers(view.id, view.zone, live))
        ]
        self._zones = {view.id: view.zone for view in views}
        self._polled = frozenset(view.id for view in mine)
        self._all_poll = len(live) <= ALL_POLL_UP_TO
        for view in views:
            if view.id not in self._polled:
                self.directory.not_polled(view.id)
        return mine

    def _poll(self, view: TargetView) -> None:
        outcome = fetch_load(view.address, POLL_TIMEOUT_S)
        if isinstance(outcome, Done):
            self.directory.poll_answered(view.id, outcome.value)
        else:
            self.directory.poll_missed(view.id)


def poll_vm_list(directory: TargetDirectory, url: str, timeout: float) -> None:
    """Read the list of VMs once; on failure the last one stays in use."""
    outcome = fetch_vms(url, timeout)
    if isinstance(outcome, Done):
        directory.use_vm_list(outcome.value)

"""Periodic polling of target load reports and of the platform's VM list."""

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

__all__ = ["POLL_PERIOD_S", "LoadPoller", "choose_pollers", "refresh_vm_list"]

# Leaving targets must be detected within 3 s, even if two polls are lost.
POLL_PERIOD_S = 1.0
POLL_TIMEOUT_S = 0.8
POLLERS_PER_TARGET = 2
# Up to this number of daemons, every daemon polls every target and so determines
# their health independently. In larger fleets the number of polls would grow with
# the product of daemons and targets.
ALL_POLL_MAX_MEMBERS = 12


def choose_pollers(
    target: str, zone: str, live_members: Iterable[Member]
) -> tuple[Member, ...]:
    """Select the daemons that poll a target, preferring the target's zone.

    Parameters
    ----------
    target, zone : str
        Id and availability zone of the target.
    live_members : iterable of Member
        Live members of the fleet.
    """
    members = tuple(live_members)
    if len(members) <= ALL_POLL_MAX_MEMBERS:
        return members
    same_zone = [member for member in members if member.zone == zone]
    return tuple(
        rendezvous_order(f"poll/{target}", same_zone or members)[:POLLERS_PER_TARGET]
    )


@define(eq=False)
class LoadPoller:
    """Polls the targets that are assigned to this daemon."""

    directory: TargetDirectory
    members: Members
    _target_zones: dict[str, str] = field(factory=dict)
    _polled_targets: frozenset[str] = frozenset()
    _polls_all_targets: bool = True

    @property
    def target_zones(self) -> Mapping[str, str]:
        """Availability zone of each target, as of the last assignment."""
        return self._target_zones

    @property
    def polled_targets(self) -> frozenset[str]:
        """Ids of the targets that this daemon polls, as of the last assignment."""
        return self._polled_targets

    @property
    def polls_all_targets(self) -> bool:
        """Whether the fleet is small enough that every daemon polls every target."""
        return self._polls_all_targets

    def run_once(self) -> None:
        """Poll all assigned targets once, concurrently."""
        pool = eventlet.GreenPool(64)
        for view in self.assign_targets():
            pool.spawn_n(self._poll, view)
        pool.waitall()

    def assign_targets(self) -> list[TargetView]:
        """Recompute and return the targets that this daemon polls."""
        live_members = self.members.live()
        vm = self.members.self_member.vm
        views = self.directory.all_views()
        assigned = [
            view
            for view in views
            if any(m.vm == vm for m in choose_pollers(view.id, view.zone, live_members))
        ]
        self._target_zones = {view.id: view.zone for view in views}
        self._polled_targets = frozenset(view.id for view in assigned)
        self._polls_all_targets = len(live_members) <= ALL_POLL_MAX_MEMBERS
        for view in views:
            if view.id not in self._polled_targets:
                self.directory.reset_missed_polls(view.id)
        return assigned

    def _poll(self, view: TargetView) -> None:
        outcome = fetch_load(view.address, POLL_TIMEOUT_S)
        if isinstance(outcome, Done):
            self.directory.record_poll_response(view.id, outcome.value)
        else:
            self.directory.record_missed_poll(view.id)


def refresh_vm_list(directory: TargetDirectory, url: str, timeout: float) -> None:
    """Read the VM list once; after a failure the previous list stays in effect."""
    outcome = fetch_vms(url, timeout)
    if isinstance(outcome, Done):
        directory.apply_vm_list(outcome.value)

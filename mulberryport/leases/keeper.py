"""Contends for duties and keeps their leases."""

from collections.abc import Callable

from attrs import define, field

from ..membership import Members
from ..outcomes import Done, NotDone
from ..runtime.clock import boottime
from ..store import StoreClient
from ..telemetry import define as define_event
from ..telemetry import log
from .duty import LEASE_TTL_S, Duty

__all__ = ["DutyKeeper"]

DUTY_GAINED = define_event(400, "duty_gained", "info", "This daemon holds a duty now.")
DUTY_LOST = define_event(
    401, "duty_lost", "warning", "This daemon does not hold a duty any more."
)

RENEWAL_PERIOD_S = 3.0


@define(eq=False)
class DutyKeeper:
    """Keeps the leases of the duties that this daemon holds or wants.

    Parameters
    ----------
    store : StoreClient
        Where leases are kept.
    members : Members
        Determines who contends first.
    """

    store: StoreClient
    members: Members
    _duties: dict[str, Duty] = field(factory=dict)
    _renewed_at: dict[str, float] = field(factory=dict)
    _on_gain: list[Callable[[Duty], None]] = field(factory=list)
    _stopping: bool = False

    @property
    def duties(self) -> tuple[Duty, ...]:
        """All duties, held or not."""
        return tuple(self._duties.values())

    def duty(self, name: str) -> Duty:
        """Return a duty and contend for it from now on."""
        return self._duties.setdefault(name, Duty(name))

    def on_gain(self, callback: Callable[[Duty], None]) -> None:
        """Call a function with each duty that this daemon gains."""
        self._on_gain.append(callback)

    def turn(self) -> None:
        """Renew held leases when due and contend for the others."""
        for duty in self.duties:
            if self._stopping:
                return
            due = self._renewed_at.get(duty.name, float("-inf")) + RENEWAL_PERIOD_S
            if boottime() >= due:
                self._renewed_at[duty.name] = boottime()
                self._renew(duty) if duty.held else self._contend(duty)

    def release_all(self) -> None:
        """Give all leases back, for a planned stop."""
        self._stopping = True
        for duty in self.duties:
            if duty.held:
                duty.lost()
                self.store.release_lease(duty.name, self._holder, duty.fencing)
                log(DUTY_LOST, duty=duty.name, reason="released")

    @property
    def _holder(self) -> str:
        member = self.members.self_member
        return f"{member.vm}/{member.incarnation}"

    def _contend(self, duty: Duty) -> None:
        # Only the first owner contends while all is well, which spreads duties and
        # saves calls; the second steps in when the first is not live.
        owners = {member.vm for member in self.members.owners(duty.name, 2)}
        if self.members.self_member.vm not in owners:
            return
        sent_at = boottime()
        outcome = self.store.acquire_lease(duty.name, self._holder, LEASE_TTL_S)
        if not isinstance(outcome, Done) or outcome.value is None:
            return
        if duty.granted(outcome.value.fencing, sent_at, LEASE_TTL_S):
            log(DUTY_GAINED, duty=duty.name, fencing=duty.fencing)
            for callback in self._on_gain:
                callback(duty)

    def _renew(self, duty: Duty) -> None:
        sent_at = boottime()
        outcome = self.store.renew_lease(
            duty.name, self._holder, duty.fencing, LEASE_TTL_S
        )
        if isinstance(outcome, Done) and outcome.value is not None:
            duty.granted(duty.fencing, sent_at, LEASE_TTL_S)
            return
        if isinstance(outcome, Done):
            duty.lost()
            log(DUTY_LOST, duty=duty.name, reason="held by another daemon")
            return
        # Without an answer the lease runs on until its deadline; try again soon.
        self._renewed_at[duty.name] = boottime() - RENEWAL_PERIOD_S + 1.0
        if isinstance(outcome, NotDone) and not duty.held:
            log(DUTY_LOST, duty=duty.name, reason=outcome.reason)

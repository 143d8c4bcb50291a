"""Contends for duties and keeps their leases."""

from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field

from ..membership import Members
from ..outcomes import Done, Outcome
from ..runtime.clock import boottime
from ..store import Lease, StoreClient
from ..telemetry import define as define_event
from ..telemetry import log
from .duty import LEASE_TTL_S, Duty

__all__ = ["DutyKeeper"]

DUTY_GAINED = define_event(400, "duty_gained", "info", "This daemon holds a duty now.")
DUTY_LOST = define_event(
    401, "duty_lost", "warning", "This daemon does not hold a duty any more."
)
CALLBACK_FAILED = define_event(
    402, "duty_callback_failed", "error", "A part failed to take or leave a duty."
)

RENEWAL_PERIOD_S = 3.0
# After a call without an answer; several attempts fit into a lease.
RETRY_PERIOD_S = 1.0
# The first owner asks this often for a lease that another daemon holds.
FIRST_OWNER_PERIOD_S = 2.0
# The second owner asks when the first could have taken a lapsed lease several
# times, and then at this period.
SECOND_OWNER_WAIT_S = LEASE_TTL_S
SECOND_OWNER_PERIOD_S = 5.0

Callback = Callable[[Duty], None]


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
    _due: dict[str, float] = field(factory=dict)
    _standby_since: dict[str, float] = field(factory=dict)
    _held: set[str] = field(factory=set)
    _busy: set[str] = field(factory=set)
    _on_gain: list[Callback] = field(factory=list)
    _on_loss: list[Callback] = field(factory=list)
    _stopping: bool = False
    _spawn: Callable[..., Any] = eventlet.spawn_n

    @property
    def duties(self) -> tuple[Duty, ...]:
        """All duties, held or not."""
        return tuple(self._duties.values())

    def duty(self, name: str) -> Duty:
        """Return a duty and contend for it from now on."""
        return self._duties.setdefault(name, Duty(name))

    def give_up(self, name: str) -> None:
        """Leave a duty that does not exist any more; its lease runs out.

        The lease is not given back: should the duty return, a release that arrives
        late would take the new lease, which has the same fencing number.
        """
        duty = self._duties.pop(name, None)
        if duty is not None:
            duty.lost()
            self._note_lost(duty, "given up")

    def on_gain(self, callback: Callback) -> None:
        """Call a function with each duty that this daemon gains."""
        self._on_gain.append(callback)

    def on_loss(self, callback: Callback) -> None:
        """Call a function with each duty that this daemon no longer holds.

        The call can come late; an act that only the holder may do needs the guard.
        """
        self._on_loss.append(callback)

    def turn(self) -> None:
        """Renew held leases when due and contend for the others.

        Each duty is served in a thread of its own, so that a slow call for one of
        them does not cost the leases of the others.
        """
        for duty in self.duties:
            if duty.name in self._held and not duty.held:
                self._note_lost(duty, "the lease was not renewed in time")
            due = self._due.get(duty.name, float("-inf"))
            if not self._stopping and duty.name not in self._busy and boottime() >= due:
                self._busy.add(duty.name)
                self._spawn(self._serve, duty)

    def release_all(self) -> None:
        """Give all leases back, for a planned stop.

        A release whose answer is lost does no harm: the lease runs out.
        """
        self._stopping = True
        pool = eventlet.GreenPool()
        for duty in self.duties:
            if duty.held:
                duty.lost()
                self._note_lost(duty, "released")
                pool.spawn_n(self._release, duty.name, duty.fencing)
        pool.waitall()

    @property
    def _holder(self) -> str:
        member = self.members.self_member
        return f"{member.vm}/{member.incarnation}"

    def _serve(self, duty: Duty) -> None:
        """Make the call that is due for a duty, if any."""
        try:
            sent_at = boottime()
            if duty.held:
                outcome = self.store.renew_lease(
                    duty.name, self._holder, duty.fencing, LEASE_TTL_S
                )
            elif self._should_contend(duty):
                outcome = self.store.acquire_lease(duty.name, self._holder, LEASE_TTL_S)
            else:
                return
            self._take(duty, sent_at, outcome)
        finally:
            self._busy.discard(duty.name)

    def _take(self, duty: Duty, sent_at: float, outcome: Outcome[Lease | None]) -> None:
        """Take account of the answer to a renewal or an acquisition."""
        if self._duties.get(duty.name) is not duty:
            return
        now = boottime()
        if not isinstance(outcome, Done):
            # Without an answer the lease runs on until its deadline.
            self._due[duty.name] = now + RETRY_PERIOD_S
            # The first owner may have had no answer either, and goes first again.
            self._standby_since.pop(duty.name, None)
        elif outcome.value is None:
            self._due[duty.name] = now + FIRST_OWNER_PERIOD_S
            duty.lost()
            self._note_lost(duty, "the store gave it to another daemon")
        elif self._stopping:
            # The answer came after all leases were given back.
            self._release(duty.name, outcome.value.fencing)
        else:
            self._due[duty.name] = sent_at + RENEWAL_PERIOD_S
            if duty.granted(outcome.value.fencing, sent_at, LEASE_TTL_S):
                self._held.add(duty.name)
                log(DUTY_GAINED, duty=duty.name, fencing=duty.fencing)
                _call_all(self._on_gain, duty)

    def _should_contend(self, duty: Duty) -> bool:
        """Return whether to ask for a lease that is not held here.

        Only the first owner asks while all is well, which spreads duties over the
        fleet and saves calls. The second one asks when the first has had time to
        take the lease; its question is answered with a refusal if it did.
        """
        owners = [member.vm for member in self.members.owners(duty.name, 2)]
        own = self.members.self_member.vm
        if own not in owners:
            self._standby_since.pop(duty.name, None)
            return False
        if owners[0] == own:
            return True
        now = boottime()
        if now < self._standby_since.setdefault(duty.name, now) + SECOND_OWNER_WAIT_S:
            return False
        self._standby_since[duty.name] = (
            now + SECOND_OWNER_PERIOD_S - SECOND_OWNER_WAIT_S
        )
        return True

    def _release(self, name: str, fencing: int) -> None:
        self.store.release_lease(name, self._holder, fencing)

    def _note_lost(self, duty: Duty, reason: str) -> None:
        if duty.name not in self._held:
            return
        self._held.discard(duty.name)
        log(DUTY_LOST, duty=duty.name, reason=reason)
        _call_all(self._on_loss, duty)


def _call_all(callbacks: list[Callback], duty: Duty) -> None:
    for callback in list(callbacks):
        try:
            callback(duty)
        except Exception as error:
            log(CALLBACK_FAILED, duty=duty.name, error=repr(error))

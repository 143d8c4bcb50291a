"""Acquisition and renewal of the leases of duties."""

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

__all__ = ["DutyManager"]

DUTY_GAINED = define_event(400, "duty_gained", "info", "This daemon acquired a duty.")
DUTY_LOST = define_event(
    401, "duty_lost", "warning", "This daemon no longer holds a duty."
)
CALLBACK_FAILED = define_event(
    402,
    "duty_callback_failed",
    "error",
    "A callback for a gained or lost duty raised an exception.",
)

RENEWAL_PERIOD_S = 3.0
# Delay after a call without a reply; several attempts fit into a lease.
RETRY_PERIOD_S = 1.0
# Period at which the first owner requests a lease that another daemon holds.
FIRST_OWNER_RETRY_PERIOD_S = 2.0
# The second owner requests the lease after a delay in which the first owner could
# have acquired an expired lease several times, and then periodically.
SECOND_OWNER_DELAY_S = LEASE_TTL_S
SECOND_OWNER_RETRY_PERIOD_S = 5.0

DutyCallback = Callable[[Duty], None]


@define(eq=False)
class DutyManager:
    """Acquires and renews the leases of the duties that this daemon contends for.

    Parameters
    ----------
    store : StoreClient
        Store of the leases.
    members : Members
        Ranks the daemons as owners of each duty.
    """

    store: StoreClient
    members: Members
    _duties: dict[str, Duty] = field(factory=dict)
    _next_call_at: dict[str, float] = field(factory=dict)
    _standby_since: dict[str, float] = field(factory=dict)
    _held_names: set[str] = field(factory=set)
    _names_in_call: set[str] = field(factory=set)
    _gain_callbacks: list[DutyCallback] = field(factory=list)
    _loss_callbacks: list[DutyCallback] = field(factory=list)
    _stopping: bool = False
    _spawn: Callable[..., Any] = eventlet.spawn_n

    @property
    def duties(self) -> tuple[Duty, ...]:
        """All duties that this daemon contends for, held or not."""
        return tuple(self._duties.values())

    def contend_for(self, name: str) -> Duty:
        """Contend for a duty from now on, and return its state."""
        return self._duties.setdefault(name, Duty(name))

    def stop_contending(self, name: str) -> None:
        """Drop a duty that no longer exists, and let its lease expire.

        The lease is not released: if the duty is created again, a delayed release
        would end the new lease, which has the same fencing number.
        """
        duty = self._duties.pop(name, None)
        if duty is not None:
            duty.record_loss()
            self._report_loss(duty, "the duty no longer exists")

    def on_gain(self, callback: DutyCallback) -> None:
        """Register a callback for each duty that this daemon acquires."""
        self._gain_callbacks.append(callback)

    def on_loss(self, callback: DutyCallback) -> None:
        """Register a callback for each duty that this daemon loses.

        The callback can run late; operations that only the holder may perform need
        the guard.
        """
        self._loss_callbacks.append(callback)

    def run_once(self) -> None:
        """Renew held leases when due and contend for the others.

        Each call runs in its own green thread, so that a slow call for one duty does
        not delay the renewals of the others.
        """
        for duty in self.duties:
            if duty.name in self._held_names and not duty.is_held:
                self._report_loss(duty, "the lease was not renewed in time")
            due = self._next_call_at.get(duty.name, float("-inf"))
            if (
                not self._stopping
                and duty.name not in self._names_in_call
                and boottime() >= due
            ):
                self._names_in_call.add(duty.name)
                self._spawn(self._renew_or_acquire, duty)

    def release_all(self) -> None:
        """Release all leases for a planned shutdown.

        If a release fails, the lease expires by itself.
        """
        self._stopping = True
        pool = eventlet.GreenPool()
        for duty in self.duties:
            if duty.is_held:
                duty.record_loss()
                self._report_loss(duty, "released")
                pool.spawn_n(self._release, duty.name, duty.fencing)
        pool.waitall()

    @property
    def _holder_id(self) -> str:
        member = self.members.self_member
        return f"{member.vm}/{member.incarnation}"

    def _renew_or_acquire(self, duty: Duty) -> None:
        """Renew the lease of a duty, or try to acquire it if this daemon should."""
        try:
            sent_at = boottime()
            if duty.is_held:
                outcome = self.store.renew_lease(
                    duty.name, self._holder_id, duty.fencing, LEASE_TTL_S
                )
            elif self._should_acquire(duty):
                outcome = self.store.acquire_lease(
                    duty.name, self._holder_id, LEASE_TTL_S
                )
            else:
                return
            self._handle_reply(duty, sent_at, outcome)
        finally:
            self._names_in_call.discard(duty.name)

    def _handle_reply(
        self, duty: Duty, sent_at: float, outcome: Outcome[Lease | None]
    ) -> None:
        """Process the outcome of a renewal or an acquisition."""
        if self._duties.get(duty.name) is not duty:
            return
        now = boottime()
        if not isinstance(outcome, Done):
            # Without a reply the lease stays valid until its deadline.
            self._next_call_at[duty.name] = now + RETRY_PERIOD_S
            # The first owner may have had no reply either and gets priority again.
            self._standby_since.pop(duty.name, None)
        elif outcome.value is None:
            self._next_call_at[duty.name] = now + FIRST_OWNER_RETRY_PERIOD_S
            duty.record_loss()
            self._report_loss(duty, "the store reports another holder")
        elif self._stopping:
            # The reply arrived after all leases were released.
            self._release(duty.name, outcome.value.fencing)
        else:
            self._next_call_at[duty.name] = sent_at + RENEWAL_PERIOD_S
            if duty.record_grant(outcome.value.fencing, sent_at, LEASE_TTL_S):
                self._held_names.add(duty.name)
                log(DUTY_GAINED, duty=duty.name, fencing=duty.fencing)
                _notify(self._gain_callbacks, duty)

    def _should_acquire(self, duty: Duty) -> bool:
        """Return whether to request a lease that this daemon does not hold.

        Normally only the first owner requests the lease, which spreads duties over
        the fleet and saves calls. The second owner requests it after the first has had
        time to acquire it; the store rejects the request if the first one did.
        """
        owners = [member.vm for member in self.members.owners(duty.name, 2)]
        own = self.members.self_member.vm
        if own not in owners:
            self._standby_since.pop(duty.name, None)
            return False
        if owners[0] == own:
            return True
        now = boottime()
        if now < self._standby_since.setdefault(duty.name, now) + SECOND_OWNER_DELAY_S:
            return False
        self._standby_since[duty.name] = (
            now + SECOND_OWNER_RETRY_PERIOD_S - SECOND_OWNER_DELAY_S
        )
        return True

    def _release(self, name: str, fencing: int) -> None:
        self.store.release_lease(name, self._holder_id, fencing)

    def _report_loss(self, duty: Duty, reason: str) -> None:
        if duty.name not in self._held_names:
            return
        self._held_names.discard(duty.name)
        log(DUTY_LOST, duty=duty.name, reason=reason)
        _notify(self._loss_callbacks, duty)


def _notify(callbacks: list[DutyCallback], duty: Duty) -> None:
    for callback in list(callbacks):
        try:
            callback(duty)
        except Exception as error:
            log(CALLBACK_FAILED, duty=duty.name, error=repr(error))

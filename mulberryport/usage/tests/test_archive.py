"""Tests of frozen windows in the store."""

import pytest

from ...leases import Duty, LeaseLostError
from ...runtime.clock import boottime
from ..archive import WindowArchive
from ..counters import CounterKey, UsageAmounts
from ..windows import freeze_window
from .builders import FakeStore

KEY = CounterKey("vm1", 1, "roads", "desk", 100)


def make_held_duty(fencing: int) -> Duty:
    duty = Duty("usage/0")
    duty.record_grant(fencing, boottime(), 10.0)
    return duty


def make_window(requests: int):
    return freeze_window(0, 100, 60, {KEY: UsageAmounts(requests)}, {})


@pytest.mark.parametrize("lose_answers", [False, True])
def test_two_reporters_freeze_the_same_report(lose_answers):
    # Guards against two different reports of one window, including the case that the
    # reply to the first write is lost and more usage is known at the second attempt.
    store = FakeStore(lose_answers=lose_answers)
    first, second = WindowArchive(0, store), WindowArchive(0, store)
    frozen = first.freeze(100, make_window(1), make_held_duty(1))
    assert frozen == (None if lose_answers else make_window(1))
    assert second.freeze(100, make_window(2), make_held_duty(2)) == make_window(1)
    assert first.read(100) == make_window(1)


def test_a_reporter_without_its_lease_freezes_nothing():
    # Guards against a previous reporter that freezes a window after losing its lease.
    store = FakeStore()
    with pytest.raises(LeaseLostError):
        WindowArchive(0, store).freeze(100, make_window(1), Duty("usage/0"))
    assert not store.entries


def test_the_last_sent_window_never_decreases():
    # Guards against a delayed write that makes a successor resend old windows.
    archive = WindowArchive(0, FakeStore())
    assert archive.mark_sent(101) and archive.mark_sent(100)
    assert archive.first_unsent_window(105) == 102

"""Frozen windows in the store."""

import pytest

from ...leases import Duty, LeaseLostError
from ...runtime.clock import boottime
from ..archive import WindowArchive
from ..counters import CounterKey, Figures
from ..windows import freeze_window
from .builders import FakeStore

KEY = CounterKey("vm1", 1, "roads", "desk", 100)


def held_duty(fencing: int) -> Duty:
    duty = Duty("usage/0")
    duty.granted(fencing, boottime(), 10.0)
    return duty


def window_of(requests: int):
    return freeze_window(0, 100, 60, {KEY: Figures(requests)}, {})


@pytest.mark.parametrize("lose_answers", [False, True])
def test_two_reporters_freeze_one_figure(lose_answers):
    # Guards against two figures for one window, also when the answer to the first
    # write was lost and when more usage is known by the second attempt.
    store = FakeStore(lose_answers=lose_answers)
    first, second = WindowArchive(0, store), WindowArchive(0, store)
    frozen = first.freeze(100, window_of(1), held_duty(1))
    assert frozen == (None if lose_answers else window_of(1))
    assert second.freeze(100, window_of(2), held_duty(2)) == window_of(1)
    assert first.read(100) == window_of(1)


def test_a_reporter_without_its_lease_freezes_nothing():
    # Guards against a former reporter that freezes a window of its successor.
    store = FakeStore()
    with pytest.raises(LeaseLostError):
        WindowArchive(0, store).freeze(100, window_of(1), Duty("usage/0"))
    assert not store.entries


def test_the_mark_of_sent_windows_never_moves_back():
    # Guards against a delayed mark that makes a successor repeat old windows.
    archive = WindowArchive(0, FakeStore())
    assert archive.mark_sent(101) and archive.mark_sent(100)
    assert archive.first_window(105) == 102

"""Tests of the fleet clock."""

from ..fleet_clock import FleetClock


def make_clock(offset=0.0):
    """Return a clock, and lists with its monotonic and its wall time."""
    steady = [50.0]
    wall = [1000.0 + offset]
    clock = FleetClock(lambda: wall[0] + steady[0], lambda: steady[0])
    return clock, steady, wall


def test_a_wrong_clock_follows_the_others():
    # Guards against usage that a daemon with a wrong clock counts in the wrong window.
    clock, _, wall = make_clock()
    for vm in ("vm2", "vm3", "vm4"):
        clock.add_sample(vm, 1050.0)
    wall[0] += 2.4
    assert abs(clock.now() - 1050.0) < 0.01


def test_a_minority_of_wrong_clocks_has_no_effect():
    clock, steady, _ = make_clock()
    for vm, wall in (("vm2", 1050.0), ("vm3", 1052.4), ("vm4", 1050.0)):
        clock.add_sample(vm, wall)
    steady[0] += 3.0
    assert abs(clock.now() - 1053.0) < 0.01


def test_old_samples_expire():
    clock, steady, _ = make_clock()
    clock.add_sample("vm2", 900.0)
    clock.add_sample("vm3", 900.0)
    steady[0] += 60.0
    assert clock.now() == 1110.0

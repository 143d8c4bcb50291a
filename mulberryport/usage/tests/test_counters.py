"""Tests of usage counters and of the choice of replicas."""

from ...membership import Member
from ...runtime.clock import wall_time
from ..counters import MAX_RETAINED_WINDOWS, CounterKey, UsageAmounts, UsageCounters
from ..replicator import choose_replicas

WINDOW_LENGTH_S = 60


def test_replicas_are_in_two_other_zones():
    # Guards against losing a counter and all its copies with one zone.
    zones = ("rosario", "parana", "santa-fe")
    members = tuple(Member(f"vm{n}", zones[n % 3], "127.0.0.1:1") for n in range(9))
    for member in members:
        chosen = {replica.zone for replica in choose_replicas(member, members)}
        assert chosen == set(zones) - {member.zone}
    # With a single other zone, both replicas are in it; without one, peers in the own
    # zone are chosen.
    two_zones = members[:2] + members[3:5]
    assert [m.zone for m in choose_replicas(members[0], two_zones)] == ["parana"] * 2
    assert len(choose_replicas(members[0], (members[0], members[3]))) == 1


def test_a_clock_behind_counts_in_a_window_that_is_still_reported():
    # Guards against losing the usage of a VM whose clock is behind, because its window
    # is already reported.
    counters = UsageCounters("vm1", 1, WINDOW_LENGTH_S)
    ahead = counters.window_at(wall_time()) + 5
    counters.collect_counters(0, from_window=ahead, up_to_window=ahead)
    assert counters.add("roads", "desk", requests=1).window == ahead


def test_reported_windows_are_dropped_and_late_copies_are_ignored():
    # Guards against unbounded memory, and against reporting a late copy a second time
    # after its window was frozen.
    counters = UsageCounters("vm1", 1, WINDOW_LENGTH_S)
    old = CounterKey("vm2", 1, "roads", "desk", 10)
    new = CounterKey("vm2", 1, "roads", "desk", 11)
    counters.merge([(old, UsageAmounts(1)), (new, UsageAmounts(1))])
    assert counters.collect_counters(0, from_window=11, up_to_window=12) == [
        (new, UsageAmounts(1))
    ]
    counters.merge([(old, UsageAmounts(2))])
    assert counters.get(old) is None
    # Memory is also bounded if there is no reporter.
    counters.expire()
    current = counters.window_at(wall_time())
    recent = CounterKey("vm2", 1, "roads", "desk", current - MAX_RETAINED_WINDOWS + 1)
    counters.merge([(recent, UsageAmounts(1))])
    counters.expire()
    assert counters.get(new) is None and counters.get(recent) == UsageAmounts(1)

"""Counters in memory and the choice of replicas."""

from ...membership import Member
from ...runtime.clock import wall_time
from ..counters import MAX_WINDOWS, CounterKey, Figures, UsageCounters
from ..replicator import choose_replicas

LENGTH = 60


def test_replicas_are_in_two_other_zones():
    # Guards against copies that are lost together with their zone.
    zones = ("rosario", "parana", "santa-fe")
    members = tuple(Member(f"vm{n}", zones[n % 3], "127.0.0.1:1") for n in range(9))
    for member in members:
        chosen = {replica.zone for replica in choose_replicas(member, members)}
        assert chosen == set(zones) - {member.zone}
    # With one other zone both are there; alone in its zone, neighbours do.
    two_zones = members[:2] + members[3:5]
    assert [m.zone for m in choose_replicas(members[0], two_zones)] == ["parana"] * 2
    assert len(choose_replicas(members[0], (members[0], members[3]))) == 1


def test_a_clock_behind_counts_in_a_window_that_is_still_reported():
    # Guards against usage of a VM with a wrong clock that no report can carry.
    counters = UsageCounters("vm1", 1, LENGTH)
    ahead = counters.window_at(wall_time()) + 5
    counters.hand_over(0, from_window=ahead, up_to_window=ahead)
    assert counters.add("roads", "desk", requests=1).window == ahead


def test_settled_windows_are_forgotten_and_copies_do_not_bring_them_back():
    # Guards against memory that grows with time, and against a late copy that is
    # reported a second time after its window was settled.
    counters = UsageCounters("vm1", 1, LENGTH)
    old = CounterKey("vm2", 1, "roads", "desk", 10)
    new = CounterKey("vm2", 1, "roads", "desk", 11)
    counters.merge([(old, Figures(1)), (new, Figures(1))])
    assert counters.hand_over(0, from_window=11, up_to_window=12) == [(new, Figures(1))]
    counters.merge([(old, Figures(2))])
    assert counters.get(old) is None
    # Without any reporter the memory is bounded as well.
    counters.expire()
    current = counters.window_at(wall_time())
    recent = CounterKey("vm2", 1, "roads", "desk", current - MAX_WINDOWS + 1)
    counters.merge([(recent, Figures(1))])
    counters.expire()
    assert counters.get(new) is None and counters.get(recent) == Figures(1)

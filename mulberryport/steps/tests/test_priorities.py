"""Tests of the order of the items of a step."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ..priorities import (
    LEAST_URGENT,
    MOST_URGENT,
    SPARE,
    ItemState,
    StepSchedule,
    rank_items,
)

GROUPS, SIZE, WANTED = 12, 8, 10


def make_step(rng, spread=0.84, carried=()):
    """Return the items of a step with lengths of a wide distribution."""
    return [
        ItemState(
            f"{group}-{n}",
            f"g{group}",
            rng.lognormvariate(2.6, spread),
            group in carried,
        )
        for group in range(GROUPS)
        for n in range(SIZE)
    ]


def test_carried_groups_come_before_groups_that_are_nearer_to_completion():
    # Guards against a trainer that waits for a carried group, which the step gave up
    # because others are complete sooner.
    rng = random.Random(1)
    items = [
        ItemState(item.id, item.group, item.remaining_events * 9, True)
        if item.is_carried
        else item
        for item in make_step(rng, carried={3})
    ]
    ranks = rank_items(items, WANTED, 1.0, 8.0, 0.05)
    carried = [ranks[item.id] for item in items if item.is_carried]
    assert all(rank.level < SPARE for rank in carried)
    assert min(rank.level for rank in carried) == 0


def test_groups_far_behind_are_not_needed_any_more():
    # Guards against room and turns for a group that the trainer does not wait for.
    items = make_step(random.Random(2))
    done = [
        ItemState(i.id, i.group, 0.0 if i.group != "g5" else 50.0)
        for i in items
        if i.group not in ("g10", "g11")
    ]
    done += [ItemState(i.id, i.group, 5.0) for i in items if i.group in ("g10", "g11")]
    ranks = rank_items(done, WANTED, 1.0, 8.0, 0.05)
    assert ranks["5-0"].level == SPARE
    assert ranks["10-0"].level < SPARE


def test_steps_behind_go_before_steps_that_are_ahead():
    # Guards against trainers whose lateness adds up while others have time to spare.
    items = make_step(random.Random(3))
    early = rank_items(items, WANTED, 1.0, 8.0, 0.05)
    late = rank_items(items, WANTED, 5.0, 8.0, 0.05)
    needed = [item for item, rank in early.items() if rank.level < SPARE]
    assert all(late[item].urgency < early[item].urgency for item in needed)


def test_wrong_hints_leave_few_of_the_binding_items_behind():
    # Guards against an order by hints that are often far off that is worse than none:
    # most of the truly longest items of a step must still come first.
    rng, found, total, first = random.Random(4), 0, 0, 0
    for _ in range(200):
        truth = make_step(rng)
        hinted = [
            ItemState(i.id, i.group, i.remaining_events * rng.lognormvariate(0, 0.5))
            for i in truth
        ]
        ranks = rank_items(hinted, GROUPS, 0.5, 8.0, 0.05)
        longest = sorted(truth, key=lambda i: -i.remaining_events)[:3]
        found += sum(ranks[i.id].level == 0 for i in longest)
        first += sum(rank.level == 0 for rank in ranks.values())
        total += 3
    assert found / total > 2 * first / (200 * GROUPS * SIZE)
    assert found / total > 0.5


@given(
    st.lists(st.floats(0, 1e6), min_size=1, max_size=60),
    st.integers(-1, 70),
    st.floats(-100, 1e6),
    st.floats(0, 1e6),
    st.floats(0, 100),
)
def test_urgency_is_bounded_and_each_unfinished_item_has_a_rank(
    remaining, wanted, elapsed, due, event_s
):
    # Guards against a workspace whose items preempt all others, and against items that
    # are left out and never sent.
    items = [ItemState(str(n), f"g{n % 7}", r) for n, r in enumerate(remaining)]
    ranks = rank_items(items, wanted, elapsed, due, event_s)
    assert ranks.keys() == {item.id for item in items if item.remaining_events > 0}
    assert all(MOST_URGENT <= r.urgency <= LEAST_URGENT for r in ranks.values())


def test_an_item_that_is_sent_again_is_not_less_urgent():
    # Guards against a text that was moved or interrupted and then waits behind others.
    items = make_step(random.Random(5))
    schedule = StepSchedule(WANTED, lambda: items)
    before = {item.id: schedule.rank(item.id, 5.0, 8.0) for item in items}
    items = [ItemState(i.id, i.group, i.remaining_events / 9 + 1) for i in items]
    for item in items:
        after = schedule.rank(item.id, 6.0, 80.0)
        assert after.urgency <= before[item.id].urgency

"""Order of the items of a training step by what its trainer still needs.

The trainer waits for a number of groups, and a group counts when all its items have a
result. The longest unfinished item of a group is the one that binds it.
"""

import math
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

__all__ = ["USUAL_URGENCY", "ItemRank", "ItemState", "StepSchedule", "rank_items"]

# Urgency that engines assume where none is told; 0 is the most urgent.
USUAL_URGENCY = 5
MOST_URGENT, LEAST_URGENT = 2, 6
# Share of its due time after which a step that is not complete counts as behind.
BEHIND_SHARE = 0.5
# Items that take this share of the longest needed one's time, or more, bind the step.
BINDING_SHARE = 0.5
# Groups beyond the wanted ones that count as needed, as a share of those, because
# estimates of lengths are often far off.
SPARE_SHARE = 0.15
# Ranks of the items of a step, from those that bind it to those that may wait.
BINDING, NEEDED, SHORT, SPARE = range(4)
# Ranks are computed again at most this often.
RANKING_INTERVAL_S = 0.25


@frozen
class ItemState:
    """What an item still lacks.

    Parameters
    ----------
    id, group : str
        Id of the item and its group.
    remaining_events : float
        Expected events that its text lacks; 0 if it has a result.
    is_carried : bool
        Whether an earlier step had the item already.
    """

    id: str
    group: str
    remaining_events: float
    is_carried: bool = False


@frozen
class ItemRank:
    """Rank of an item within its step, and among all that an engine runs.

    Parameters
    ----------
    level : int
        0 for items that bind the step, to 3 for those that may wait.
    urgency : int
        0 to 9, as told to engines; 0 is the most urgent.
    """

    level: int
    urgency: int


@define
class Group:
    """Unfinished items of a group."""

    items: list[ItemState] = field(factory=list)
    is_carried: bool = False

    @property
    def remaining_events(self) -> float:
        """Expected events of the longest item."""
        return max((item.remaining_events for item in self.items), default=0.0)


def rank_items(
    items: Iterable[ItemState],
    wanted_groups: int,
    elapsed_s: float,
    due_s: float,
    event_s: float,
) -> dict[str, ItemRank]:
    """Return the ranks of the unfinished items of a step, by item id.

    Parameters
    ----------
    items : iterable of ItemState
        All items of the step.
    wanted_groups : int
        Complete groups that the trainer waits for; 0 for all.
    elapsed_s, due_s : float
        Seconds since the step was submitted, and within which it is due.
    event_s : float
        Seconds that an event takes; 0 if not known.

    Examples
    --------
    >>> items = [ItemState("a", "g1", 9), ItemState("b", "g1", 2)]
    >>> items += [ItemState("c", "g2", 0), ItemState("d", "g3", 80)]
    >>> ranks = rank_items(items, 2, 1.0, 8.0, 0.05)
    >>> [(item, rank.level) for item, rank in ranks.items()]
    [('a', 0), ('b', 2), ('d', 3)]
    """
    groups: dict[str, Group] = {}
    for item in items:
        group = groups.setdefault(item.group, Group())
        group.is_carried |= item.is_carried
        if item.remaining_events > 0.0:
            group.items.append(item)
    needed = _needed_groups(groups, wanted_groups, elapsed_s, due_s, event_s)
    longest = max((groups[name].remaining_events for name in needed), default=0.0)
    is_behind = elapsed_s > BEHIND_SHARE * due_s
    ranks = {}
    for name, group in groups.items():
        for item in group.items:
            level = SPARE
            if name in needed:
                level = _level(item, group, longest)
            ranks[item.id] = ItemRank(level, _urgency(level, is_behind))
    return ranks


def _needed_groups(
    groups: dict[str, Group],
    wanted_groups: int,
    elapsed_s: float,
    due_s: float,
    event_s: float,
) -> set[str]:
    """Return the unfinished groups that the trainer waits for, or may have to.

    Carried groups are needed regardless of which others are complete. Groups that
    cannot be complete in time come last.
    """
    unfinished = [name for name, group in groups.items() if group.items]
    needed = {name for name in unfinished if groups[name].is_carried}
    wanted = min(wanted_groups or len(groups), len(groups))
    missing = wanted - (len(groups) - len(unfinished)) - len(needed)
    left_s = due_s - elapsed_s

    def distance(name: str) -> tuple[bool, float]:
        events = groups[name].remaining_events
        return events * event_s > left_s, events

    others = sorted((name for name in unfinished if name not in needed), key=distance)
    if missing > 0:
        needed.update(others[: missing + math.floor(SPARE_SHARE * wanted)])
    return needed


def _level(item: ItemState, group: Group, longest_events: float) -> int:
    if item.remaining_events >= BINDING_SHARE * longest_events:
        return BINDING
    if group.is_carried or item.remaining_events >= group.remaining_events:
        return NEEDED
    return SHORT


def _urgency(level: int, is_behind: bool) -> int:
    return (MOST_URGENT if is_behind else MOST_URGENT + 1) + level


@define(eq=False)
class StepSchedule:
    """Ranks of the items of a step, computed again as items finish and time passes.

    The urgency of an item never falls: one that started late, because it was moved or
    attempted again, has the same claim as before.

    Parameters
    ----------
    wanted_groups : int
        Complete groups that the trainer waits for; 0 for all.
    states : callable
        Returns the states of all items.
    event_s : callable
        Returns the seconds that an event takes, 0 if that is not known, by the seconds
        since the step was submitted.
    """

    wanted_groups: int
    states: Callable[[], Iterable[ItemState]]
    event_s: Callable[[float], float] = lambda elapsed_s: 0.0
    _ranks: dict[str, ItemRank] = field(factory=dict)
    _ranked_at: float = float("-inf")
    _urgencies: dict[str, int] = field(factory=dict)

    def rank(self, item: str, elapsed_s: float, due_s: float) -> ItemRank:
        """Return the present rank of an item; see ``rank_items``."""
        if abs(elapsed_s - self._ranked_at) >= RANKING_INTERVAL_S:
            self._ranked_at = elapsed_s
            self._ranks = rank_items(
                self.states(),
                self.wanted_groups,
                elapsed_s,
                due_s,
                self.event_s(elapsed_s),
            )
        known = self._ranks.get(item, ItemRank(NEEDED, USUAL_URGENCY))
        urgency = min(known.urgency, self._urgencies.get(item, LEAST_URGENT))
        self._urgencies[item] = urgency
        return ItemRank(known.level, urgency)

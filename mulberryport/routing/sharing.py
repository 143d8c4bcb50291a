"""Shares of a pool that several daemons use without a common queue.

Each daemon tells the others how many requests of each workspace run and wait
there. From that, every daemon derives the places that are due to each workspace
in the whole pool, and its own part of them. Without it, a workspace that reaches
all daemons would get a share at each of them, and a trainer, whose step is owned
by one daemon, only that daemon's share.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping

from attrs import define, field

__all__ = ["Shares", "due_places"]

# Three periods of the exchange; what a lost daemon told is then forgotten.
REMOTE_LIFETIME_S = 3.0
# Places beyond the due ones, as a part of them, so that the pool stays busy
# while the daemons' figures differ.
SLACK = 0.1


def due_places(
    places: float, demand: Mapping[str, float], weight_of: Callable[[str], float]
) -> dict[str, float]:
    """Return the places due to each workspace: max-min fairness by weight.

    Parameters
    ----------
    places : float
        What is shared.
    demand : mapping of str to float
        Places that each workspace could use.
    weight_of : callable
        Weight of a workspace.

    Examples
    --------
    >>> due_places(10, {"a": 2, "b": 20, "c": 20}, {"a": 1, "b": 1, "c": 3}.get)
    {'a': 2, 'b': 2.0, 'c': 6.0}
    """
    due: dict[str, float] = {}
    weights = {name: weight_of(name) for name, wanted in demand.items() if wanted}
    while weights:
        unit = max(0.0, places) / sum(weights.values())
        content = [n for n, weight in weights.items() if demand[n] <= unit * weight]
        if not content:
            return due | {name: unit * weight for name, weight in weights.items()}
        for name in content:
            due[name] = demand[name]
            places -= demand[name]
            del weights[name]
    return due


@define(eq=False)
class Shares:
    """The part of one pool's places that is due to this daemon.

    Parameters
    ----------
    base_weight : callable
        Weight of a workspace by its name, from the tables.
    cap : float
        Requests that this daemon may run in the pool; infinite while there is
        room for the requests of all daemons.
    """

    base_weight: Callable[[str], float]
    cap: float = math.inf
    _remote: dict[str, tuple[float, Mapping[str, float]]] = field(factory=dict)
    _local: dict[str, float] = field(factory=dict)
    _unit: float = 1.0

    def use_remote(self, daemon: str, demand: Mapping[str, float], now: float) -> None:
        """Take over what runs and waits at another daemon, by workspace."""
        self._remote[daemon] = (now, demand)

    def weight(self, workspace: str) -> float:
        """Return a workspace's weight in this daemon's queue."""
        return self._local.get(workspace) or self._unit * self.base_weight(workspace)

    def update(self, own: Mapping[str, float], places: float, now: float) -> None:
        """Derive the shares from the newest figures.

        Parameters
        ----------
        own : mapping of str to float
            Requests that run and wait here, by workspace.
        places : float
            Requests that the pool's usable targets can run at the same time.
        now : float
            Boot time.
        """
        self._remote = {
            daemon: (at, demand)
            for daemon, (at, demand) in self._remote.items()
            if now - at <= REMOTE_LIFETIME_S
        }
        total = Counter(own)
        for _, demand in self._remote.values():
            total.update(demand)
        if not self._remote or places <= 0 or sum(total.values()) <= places:
            self.cap, self._local, self._unit = math.inf, {}, 1.0
            return
        due = due_places(places, total, self.base_weight)
        self._local = {
            name: due[name] * wanted / total[name]
            for name, wanted in own.items()
            if wanted
        }
        # A workspace that comes next is not known here yet; it gets the part of
        # one of many daemons.
        weights = sum(self.base_weight(name) for name in due)
        self._unit = places / weights / (1 + len(self._remote))
        self.cap = math.ceil(sum(self._local.values()) * (1.0 + SLACK)) + 1

"""Division of a pool's slots between daemons that have no common queue.

Each daemon reports to the others how many requests of each workspace it runs and
queues. From these reports, every daemon computes the fair share of each workspace in
the whole pool, and its own part of it. Without this, a workspace that sends requests
to all daemons would get a share at each of them, and a trainer, whose step is owned
by one daemon, only that daemon's share.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping

from attrs import define, field

__all__ = ["Shares", "max_min_fair_shares"]

# Three periods of the exchange; the demand of a lost daemon is dropped after that.
REMOTE_DEMAND_LIFETIME_S = 3.0
# Slots beyond the fair share, as a fraction of it, so that the pool stays busy while
# the daemons have different information.
SLACK_FRACTION = 0.1


def max_min_fair_shares(
    slots: float, demand: Mapping[str, float], weight_of: Callable[[str], float]
) -> dict[str, float]:
    """Return the weighted max-min fair share of each workspace, in slots.

    Parameters
    ----------
    slots : float
        Slots to divide.
    demand : mapping of str to float
        Slots that each workspace could use.
    weight_of : callable
        Returns the weight of a workspace.

    Examples
    --------
    >>> demand = {"a": 2, "b": 20, "c": 20}
    >>> max_min_fair_shares(10, demand, {"a": 1, "b": 1, "c": 3}.get)
    {'a': 2, 'b': 2.0, 'c': 6.0}
    """
    shares: dict[str, float] = {}
    weights = {name: weight_of(name) for name, wanted in demand.items() if wanted}
    while weights:
        slots_per_weight = max(0.0, slots) / sum(weights.values())
        satisfied = [
            n for n, weight in weights.items() if demand[n] <= slots_per_weight * weight
        ]
        if not satisfied:
            return shares | {
                name: slots_per_weight * weight for name, weight in weights.items()
            }
        for name in satisfied:
            shares[name] = demand[name]
            slots -= demand[name]
            del weights[name]
    return shares


@define(eq=False)
class Shares:
    """Share of this daemon in the slots of one pool.

    Parameters
    ----------
    base_weight : callable
        Returns the configured weight of a workspace by its name.
    max_running : float
        Requests that this daemon may run in the pool; infinite while the pool has
        slots for the requests of all daemons.
    """

    base_weight: Callable[[str], float]
    max_running: float = math.inf
    _remote_demand: dict[str, tuple[float, Mapping[str, float]]] = field(factory=dict)
    _local_weights: dict[str, float] = field(factory=dict)
    _slots_per_weight: float = 1.0

    def update_remote_demand(
        self, daemon: str, demand: Mapping[str, float], now: float
    ) -> None:
        """Set the running and queued requests of another daemon, by workspace."""
        self._remote_demand[daemon] = (now, demand)

    def fleet_to_own_demand(self, own_demand: float) -> float:
        """Return the ratio of the demand of all daemons to that of this one.

        Parameters
        ----------
        own_demand : float
            Running and queued requests of this daemon.
        """
        remote = sum(sum(demand.values()) for _, demand in self._remote_demand.values())
        return 1.0 + remote / max(1.0, own_demand)

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace in this daemon's queue."""
        return self._local_weights.get(
            workspace
        ) or self._slots_per_weight * self.base_weight(workspace)

    def update(self, own_demand: Mapping[str, float], slots: float, now: float) -> None:
        """Recompute the shares from the newest demand and capacity.

        Parameters
        ----------
        own_demand : mapping of str to float
            Running and queued requests of this daemon, by workspace.
        slots : float
            Requests that the pool's usable targets can run at the same time.
        now : float
            Boot time.
        """
        self._remote_demand = {
            daemon: (at, demand)
            for daemon, (at, demand) in self._remote_demand.items()
            if now - at <= REMOTE_DEMAND_LIFETIME_S
        }
        total = Counter(own_demand)
        for _, demand in self._remote_demand.values():
            total.update(demand)
        if not self._remote_demand or slots <= 0 or sum(total.values()) <= slots:
            self.max_running, self._local_weights, self._slots_per_weight = (
                math.inf,
                {},
                1.0,
            )
            return
        shares = max_min_fair_shares(slots, total, self.base_weight)
        self._local_weights = {
            name: shares[name] * wanted / total[name]
            for name, wanted in own_demand.items()
            if wanted
        }
        # The share of a workspace without demand at this daemon is not known yet. It
        # is given the weight that it would have if all daemons shared it equally.
        weights = sum(self.base_weight(name) for name in shares)
        self._slots_per_weight = slots / weights / (1 + len(self._remote_demand))
        self.max_running = (
            math.ceil(sum(self._local_weights.values()) * (1.0 + SLACK_FRACTION)) + 1
        )

"""Which targets of a pool load new weights next.

Policy and its state, without input or output. Loading proceeds in waves: so many
targets at a time that the capacity of the pool stays above a floor, and fewer while
loads fail, since the usual cause is the rate limit of the weight store.
"""

import math
from collections.abc import Sequence

from attrs import define, field

from ..routing import TargetView

__all__ = ["Wave"]

# Part of a pool's targets that keeps serving while others load.
CAPACITY_FLOOR = 0.75
FIRST_DELAY_S = 0.5
MAX_DELAY_S = 8.0


@define
class Failures:
    """Failed loads of one target in a row."""

    count: int
    retry_at: float


@define(eq=False)
class Wave:
    """Progress of a pool towards the announced version.

    Parameters
    ----------
    floor : float
        Part of the pool's targets that keeps serving.
    """

    floor: float = CAPACITY_FLOOR
    _loading: set[str] = field(factory=set)
    _loaded: dict[str, tuple[int, float]] = field(factory=dict)
    _failures: dict[str, Failures] = field(factory=dict)
    _window: float = float("inf")

    @property
    def loading(self) -> frozenset[str]:
        """Targets that load weights now."""
        return frozenset(self._loading)

    def outdated(
        self, views: Sequence[TargetView], version: int, now: float
    ) -> list[TargetView]:
        """Return the targets that do not serve a version yet and can be ordered to.

        The oldest versions come first, then the targets with the least work.
        """
        found = [
            view
            for view in views
            if view.selectable and 0 < self._version(view, now) < version
        ]
        return sorted(found, key=lambda v: (self._version(v, now), v.in_flight, v.id))

    def take(
        self, views: Sequence[TargetView], version: int, now: float
    ) -> list[TargetView]:
        """Return the targets that start to load now.

        Parameters
        ----------
        views : sequence of TargetView
            All targets of the pool.
        version : int
            The announced version.
        now : float
            Boot time.
        """
        staying = [view for view in views if not view.leaving]
        serving = sum(view.selectable for view in staying)
        spare = serving - math.ceil(self.floor * len(staying))
        # At least one loads at any time: with stale weights the whole pool becomes
        # useless to its trainers.
        allowed = min(max(1, spare), self._window) - len(self._loading)
        chosen: list[TargetView] = []
        for view in self.outdated(views, version, now):
            if len(chosen) + 1 > allowed:
                break
            failures = self._failures.get(view.id)
            if view.id in self._loading or (failures and now < failures.retry_at):
                continue
            chosen.append(view)
        self._loading.update(view.id for view in chosen)
        return chosen

    def succeeded(self, target: str, version: int, now: float) -> None:
        """Note that a target serves a version."""
        self._loading.discard(target)
        self._failures.pop(target, None)
        self._loaded[target] = (version, now)
        self._window += 1

    def failed(self, target: str, now: float) -> None:
        """Note that a load failed; fewer load at a time, and this one later."""
        count = self._failures[target].count + 1 if target in self._failures else 1
        delay = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** (count - 1))
        self._failures[target] = Failures(count, now + delay)
        self._window = max(1.0, min(self._window, len(self._loading)) / 2)
        self._loading.discard(target)

    def given_up(self, target: str) -> None:
        """Note that no order was sent to a target that was taken."""
        self._loading.discard(target)

    def _version(self, view: TargetView, now: float) -> int:
        """Return the version a target serves: the newer of its report and answer."""
        reported = view.report.version if view.report is not None else 0
        version, at = self._loaded.get(view.id, (0, 0.0))
        return reported if now - view.report_age > at else max(version, reported)

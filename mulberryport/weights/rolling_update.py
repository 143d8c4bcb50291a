"""Policy of rolling weight updates: which targets of a pool load new weights next.

This module contains the policy and its state and does no I/O. The number of targets
that load concurrently keeps the serving capacity of the pool above a minimum. It is
reduced while loads fail, since the usual cause is the rate limit of the weight store.
"""

import math
from collections.abc import Sequence

from attrs import define, field

from ..routing import TargetView

__all__ = ["RollingUpdate"]

# Fraction of a pool's targets that keep serving while others load.
MIN_SERVING_FRACTION = 0.75
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0


@define
class LoadFailures:
    """Number of consecutive failed loads of one target, and when to retry."""

    count: int
    retry_at: float


@define(eq=False)
class RollingUpdate:
    """State of the update of a pool to the announced version.

    Parameters
    ----------
    min_serving_fraction : float
        Fraction of the pool's targets that keep serving during the update.
    """

    min_serving_fraction: float = MIN_SERVING_FRACTION
    _loading: set[str] = field(factory=set)
    _loaded: dict[str, tuple[int, float]] = field(factory=dict)
    _failures: dict[str, LoadFailures] = field(factory=dict)
    _max_loading: float = float("inf")

    @property
    def loading(self) -> frozenset[str]:
        """Ids of the targets that are currently loading weights."""
        return frozenset(self._loading)

    def outdated(
        self, views: Sequence[TargetView], version: int, now: float
    ) -> list[TargetView]:
        """Return the selectable targets that do not serve a version yet.

        They are sorted by served version, oldest first, then by requests in flight.
        """
        found = [
            view
            for view in views
            if view.selectable and 0 < self._served_version(view, now) < version
        ]
        return sorted(
            found, key=lambda v: (self._served_version(v, now), v.in_flight, v.id)
        )

    def start_loads(
        self, views: Sequence[TargetView], version: int, now: float
    ) -> list[TargetView]:
        """Choose the targets that start to load now, and mark them as loading.

        Parameters
        ----------
        views : sequence of TargetView
            All targets of the pool.
        version : int
            The announced version.
        now : float
            Current boot time.
        """
        remaining = [view for view in views if not view.leaving]
        serving = sum(view.selectable for view in remaining)
        spare = serving - math.ceil(self.min_serving_fraction * len(remaining))
        # Allow at least one load at any time: trainers cannot use a pool with stale
        # weights at all.
        available_slots = min(max(1, spare), self._max_loading) - len(self._loading)
        chosen: list[TargetView] = []
        for view in self.outdated(views, version, now):
            if len(chosen) + 1 > available_slots:
                break
            failures = self._failures.get(view.id)
            if view.id in self._loading or (failures and now < failures.retry_at):
                continue
            chosen.append(view)
        self._loading.update(view.id for view in chosen)
        return chosen

    def record_success(self, target: str, version: int, now: float) -> None:
        """Record that a target loaded a version, and allow one more concurrent load."""
        self._loading.discard(target)
        self._failures.pop(target, None)
        self._loaded[target] = (version, now)
        self._max_loading += 1

    def record_failure(self, target: str, now: float) -> None:
        """Record a failed load: delay its retry and halve the concurrent loads."""
        count = self._failures[target].count + 1 if target in self._failures else 1
        delay = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2 ** (count - 1))
        self._failures[target] = LoadFailures(count, now + delay)
        self._max_loading = max(1.0, min(self._max_loading, len(self._loading)) / 2)
        self._loading.discard(target)

    def abandon_load(self, target: str) -> None:
        """Remove the loading mark of a target to which no order was sent."""
        self._loading.discard(target)

    def _served_version(self, view: TargetView, now: float) -> int:
        """Return the version that a target serves.

        A load report made after the last successful load takes precedence; otherwise
        it is the higher of the loaded and the reported version.
        """
        reported = view.report.version if view.report is not None else 0
        version, loaded_at = self._loaded.get(view.id, (0, 0.0))
        return reported if now - view.report_age > loaded_at else max(version, reported)

"""Selection of a target for a request.

Pure policy: functions of target views and a random generator, without I/O.
"""

import random
from collections.abc import Collection, Sequence

from .model import TargetView

__all__ = ["choose_target", "expected_load"]


def expected_load(view: TargetView) -> float:
    """Return the expected load of a target as a part of its capacity.

    The larger of the daemon's own count and the lagged report is used, because
    the report misses what was sent since it was taken.

    Examples
    --------
    >>> view = TargetView(id="a", address="127.0.0.1:1", zone="z", pool="p",
    ...                   kind="model-engine", in_flight=4, limit=16)
    >>> expected_load(view)
    0.25
    """
    own = view.in_flight / view.limit
    if view.report is None:
        return own
    capacity = max(1, view.report.capacity)
    reported = (view.report.running + view.report.waiting) / capacity
    return max(own, reported)


def choose_target(
    views: Sequence[TargetView],
    zone: str,
    generator: random.Random,
    exclude: Collection[str] = (),
) -> TargetView | None:
    """Choose the target of a request.

    Parameters
    ----------
    views : sequence of TargetView
        Targets of the pool.
    zone : str
        Availability zone of this daemon; its targets are preferred.
    generator : random.Random
        Source of randomness.
    exclude : collection of str
        Ids of targets that were tried already.

    Returns
    -------
    TargetView or None
        None if no target can take the request now.
    """
    free = [
        view
        for view in views
        if view.selectable and view.in_flight < view.limit and view.id not in exclude
    ]
    if not free:
        return None
    local = [view for view in free if view.zone == zone]
    candidates = (
        local if local and expected_load(min(local, key=expected_load)) < 1.0 else free
    )
    pair = generator.sample(candidates, min(2, len(candidates)))
    return min(pair, key=expected_load)

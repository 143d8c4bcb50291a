"""Schedules weight loads for several models on shared engines.

Each model is assigned a subset of the engines, spread over the availability zones,
that is kept up to date with its versions. A job accepts the version before the newest
one, so an engine needs only every second version: half of a model's engines load a
version when it is announced, and the others, which serve the version before, load the
next one. ``assign_engines`` and ``choose_loads`` implement the policy;
``WeightLoadScheduler`` executes it.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from itertools import chain, zip_longest

import eventlet
from attrs import define, field, frozen

from ..coordination import SessionDuty
from ..leases import LeaseLostError
from ..membership import rendezvous_score
from ..outcomes import Done, Outcome
from ..routing import TargetView
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["WeightLoad", "WeightLoadScheduler", "assign_engines", "choose_loads"]

LOAD_ORDERED = define_event(
    1010, "load_ordered", "info", "An engine accepted an order to load weights."
)
LOAD_FAILED = define_event(
    1011,
    "load_failed",
    "warning",
    "An order to load weights failed or got no response.",
)

# Number of concurrent loads: a minimum, and a fraction of all engines. With more of
# them each load takes longer, and with fewer a large deployment falls behind its
# versions.
MIN_CONCURRENT_LOADS = 2
CONCURRENT_LOAD_FRACTION = 0.2
# An order without a visible effect is repeated after this time.
LOAD_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.5


@frozen
class WeightLoad:
    """A load of one weight version of a model by one engine."""

    target: str
    model: str
    version: int


def assign_engines(
    engines: Sequence[TargetView], models: Sequence[str]
) -> dict[str, list[TargetView]]:
    """Return the engines that are kept up to date for each model.

    Models choose engines round-robin. Each picks from the availability zone where it
    has the fewest engines the one with the highest rendezvous score, so that adding
    or removing engines changes few assignments. With fewer engines than models, an
    engine is assigned several models.

    Examples
    --------
    >>> engines = [
    ...     TargetView(id=f"e{n}", address="", zone="ab"[n % 2], pool="", kind="")
    ...     for n in range(4)
    ... ]
    >>> assigned = assign_engines(engines, ["m", "n"])
    >>> sorted(engine.zone for engine in assigned["m"])
    ['a', 'b']
    """
    assigned: dict[str, list[TargetView]] = {model: [] for model in models}
    unassigned: list[TargetView] = []
    rounds = -(-max(len(engines), len(models)) // max(1, len(models)))
    for _ in range(rounds if engines else 0):
        for model in models:
            if not unassigned:
                if all(assigned.values()):
                    return assigned
                unassigned = list(engines)
            zones = Counter(engine.zone for engine in assigned[model])
            best_engine = min(
                unassigned,
                key=lambda e: (zones[e.zone], -rendezvous_score(model, e.id)),
            )
            unassigned.remove(best_engine)
            assigned[model].append(best_engine)
    return assigned


def choose_loads(
    engines: Sequence[TargetView],
    model: str,
    newest_version: int,
    required_version: int,
) -> list[WeightLoad]:
    """Return the pending loads of one model, the most urgent first.

    Parameters
    ----------
    engines : sequence of TargetView
        The engines assigned to the model.
    model : str
        Name of the model.
    newest_version : int
        The newest announced version.
    required_version : int
        Oldest version that open jobs accept; 0 if there are none.

    Examples
    --------
    >>> engines = [
    ...     TargetView(id=name, address="", zone="", pool="", kind="",
    ...                versions={"m": version})
    ...     for name, version in (("a", 3), ("b", 2), ("c", 2), ("d", 1))
    ... ]
    >>> [load.target for load in choose_loads(engines, "m", 3, 0)]
    ['d']
    >>> [load.target for load in choose_loads(engines[1:], "m", 3, 0)]
    ['d', 'b']
    """
    oldest = max(newest_version - 1, min(required_version, newest_version))
    outdated = [e for e in engines if e.versions.get(model, 0) < oldest]
    current = [e for e in engines if e.versions.get(model, 0) >= newest_version]
    previous = [e for e in engines if e not in outdated and e not in current]
    needed = (len(engines) + 1) // 2 - len(current) - len(outdated)
    previous.sort(key=lambda engine: engine.in_flight)
    chosen = [*outdated, *previous[: max(0, needed)]]
    return [WeightLoad(engine.id, model, newest_version) for engine in chosen]


@define(eq=False)
class WeightLoadScheduler:
    """Orders weight loads while the duty is held.

    Parameters
    ----------
    duty : SessionDuty
        Leadership of sending load orders.
    engines : callable
        Returns the engines that serve a model.
    announced_versions : callable
        Returns the newest announced version of each model.
    required_version : callable
        Returns the oldest version that open jobs of a model accept.
    order : callable
        Orders an engine to load a version; true if the engine accepts the order or
        already has the version.
    """

    duty: SessionDuty
    engines: Callable[[str], Sequence[TargetView]]
    announced_versions: Callable[[], Mapping[str, int]]
    required_version: Callable[[str], int]
    order: Callable[[TargetView, WeightLoad], Outcome[bool]]
    _loading: dict[str, tuple[WeightLoad, float]] = field(factory=dict)

    def run_once(self) -> None:
        """Order pending loads, up to the limit of concurrent loads."""
        if not self.duty.active:
            self._loading.clear()
            return
        announced_versions = self.announced_versions()
        views: dict[str, TargetView] = {}
        for model in announced_versions:
            selectable = [engine for engine in self.engines(model) if engine.selectable]
            views.update((engine.id, engine) for engine in selectable)
        self._remove_finished(views)
        assigned = assign_engines(list(views.values()), sorted(announced_versions))
        queues = [
            choose_loads(
                assigned[model], model, newest_version, self.required_version(model)
            )
            for model, newest_version in announced_versions.items()
        ]
        # Round-robin over the models, starting with the longest queue.
        queues.sort(key=len, reverse=True)
        max_loading = max(
            MIN_CONCURRENT_LOADS, int(CONCURRENT_LOAD_FRACTION * len(views))
        )
        for load in chain.from_iterable(zip_longest(*queues)):
            if load is None:
                continue
            if len(self._loading) >= max_loading:
                return
            if load.target not in self._loading:
                retry_at = boottime() + LOAD_TIMEOUT_S
                self._loading[load.target] = (load, retry_at)
                eventlet.spawn_n(self._order_load, views[load.target], load)

    def _remove_finished(self, views: Mapping[str, TargetView]) -> None:
        for target, (load, retry_at) in list(self._loading.items()):
            view = views.get(target)
            served_version = view.versions.get(load.model, 0) if view is not None else 0
            if view is None or served_version >= load.version or boottime() >= retry_at:
                del self._loading[target]

    def _order_load(self, view: TargetView, load: WeightLoad) -> None:
        try:
            outcome = self.order(view, load)
        except LeaseLostError:
            return
        if isinstance(outcome, Done) and outcome.value:
            log(LOAD_ORDERED, target=load.target, model=load.model, to=load.version)
            return
        reason = "refused" if isinstance(outcome, Done) else outcome.reason
        log(LOAD_FAILED, target=load.target, model=load.model, reason=reason)
        # A load whose order failed is retried earlier than after LOAD_TIMEOUT_S.
        if load.target in self._loading:
            self._loading[load.target] = (load, boottime() + RETRY_DELAY_S)

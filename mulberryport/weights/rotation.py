"""Weights of several models on shared engines, loaded by turns.

Each model has a home: a part of the engines, spread over the availability zones, that
keeps up with its versions. A job accepts the version before the newest one, so an
engine needs only every second version: half of a home loads a version when it is
announced, the others have the version before and load the next one.
``choose_homes`` and ``choose_loads`` are the policy and ``WeightRotation`` carries it
out.
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

__all__ = ["Load", "WeightRotation", "choose_homes", "choose_loads"]

LOAD_ORDERED = define_event(
    1010, "load_ordered", "info", "An engine was ordered to load a weight version."
)
LOAD_FAILED = define_event(
    1011, "load_failed", "warning", "An order to load weights failed or has no answer."
)

# Engines that load at the same time, at least, and as a part of all. With more of them
# each load takes longer, and with fewer a large deployment falls behind its versions.
LEAST_AT_ONCE = 2
AT_ONCE_PART = 0.2
# An order without visible effect is repeated after this time.
LOAD_TIMEOUT_S = 3.0
RETRY_S = 0.5


@frozen
class Load:
    """An engine that should load a version of a model."""

    target: str
    model: str
    version: int


def choose_homes(
    engines: Sequence[TargetView], models: Sequence[str]
) -> dict[str, list[TargetView]]:
    """Return the engines that keep up with each model.

    Models choose by turns, each the engine that ranks highest for it in the
    availability zone where it has fewest, so that a change of the engines moves few
    of them. With fewer engines than models, engines have several models.

    Examples
    --------
    >>> engines = [
    ...     TargetView(id=f"e{n}", address="", zone="ab"[n % 2], pool="", kind="")
    ...     for n in range(4)
    ... ]
    >>> homes = choose_homes(engines, ["m", "n"])
    >>> sorted(engine.zone for engine in homes["m"])
    ['a', 'b']
    """
    homes: dict[str, list[TargetView]] = {model: [] for model in models}
    free: list[TargetView] = []
    rounds = -(-max(len(engines), len(models)) // max(1, len(models)))
    for _ in range(rounds if engines else 0):
        for model in models:
            if not free:
                if all(homes.values()):
                    return homes
                free = list(engines)
            zones = Counter(engine.zone for engine in homes[model])
            best = min(
                free,
                key=lambda e: (zones[e.zone], -rendezvous_score(model, e.id)),
            )
            free.remove(best)
            homes[model].append(best)
    return homes


def choose_loads(
    engines: Sequence[TargetView],
    model: str,
    newest: int,
    required: int,
) -> list[Load]:
    """Return the loads of one model that are wanted, the most urgent first.

    Parameters
    ----------
    engines : sequence of TargetView
        The model's home.
    model : str
        The model.
    newest : int
        The newest version that was announced.
    required : int
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
    oldest = max(newest - 1, min(required, newest))
    outdated = [e for e in engines if e.versions.get(model, 0) < oldest]
    current = [e for e in engines if e.versions.get(model, 0) >= newest]
    before = [e for e in engines if e not in outdated and e not in current]
    missing = (len(engines) + 1) // 2 - len(current) - len(outdated)
    before.sort(key=lambda engine: engine.in_flight)
    chosen = [*outdated, *before[: max(0, missing)]]
    return [Load(engine.id, model, newest) for engine in chosen]


@define(eq=False)
class WeightRotation:
    """Orders loads while the duty is held.

    Parameters
    ----------
    duty : SessionDuty
        The duty of giving orders.
    engines : callable
        Returns the engines that hold a model.
    announced : callable
        Returns the newest announced version of each model.
    required : callable
        Returns the oldest version that open jobs of a model accept.
    order : callable
        Orders an engine to load a version; true if it does so or has it.
    """

    duty: SessionDuty
    engines: Callable[[str], Sequence[TargetView]]
    announced: Callable[[], Mapping[str, int]]
    required: Callable[[str], int]
    order: Callable[[TargetView, Load], Outcome[bool]]
    _loading: dict[str, tuple[Load, float]] = field(factory=dict)

    def turn(self) -> None:
        """Order what is wanted, as far as not too many engines load."""
        if not self.duty.active:
            self._loading.clear()
            return
        announced = self.announced()
        views: dict[str, TargetView] = {}
        for model in announced:
            found = [engine for engine in self.engines(model) if engine.selectable]
            views.update((engine.id, engine) for engine in found)
        self._forget_loaded(views)
        homes = choose_homes(list(views.values()), sorted(announced))
        queues = [
            choose_loads(homes[model], model, newest, self.required(model))
            for model, newest in announced.items()
        ]
        # The model with the longest queue is served first, then by turns.
        queues.sort(key=len, reverse=True)
        at_once = max(LEAST_AT_ONCE, int(AT_ONCE_PART * len(views)))
        for load in chain.from_iterable(zip_longest(*queues)):
            if load is None:
                continue
            if len(self._loading) >= at_once:
                return
            if load.target not in self._loading:
                due = boottime() + LOAD_TIMEOUT_S
                self._loading[load.target] = (load, due)
                eventlet.spawn_n(self._order, views[load.target], load)

    def _forget_loaded(self, views: Mapping[str, TargetView]) -> None:
        for target, (load, due) in list(self._loading.items()):
            view = views.get(target)
            served = view.versions.get(load.model, 0) if view is not None else 0
            if view is None or served >= load.version or boottime() >= due:
                del self._loading[target]

    def _order(self, view: TargetView, load: Load) -> None:
        try:
            outcome = self.order(view, load)
        except LeaseLostError:
            return
        if isinstance(outcome, Done) and outcome.value:
            log(LOAD_ORDERED, target=load.target, model=load.model, to=load.version)
            return
        reason = "refused" if isinstance(outcome, Done) else outcome.reason
        log(LOAD_FAILED, target=load.target, model=load.model, reason=reason)
        # The time-out of a load whose order was not taken is shortened.
        if load.target in self._loading:
            self._loading[load.target] = (load, boottime() + RETRY_S)

"""Assignment of requests to targets: queues and limits of this daemon."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
from attrs import define, field, frozen

from ..routing import TargetView, choose_target
from ..runtime.clock import boottime
from .directory import TargetDirectory

__all__ = ["Dispatcher", "ShedError", "WorkRequest"]

RETRY_INTERVAL_S = 0.01


class ShedError(Exception):
    """The request was refused before any of it was sent to a target."""


@frozen
class WorkRequest:
    """What a request needs, for queues and selection.

    Parameters
    ----------
    pool : str
        Pool that serves it.
    workspace : str
        On whose behalf it runs; empty for callers without a key.
    priority : int
        0 to 9; a higher value is served first.
    deadline : float
        Boot time after which it need not start.
    prefix : str
        Start of the prompt, for prefix caches; empty if there is none.
    restartable : bool
        Whether it can be run again from the start, as work on cheap targets must.
    exclude : frozenset of str
        Targets that were tried already.
    """

    pool: str
    workspace: str
    priority: int = 5
    deadline: float = float("inf")
    prefix: str = ""
    restartable: bool = False
    exclude: frozenset[str] = frozenset()


@define(eq=False)
class Dispatcher:
    """Gives requests to targets within their limits.

    Parameters
    ----------
    directory : TargetDirectory
        The targets.
    zone : str
        Availability zone of this daemon.
    generator : random.Random
        Source of randomness of the policy.
    """

    directory: TargetDirectory
    zone: str
    generator: random.Random = field(factory=random.Random)
    _waiting: dict[str, int] = field(factory=dict)

    @contextmanager
    def assign(self, request: WorkRequest) -> Iterator[TargetView]:
        """Wait for a target and hold a place there while the context lasts.

        Raises
        ------
        ShedError
            The queue is full, the deadline passed or the pool does not exist.
        """
        view = self._wait(request)
        self.directory.started(view.id, request.restartable)
        try:
            yield view
            self.directory.carried(view.id)
        finally:
            self.directory.finished(view.id, request.restartable)

    def queued(self, pool: str) -> int:
        """Return how many requests wait here for a pool."""
        return self._waiting.get(pool, 0)

    def _wait(self, request: WorkRequest) -> TargetView:
        view = self._choose(request)
        if view is not None:
            return view
        pool = self.directory.pool(request.pool)
        if pool is None:
            raise ShedError(f"pool {request.pool} does not exist")
        if self._waiting.get(request.pool, 0) >= pool.queue:
            raise ShedError(f"the queue of pool {request.pool} is full")
        self._waiting[request.pool] = self._waiting.get(request.pool, 0) + 1
        try:
            while boottime() < request.deadline:
                eventlet.sleep(RETRY_INTERVAL_S)
                view = self._choose(request)
                if view is not None:
                    return view
        finally:
            self._waiting[request.pool] -= 1
        raise ShedError(f"no target of pool {request.pool} was free in time")

    def _choose(self, request: WorkRequest) -> TargetView | None:
        return choose_target(
            self.directory.views(request.pool),
            self.zone,
            self.generator,
            request.exclude,
        )

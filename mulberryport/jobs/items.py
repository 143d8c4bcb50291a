"""One item of a job at its owner: generated, resumed, moved and scored."""

import random
from collections.abc import Callable
from typing import Any

import eventlet
import greenlet
from attrs import define, field, frozen

from ..gateway.access import match_route
from ..outcomes import Outcome
from ..runtime.clock import boottime
from ..tables import Route, Tables
from ..targets import Assignment, Dispatcher, ShedError, WorkRequest
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import JobArchive
from .generation import (
    EngineLeftError,
    EngineStaleError,
    GenerationBrokenError,
    ItemFailedError,
    ItemImpossibleError,
    NotStartedError,
    Ports,
    Transcript,
)
from .model import COMPLETED, ERRORED, Job, JobItem, JobResult, ScoringCall
from .pace import PaceBoard

__all__ = ["ItemWork", "Means"]

ITEM_ATTEMPT_FAILED = define_event(
    920, "item_attempt_failed", "info", "An attempt at an item failed."
)
ITEM_GIVEN_UP = define_event(
    921, "item_given_up", "warning", "An item is listed without a text."
)
ITEM_BROKEN = define_event(
    922, "item_broken", "error", "An attempt ended with an unexpected error."
)
ITEM_MOVED = define_event(
    925, "item_moved", "info", "The text of an item goes on at another engine."
)

# Pause before an attempt that follows one that did not start.
RETRY_S = 0.05
# How long an item waits for a place before its route and versions are looked at again.
PLACE_WAIT_S = 1.0
# A scoring call that has no answer by then is sent again.
SCORING_TIMEOUT_S = 3.0
# The owner before may have counted from another clock.
GIVE_UP_MARGIN_S = 1.0


@frozen(kw_only=True)
class Means:
    """What the owner of a job works with.

    Parameters
    ----------
    archive : JobArchive
        Where results are listed.
    dispatcher : Dispatcher
        Gives items to engines and scoring calls to services.
    tables : callable
        Returns the tables in force.
    ports : Ports
        How engines and services are called.
    now : callable
        Returns seconds since 1970 by the fleet's clock.
    paces : PaceBoard
        Paces of the engines.
    regain : callable
        Tries to own a job again that the store does not show as owned here; returns
        whether it is, as an outcome.
    """

    archive: JobArchive
    dispatcher: Dispatcher
    tables: Callable[[], Tables]
    ports: Ports
    now: Callable[[], float]
    paces: PaceBoard
    regain: Callable[[Any], Outcome[bool]]


@define(eq=False)
class ItemWork:
    """The work on one item until it has a result.

    Parameters
    ----------
    job, item
        The item and its job.
    transcript : Transcript
        Its text so far.
    means : Means
        What it is done with.
    """

    job: Job
    item: JobItem
    transcript: Transcript
    means: Means = field(repr=False)

    def run(self) -> JobResult | None:
        """Return the result of the item; None if the work was cancelled."""
        while True:
            try:
                result = self._try()
            except EngineLeftError as error:
                log(ITEM_MOVED, **self._names(), reason=str(error))
            except (ShedError, NotStartedError, EngineStaleError):
                eventlet.sleep(RETRY_S)
            except (GenerationBrokenError, ItemFailedError) as error:
                log(ITEM_ATTEMPT_FAILED, **self._names(), error=str(error))
                eventlet.sleep(RETRY_S)
            except greenlet.GreenletExit:
                return None
            except Exception as error:
                # Whatever went wrong, the item stays wanted and is tried again.
                log(ITEM_BROKEN, **self._names(), error=repr(error))
                eventlet.sleep(PLACE_WAIT_S)
            else:
                if result.state == ERRORED:
                    log(ITEM_GIVEN_UP, **self._names())
                return result

    def _try(self) -> JobResult:
        """Make one attempt."""
        route = match_route(self.means.tables(), self.item.path, self.job.host)
        if self._is_given_up(route):
            return JobResult(self.item.id, ERRORED)
        assert route is not None
        try:
            self._generate(route)
            score = self._score() if self.item.scoring is not None else ""
        except ItemImpossibleError:
            return JobResult(self.item.id, ERRORED)
        except ItemFailedError:
            self.transcript.failures += 1
            raise
        if score is None:
            return JobResult(self.item.id, ERRORED)
        return JobResult(
            self.item.id,
            COMPLETED,
            "\n".join(self.transcript.events),
            tuple(sorted(set(self.transcript.versions))),
            score,
        )

    def _is_given_up(self, route: Route | None) -> bool:
        """Whether the item lost its route, its time or all its attempts."""
        if route is None or route.batch is None:
            return True
        age = self.means.now() - self.job.submitted_at
        return (
            age > route.batch.give_up + GIVE_UP_MARGIN_S
            or self.transcript.failures >= route.attempts
        )

    def _generate(self, route: Route) -> None:
        work = WorkRequest(
            pool=route.pool_for(random.random()),
            workspace=self.job.workspace,
            priority=route.priority,
            deadline=boottime() + PLACE_WAIT_S,
            affinity=self.item.group,
            restartable=True,
            exclude=self.means.paces.slow(boottime()),
            model=self.item.model,
            oldest_version=self.job.oldest_version,
        )
        with self.means.dispatcher.assign(work) as place:
            try:
                self.means.ports.generate(
                    place.view,
                    self.job,
                    self.item,
                    self.transcript,
                    self._watch_engine(place.id),
                )
                self._keep_one_version(route)
            except (NotStartedError, EngineStaleError, EngineLeftError):
                place.cancelled()
                raise
            except (ItemFailedError, ItemImpossibleError):
                place.succeeded()
                raise

    def _keep_one_version(self, route: Route) -> None:
        """Generate the text anew if its route wants all of it from one version."""
        assert route.batch is not None
        if route.batch.single_version and len(set(self.transcript.versions)) > 1:
            self.transcript.restart()
            raise EngineStaleError("the text has several weight versions")

    def _watch_engine(self, engine: str) -> Callable[[], None]:
        """Return a function that notes events and raises if the text should move."""
        paces, directory = self.means.paces, self.means.dispatcher.directory
        last: float | None = None

        def on_event() -> None:
            nonlocal last
            now = boottime()
            if last is not None:
                paces.note(engine, now - last, now)
                if paces.is_slow(engine, now):
                    raise EngineLeftError(f"{engine} is slow")
            last = now
            if directory.is_leaving(engine):
                raise EngineLeftError(f"{engine} leaves")

        return on_event

    def _score(self) -> str | None:
        """Return the score of a finished text; None if the service gave it up."""
        call = self.item.scoring
        assert call is not None
        failures = 0
        excluded: frozenset[str] = frozenset()
        while True:
            route = match_route(self.means.tables(), call.path, call.host)
            if route is None or failures >= route.attempts:
                return None
            work = WorkRequest(
                pool=route.pool_for(random.random()),
                workspace=self.job.workspace,
                priority=route.priority,
                deadline=boottime() + PLACE_WAIT_S,
                restartable=True,
                exclude=excluded,
            )
            tried = ""
            try:
                with self.means.dispatcher.assign(work) as place:
                    tried = place.id
                    return self._call_scorer(place, call)
            except ItemFailedError:
                failures += 1
            except (ShedError, NotStartedError, GenerationBrokenError) as error:
                log(ITEM_ATTEMPT_FAILED, **self._names(), error=str(error))
                excluded = frozenset({tried}) if tried and not excluded else frozenset()
                eventlet.sleep(RETRY_S)

    def _call_scorer(self, place: Assignment, call: ScoringCall) -> str:
        try:
            return self.means.ports.score(place.view, call, SCORING_TIMEOUT_S)
        except NotStartedError:
            place.cancelled()
            raise
        except ItemFailedError:
            place.succeeded()
            raise

    def _names(self) -> dict[str, str]:
        return {"job": self.job.id, "item": self.item.id}

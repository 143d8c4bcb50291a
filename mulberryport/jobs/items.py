"""Execution of one item of a job: generation, resumption, migration and scoring."""

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any

import eventlet
import greenlet
from attrs import define, evolve, field, frozen

from ..gateway.paths import AmbiguousPathError, match_route
from ..outcomes import Outcome
from ..runtime.clock import boottime
from ..steps import (
    USUAL_URGENCY,
    CarriedTexts,
    ItemRank,
    expected_remaining_events,
)
from ..tables import Route, Snapshot
from ..targets import Assignment, Dispatcher, ShedError, WorkRequest
from ..telemetry import define as define_event
from ..telemetry import log
from .codec import encode_result, max_encoded_bytes
from .generation import (
    DeadlinePassedError,
    EngineClient,
    EngineSwitchError,
    ItemFailedError,
    ItemRejectedError,
    NotStartedError,
    StaleWeightsError,
    StreamInterruptedError,
    Transcript,
)
from .model import COMPLETED, ERRORED, Job, JobItem, JobResult, ScoringCall
from .moving import TextMoves, TextRun
from .repository import CHUNK_BYTES, JobRepository
from .window import ItemWindow

__all__ = ["ItemTask", "JobContext"]

ITEM_ATTEMPT_FAILED = define_event(
    920, "item_attempt_failed", "info", "An attempt at an item failed."
)
ITEM_GIVEN_UP = define_event(
    921, "item_given_up", "warning", "An item is committed as errored, without a text."
)
ITEM_BROKEN = define_event(
    922, "item_broken", "error", "An attempt ended with an unexpected error."
)
ITEM_MOVED = define_event(
    925, "item_moved", "info", "Generation of an item moves to another engine."
)

ITEM_WAITS_FOR_CONFIGURATION = define_event(
    928,
    "item_waits_for_configuration",
    "info",
    "An item waits for a configuration: no route matches it, but the configuration was "
    "not read yet or is older than the one under which its job was accepted; its path "
    "is ambiguous; or there is no route for its scoring call.",
)

ITEM_REFUSED = define_event(
    945,
    "item_refused",
    "info",
    "An engine did not begin an item; for example, it is full or loading a model.",
)

ITEM_WITHHELD = define_event(
    939,
    "item_withheld",
    "warning",
    "An item waits, because its job may have ended without this daemon knowing.",
)

ITEM_RESTARTED = define_event(
    929,
    "item_restarted",
    "info",
    "A partial text was discarded, because it cannot go on at another version of the "
    "engines' software.",
)

# Delay before the next attempt after one that failed or did not start.
RETRY_DELAY_S = 0.05
# How often an item without a route looks for a newer configuration.
CONFIGURATION_POLL_INTERVAL_S = 0.2
# How long an item waits for an engine before its route and versions are re-evaluated.
ASSIGNMENT_WAIT_S = 1.0
# Scoring calls are retried after this timeout.
SCORING_TIMEOUT_S = 3.0
# An item that several jobs brought is not attempted again after this many times the
# attempts of one job have failed.
MAX_ATTEMPTS_FACTOR = 3
# Allows for clock skew between this daemon and the previous owner.
CLOCK_SKEW_MARGIN_S = 1.0


@frozen(kw_only=True)
class JobContext:
    """Services and settings that the owner of a job needs to execute it.

    Parameters
    ----------
    repository : JobRepository
        Where results are committed.
    dispatcher : Dispatcher
        Assigns items to engines and scoring calls to services.
    snapshot : callable
        Returns the configuration in force.
    engine_client : EngineClient
        Calls engines and scoring services.
    now : callable
        Returns seconds since 1970 by the fleet's clock.
    moves : TextMoves
        Decides which engines texts avoid and leave.
    reacquire : callable
        Tries to reacquire a job that the store does not show as owned by this daemon;
        returns whether that succeeded, as an outcome.
    may_be_outdated : callable
        Returns whether the job may have ended without this daemon knowing by now.
    carried : CarriedTexts
        Texts of ended jobs.
    window : ItemWindow
        How many items of the owned jobs compete for targets at once.
    """

    repository: JobRepository
    dispatcher: Dispatcher
    snapshot: Callable[[], Snapshot]
    engine_client: EngineClient
    now: Callable[[], float]
    moves: TextMoves
    reacquire: Callable[[Any], Outcome[bool]]
    may_be_outdated: Callable[[], bool] = lambda: False
    carried: CarriedTexts = field(factory=CarriedTexts)
    window: ItemWindow = field(factory=ItemWindow)

    def schedules_steps(self, pool: str) -> bool:
        """Whether jobs are scheduled as steps: targets tell how uneven they are."""
        return self.dispatcher.is_uneven(pool)


class ItemGivenUpError(Exception):
    """An item has no text and will not be attempted again; states the reason."""


class RouteUnavailableError(Exception):
    """The configuration in force has no usable route; a newer one may have it."""


@define(eq=False)
class ItemTask:
    """Execution of one item until it has a result.

    Parameters
    ----------
    job, item
        The item and its job.
    transcript : Transcript
        Text generated so far.
    context : JobContext
        Services and settings for executing the item.
    rank : callable
        Returns the present rank of the item within its job, called with the seconds
        since the submission and those within which the job is due.
    on_slot_change : callable
        Called with 1 when the item stops competing for engines, because it got a slot
        or waits for its scoring call, and with -1 when that ends.
    """

    job: Job
    item: JobItem
    transcript: Transcript
    context: JobContext = field(repr=False)
    rank: Callable[[float, float], ItemRank]
    on_slot_change: Callable[[int], None] = lambda change: None
    _has_waited: bool = False
    _is_waiting_for_score: bool = False
    _run: TextRun = field(factory=TextRun)

    def run(self) -> JobResult | None:
        """Return the result of the item; None if the task was cancelled."""
        while True:
            try:
                result = self._attempt()
            except EngineSwitchError as error:
                log(ITEM_MOVED, **self._log_fields(), reason=str(error))
            except RouteUnavailableError as error:
                self._wait_for_configuration(str(error))
            except NotStartedError as error:
                log(ITEM_REFUSED, **self._log_fields(), reason=str(error))
                eventlet.sleep(RETRY_DELAY_S)
            except (ShedError, StaleWeightsError):
                eventlet.sleep(RETRY_DELAY_S)
            except (StreamInterruptedError, ItemFailedError) as error:
                log(ITEM_ATTEMPT_FAILED, **self._log_fields(), error=str(error))
                eventlet.sleep(RETRY_DELAY_S)
            except ItemGivenUpError as error:
                log(ITEM_GIVEN_UP, **self._log_fields(), reason=str(error))
                return JobResult(self.item.id, ERRORED)
            except greenlet.GreenletExit:
                return None
            except Exception as error:
                # An unexpected error must not lose the item, so it is retried.
                log(ITEM_BROKEN, **self._log_fields(), error=repr(error))
                eventlet.sleep(ASSIGNMENT_WAIT_S)
            else:
                return result

    def _attempt(self) -> JobResult:
        """Make one attempt to generate and score the item.

        Raises
        ------
        ItemGivenUpError
            The item is to be committed as errored.
        """
        self._wait_until_up_to_date()
        route = self._find_batch_route()
        self._check_limits(route)
        try:
            self._generate(route)
            score = self._score() if self.item.scoring is not None else ""
        except ItemRejectedError as error:
            self.transcript.failures += route.attempts
            raise ItemGivenUpError(f"rejected: {error}") from error
        except ItemFailedError:
            self.transcript.failures += 1
            raise
        result = JobResult(
            self.item.id,
            COMPLETED,
            "\n".join(self.transcript.events),
            tuple(sorted(set(self.transcript.versions))),
            score,
        )
        # The store would refuse it each time, and with it all later results.
        may_be_too_long = max_encoded_bytes(result) > CHUNK_BYTES
        if may_be_too_long and len(encode_result(result)) > CHUNK_BYTES:
            self._restart("the text is too long for the store")
            raise StreamInterruptedError("the text is too long for the store")
        return result

    def _find_batch_route(self) -> Route:
        """Return the route of the item.

        Raises
        ------
        ItemGivenUpError
            The route was removed; or the path is ambiguous, and the item has no time
            or attempts left.
        RouteUnavailableError
            The path is ambiguous; or no route for jobs matches, but the configuration
            was not read yet or is older than the one under which the job was accepted,
            so that the route may exist.
        """
        snapshot, path = self.context.snapshot(), self.item.path
        ambiguity = ""
        try:
            route = match_route(snapshot.tables, path, self.job.host)
        except AmbiguousPathError as error:
            route, ambiguity = error.route, str(error)
        if route is not None and route.batch is not None:
            if ambiguity:
                self._check_limits(route)
                raise RouteUnavailableError(f"{path}: {ambiguity}")
            return route
        reason = f"revision {snapshot.revision} has no route for jobs at {path}"
        if snapshot.revision < max(1, self.job.configuration_revision):
            raise RouteUnavailableError(reason)
        raise ItemGivenUpError(f"route removed: {reason}")

    def _find_scoring_route(self, call: ScoringCall) -> Route:
        """Return the route of the scoring call.

        Raises
        ------
        RouteUnavailableError
            There is none, or the path is ambiguous. Only the end of the item's own
            route ends the item.
        """
        snapshot = self.context.snapshot()
        try:
            route = match_route(snapshot.tables, call.path, call.host)
        except AmbiguousPathError as error:
            raise RouteUnavailableError(f"{call.path}: {error}") from error
        if route is None:
            raise RouteUnavailableError(
                f"revision {snapshot.revision} has no route at {call.path}"
            )
        return route

    def _wait_for_configuration(self, reason: str) -> None:
        """Wait before looking for a newer configuration.

        The age limit of an item is a term of its route, so an item whose route is not
        known waits until a configuration tells its terms, or that there is no route.
        """
        snapshot = self.context.snapshot()
        if not self._has_waited:
            self._has_waited = True
            log(
                ITEM_WAITS_FOR_CONFIGURATION,
                **self._log_fields(),
                reason=reason,
                revision=snapshot.revision,
                required=self.job.configuration_revision,
            )
        deadline = boottime() + ASSIGNMENT_WAIT_S
        while self.context.snapshot() is snapshot and boottime() < deadline:
            eventlet.sleep(CONFIGURATION_POLL_INTERVAL_S)

    def _check_limits(self, route: Route) -> None:
        """Raise ``ItemGivenUpError`` if the item has no time or attempts left."""
        assert route.batch is not None
        age = self.context.now() - self.job.submitted_at
        if age > route.batch.give_up + CLOCK_SKEW_MARGIN_S:
            raise ItemGivenUpError(f"expired: submitted {age:.1f} s ago")
        failures = self.transcript.failures
        if failures >= route.attempts:
            raise ItemGivenUpError(f"attempts: {failures} have failed")
        failures += self.transcript.earlier_failures
        if failures >= MAX_ATTEMPTS_FACTOR * route.attempts:
            raise ItemGivenUpError(f"attempts: {failures} have failed in several jobs")

    def _generate(self, route: Route) -> None:
        pool = route.select_pool(random.random())
        self._restart_without_software(pool)
        expected_events = self._remaining_events(pool)
        rank = self._rank_in_step(route, pool)
        item = evolve(self.item, urgency=rank.urgency) if rank else self.item
        work = WorkRequest(
            pool=pool,
            workspace=self.job.workspace,
            priority=max(0, route.priority - (rank.level if rank else 0)),
            deadline=boottime() + ASSIGNMENT_WAIT_S,
            affinity=self.item.group,
            restartable=True,
            exclude=self.context.moves.avoided_targets(
                pool, self._run, expected_events, boottime()
            ),
            model=self.item.model,
            oldest_version=self.job.oldest_version,
            software=self.transcript.software if self.transcript.events else None,
            purpose="item",
            is_resubmitted=True,
            prompt_parts=self.item.prompt_parts,
            expected_events=expected_events,
        )
        work = self.context.moves.relaxed(work)
        with self._assign(work) as assignment:
            self.transcript.software = assignment.software
            try:
                self._require_up_to_date()
                with self._watch_replacement(assignment):
                    self.context.engine_client.generate(
                        assignment.view,
                        self.job,
                        item,
                        self.transcript,
                        self._make_event_callback(assignment, work),
                    )
                self._require_single_version(route)
            except NotStartedError:
                assignment.refused()
                raise
            except (DeadlinePassedError, StaleWeightsError, EngineSwitchError):
                assignment.cancelled()
                raise
            except (ItemFailedError, ItemRejectedError):
                assignment.succeeded()
                raise

    def _rank_in_step(self, route: Route, pool: str) -> ItemRank | None:
        """Return the rank of the item, if the jobs of a pool are scheduled as steps.

        Where callers share the targets, no item is more urgent than their requests.
        """
        assert route.batch is not None
        if not self.context.schedules_steps(pool):
            return None
        elapsed_s = self.context.now() - self.job.submitted_at
        rank = self.rank(elapsed_s, route.batch.due)
        routes = self.context.snapshot().tables.routes.values()
        if any(other.batch is None and pool in other.pools for other in routes):
            return evolve(rank, urgency=max(USUAL_URGENCY, rank.urgency))
        return rank

    @contextmanager
    def _assign(self, work: WorkRequest) -> Iterator[Assignment]:
        with ExitStack() as stack:
            try:
                assignment = stack.enter_context(self.context.dispatcher.assign(work))
            except ShedError:
                self._restart_if_others_serve(work)
                raise
            self.on_slot_change(1)
            stack.callback(self.on_slot_change, -1)
            yield assignment

    def _restart_without_software(self, pool: str) -> None:
        """Restart a text if no target in service runs the software that began it."""
        directory = self.context.dispatcher.directory
        if self.transcript.events and not directory.serves_software(
            pool, self.transcript.software
        ):
            self._restart("no target in service runs the software that began it")

    def _restart_if_others_serve(self, work: WorkRequest) -> None:
        """Restart a text whose software has no free slot, if another version serves."""
        views = self.context.dispatcher.directory.views(work.pool)
        if work.software is not None and any(
            view.selectable and view.software != work.software for view in views
        ):
            self._restart("no target that runs its software was free in time")

    @contextmanager
    def _watch_replacement(self, assignment: Assignment) -> Iterator[None]:
        """Restart the text if its engine was replaced under its id meanwhile.

        Raises
        ------
        StreamInterruptedError
            The engine was replaced, and the text was complete.
        """
        try:
            yield
        finally:
            is_replaced = self.context.dispatcher.directory.is_replaced(assignment.view)
            if is_replaced and self.transcript.events:
                self._restart("its engine was replaced under its id")
        if is_replaced:
            raise StreamInterruptedError("the engine was replaced under its id")

    def _restart(self, reason: str) -> None:
        log(
            ITEM_RESTARTED,
            **self._log_fields(),
            software=self.transcript.software,
            events=len(self.transcript.events),
            reason=reason,
        )
        self.transcript.restart()

    def _require_single_version(self, route: Route) -> None:
        """Restart a text of several versions if its route requires a single one."""
        assert route.batch is not None
        if route.batch.single_version and len(set(self.transcript.versions)) > 1:
            self.transcript.restart()
            raise StaleWeightsError("the text has several weight versions")

    def _remaining_events(self, pool: str) -> float:
        """Return the expected number of events that the text still lacks."""
        settings = self.context.dispatcher.directory.pool(pool)
        hint, most = self.item.length_hint, self.item.max_output_tokens
        return expected_remaining_events(
            min(hint, most or hint),
            settings.tokens_per_event if settings is not None else 1,
            len(self.transcript.events),
        )

    def _make_event_callback(
        self, assignment: Assignment, work: WorkRequest
    ) -> Callable[[], None]:
        """Return a callback that measures events and raises if the item should move.

        An item stays where it is while no other target can go on with its text.
        """
        engine, moves = assignment.id, self.context.moves
        last_event_at: float | None = None

        def on_event() -> None:
            nonlocal last_event_at
            now = boottime()
            if last_event_at is not None:
                is_pause = len(set(self.transcript.versions[-2:])) > 1
                moves.record_interval(assignment, now - last_event_at, is_pause, now)
                remaining_events = self._remaining_events(assignment.pool)
                if moves.should_leave(
                    assignment, work, self._run, remaining_events, now
                ):
                    raise EngineSwitchError(f"{engine} is slow")
            last_event_at = now
            if moves.must_leave(assignment):
                raise EngineSwitchError(f"{engine} is leaving")

        return on_event

    def _score(self) -> str:
        """Return the score of a complete text.

        While its call has no route or target, the item leaves its turn at the engines
        to others.

        Raises
        ------
        ItemGivenUpError
            All attempts failed, or the route of the item was removed.
        """
        call = self.item.scoring
        assert call is not None
        with ExitStack() as waiting:
            return self._score_call(call, partial(self._stop_competing, waiting))

    def _stop_competing(self, waiting: ExitStack) -> None:
        """Give up the item's turn at the engines until a context ends."""
        if not self._is_waiting_for_score:
            self._is_waiting_for_score = True
            waiting.callback(self._compete_again)
            self.on_slot_change(1)

    def _compete_again(self) -> None:
        self._is_waiting_for_score = False
        self.on_slot_change(-1)

    def _score_call(self, call: ScoringCall, on_wait: Callable[[], None]) -> str:
        """Return the score that a call brings; ``on_wait`` is called before waits."""
        failures = 0
        excluded_targets: frozenset[str] = frozenset()
        while True:
            self._wait_until_up_to_date()
            try:
                self._check_limits(self._find_batch_route())
                route = self._find_scoring_route(call)
            except RouteUnavailableError as error:
                on_wait()
                self._wait_for_configuration(str(error))
                continue
            if failures >= route.attempts:
                raise ItemGivenUpError(f"attempts: {failures} scoring calls failed")
            work = WorkRequest(
                pool=route.select_pool(random.random()),
                workspace=self.job.workspace,
                priority=route.priority,
                deadline=boottime() + ASSIGNMENT_WAIT_S,
                restartable=True,
                exclude=excluded_targets,
                purpose="scoring",
                is_resubmitted=True,
            )
            attempted_target = ""
            try:
                with self.context.dispatcher.assign(work) as assignment:
                    attempted_target = assignment.id
                    return self._call_scorer(assignment, call)
            except ItemFailedError as error:
                failures += 1
                log(ITEM_ATTEMPT_FAILED, **self._log_fields(), error=str(error))
            except (ShedError, NotStartedError, StreamInterruptedError) as error:
                log(ITEM_ATTEMPT_FAILED, **self._log_fields(), error=str(error))
                if not attempted_target:
                    on_wait()
                excluded_targets = (
                    frozenset({attempted_target})
                    if attempted_target and not excluded_targets
                    else frozenset()
                )
                eventlet.sleep(RETRY_DELAY_S)

    def _call_scorer(self, assignment: Assignment, call: ScoringCall) -> str:
        try:
            self._require_up_to_date()
            return self.context.engine_client.score(
                assignment.view, call, SCORING_TIMEOUT_S
            )
        except NotStartedError:
            assignment.refused()
            raise
        except DeadlinePassedError:
            assignment.cancelled()
            raise
        except ItemFailedError:
            assignment.succeeded()
            raise

    def _wait_until_up_to_date(self) -> None:
        """Wait until the end of the job can be ruled out."""
        if not self.context.may_be_outdated():
            return
        log(ITEM_WITHHELD, **self._log_fields())
        while self.context.may_be_outdated():
            eventlet.sleep(RETRY_DELAY_S)

    def _require_up_to_date(self) -> None:
        """Raise ``NotStartedError`` if the end of the job cannot be ruled out."""
        if self.context.may_be_outdated():
            raise NotStartedError("the end of the job cannot be ruled out")

    def _log_fields(self) -> dict[str, str]:
        return {"job": self.job.id, "item": self.item.id}

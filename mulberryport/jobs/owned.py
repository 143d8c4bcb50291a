"""A job at its owner: generates the items and lists their results.

Each item has a green thread. Finished items wait for the committer, which lists them
in the store in groups; only what is listed is shown to readers.
"""

import random
from collections.abc import Callable
from typing import Any

import eventlet
import greenlet
from attrs import define, evolve, field, frozen

from ..coordination import Conflict
from ..gateway.access import match_route
from ..outcomes import Done, Outcome
from ..runtime.clock import boottime
from ..runtime.signals import Signal
from ..tables import Route, Tables
from ..targets import Assignment, Dispatcher, ShedError, WorkRequest
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import JobArchive, JobHead
from .codec import encode_result
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

__all__ = ["Means", "OwnedJob"]

ITEM_ATTEMPT_FAILED = define_event(
    920,
    "item_attempt_failed",
    "info",
    "An attempt at an item failed.",
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
RESULTS_LISTED = define_event(923, "results_listed", "info", "Results were listed.")
OWNERSHIP_LOST = define_event(
    924, "job_ownership_lost", "warning", "A job has another owner or was ended."
)

# Finished items gather for this time before they are listed together: a store takes a
# few hundred writes a second from the whole fleet.
GATHER_S = 0.25
COMMIT_RETRY_S = 0.2
COMMIT_BYTES = 500_000
# Texts of some length are kept once a second, so that the loss of an owner costs no
# more of them than that.
CHECKPOINT_PERIOD_S = 1.0
KEPT_EVENTS = 10
# Pause before an attempt that follows one that did not start.
RETRY_S = 0.05
# How long an item waits for a place before its route and versions are looked at again.
PLACE_WAIT_S = 1.0
# A scoring call that has no answer by then is sent again.
SCORING_TIMEOUT_S = 3.0
# Results kept longer than their giving-up time by another daemon's clock are safe.
GIVE_UP_MARGIN_S = 1.0


@frozen(kw_only=True)
class Means:
    """What an owner works with.

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
    regain: Callable[["OwnedJob"], Outcome[bool]]


@define(eq=False)
class OwnedJob:
    """A job that this daemon owns.

    Parameters
    ----------
    job : Job
        The job.
    head : JobHead
        Its head in the store.
    ownership : int
        Revision at which this daemon became the owner.
    lease : int
        Session under which it did.
    means : Means
        What it works with.
    """

    job: Job
    head: JobHead
    ownership: int
    lease: int
    means: Means
    changed: Signal = field(factory=Signal)
    _listed: list[bytes] = field(factory=list)
    _done: set[str] = field(factory=set)
    _pending: list[JobResult] = field(factory=list)
    _transcripts: dict[str, Transcript] = field(factory=dict)
    _threads: list[Any] = field(factory=list)
    _finished: Signal = field(factory=Signal)
    _closed: bool = False
    _committing: bool = False
    _kept_at: float = float("-inf")

    @property
    def closed(self) -> bool:
        """Whether nothing more is generated or listed here."""
        return self._closed

    @property
    def provisional(self) -> bool:
        """Whether the job is kept on disks only, so that nothing can be listed."""
        return not self.ownership

    @property
    def listed(self) -> list[bytes]:
        """The results that are listed, encoded, in order; not to be changed."""
        return self._listed

    @property
    def complete(self) -> bool:
        """Whether all items are listed."""
        return len(self._listed) >= len(self.job.items)

    def start(
        self, listed: list[JobResult], transcripts: dict[str, Transcript]
    ) -> None:
        """Generate what is not listed yet.

        Parameters
        ----------
        listed : list of JobResult
            What an owner before listed.
        transcripts : dict of str to Transcript
            Unfinished texts of an owner before, by item.
        """
        self._listed = [encode_result(result) for result in listed]
        self._done = {result.id for result in listed}
        self._transcripts = dict(transcripts)
        left = [item for item in self.job.items if item.id not in self._done]
        # A step waits for its longest texts, so these begin first.
        for item in sorted(left, key=lambda item: -item.length_hint):
            thread = eventlet.spawn(self._run_item, item)
            self._threads.append(thread)
        self._threads.append(eventlet.spawn(self._list_results))

    def wait_for(self, position: int, deadline: float) -> None:
        """Wait until a position is listed, nothing follows, or a boot time."""
        while not self._closed and not self.complete:
            left = deadline - boottime()
            if len(self._listed) > position or left <= 0:
                return
            self.changed.wait(left)

    def close(self) -> None:
        """Stop to generate; what is not listed by now is not listed here."""
        if self._closed:
            return
        self._closed = True
        for thread in self._threads:
            if thread is not eventlet.getcurrent():
                thread.kill()
        self._threads.clear()
        self.changed.send()

    def hand_over(self) -> None:
        """Stop, and leave the rest to another daemon with the unfinished texts."""
        if self._closed:
            return
        pending = list(self._pending)
        self.close()
        if self.provisional:
            return
        if pending and not self._committing:
            self._commit(pending)
        unfinished = {
            item: transcript
            for item, transcript in self._transcripts.items()
            if transcript.events
        }
        self.means.archive.release(self.job.id, self.ownership, unfinished)

    def _run_item(self, item: JobItem) -> None:
        result: JobResult | None = None
        while result is None:
            try:
                result = self._try_item(item)
            except EngineLeftError as error:
                log(ITEM_MOVED, job=self.job.id, item=item.id, reason=str(error))
            except (ShedError, NotStartedError, EngineStaleError):
                eventlet.sleep(RETRY_S)
            except (GenerationBrokenError, ItemFailedError) as error:
                log(
                    ITEM_ATTEMPT_FAILED,
                    job=self.job.id,
                    item=item.id,
                    error=str(error),
                )
                eventlet.sleep(RETRY_S)
            except greenlet.GreenletExit:
                return
            except Exception as error:
                # Whatever went wrong, the item stays wanted and is tried again.
                log(ITEM_BROKEN, job=self.job.id, item=item.id, error=repr(error))
                eventlet.sleep(PLACE_WAIT_S)
        if result.state == ERRORED:
            log(ITEM_GIVEN_UP, job=self.job.id, item=item.id)
        self._done.add(item.id)
        self._pending.append(result)
        self._finished.send()

    def _try_item(self, item: JobItem) -> JobResult | None:
        """Make one attempt; return None if another one must follow."""
        tables = self.means.tables()
        route = match_route(tables, item.path, self.job.host)
        transcript = self._transcripts.setdefault(item.id, Transcript())
        if route is None or route.batch is None:
            return JobResult(item.id, ERRORED)
        age = self.means.now() - self.job.submitted_at
        if (
            age > route.batch.give_up + GIVE_UP_MARGIN_S
            or transcript.failures >= route.attempts
        ):
            return JobResult(item.id, ERRORED)
        try:
            self._generate(item, route, transcript)
            score = self._score(item) if item.scoring is not None else ""
        except ItemImpossibleError:
            return JobResult(item.id, ERRORED)
        except ItemFailedError:
            transcript.failures += 1
            raise
        if score is None:
            return JobResult(item.id, ERRORED)
        return JobResult(
            item.id,
            COMPLETED,
            "\n".join(transcript.events),
            tuple(sorted(set(transcript.versions))),
            score,
        )

    def _generate(self, item: JobItem, route: Route, transcript: Transcript) -> None:
        work = WorkRequest(
            pool=route.pool_for(random.random()),
            workspace=self.job.workspace,
            priority=route.priority,
            deadline=boottime() + PLACE_WAIT_S,
            affinity=item.group,
            restartable=True,
            exclude=self.means.paces.slow(boottime()),
            model=item.model,
            oldest_version=self.job.oldest_version,
        )
        with self.means.dispatcher.assign(work) as place:
            try:
                on_event = self._watch_engine(place.id)
                self.means.ports.generate(
                    place.view, self.job, item, transcript, on_event
                )
            except (NotStartedError, EngineStaleError, EngineLeftError):
                place.cancelled()
                raise
            except (ItemFailedError, ItemImpossibleError):
                place.succeeded()
                raise

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

    def _score(self, item: JobItem) -> str | None:
        """Return the score of a finished text; None if the service gave it up."""
        assert item.scoring is not None
        failures = 0
        excluded: frozenset[str] = frozenset()
        while True:
            route = match_route(
                self.means.tables(), item.scoring.path, item.scoring.host
            )
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
                    return self._call_scorer(place, item.scoring)
            except ItemFailedError:
                failures += 1
            except (ShedError, NotStartedError, GenerationBrokenError) as error:
                log(
                    ITEM_ATTEMPT_FAILED,
                    job=self.job.id,
                    item=item.id,
                    error=str(error),
                )
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

    def _list_results(self) -> None:
        """List finished items until none is left."""
        while not self._closed and not self.complete:
            if not self._pending:
                self._finished.wait(COMMIT_RETRY_S)
                self._checkpoint()
                continue
            if len(self._listed) + len(self._pending) < len(self.job.items):
                eventlet.sleep(GATHER_S)
            batch = self._next_batch()
            while not self._closed and not self._commit(batch):
                eventlet.sleep(COMMIT_RETRY_S)

    def _long_texts(self) -> dict[str, Transcript]:
        """Return the unfinished texts that are worth to be kept, if that is due."""
        if boottime() - self._kept_at < CHECKPOINT_PERIOD_S:
            return {}
        return {
            item: transcript
            for item, transcript in self._transcripts.items()
            if len(transcript.events) >= KEPT_EVENTS
        }

    def _checkpoint(self) -> None:
        """Keep long unfinished texts for an owner after this one."""
        texts = self._long_texts()
        if self._closed or self.provisional or self._pending or not texts:
            return
        self._kept_at = boottime()
        self.means.archive.checkpoint(self.job.id, self.ownership, texts)

    def _next_batch(self) -> list[JobResult]:
        batch: list[JobResult] = []
        size = 0
        for result in self._pending:
            size += len(result.text)
            if batch and size > COMMIT_BYTES:
                break
            batch.append(result)
        return batch

    def _commit(self, batch: list[JobResult]) -> bool:
        """List results; return whether they are listed or the job was lost.

        A call without an answer is repeated as it was, so that whichever execution
        counts, the same results stand at the same positions.
        """
        if self.provisional:
            return False
        position = len(self._listed)
        last = position + len(batch) >= len(self.job.items)
        self._committing = True
        try:
            texts = {} if last else self._long_texts()
            if texts:
                self._kept_at = boottime()
            outcome = self.means.archive.append(
                self.job.id,
                self.ownership,
                position,
                batch,
                self.head if last else None,
                texts,
            )
        finally:
            self._committing = False
        if not isinstance(outcome, Done):
            return False
        if isinstance(outcome.value, Conflict):
            return self._regain()
        self._note_listed(batch)
        if last:
            self.head = evolve(
                self.head, state="finished", revision=outcome.value.revision
            )
        return True

    def _note_listed(self, batch: list[JobResult]) -> None:
        self._listed.extend(encode_result(result) for result in batch)
        for result in batch:
            self._transcripts.pop(result.id, None)
        del self._pending[: len(batch)]
        log(
            RESULTS_LISTED,
            job=self.job.id,
            listed=len(self._listed),
            total=len(self.job.items),
        )
        self.changed.send()

    def _regain(self) -> bool:
        """Own the job again if only the session ended; otherwise stop.

        Returns
        -------
        bool
            False if the batch must be listed again.
        """
        regained = self.means.regain(self)
        if isinstance(regained, Done):
            if regained.value:
                return False
            log(OWNERSHIP_LOST, job=self.job.id, ownership=self.ownership)
            self.close()
            return True
        return False

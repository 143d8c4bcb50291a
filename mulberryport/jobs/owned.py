"""Execution of a job by its owner: generates the items and commits their results.

Each item runs in its own green thread. A committer thread appends finished results to
the store in batches; readers see only committed results.
"""

import math
from collections import deque
from collections.abc import Iterable
from functools import partial
from typing import Any

import eventlet
from attrs import define, evolve, field
from eventlet.semaphore import Semaphore

from ..coordination import Conflict
from ..outcomes import Done
from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from ..runtime.waits import supervise
from ..tables import Route
from ..telemetry import define as define_event
from ..telemetry import log
from .carrying import keep_texts, reuse_texts
from .codec import decode_result, encode_result, max_encoded_bytes
from .generation import Transcript
from .items import ItemTask, JobContext
from .model import COMPLETED, Job, JobItem, JobResult
from .progress import StepProgress
from .repository import FINISHED, JobHead

__all__ = ["OwnedJob"]

RESULTS_LISTED = define_event(
    923, "results_listed", "info", "Results were committed to the store."
)
OWNERSHIP_LOST = define_event(
    924,
    "job_ownership_lost",
    "warning",
    "A job was claimed by another owner or was ended.",
)

RESULTS_UNANSWERED = define_event(
    926,
    "results_unanswered",
    "warning",
    "A commit of results got no answer; it may take effect later.",
)
JOB_CLOSED = define_event(
    927, "job_closed", "info", "This daemon stopped generating and committing a job."
)

# Batches results for this long before each commit, because the store handles only a few
# hundred writes per second from the whole fleet.
BATCH_DELAY_S = 0.25
COMMIT_RETRY_DELAY_S = 0.2
MAX_COMMIT_BYTES = 500_000
# Longer transcripts are checkpointed once per second, which bounds the work that the
# loss of an owner costs.
CHECKPOINT_PERIOD_S = 1.0
MIN_CHECKPOINT_EVENTS = 10


@define(eq=False)
class OwnedJob:
    """A job owned and executed by this daemon.

    Parameters
    ----------
    job : Job
        The job.
    head : JobHead
        Its head in the store.
    ownership : int
        Store revision at which this daemon became the owner; 0 while the job is only
        in the journal.
    lease : int
        Lease of the session that holds the ownership.
    context : JobContext
        Services and settings for executing items.
    """

    job: Job
    head: JobHead
    ownership: int
    lease: int
    context: JobContext
    progress: Notifier = field(factory=Notifier)
    # Held while the ownership is changed, so that changes follow each other.
    ownership_lock: Semaphore = field(factory=Semaphore)
    _committed: list[bytes] = field(factory=list)
    _pending: list[JobResult] = field(factory=list)
    _transcripts: dict[str, Transcript] = field(factory=dict)
    _step: StepProgress = field(init=False)
    # Items that do not compete for targets yet, and the threads of those that do.
    _waiting_items: deque[JobItem] = field(factory=deque)
    _item_threads: set[Any] = field(factory=set)
    _slot_count: int = 0
    _threads: list[Any] = field(factory=list)
    _result_ready: Notifier = field(factory=Notifier)
    _has_listed_wanted: bool = False
    _closed: bool = False
    _commit_in_progress: bool = False
    _checkpointed_at: float = float("-inf")

    @property
    def is_closed(self) -> bool:
        """Whether this daemon has stopped generating and committing results."""
        return self._closed

    @property
    def is_provisional(self) -> bool:
        """Whether the job is only in the journal, so that nothing can be committed."""
        return not self.ownership

    @property
    def committed(self) -> list[bytes]:
        """Committed results, encoded, in order; callers must not modify the list."""
        return self._committed

    @property
    def is_complete(self) -> bool:
        """Whether the results of all items are committed."""
        return len(self._committed) >= len(self.job.items)

    def start(
        self, committed: list[JobResult], transcripts: dict[str, Transcript]
    ) -> None:
        """Start generating the items that have no committed result.

        Parameters
        ----------
        committed : list of JobResult
            Results committed by previous owners.
        transcripts : dict of str to Transcript
            Partial transcripts of a previous owner, by item id.
        """
        self._committed = [encode_result(result) for result in committed]
        self._transcripts = dict(transcripts)
        committed_ids = {result.id for result in committed}
        remaining = [item for item in self.job.items if item.id not in committed_ids]
        remaining = self._reuse_texts(remaining)
        if self._closed:
            return
        # The longest items determine when a step completes, so they start first.
        self._waiting_items.extend(
            sorted(remaining, key=lambda item: -item.length_hint)
        )
        self.context.window.add(self.job.id)
        self._start_items()
        name = f"commits of job {self.job.id}"
        self._threads.append(supervise(name, self._commit_results))

    def wait_for_position(self, position: int, deadline: float) -> None:
        """Wait until a position is committed, the job closes or the deadline passes."""
        while not self._closed and not self.is_complete:
            remaining_s = deadline - boottime()
            if len(self._committed) > position or remaining_s <= 0:
                return
            self.progress.wait(remaining_s)

    def close(self, reason: str) -> None:
        """Stop generating; results that are not committed yet are discarded.

        Parameters
        ----------
        reason : str
            Why the job is closed, for the log.
        """
        if self._closed:
            return
        self._closed = True
        log(
            JOB_CLOSED,
            job=self.job.id,
            reason=reason,
            ownership=self.ownership,
            listed=len(self._committed),
            pending=len(self._pending),
            is_committing=self._commit_in_progress,
        )
        self.context.window.remove(self.job.id)
        self._waiting_items.clear()
        current = eventlet.getcurrent()
        threads = [*self._item_threads, *self._threads]
        threads = [thread for thread in threads if thread is not current]
        self._item_threads.clear()
        self._threads.clear()
        # The caller may be cancelled between two kills, for example with the call of a
        # peer; all threads have to end nevertheless.
        eventlet.spawn(_kill_threads, threads).wait()
        self.progress.notify_all()

    def carry_texts(self) -> None:
        """Keep the texts of a closed job for later ones that bring its items again."""
        if not self._is_scheduled():
            return
        results = [decode_result(result) for result in self._committed]
        keep_texts(
            self.job, [*results, *self._pending], self._transcripts, self.context
        )

    def hand_over(self) -> None:
        """Stop, and release the job with its partial transcripts to another daemon."""
        if self._closed:
            return
        self.close("planned stop")
        if self.is_provisional:
            return
        # Only now: a commit may have ended while the job was closed.
        pending = list(self._pending)
        if pending:
            # Has no effect if a commit that the stop interrupted still takes effect.
            self._commit_batch(pending)
        unfinished = {
            item: transcript
            for item, transcript in self._transcripts.items()
            if transcript.events
        }
        self.context.repository.release(self.job.id, self.ownership, unfinished)

    def _reuse_texts(self, items: list[JobItem]) -> list[JobItem]:
        """Take the texts of ended jobs; return the items still to be generated."""
        without_text = [item for item in items if item.id not in self._transcripts]
        reused = reuse_texts(self.job, without_text, self.context)
        self._transcripts |= reused.transcripts
        self._pending.extend(reused.results)
        reused_ids = {result.id for result in reused.results}
        remaining = [item for item in items if item.id not in reused_ids]
        finished = {item.id for item in self.job.items} - {i.id for i in remaining}
        self._step = StepProgress(self.job, self._transcripts, reused.items, finished)
        return remaining

    def _start_items(self) -> None:
        """Let as many items compete for targets as the job's share of the window."""
        limit = self._slot_count + self.context.window.items_per_job(
            min(map(self._queue_length, self._pools()), default=0)
        )
        while self._waiting_items and len(self._item_threads) < limit:
            thread = eventlet.spawn(self._run_item, self._waiting_items.popleft())
            self._item_threads.add(thread)
            thread.link(self._on_item_ended)

    def _on_item_ended(self, thread: Any) -> None:
        self._item_threads.discard(thread)
        self._start_items()

    def _on_slot_change(self, change: int) -> None:
        self._slot_count += change
        if change > 0:
            self._start_items()

    def _run_item(self, item: JobItem) -> None:
        transcript = self._transcripts.setdefault(item.id, Transcript())
        rank = partial(self._step.rank, item)
        result = ItemTask(
            self.job, item, transcript, self.context, rank, self._on_slot_change
        ).run()
        if result is not None:
            elapsed_s = self.context.now() - self.job.submitted_at
            self._step.record_finished(item, elapsed_s, self._due_s())
            self._pending.append(result)
            self._result_ready.notify_all()

    def _due_s(self) -> float:
        route = self._route()
        return route.batch.due if route is not None and route.batch else math.inf

    def _is_scheduled(self) -> bool:
        """Whether the job is scheduled as a step."""
        return any(map(self.context.schedules_steps, self._pools()))

    def _pools(self) -> Iterable[str]:
        route = self._route()
        return route.pools if route is not None else ()

    def _queue_length(self, pool: str) -> int:
        settings = self.context.dispatcher.directory.pool(pool)
        return settings.queue if settings is not None else 0

    def _route(self) -> Route | None:
        return self.context.snapshot().tables.routes.get(self.job.route)

    def _commit_results(self) -> None:
        """Commit finished results in batches until the job is complete or closed."""
        while not self._closed and not self.is_complete:
            if not self._pending:
                self._result_ready.wait(COMMIT_RETRY_DELAY_S)
                self._checkpoint()
                continue
            if len(self._committed) + len(self._pending) < len(self.job.items):
                self._await_batch()
            batch = self._next_batch()
            while not self._closed and not self._commit_batch(batch):
                eventlet.sleep(COMMIT_RETRY_DELAY_S)

    def _await_batch(self) -> None:
        """Wait for more results, unless the trainer waits for those that are here."""
        deadline = boottime() + BATCH_DELAY_S
        while not self._is_awaited() and (remaining_s := deadline - boottime()) > 0:
            self._result_ready.wait(remaining_s)

    def _is_awaited(self) -> bool:
        """Whether the results not committed yet complete what the trainer waits for."""
        if self._has_listed_wanted or not self._step.is_satisfied:
            return False
        return self._is_scheduled()

    def _transcripts_due(self) -> dict[str, Transcript]:
        """Return the transcripts long enough to checkpoint, if a checkpoint is due."""
        if boottime() - self._checkpointed_at < CHECKPOINT_PERIOD_S:
            return {}
        return {
            item: transcript
            for item, transcript in self._transcripts.items()
            if len(transcript.events) >= MIN_CHECKPOINT_EVENTS
        }

    def _checkpoint(self) -> None:
        """Store long partial transcripts so that a later owner can resume them."""
        transcripts = self._transcripts_due()
        if self._closed or self.is_provisional or self._pending or not transcripts:
            return
        self._checkpointed_at = boottime()
        self.context.repository.checkpoint(self.job.id, self.ownership, transcripts)

    def _next_batch(self) -> list[JobResult]:
        batch: list[JobResult] = []
        size = 0
        for result in self._pending:
            size += max_encoded_bytes(result)
            if batch and size > MAX_COMMIT_BYTES:
                break
            batch.append(result)
        return batch

    def _commit_batch(self, batch: list[JobResult]) -> bool:
        """Commit results; return whether they are committed or the job was lost.

        An unanswered commit is repeated unchanged, so that the same results end up at
        the same positions whichever attempt takes effect.
        """
        if self.is_provisional:
            return False
        position = len(self._committed)
        last = position + len(batch) >= len(self.job.items)
        transcripts = {} if last else self._transcripts_due()
        if transcripts:
            self._checkpointed_at = boottime()
        self._commit_in_progress = True
        try:
            outcome = self.context.repository.append(
                self.job.id,
                self.ownership,
                self.head,
                position,
                batch,
                is_last=last,
                transcripts=transcripts,
            )
        finally:
            self._commit_in_progress = False
        if not isinstance(outcome, Done):
            log(
                RESULTS_UNANSWERED,
                job=self.job.id,
                ownership=self.ownership,
                position=position,
                results=len(batch),
                reason=outcome.reason,
            )
            return False
        if isinstance(outcome.value, Conflict):
            return self._reacquire()
        self._record_committed(batch, outcome.value.revision)
        if last:
            revision = outcome.value.revision
            self.head = evolve(self.head, state=FINISHED, revision=revision)
        return True

    def _record_committed(self, batch: list[JobResult], revision: int) -> None:
        position = len(self._committed)
        self._committed.extend(encode_result(result) for result in batch)
        for result in batch:
            transcript = self._transcripts.pop(result.id, None)
            if transcript is not None and result.state != COMPLETED:
                # Only its failures count, if a later job brings the item again.
                transcript.restart()
                self._transcripts[result.id] = transcript
        del self._pending[: len(batch)]
        self._has_listed_wanted = not self._pending and self._step.is_satisfied
        log(
            RESULTS_LISTED,
            job=self.job.id,
            listed=len(self._committed),
            total=len(self.job.items),
            position=position,
            ownership=self.ownership,
            revision=revision,
        )
        self.progress.notify_all()

    def _reacquire(self) -> bool:
        """Reacquire the job if only the session ended; otherwise close it.

        Returns
        -------
        bool
            False if the batch must be committed again.
        """
        reacquired = self.context.reacquire(self)
        if not isinstance(reacquired, Done) or reacquired.value:
            return False
        log(OWNERSHIP_LOST, job=self.job.id, ownership=self.ownership)
        self.close("ownership lost")
        return True


def _kill_threads(threads: list[Any]) -> None:
    for thread in threads:
        thread.kill()

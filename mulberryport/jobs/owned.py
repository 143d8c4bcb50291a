"""A job at its owner: generates the items and lists their results.

Each item has a green thread. Finished items wait for the committer, which lists them
in the store in groups; only what is listed is shown to readers.
"""

from typing import Any

import eventlet
from attrs import define, evolve, field

from ..coordination import Conflict
from ..outcomes import Done
from ..runtime.clock import boottime
from ..runtime.signals import Signal
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import FINISHED, JobHead
from .codec import encode_result
from .generation import Transcript
from .items import ItemWork, Means
from .model import Job, JobItem, JobResult

__all__ = ["OwnedJob"]

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
        Revision at which this daemon became the owner; 0 while only disks keep it.
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
        self._transcripts = dict(transcripts)
        done = {result.id for result in listed}
        left = [item for item in self.job.items if item.id not in done]
        # A step waits for its longest texts, so these begin first.
        for item in sorted(left, key=lambda item: -item.length_hint):
            self._threads.append(eventlet.spawn(self._run_item, item))
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
        transcript = self._transcripts.setdefault(item.id, Transcript())
        result = ItemWork(self.job, item, transcript, self.means).run()
        if result is not None:
            self._pending.append(result)
            self._finished.send()

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
        texts = {} if last else self._long_texts()
        if texts:
            self._kept_at = boottime()
        self._committing = True
        try:
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
            revision = outcome.value.revision
            self.head = evolve(self.head, state=FINISHED, revision=revision)
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
        if not isinstance(regained, Done) or regained.value:
            return False
        log(OWNERSHIP_LOST, job=self.job.id, ownership=self.ownership)
        self.close()
        return True

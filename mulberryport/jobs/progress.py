"""Progress of a job as a training step: complete groups and the ranks of its items."""

from collections import Counter
from collections.abc import Collection, Iterator, Mapping

from attrs import define, field

from ..steps import ItemRank, ItemState, StepSchedule, expected_remaining_events
from ..telemetry.metrics import COMPLETE_GROUPS, LATE_STEPS
from .generation import Transcript
from .model import Job, JobItem

__all__ = ["StepProgress"]

# Tokens of an event while no text of the step is finished that tells it.
USUAL_TOKENS_PER_EVENT = 16


@define(eq=False)
class StepProgress:
    """Progress of one job.

    Parameters
    ----------
    job : Job
        The job.
    transcripts : mapping of str to Transcript
        Partial texts by item id; the owner changes them.
    carried : collection of str
        Ids of the items that an earlier job had.
    finished : set of str
        Ids of the items with a result.
    """

    job: Job
    transcripts: Mapping[str, Transcript]
    carried: Collection[str] = frozenset()
    finished: set[str] = field(factory=set)
    _unfinished: Counter[str] = field(init=False)
    _wanted_groups: int = field(init=False)
    _carried_groups: frozenset[str] = field(init=False)
    _complete_groups: int = 0
    _hinted_tokens: int = 0
    _hinted_events: int = 0
    _resumed_events: dict[str, int] = field(init=False)
    _schedule: StepSchedule = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count what the groups lack."""
        items = [item for item in self.job.items if item.id not in self.finished]
        self._unfinished = Counter(item.group for item in items)
        group_count = len({item.group for item in self.job.items})
        self._complete_groups = group_count - len(self._unfinished)
        self._wanted_groups = min(self.job.wanted_groups or group_count, group_count)
        self._carried_groups = frozenset(
            item.group for item in self.job.items if item.id in self.carried
        )
        self._resumed_events = {
            item: len(transcript.events)
            for item, transcript in self.transcripts.items()
        }
        self._schedule = StepSchedule(
            self.job.wanted_groups, self._states, self._event_s
        )

    @property
    def is_satisfied(self) -> bool:
        """Whether the groups that the trainer waits for are complete."""
        return self._complete_groups >= self._wanted_groups and not any(
            self._unfinished[group] for group in self._carried_groups
        )

    def record_finished(self, item: JobItem, elapsed_s: float, due_s: float) -> None:
        """Record that an item has a result.

        Parameters
        ----------
        elapsed_s, due_s : float
            Seconds since the job was submitted, and within which it is due.
        """
        if item.id in self.finished:
            return
        self.finished.add(item.id)
        events = len(self.transcripts.get(item.id, Transcript()).events)
        if item.length_hint and events:
            self._hinted_tokens += item.length_hint
            self._hinted_events += events
        self._unfinished[item.group] -= 1
        if self._unfinished[item.group]:
            return
        self._complete_groups += 1
        COMPLETE_GROUPS.inc({"workspace": self.job.workspace})
        if self._complete_groups == self._wanted_groups and elapsed_s > due_s:
            LATE_STEPS.inc({"workspace": self.job.workspace})

    def rank(self, item: JobItem, elapsed_s: float, due_s: float) -> ItemRank:
        """Return the present rank of an item; see ``record_finished``."""
        return self._schedule.rank(item.id, elapsed_s, due_s)

    def _states(self) -> Iterator[ItemState]:
        tokens_per_event = USUAL_TOKENS_PER_EVENT
        if self._hinted_events:
            tokens_per_event = max(1, self._hinted_tokens // self._hinted_events)
        for item in self.job.items:
            remaining = 0.0
            if item.id not in self.finished:
                transcript = self.transcripts.get(item.id)
                events = len(transcript.events) if transcript is not None else 0
                remaining = expected_remaining_events(
                    item.length_hint, tokens_per_event, events
                )
            yield ItemState(item.id, item.group, remaining, item.id in self.carried)

    def _event_s(self, elapsed_s: float) -> float:
        """Return the seconds that an event took in the fastest text; 0 if not known."""
        made = (
            len(transcript.events) - self._resumed_events.get(item, 0)
            for item, transcript in self.transcripts.items()
        )
        most = max(made, default=0)
        return elapsed_s / most if most > 0 and elapsed_s > 0 else 0.0

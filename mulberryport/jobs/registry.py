"""In-memory registry of the fleet's jobs, their owners and the locally owned jobs."""

from collections import Counter
from collections.abc import Callable

import eventlet
from attrs import define, evolve, field

from ..coordination import Change, Item, Mirror, Session
from ..membership import Member, Members, rendezvous_order
from ..outcomes import Done, NotDone, Outcome
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .owned import OwnedJob
from .repository import (
    ENDED,
    EXPIRED,
    FINISHED,
    HEAD_PREFIX,
    OWNER_PREFIX,
    JobHead,
    JobRepository,
    decode_head,
)

__all__ = ["RECOVERY_GRACE_S", "JobRegistry", "owner_vm"]

JOB_UNREADABLE = define_event(
    933, "job_unreadable", "error", "The store's record of a batch job is malformed."
)

# Time after the store recovers until journaled jobs have been uploaded to it.
RECOVERY_GRACE_S = 3.0


def owner_vm(item: Item) -> str:
    """Return the VM that an owner key names."""
    return item.value.decode().partition(" ")[0]


@define(eq=False)
class JobRegistry:
    """Heads and owners of all jobs, and the jobs that this daemon owns.

    Parameters
    ----------
    repository, mirror, session, members
        The repository of jobs, the mirror of the live keys, this daemon's session and
        the cluster members.
    recovery_grace_s : float
        Seconds after the store recovers during which a job that is missing from it may
        still be in the journal.
    on_completed : callable
        Called with the job id and the results when a locally owned job closes with all
        its results committed.
    is_journaled : callable
        Returns whether disks keep a job that the store may lack.
    """

    repository: JobRepository
    mirror: Mirror
    session: Session
    members: Members
    recovery_grace_s: float = RECOVERY_GRACE_S
    on_completed: Callable[[str, list[bytes]], None] = lambda job_id, results: None
    is_journaled: Callable[[str], Outcome[bool]] = lambda job_id: Done(False)
    heads: dict[str, JobHead] = field(factory=dict)
    owned: dict[str, OwnedJob] = field(factory=dict)
    # How many green threads are changing the ownership of a job, by job id.
    _transitions: Counter[str] = field(factory=Counter)
    _previous_owners: dict[str, str] = field(factory=dict)
    # Boot time at which the present state of a job was first seen here.
    _states_since: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Subscribe to changes of job heads and owner keys."""
        self.mirror.subscribe(self._on_change)

    @property
    def vm(self) -> str:
        """Id of this VM."""
        return self.members.self_member.vm

    @property
    def owner_id(self) -> str:
        """Value that this daemon writes to owner keys: VM id and incarnation."""
        return f"{self.vm} {self.members.self_member.incarnation}"

    @property
    def can_serve(self) -> bool:
        """Whether this daemon has read what it needs to execute jobs."""
        return self.members.self_member.serving

    def begin_transition(self, job_id: str) -> None:
        """Record that a green thread starts to change the ownership of a job."""
        self._transitions[job_id] += 1

    def end_transition(self, job_id: str) -> None:
        """Record that a green thread has ended its change of the ownership of a job."""
        self._transitions[job_id] -= 1
        if not self._transitions[job_id]:
            del self._transitions[job_id]

    def is_in_transition(self, job_id: str) -> bool:
        """Return whether a green thread is changing the ownership of a job."""
        return job_id in self._transitions

    def find_head(self, job_id: str) -> Outcome[JobHead | None]:
        """Return the head of a job, reading the store if it is not known locally.

        Returns
        -------
        Done of JobHead, Done of None, NotDone or Unknown
            ``Done(None)`` if the job definitely does not exist, or has expired.
        """
        found = self._find_any_head(job_id)
        if isinstance(found, Done) and found.value and found.value.state == EXPIRED:
            return Done(None)
        return found

    def _find_any_head(self, job_id: str) -> Outcome[JobHead | None]:
        head = self.heads.get(job_id)
        if head is not None:
            return Done(head)
        owned = self.owned.get(job_id)
        if owned is not None:
            return Done(owned.head)
        found = self.repository.read_head(job_id)
        if not isinstance(found, Done) or found.value is not None:
            return found
        if not self._is_store_recovered():
            return NotDone("jobs that only disks keep may not be in the store yet")
        # The store may have turned away the daemon that accepted the job, and no other.
        journaled = self.is_journaled(job_id)
        if not isinstance(journaled, Done) or journaled.value:
            return NotDone("the job may be on disks, and not in the store yet")
        # A disk may have uploaded the job between both questions.
        return self.repository.read_head(job_id)

    def record_head(self, job_id: str, head: JobHead) -> JobHead:
        """Record a head unless a newer one is known, and return the newest."""
        known = self.heads.get(job_id)
        if known is not None and known.revision > head.revision:
            return known
        self._set_head(job_id, head)
        return head

    def state_age_s(self, job_id: str) -> float:
        """Return for how many seconds this daemon knows the present state of a job."""
        return boottime() - self._states_since[job_id]

    def owner_key(self, job_id: str) -> Item | None:
        """Return the owner key of a job, as mirrored."""
        return self.mirror.get(OWNER_PREFIX + job_id)

    def owner_vm(self, job_id: str) -> str:
        """Return the VM that owns a job; empty if the job has no owner."""
        item = self.owner_key(job_id)
        return owner_vm(item) if item is not None else ""

    def previous_owner(self, job_id: str) -> str:
        """Return the last other VM observed as a job's owner, or an empty string."""
        return self._previous_owners.get(job_id, "")

    def remove_owned(self, job_id: str, reason: str) -> None:
        """Close and remove a locally owned job, caching its results if complete."""
        owned = self.owned.pop(job_id, None)
        if owned is None:
            return
        owned.close(reason)
        if owned.is_complete:
            self.on_completed(job_id, owned.committed)
        # The trainer may have stopped to read a job before all of it was finished.
        if reason in (ENDED, FINISHED):
            eventlet.spawn_n(owned.carry_texts)

    def record_end(self, job_id: str, revision: int) -> None:
        """Record the end of a job, before the mirror delivers it, and stop the job."""
        head = self.heads.get(job_id)
        if head is not None and head.revision < revision:
            self._set_head(job_id, evolve(head, state=ENDED, revision=revision))
        self.remove_owned(job_id, ENDED)

    def ranked_members(self, key: str) -> list[Member]:
        """Return the members in the order in which they claim a job.

        Members that cannot serve yet are left out, unless they are the majority. After
        a restart of the whole fleet, each daemon learns late that the others can
        serve; if it left them out, all would claim a job at once.
        """
        staying, serving = self.members.staying(), self.members.serving()
        most_serve = 2 * len(serving) > len(staying)
        return rendezvous_order(key, serving if most_serve else staying)

    def preferred_owner(self, key: str) -> str:
        """Return the VM that should own jobs with a key; empty if none can serve."""
        ranked = rendezvous_order(key, self.members.serving())
        return ranked[0].vm if ranked else ""

    def _is_store_recovered(self) -> bool:
        """Whether the store has been back long enough to have all journaled jobs."""
        return (
            self.mirror.connected
            and self.mirror.connected_for_s > self.recovery_grace_s
        )

    def _on_change(self, change: Change) -> None:
        if change.key.startswith(OWNER_PREFIX) and change.item is not None:
            job_id = change.key.removeprefix(OWNER_PREFIX)
            vm = self.owner_vm(job_id)
            if vm != self.vm:
                self._previous_owners[job_id] = vm
        if not change.key.startswith(HEAD_PREFIX):
            return
        job_id = change.key.removeprefix(HEAD_PREFIX)
        if change.item is None:
            self.heads.pop(job_id, None)
            self._states_since.pop(job_id, None)
            self._previous_owners.pop(job_id, None)
            self.remove_owned(job_id, "deleted")
            return
        try:
            head = decode_head(change.item)
        except ValueError as error:
            log(JOB_UNREADABLE, job=job_id, error=str(error))
            return
        self._set_head(job_id, head)
        if not head.open:
            self.remove_owned(job_id, head.state)

    def _set_head(self, job_id: str, head: JobHead) -> None:
        known = self.heads.get(job_id)
        if known is None or known.state != head.state:
            self._states_since[job_id] = boottime()
        self.heads[job_id] = head

"""What this daemon knows of the fleet's jobs: their heads, owners and its own jobs."""

from collections.abc import Callable

from attrs import define, field

from ..coordination import Change, Item, Mirror, Session
from ..membership import Member, Members, rendezvous_order
from ..outcomes import Done, NotDone, Outcome
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import (
    HEAD_PREFIX,
    OWNER_PREFIX,
    JobArchive,
    JobHead,
    decode_head,
)
from .owned import OwnedJob

__all__ = ["SETTLE_S", "JobBoard"]

JOB_UNREADABLE = define_event(
    933, "job_unreadable", "error", "The store's record of a batch job is malformed."
)

# Jobs on disks are in the store this long after it answers again.
SETTLE_S = 3.0


@define(eq=False)
class JobBoard:
    """Heads and owners of jobs, and the jobs that this daemon owns.

    Parameters
    ----------
    archive, mirror, session, members
        The jobs in the store, the mirror of the live keys, the session of this daemon
        and the members.
    settle : float
        Seconds after the store answers again in which a job that it does not have may
        still be on disks.
    on_closed : callable
        Called with the id of a job and its results when an own job with all its
        results closes.
    """

    archive: JobArchive
    mirror: Mirror
    session: Session
    members: Members
    settle: float = SETTLE_S
    on_closed: Callable[[str, list[bytes]], None] = lambda job_id, results: None
    heads: dict[str, JobHead] = field(factory=dict)
    owned: dict[str, OwnedJob] = field(factory=dict)
    # Jobs whose ownership this daemon is changing now.
    busy: set[str] = field(factory=set)
    _owners: dict[str, str] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Follow the heads of all jobs."""
        self.mirror.subscribe(self._on_change)

    @property
    def vm(self) -> str:
        """Id of this VM."""
        return self.members.self_member.vm

    @property
    def holder(self) -> str:
        """Value of the owner keys of this daemon."""
        return f"{self.vm} {self.members.self_member.incarnation}"

    def find_head(self, job_id: str) -> Outcome[JobHead | None]:
        """Return the head of a job, from the store if it is not known here.

        Returns
        -------
        Done of JobHead, Done of None, NotDone or Unknown
            ``Done(None)`` if there certainly is no such job.
        """
        head = self.heads.get(job_id)
        if head is not None:
            return Done(head)
        owned = self.owned.get(job_id)
        if owned is not None:
            return Done(owned.head)
        found = self.archive.read_head(job_id)
        if isinstance(found, Done) and found.value is None and not self._is_settled():
            return NotDone("jobs that only disks keep may not be in the store yet")
        return found

    def owner_key(self, job_id: str) -> Item | None:
        """Return the key of a job's owner."""
        return self.mirror.get(OWNER_PREFIX + job_id)

    def owner_vm(self, job_id: str) -> str:
        """Return the VM of a job's owner; empty without an owner."""
        item = self.owner_key(job_id)
        return item.value.decode().partition(" ")[0] if item is not None else ""

    def former_owner(self, job_id: str) -> str:
        """Return the last other VM that was seen to own a job; empty if none was."""
        return self._owners.get(job_id, "")

    def drop(self, job_id: str) -> None:
        """Own a job no longer, but keep its results if these are complete."""
        owned = self.owned.pop(job_id, None)
        if owned is None:
            return
        owned.close()
        if owned.complete:
            self.on_closed(job_id, owned.listed)

    def ranked(self, key: str) -> list[Member]:
        """Return the members that stay, in the order in which they own a key."""
        staying = [member for member in self.members.live() if not member.leaving]
        return rendezvous_order(key, staying)

    def _is_settled(self) -> bool:
        """Whether the store has had time to get the jobs that disks kept."""
        return self.mirror.connected and self.mirror.connected_for_s > self.settle

    def _on_change(self, change: Change) -> None:
        if change.key.startswith(OWNER_PREFIX) and change.item is not None:
            job_id = change.key.removeprefix(OWNER_PREFIX)
            vm = self.owner_vm(job_id)
            if vm != self.vm:
                self._owners[job_id] = vm
        if not change.key.startswith(HEAD_PREFIX):
            return
        job_id = change.key.removeprefix(HEAD_PREFIX)
        if change.item is None:
            self.heads.pop(job_id, None)
            self._owners.pop(job_id, None)
            self.drop(job_id)
            return
        try:
            head = decode_head(change.item)
        except ValueError as error:
            log(JOB_UNREADABLE, job=job_id, error=str(error))
            return
        self.heads[job_id] = head
        if not head.open:
            self.drop(job_id)

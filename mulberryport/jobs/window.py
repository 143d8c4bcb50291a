"""How many items of the owned jobs compete for targets at once.

An item that competes has a green thread and a place in the queue of its pool. Both cost
time for each turn, so that a job of thousands of items would slow down the daemon that
owns it. Further items of a job wait as entries of a list until others are finished.
"""

from attrs import define, field

__all__ = ["ItemWindow"]

# Far more than the targets run at a time, so that they always find an item that fits.
MAX_COMPETING_ITEMS = 1024
# The other places in the queue are for callers. An item that finds no place tries again
# shortly afterwards.
MAX_QUEUE_SHARE = 0.5
# Also with many jobs, each can use several targets.
MIN_COMPETING_ITEMS_PER_JOB = 64


@define(eq=False)
class ItemWindow:
    """The jobs that share a daemon's window of competing items.

    Examples
    --------
    >>> window = ItemWindow()
    >>> window.add("job1")
    >>> window.items_per_job(queue_length=4096), window.items_per_job(queue_length=200)
    (1024, 100)
    >>> window.add("job2")
    >>> window.items_per_job(queue_length=4096)
    512
    """

    _jobs: set[str] = field(factory=set)

    def items_per_job(self, queue_length: int) -> int:
        """Return how many items of each job may compete for targets.

        Parameters
        ----------
        queue_length : int
            Largest number of requests that wait for the pool.
        """
        total = min(MAX_COMPETING_ITEMS, int(queue_length * MAX_QUEUE_SHARE))
        return max(MIN_COMPETING_ITEMS_PER_JOB, total // max(1, len(self._jobs)))

    def add(self, job_id: str) -> None:
        """Add a job that has started."""
        self._jobs.add(job_id)

    def remove(self, job_id: str) -> None:
        """Remove a job that is closed or complete."""
        self._jobs.discard(job_id)

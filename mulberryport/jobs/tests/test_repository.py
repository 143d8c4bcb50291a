"""Tests of the order and permanence of committed results."""

from ...coordination import Committed, Conflict
from ...outcomes import Done
from ...runtime.clock import boottime
from ..model import COMPLETED, JobResult
from ..repository import JobRepository
from .builders import (
    Engine,
    JobDaemon,
    LateStore,
    MemoryStore,
    make_job,
    puts_results,
    until,
)


def make_results(*numbers):
    """Return results of items with these numbers."""
    return [JobResult(f"job1-{n}", COMPLETED, f"text {n}", (5,), "") for n in numbers]


def stored_ids(store, job_id="job1"):
    """Return the item ids of the results in the store, by position."""
    outcome = JobRepository(store).read_results(job_id)
    assert isinstance(outcome, Done)
    return [result.id for result in outcome.value]


def create_job(store, items=8):
    """Create a job in the store; return a function that appends results to it."""
    repository = JobRepository(store)
    lease = store.grant_lease(3.0).value
    head, ownership = repository.create(make_job(items=items), "vm1 1", lease).value

    def append(position, *numbers, is_last=False):
        results = make_results(*numbers)
        return repository.append(
            "job1", ownership, head, position, results, is_last=is_last
        )

    return append


def test_late_commit_does_not_replace_results_at_its_position():
    # Guards against results that change after they were read: a commit that takes
    # effect late must not overwrite the page that was committed there meanwhile.
    store = MemoryStore()
    append = create_job(store)
    assert isinstance(append(0, 0, 1, 2, 3).value, Committed)
    assert isinstance(append(4, 4).value, Committed)
    late = append(0, 0, 1, 2)
    assert isinstance(late.value, Conflict)
    # The next run of the job appends behind the results that it has read.
    append(len(stored_ids(store)), 5)
    assert stored_ids(store) == [f"job1-{n}" for n in range(6)]


def test_repeated_commit_of_the_same_results_succeeds():
    # Guards against an owner that gives up a job because a commit that had no answer
    # took effect.
    append = create_job(MemoryStore())
    first, again = append(0, 0, 1), append(0, 0, 1)
    assert again == first and isinstance(again.value, Committed)


def test_repeated_last_commit_returns_the_revision_of_the_finished_head():
    # Guards against an owner that does not know that its job is finished because the
    # answer to the last commit was lost.
    store = MemoryStore()
    append = create_job(store, items=2)
    first = append(0, 0, 1, is_last=True)
    again = append(0, 0, 1, is_last=True)
    assert again == first and isinstance(again.value, Committed)
    assert JobRepository(store).read_head("job1").value.revision == first.value.revision


def staggered_pauses(numbers, step_s):
    """Return pauses with which items are complete one after the other."""
    return {f"job1-{n}": step_s * order for order, n in enumerate(numbers, start=1)}


def test_planned_stop_during_a_commit_does_not_change_results():
    # Guards against a stopping owner whose commit takes effect after the results that
    # it committed at the same position during its stop.
    store = MemoryStore()
    connection = LateStore(store, is_late=puts_results)
    engine = Engine(pauses=staggered_pauses(range(8), 0.1))
    daemon = JobDaemon(connection, "vm1", engine)
    daemon.jobs.submit(make_job(items=8), boottime() + 2.0)
    owned = daemon.jobs.registry.owned["job1"]
    assert until(lambda: connection.late)
    late = connection.late[:1]
    assert until(lambda: len(owned._pending) == 6)
    # The results are committed, and the release of the ownership has no effect.
    connection.is_late = lambda transaction: bool(transaction.removes)
    daemon.jobs.hand_over()
    before = stored_ids(store)
    assert before
    connection.late = late
    connection.execute_late()
    after = stored_ids(store)
    assert after[: len(before)] == before
    assert len(set(after)) == len(after)
    daemon.die()


def test_job_resumed_during_a_commit_does_not_change_results():
    # Guards against a job that is closed while a commit has no answer and is resumed
    # under the same ownership, as after a request to stop that arrives late.
    store = MemoryStore()
    connection = LateStore(store)
    engine = Engine(pauses=staggered_pauses(range(12), 0.15))
    daemon = JobDaemon(connection, "vm1", engine)
    daemon.jobs.submit(make_job(items=12), boottime() + 2.0)
    owned = daemon.jobs.registry.owned["job1"]
    assert until(lambda: owned.committed)
    connection.is_late = puts_results
    assert until(lambda: connection.late, 3.0)
    seen = stored_ids(store)
    engine.pauses = staggered_pauses(reversed(range(12)), 0.1)
    daemon.jobs.registry.remove_owned("job1", "stopped")
    late, connection.late = connection.late, []
    connection.is_late = lambda transaction: False

    def read_on():
        ids = stored_ids(store)
        assert ids[: len(seen)] == seen
        assert len(set(ids)) == len(ids)
        seen[:] = ids
        return len(seen)

    listed = len(seen)
    assert until(lambda: read_on() > listed, 6.0)
    resumed = daemon.jobs.registry.owned["job1"]
    assert resumed is not owned and resumed.ownership == owned.ownership
    for transaction in late:
        store.commit(transaction)
        read_on()
    assert until(lambda: read_on() == 12, 8.0)
    daemon.die()

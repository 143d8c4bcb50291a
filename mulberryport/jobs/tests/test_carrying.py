"""Tests of texts of ended jobs in later jobs that bring the same items."""

import eventlet
import pytest
from attrs import evolve

from ...outcomes import Done
from ...routing import LoadReport
from ...runtime.clock import boottime
from .. import owned as owned_jobs
from ..generation import ItemFailedError
from ..repository import CHUNK_BYTES
from .builders import Engine, JobDaemon, MemoryStore, make_job, until
from .test_service import deadline_in, read_all, wait_for_results


class FailingEngine(Engine):
    """Engines that fail at the end of each text."""

    def generate(self, view, job, item, transcript, on_event):
        """Generate a text and fail."""
        super().generate(view, job, item, transcript, on_event)
        raise ItemFailedError("status 500")


def start_daemon(engine, slowdown=1.0):
    """Return a daemon whose engines report a slowdown, or none."""
    daemon = JobDaemon(MemoryStore(), engine=engine)
    report = LoadReport(0, 0, 8, slowdown=slowdown)
    for name in ("e1", "e2"):
        daemon.directory.record_load(name, report, boottime())
    return daemon


def run_first_job(engine, slowdown=1.0):
    """End a job that has one result and partial texts; return daemon and job."""
    engine.length = 8
    engine.pauses = {f"job1-{n}": 0.1 for n in range(1, 4)}
    daemon, job = start_daemon(engine, slowdown), make_job()
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    owned = daemon.jobs.registry.owned["job1"]
    assert until(lambda: len(owned.committed) == 1)
    assert until(lambda: all(t.events for t in owned._transcripts.values()))
    assert daemon.jobs.end("job1", "roads") == Done(True)
    eventlet.sleep(0.05)
    engine.calls.clear()
    engine.pauses.clear()
    return daemon, job


def submit_again(daemon, job, name="job2", **changes):
    """Submit the items of a job in another job."""
    again = evolve(job, id=name, **changes)
    assert daemon.jobs.submit(again, deadline_in()) == Done(True)


def test_texts_of_an_ended_job_are_listed_or_go_on():
    # Guards against work that is thrown away with each step, also where a job finished
    # before its trainer read all of it, and against texts that do not hold the whole
    # output of their item.
    engine = Engine()
    daemon, job = run_first_job(engine)
    submit_again(daemon, job)
    assert wait_for_results(daemon, 4, "job2")
    assert sorted(call[0] for call in engine.calls) == ["job1-1", "job1-2", "job1-3"]
    assert all(0 < events < 8 for _, events, _ in engine.calls)
    for item, state, text, versions, score in read_all(daemon, "job2"):
        assert text == "\n".join(f"{item}.{n}" for n in range(1, 9))
        assert (state, versions) == ("completed", [5])
        assert score == f"score of s{item[-1]}"
    assert engine.scored.count("s0") == 1
    engine.calls.clear()
    # The texts are kept once the finished job is closed, soon after its last result.
    assert until(lambda: "job2" not in daemon.jobs.registry.owned)
    eventlet.sleep(0.05)
    submit_again(daemon, job, "job3")
    assert wait_for_results(daemon, 4, "job3")
    assert sorted(read_all(daemon, "job3")) == sorted(read_all(daemon, "job2"))
    assert not engine.calls
    daemon.die()


@pytest.mark.parametrize("case", ["old versions", "other bodies", "even targets"])
def test_texts_that_do_not_fit_start_over(case):
    # Guards against results below the oldest version of their job, against the text of
    # another prompt under the same id, and against changes where no target tells how
    # slow it is.
    engine = Engine()
    daemon, job = run_first_job(engine, None if case == "even targets" else 1.0)
    changes = {}
    if case == "old versions":
        engine.version = changes["oldest_version"] = 6
        for name in ("e1", "e2"):
            daemon.directory.record_weight_version(name, "m", 6)
    if case == "other bodies":
        changes["items"] = tuple(evolve(item, body=b"other") for item in job.items)
    submit_again(daemon, job, **changes)
    assert wait_for_results(daemon, 4, "job2")
    assert sorted(call[:2] for call in engine.calls) == [
        (f"job1-{n}", 0) for n in range(4)
    ]
    assert all(result[3] == [engine.version] for result in read_all(daemon, "job2"))
    daemon.die()


def test_two_open_jobs_with_one_item_do_not_share_its_text():
    # Guards against events that stand twice, because two jobs append to one text.
    engine = Engine()
    daemon, job = run_first_job(engine)
    engine.pause = 0.02
    submit_again(daemon, job, "job2")
    submit_again(daemon, job, "job3")
    for name in ("job2", "job3"):
        assert wait_for_results(daemon, 4, name)
        for result in read_all(daemon, name):
            assert result[2] == "\n".join(f"{result[0]}.{n}" for n in range(1, 9))
    daemon.die()


def test_an_item_that_fails_in_each_job_reaches_no_engine_in_the_end():
    # Guards against an item that fails at each run, and that each of many steps sends
    # to engines as often as the first.
    engine = FailingEngine(pauses={"job1-1": 60.0})
    daemon, job = start_daemon(engine), make_job(items=2)
    for number in range(5):
        name = f"step{number}"
        submit_again(daemon, job, name)
        assert wait_for_results(daemon, 1, name)
        assert daemon.jobs.end(name, "roads") == Done(True)
        eventlet.sleep(0.05)
    assert sum(call[0] == "job1-0" for call in engine.calls) == 9
    daemon.die()


class LongEventEngine(Engine):
    """Engines whose events have 8,000 bytes."""

    def generate(self, view, job, item, transcript, on_event):
        """Generate a text."""
        while len(transcript.events) < self.length:
            eventlet.sleep(self.pause)
            transcript.add("x" * 8000, self.version)
            on_event()


class UrgencyEngine(Engine):
    """Engines that note how urgent each item is."""

    urgencies = {}

    def generate(self, view, job, item, transcript, on_event):
        """Generate a text."""
        self.urgencies[item.id] = item.urgency
        super().generate(view, job, item, transcript, on_event)


@pytest.mark.parametrize("slowdown", [1.0, None])
def test_items_that_bind_a_step_are_urgent_where_targets_are_uneven(slowdown):
    # Guards against long items that wait behind short ones at engines, and against a
    # new header where no target tells how slow it is.
    engine = UrgencyEngine()
    daemon, job = start_daemon(engine, slowdown), make_job(scored=False)
    submit_again(daemon, make_job("job0", items=1, scored=False), "job0")
    assert wait_for_results(daemon, 1, "job0")
    hints = (400, 16, 16, 16)
    items = [evolve(i, length_hint=h) for i, h in zip(job.items, hints, strict=True)]
    engine.urgencies = {}
    submit_again(daemon, evolve(job, items=tuple(items)), "job1")
    assert wait_for_results(daemon, 4, "job1")
    urgencies = engine.urgencies
    if slowdown is None:
        assert set(urgencies.values()) == {None}
    else:
        assert urgencies["job1-0"] < min(urgencies[f"job1-{n}"] for n in (1, 2, 3))
    daemon.die()


@pytest.mark.parametrize(("slowdown", "listed"), [(1.0, 2), (None, 0)])
def test_what_the_trainer_waits_for_is_listed_at_once(monkeypatch, slowdown, listed):
    # Guards against a trainer that waits for results that are there, because others
    # might be committed with them.
    engine = Engine(pauses={f"job1-{n}": 60.0 for n in (1, 3)})
    daemon = start_daemon(engine, slowdown)
    submit_again(daemon, make_job("job0", items=1, scored=False), "job0")
    assert wait_for_results(daemon, 1, "job0")
    monkeypatch.setattr(owned_jobs, "BATCH_DELAY_S", 30.0)
    submit_again(daemon, make_job(wanted_groups=1, scored=False), "job1")
    assert until(lambda: len(engine.calls) == 5)
    eventlet.sleep(0.5)
    assert len(read_all(daemon, "job1")) == listed
    daemon.die()


def test_the_longest_texts_go_on_after_the_loss_of_an_owner_if_not_all_fit():
    # Guards against a step of many long texts of which nothing is stored: all begin
    # again when its owner is lost.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", LongEventEngine(length=200, pause=0.02))
    job = make_job(items=8, scored=False)
    assert first.jobs.submit(job, deadline_in()) == Done(True)
    owned = first.jobs.registry.owned["job1"]
    eventlet.sleep(2.4)
    lengths = {item: len(t.events) for item, t in owned._transcripts.items()}
    first.die()
    second = JobDaemon(store, "vm2", Engine(length=1, pause=60.0))
    assert until(lambda: len(second.engine.calls) == 8)
    stored = [events for _, events, _ in second.engine.calls if events]
    assert stored and sum(lengths.values()) * 8000 > 2 * CHUNK_BYTES
    second.die()


def test_nothing_is_sent_of_a_job_that_ends_while_it_starts(monkeypatch):
    # Guards against items of an ended job at engines: the end found no threads yet that
    # it could stop.
    engine = Engine()
    daemon, job = start_daemon(engine), make_job()
    reuse = owned_jobs.reuse_texts

    def end_meanwhile(job, items, context):
        daemon.jobs.registry.remove_owned(job.id, "ended")
        return reuse(job, items, context)

    monkeypatch.setattr(owned_jobs, "reuse_texts", end_meanwhile)
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    eventlet.sleep(0.1)
    assert engine.calls == []
    daemon.die()

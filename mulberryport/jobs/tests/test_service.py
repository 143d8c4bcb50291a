"""Tests of batch jobs over their whole life."""

import eventlet
import orjson
from attrs import evolve

from ...outcomes import Done, NotDone, Unknown
from ...runtime.clock import boottime
from ..generation import (
    EngineLeftError,
    EngineStaleError,
    GenerationBrokenError,
    ItemFailedError,
    ItemImpossibleError,
    NotStartedError,
)
from .builders import Engine, JobDaemon, MemoryStore, make_job, until


def soon(seconds=2.0):
    """Return a deadline."""
    return boottime() + seconds


def read_all(daemon, job_id="job1", after=0, wait=0.0):
    """Return the results of a job."""
    outcome = daemon.jobs.read(job_id, "roads", after, wait)
    assert isinstance(outcome, Done) and outcome.value is not None, outcome
    return [orjson.loads(result) for result in outcome.value.results]


def finished(daemon, count=4, job_id="job1", seconds=5.0):
    """Wait until so many results are listed."""
    return until(lambda: len(read_all(daemon, job_id)) == count, seconds)


def test_a_job_is_accepted_once_and_completed():
    store = MemoryStore()
    daemon = JobDaemon(store)
    job = make_job(submitted_at=1000.0)
    assert daemon.jobs.submit(job, soon()) == Done(True)
    assert daemon.jobs.submit(job, soon()) == Done(True)
    assert finished(daemon)
    for item, state, text, versions, score in read_all(daemon):
        assert (state, versions) == ("completed", [5])
        assert text == "\n".join(f"{item}.{n}" for n in (1, 2, 3))
        assert score == f"score of s{item[-1]}"
    assert len(daemon.engine.calls) == 4
    daemon.die()


def test_a_job_of_another_workspace_is_not_found():
    # Guards against reading the samples of other workspaces.
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), soon())
    assert daemon.jobs.read("job1", "others", 0, 0.0) == Done(None)
    assert daemon.jobs.item_body("job1", "others", "job1-0") == Done(None)
    assert daemon.jobs.end("job1", "others") == Done(False)
    assert daemon.jobs.submit(make_job(workspace="others"), soon()) == Done(False)
    daemon.die()


def test_bodies_are_given_back_unchanged():
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), soon())
    assert daemon.jobs.item_body("job1", "roads", "job1-2") == Done(b"\x00\xff")
    assert daemon.jobs.item_body("job1", "roads", "none") == Done(None)
    assert daemon.jobs.read("none", "roads", 0, 0.0) == Done(None)
    daemon.die()


def test_a_job_without_store_is_refused_in_time_or_accepted_after_it_returned():
    store = MemoryStore()
    daemon = JobDaemon(store)
    with store.outage():
        assert isinstance(daemon.jobs.submit(make_job(), soon(0.5)), NotDone)
        waiting = eventlet.spawn(daemon.jobs.submit, make_job("job2"), soon(5.0))
        eventlet.sleep(0.3)
    assert waiting.wait() == Done(True)
    assert "job1" not in str(list(store.items))
    daemon.die()


def test_a_submission_without_answer_is_not_reported_as_not_run():
    # Guards against a false promise: the job exists and will run.
    store = MemoryStore()
    daemon = JobDaemon(store)
    store.losing = True
    outcome = daemon.jobs.submit(make_job(), soon(0.1))
    assert isinstance(outcome, Unknown)
    store.losing = False
    assert finished(daemon)
    daemon.die()


def test_a_lost_owner_is_replaced_and_what_was_listed_stays():
    # Guards against lost jobs, and against positions that change.
    store = MemoryStore()
    slow = Engine(pause=0.05)
    first = JobDaemon(store, "vm1", slow)
    first.jobs.submit(make_job(items=12), soon())
    assert until(lambda: len(read_all(first)) >= 1)
    before = read_all(first)
    first.die()
    second = JobDaemon(store, "vm2")
    assert finished(second, 12)
    after = read_all(second)
    assert after[: len(before)] == before
    assert sorted(r[0] for r in after) == sorted(f"job1-{n}" for n in range(12))
    second.die()


def test_a_restarted_daemon_takes_its_own_jobs_over_before_the_session_ends():
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(pause=5.0))
    first.jobs.submit(make_job(), soon())
    store_lease, first.session._lease = first.session.lease, 0
    first.die()
    assert store_lease in store.leases
    second = JobDaemon(store, "vm1", incarnation=2)
    assert finished(second, seconds=2.0)
    second.die()


def test_an_owner_that_was_replaced_lists_nothing():
    # Guards against two results at one position.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(pause=0.2))
    first.jobs.submit(make_job(), soon())
    owner = next(key for key in store.items if "/owner/" in key)
    store.write(owner, b"vm2 1")
    eventlet.sleep(1.5)
    assert not any("/results/" in key for key in store.items)
    assert all(owned.closed for owned in first.jobs.board.owned.values())
    first.die()


def test_generation_goes_on_after_a_session_that_ended_in_an_outage():
    # Guards against losing the work of a step to an outage of the store.
    store = MemoryStore()
    engine = Engine(pause=0.1)
    daemon = JobDaemon(store, engine=engine)
    daemon.jobs.submit(make_job(), soon())
    with store.outage():
        eventlet.sleep(0.2)
        store.expire_all()
        assert until(lambda: len(engine.scored) == 4)
        assert read_all_or_none(daemon) == []
    assert finished(daemon, seconds=8.0)
    assert len(engine.calls) == 4
    daemon.die()


def read_all_or_none(daemon):
    """Return what is listed of a job, if that can be told."""
    outcome = daemon.jobs.read("job1", "roads", 0, 0.0)
    return [] if not isinstance(outcome, Done) else list(outcome.value.results)


def test_results_without_answer_are_listed_once():
    # Guards against results that are listed twice after a lost answer.
    store = MemoryStore()
    daemon = JobDaemon(store, engine=Engine(pause=0.05))
    daemon.jobs.submit(make_job(items=8), soon())
    store.losing = True
    eventlet.sleep(0.8)
    store.losing = False
    assert finished(daemon, 8)
    names = [result[0] for result in read_all(daemon)]
    assert len(set(names)) == 8
    daemon.die()


def test_an_ended_job_stops_and_keeps_what_is_listed():
    store = MemoryStore()
    engine = Engine(pause=0.3)
    daemon = JobDaemon(store, engine=engine)
    daemon.jobs.submit(make_job(items=4), soon())
    eventlet.sleep(0.1)
    assert daemon.jobs.end("job1", "roads") == Done(True)
    assert daemon.jobs.end("job1", "roads") == Done(True)
    calls = len(engine.calls)
    eventlet.sleep(1.2)
    assert len(engine.calls) == calls
    assert read_all(daemon) == []
    daemon.die()


def test_an_end_without_store_is_not_acknowledged():
    store = MemoryStore()
    daemon = JobDaemon(store, engine=Engine(pause=1.0))
    daemon.jobs.submit(make_job(), soon())
    with store.outage():
        assert not isinstance(daemon.jobs.end("job1", "roads"), Done)
    daemon.die()


def test_a_planned_stop_passes_unfinished_texts_on():
    # Guards against generating again what was generated before a planned stop.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(length=50, pause=0.02))
    first.jobs.submit(make_job(), soon())
    eventlet.sleep(0.3)
    first.jobs.hand_over()
    engine = Engine(length=50)
    second = JobDaemon(store, "vm2", engine)
    assert finished(second)
    assert all(events > 0 for _, events, _ in engine.calls)
    assert read_all(second)[0][2].count("\n") == 49
    first.die()
    second.die()


def test_jobs_that_arrive_at_a_stopping_daemon_are_taken_by_another():
    store = MemoryStore()
    first = JobDaemon(store, "vm1")
    first.jobs.hand_over()
    assert first.jobs.submit(make_job(), soon()) == Done(True)
    second = JobDaemon(store, "vm2")
    assert finished(second)
    first.die()
    second.die()


def test_old_jobs_are_forgotten():
    store = MemoryStore()
    daemon = JobDaemon(store)
    daemon.jobs.submit(make_job(submitted_at=1000.0), soon())
    assert finished(daemon)
    daemon.now += 1000.0
    assert until(lambda: not any("job1" in key for key in store.items))
    assert daemon.jobs.read("job1", "roads", 0, 0.0) == Done(None)
    daemon.die()


def test_broken_streams_go_on_and_refusals_are_tried_again():
    engine = Engine(
        faults=[
            GenerationBrokenError("broken"),
            NotStartedError("full"),
            EngineStaleError("old"),
            EngineLeftError("slow"),
        ]
    )
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), soon())
    assert finished(daemon, 1)
    assert read_all(daemon)[0][1] == "completed"
    assert len(engine.calls) == 5
    daemon.die()


def test_an_item_is_given_up_after_the_failures_that_its_route_allows():
    # Guards against an item that fails for ever and holds its step.
    engine = Engine(faults=[ItemFailedError("500")] * 3)
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), soon())
    assert finished(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    assert len(engine.calls) == 3
    daemon.die()


def test_an_impossible_item_is_given_up_at_once():
    engine = Engine(faults=[ItemImpossibleError("422")])
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), soon())
    assert finished(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    assert len(engine.calls) == 1
    daemon.die()


def test_a_scoring_call_is_repeated_and_given_up_after_its_failures():
    engine = Engine(score_faults=[GenerationBrokenError("reset")])
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), soon())
    assert finished(daemon, 1)
    assert read_all(daemon)[0][1] == "completed" and len(engine.scored) == 2
    engine.score_faults = [ItemFailedError("500")] * 2
    daemon.jobs.submit(make_job("job2", items=1), soon())
    assert finished(daemon, 1, "job2")
    assert read_all(daemon, "job2")[0][1] == "errored"
    daemon.die()


def test_items_wait_for_engines_whose_weights_are_new_enough():
    # Guards against samples older than the job allows.
    engine = Engine(version=6)
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1, oldest_version=6), soon())
    eventlet.sleep(0.5)
    assert engine.calls == []
    daemon.directory.record_weight_version("e2", "m", 6)
    assert finished(daemon, 1)
    assert {target for _, _, target in engine.calls} == {"e2"}
    daemon.die()


def test_items_of_a_route_that_was_removed_are_given_up():
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.2))
    daemon.change_tables(routes={})
    daemon.jobs.submit(make_job(items=1), soon())
    assert finished(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    daemon.die()


class StoppingPeers:
    """Peers that can be told to stop a job."""

    def __init__(self):
        self.daemons = {}
        self.asked = []

    def call(self, vm, method, request, timeout):
        """Stop a job at a daemon."""
        if method != "StopJob" or vm not in self.daemons:
            return NotDone("no such call")
        self.asked.append(vm)
        return Done(self.daemons[vm].jobs._serve_stop(request))


def test_an_owner_that_lives_without_its_session_stops_before_another_goes_on():
    # Guards against a text that goes on at a second engine beside the first.
    store, peers = MemoryStore(), StoppingPeers()
    first = JobDaemon(store, "vm1", Engine(length=200, pause=0.02), peers=peers)
    first.jobs.submit(make_job(), soon())
    second = JobDaemon(store, "vm2", Engine(length=200), peers=peers)
    assert until(lambda: second.jobs.board.owner_vm("job1") == "vm1")
    peers.daemons = {"vm1": first}
    first._running = False
    first.session._stopped = True
    store.expire(first.session.lease)
    assert until(lambda: second.engine.calls)
    assert peers.asked == ["vm1"]
    assert "job1" not in first.jobs.board.owned
    assert finished(second)
    first.die()
    second.die()


def test_a_text_of_several_versions_is_made_anew_where_one_is_wanted():
    daemon = JobDaemon(MemoryStore())
    snapshot = daemon.holder.snapshot
    route = snapshot.tables.routes["drafts"]
    terms = evolve(route.batch, single_version=True)
    routes = {**snapshot.tables.routes, "drafts": evolve(route, batch=terms)}
    daemon.change_tables(routes=routes)
    engine = daemon.engine
    generate = engine.generate

    def mixed(view, job, item, transcript, on_event):
        if not engine.calls:
            transcript.add("old", 4)
        generate(view, job, item, transcript, on_event)

    daemon.jobs._means = evolve(
        daemon.jobs._means, ports=evolve(engine.ports(), generate=mixed)
    )
    daemon.jobs.submit(make_job(items=1), soon())
    assert finished(daemon, 1)
    assert read_all(daemon)[0][3] == [5]
    daemon.die()

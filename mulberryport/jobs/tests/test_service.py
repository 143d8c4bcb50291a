"""Tests of the job service over the life cycle of jobs."""

import eventlet
import orjson
import pytest
from attrs import evolve

from ...coordination import Committed
from ...outcomes import Done, NotDone, Unknown
from ...peering import peer_pb2
from ...runtime.clock import boottime
from ...telemetry.explain import explain
from .. import items
from ..generation import (
    EngineSwitchError,
    ItemFailedError,
    ItemRejectedError,
    NotStartedError,
    StaleWeightsError,
    StreamInterruptedError,
)
from .builders import Engine, HookedStore, JobDaemon, MemoryStore, make_job, until


def deadline_in(seconds=2.0):
    """Return a deadline in boot time."""
    return boottime() + seconds


def read_all(daemon, job_id="job1", after=0, wait=0.0):
    """Return the decoded results of a job."""
    outcome = daemon.jobs.read(job_id, "roads", after, wait)
    assert isinstance(outcome, Done) and outcome.value is not None, outcome
    return [orjson.loads(result) for result in outcome.value.results]


def wait_for_results(daemon, count=4, job_id="job1", seconds=5.0):
    """Wait until ``count`` results are committed."""
    return until(lambda: len(read_all(daemon, job_id)) == count, seconds)


def test_job_is_accepted_once_and_completed():
    store = MemoryStore()
    daemon = JobDaemon(store)
    job = make_job(submitted_at=1000.0)
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    assert wait_for_results(daemon)
    for item, state, text, versions, score in read_all(daemon):
        assert (state, versions) == ("completed", [5])
        assert text == "\n".join(f"{item}.{n}" for n in (1, 2, 3))
        assert score == f"score of s{item[-1]}"
    assert len(daemon.engine.calls) == 4
    daemon.die()


def test_job_of_another_workspace_is_not_found():
    # Guards against access to the samples of other workspaces.
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), deadline_in())
    assert daemon.jobs.read("job1", "others", 0, 0.0) == Done(None)
    assert daemon.jobs.read_item_body("job1", "others", "job1-0") == Done(None)
    assert daemon.jobs.end("job1", "others") == Done(False)
    assert daemon.jobs.submit(make_job(workspace="others"), deadline_in()) == Done(
        False
    )
    daemon.die()


def test_item_bodies_are_returned_unchanged():
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), deadline_in())
    assert daemon.jobs.read_item_body("job1", "roads", "job1-2") == Done(b"\x00\xff")
    assert daemon.jobs.read_item_body("job1", "roads", "none") == Done(None)
    assert daemon.jobs.read("none", "roads", 0, 0.0) == Done(None)
    daemon.die()


def test_submission_in_outage_is_refused_at_deadline_or_accepted_after_recovery():
    store = MemoryStore()
    daemon = JobDaemon(store)
    with store.outage():
        assert isinstance(daemon.jobs.submit(make_job(), deadline_in(0.5)), NotDone)
        waiting = eventlet.spawn(daemon.jobs.submit, make_job("job2"), deadline_in(5.0))
        eventlet.sleep(0.3)
    assert waiting.wait() == Done(True)
    assert "job1" not in str(list(store.items))
    daemon.die()


def test_unanswered_submission_is_not_reported_as_not_run():
    # An unanswered write may have taken effect, so the job may still run.
    store = MemoryStore()
    daemon = JobDaemon(store)
    store.losing = True
    outcome = daemon.jobs.submit(make_job(), deadline_in(0.1))
    assert isinstance(outcome, Unknown)
    store.losing = False
    assert wait_for_results(daemon)
    daemon.die()


def test_a_lost_owner_is_replaced_and_what_was_listed_stays():
    # Guards against losing jobs and against results that change position.
    store = MemoryStore()
    slow = Engine(pause=0.05)
    first = JobDaemon(store, "vm1", slow)
    first.jobs.submit(make_job(items=12), deadline_in())
    assert until(lambda: len(read_all(first)) >= 1)
    before = read_all(first)
    first.die()
    second = JobDaemon(store, "vm2")
    assert wait_for_results(second, 12)
    after = read_all(second)
    assert after[: len(before)] == before
    assert sorted(r[0] for r in after) == sorted(f"job1-{n}" for n in range(12))
    second.die()


def test_restarted_daemon_reclaims_its_jobs_before_the_old_session_expires():
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(pause=5.0))
    first.jobs.submit(make_job(), deadline_in())
    store_lease, first.session._lease = first.session.lease, 0
    first.die()
    assert store_lease in store.leases
    second = JobDaemon(store, "vm1", incarnation=2)
    assert wait_for_results(second, seconds=2.0)
    second.die()


def test_an_owner_that_was_replaced_lists_nothing():
    # Guards against two owners committing different results at one position.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(pause=0.2))
    first.jobs.submit(make_job(), deadline_in())
    owner = next(key for key in store.items if "/owner/" in key)
    store.write(owner, b"vm2 1")
    eventlet.sleep(1.5)
    assert not any("/results/" in key for key in store.items)
    assert all(owned.is_closed for owned in first.jobs.registry.owned.values())
    first.die()


def test_generation_continues_after_session_expires_in_an_outage():
    # Guards against losing generated items when the store is unreachable.
    store = MemoryStore()
    engine = Engine(pause=0.1)
    daemon = JobDaemon(store, engine=engine)
    daemon.jobs.submit(make_job(), deadline_in())
    with store.outage():
        eventlet.sleep(0.2)
        store.expire_all()
        assert until(lambda: len(engine.scored) == 4)
        assert read_results_if_known(daemon) == []
    assert wait_for_results(daemon, seconds=8.0)
    assert len(engine.calls) == 4
    daemon.die()


def read_results_if_known(daemon):
    """Return the committed results of a job, or none if the read fails."""
    outcome = daemon.jobs.read("job1", "roads", 0, 0.0)
    return [] if not isinstance(outcome, Done) else list(outcome.value.results)


def test_results_without_answer_are_listed_once():
    # Guards against committing results twice after the reply to a commit is lost.
    store = MemoryStore()
    daemon = JobDaemon(store, engine=Engine(pause=0.05))
    daemon.jobs.submit(make_job(items=8), deadline_in())
    store.losing = True
    eventlet.sleep(0.8)
    store.losing = False
    assert wait_for_results(daemon, 8)
    names = [result[0] for result in read_all(daemon)]
    assert len(set(names)) == 8
    daemon.die()


def test_ended_job_stops_and_keeps_committed_results():
    store = MemoryStore()
    engine = Engine(pause=0.3)
    daemon = JobDaemon(store, engine=engine)
    daemon.jobs.submit(make_job(items=4), deadline_in())
    eventlet.sleep(0.1)
    assert daemon.jobs.end("job1", "roads") == Done(True)
    assert daemon.jobs.end("job1", "roads") == Done(True)
    calls = len(engine.calls)
    eventlet.sleep(1.2)
    assert len(engine.calls) == calls
    assert read_all(daemon) == []
    daemon.die()


def test_end_in_outage_is_not_acknowledged():
    store = MemoryStore()
    daemon = JobDaemon(store, engine=Engine(pause=1.0))
    daemon.jobs.submit(make_job(), deadline_in())
    with store.outage():
        assert not isinstance(daemon.jobs.end("job1", "roads"), Done)
    daemon.die()


def test_a_planned_stop_passes_unfinished_texts_on():
    # Guards against regenerating text that was generated before a planned stop.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(length=50, pause=0.02))
    first.jobs.submit(make_job(), deadline_in())
    eventlet.sleep(0.3)
    first.jobs.hand_over()
    engine = Engine(length=50)
    second = JobDaemon(store, "vm2", engine)
    assert wait_for_results(second)
    assert all(events > 0 for _, events, _ in engine.calls)
    assert read_all(second)[0][2].count("\n") == 49
    first.die()
    second.die()


def test_job_submitted_to_a_stopping_daemon_is_claimed_by_another():
    store = MemoryStore()
    first = JobDaemon(store, "vm1")
    first.jobs.hand_over()
    assert first.jobs.submit(make_job(), deadline_in()) == Done(True)
    second = JobDaemon(store, "vm2")
    assert wait_for_results(second)
    first.die()
    second.die()


def test_interrupted_streams_and_refusals_are_retried():
    engine = Engine(
        faults=[
            StreamInterruptedError("broken"),
            NotStartedError("full"),
            StaleWeightsError("old"),
            EngineSwitchError("slow"),
        ]
    )
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "completed"
    assert len(engine.calls) == 5
    daemon.die()


def test_item_errors_after_the_attempts_that_its_route_allows():
    # Guards against an item that is retried forever and blocks its step.
    engine = Engine(faults=[ItemFailedError("500")] * 3)
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    assert len(engine.calls) == 3
    daemon.die()


def test_rejected_item_errors_without_retry():
    engine = Engine(faults=[ItemRejectedError("422")])
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    assert len(engine.calls) == 1
    daemon.die()


def test_scoring_call_is_retried_up_to_its_route_attempts():
    engine = Engine(score_faults=[StreamInterruptedError("reset")])
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "completed" and len(engine.scored) == 2
    engine.score_faults = [ItemFailedError("500")] * 2
    daemon.jobs.submit(make_job("job2", items=1), deadline_in())
    assert wait_for_results(daemon, 1, "job2")
    assert read_all(daemon, "job2")[0][1] == "errored"
    daemon.die()


def test_items_wait_for_engines_whose_weights_are_new_enough():
    # Guards against samples from weight versions older than the job allows.
    engine = Engine(version=6)
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.jobs.submit(make_job(items=1, oldest_version=6), deadline_in())
    eventlet.sleep(0.5)
    assert engine.calls == []
    daemon.directory.record_weight_version("e2", "m", 6)
    assert wait_for_results(daemon, 1)
    assert {target for _, _, target in engine.calls} == {"e2"}
    daemon.die()


@pytest.mark.parametrize(
    ("engine", "changes", "age", "expected"),
    [
        (Engine(faults=[ItemFailedError("500")] * 3), {}, 0, "attempts: 3 have failed"),
        (
            Engine(faults=[ItemRejectedError("status 422")]),
            {},
            0,
            "rejected: status 422",
        ),
        (
            Engine(score_faults=[ItemFailedError("500")] * 2),
            {},
            0,
            "attempts: 2 scoring calls failed",
        ),
        (Engine(), {}, 100, "expired: submitted 100.0 s ago"),
        (
            Engine(),
            {"routes": {}},
            0,
            "route removed: revision 9 has no route for jobs at /drafts/1",
        ),
    ],
)
def test_log_says_why_an_item_was_given_up(monkeypatch, engine, changes, age, expected):
    # Guards against items listed as errored for a reason that nobody can find out.
    entries = []
    monkeypatch.setattr(
        items, "log", lambda event, **fields: entries.append((event.name, fields))
    )
    daemon = JobDaemon(MemoryStore(), engine=engine)
    daemon.adopt_tables(9, **changes)
    daemon.now += age
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert until(lambda: any(name == "item_given_up" for name, _ in entries))
    (fields,) = [fields for name, fields in entries if name == "item_given_up"]
    entry = {"event": "item_given_up", "vm": "vm1", **fields}
    assert explain([entry]) == f"item_given_up at vm1: reason={expected}"
    daemon.die()


def test_items_of_a_removed_route_error():
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.2))
    daemon.change_tables(routes={})
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    daemon.die()


def test_items_wait_for_a_daemon_to_read_its_first_configuration():
    # Guards against a daemon without a configuration that takes every route for removed
    # and commits all items of a job as errored.
    daemon = JobDaemon(MemoryStore(), configured=False)
    daemon.jobs.submit(make_job(configuration_revision=7), deadline_in())
    eventlet.sleep(0.6)
    assert read_all(daemon) == [] and daemon.engine.calls == []
    daemon.adopt_tables(7)
    assert wait_for_results(daemon)
    assert {result[1] for result in read_all(daemon)} == {"completed"}
    daemon.die()


def test_items_of_an_older_build_wait_for_a_configuration_too():
    # Guards against a job without a revision whose items are given up unread.
    daemon = JobDaemon(MemoryStore(), configured=False)
    daemon.jobs.submit(make_job(configuration_revision=0), deadline_in())
    eventlet.sleep(0.6)
    assert read_all(daemon) == []
    daemon.adopt_tables(1)
    assert wait_for_results(daemon)
    assert {result[1] for result in read_all(daemon)} == {"completed"}
    daemon.die()


@pytest.mark.parametrize("missing", ["drafts", "score"])
def test_route_that_an_older_configuration_lacks_does_not_end_items(missing):
    # Guards against items, or their scores, that are given up because a daemon has not
    # seen yet that the route was added.
    daemon = JobDaemon(MemoryStore())
    routes = daemon.snapshot_holder.snapshot.tables.routes
    kept = {name: route for name, route in routes.items() if name != missing}
    daemon.adopt_tables(5, routes=kept)
    daemon.jobs.submit(make_job(items=2, configuration_revision=6), deadline_in())
    eventlet.sleep(0.6)
    assert read_all(daemon) == []
    daemon.adopt_tables(6)
    assert wait_for_results(daemon, 2)
    assert {result[1] for result in read_all(daemon)} == {"completed"}
    daemon.die()


def test_plain_route_in_an_older_configuration_does_not_end_items():
    # Guards against items that are given up because the route that an older
    # configuration has for their path takes no jobs.
    daemon = JobDaemon(MemoryStore())
    routes = dict(daemon.snapshot_holder.snapshot.tables.routes)
    routes["drafts"] = evolve(routes["drafts"], batch=None)
    daemon.adopt_tables(5, routes=routes)
    daemon.jobs.submit(make_job(items=1, configuration_revision=6), deadline_in())
    eventlet.sleep(0.6)
    assert read_all(daemon) == []
    daemon.adopt_tables(6)
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "completed"
    daemon.die()


def test_route_that_a_newer_configuration_lacks_ends_items():
    # Guards against items that wait forever for a route that was removed.
    daemon = JobDaemon(MemoryStore())
    routes = daemon.snapshot_holder.snapshot.tables.routes
    kept = {name: route for name, route in routes.items() if name != "drafts"}
    daemon.adopt_tables(6, routes=kept)
    daemon.jobs.submit(make_job(items=1, configuration_revision=6), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == "errored"
    daemon.die()


class StoppingPeers:
    """Peers that handle only ``StopJob`` calls."""

    def __init__(self):
        self.daemons = {}
        self.asked = []

    def call(self, vm, method, request, timeout):
        """Forward a ``StopJob`` call to a daemon."""
        if method != "StopJob" or vm not in self.daemons:
            return NotDone("no such call")
        self.asked.append(vm)
        return Done(self.daemons[vm].jobs._serve_stop(request))


def test_owner_without_session_stops_before_another_resumes_the_job():
    # Guards against two engines generating the same item at once.
    store, peers = MemoryStore(), StoppingPeers()
    first = JobDaemon(store, "vm1", Engine(length=200, pause=0.02), peers=peers)
    first.jobs.submit(make_job(), deadline_in())
    second = JobDaemon(store, "vm2", Engine(length=200), peers=peers)
    assert until(lambda: second.jobs.registry.owner_vm("job1") == "vm1")
    peers.daemons = {"vm1": first}
    first._running = False
    first.session._stopped = True
    store.expire(first.session.lease)
    assert until(lambda: second.engine.calls)
    assert peers.asked == ["vm1"]
    assert "job1" not in first.jobs.registry.owned
    assert wait_for_results(second)
    first.die()
    second.die()


def test_late_call_to_stop_a_job_does_not_stop_its_present_owner():
    # Guards against a daemon that took a job over, was paused before its call to stop
    # the previous owner, and stops that one after it owns the job again. A job that
    # ended, or whose ownership was lost, still stops.
    store = MemoryStore()
    daemon = JobDaemon(store, "vm1", Engine(length=200, pause=0.05))
    for job_id in ("job1", "job2"):
        daemon.jobs.submit(make_job(job_id), deadline_in())
    registry = daemon.jobs.registry
    owned = registry.owned["job1"]
    daemon.jobs._serve_stop(peer_pb2.StopJobRequest(job="job1"))
    assert registry.owned.get("job1") is owned and not owned.is_closed
    daemon._running = False
    daemon.mirror.stop()
    ended = daemon.jobs._repository.end("job1", registry.heads["job1"])
    assert isinstance(ended.value, Committed)
    daemon.jobs._serve_stop(peer_pb2.StopJobRequest(job="job1"))
    assert "job1" not in registry.owned and owned.is_closed
    store.touch("mulberryport/live/owner/job2")
    daemon.jobs._serve_stop(peer_pb2.StopJobRequest(job="job2"))
    assert "job2" not in registry.owned
    daemon.die()


def test_text_of_several_versions_restarts_if_route_requires_one():
    daemon = JobDaemon(MemoryStore())
    snapshot = daemon.snapshot_holder.snapshot
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

    daemon.jobs._context = evolve(
        daemon.jobs._context,
        engine_client=evolve(engine.engine_client(), generate=mixed),
    )
    daemon.jobs.submit(make_job(items=1), deadline_in())
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][3] == [5]
    daemon.die()


def test_job_that_ends_while_it_is_taken_over_is_not_resumed():
    # Guards against items that run for seconds after the end of their job was
    # acknowledged: the new owner had read the head before the end, and its mirror had
    # delivered the end before the job was among those that it owns.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(pause=0.5))
    first.jobs.submit(make_job(), deadline_in())
    connection = HookedStore(store)
    second = JobDaemon(connection, "vm2", Engine(pause=0.05))
    reader = JobDaemon(store, "vm3")
    reader.jobs._stopping = True

    def end_job(key):
        # The head was read before; this is a later call of the takeover.
        if key.startswith("mulberryport/live/"):
            return
        connection.hook = lambda key: None
        assert reader.jobs.end("job1", "roads") == Done(True)
        assert until(lambda: not second.jobs.registry.heads["job1"].open)

    connection.hook = end_job
    first.die()
    assert until(lambda: not second.jobs.registry.heads["job1"].open)
    eventlet.sleep(0.3)
    assert second.engine.calls == []
    assert not second.jobs.registry.owned
    second.die()
    reader.die()


def test_older_head_does_not_replace_the_end_of_a_job():
    # Guards against a submission whose answer arrives after the job was ended.
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), deadline_in())
    registry = daemon.jobs.registry
    opened = registry.heads["job1"]
    assert daemon.jobs.end("job1", "roads") == Done(True)
    assert until(lambda: not registry.heads["job1"].open)
    assert not registry.record_head("job1", opened).open
    assert not registry.heads["job1"].open
    daemon.die()


def test_a_text_that_the_store_cannot_hold_keeps_back_no_other_result():
    # Guards against a job none of whose results can be committed, because one engine
    # sent a text that is longer than a value of the store.
    daemon = JobDaemon(MemoryStore())
    daemon.engine.long_texts = {"job1-1": 2}
    daemon.jobs.submit(make_job(), deadline_in())
    assert wait_for_results(daemon)
    assert sum(item == "job1-1" for item, _, _ in daemon.engine.calls) == 3
    daemon.die()

"""Guards against texts that stay at slow engines, or leave good ones."""

from contextlib import ExitStack

import eventlet
import pytest
from attrs import evolve

from ...runtime.clock import boottime
from ...targets import WorkRequest
from ..generation import EngineSwitchError, Transcript
from ..items import ItemTask, JobContext
from ..moving import TextMoves, TextRun
from .builders import JobDaemon, MemoryStore, make_job, uneven_dispatcher

SLOW = "t0"
FAST_S, SLOW_S = 0.05, 0.2
WORK = WorkRequest(pool="p", workspace="w", restartable=True)


@pytest.fixture
def moves():
    """Return moves in a pool in which one target was measured as slow."""
    dispatcher = uneven_dispatcher()
    for _ in range(30):
        for view in dispatcher.directory.views("p"):
            interval_s = SLOW_S if view.id == SLOW else FAST_S
            dispatcher.speeds.record_interval(view.id, interval_s, boottime())
    return TextMoves(dispatcher)


def _assign(stack, moves, target=SLOW):
    """Return an assignment to a target."""
    others = {v.id for v in moves.dispatcher.directory.views("p")} - {target}
    work = evolve(WORK, exclude=frozenset(others))
    return stack.enter_context(moves.dispatcher.assign(work))


def _should_leave(moves, assignment, run, remaining_events, work=WORK):
    now = boottime()
    return moves.should_leave(assignment, work, run, remaining_events, now)


def test_text_leaves_a_slow_engine_only_if_much_of_it_is_left(moves):
    # Guards against long texts that stay, and against moves near the end of a text.
    run = TextRun()
    with ExitStack() as stack:
        assignment = _assign(stack, moves)
        assert not _should_leave(moves, assignment, run, 1.0)
        assert not _should_leave(moves, _assign(stack, moves, "t1"), run, 50.0)
        assert _should_leave(moves, assignment, run, 20.0)
    now = boottime()
    assert SLOW in moves.avoided_targets("p", run, 1.0, now + 3.0)
    assert run.left_targets(now + 5.0) == frozenset()


def test_targets_that_a_text_avoided_when_it_began_count_again(moves):
    # Guards against a text that stays at a slow engine since others were slow before.
    work = evolve(WORK, exclude=frozenset(f"t{n}" for n in range(1, 8)))
    with ExitStack() as stack:
        assignment = _assign(stack, moves)
        assert _should_leave(moves, assignment, TextRun(), 20.0, work)


def test_text_stays_if_one_target_alone_seems_to_be_very_fast(moves):
    # Guards against texts that all leave good targets after one false measurement.
    for _ in range(30):
        moves.dispatcher.speeds.record_interval("t1", FAST_S / 4, boottime())
    eventlet.sleep(0.15)
    with ExitStack() as stack:
        assert not _should_leave(moves, _assign(stack, moves, "t2"), TextRun(), 100.0)


def test_text_stays_while_no_faster_target_is_free(moves):
    # Guards against a text that gives up its place and waits for another one.
    with ExitStack() as stack:
        assignment = _assign(stack, moves)
        for view in moves.dispatcher.directory.views("p"):
            if view.id != SLOW:
                moves.dispatcher.directory.mark_leaving(view.id, view.born)
        eventlet.sleep(0.15)
        stack.enter_context(moves.dispatcher.assign(WORK))
        assert not _should_leave(moves, assignment, TextRun(), 100.0)


def test_long_texts_avoid_slow_targets_unless_others_wait(moves):
    # Guards against texts that wait for fast targets while slow ones are free.
    for _ in range(30):
        moves.dispatcher.speeds.record_interval("t1", 1.3 * FAST_S, boottime())
    eventlet.sleep(0.15)
    now, run = boottime(), TextRun()
    assert moves.avoided_targets("p", run, 60.0, now) == {"t0", "t1"}
    assert moves.avoided_targets("p", run, 5.0, now) == {"t0"}
    others = frozenset(f"t{n}" for n in range(8))
    waiting = eventlet.spawn(
        lambda: moves.dispatcher.assign(evolve(WORK, exclude=others)).__enter__()
    )
    eventlet.sleep(0)
    assert moves.avoided_targets("p", run, 60.0, now) == frozenset()
    waiting.kill()


def test_pause_for_new_weights_says_nothing_about_speed(moves):
    # Guards against texts that leave each engine that has just loaded its weights.
    with ExitStack() as stack:
        assignment = _assign(stack, moves, "t1")
        for _ in range(5):
            moves.record_interval(assignment, 0.9, True, boottime())
        estimate = moves.dispatcher.speeds.estimate("t1", boottime())
        assert estimate.event_interval_s < 1.1 * FAST_S


def test_engines_that_tell_nothing_are_left_by_their_event_latency():
    # Guards against pools that are served in another way than before.
    daemon = JobDaemon(MemoryStore())
    moves = TextMoves(daemon.dispatcher)
    work = WorkRequest(pool="engines", workspace="roads", restartable=True)
    with daemon.dispatcher.assign(work) as assignment:
        other = ({"e1", "e2"} - {assignment.id}).pop()
        now = boottime()
        for _ in range(10):
            moves.record_interval(assignment, 0.2, True, now)
            moves._latencies.record(other, 0.05, now)
        assert moves.avoided_targets("engines", TextRun(), 1.0, now) == {assignment.id}
        run = TextRun(moves=100)
        assert moves.should_leave(assignment, work, run, 1.0, now)
        assert not daemon.dispatcher.speeds.ranking("engines", now)
    daemon.die()


def test_events_of_a_text_are_measured_and_move_it():
    # Guards against an estimate that no text feeds, and a text that is begun again.
    dispatcher = uneven_dispatcher()
    for view in dispatcher.directory.views("p"):
        for _ in range(30):
            dispatcher.speeds.record_interval(view.id, 0.005, boottime())
    context = JobContext(
        repository=None,
        dispatcher=dispatcher,
        snapshot=None,
        engine_client=None,
        now=None,
        moves=TextMoves(dispatcher),
        reacquire=None,
    )
    job = make_job(items=1)
    item = evolve(job.items[0], length_hint=50 * 75)
    task = ItemTask(job, item, Transcript(), context, lambda *_: None)
    with dispatcher.assign(WORK) as assignment:
        on_event = task._make_event_callback(assignment, WORK)
        with pytest.raises(EngineSwitchError, match="is slow"):
            for n in range(20):
                eventlet.sleep(0.04)
                task.transcript.add(f"e{n}", 1)
                on_event()
    assert 2 <= len(task.transcript.events) < 20
    assert assignment.id in task._run.left_targets(boottime())


def test_item_uses_slow_targets_if_no_others_could_serve_it(moves):
    # Guards against an item that waits for ever because the fast targets are evacuated
    # or serve other weights.
    for view in moves.dispatcher.directory.views("p"):
        if view.id != SLOW:
            moves.dispatcher.directory.mark_leaving(view.id, view.born)
    now = boottime()
    avoided = moves.avoided_targets("p", TextRun(), 50.0, now)
    assert SLOW in avoided
    assert moves.relaxed(evolve(WORK, exclude=avoided)).exclude == frozenset()
    others = evolve(WORK, exclude=frozenset({"t1"}))
    assert moves.relaxed(others) is others


def test_target_without_a_pool_moves_no_text():
    # Guards against an event that fails because its target has just left the list.
    moves = TextMoves(uneven_dispatcher())
    with moves.dispatcher.assign(WORK) as assignment:
        moves.dispatcher.speeds.update_pool("p", [], boottime())
        moves.record_interval(assignment, FAST_S, False, boottime())
        assert not _should_leave(moves, assignment, TextRun(), 50.0)

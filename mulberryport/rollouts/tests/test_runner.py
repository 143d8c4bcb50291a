"""Tests of the step runner against in-process engines."""

import eventlet
import pytest

from ...targets.engine_client import StreamError, TokenChunk
from .. import StepState, VersionSpan
from ..owned import OwnedSteps
from ..replicas import ReplicaStore
from ..runner import StepRunner
from ..stragglers import StragglerPolicy
from .builders import FakeEngines, make_sample, make_spec


def chunks_of(*versions, delay=0.0):
    for version in versions:
        eventlet.sleep(delay)
        yield TokenChunk(("x", "y"), version)


def run(behave, spec, policy=None, until=None, **options):
    """Run a step until all slots are filled or a condition holds."""
    engines = FakeEngines(behave)
    for name in ("names", "limit"):
        if name in options:
            setattr(engines, name, options.pop(name))
    step = StepState(spec)
    runner = StepRunner(
        step, engines.access(), "p", policy=policy or StragglerPolicy(), **options
    )
    runner.start()
    condition = until or (lambda step, engines: not step.unfilled)
    with eventlet.Timeout(5.0):
        while not condition(step, engines):
            eventlet.sleep(0.01)
    runner.close()
    eventlet.sleep(0.02)
    assert not runner.attempts
    assert not any(engines.in_flight.values())
    return step, engines, runner


@pytest.mark.parametrize("versions", [(2, 1, 1, 1), (0, 0, 0, 0), (1, 1, 2**60, 2**60)])
def test_samples_with_unattested_versions_are_generated_again(versions):
    # Guards against samples whose weight versions decrease, are missing or are invalid.
    streams = []

    def behave(name, request):
        streams.append(request.id)
        yield from chunks_of(*(versions if len(streams) == 1 else (1, 1, 2, 2)))

    step, _, _ = run(behave, make_spec(1))
    assert len(streams) == 2
    assert step.buffered_samples()[0].spans == (VersionSpan(1, 4), VersionSpan(2, 4))


def test_a_broken_stream_is_resumed_with_the_spans_of_both_engines():
    # Guards against a resumed sample with the version spans of one engine only. The
    # second engine has an older version, which must appear in the spans.
    def behave(name, request):
        if not request.offset:
            yield from chunks_of(3, 3)
            raise StreamError("broken")
        yield from chunks_of(2, 3)

    step, engines, _ = run(behave, make_spec(1, bound=9))
    (sample,) = step.buffered_samples()
    spans = [(span.version, span.tokens) for span in sample.spans]
    assert spans == [(3, 4), (2, 2), (3, 2)]
    assert len(set(sample.target.split(","))) == 2
    assert [request.offset for _, request in engines.requests] == [0, 4]


def test_attempts_beyond_the_staleness_bound_are_cancelled():
    # Guards against engine time spent on samples that a pull would discard as stale.
    def behave(name, request):
        yield from chunks_of(1)
        eventlet.sleep(30.0)

    def raise_version(step, engines):
        step.pull(5, b"", 1)
        return engines.cancelled

    _, engines, _ = run(behave, make_spec(1), until=raise_version)
    assert engines.requests[0][1].id in engines.cancelled


def test_attempts_leave_a_leaving_engine_and_resume_elsewhere():
    # Guards against loss of generated tokens when a target is reclaimed.
    def behave(name, request):
        if request.offset:
            yield from chunks_of(1, 1, 1)
        else:
            yield from chunks_of(1)
            eventlet.sleep(30.0)

    def leave(step, engines):
        engines.leaving.update(name for name, _ in engines.requests[:1])
        return not step.unfilled

    step, engines, _ = run(behave, make_spec(1), until=leave)
    assert len({name for name, _ in engines.requests}) == 2
    assert engines.requests[1][1].offset == 2


def test_stragglers_are_hedged_within_the_budget_and_slower_attempts_cancelled():
    # Guards against a step that waits for its slowest engine, hedges that double the
    # load, and superseded attempts that keep their slot at an engine.
    slow = set()

    def behave(name, request):
        slot = request.prompt
        first = slot not in slow
        if slot in ("p0#37", "p0#38", "p0#39") and first:
            slow.add(slot)
            yield from chunks_of(1)
            eventlet.sleep(30.0)
        yield from chunks_of(*[1] * (4 - request.offset // 2), delay=0.002)

    policy = StragglerPolicy(budget_share=0.05, quantile_factor=5.0)
    step, engines, runner = run(
        behave,
        make_spec(40),
        policy,
        until=lambda step, engines: step.unfilled == 1 and len(engines.cancelled) >= 2,
        limit=20,
    )
    assert runner.hedging.started_count == 2
    hedges = engines.requests[40:]
    assert len(hedges) == 2
    assert all(r.priority == policy.tail_priority for _, r in hedges)
    # A hedge resumes at the straggler's offset and is charged for the remainder only.
    assert all(r.offset == 2 for _, r in hedges) and runner.hedging.spent_tokens == 12
    for name, request in hedges:
        losers = [n for n, r in engines.requests[:40] if r.prompt == request.prompt]
        assert name not in losers


def test_no_sample_is_filled_before_it_has_a_score():
    # Guards against a sample without a score in a step with a scoring route.
    scored = []

    def score(sample):
        assert sample.score is None
        eventlet.sleep(0.01)
        scored.append(sample)
        return 0.5

    step, _, _ = run(
        lambda name, request: chunks_of(1, 1, 1, 1),
        make_spec(3, scoring_route="scoring"),
        score_sample=score,
    )
    assert [s.score for s in step.buffered_samples()] == [0.5] * 3 and len(scored) == 3


def test_memory_for_finished_samples_is_bounded(monkeypatch):
    # Guards against unbounded memory for a trainer that never pulls, and for replicas.
    monkeypatch.setattr("mulberryport.rollouts.owned.RESERVED_TOKENS_PER_STEP", 8)
    owned = OwnedSteps(max_tokens=16)
    step, engines, _ = run(
        lambda name, request: chunks_of(1, 1, 1, 1),
        make_spec(50),
        until=lambda step, engines: len(step.buffered_samples()) >= 2,
        has_buffer_room=lambda step: (
            step.buffered_tokens < 8 or owned.has_buffer_room(step)
        ),
        limit=1,
    )
    assert owned.has_buffer_room(step)
    owned._steps[step.spec.id] = type("Held", (), {"step": step})
    assert not owned.has_buffer_room(step)
    store = ReplicaStore(max_tokens=10)
    first, second = make_spec(9), make_spec(9, 1)
    second = type(second)(
        **{f: getattr(second, f) for f in second.__slots__ if f != "__weakref__"}
        | {"id": type(second.id)("roads", "warnings", 2)}
    )
    store.merge(first, [make_sample(0, n) for n in range(4)], b"")
    store.merge(second, [make_sample(0, n) for n in range(3)], b"\x01")
    assert store.get(first.id) is None and store.token_count == 4

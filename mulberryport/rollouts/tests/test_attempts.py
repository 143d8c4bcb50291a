"""Tests of attempts that wait for an engine."""

import eventlet
import pytest

from ...runtime.clock import boottime
from ...tables import MODEL_ENGINE, Pool, Snapshot, Tables, TargetSpec
from ...targets import Dispatcher, LoadReport, ShedError, TargetDirectory
from ...targets.engine_client import TokenChunk
from .. import StepState, attempts
from ..attempts import Attempt, EngineAccess, generate_sample
from .builders import make_spec

REPORTED_AFTER_S = 0.3


@pytest.fixture
def directory():
    """Return a directory of two engines whose reports are too old for the step."""
    directory = TargetDirectory()
    specs = tuple(
        TargetSpec(name, f"127.0.0.1:{n}", "z") for n, name in enumerate(("e1", "e2"))
    )
    pool = Pool(
        name="drafting", kind=MODEL_ENGINE, targets=specs, concurrency=1, queue=1
    )
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"drafting": pool})))
    report_version(directory, 7)
    return directory


def report_version(directory, version):
    """Let both engines report a weight version."""
    for target in ("e1", "e2"):
        report = LoadReport(0, 0, 1, version=version)
        directory.record_load(target, report, boottime())


def make_attempt(directory, dispatcher=None):
    """Return a function that generates a sample for a trainer at version 9."""
    dispatcher = dispatcher or Dispatcher(directory, "z")
    step = StepState(make_spec(1, bound=1))
    step.trainer_version = 9

    def generate(address, request, timeout):
        yield TokenChunk(("t",) * 8, 9)

    access = EngineAccess(dispatcher.assign, directory.views, generate, print)
    return lambda: generate_sample(Attempt(0, 5), step, access, "drafting")


def test_an_attempt_follows_reports_that_come_while_it_waits(directory):
    # Guards against an attempt that waits beside idle engines until its time is up,
    # because their last reports, from before the trainer's pull, were too old for it.
    started_at = boottime()
    eventlet.spawn_after(REPORTED_AFTER_S, report_version, directory, 9)
    assert len(make_attempt(directory)().tokens) == 8
    waited_s = boottime() - started_at
    assert REPORTED_AFTER_S <= waited_s < attempts.QUEUE_TIMEOUT_S / 2


def test_an_attempt_without_an_engine_that_is_new_enough_fails_in_time(
    directory, monkeypatch
):
    # Guards against an attempt that looks for engines for ever.
    monkeypatch.setattr(attempts, "QUEUE_TIMEOUT_S", 0.7)
    started_at = boottime()
    with pytest.raises(ShedError):
        make_attempt(directory)()
    assert 0.7 <= boottime() - started_at < 2.0


def test_a_full_queue_refuses_an_attempt_at_once(directory):
    # Guards against an attempt that takes a refusal for the end of a short wait.
    dispatcher = Dispatcher(directory, "z")
    attempt = make_attempt(directory, dispatcher)
    waiting = eventlet.spawn(attempt)
    eventlet.sleep(0)
    started_at = boottime()
    with pytest.raises(ShedError):
        attempt()
    assert boottime() - started_at < attempts.EXCLUSION_MAX_AGE_S / 2
    waiting.kill()

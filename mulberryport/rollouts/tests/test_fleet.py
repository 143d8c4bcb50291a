"""Steps through real processes that are killed, paused and stopped."""

import time

import eventlet
import pytest

from ...client import Group
from .fleets import TOKENS, Judge, running_fleet


@pytest.fixture(scope="module")
def judge():
    with running_fleet() as running:
        yield running


def groups_of(name: str, count: int) -> list[Group]:
    return [Group(f"{name} {n}", 8, TOKENS) for n in range(count)]


def test_weights_that_change_every_second_and_lost_answers(judge: Judge):
    # Guards against labels that the engine did not attest, samples over the bound,
    # and slots delivered twice or never when a third of the answers is lost.
    judge.slow(0.004)
    with judge.changing_weights(1.0):
        samples = judge.run_step(groups_of("changing", 14), 1, loss=0.33)
    assert any(len(sample.versions) > 1 for sample in samples.values())
    assert len({v for s in samples.values() for v, _ in s.versions}) >= 2


def test_scores_come_with_every_sample(judge: Judge):
    # Guards against a sample that is delivered without the score of its step.
    judge.slow(0.002)
    groups = groups_of("scored", 4)
    samples = judge.run_step(groups, 1, scoring_route="scoring")
    assert all(0 <= s.score < 1 for s in samples.values())


# What the engines may see beside one request for each slot of 192: streams that ran
# when the owner was lost (3 engines of 16, and 8 queued) and hedges (5%).
EXTRA_REQUESTS = 48 + 8 + 10


def test_owner_that_stops_hands_its_samples_over(judge: Judge):
    # Guards against finished samples that a planned stop of the owner throws away.
    judge.slow(0.003)
    stopped = []

    def stop(count: int, judge: Judge) -> None:
        if not stopped:
            stopped.append(judge.owner())
            judge.wait_unfilled(stopped[0], 48)
            judge.fleet.send_signal(stopped[0].vm, 15)

    before = len(judge.requests())
    judge.run_step(groups_of("stopping", 24), 1, stop)
    assert judge.fleet.terminate(stopped[0].vm) == 0
    assert len(judge.requests()) - before <= 24 * 8 + EXTRA_REQUESTS
    judge.fleet.start_daemons()


def test_owner_killed_in_mid_step(judge: Judge):
    # Guards against samples lost with their owner: what was replicated is kept. The
    # trainer has few of some 144 finished samples when the owner dies.
    judge.slow(0.003)
    killed = []

    def kill(count: int, judge: Judge) -> None:
        if not killed:
            killed.append(judge.owner())
            judge.wait_unfilled(killed[0], 48)
            judge.fleet.kill(killed[0].vm)

    before = len(judge.requests())
    judge.run_step(groups_of("killing", 24), 1, kill)
    assert len(judge.requests()) - before <= 24 * 8 + EXTRA_REQUESTS
    judge.fleet.start_daemons()


def test_owner_paused_past_the_membership_timeout(judge: Judge):
    # Guards against duplicates while two daemons own the step.
    judge.slow(0.008)
    paused = []

    def pause(count: int, judge: Judge) -> None:
        if count >= 20 and not paused:
            paused.append(judge.owner())
            judge.fleet.pause(paused[0].vm)

            def resume() -> None:
                eventlet.sleep(6.5)
                judge.fleet.resume(paused[0].vm)

            eventlet.spawn_n(resume)

    started = time.monotonic()
    judge.run_step(groups_of("pausing", 24), 1, pause)
    assert paused
    # The step must have outlasted the pause, or only one owner was tried.
    assert time.monotonic() - started > 6.5


def test_engine_killed_in_mid_stream(judge: Judge):
    # Guards against samples of a lost engine that are lost, or truncated and
    # delivered; the other engines resume its streams.
    judge.slow(0.004)

    def kill(count: int, judge: Judge) -> None:
        if count >= 30 and not judge.lost_engines:
            judge.lost_engines.add("engine3")
            # Streams start side by side; after this time all are in their middle.
            eventlet.spawn_after(0.4, judge.fleet.kill, "engine3")

    samples = judge.run_step(groups_of("losing", 16), 1, kill)
    assert any("," in sample.target for sample in samples.values())
    resumed = [r for r in judge.requests() if r["offset"]]
    assert any(r["prompt"].startswith("losing") for r in resumed)

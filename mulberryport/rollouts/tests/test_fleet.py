"""Tests of steps on daemon and engine processes that are stopped, killed and paused."""

import time

import eventlet
import pytest

from ...client import Group
from .fleets import TOKENS, SampleVerifier, running_fleet


@pytest.fixture(scope="module")
def verifier():
    with running_fleet() as running:
        yield running


def make_groups(name: str, count: int) -> list[Group]:
    return [Group(f"{name} {n}", 8, TOKENS) for n in range(count)]


def test_weights_that_change_every_second_and_lost_answers(verifier: SampleVerifier):
    # Guards against weight versions that the engine did not attest, samples beyond the
    # staleness bound, and slots delivered twice or never if a third of the responses is
    # lost.
    verifier.set_token_time(0.004)
    with verifier.changing_weights(1.0):
        samples = verifier.run_step(make_groups("changing", 14), 1, loss=0.33)
    assert any(len(sample.versions) > 1 for sample in samples.values())
    assert len({v for s in samples.values() for v, _ in s.versions}) >= 2


def test_scores_come_with_every_sample(verifier: SampleVerifier):
    # Guards against samples without a score in a step with a scoring route.
    verifier.set_token_time(0.002)
    groups = make_groups("scored", 4)
    samples = verifier.run_step(groups, 1, scoring_route="scoring")
    assert all(0 <= s.score < 1 for s in samples.values())


# Requests to the engines beyond one for each of 192 slots: attempts that ran when the
# owner was lost (3 engines with 16 each, and 8 queued) and hedges (5%).
EXTRA_REQUESTS = 48 + 8 + 10


def test_owner_that_stops_hands_its_samples_over(verifier: SampleVerifier):
    # Guards against loss of finished samples when the owner is stopped by SIGTERM.
    verifier.set_token_time(0.003)
    stopped = []

    def stop(count: int, verifier: SampleVerifier) -> None:
        if not stopped:
            stopped.append(verifier.owner())
            verifier.wait_unfilled(stopped[0], 48)
            verifier.fleet.send_signal(stopped[0].vm, 15)

    before = len(verifier.logged_requests())
    verifier.run_step(make_groups("stopping", 24), 1, stop)
    assert verifier.fleet.terminate(stopped[0].vm) == 0
    assert len(verifier.logged_requests()) - before <= 24 * 8 + EXTRA_REQUESTS
    verifier.fleet.start_daemons()


def test_owner_killed_in_mid_step(verifier: SampleVerifier):
    # Guards against loss of replicated samples when the owner is killed. At that time
    # the trainer has received few of about 144 finished samples.
    verifier.set_token_time(0.003)
    killed = []

    def kill(count: int, verifier: SampleVerifier) -> None:
        if not killed:
            killed.append(verifier.owner())
            verifier.wait_unfilled(killed[0], 48)
            verifier.fleet.kill(killed[0].vm)

    before = len(verifier.logged_requests())
    verifier.run_step(make_groups("killing", 24), 1, kill)
    assert len(verifier.logged_requests()) - before <= 24 * 8 + EXTRA_REQUESTS
    verifier.fleet.start_daemons()


def test_owner_paused_past_the_membership_timeout(verifier: SampleVerifier):
    # Guards against duplicate samples while two daemons own the step.
    verifier.set_token_time(0.008)
    paused = []

    def pause(count: int, verifier: SampleVerifier) -> None:
        if count >= 20 and not paused:
            paused.append(verifier.owner())
            verifier.fleet.pause(paused[0].vm)

            def resume() -> None:
                eventlet.sleep(6.5)
                verifier.fleet.resume(paused[0].vm)

            eventlet.spawn_n(resume)

    started = time.monotonic()
    verifier.run_step(make_groups("pausing", 24), 1, pause)
    assert paused
    # A step that ends before the pause does would have had only one owner.
    assert time.monotonic() - started > 6.5


def test_engine_killed_in_mid_stream(verifier: SampleVerifier):
    # Guards against samples that are lost or delivered truncated when their engine is
    # killed; the other engines must resume its streams.
    verifier.set_token_time(0.004)

    def kill(count: int, verifier: SampleVerifier) -> None:
        if count >= 30 and not verifier.lost_engines:
            verifier.lost_engines.add("engine3")
            # Streams start at about the same time and are in progress after this delay.
            eventlet.spawn_after(0.4, verifier.fleet.kill, "engine3")

    samples = verifier.run_step(make_groups("losing", 16), 1, kill)
    assert any("," in sample.target for sample in samples.values())
    resumed = [r for r in verifier.logged_requests() if r["offset"]]
    assert any(r["prompt"].startswith("losing") for r in resumed)

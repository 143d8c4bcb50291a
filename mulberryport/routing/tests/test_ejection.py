"""Tests of ejection."""

import math

import hypothesis.strategies as st
from hypothesis import given, settings

from ..ejection import MAX_BACK_OFF_S, Ejector

target_ids = [f"t{n}" for n in range(7)]
events = st.tuples(
    st.sampled_from(
        ["failed", "failed", "failed", "succeeded", "probe", "shrink", "remote"]
    ),
    st.sampled_from(target_ids),
    st.floats(0, 15),
    st.booleans(),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.floats(0, 1), st.lists(events, max_size=150))
def test_ejection_never_exceeds_its_limit(max_ejected_fraction, actions):
    # Guards against ejecting so many targets that the others are overloaded, also
    # when the pool shrinks while some targets are ejected.
    ejector = Ejector(max_ejected_fraction)
    current = target_ids
    ejector.set_targets(current)
    now = 0.0
    for action, target, elapsed, is_probe in actions:
        now += elapsed
        if action == "shrink":
            current = current[:-1] if len(current) > 1 else target_ids
            ejector.set_targets(current)
        elif target not in current:
            continue
        elif action == "probe":
            if ejector.may_probe(target, True, now):
                ejector.probe_started(target)
        elif action == "failed":
            ejector.record_failure(target, now, probe=is_probe)
        elif action == "remote":
            ejector.update_remote_ejections("xyz"[int(now) % 3], {target: elapsed}, now)
            ejector.apply_remote_ejections(now)
        else:
            ejector.record_success(target, now, probe=is_probe)
        assert len(ejector.ejected) <= math.ceil(max_ejected_fraction * len(current))
        assert len(ejector.ejected) < len(current)


def test_one_probe_at_a_time_with_exponential_back_off():
    # Guards against a failing target that receives more than one request per back-off,
    # and against one that is never readmitted.
    ejector = Ejector()
    ejector.set_targets(["a", "b"])
    for _ in range(3):
        ejector.record_failure("a", 0.0)
    now, probes = 0.0, []
    while len(probes) < 6:
        now += 0.5
        if ejector.may_probe("a", True, now):
            probes.append(now)
            ejector.probe_started("a")
            assert not ejector.may_probe("a", True, now + 1000)
            ejector.record_failure("a", now)
            assert not ejector.may_probe("a", True, now + 1000)
            ejector.record_failure("a", now, probe=True)
    gaps = [late - early for early, late in zip(probes, probes[1:], strict=False)]
    assert gaps == [20, 40, 60, 60, 60]
    assert max(gaps) == MAX_BACK_OFF_S
    ejector.probe_started("a")
    assert not ejector.record_success("a", now)
    assert ejector.record_success("a", now, probe=True)
    assert ejector.ejected == ()


def test_target_that_fails_half_of_its_requests_is_ejected():
    # Guards against a target whose failures are never consecutive and which therefore
    # never reaches the failure threshold.
    ejector = Ejector()
    ejector.set_targets(["a", "b"])
    for n in range(200):
        ejector.record_failure("a", float(n))
        ejector.record_success("a", float(n))
        if ejector.ejected:
            break
    assert ejector.ejected == ("a",)


def test_daemons_eject_and_probe_together():
    # Guards against an outage that each daemon detects and probes on its own, and
    # against a single daemon that makes all others eject a target.
    ejector = Ejector()
    ejector.set_targets(["a", "b"])
    ejector.update_remote_ejections("x", {"a": 1.0}, 10.0)
    assert ejector.apply_remote_ejections(10.0) == []
    ejector.update_remote_ejections("x", {"a": 1.0, "b": 1.0}, 10.0)
    ejector.update_remote_ejections("y", {"a": 0.0, "b": 1.0}, 10.0)
    assert ejector.apply_remote_ejections(10.0) == ["a"]
    ejector.update_remote_ejections("x", {"a": 0.0}, 19.0)
    assert not ejector.may_probe("a", True, 21.0)
    assert ejector.may_probe("a", True, 29.0)
    ejector.probe_started("a")
    assert ejector.record_success("a", 30.0, probe=True)
    # Failures reported from before the success do not eject the target again.
    for daemon in "xy":
        ejector.update_remote_ejections(daemon, {"a": 1.0}, 30.5)
    assert ejector.apply_remote_ejections(30.5) == []

"""Tests of ejection."""

import math

import hypothesis.strategies as st
from hypothesis import given, settings

from ..ejection import LONGEST_BACK_OFF_S, Ejector

names = [f"t{n}" for n in range(7)]
steps = st.tuples(
    st.sampled_from(
        ["failed", "failed", "failed", "succeeded", "probe", "shrink", "news"]
    ),
    st.sampled_from(names),
    st.floats(0, 15),
    st.booleans(),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.floats(0, 1), st.lists(steps, max_size=150))
def test_ejection_never_exceeds_its_cap(cap, actions):
    # Guards against ejecting so many targets that the others are overrun, also
    # when the pool shrinks while some are out.
    ejector = Ejector(cap)
    present = names
    ejector.use_targets(present)
    now = 0.0
    for action, target, elapsed, index in actions:
        now += elapsed
        if action == "shrink":
            present = present[:-1] if len(present) > 1 else names
            ejector.use_targets(present)
        elif target not in present:
            continue
        elif action == "probe":
            if ejector.may_probe(target, True, now):
                ejector.probe_started(target)
        elif action == "failed":
            ejector.failed(target, now, probe=index)
        elif action == "news":
            ejector.use_news("xyz"[int(now) % 3], {target: elapsed}, now)
            ejector.adopt(now)
        else:
            ejector.succeeded(target, now, probe=index)
        assert len(ejector.ejected) <= math.ceil(cap * len(present))
        assert len(ejector.ejected) < len(present)


def test_one_probe_decides_after_growing_waits():
    # Guards against a failing target that gets more than one request per
    # back-off, and against one that never comes back.
    ejector = Ejector()
    ejector.use_targets(["a", "b"])
    for _ in range(3):
        ejector.failed("a", 0.0)
    now, probes = 0.0, []
    while len(probes) < 6:
        now += 0.5
        if ejector.may_probe("a", True, now):
            probes.append(now)
            ejector.probe_started("a")
            assert not ejector.may_probe("a", True, now + 1000)
            ejector.failed("a", now)
            assert not ejector.may_probe("a", True, now + 1000)
            ejector.failed("a", now, probe=True)
    gaps = [late - early for early, late in zip(probes, probes[1:], strict=False)]
    assert gaps == [20, 40, 60, 60, 60]
    assert max(gaps) == LONGEST_BACK_OFF_S
    ejector.probe_started("a")
    assert not ejector.succeeded("a", now)
    assert ejector.succeeded("a", now, probe=True)
    assert ejector.ejected == ()


def test_target_that_fails_half_of_its_requests_is_ejected():
    # Guards against a target whose failures never come in a row.
    ejector = Ejector()
    ejector.use_targets(["a", "b"])
    for n in range(200):
        ejector.failed("a", float(n))
        ejector.succeeded("a", float(n))
        if ejector.ejected:
            break
    assert ejector.ejected == ("a",)


def test_daemons_eject_and_probe_together():
    # Guards against an outage that each daemon finds out and probes by itself, and
    # against one daemon that takes a target away from all others.
    ejector = Ejector()
    ejector.use_targets(["a", "b"])
    ejector.use_news("x", {"a": 1.0}, 10.0)
    assert ejector.adopt(10.0) == []
    ejector.use_news("x", {"a": 1.0, "b": 1.0}, 10.0)
    ejector.use_news("y", {"a": 0.0, "b": 1.0}, 10.0)
    assert ejector.adopt(10.0) == ["a"]
    ejector.use_news("x", {"a": 0.0}, 19.0)
    assert not ejector.may_probe("a", True, 21.0)
    assert ejector.may_probe("a", True, 29.0)
    ejector.probe_started("a")
    assert ejector.succeeded("a", 30.0, probe=True)
    # What was told before the success does not eject the target again.
    for daemon in "xy":
        ejector.use_news(daemon, {"a": 1.0}, 30.5)
    assert ejector.adopt(30.5) == []

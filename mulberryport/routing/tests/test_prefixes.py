"""Tests of what targets are believed to keep of prompts."""

import hypothesis.strategies as st
from attrs import evolve
from hypothesis import given, settings

from ..prefixes import MAX_PARTS, RETENTION_S, KeptPrefixes
from .builders import view

SHARED, OWN = ("aa", 300), ("bb", 20)
TARGET = view("t", born=1, versions={"m": 3})


def _started(now=0.0, **values):
    prefixes = KeptPrefixes(**values)
    return prefixes, prefixes.start(TARGET, "m", (SHARED, OWN), 10.0, now)


def _kept(prefixes, parts=(SHARED, ("cc", 5)), model="m", now=1.0):
    return prefixes.kept_tokens("t", model, parts, now)


def test_a_part_counts_only_after_all_parts_before_it():
    # Guards against savings that a target cannot make.
    prefixes, _ = _started()
    assert _kept(prefixes) == 300
    assert _kept(prefixes, (("cc", 5), SHARED)) == 0
    assert _kept(prefixes, model="other") == 0
    assert set(prefixes.holders("m", (SHARED,))) == {"t"}


def test_restart_and_new_weights_discard_what_was_kept():
    # Guards against requests that go to a target for what it has lost.
    for changed in (
        evolve(TARGET, born=2),
        evolve(TARGET, versions={"m": 4}),
    ):
        prefixes, _ = _started()
        prefixes.update(TARGET, 0.0)
        assert _kept(prefixes) == 300
        prefixes.update(changed, 0.0)
        assert _kept(prefixes) == 0
        assert not prefixes.holders("m", (SHARED,))
    prefixes, _ = _started()
    prefixes.retain([])
    assert _kept(prefixes) == 0


def test_least_recently_used_parts_yield_to_running_requests():
    # Guards against parts that are believed to be kept in a memory that ran over.
    prefixes, _ = _started(memory_tokens=1000)
    prefixes.start(TARGET, "m", (("dd", 300), ("ee", 20)), 10.0, 0.0)
    assert _kept(prefixes) == 300
    long = prefixes.start(TARGET, "m", (("dd", 300), ("ff", 20)), 500.0, 0.0)
    assert _kept(prefixes) == 0
    assert _kept(prefixes, (("dd", 300),)) == 300
    prefixes.finish(long, True)
    prefixes.update(TARGET, other_requests=3.0)
    assert _kept(prefixes, (("dd", 300),)) == 0


def test_target_that_refuses_keeps_nothing_for_the_model():
    # Guards against requests that all go to a target that is loading new weights, and
    # against a full target that looks better with each refusal.
    prefixes, reading = _started()
    prefixes.start(TARGET, "m", (SHARED, OWN), 10.0, 0.0)
    prefixes.start(TARGET, "other", (SHARED, OWN), 10.0, 0.0)
    prefixes.finish(reading, was_read=False)
    assert _kept(prefixes) == 0
    assert _kept(prefixes, model="other") == 300
    assert prefixes.free_tokens("t", 0.0) == float("inf")


def test_parts_expire_and_their_number_is_bounded():
    # Guards against a state that grows with each prompt.
    prefixes, _ = _started()
    assert _kept(prefixes, now=RETENTION_S + 1.0) == 0
    for number in range(MAX_PARTS):
        prefixes.start(TARGET, "m", ((f"{number:x}0", 1),), 1.0, 0.0)
    assert _kept(prefixes) == 0
    assert len(prefixes._holders) <= MAX_PARTS


parts = st.lists(
    st.tuples(st.sampled_from(["", "a", "b", "c", "d"]), st.integers(0, 2**31)),
    max_size=4,
).map(tuple)
steps = st.lists(
    st.tuples(
        parts,
        st.floats(0, 1e9),
        st.booleans(),
        st.integers(0, 2),
        st.integers(0, 2),
        st.floats(0, 100),
    ),
    max_size=30,
)


@settings(derandomize=True, deadline=None)
@given(steps, st.integers(0, 2000))
def test_sums_stay_right_for_any_sequence(history, memory_tokens):
    # Guards against memory that fills or empties by itself, and index entries that
    # outlive what they name.
    prefixes = KeptPrefixes(memory_tokens)
    readings = []
    for now, (prompt, events, was_read, born, version, others) in enumerate(history):
        target = view("t", born=born, versions={"m": version})
        reading = prefixes.start(target, "m", prompt, events, float(now))
        if reading is not None:
            readings.append(reading)
        prefixes.update(target, others)
        if was_read and readings:
            prefixes.finish(readings.pop(0), was_read=now % 2 == 0)
        assert prefixes.free_tokens("t", others) >= 0.0
        memory = prefixes._memories.get("t")
        stored = memory.parts if memory else {}
        assert prefixes._holders.keys() == stored.keys()
        assert sum(tokens for tokens, _ in stored.values()) == (
            memory.kept_tokens if memory else 0
        )
        if memory_tokens:
            assert not memory or memory.kept_tokens <= memory_tokens
    for reading in readings:
        prefixes.finish(reading, was_read=True)
    memory = prefixes._memories.get("t")
    assert memory is None or memory.running_tokens < 1.0

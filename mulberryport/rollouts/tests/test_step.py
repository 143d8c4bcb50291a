"""Tests of the state of a step: a state machine against a model, and invariants."""

import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...runtime import InvariantError
from .. import InvalidPullError, Sample, StepState, VersionSpan
from .builders import make_sample, make_spec

SIZES = (3, 1, 5)
SLOTS = sum(SIZES)
BOUND = 1


class StepMachine(RuleBasedStateMachine):
    """Compares a step with a model of its buffered, received and delivered slots."""

    def __init__(self):
        super().__init__()
        self.step = StepState(make_spec(*SIZES, bound=BOUND))
        self.buffered: dict[int, int] = {}
        self.received: set[int] = set()
        self.delivered: set[int] = set()
        self.running: list[int] = []
        self.version = 1

    def needed_slots(self):
        """Return the slots that need a sample."""
        return set(range(SLOTS)) - self.received - self.buffered.keys()

    def bitmap(self, slots):
        """Return the bitmap of a set of slots."""
        return sum(1 << n for n in slots).to_bytes((SLOTS + 7) // 8, "little")

    @rule()
    def start_attempt(self):
        """Start an attempt."""
        slot = self.step.dequeue_slot()
        if slot is not None:
            assert slot in self.needed_slots()
            self.running.append(slot)

    @rule(age=st.integers(0, 3), data=st.data())
    def finish_attempt(self, age, data):
        """Finish an attempt with a sample that lags some versions behind."""
        if not self.running:
            return
        slot = data.draw(st.sampled_from(self.running))
        self.running.remove(slot)
        version = max(1, self.version - age)
        expected = slot in self.needed_slots() and self.version - version <= BOUND
        group, index = self.step.group_and_index(slot)
        assert self.step.fill_slot(make_sample(group, index, version)) == expected
        if expected:
            self.buffered[slot] = version
        self.step.requeue_slot(slot)

    @rule(rise=st.integers(0, 2), limit=st.integers(1, 4), data=st.data())
    def pull(self, rise, limit, data):
        """Pull with the received slots, and possibly a higher version."""
        confirmed = data.draw(st.sets(st.sampled_from(sorted(self.delivered) or [0])))
        self.received |= confirmed & self.delivered
        self.version += rise
        samples = self.step.pull(self.version, self.bitmap(self.received), limit)
        self.buffered = {
            slot: version
            for slot, version in self.buffered.items()
            if slot not in self.received and self.version - version <= BOUND
        }
        slots = [self.step.slot_of(sample) for sample in samples]
        assert len(slots) == len(set(slots)) == min(limit, len(self.buffered))
        assert set(slots) <= self.buffered.keys()
        self.delivered |= set(slots)

    @rule(oversized=st.booleans())
    def invalid_pull(self, oversized):
        """Pull with an oversized bitmap or a decreased version."""
        bitmap = b"\xff" * 4 if oversized else self.bitmap(self.received)
        with pytest.raises(InvalidPullError):
            self.step.pull(self.version if oversized else self.version - 1, bitmap, 4)

    @invariant()
    def counts_agree(self):
        """Compare the counts with the model."""
        assert self.step.remaining == SLOTS - len(self.received)
        assert self.step.unfilled == len(self.needed_slots())
        assert len(self.step.buffered_samples()) == len(self.buffered)
        assert self.step.buffered_tokens == 2 * len(self.buffered)

    def teardown(self):
        """Check that each slot that needs a sample is queued or has an attempt."""
        # The sample of a slot that is neither filled, received, running nor queued
        # would never be generated.
        queued = set()
        while (slot := self.step.dequeue_slot()) is not None:
            queued.add(slot)
        assert self.needed_slots() <= queued | set(self.running)


TestStepAgainstModel = StepMachine.TestCase
TestStepAgainstModel.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


def test_samples_without_complete_versions_or_score_violate_an_invariant():
    # Guards against samples with missing or incomplete spans, or without a score, at
    # the last check before delivery (invariant 1).
    step = StepState(make_spec(2))
    for spans in ((), (VersionSpan(0, 2),), (VersionSpan(1, 1),)):
        with pytest.raises(InvariantError):
            step.fill_slot(Sample(0, 0, ("a", "b"), spans, "e1"))
    with pytest.raises(InvariantError):
        StepState(make_spec(1, scoring_route="s")).fill_slot(make_sample(0, 0))


def test_pull_of_a_large_step_does_not_scan_its_slots():
    # Guards against a pull whose cost is proportional to the size of the step. With
    # half of 4,096 slots buffered, each of 2,000 pulls may take 4 ms: at ten pulls per
    # second this is the 4% of a core that is available for control work.
    step = StepState(make_spec(*[8] * 512))
    for slot in range(2048):
        step.fill_slot(make_sample(*step.group_and_index(slot)))
    received = 0
    started = time.process_time()
    for slot in range(2000):
        step.pull(1, received.to_bytes(512, "little"), 1)
        received |= 1 << slot
        assert step.dequeue_slot() is not None
    assert (time.process_time() - started) / 2000 < 0.004
    assert step.remaining == 4096 - 1999

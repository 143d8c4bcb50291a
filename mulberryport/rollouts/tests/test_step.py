"""Slots of a step: property-based against a model, and its invariants."""

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
    """Compares a step with a model: a dict of finished and a set of received slots."""

    def __init__(self):
        super().__init__()
        self.step = StepState(make_spec(*SIZES, bound=BOUND))
        self.ready: dict[int, int] = {}
        self.received: set[int] = set()
        self.delivered: set[int] = set()
        self.running: list[int] = []
        self.version = 1

    def wanted(self):
        """Return the slots that need a sample."""
        return set(range(SLOTS)) - self.received - self.ready.keys()

    def bitmap(self, numbers):
        """Return the bitmap of some slots."""
        return sum(1 << n for n in numbers).to_bytes((SLOTS + 7) // 8, "little")

    @rule()
    def take(self):
        """Start an attempt."""
        number = self.step.take()
        if number is not None:
            assert number in self.wanted()
            self.running.append(number)

    @rule(age=st.integers(0, 3), data=st.data())
    def finish(self, age, data):
        """Finish an attempt with a sample of some age."""
        if not self.running:
            return
        number = data.draw(st.sampled_from(self.running))
        self.running.remove(number)
        version = max(1, self.version - age)
        expected = number in self.wanted() and self.version - version <= BOUND
        group, index = self.step.position(number)
        assert self.step.fill(make_sample(group, index, version)) == expected
        if expected:
            self.ready[number] = version
        self.step.put_back(number)

    @rule(rise=st.integers(0, 2), limit=st.integers(1, 4), data=st.data())
    def pull(self, rise, limit, data):
        """Pull with a received set and a version."""
        confirmed = data.draw(st.sets(st.sampled_from(sorted(self.delivered) or [0])))
        self.received |= confirmed & self.delivered
        self.version += rise
        samples = self.step.pull(self.version, self.bitmap(self.received), limit)
        self.ready = {
            number: version
            for number, version in self.ready.items()
            if number not in self.received and self.version - version <= BOUND
        }
        numbers = [self.step.number(sample) for sample in samples]
        assert len(numbers) == len(set(numbers)) == min(limit, len(self.ready))
        assert set(numbers) <= self.ready.keys()
        self.delivered |= set(numbers)

    @rule(late=st.booleans())
    def hostile_pull(self, late):
        """Pull with a bitmap or a version that does not fit."""
        bitmap = b"\xff" * 4 if late else self.bitmap(self.received)
        with pytest.raises(InvalidPullError):
            self.step.pull(self.version if late else self.version - 1, bitmap, 4)

    @invariant()
    def counts_agree(self):
        """Compare the counts with the model."""
        assert self.step.remaining == SLOTS - len(self.received)
        assert self.step.unfilled == len(self.wanted())
        assert len(self.step.finished()) == len(self.ready)
        assert self.step.held_tokens == 2 * len(self.ready)

    def teardown(self):
        """Check that no slot was forgotten."""
        # A slot that is neither filled, received nor worked on must be in the queue,
        # or its sample would never be generated.
        queued = set()
        while (number := self.step.take()) is not None:
            queued.add(number)
        assert self.wanted() <= queued | set(self.running)


TestStepAgainstModel = StepMachine.TestCase
TestStepAgainstModel.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


def test_sample_without_whole_label_stops_the_program():
    # Guards invariant 1 at the last place before delivery.
    step = StepState(make_spec(2))
    for spans in ((), (VersionSpan(0, 2),), (VersionSpan(1, 1),)):
        with pytest.raises(InvariantError):
            step.fill(Sample(0, 0, ("a", "b"), spans, "e1"))
    with pytest.raises(InvariantError):
        StepState(make_spec(1, scoring_route="s")).fill(make_sample(0, 0))


def test_pull_of_a_large_step_does_not_scan_its_slots():
    # Guards against work in proportion to the slots: half of 4,096 slots are ready,
    # and 2,000 pulls of one sample each must fit the 4% of a core for control work
    # at ten pulls a second, which is 4 ms each.
    step = StepState(make_spec(*[8] * 512))
    for number in range(2048):
        step.fill(make_sample(*step.position(number)))
    received = 0
    started = time.process_time()
    for number in range(2000):
        step.pull(1, received.to_bytes(512, "little"), 1)
        received |= 1 << number
        assert step.take() is not None
    assert (time.process_time() - started) / 2000 < 0.004
    assert step.remaining == 4096 - 1999

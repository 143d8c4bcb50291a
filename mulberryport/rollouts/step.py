"""State of one open step at its owner.

The cost of each operation is proportional to the number of slots that changed, not
to the size of the step: a pull from a step of 4,096 slots in which few changed must
be cheap.
"""

from collections import deque
from itertools import accumulate

from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.invariants import require
from .model import Sample, StepSpec

__all__ = ["InvalidPullError", "StepState", "decode_slot_bitmap"]

# Bounds the size of one response: about 4 MB at 8 bytes per token.
MAX_PULL_TOKENS = 500_000


class InvalidPullError(ValueError):
    """The step's owner rejected a pull; the state of the step is unchanged."""


def decode_slot_bitmap(received: bytes) -> list[int]:
    """Return the numbers of the slots whose bits are set in a bitmap.

    Bit ``n % 8`` of byte ``n // 8`` represents slot ``n``; slots are numbered in
    order of group and index.

    Examples
    --------
    >>> decode_slot_bitmap(bytes([0b101, 1]))
    [0, 2, 8]
    """
    return [
        byte_index * 8 + bit
        for byte_index, byte in enumerate(received)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    ]


@define(eq=False)
class StepState:
    """Slots of a step and the samples that fill them.

    A slot is filled by the first attempt that finishes. A slot that the trainer has
    received is never filled or sent again. Finished samples are buffered until the
    trainer has received them.

    Parameters
    ----------
    spec : StepSpec
        Specification of the step.
    """

    spec: StepSpec
    trainer_version: int = field(init=False)
    last_activity_at: float = field(factory=boottime)
    buffered_tokens: int = 0
    _first_slots: list[int] = field(init=False)
    _group_by_slot: list[int] = field(init=False)
    _received_bits: int = 0
    _remaining_count: int = field(init=False)
    _buffered_samples: dict[int, Sample] = field(factory=dict)
    _slots_by_oldest_version: dict[int, set[int]] = field(factory=dict)
    _attempt_queue: deque[int] = field(init=False)
    _queued_slots: set[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Assign slot numbers in order of group and index, and queue all slots."""
        sizes = [group.samples for group in self.spec.groups]
        self._first_slots = [0, *accumulate(sizes)]
        self._group_by_slot = [g for g, size in enumerate(sizes) for _ in range(size)]
        self._remaining_count = self._first_slots[-1]
        self._attempt_queue = deque(range(self._remaining_count))
        self._queued_slots = set(self._attempt_queue)
        self.trainer_version = self.spec.weight_version

    @property
    def slot_count(self) -> int:
        """Number of slots."""
        return self._first_slots[-1]

    @property
    def remaining(self) -> int:
        """Number of slots that the trainer has not received."""
        return self._remaining_count

    @property
    def unfilled(self) -> int:
        """Number of slots that are neither filled nor received."""
        return self._remaining_count - len(self._buffered_samples)

    @property
    def oldest_allowed_version(self) -> int:
        """Oldest weight version that the staleness bound permits."""
        return self.trainer_version - self.spec.staleness_bound

    @property
    def received_bitmap(self) -> bytes:
        """Bitmap of the slots that the trainer has received."""
        return self._received_bits.to_bytes((self.slot_count + 7) // 8, "little")

    def group_and_index(self, slot: int) -> tuple[int, int]:
        """Return the group and the index of a slot."""
        group = self._group_by_slot[slot]
        return group, slot - self._first_slots[group]

    def slot_of(self, sample: Sample) -> int | None:
        """Return the number of a sample's slot, or None if there is none."""
        if not 0 <= sample.group < len(self.spec.groups):
            return None
        if not 0 <= sample.index < self.spec.groups[sample.group].samples:
            return None
        return self._first_slots[sample.group] + sample.index

    def needs_sample(self, slot: int) -> bool:
        """Return whether a slot is neither filled nor received."""
        return (
            slot not in self._buffered_samples and not self._received_bits >> slot & 1
        )

    def dequeue_slot(self) -> int | None:
        """Remove the next slot that needs a sample from the queue, or return None."""
        while self._attempt_queue:
            slot = self._attempt_queue.popleft()
            self._queued_slots.discard(slot)
            if self.needs_sample(slot):
                return slot
        return None

    def requeue_slot(self, slot: int) -> None:
        """Queue a slot for another attempt, ahead of the slots without an attempt."""
        if self.needs_sample(slot) and slot not in self._queued_slots:
            self._attempt_queue.appendleft(slot)
            self._queued_slots.add(slot)

    def fill_slot(self, sample: Sample) -> bool:
        """Fill the slot of a sample; return False if it is not needed or too old."""
        slot = self.slot_of(sample)
        if slot is None or not self.needs_sample(slot):
            return False
        require(
            bool(sample.spans)
            and all(s.version > 0 and s.tokens > 0 for s in sample.spans)
            and sum(span.tokens for span in sample.spans) == len(sample.tokens),
            "sample_names_its_versions",
            target=sample.target,
            spans=[(span.version, span.tokens) for span in sample.spans],
        )
        require(
            not self.spec.scoring_route or sample.score is not None,
            "sample_has_its_score",
            target=sample.target,
        )
        if self._is_stale(sample):
            return False
        self._buffered_samples[slot] = sample
        self._slots_by_oldest_version.setdefault(sample.oldest_version, set()).add(slot)
        self.buffered_tokens += len(sample.tokens)
        return True

    def mark_received(self, received: bytes) -> None:
        """Record the slots that the trainer has received and drop their samples.

        Raises
        ------
        InvalidPullError
            If the bitmap contains slots that the step does not have.
        """
        if len(received) > (self.slot_count + 7) // 8:
            raise InvalidPullError(
                f"the bitmap has {len(received)} bytes for {self.slot_count} slots"
            )
        marked = int.from_bytes(received, "little")
        if marked >> self.slot_count:
            raise InvalidPullError(
                f"the bitmap marks slots above {self.slot_count - 1}"
            )
        added = marked & ~self._received_bits
        self._received_bits |= marked
        self._remaining_count -= added.bit_count()
        for slot in decode_slot_bitmap(added.to_bytes(len(received), "little")):
            self._remove_sample(slot)

    def pull(self, weight_version: int, received: bytes, limit: int) -> list[Sample]:
        """Return buffered samples, at most ``limit`` and of bounded total size.

        Samples that exceed the staleness bound at the trainer's version are
        discarded first, and their slots are queued again.

        Raises
        ------
        InvalidPullError
            If the bitmap does not match the step or the trainer's version decreased.
        """
        if weight_version < self.trainer_version:
            raise InvalidPullError(
                f"the trainer's weight version went back from {self.trainer_version}"
                f" to {weight_version}"
            )
        self.mark_received(received)
        self.last_activity_at = boottime()
        self.trainer_version = weight_version
        self._discard_stale_samples()
        samples: list[Sample] = []
        tokens = 0
        for sample in self._buffered_samples.values():
            tokens += len(sample.tokens)
            if len(samples) >= limit or (samples and tokens > MAX_PULL_TOKENS):
                break
            require(
                weight_version - sample.oldest_version <= self.spec.staleness_bound,
                "sample_within_staleness_bound",
                version=weight_version,
                oldest=sample.oldest_version,
            )
            samples.append(sample)
        return samples

    def buffered_samples(self) -> list[Sample]:
        """Return all finished samples that the trainer has not received."""
        return list(self._buffered_samples.values())

    def is_buffered(self, sample: Sample) -> bool:
        """Return whether this sample object fills its slot."""
        slot = self.slot_of(sample)
        return slot is not None and self._buffered_samples.get(slot) is sample

    def _discard_stale_samples(self) -> None:
        stale_versions = [
            version
            for version in self._slots_by_oldest_version
            if version < self.oldest_allowed_version
        ]
        for version in stale_versions:
            for slot in list(self._slots_by_oldest_version[version]):
                self._remove_sample(slot)
                self.requeue_slot(slot)

    def _remove_sample(self, slot: int) -> None:
        sample = self._buffered_samples.pop(slot, None)
        if sample is None:
            return
        self.buffered_tokens -= len(sample.tokens)
        same_version_slots = self._slots_by_oldest_version[sample.oldest_version]
        same_version_slots.discard(slot)
        if not same_version_slots:
            del self._slots_by_oldest_version[sample.oldest_version]

    def _is_stale(self, sample: Sample) -> bool:
        return sample.oldest_version < self.oldest_allowed_version

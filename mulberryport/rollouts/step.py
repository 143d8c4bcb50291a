"""The state of one open step at its owner."""

from collections.abc import Iterator

from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.invariants import require
from .model import Sample, StepSpec

__all__ = ["Slot", "StepState", "bitmap_slots"]


def bitmap_slots(received: bytes) -> Iterator[int]:
    """Yield the numbers of the slots that a bitmap marks.

    Bit ``n % 8`` of byte ``n // 8`` stands for slot ``n``; slots are numbered by
    group and index.

    Examples
    --------
    >>> list(bitmap_slots(bytes([0b101, 1])))
    [0, 2, 8]
    """
    for position, byte in enumerate(received):
        for bit in range(8):
            if byte >> bit & 1:
                yield position * 8 + bit


@define(eq=False)
class Slot:
    """One wanted sample.

    Parameters
    ----------
    number : int
        Position among all slots of the step.
    group, index : int
        Group and position within it.
    """

    number: int
    group: int
    index: int
    sample: Sample | None = None
    running: int = 0
    received: bool = False


@define(eq=False)
class StepState:
    """Slots of a step and the samples that fill them.

    A slot is filled by the first attempt that finishes; a slot that the trainer
    received is never filled or sent again.
    """

    spec: StepSpec
    slots: list[Slot] = field(init=False)
    trainer_version: int = field(init=False)
    touched_at: float = field(factory=boottime)

    def __attrs_post_init__(self) -> None:
        """Create the slots in order of group and index."""
        pairs = [
            (group, index)
            for group, spec in enumerate(self.spec.groups)
            for index in range(spec.samples)
        ]
        self.slots = [Slot(n, group, index) for n, (group, index) in enumerate(pairs)]
        self.trainer_version = self.spec.weight_version

    def next_slot(self) -> Slot | None:
        """Return the first slot that nobody works on, or None."""
        for slot in self.slots:
            if slot.sample is None and not slot.received and not slot.running:
                return slot
        return None

    def fill(self, sample: Sample) -> bool:
        """Fill the slot of a sample; false if it was filled or received before."""
        slot = self._slot(sample.group, sample.index)
        if slot.sample is not None or slot.received or self._stale(sample):
            return False
        require(bool(sample.spans), "sample_names_its_versions", target=sample.target)
        slot.sample = sample
        return True

    def pull(self, weight_version: int, received: bytes, limit: int) -> list[Sample]:
        """Return finished samples that the trainer has not received.

        Samples that are too old for the trainer's version are discarded, so that
        their slots are generated again.
        """
        self.touched_at = boottime()
        self.trainer_version = max(self.trainer_version, weight_version)
        for number in bitmap_slots(received):
            if number < len(self.slots):
                self.slots[number].received = True
                self.slots[number].sample = None
        for slot in self.slots:
            if slot.sample is not None and self._stale(slot.sample):
                slot.sample = None
        ready = [slot.sample for slot in self.slots if slot.sample is not None]
        for sample in ready[:limit]:
            require(
                weight_version - sample.oldest_version <= self.spec.staleness_bound,
                "sample_within_staleness_bound",
                version=weight_version,
                oldest=sample.oldest_version,
            )
        return ready[:limit]

    @property
    def remaining(self) -> int:
        """Slots that the trainer has not received."""
        return sum(not slot.received for slot in self.slots)

    def _slot(self, group: int, index: int) -> Slot:
        first = sum(spec.samples for spec in self.spec.groups[:group])
        return self.slots[first + index]

    def _stale(self, sample: Sample) -> bool:
        behind = self.trainer_version - sample.oldest_version
        return behind > self.spec.staleness_bound

"""The state of one open step at its owner.

All operations cost time in proportion to what changed, not to the slots of the
step: a pull of a step of 4,096 slots in which little changed must be cheap.
"""

from collections import deque
from itertools import accumulate

from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.invariants import require
from .model import Sample, StepSpec

__all__ = ["InvalidPullError", "StepState", "bitmap_slots"]

# Text of one answer; about 4 MB at 8 bytes a token.
MAX_PULL_TOKENS = 500_000


class InvalidPullError(ValueError):
    """A pull that the step's owner refuses; nothing was changed."""


def bitmap_slots(received: bytes) -> list[int]:
    """Return the numbers of the slots that a bitmap marks.

    Bit ``n % 8`` of byte ``n // 8`` stands for slot ``n``; slots are numbered by
    group and index.

    Examples
    --------
    >>> bitmap_slots(bytes([0b101, 1]))
    [0, 2, 8]
    """
    return [
        position * 8 + bit
        for position, byte in enumerate(received)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    ]


@define(eq=False)
class StepState:
    """Slots of a step and the samples that fill them.

    A slot is filled by the first attempt that finishes; a slot that the trainer
    received is never filled or sent again.

    Parameters
    ----------
    spec : StepSpec
        What the trainer asked for.
    """

    spec: StepSpec
    trainer_version: int = field(init=False)
    touched_at: float = field(factory=boottime)
    held_tokens: int = 0
    _first: list[int] = field(init=False)
    _group_of: list[int] = field(init=False)
    _received: int = 0
    _remaining: int = field(init=False)
    _ready: dict[int, Sample] = field(factory=dict)
    _by_oldest: dict[int, set[int]] = field(factory=dict)
    _queue: deque[int] = field(init=False)
    _queued: set[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Give the slots numbers in order of group and index."""
        sizes = [group.samples for group in self.spec.groups]
        self._first = [0, *accumulate(sizes)]
        self._group_of = [g for g, size in enumerate(sizes) for _ in range(size)]
        self._remaining = self._first[-1]
        self._queue = deque(range(self._remaining))
        self._queued = set(self._queue)
        self.trainer_version = self.spec.weight_version

    @property
    def slots(self) -> int:
        """Number of slots."""
        return self._first[-1]

    @property
    def remaining(self) -> int:
        """Slots that the trainer has not received."""
        return self._remaining

    @property
    def unfilled(self) -> int:
        """Slots that were neither filled nor received."""
        return self._remaining - len(self._ready)

    @property
    def oldest_allowed(self) -> int:
        """The oldest weight version that the trainer still accepts."""
        return self.trainer_version - self.spec.staleness_bound

    @property
    def received(self) -> bytes:
        """Bitmap of the slots that the trainer received."""
        return self._received.to_bytes((self.slots + 7) // 8, "little")

    def position(self, number: int) -> tuple[int, int]:
        """Return group and index of a slot."""
        group = self._group_of[number]
        return group, number - self._first[group]

    def number(self, sample: Sample) -> int | None:
        """Return the number of a sample's slot, None if there is no such slot."""
        if not 0 <= sample.group < len(self.spec.groups):
            return None
        if not 0 <= sample.index < self.spec.groups[sample.group].samples:
            return None
        return self._first[sample.group] + sample.index

    def wanted(self, number: int) -> bool:
        """Whether a slot is neither filled nor received."""
        return number not in self._ready and not self._received >> number & 1

    def take(self) -> int | None:
        """Return a slot that needs an attempt and remove it from the queue."""
        while self._queue:
            number = self._queue.popleft()
            self._queued.discard(number)
            if self.wanted(number):
                return number
        return None

    def put_back(self, number: int) -> None:
        """Queue a slot for another attempt, before slots that had none."""
        if self.wanted(number) and number not in self._queued:
            self._queue.appendleft(number)
            self._queued.add(number)

    def fill(self, sample: Sample) -> bool:
        """Fill the slot of a sample; false if that is not wanted any more."""
        number = self.number(sample)
        if number is None or not self.wanted(number):
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
        if self._stale(sample):
            return False
        self._ready[number] = sample
        self._by_oldest.setdefault(sample.oldest_version, set()).add(number)
        self.held_tokens += len(sample.tokens)
        return True

    def mark_received(self, received: bytes) -> None:
        """Note which slots the trainer has.

        Raises
        ------
        InvalidPullError
            The bitmap marks slots that the step does not have.
        """
        if len(received) > (self.slots + 7) // 8:
            raise InvalidPullError(
                f"the bitmap has {len(received)} bytes for {self.slots} slots"
            )
        marked = int.from_bytes(received, "little")
        if marked >> self.slots:
            raise InvalidPullError(f"the bitmap marks slots above {self.slots - 1}")
        added = marked & ~self._received
        self._received |= marked
        self._remaining -= added.bit_count()
        for number in bitmap_slots(added.to_bytes(len(received), "little")):
            self._drop(number)

    def pull(self, weight_version: int, received: bytes, limit: int) -> list[Sample]:
        """Return finished samples that the trainer has not received.

        Samples that are too old for the trainer's version are discarded, so that
        their slots are generated again.

        Raises
        ------
        InvalidPullError
            The bitmap does not fit, or the trainer's version went back.
        """
        if weight_version < self.trainer_version:
            raise InvalidPullError(
                f"the trainer's weight version went back from {self.trainer_version}"
                f" to {weight_version}"
            )
        self.mark_received(received)
        self.touched_at = boottime()
        self.trainer_version = weight_version
        self._discard_stale()
        samples: list[Sample] = []
        tokens = 0
        for sample in self._ready.values():
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

    def finished(self) -> list[Sample]:
        """Return all finished samples that the trainer has not received."""
        return list(self._ready.values())

    def holds(self, sample: Sample) -> bool:
        """Whether this sample fills its slot."""
        number = self.number(sample)
        return number is not None and self._ready.get(number) is sample

    def _discard_stale(self) -> None:
        old = [version for version in self._by_oldest if version < self.oldest_allowed]
        for version in old:
            for number in list(self._by_oldest[version]):
                self._drop(number)
                self.put_back(number)

    def _drop(self, number: int) -> None:
        sample = self._ready.pop(number, None)
        if sample is None:
            return
        self.held_tokens -= len(sample.tokens)
        same_age = self._by_oldest[sample.oldest_version]
        same_age.discard(number)
        if not same_age:
            del self._by_oldest[sample.oldest_version]

    def _stale(self, sample: Sample) -> bool:
        return sample.oldest_version < self.oldest_allowed

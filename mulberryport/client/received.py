"""Set of the slots of a step that a trainer has received."""

from collections.abc import Sequence
from itertools import accumulate

from attrs import define, field

__all__ = ["ReceivedSet"]


@define(eq=False)
class ReceivedSet:
    r"""Set of received slots of a step, addressed by group and index.

    Parameters
    ----------
    sizes : sequence of int
        Number of samples in each group.

    Examples
    --------
    >>> received = ReceivedSet([2, 3])
    >>> received.add(1, 0), received.add(1, 0)
    (True, False)
    >>> received.bitmap, received.missing_count
    (b'\x04', 4)
    """

    group_sizes: Sequence[int]
    missing_count: int = field(init=False)
    _group_offsets: list[int] = field(init=False)
    _bitmap: bytearray = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Initialize an empty set."""
        self._group_offsets = [0, *accumulate(self.group_sizes)]
        self.missing_count = self._group_offsets[-1]
        self._bitmap = bytearray((self.missing_count + 7) // 8)

    @property
    def bitmap(self) -> bytes:
        """The set as a bitmap; bit ``n % 8`` of byte ``n // 8`` is slot ``n``."""
        return bytes(self._bitmap)

    def add(self, group: int, index: int) -> bool:
        """Add a slot; return False if it is already in the set or does not exist."""
        if (
            not 0 <= group < len(self.group_sizes)
            or not 0 <= index < self.group_sizes[group]
        ):
            return False
        slot = self._group_offsets[group] + index
        mask = 1 << (slot % 8)
        if self._bitmap[slot // 8] & mask:
            return False
        self._bitmap[slot // 8] |= mask
        self.missing_count -= 1
        return True

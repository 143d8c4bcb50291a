"""Which slots of a step a trainer has received."""

from collections.abc import Sequence
from itertools import accumulate

from attrs import define, field

__all__ = ["ReceivedSet"]


@define(eq=False)
class ReceivedSet:
    r"""The received slots of a step, numbered by group and index.

    Parameters
    ----------
    sizes : sequence of int
        Samples of each group.

    Examples
    --------
    >>> received = ReceivedSet([2, 3])
    >>> received.add(1, 0), received.add(1, 0)
    (True, False)
    >>> received.bitmap, received.missing
    (b'\x04', 4)
    """

    sizes: Sequence[int]
    missing: int = field(init=False)
    _first: list[int] = field(init=False)
    _bits: bytearray = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no slot received."""
        self._first = [0, *accumulate(self.sizes)]
        self.missing = self._first[-1]
        self._bits = bytearray((self.missing + 7) // 8)

    @property
    def bitmap(self) -> bytes:
        """Bit ``n % 8`` of byte ``n // 8`` stands for slot ``n``."""
        return bytes(self._bits)

    def add(self, group: int, index: int) -> bool:
        """Note a slot; false if it was received before or does not exist."""
        if not 0 <= group < len(self.sizes) or not 0 <= index < self.sizes[group]:
            return False
        number = self._first[group] + index
        mask = 1 << (number % 8)
        if self._bits[number // 8] & mask:
            return False
        self._bits[number // 8] |= mask
        self.missing -= 1
        return True

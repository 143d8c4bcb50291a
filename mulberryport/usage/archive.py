"""What the store keeps of a shard's reports: frozen windows and the last one sent."""

from attrs import define

from ..leases import Duty
from ..outcomes import Done
from ..store import Conflict, StoreClient
from .windows import LATE_WINDOWS, FrozenWindow, decode_window, encode_window

__all__ = ["WindowArchive"]

# Frozen windows are kept for longer than late usage can refer to them.
KEPT_WINDOWS = LATE_WINDOWS + 2


@define(eq=False)
class WindowArchive:
    """The frozen windows of one shard, as this reporter has read them.

    Functions return None or False when the store gave no answer; the reporter
    tries again at its next turn.

    Parameters
    ----------
    shard : int
        The shard.
    store : StoreClient
        Where they are kept.
    """

    shard: int
    store: StoreClient

    def first_window(self, closed: int) -> int | None:
        """Return the window that follows the last one known to be sent.

        Without any, it is the oldest frozen window, or the one that closed last;
        older usage is carried into that one.
        """
        outcome = self.store.read(self._sent_key)
        if not isinstance(outcome, Done):
            return None
        if outcome.value.value is not None:
            return int(outcome.value.value) + 1
        listed = self.store.list_keys(f"usage/{self.shard}/")
        if not isinstance(listed, Done):
            return None
        names = [key.rpartition("/")[2] for key in listed.value]
        return min((int(name) for name in names if name.isdigit()), default=closed)

    def read(self, window: int) -> FrozenWindow | bool | None:
        """Return a frozen window; False if it is not frozen."""
        outcome = self.store.read(self._key(window))
        if not isinstance(outcome, Done):
            return None
        value = outcome.value.value
        return False if value is None else decode_window(value)

    def read_late(self, window: int) -> dict[int, FrozenWindow] | None:
        """Return the frozen windows before one that late usage can refer to."""
        found: dict[int, FrozenWindow] = {}
        for number in range(max(0, window - LATE_WINDOWS), window):
            frozen = self.read(number)
            if frozen is None:
                return None
            if isinstance(frozen, FrozenWindow):
                found[number] = frozen
        return found

    def freeze(
        self, window: int, proposed: FrozenWindow, duty: Duty
    ) -> FrozenWindow | None:
        """Freeze a window unless that was done before; return what is frozen.

        Raises
        ------
        LeaseLostError
            This daemon is not the reporter any more.
        """
        content = encode_window(proposed)
        duty.guard()
        written = self.store.write(self._key(window), content, 0)
        if not isinstance(written, Done):
            return None
        if not isinstance(written.value, Conflict):
            return proposed
        frozen = self.read(window)
        return frozen if isinstance(frozen, FrozenWindow) else None

    def mark_sent(self, window: int) -> bool:
        """Note that all windows up to one are sent and drop one that is too old."""
        current = self.store.read(self._sent_key)
        if not isinstance(current, Done):
            return False
        known = current.value
        if known.value is None or int(known.value) < window:
            written = self.store.write(
                self._sent_key, str(window).encode(), known.version
            )
            if not isinstance(written, Done) or isinstance(written.value, Conflict):
                return False
        old = self.store.read(self._key(window - KEPT_WINDOWS))
        if isinstance(old, Done) and old.value.version:
            self.store.remove(self._key(window - KEPT_WINDOWS), old.value.version)
        return True

    def _key(self, window: int) -> str:
        return f"usage/{self.shard}/{window}"

    @property
    def _sent_key(self) -> str:
        return f"usage/{self.shard}/sent"

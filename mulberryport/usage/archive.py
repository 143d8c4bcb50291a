"""Stored report state of a shard: frozen windows and the last window sent."""

from attrs import define

from ..leases import Duty
from ..outcomes import Done
from ..store import Conflict, StoreClient
from .windows import MAX_LATE_WINDOWS, FrozenWindow, decode_window, encode_window

__all__ = ["WindowArchive"]

# Frozen windows are retained longer than late usage can refer to them.
RETAINED_WINDOWS = MAX_LATE_WINDOWS + 2


@define(eq=False)
class WindowArchive:
    """Reads and writes the frozen windows of one shard.

    Methods return None or False if the store did not answer; the reporter retries
    in its next pass.

    Parameters
    ----------
    shard : int
        Number of the shard.
    store : StoreClient
        Client of the store that holds the windows.
    """

    shard: int
    store: StoreClient

    def first_unsent_window(self, closed: int) -> int | None:
        """Return the window after the last one recorded as sent.

        If none is recorded, this is the oldest frozen window or else the window that
        closed last; older usage is carried over into it.
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
        """Return a frozen window, or False if the window is not frozen."""
        outcome = self.store.read(self._key(window))
        if not isinstance(outcome, Done):
            return None
        value = outcome.value.value
        return False if value is None else decode_window(value)

    def read_preceding(self, window: int) -> dict[int, FrozenWindow] | None:
        """Return the frozen windows before a window that late usage can refer to."""
        found: dict[int, FrozenWindow] = {}
        for earlier in range(max(0, window - MAX_LATE_WINDOWS), window):
            frozen = self.read(earlier)
            if frozen is None:
                return None
            if isinstance(frozen, FrozenWindow):
                found[earlier] = frozen
        return found

    def freeze(
        self, window: int, proposed: FrozenWindow, duty: Duty
    ) -> FrozenWindow | None:
        """Freeze a window unless it is already frozen and return the frozen one.

        Raises
        ------
        LeaseLostError
            This daemon no longer holds the duty of reporting.
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
        """Record all windows up to this one as sent and remove an expired one."""
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
        old = self.store.read(self._key(window - RETAINED_WINDOWS))
        if isinstance(old, Done) and old.value.version:
            self.store.remove(self._key(window - RETAINED_WINDOWS), old.value.version)
        return True

    def _key(self, window: int) -> str:
        return f"usage/{self.shard}/{window}"

    @property
    def _sent_key(self) -> str:
        return f"usage/{self.shard}/sent"

"""Texts of ended jobs, kept for a while for later jobs that bring the same items."""

import sys

from attrs import define, field, frozen

__all__ = ["CarriedText", "CarriedTexts"]

# A trainer brings unfinished groups again with one of its next steps.
MAX_AGE_S = 60.0
# A small part of what the smallest daemons have.
MAX_BYTES = 12 * 1024 * 1024


@frozen(kw_only=True)
class CarriedText:
    """What an ended job had of the text of an item.

    Parameters
    ----------
    identity : bytes
        Digest of everything that determines the text and its score.
    events : tuple of str
        Data of the events in order; a complete text may be a single string.
    versions : tuple of int
        Weight versions that generated the events.
    software : str
        Software version of the engines that made the events.
    failures : int
        Number of attempts that were reported as failed, over all jobs so far.
    is_complete : bool
        Whether the text is complete and has its score.
    score : str
        Score of a complete text; empty if it needs none.
    """

    identity: bytes
    events: tuple[str, ...] = field(default=(), repr=False)
    versions: tuple[int, ...] = ()
    software: str = ""
    failures: int = 0
    is_complete: bool = False
    score: str = ""

    @property
    def size_bytes(self) -> int:
        """Memory that the text takes, in bytes."""
        return sum(map(sys.getsizeof, (*self.events, self.events, self.versions)))

    def fits(self, oldest_version: int, *, is_single_version: bool) -> bool:
        """Whether a job may list what the versions of the text made.

        Examples
        --------
        >>> text = CarriedText(identity=b"", events=("a", "b"), versions=(3, 4))
        >>> text.fits(3, is_single_version=False)
        True
        >>> text.fits(4, is_single_version=False)
        False
        >>> text.fits(3, is_single_version=True)
        False
        """
        if not self.events or not self.versions:
            return False
        if is_single_version and len(set(self.versions)) > 1:
            return False
        return min(self.versions) >= oldest_version


@define(eq=False)
class CarriedTexts:
    """Texts of ended jobs, by workspace, route and item id.

    The number of bytes and the age of the texts are bounded; the oldest go first.

    Parameters
    ----------
    max_age_s : float
        Seconds for which a text is kept.
    max_bytes : int
        Memory that all texts may take, in bytes.
    """

    max_age_s: float = MAX_AGE_S
    max_bytes: int = MAX_BYTES
    # In the order in which they were kept, with the time of that.
    _texts: dict[tuple[str, str, str], tuple[CarriedText, float]] = field(factory=dict)
    _size_bytes: int = 0

    def __len__(self) -> int:
        return len(self._texts)

    @property
    def size_bytes(self) -> int:
        """Memory that all texts take, in bytes."""
        return self._size_bytes

    def keep(
        self, workspace: str, route: str, item: str, text: CarriedText, now: float
    ) -> None:
        """Keep a text in place of an earlier one of the same item.

        Parameters
        ----------
        now : float
            Boot time in seconds.
        """
        key = (workspace, route, item)
        self._drop(key)
        self._texts[key] = (text, now)
        self._size_bytes += text.size_bytes
        self.drop_old(now)

    def find(
        self, workspace: str, route: str, item: str, now: float
    ) -> CarriedText | None:
        """Return the text of an item, if one is kept."""
        text, kept_at = self._texts.get((workspace, route, item), (None, 0.0))
        return text if now - kept_at <= self.max_age_s else None

    def drop_old(self, now: float) -> None:
        """Drop the texts that are too old, and the oldest ones that are too many."""
        while self._texts:
            key, (_, kept_at) = next(iter(self._texts.items()))
            is_old = now - kept_at > self.max_age_s
            if not is_old and self._size_bytes <= self.max_bytes:
                return
            self._drop(key)

    def _drop(self, key: tuple[str, str, str]) -> None:
        text, _ = self._texts.pop(key, (None, 0.0))
        if text is not None:
            self._size_bytes -= text.size_bytes

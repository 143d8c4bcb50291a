"""What an owner needs to generate the items of a job, and how that can fail."""

from collections.abc import Callable

from attrs import define, field, frozen

from ..routing import TargetView
from .model import Job, JobItem, ScoringCall

__all__ = [
    "EngineStaleError",
    "GenerationBrokenError",
    "ItemFailedError",
    "EngineLeftError",
    "ItemImpossibleError",
    "NotStartedError",
    "Ports",
    "Transcript",
]


class NotStartedError(Exception):
    """The engine did not take the request."""


class GenerationBrokenError(Exception):
    """The stream ended before the text was complete."""


class ItemFailedError(Exception):
    """The engine or the scoring service answered that it failed."""


class ItemImpossibleError(Exception):
    """The engine answered that the item can never be done."""


class EngineStaleError(Exception):
    """The engine's weights are too old for the job."""


class EngineLeftError(Exception):
    """The text goes on at another engine, because this one is slow or leaves."""


@define(eq=False)
class Transcript:
    """The text of an item as far as it was generated.

    Parameters
    ----------
    events : list of str
        Data of the events, the first one having number 1.
    versions : list of int
        Weight version of each event.
    failures : int
        Answers that said that the item failed.
    """

    events: list[str] = field(factory=list, repr=False)
    versions: list[int] = field(factory=list, repr=False)
    failures: int = 0

    def add(self, data: str, version: int) -> None:
        """Append the data of the next event."""
        self.events.append(data)
        self.versions.append(version)

    def restart(self) -> None:
        """Drop the text, so that it is generated from the start."""
        self.events.clear()
        self.versions.clear()


@frozen(kw_only=True)
class Ports:
    """How engines and scoring services are called.

    Parameters
    ----------
    generate : callable
        Called with a target, a job, an item, its transcript and a function to call
        after each event; appends the events that follow, and returns at the end of
        the text. Raises the errors of this module.
    score : callable
        Called with a target, a call and the seconds left; returns the score. Raises
        the errors of this module.
    """

    generate: Callable[[TargetView, Job, JobItem, Transcript, Callable[[], None]], None]
    score: Callable[[TargetView, ScoringCall, float], str]

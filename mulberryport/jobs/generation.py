"""Interface to engines and scoring services, its errors, and partial transcripts."""

from collections.abc import Callable

from attrs import define, field, frozen

from ..routing import TargetView
from .model import Job, JobItem, ScoringCall

__all__ = [
    "DeadlinePassedError",
    "StaleWeightsError",
    "StreamInterruptedError",
    "ItemFailedError",
    "EngineSwitchError",
    "ItemRejectedError",
    "NotStartedError",
    "EngineClient",
    "Transcript",
]


class NotStartedError(Exception):
    """The engine did not start to process the request."""


class StreamInterruptedError(Exception):
    """The response stream ended before the text was complete."""


class DeadlinePassedError(StreamInterruptedError):
    """The time for a request ran out at the target, which is no failure of either."""


class ItemFailedError(Exception):
    """The engine or the scoring service reported a failure of the request."""


class ItemRejectedError(Exception):
    """The engine rejected the item permanently."""


class StaleWeightsError(Exception):
    """The engine's weight version does not meet the job's or route's requirements."""


class EngineSwitchError(Exception):
    """Generation must move to another engine because this one is slow or leaving."""


@define(eq=False)
class Transcript:
    """Partial or complete text of an item.

    Parameters
    ----------
    events : list of str
        Data of the events; event numbers start at 1.
    versions : list of int
        Weight version of each event.
    failures : int
        Number of attempts that the engine or the scoring service reported as failed.
    software : str
        Software version of the engines that made the events.
    earlier_failures : int
        Number of failed attempts in earlier jobs that had the same item.
    """

    events: list[str] = field(factory=list, repr=False)
    versions: list[int] = field(factory=list, repr=False)
    failures: int = 0
    software: str = ""
    earlier_failures: int = 0

    def add(self, data: str, version: int) -> None:
        """Append the data of the next event."""
        self.events.append(data)
        self.versions.append(version)

    def restart(self) -> None:
        """Discard the text, so that generation starts over."""
        self.events.clear()
        self.versions.clear()


@frozen(kw_only=True)
class EngineClient:
    """Calls to engines and scoring services.

    Parameters
    ----------
    generate : callable
        Called with a target, a job, an item, its transcript and a function to call
        after each event. Appends the remaining events to the transcript and returns
        once the text is complete. Raises the errors of this module.
    score : callable
        Called with a target, a scoring call and a timeout in seconds; returns the
        score. Raises the errors of this module.
    """

    generate: Callable[[TargetView, Job, JobItem, Transcript, Callable[[], None]], None]
    score: Callable[[TargetView, ScoringCall, float], str]

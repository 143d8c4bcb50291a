"""Batch jobs, their items and the results of these."""

from attrs import field, frozen

__all__ = ["COMPLETED", "ERRORED", "Job", "JobItem", "JobResult", "ScoringCall"]

COMPLETED = "completed"
ERRORED = "errored"


@frozen
class ScoringCall:
    """The request that scores the text of an item.

    Parameters
    ----------
    id : str
        Id of the request.
    host, path : str
        They select the route.
    body : bytes
        Sent as it is.
    """

    id: str
    host: str
    path: str
    body: bytes = field(repr=False)


@frozen(kw_only=True)
class JobItem:
    """One sample to generate.

    Parameters
    ----------
    id : str
        Id of its requests.
    path : str
        Path at the engine.
    headers : tuple of (str, str)
        Passed to the engine as they are.
    body : bytes
        Passed to the engine as it is.
    group : str
        Items of a group share their prompt.
    model : str
        Model that generates it.
    length_hint : int
        The caller's estimate of the number of output tokens; 0 if there is none.
    scoring : ScoringCall or None
        How the text is scored, if it is.
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    group: str = ""
    model: str = ""
    length_hint: int = 0
    scoring: ScoringCall | None = None


@frozen(kw_only=True)
class Job:
    """Items that were submitted together.

    Parameters
    ----------
    id : str
        Given by the submitter.
    workspace : str
        On whose behalf it runs.
    host : str
        Host of the submission; it selects the route of each item.
    route : str
        Name of the route that admitted it.
    items : tuple of JobItem
        In the order in which they are wanted.
    oldest_version : int
        Oldest weight version that may generate a token; 0 for any.
    wanted_groups : int
        Complete groups that the trainer waits for; 0 for all.
    submitted_at : float
        Seconds since 1970 by the fleet's clock.
    """

    id: str
    workspace: str
    host: str
    route: str
    items: tuple[JobItem, ...] = field(repr=False)
    oldest_version: int = 0
    wanted_groups: int = 0
    submitted_at: float = 0.0

    def item(self, item_id: str) -> JobItem | None:
        """Return an item by its id."""
        return next((item for item in self.items if item.id == item_id), None)


@frozen
class JobResult:
    """What became of an item; it never changes once it is listed.

    Parameters
    ----------
    id : str
        The item.
    state : {'completed', 'errored'}
        Whether there is a text.
    text : str
        The data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated an event of the text.
    score : str
        Answer of the scoring call; empty if there was none.
    """

    id: str
    state: str
    text: str = field(default="", repr=False)
    versions: tuple[int, ...] = ()
    score: str = ""

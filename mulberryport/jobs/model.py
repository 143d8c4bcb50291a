"""Batch jobs, their items and results."""

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
        Host and path, which select the route.
    body : bytes
        Body, sent unchanged.
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
        Id of the item, sent with its requests.
    path : str
        Request path at the engine.
    headers : tuple of (str, str)
        Headers, passed to the engine unchanged.
    body : bytes
        Body, passed to the engine unchanged.
    group : str
        Prompt group; the items of a group share their prompt.
    model : str
        Model that generates the sample.
    length_hint : int
        The caller's estimate of the number of output tokens; 0 if there is none.
    scoring : ScoringCall or None
        Request that scores the text, if any.
    prompt_parts : tuple of (str, int)
        Parts of the prompt in their order: id and tokens. The id is empty if only the
        tokens are known.
    max_output_tokens : int
        Tokens of the longest text that may be generated; 0 if not known.
    urgency : int or None
        How urgent a request for the item is at engines, 0 to 9 with 0 first; set by
        the owner for one request, and never stored. None if it is not told.
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    group: str = ""
    model: str = ""
    length_hint: int = 0
    scoring: ScoringCall | None = None
    prompt_parts: tuple[tuple[str, int], ...] = ()
    max_output_tokens: int = 0
    urgency: int | None = None


@frozen(kw_only=True)
class Job:
    """A batch of items that were submitted together.

    Parameters
    ----------
    id : str
        Id chosen by the submitter.
    workspace : str
        Workspace on whose behalf the job runs.
    host : str
        Host header of the submission, which selects the route of each item.
    route : str
        Name of the route that admitted it.
    items : tuple of JobItem
        Items in the order of the submission.
    oldest_version : int
        Oldest weight version that may generate a token; 0 for any.
    wanted_groups : int
        Number of complete groups that the trainer waits for; 0 for all.
    submitted_at : float
        Seconds since 1970 by the fleet's clock.
    configuration_revision : int
        Revision of the configuration under which the job was accepted; an older one
        says nothing about its routes. 0 if it is not known, because an older build
        accepted the job: any configuration that was read may then be applied to it.
    """

    id: str
    workspace: str
    host: str
    route: str
    items: tuple[JobItem, ...] = field(repr=False)
    oldest_version: int = 0
    wanted_groups: int = 0
    submitted_at: float = 0.0
    configuration_revision: int = 0

    def item(self, item_id: str) -> JobItem | None:
        """Return an item by its id."""
        return next((item for item in self.items if item.id == item_id), None)


@frozen
class JobResult:
    """Result of an item; immutable once committed.

    Parameters
    ----------
    id : str
        Id of the item.
    state : {'completed', 'errored'}
        Whether the item has a text.
    text : str
        The data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated an event of the text.
    score : str
        Response of the scoring call; empty if there was none.
    """

    id: str
    state: str
    text: str = field(default="", repr=False)
    versions: tuple[int, ...] = ()
    score: str = ""

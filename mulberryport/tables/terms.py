"""Terms of routes and callers that only outside configurations set."""

from attrs import frozen

__all__ = ["BatchTerms", "CallerLimits", "PoolShare"]


@frozen
class PoolShare:
    """A pool that serves a part of a route's requests, by weight."""

    pool: str
    weight: float


@frozen
class BatchTerms:
    """What a route of batch jobs promises.

    Parameters
    ----------
    due : float
        Seconds from the submission until all results should be there.
    give_up : float
        Seconds from the submission after which an item may be given up.
    single_version : bool
        Whether all tokens of a sample must come from one weight version.
    """

    due: float
    give_up: float
    single_version: bool = False


@frozen
class CallerLimits:
    """What a caller may send and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Size of the head and of the body of a request.
    header_time : float
        Seconds from the first byte of a head to its end.
    idle_time : float
        Seconds for which a connection may be idle, or a body may make no progress.
    """

    header_bytes: int = 65536
    body_bytes: int = 2**40
    header_time: float = 10.0
    idle_time: float = 600.0

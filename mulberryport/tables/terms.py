"""Route and caller limits that only external configurations set."""

from attrs import frozen

__all__ = ["BatchTerms", "CallerLimits", "PoolShare"]


@frozen
class PoolShare:
    """Weighted share of a pool in the requests of a route."""

    pool: str
    weight: float


@frozen
class BatchTerms:
    """Deadlines and guarantees of a route for batch jobs.

    Parameters
    ----------
    due : float
        Seconds from submission within which all results should be complete.
    give_up : float
        Seconds from submission after which unfinished items may be abandoned.
    single_version : bool
        Whether all tokens of a sample must come from the same weight version.
    """

    due: float
    give_up: float
    single_version: bool = False


@frozen
class CallerLimits:
    """Size limits and timeouts of caller requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the request header section and of the body.
    header_time : float
        Seconds allowed from the first byte of the header section to its end.
    idle_time : float
        Seconds for which a connection may be idle or a body transfer may stall.
    """

    header_bytes: int = 65536
    body_bytes: int = 2**40
    header_time: float = 10.0
    idle_time: float = 600.0

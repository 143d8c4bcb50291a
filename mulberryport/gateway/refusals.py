"""Refusals and failures as callers see them.

The header field ``X-Mulberryport-Outcome`` says whether the request ran:
``not-run`` only with evidence that no part of it reached a target, ``unknown``
otherwise.
"""

import math
from collections.abc import Iterable

from ..runtime.wsgi import StartResponse, respond

__all__ = ["OUTCOME_HEADER", "OutcomeUnknownError", "RefusalError", "refuse"]

OUTCOME_HEADER = "X-Mulberryport-Outcome"
# Long enough for a target to become free, where nothing better is known.
RETRY_AFTER_S = 1.0


class RefusalError(Exception):
    """The request did not run.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    message : str
        Why, for the caller.
    retry_after : float
        Seconds after which the caller may come again, for statuses that say so.
    """

    outcome = "not-run"

    def __init__(
        self, status: int, message: str, retry_after: float = RETRY_AFTER_S
    ) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after = retry_after


class OutcomeUnknownError(Exception):
    """The request may have run, but there is no whole answer.

    Parameters
    ----------
    status : int
        502, or 504 after a timeout.
    message : str
        What happened, for the caller.
    """

    outcome = "unknown"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def refuse(
    start_response: StartResponse, error: RefusalError | OutcomeUnknownError
) -> Iterable[bytes]:
    """Answer with a refusal or failure."""
    body = {"error": str(error), "outcome": error.outcome}
    headers = [(OUTCOME_HEADER, error.outcome)]
    if isinstance(error, RefusalError) and error.status in (429, 503):
        # The header field holds whole seconds (RFC 9110, section 10.2.3).
        headers.append(("Retry-After", str(math.ceil(error.retry_after))))
    return respond(start_response, error.status, body, headers)

"""Error responses to callers.

The header ``X-Mulberryport-Outcome`` says whether the request ran. ``not-run`` requires
evidence that no part of it ran at a target; any other failure is ``unknown``.
"""

import math
from collections.abc import Iterable

from ..runtime.wsgi import StartResponse, respond

__all__ = ["OUTCOME_HEADER", "OutcomeUnknownError", "RefusalError", "refuse"]

OUTCOME_HEADER = "X-Mulberryport-Outcome"
# Long enough for a slot of a target to become free; used if no better value is known.
DEFAULT_RETRY_AFTER_S = 1.0


class RefusalError(Exception):
    """The request was rejected and did not run.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    message : str
        Reason, for the caller.
    retry_after : float
        Seconds after which the caller may retry; sent with statuses 429 and 503.
    """

    outcome = "not-run"

    def __init__(
        self, status: int, message: str, retry_after: float = DEFAULT_RETRY_AFTER_S
    ) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after = retry_after


class OutcomeUnknownError(Exception):
    """The request may have run, but there is no complete response.

    Parameters
    ----------
    status : int
        HTTP status of the response: 502, 504 after a timeout, or 400 if the request's
        body broke off.
    message : str
        Reason, for the caller.
    """

    outcome = "unknown"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def refuse(
    start_response: StartResponse, error: RefusalError | OutcomeUnknownError
) -> Iterable[bytes]:
    """Respond with an error."""
    body = {"error": str(error), "outcome": error.outcome}
    headers = [(OUTCOME_HEADER, error.outcome)]
    if isinstance(error, RefusalError) and error.status in (429, 503):
        # The header holds whole seconds (RFC 9110, section 10.2.3).
        headers.append(("Retry-After", str(math.ceil(error.retry_after))))
    return respond(start_response, error.status, body, headers)

"""Refusals and failures as callers see them.

The header field ``X-Mulberryport-Outcome`` says whether the request ran:
``not-run`` only with evidence that no part of it reached a target, ``unknown``
otherwise.
"""

from collections.abc import Iterable

from ..runtime.wsgi import StartResponse, respond

__all__ = ["OUTCOME_HEADER", "OutcomeUnknownError", "RefusalError", "refuse"]

OUTCOME_HEADER = "X-Mulberryport-Outcome"


class RefusalError(Exception):
    """The request did not run.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    message : str
        Why, for the caller.
    """

    outcome = "not-run"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


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
    if error.status in (429, 503):
        headers.append(("Retry-After", "1"))
    return respond(start_response, error.status, body, headers)

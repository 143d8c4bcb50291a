"""Caller port: authentication, forwarding and streaming."""

from .active import CHECK_PERIOD_S, RequestAbortedError
from .app import Gateway
from .refusals import OUTCOME_HEADER, OutcomeUnknownError, RefusalError
from .server import CallerServer

__all__ = [
    "CHECK_PERIOD_S",
    "OUTCOME_HEADER",
    "CallerServer",
    "Gateway",
    "OutcomeUnknownError",
    "RefusalError",
    "RequestAbortedError",
]

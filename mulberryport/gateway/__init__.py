"""The caller port: authentication, forwarding and streaming."""

from .app import Gateway
from .refusals import OUTCOME_HEADER, OutcomeUnknownError, RefusalError

__all__ = ["OUTCOME_HEADER", "Gateway", "OutcomeUnknownError", "RefusalError"]

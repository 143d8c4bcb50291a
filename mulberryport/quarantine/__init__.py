"""Requests that crash their targets: who they are, and which are not sent any more."""

from .exchange import CrashExchange
from .identity import IDENTITY_BYTES, request_identity
from .records import Crash, CrashRecord, CrashTable, Entry

__all__ = [
    "IDENTITY_BYTES",
    "Crash",
    "CrashExchange",
    "CrashRecord",
    "CrashTable",
    "Entry",
    "request_identity",
]

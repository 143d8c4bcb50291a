"""Requests that crash their targets: who they are, and which are not sent any more."""

from .administration import (
    CrashAdministration,
    decode_entry,
    describe_entry,
    parse_identity,
)
from .exchange import CrashExchange
from .identity import IDENTITY_BYTES, request_identity
from .records import Crash, CrashRecord, CrashTable, Entry

__all__ = [
    "IDENTITY_BYTES",
    "Crash",
    "CrashAdministration",
    "CrashExchange",
    "CrashRecord",
    "CrashTable",
    "Entry",
    "decode_entry",
    "describe_entry",
    "parse_identity",
    "request_identity",
]

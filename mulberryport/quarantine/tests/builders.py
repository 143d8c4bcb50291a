"""Test data for the package ``quarantine``."""

from ..identity import IDENTITY_BYTES
from ..records import Crash, CrashTable

__all__ = ["IDENTITY", "OTHER_IDENTITY", "crash_targets", "make_crash"]

IDENTITY = b"a" * IDENTITY_BYTES
OTHER_IDENTITY = b"b" * IDENTITY_BYTES


def make_crash(target: str, at: float, *, alone: bool = False, **kwargs) -> Crash:
    """Return a crash of a target that also ran other requests."""
    return Crash(target, at, alone, **kwargs)


def crash_targets(
    table: CrashTable, *crashes: Crash, identity: bytes = IDENTITY
) -> None:
    """Record crashes of one request."""
    for crash in crashes:
        table.record_crash(identity, "chat", "research", crash)

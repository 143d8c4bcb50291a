"""Announced weight versions: one value per pool in the store, which never decreases."""

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..store import Conflict, StoreClient
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["announce", "read_announced"]

VERSION_ANNOUNCED = define_event(
    1000, "version_announced", "info", "A trainer announced a weight version."
)

MAX_WRITE_ATTEMPTS = 5


def announce(store: StoreClient, pool: str, version: int) -> Outcome[int]:
    """Announce a version; one that is not newer than the announced has no effect.

    Returns
    -------
    Done of int, NotDone or Unknown
        The announced version after the call. ``Unknown`` if the response to the
        write was lost and the store cannot be read either; retrying is safe.
    """
    lost: Unknown | None = None
    for _ in range(MAX_WRITE_ATTEMPTS):
        current = store.read(_version_key(pool))
        if not isinstance(current, Done):
            return lost or NotDone(current.reason)
        announced = _parse_version(current.value.value)
        if announced >= version:
            return Done(announced)
        written = store.write(
            _version_key(pool), str(version).encode(), current.value.version
        )
        if isinstance(written, NotDone):
            return lost or written
        if isinstance(written, Unknown):
            lost = written
            continue
        if not isinstance(written.value, Conflict):
            log(VERSION_ANNOUNCED, pool=pool, version=version)
            return Done(version)
    return lost or NotDone(f"pool {pool} is announced by others at the same time")


def read_announced(store: StoreClient, pool: str) -> Outcome[int]:
    """Return the announced version of a pool, or 0 if there is none."""
    current = store.read(_version_key(pool))
    return (
        Done(_parse_version(current.value.value))
        if isinstance(current, Done)
        else current
    )


def _version_key(pool: str) -> str:
    return f"weights/{pool}"


def _parse_version(value: bytes | None) -> int:
    """Parse a stored version; a missing or malformed value yields 0."""
    return int(value) if value is not None and value.isdigit() else 0

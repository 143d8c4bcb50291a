"""Announced weight versions, one value per pool in the store, which only rise."""

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..store import Conflict, StoreClient
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["announce", "read_announced"]

VERSION_ANNOUNCED = define_event(
    1000, "version_announced", "info", "A trainer announced a weight version."
)

CONFLICT_RETRIES = 5


def announce(store: StoreClient, pool: str, version: int) -> Outcome[int]:
    """Announce a version; an older one than the announced changes nothing.

    Returns
    -------
    Done of int, NotDone or Unknown
        The announced version afterwards. ``Unknown`` if the answer of the write was
        lost and the store cannot be read either; announcing again is safe.
    """
    lost: Unknown | None = None
    for _ in range(CONFLICT_RETRIES):
        current = store.read(_key(pool))
        if not isinstance(current, Done):
            return lost or NotDone(current.reason)
        known = _parse(current.value.value)
        if known >= version:
            return Done(known)
        written = store.write(_key(pool), str(version).encode(), current.value.version)
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
    """Return the announced version of a pool; 0 if there is none."""
    current = store.read(_key(pool))
    return Done(_parse(current.value.value)) if isinstance(current, Done) else current


def _key(pool: str) -> str:
    return f"weights/{pool}"


def _parse(value: bytes | None) -> int:
    """Return a stored version; a value of another form counts as none."""
    return int(value) if value is not None and value.isdigit() else 0

"""Client of the platform's key-value store."""

from .client import MAX_VALUE_BYTES, Conflict, Entry, Lease, StoreClient

__all__ = ["MAX_VALUE_BYTES", "Conflict", "Entry", "Lease", "StoreClient"]

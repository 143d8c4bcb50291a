"""API keys of workspaces: generation, digests and lookup."""

import hashlib
import hmac
import secrets

from .model import KeyRecord, Tables

__all__ = ["find_key", "key_digest", "new_key"]

KEY_PREFIX = "mbp_"
KEY_BYTES = 32


def new_key() -> str:
    """Generate a random key with 256 bits of entropy."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def key_digest(key: str) -> str:
    """Return the digest by which a key is stored.

    An unsalted digest suffices because keys are random and cannot be guessed.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def find_key(tables: Tables, key: str) -> KeyRecord | None:
    """Return the record of a key, or None if the key is not valid.

    The lookup is by digest, so that its timing reveals nothing about the key; the
    digests are also compared in constant time.
    """
    digest = key_digest(key)
    record = tables.keys.get(digest)
    if record is None or not hmac.compare_digest(record.digest, digest):
        return None
    return record

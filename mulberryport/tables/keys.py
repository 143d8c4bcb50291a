"""Keys of workspaces: creation, digests and look-up."""

import hashlib
import hmac
import secrets

from .model import KeyRecord, Tables

__all__ = ["find_key", "key_digest", "new_key"]

KEY_PREFIX = "mbp_"
KEY_BYTES = 32


def new_key() -> str:
    """Return a new random key with 256 bits of entropy."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def key_digest(key: str) -> str:
    """Return the digest under which a key is kept.

    A plain digest is enough, because keys are random and cannot be guessed.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def find_key(tables: Tables, key: str) -> KeyRecord | None:
    """Return the record of a key, or None if it is not valid.

    The look-up goes by digest, so that its timing tells nothing about the key;
    the digests are compared in constant time as well.
    """
    digest = key_digest(key)
    record = tables.keys.get(digest)
    if record is None or not hmac.compare_digest(record.digest, digest):
        return None
    return record

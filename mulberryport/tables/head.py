"""The head: which shards make up the newest accepted revision."""

import re
from collections.abc import Mapping

import orjson
from attrs import field, frozen

from .model import converter, structure

__all__ = [
    "HEAD_KEY",
    "HISTORY_LENGTH",
    "SHARD_PREFIX",
    "Head",
    "decode_head",
    "encode_head",
]

HEAD_KEY = "config/head"
SHARD_PREFIX = "config/shard/"
HISTORY_LENGTH = 64
# Integers above this lose precision in some readers of JSON.
MAX_REVISION = 2**53
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@frozen
class Head:
    """The newest accepted revision.

    Parameters
    ----------
    revision : int
        Its number; 0 if nothing was accepted yet.
    change_id : str
        Id of the change that made it.
    shards : mapping of str to str
        Digest by shard name.
    history : tuple of str
        Ids of the most recent changes, oldest first, this one included.
    clock : int
        Hybrid logical clock of the change, so that a time line shows its adoption
        after everything that came before it.
    """

    revision: int = 0
    change_id: str = ""
    shards: Mapping[str, str] = field(factory=dict)
    history: tuple[str, ...] = ()
    clock: int = 0

    def descends_from(self, other: "Head") -> bool:
        """Return whether this head is known to contain the change of another one."""
        return other.revision == 0 or other.change_id in self.history


def encode_head(head: Head) -> bytes:
    """Return the head as it is kept in the store."""
    return orjson.dumps(converter.unstructure(head), option=orjson.OPT_SORT_KEYS)


def decode_head(content: bytes) -> Head:
    """Return the head from its stored form.

    Raises
    ------
    ValueError
        The content is not a head.
    """
    try:
        decoded = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"head is not valid JSON: {error}") from None
    head: Head = structure(Head, decoded)
    # Structuring converts types; a value that it had to convert is refused.
    if orjson.loads(encode_head(head)) != decoded:
        raise ValueError("head has fields of a wrong type")
    if not 0 < head.revision <= MAX_REVISION:
        raise ValueError(f"head has the impossible revision {head.revision}")
    if not head.history or head.history[-1] != head.change_id:
        raise ValueError("head does not end its own history")
    for name, digest in head.shards.items():
        if not DIGEST_PATTERN.fullmatch(digest):
            raise ValueError(f"head names shard {name!r} by an invalid digest")
    return head

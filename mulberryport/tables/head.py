"""The head record, which lists the shards of the newest accepted revision."""

import re
from collections.abc import Mapping

import orjson
from attrs import field, frozen

from .model import converter, structure_record

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
# JSON parsers that use doubles lose precision above 2**53.
MAX_REVISION = 2**53
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@frozen
class Head:
    """Record of the newest accepted revision.

    Parameters
    ----------
    revision : int
        Revision number; 0 if no change was accepted yet.
    change_id : str
        Id of the change that created the revision.
    shards : mapping of str to str
        Digest by shard name.
    history : tuple of str
        Ids of the most recent changes including this one, oldest first.
    clock : int
        Hybrid logical clock timestamp of the change, which orders its adoption
        after all preceding events in a timeline.
    """

    revision: int = 0
    change_id: str = ""
    shards: Mapping[str, str] = field(factory=dict)
    history: tuple[str, ...] = ()
    clock: int = 0

    def descends_from(self, other: "Head") -> bool:
        """Return whether this head is known to include the change of another head."""
        return other.revision == 0 or other.change_id in self.history


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return orjson.dumps(converter.unstructure(head), option=orjson.OPT_SORT_KEYS)


def decode_head(content: bytes) -> Head:
    """Parse the stored form of a head.

    Raises
    ------
    ValueError
        The content is not a valid head.
    """
    try:
        decoded = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"head is not valid JSON: {error}") from None
    head: Head = structure_record(Head, decoded)
    # cattrs coerces types; values that needed coercion are rejected.
    if orjson.loads(encode_head(head)) != decoded:
        raise ValueError("head has fields of a wrong type")
    if not 0 < head.revision <= MAX_REVISION:
        raise ValueError(f"head has the out-of-range revision {head.revision}")
    if not head.history or head.history[-1] != head.change_id:
        raise ValueError("change id of the head is not the last in its history")
    for name, digest in head.shards.items():
        if not DIGEST_PATTERN.fullmatch(digest):
            raise ValueError(f"head lists shard {name!r} with an invalid digest")
    return head

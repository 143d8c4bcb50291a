"""The head: which shards make up the newest accepted revision."""

from collections.abc import Mapping

import orjson
from attrs import field, frozen

from .model import converter, structure

__all__ = ["HEAD_KEY", "HISTORY_LENGTH", "Head", "decode_head", "encode_head"]

HEAD_KEY = "config/head"
SHARD_PREFIX = "config/shard/"
HISTORY_LENGTH = 64


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
    """

    revision: int = 0
    change_id: str = ""
    shards: Mapping[str, str] = field(factory=dict)
    history: tuple[str, ...] = ()


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
    return structure(Head, decoded)

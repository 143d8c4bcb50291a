"""Validation and merging of the weight versions that engines attest for a sample.

Within the stream of one engine, versions must not decrease, because announced versions
never decrease. A stream that is resumed at another engine may continue with an older
version if that engine lags behind; its label is equally valid.
"""

from collections.abc import Iterable

from ..targets.engine_client import TokenChunk
from .model import VersionSpan

__all__ = ["UnattestedError", "check_chunk_version", "merge_spans"]

# Protobuf's uint64 holds larger values, but JSON numbers in other languages do not.
MAX_VERSION = 2**53


class UnattestedError(Exception):
    """The weight versions of a stream are missing or inconsistent."""


def check_chunk_version(previous: TokenChunk | None, chunk: TokenChunk) -> None:
    """Check a chunk's weight version against the previous chunk of the same engine.

    Raises
    ------
    UnattestedError
        If the version is out of range or lower than the previous one.

    Examples
    --------
    >>> check_chunk_version(TokenChunk(("a",), 3), TokenChunk(("b",), 2))
    Traceback (most recent call last):
    ...
    mulberryport.rollouts.labels.UnattestedError: version decreased from 3 to 2
    """
    if not 0 < chunk.version <= MAX_VERSION:
        raise UnattestedError(f"{chunk.version} is not a weight version")
    if previous is not None and chunk.version < previous.version:
        raise UnattestedError(
            f"version decreased from {previous.version} to {chunk.version}"
        )


def merge_spans(chunks: Iterable[TokenChunk]) -> tuple[VersionSpan, ...]:
    """Return the version spans of a stream; adjacent equal versions are merged.

    Examples
    --------
    >>> merge_spans([TokenChunk(("a", "b"), 1), TokenChunk(("c",), 1)])
    (VersionSpan(version=1, tokens=3),)
    """
    spans: list[VersionSpan] = []
    for chunk in chunks:
        count = len(chunk.tokens)
        if not count:
            continue
        if spans and spans[-1].version == chunk.version:
            spans[-1] = VersionSpan(chunk.version, spans[-1].tokens + count)
        else:
            spans.append(VersionSpan(chunk.version, count))
    return tuple(spans)

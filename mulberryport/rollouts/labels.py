"""Rules for the weight versions of a sample, which only engines attest.

Within the stream of one engine, versions may only rise, because announcements
only rise. A stream that was resumed at another engine may continue with an older
version, if that engine lags behind: its label is as truthful.
"""

from collections.abc import Iterable

from ..targets.engine_client import TokenChunk
from .model import VersionSpan

__all__ = ["UnattestedError", "check_next", "merge_spans"]

# Protobuf's uint64 would hold more; JSON numbers of other languages would not.
MAX_VERSION = 2**53


class UnattestedError(Exception):
    """The versions of a stream are missing or contradict each other."""


def check_next(previous: TokenChunk | None, chunk: TokenChunk) -> None:
    """Check the label of a chunk against the one before it from the same engine.

    Raises
    ------
    UnattestedError
        The version is not a positive number, or went back.

    Examples
    --------
    >>> check_next(TokenChunk(("a",), 3), TokenChunk(("b",), 2))
    Traceback (most recent call last):
    ...
    mulberryport.rollouts.labels.UnattestedError: version went back from 3 to 2
    """
    if not 0 < chunk.version <= MAX_VERSION:
        raise UnattestedError(f"{chunk.version} is not a weight version")
    if previous is not None and chunk.version < previous.version:
        raise UnattestedError(
            f"version went back from {previous.version} to {chunk.version}"
        )


def merge_spans(chunks: Iterable[TokenChunk]) -> tuple[VersionSpan, ...]:
    """Return the version spans of a stream, neighbours of one version joined.

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

"""Streams of callers: which software version of the targets began each of them."""

from .copies import OriginCopies
from .origins import StreamOrigin, StreamOrigins, stream_key

__all__ = ["OriginCopies", "StreamOrigin", "StreamOrigins", "stream_key"]

"""Streams of callers: which software version of the targets began each of them."""

from .origins import StreamOrigin, StreamOrigins, stream_key

__all__ = ["StreamOrigin", "StreamOrigins", "stream_key"]

"""Request bodies: validated framing, a buffered start, and the rest as a stream."""

from collections.abc import Iterator
from typing import Any

import eventlet.wsgi
from attrs import define, field

from .headers import header_values, request_headers
from .refusals import OutcomeUnknownError, RefusalError

__all__ = ["MAX_BUFFERED_BYTES", "RequestBody", "read_body", "read_whole_body"]

# Buffered in memory for retries and to compare requests with one idempotency key.
MAX_BUFFERED_BYTES = 64 * 1024
READ_CHUNK_BYTES = 64 * 1024


@define
class RequestBody:
    """The body of a request.

    Parameters
    ----------
    length : int or None
        Declared length in bytes; None for a chunked body.
    buffered : bytes
        Start of the body, at most ``MAX_BUFFERED_BYTES``.
    is_fully_buffered : bool
        Whether ``buffered`` is the whole body.
    """

    length: int | None
    buffered: bytes
    is_fully_buffered: bool
    _stream: Any = field(default=None, repr=False)
    _is_stream_read: bool = field(default=False, init=False)

    @property
    def can_be_sent(self) -> bool:
        """Whether the whole body can be sent, for the first time or again."""
        return self.is_fully_buffered or not self._is_stream_read

    @property
    def complete(self) -> bytes | None:
        """The whole body; None if it is not fully buffered."""
        return self.buffered if self.is_fully_buffered else None

    def parts(self) -> Iterator[bytes]:
        """Return the parts of the body; what is not buffered can be read only once.

        Raises
        ------
        OutcomeUnknownError
            A part of the body was read before and is not buffered; or, while the parts
            are read, the body is shorter than declared or malformed, after a part of
            it was forwarded.
        """
        if not self.can_be_sent:
            raise OutcomeUnknownError(502, "the request's body cannot be sent again")
        return self._parts()

    def _parts(self) -> Iterator[bytes]:
        if self.buffered:
            yield self.buffered
        if self.is_fully_buffered:
            return
        size = len(self.buffered)
        self._is_stream_read = True
        while part := self._read():
            size += len(part)
            yield part
        if self.length is not None and size != self.length:
            raise OutcomeUnknownError(400, "the request's body ended early")
        # A chunked body may end just where the buffer does.
        self.is_fully_buffered = size == len(self.buffered)

    def _read(self) -> bytes:
        try:
            return self._stream.read(READ_CHUNK_BYTES)
        except (OSError, eventlet.wsgi.ChunkReadError) as error:
            raise OutcomeUnknownError(400, "the request's body is broken") from error


def read_body(environ: dict[str, Any]) -> RequestBody:
    """Read and buffer the start of a request's body.

    Raises
    ------
    RefusalError
        The framing is ambiguous or malformed, or the body ended early.
    """
    length = _declared_length(environ)
    if length == 0:
        return RequestBody(0, b"", True)
    stream = environ["wsgi.input"]
    buffer_size = (
        MAX_BUFFERED_BYTES if length is None else min(length, MAX_BUFFERED_BYTES)
    )
    try:
        buffered = stream.read(buffer_size)
    except (OSError, eventlet.wsgi.ChunkReadError) as error:
        raise RefusalError(400, "the request's body is broken") from error
    if length is None:
        return RequestBody(None, buffered, len(buffered) < MAX_BUFFERED_BYTES, stream)
    if len(buffered) < buffer_size:
        raise RefusalError(400, "the request's body ended early")
    return RequestBody(length, buffered, len(buffered) == length, stream)


def read_whole_body(environ: dict[str, Any], max_bytes: int) -> bytearray:
    """Read a request's body into memory.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_bytes : int
        Largest size of the body.

    Raises
    ------
    RefusalError
        The body is too long, its framing is ambiguous or malformed, or it ended early.
    """
    body = read_body(environ)
    if (body.length or 0) > max_bytes:
        raise RefusalError(413, f"a body has {max_bytes} bytes at most")
    content = bytearray()
    try:
        for part in body.parts():
            content += part
            if len(content) > max_bytes:
                raise RefusalError(413, f"a body has {max_bytes} bytes at most")
    except OutcomeUnknownError as error:
        raise RefusalError(400, str(error)) from error
    return content


def _declared_length(environ: dict[str, Any]) -> int | None:
    """Return the declared length of the body; None if it is chunked."""
    headers = environ.get("headers_raw") or request_headers(environ)
    lengths = {v.strip() for v in header_values(headers, "content-length")}
    codings = [v.strip().lower() for v in header_values(headers, "transfer-encoding")]
    if codings:
        if codings != ["chunked"]:
            raise RefusalError(400, "transfer encodings other than chunked")
        return None
    if not lengths:
        return int(environ.get("CONTENT_LENGTH") or 0)
    value = lengths.pop()
    # int() also accepts signs, spaces and underscores, which targets may reject or
    # read differently.
    if lengths or not (value.isascii() and value.isdigit()):
        raise RefusalError(400, "the header Content-Length is malformed")
    return int(value)

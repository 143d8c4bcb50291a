"""Bodies of requests: checked framing, a short part held, the rest streamed."""

from collections.abc import Iterator
from typing import Any

import eventlet.wsgi
from attrs import define, field

from .headers import header_values, request_headers
from .refusals import OutcomeUnknownError, RefusalError

__all__ = ["HELD_BYTES", "RequestBody", "read_body"]

# Held in memory for a retry and for comparing requests with one idempotency key.
HELD_BYTES = 64 * 1024
READ_BYTES = 64 * 1024


@define
class RequestBody:
    """The body of a request.

    Parameters
    ----------
    length : int or None
        Declared length; None for a chunked body.
    held : bytes
        Its start, at most ``HELD_BYTES``.
    whole : bool
        Whether ``held`` is all of it, so that it can be sent again.
    """

    length: int | None
    held: bytes
    whole: bool
    _stream: Any = field(default=None, repr=False)

    def parts(self) -> Iterator[bytes]:
        """Yield the body; the part that is not held can be read only once.

        Raises
        ------
        OutcomeUnknownError
            The caller sent less than it declared, after a part was forwarded.
        """
        if self.held:
            yield self.held
        if self.whole:
            return
        count = len(self.held)
        while part := self._read():
            count += len(part)
            yield part
        if self.length is not None and count != self.length:
            raise OutcomeUnknownError(400, "the request's body ended early")

    def _read(self) -> bytes:
        try:
            return self._stream.read(READ_BYTES)
        except (OSError, eventlet.wsgi.ChunkReadError) as error:
            raise OutcomeUnknownError(400, "the request's body is broken") from error


def read_body(environ: dict[str, Any]) -> RequestBody:
    """Read the start of a request's body.

    Raises
    ------
    RefusalError
        The framing is ambiguous or malformed, or the body ended early.
    """
    length = _declared_length(environ)
    if length == 0:
        return RequestBody(0, b"", True)
    stream = environ["wsgi.input"]
    wanted = HELD_BYTES if length is None else min(length, HELD_BYTES)
    try:
        held = stream.read(wanted)
    except (OSError, eventlet.wsgi.ChunkReadError) as error:
        raise RefusalError(400, "the request's body is broken") from error
    if length is None:
        return RequestBody(None, held, len(held) < HELD_BYTES, stream)
    if len(held) < wanted:
        raise RefusalError(400, "the request's body ended early")
    return RequestBody(length, held, len(held) == length, stream)


def _declared_length(environ: dict[str, Any]) -> int | None:
    """Return the length of the body, None if it is chunked."""
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
    # int() also accepts signs, spaces and underscores, which targets may not.
    if lengths or not (value.isascii() and value.isdigit()):
        raise RefusalError(400, "the header Content-Length is malformed")
    return int(value)

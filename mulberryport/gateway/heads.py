"""Strict validation of request heads, against request smuggling.

The server's parser accepts header lines that other parsers read differently, which
would let a caller hide a request inside another one. Header lines are therefore
validated before they reach that parser (RFC 9112, sections 2.2 and 5).
"""

import re
from typing import Any

from attrs import define

__all__ = ["HeadReader", "MalformedHeadError"]

HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n")
END_OF_HEAD = b"\r\n"


class MalformedHeadError(Exception):
    """The head of a request is malformed or too large.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    message : str
        Reason, for the caller.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@define(eq=False)
class HeadReader:
    r"""File wrapper that validates the header lines of one request.

    Parameters
    ----------
    file : object
        File object of the connection.
    max_bytes : int
        Maximum number of bytes of all header lines together.

    Examples
    --------
    >>> import io
    >>> HeadReader(io.BytesIO(b"Transfer-Encoding : chunked\r\n"), 99).readline()
    Traceback (most recent call last):
    ...
    mulberryport.gateway.heads.MalformedHeadError: a header line is malformed
    """

    file: Any
    max_bytes: int
    _read_bytes: int = 0

    def readline(self, size: int = -1) -> bytes:
        """Return the next header line, or the empty line at the end of the head.

        Raises
        ------
        MalformedHeadError
            The line is not a header line, or the head is too large.
        """
        remaining_bytes = self.max_bytes - self._read_bytes
        line = self.file.readline(remaining_bytes + 1)
        self._read_bytes += len(line)
        if len(line) > remaining_bytes:
            raise MalformedHeadError(431, "the head is too large")
        if line not in (b"", END_OF_HEAD) and not HEADER_LINE.fullmatch(line):
            raise MalformedHeadError(400, "a header line is malformed")
        return line

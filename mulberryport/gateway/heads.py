"""Strict reading of the heads of requests.

The server's parser accepts header lines that other parsers read differently, which
would let a caller hide a request inside another one. The bytes are checked here, before
that parser sees them (RFC 9112, sections 2.2 and 5).
"""

import re
from typing import Any

from attrs import define

__all__ = ["HeadReader", "MalformedHeadError"]

LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n")
END = b"\r\n"


class MalformedHeadError(Exception):
    """The head of a request is malformed or too large.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@define(eq=False)
class HeadReader:
    r"""Reads the header lines of one request.

    Parameters
    ----------
    file : object
        The connection's file.
    limit : int
        Bytes of all header lines together.

    Examples
    --------
    >>> import io
    >>> HeadReader(io.BytesIO(b"Transfer-Encoding : chunked\r\n"), 99).readline()
    Traceback (most recent call last):
    ...
    mulberryport.gateway.heads.MalformedHeadError: a header line is malformed
    """

    file: Any
    limit: int
    _read: int = 0

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        Raises
        ------
        MalformedHeadError
            The line is not a header line, or the head is too large.
        """
        left = self.limit - self._read
        line = self.file.readline(left + 1)
        self._read += len(line)
        if len(line) > left:
            raise MalformedHeadError(431, "the head is too large")
        if line not in (b"", END) and not LINE.fullmatch(line):
            raise MalformedHeadError(400, "a header line is malformed")
        return line

"""A log stream that never blocks the process.

A reader that does not read fills the pipe; lines that do not fit are dropped and
counted, and the count is written as soon as there is room again.
"""

import eventlet.patcher
import orjson
from attrs import define

__all__ = ["LogSink"]

# The patched module would wait for room in the pipe.
os = eventlet.patcher.original("os")


@define(eq=False)
class LogSink:
    r"""Writes lines to a file descriptor without waiting.

    Parameters
    ----------
    descriptor : int
        Is set to non-blocking.

    Examples
    --------
    >>> reader, writer = os.pipe()
    >>> sink = LogSink(writer)
    >>> sink.write(b"line\n")
    5
    >>> os.read(reader, 100)
    b'line\n'
    """

    descriptor: int
    dropped: int = 0
    _rest: bytes = b""

    def __attrs_post_init__(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self.descriptor, False)

    def write(self, line: bytes) -> int:
        """Write a line, or drop it if there is no room."""
        if not self._flush_rest():
            self.dropped += 1
            return len(line)
        if self.dropped:
            notice = orjson.dumps({"event": "log_lines_dropped", "lines": self.dropped})
            line = notice + b"\n" + line
            self.dropped = 0
        self._rest = line
        self._flush_rest()
        return len(line)

    def flush(self) -> None:
        """Do nothing: lines are written at once."""

    def _flush_rest(self) -> bool:
        """Write what is left of the last line; return whether nothing is left."""
        try:
            while self._rest:
                written = os.write(self.descriptor, self._rest)
                self._rest = self._rest[written:]
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the logs any more; the process goes on.
            self._rest = b""
        return True

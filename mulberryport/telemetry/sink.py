"""A log stream that never blocks the process.

The pipe fills up if its reader stalls. Lines that do not fit are dropped and counted,
and the count is logged as soon as the pipe accepts data again.
"""

import eventlet.patcher
import orjson
from attrs import define

__all__ = ["LogSink"]

# The write() of the patched module would wait until the pipe accepts data.
os = eventlet.patcher.original("os")


@define(eq=False)
class LogSink:
    r"""Writes lines to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor of the stream; it is set to non-blocking mode.

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
    dropped_lines: int = 0
    _unwritten: bytes = b""

    def __attrs_post_init__(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self.descriptor, False)

    def write(self, line: bytes) -> int:
        """Write a line, or drop it if the descriptor does not accept data."""
        if not self._write_unwritten():
            self.dropped_lines += 1
            return len(line)
        if self.dropped_lines:
            notice = orjson.dumps(
                {"event": "log_lines_dropped", "lines": self.dropped_lines}
            )
            line = notice + b"\n" + line
            self.dropped_lines = 0
        self._unwritten = line
        self._write_unwritten()
        return len(line)

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""

    def _write_unwritten(self) -> bool:
        """Write the rest of the last line; return whether it was written completely."""
        try:
            while self._unwritten:
                written = os.write(self.descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; the process continues without logs.
            self._unwritten = b""
        return True

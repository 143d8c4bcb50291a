"""JSON calls that only the holder of a lease may make.

The connection is made and the head of the request is sent first. The guard is
checked after that, immediately before the body, without which the receiver does
not act. A slow connection therefore cannot carry a request past the end of the
lease.

A process that is stopped between the guard and the body must not send the body
when it goes on. An interval timer of the kernel runs on while a process is
stopped; its signal is delivered before the process runs again and ends the call.
"""

import http.client
import os
import signal
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from urllib.parse import urlsplit

import eventlet
import greenlet
import orjson

from ..outcomes import Done, NotDone, Outcome, Unknown
from .http import JsonReply

__all__ = ["call_json_guarded"]


class PausedError(Exception):
    """The process did not run for longer than the guard allows for."""


@contextmanager
def _not_after(seconds: float) -> Iterator[None]:
    """End the block with ``PausedError`` if it is still running after a time.

    The signal acts only on the green thread that armed it. While it is armed by
    one, others go without; the guard has no point at which another can run.
    """
    if (
        # Green threads have identities of their own in the patched module.
        threading.get_native_id() != os.getpid()
        or signal.getitimer(signal.ITIMER_REAL)[0]
    ):
        yield
        return
    armed_by = greenlet.getcurrent()

    def expired(*_: object) -> None:
        if greenlet.getcurrent() is armed_by:
            raise PausedError(f"the process was paused for more than {seconds} s")

    previous = signal.signal(signal.SIGALRM, expired)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


def call_json_guarded(
    method: str,
    url: str,
    body: object,
    *,
    guard: Callable[[], None],
    timeout: float,
    headers: Mapping[str, str] | None = None,
) -> Outcome[JsonReply]:
    """Send a JSON request whose last bytes leave only if a guard permits it.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Full URL; the host is an IP number.
    body : object
        JSON, or bytes that are JSON already.
    guard : callable
        Raises if the request must not be sent; what it raises passes through.
    timeout : float
        Seconds for the whole call, so that the lease can be required to outlast
        it.

    Returns
    -------
    Done or NotDone or Unknown
        As from ``call_json``. ``NotDone`` means that no connection was made.
    """
    parts = urlsplit(url)
    kind = (
        http.client.HTTPSConnection
        if parts.scheme == "https"
        else http.client.HTTPConnection
    )
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    connection = kind(parts.hostname or "", parts.port, timeout=timeout)
    limit = eventlet.Timeout(timeout)
    connected = False
    try:
        connection.connect()
        connected = True
        target = parts.path + (f"?{parts.query}" if parts.query else "")
        connection.putrequest(method, target, skip_accept_encoding=True)
        connection.putheader("Content-Type", "application/json")
        connection.putheader("Content-Length", str(len(content)))
        for name, value in (headers or {}).items():
            connection.putheader(name, value)
        connection.endheaders()
        with _not_after(timeout):
            guard()
            connection.send(content)
        reply = connection.getresponse()
        data = reply.read()
        status, fields = reply.status, dict(reply.getheaders())
    except eventlet.Timeout as expired:
        if expired is not limit:
            raise
        reason = f"{method} {url}: no answer within {timeout} s"
        return Unknown(reason) if connected else NotDone(reason)
    except (OSError, http.client.HTTPException, PausedError) as error:
        reason = f"{method} {url}: {error!r}"
        return Unknown(reason) if connected else NotDone(reason)
    finally:
        limit.cancel()
        connection.close()
    if status >= 500:
        return Unknown(f"{method} {url}: status {status}")
    try:
        decoded = orjson.loads(data) if data else None
    except orjson.JSONDecodeError as error:
        return Unknown(f"{method} {url}: invalid JSON in the answer: {error}")
    return Done(JsonReply(status, decoded, fields))

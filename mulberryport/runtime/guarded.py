"""JSON calls that only the holder of a lease may make.

The connection is established and the request head is sent first. The guard is
checked after that, immediately before the body is sent; the receiver does not act
before it has the body. A slow connection therefore cannot delay a request past the
expiry of the lease.

A process that is stopped between the check and the body must not send the body
when it resumes. A kernel interval timer keeps running while the process is stopped;
its signal is delivered before the process executes further code and aborts the call.

A call that is given up must not arrive later, when another process holds the lease. Its
connection is reset, which takes back what the kernel has not sent; the kernel of a
process that is stopped gives up by itself when the time limit has passed.
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
from .http import BoundedResponse, JsonReply, read_reply
from .sockets import RESET_ON_CLOSE, end_regularly, user_timeout

__all__ = ["call_json_guarded"]


class ProcessPausedError(Exception):
    """The process was stopped for longer than the guard permits."""


@contextmanager
def _abort_after(seconds: float) -> Iterator[None]:
    """Abort the block with ``ProcessPausedError`` if it runs longer than a time limit.

    The signal affects only the green thread that armed the timer. While one green
    thread has it armed, blocks of others run without a time limit; a guard has no
    point at which the hub can switch to another green thread.
    """
    if (
        # get_ident() cannot be used: in the patched module it identifies the green
        # thread.
        threading.get_native_id() != os.getpid()
        or signal.getitimer(signal.ITIMER_REAL)[0]
    ):
        yield
        return
    arming_greenlet = greenlet.getcurrent()

    def on_alarm(*_: object) -> None:
        if greenlet.getcurrent() is arming_greenlet:
            raise ProcessPausedError(
                f"the process was paused for more than {seconds} s"
            )

    previous_handler = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)


def call_json_guarded(
    method: str,
    url: str,
    body: object,
    *,
    guard: Callable[[], None],
    timeout: float,
    headers: Mapping[str, str] | None = None,
) -> Outcome[JsonReply]:
    """Send a JSON request whose body is sent only if a guard permits it.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Full URL; the host is an IP address.
    body : object
        Object to encode as JSON, or bytes that are already encoded.
    guard : callable
        Raises an exception if the request must not be sent; the exception is
        propagated.
    timeout : float
        Limit in seconds for the whole call, so that the guard can require a lease
        that outlasts it.

    Returns
    -------
    Done or NotDone or Unknown
        As for ``call_json``. ``NotDone`` means that no connection was established.
    """
    parts = urlsplit(url)
    connection_class = (
        http.client.HTTPSConnection
        if parts.scheme == "https"
        else http.client.HTTPConnection
    )
    encoded_body = body if isinstance(body, bytes) else orjson.dumps(body)
    connection = connection_class(parts.hostname or "", parts.port, timeout=timeout)
    connection.response_class = BoundedResponse
    call_timeout = eventlet.Timeout(timeout)
    connected = False
    try:
        connection.connect()
        connected = True
        connection.sock.setsockopt(*RESET_ON_CLOSE)
        connection.sock.setsockopt(*user_timeout(timeout))
        request_target = parts.path + (f"?{parts.query}" if parts.query else "")
        connection.putrequest(method, request_target, skip_accept_encoding=True)
        connection.putheader("Content-Type", "application/json")
        connection.putheader("Content-Length", str(len(encoded_body)))
        for name, value in (headers or {}).items():
            connection.putheader(name, value)
        connection.endheaders()
        with _abort_after(timeout):
            guard()
            connection.send(encoded_body)
        reply = connection.getresponse()
        data = read_reply(reply, timeout)
        status, reply_headers = reply.status, dict(reply.getheaders())
        end_regularly(connection)
    except eventlet.Timeout as expired:
        if expired is not call_timeout:
            raise
        reason = f"{method} {url}: no response within {timeout} s"
        return Unknown(reason) if connected else NotDone(reason)
    except (OSError, http.client.HTTPException, ProcessPausedError) as error:
        reason = f"{method} {url}: {error!r}"
        return Unknown(reason) if connected else NotDone(reason)
    finally:
        call_timeout.cancel()
        connection.close()
    if status >= 500:
        return Unknown(f"{method} {url}: status {status}")
    try:
        decoded = orjson.loads(data) if data else None
    except orjson.JSONDecodeError as error:
        return Unknown(f"{method} {url}: invalid JSON in the response: {error}")
    return Done(JsonReply(status, decoded, reply_headers))

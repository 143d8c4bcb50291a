"""Engines and scoring services on the platform's wire."""

from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Any

import urllib3
from attrs import define, field
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..jobs import (
    ItemFailedError,
    ItemRejectedError,
    Job,
    JobItem,
    NotStartedError,
    ScoringCall,
    StaleWeightsError,
    StreamInterruptedError,
    Transcript,
)
from ..routing import TargetView
from ..targets import TargetDirectory
from ..targets.connections import ConnectionPool
from . import names
from .ingress import report_load

__all__ = ["Engines", "EventParser"]

# A stream makes an event every few tens of milliseconds; a change of weights pauses it
# for a second, or longer while several engines load.
EVENT_TIMEOUT_S = 2.5
READ_BYTES = 64 * 1024
# An engine that refuses is full or loads the model, which takes a second.
REFUSAL_PAUSE_S = 0.3
# The body of a refusal is short.
REFUSAL_BYTES = 16 * 1024
NO_VERSION = "the answer names no weight version"
VERSION_PREFIX = names.VERSIONS.lower() + ":"


@define
class EventParser:
    r"""Splits a stream into events; an event that is cut off is never returned.

    Parameters
    ----------
    version : int
        Weight version of the next event.

    Examples
    --------
    >>> parser = EventParser(3)
    >>> list(parser.feed(b"id: 1\ndata: a b\n\nx-weight-versions: 4\nid: 2\nda"))
    [(1, 'a b', 3)]
    >>> list(parser.feed(b"ta: c\n\n"))
    [(2, 'c', 4)]
    """

    version: int
    _buffer: bytes = b""

    def feed(self, content: bytes) -> Iterator[tuple[int, str, int]]:
        """Yield number, data and weight version of each event that is complete.

        Raises
        ------
        ValueError
            The stream is malformed.
        """
        *blocks, self._buffer = (self._buffer + content).split(b"\n\n")
        for block in blocks:
            number, data = 0, []
            for line in block.decode().split("\n"):
                name, _, value = line.partition(":")
                value = value.removeprefix(" ")
                if name == "id":
                    number = int(value)
                elif name == "data":
                    data.append(value)
                elif line.lower().startswith(VERSION_PREFIX):
                    self.version = int(value)
            if number and data:
                yield number, "\n".join(data), self.version


@define(eq=False)
class Engines:
    """Calls engines and scoring services.

    Parameters
    ----------
    directory : TargetDirectory
        Learns loads and weight versions from answers.
    connections : ConnectionPool
        Connections that are kept for further requests.
    """

    directory: TargetDirectory
    connections: ConnectionPool = field(factory=ConnectionPool)

    def generate(
        self,
        view: TargetView,
        job: Job,
        item: JobItem,
        transcript: Transcript,
        on_event: Callable[[], None],
    ) -> None:
        """Generate the rest of an item's text at an engine.

        Parameters
        ----------
        on_event : callable
            Called after each event; what it raises ends the generation there.

        Raises
        ------
        NotStartedError, StaleWeightsError, ItemFailedError, ItemRejectedError,
        StreamInterruptedError
            The text is not complete.
        """
        headers = [
            *item.headers,
            ("Host", job.host),
            (names.REQUEST_ID, item.id),
            (names.TENANT, job.workspace),
            (names.EXPECT_INSTANCE, view.id),
        ]
        if transcript.events:
            headers.append((names.LAST_EVENT_ID, str(len(transcript.events))))
        connection, reply = self._send(
            view, item.path, headers, item.body, EVENT_TIMEOUT_S
        )
        whole = False
        try:
            self._check(view, reply, item.id)
            whole = self._stream(view, job, item, transcript, reply, on_event)
        except NotStartedError:
            whole = _drain(reply)
            self.directory.suspend_model(view.id, item.model, REFUSAL_PAUSE_S)
            raise
        finally:
            self._finish(view, connection, reply, whole)

    def score(self, view: TargetView, call: ScoringCall, seconds: float) -> str:
        """Return the score of a text.

        Raises
        ------
        NotStartedError, ItemFailedError, StreamInterruptedError
            There is no score.
        """
        headers = [
            ("Host", call.host),
            (names.REQUEST_ID, call.id),
            (names.EXPECT_INSTANCE, view.id),
            (names.DEADLINE, str(int(seconds * 1000))),
        ]
        connection, reply = self._send(view, call.path, headers, call.body, seconds)
        whole = False
        try:
            try:
                self._check(view, reply, call.id)
                while reply.read1(READ_BYTES):
                    pass
                whole = True
            except NotStartedError:
                whole = _drain(reply)
                raise
            except (HTTPError, HTTPException, OSError) as error:
                raise StreamInterruptedError(repr(error)) from error
            score = reply.headers.get(names.STAMP)
            if not score:
                raise StreamInterruptedError("the answer has no signature")
            return score
        finally:
            self._finish(view, connection, reply, whole)

    def _send(
        self,
        view: TargetView,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout: float,
    ) -> tuple[HTTPConnection, urllib3.BaseHTTPResponse]:
        """Send a request that may be repeated and return the head of the answer."""
        try:
            connection, _ = self.connections.acquire(view.id, view.address)
        except (HTTPError, OSError) as error:
            raise StreamInterruptedError(f"cannot connect: {error!r}") from error
        fields = urllib3.HTTPHeaderDict()
        for name, value in headers:
            fields.add(name, value)
        for name in ("User-Agent", "Accept-Encoding"):
            if name not in fields:
                fields[name] = SKIP_HEADER
        try:
            connection.timeout = timeout
            connection.sock.settimeout(timeout)
            connection.request(
                "POST",
                path,
                body=body,
                headers=fields,
                preload_content=False,
                decode_content=False,
            )
            return connection, connection.getresponse()
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            connection.close()
            raise StreamInterruptedError(repr(error)) from error
        except BaseException:
            connection.close()
            raise

    def _check(
        self, view: TargetView, reply: urllib3.BaseHTTPResponse, request_id: str
    ) -> None:
        """Raise unless the head is a success of the request."""
        headers = reply.headers
        report_load(self.directory, view, headers)
        if reply.status == 421:
            self.directory.mark_address_reused(view.id)
            raise NotStartedError("another target is at the address")
        answered = headers.get(names.REQUEST_ID)
        if answered is not None and answered != request_id:
            raise StreamInterruptedError("the answer belongs to another request")
        if headers.get(names.NOT_RUN):
            raise NotStartedError(f"refused with status {reply.status}")
        if reply.status == 422:
            raise ItemRejectedError("refused for good")
        if reply.status >= 500:
            raise ItemFailedError(f"status {reply.status}")
        if reply.status != 200 or answered is None:
            raise StreamInterruptedError(f"status {reply.status}")

    def _stream(
        self,
        view: TargetView,
        job: Job,
        item: JobItem,
        transcript: Transcript,
        reply: urllib3.BaseHTTPResponse,
        on_event: Callable[[], None],
    ) -> bool:
        """Append the events of a stream; true at its clean end."""
        version = _version(reply)
        if version:
            self._check_version(view, job, item, version)
        elif not transcript.events:
            raise StreamInterruptedError(NO_VERSION)
        # A text that was left at its last event goes on with nothing, and such an
        # answer names no version.
        framed = reply.chunked or reply.headers.get("Content-Length") is not None
        parser = EventParser(version)
        try:
            while part := reply.read1(READ_BYTES):
                for number, data, version in parser.feed(part):
                    if not version:
                        raise StreamInterruptedError(NO_VERSION)
                    self._check_version(view, job, item, version)
                    if number != len(transcript.events) + 1:
                        raise StreamInterruptedError(f"event {number} is out of order")
                    transcript.add(data, version)
                    on_event()
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise StreamInterruptedError(repr(error)) from error
        if not framed:
            raise StreamInterruptedError("the end of the stream cannot be told")
        return True

    def _check_version(
        self, view: TargetView, job: Job, item: JobItem, version: int
    ) -> None:
        self.directory.record_weight_version(view.id, item.model, version)
        if version < job.oldest_version:
            raise StaleWeightsError(f"{view.id} has weight version {version}")

    def _finish(
        self,
        view: TargetView,
        connection: HTTPConnection,
        reply: Any,
        whole: bool,
    ) -> None:
        """Keep the connection if its answer was read to the end."""
        closing = "close" in (reply.headers.get("Connection") or "").lower()
        if whole and not closing:
            self.connections.release(
                view.id, view.address, connection, reply.headers.get("Keep-Alive") or ""
            )
        else:
            # An answer that announced the end of its connection holds the socket.
            reply.close()
            connection.close()


def _version(reply: urllib3.BaseHTTPResponse) -> int:
    """Return the weight version of the next event, 0 if the answer names none."""
    value = (reply.headers.get(names.VERSIONS) or "").strip()
    return int(value) if value.isdigit() else 0


def _drain(reply: urllib3.BaseHTTPResponse) -> bool:
    """Read the short body of a refusal; return whether the answer is complete."""
    try:
        reply.read(REFUSAL_BYTES)
        return not reply.read1(1)
    except (HTTPError, HTTPException, OSError):
        return False

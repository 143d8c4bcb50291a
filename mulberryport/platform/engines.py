"""Calls to engines and scoring services in the platform's protocol."""

from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Any

import eventlet
import urllib3
from attrs import define, field
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..jobs import (
    DeadlinePassedError,
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
from ..runtime.clock import boottime
from ..runtime.fairness import yield_if_due
from ..runtime.http import has_stated_end, read_parts
from ..targets import TargetDirectory
from ..targets.connections import ConnectionPool, drain_refusal
from . import names
from .caller_headers import forwardable_item_headers
from .counts import parse_count
from .target_reports import (
    MISDIRECTED_STATUS,
    belongs_to_request,
    parse_load,
    record_reports,
)

__all__ = ["EngineCalls", "EventParser"]

# A stream sends an event every few tens of milliseconds. Loading new weights pauses it
# for a second, or longer while several engines load.
EVENT_TIMEOUT_S = 2.5
# An engine that refuses a request is full or loading the model, which takes a second.
# Engines of uneven pools that say that they are full are not suspended.
MODEL_SUSPENSION_S = 0.3
# Events are small; the parser handles a part without letting others run.
READ_SIZE_BYTES = 8 * 1024
# Bounds on what a faulty target may send. An event holds a few tokens.
MAX_EVENT_BYTES = 256 * 1024
MAX_TEXT_BYTES = 1024 * 1024
# Parts between two events; an event comes in a few.
MAX_PARTS_PER_EVENT = 4096
MAX_LOGGED_CHARS = 40
MAX_SCORE_BODY_BYTES = 1024 * 1024
# The only status that counts as a failed attempt at an item.
FAILED_STATUS = 500
# Status of a target whose time for a request has run out.
DEADLINE_STATUS = 504
NO_VERSION_REASON = "the response has no weight version"
# Fields of event streams that texts do not need; a comment has an empty name (HTML
# standard, section 9.2.6).
IGNORED_FIELDS = frozenset({"", "event", "retry"})
VERSION_LINE_PREFIX = names.VERSIONS.lower() + ":"


@define
class EventParser:
    r"""Incremental parser of an event stream; truncated events are never returned.

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

    @property
    def is_within_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

    def feed(self, content: bytes) -> Iterator[tuple[int, str, int]]:
        """Yield the number, data and weight version of each complete event.

        Raises
        ------
        ValueError
            The stream is malformed.
        """
        *blocks, self._buffer = (self._buffer + content).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        for block in filter(None, blocks):
            number, data = 0, []
            for line in block.decode().split("\n"):
                name, _, value = line.partition(":")
                value = value.removeprefix(" ")
                if name == "id":
                    number = _require_count(value)
                elif name == "data":
                    data.append(value)
                elif line.lower().startswith(VERSION_LINE_PREFIX):
                    self.version = _require_count(value)
                elif name not in IGNORED_FIELDS:
                    raise ValueError(f"not a line of an event: {line[:40]!r}")
            if number and data:
                yield number, "\n".join(data), self.version


@define(eq=False)
class StreamProgress:
    """Bounds on what a stream sends, in all and between two complete events."""

    _size: int = 0
    _unused_bytes: int = 0
    _unused_parts: int = 0
    _event_at: float = field(factory=boottime)

    def add(self, part: bytes) -> None:
        """Count a part that was received."""
        self._size += len(part)
        self._unused_bytes += len(part)
        self._unused_parts += 1

    def add_event(self) -> None:
        """Count a complete event."""
        self._unused_bytes = self._unused_parts = 0
        self._event_at = boottime()

    def check(self) -> None:
        """Check the bounds.

        Raises
        ------
        StreamInterruptedError
            The stream is too long, or makes no progress.
        """
        if boottime() - self._event_at > EVENT_TIMEOUT_S:
            raise StreamInterruptedError(
                f"no complete event within {EVENT_TIMEOUT_S} s"
            )
        if (
            self._unused_bytes > MAX_EVENT_BYTES
            or self._unused_parts > MAX_PARTS_PER_EVENT
        ):
            raise StreamInterruptedError("no event in what the stream sends")
        if self._size > MAX_TEXT_BYTES:
            raise StreamInterruptedError("the stream is too long")


@define(eq=False)
class EngineCalls:
    """Sends requests to engines and scoring services.

    Parameters
    ----------
    directory : TargetDirectory
        Records the loads and weight versions that responses report.
    connections : ConnectionPool
        Connections kept open for later requests.
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
        """Generate the remaining text of an item on an engine.

        Parameters
        ----------
        on_event : callable
            Called after each event; an exception it raises ends the generation on this
            engine.

        Raises
        ------
        NotStartedError, StaleWeightsError, ItemFailedError, ItemRejectedError,
        StreamInterruptedError
            The text is not complete.
        """
        headers = [
            *forwardable_item_headers(item.headers),
            *_urgency_header(item),
            ("Host", job.host),
            (names.REQUEST_ID, item.id),
            (names.TENANT, job.workspace),
            (names.EXPECT_INSTANCE, view.id),
        ]
        if transcript.events:
            headers.append((names.LAST_EVENT_ID, str(len(transcript.events))))
        sent_at = boottime()
        connection, response = self._send(
            view, item.path, headers, item.body, EVENT_TIMEOUT_S
        )
        complete = False
        try:
            self._check_head(view, response, item.id, sent_at)
            complete = self._read_events(
                view, job, item, transcript, response, on_event
            )
        except NotStartedError:
            complete = drain_refusal(response)
            # A full target that tells its speed is avoided as its run times say.
            load = parse_load(response.headers.get(names.LOAD) or "")
            if load is None or load.slowdown is None or not load.is_full:
                self.directory.suspend_model(view.id, item.model, MODEL_SUSPENSION_S)
            raise
        finally:
            self._release_connection(view, connection, response, complete)

    def score(self, view: TargetView, call: ScoringCall, timeout_s: float) -> str:
        """Return the score of a text from a scoring service.

        Raises
        ------
        NotStartedError, ItemFailedError, StreamInterruptedError
            No score was received.
        """
        headers = [
            ("Host", call.host),
            (names.REQUEST_ID, call.id),
            (names.EXPECT_INSTANCE, view.id),
            (names.DEADLINE, str(int(timeout_s * 1000))),
        ]
        sent_at = boottime()
        connection, response = self._send(
            view, call.path, headers, call.body, timeout_s
        )
        complete = False
        try:
            try:
                self._check_head(view, response, call.id, sent_at)
                _skip_body(response, boottime() + timeout_s)
                complete = True
            except NotStartedError:
                complete = drain_refusal(response)
                raise
            except (HTTPError, HTTPException, OSError) as error:
                raise StreamInterruptedError(repr(error)) from error
            return response.headers[names.STAMP]
        finally:
            self._release_connection(view, connection, response, complete)

    def _send(
        self,
        view: TargetView,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout: float,
    ) -> tuple[HTTPConnection, urllib3.BaseHTTPResponse]:
        """Send a repeatable request and return its connection and response head."""
        try:
            connection, _ = self.connections.acquire(view.id, view.address)
        except (HTTPError, OSError) as error:
            raise StreamInterruptedError(f"connection failed: {error!r}") from error
        fields = urllib3.HTTPHeaderDict()
        for name, value in headers:
            fields.add(name, value)
        for name in ("User-Agent", "Accept-Encoding"):
            if name not in fields:
                fields[name] = SKIP_HEADER
        try:
            connection.timeout = timeout
            connection.sock.settimeout(timeout)
            # The time-out of the socket starts anew with each byte.
            late = StreamInterruptedError(f"no response head within {timeout} s")
            with eventlet.Timeout(timeout, late):
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

    def _check_head(
        self,
        view: TargetView,
        response: urllib3.BaseHTTPResponse,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Raise unless the head reports success of this request."""
        headers = response.headers
        record_reports(
            self.directory, view, request_id, sent_at, response.status, headers
        )
        # A late copy of an earlier refusal says nothing about this request.
        if not belongs_to_request(headers, request_id):
            raise StreamInterruptedError("the response belongs to another request")
        if response.status == MISDIRECTED_STATUS:
            self.directory.mark_address_reused(view)
            raise NotStartedError("the address now belongs to another target")
        if headers.get(names.NOT_RUN):
            load = (headers.get(names.LOAD) or "")[:MAX_LOGGED_CHARS]
            raise NotStartedError(
                f"{view.id} refused with status {response.status}, load {load!r}"
            )
        if response.status == 422:
            raise ItemRejectedError("rejected permanently with status 422")
        if response.status == DEADLINE_STATUS:
            # The time ran out, which says nothing about the item.
            raise DeadlinePassedError("the deadline passed at the target")
        if response.status == FAILED_STATUS:
            raise ItemFailedError(f"status {response.status}")
        if response.status != 200 or headers.get(names.REQUEST_ID) is None:
            raise StreamInterruptedError(f"status {response.status}")
        if not headers.get(names.STAMP):
            raise StreamInterruptedError("the response has no signature")

    def _read_events(
        self,
        view: TargetView,
        job: Job,
        item: JobItem,
        transcript: Transcript,
        response: urllib3.BaseHTTPResponse,
        on_event: Callable[[], None],
    ) -> bool:
        """Append the events of a stream; return true if it ended regularly."""
        version = _weight_version(response)
        if version:
            self._check_version(view, job, item, version)
        elif not transcript.events:
            raise StreamInterruptedError(NO_VERSION_REASON)
        # A text that was interrupted after its last event is continued by an empty
        # stream, whose head has no version.
        is_framed = has_stated_end(response)
        parser = EventParser(version)
        # Progress is a complete event; single bytes and empty lines are none.
        progress = StreamProgress()
        try:
            for part in read_parts(response, READ_SIZE_BYTES):
                progress.add(part)
                for number, data, version in parser.feed(part):
                    if not version:
                        raise StreamInterruptedError(NO_VERSION_REASON)
                    self._check_version(view, job, item, version)
                    if number != len(transcript.events) + 1:
                        raise StreamInterruptedError(f"event {number} is out of order")
                    transcript.add(data, version)
                    on_event()
                    progress.add_event()
                    yield_if_due()
                progress.check()
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise StreamInterruptedError(repr(error)) from error
        if not is_framed:
            raise StreamInterruptedError("the response has no length or chunked coding")
        if parser.is_within_event:
            raise StreamInterruptedError("the stream ended within an event")
        if not transcript.events:
            raise StreamInterruptedError("the stream has no events")
        return True

    def _check_version(
        self, view: TargetView, job: Job, item: JobItem, version: int
    ) -> None:
        self.directory.record_weight_version(view.id, item.model, version)
        if version < job.oldest_version:
            raise StaleWeightsError(f"{view.id} has weight version {version}")

    def _release_connection(
        self,
        view: TargetView,
        connection: HTTPConnection,
        response: Any,
        complete: bool,
    ) -> None:
        """Release the connection to the pool; close it if it cannot be reused."""
        closes = "close" in (response.headers.get("Connection") or "").lower()
        if complete and not closes:
            self.connections.release(
                view.id,
                view.address,
                connection,
                response.headers.get("Keep-Alive") or "",
            )
        else:
            # A response with ``Connection: close`` owns the socket, so that closing
            # the connection alone would not close it.
            response.close()
            connection.close()


def _urgency_header(item: JobItem) -> list[tuple[str, str]]:
    """Return the header that tells how urgent an item is, unless it brings one."""
    has_own = any(name.lower() == names.URGENCY.lower() for name, _ in item.headers)
    if item.urgency is None or has_own:
        return []
    return [(names.URGENCY, str(item.urgency))]


def _skip_body(response: urllib3.BaseHTTPResponse, deadline: float) -> None:
    """Read a body that is not used, until a deadline in boot time."""
    size = 0
    for part in read_parts(response):
        size += len(part)
        if size > MAX_SCORE_BODY_BYTES or boottime() > deadline:
            raise StreamInterruptedError("the body of the score does not end")


def _require_count(text: str) -> int:
    count = parse_count(text)
    if count is None:
        raise ValueError(f"not a whole number: {text[:40]!r}")
    return count


def _weight_version(response: urllib3.BaseHTTPResponse) -> int:
    """Return the weight version of the first event; 0 if the head has none."""
    return parse_count(response.headers.get(names.VERSIONS) or "") or 0

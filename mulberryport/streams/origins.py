"""Where streams of callers began, so that they go on at the same software version.

What two software versions of a target write does not fit together, and targets do not
check it. A caller may take up a stream at any daemon, also after all daemons were
restarted.

Each daemon writes the origins of its streams to the store, many at once, whatever it
knows of versions and routes: what the daemon that takes a stream up knows may differ.
While there are several versions, or the store cannot record one, other daemons keep
copies of the origins from before the first event. A stream that was not written yet is
known by the record of versions if that can have only one. A stream whose origin is not
known is not continued.
"""

from collections import OrderedDict
from collections.abc import Callable
from itertools import islice

import orjson
import xxhash
from attrs import define, field, frozen

from ..coordination import Committed, KeyValueStore, Put, Transaction
from ..outcomes import Done
from ..runtime.clock import boottime
from ..targets import TargetDirectory
from ..telemetry import define as define_event
from ..telemetry import log
from .copies import OriginCopies
from .versions import STREAM_LIFETIME_S, SoftwareVersions

__all__ = ["StreamOrigin", "StreamOrigins", "stream_key"]

ORIGINS_UNWRITTEN = define_event(
    652,
    "stream_origins_unwritten",
    "warning",
    "Origins of streams could not be written to the store; they are written again.",
)
ORIGIN_MALFORMED = define_event(
    653,
    "stream_origin_malformed",
    "error",
    "The origin of a stream that the store has is malformed.",
)

ORIGINS_PREFIX = "mulberryport/stream/"
# Puts of one transaction; the store accepts at most 32 entries.
MAX_PUTS = 30
MAX_TRANSACTIONS_PER_RUN = 8
MAX_COPIES_PER_RUN = MAX_PUTS * MAX_TRANSACTIONS_PER_RUN
# While there is one version, origins wait this long, so that they are written in groups
# and streams that end sooner are not written.
MIN_WRITE_DELAY_S = 1.0
# Limit of the writes of all daemons while there is one version.
MAX_WRITES_PER_S = 100.0
# A new lease is used after this time, so that origins are removed in groups.
LEASE_ROTATION_S = 30.0
LEASE_TTL_S = STREAM_LIFETIME_S + LEASE_ROTATION_S
# Streams that may outlast a lease are written again after this time.
REWRITE_INTERVAL_S = STREAM_LIFETIME_S / 3
MAX_STREAMS = 20_000
# Callers take a stream up a few times within the time that they wait for it.
RESPONSES_PER_STREAM = 2


@frozen
class StreamOrigin:
    """Where the first event of a stream came from.

    Parameters
    ----------
    pool : str
        Pool of the target.
    software : str
        Version of the target's software.
    """

    pool: str
    software: str

    @property
    def label(self) -> str:
        """Text that names the origin in the record of its route."""
        return orjson.dumps([self.pool, self.software]).decode()

    @classmethod
    def from_label(cls, label: str) -> "StreamOrigin":
        """Return the origin that a text names.

        Raises
        ------
        ValueError
            The text names no origin.

        Examples
        --------
        >>> StreamOrigin.from_label(StreamOrigin("p", "1").label)
        StreamOrigin(pool='p', software='1')
        """
        try:
            pool, software = orjson.loads(label)
        except TypeError as error:
            raise ValueError(f"no origin: {label!r}") from error
        if not isinstance(pool, str) or not isinstance(software, str):
            raise ValueError(f"no origin: {label!r}")
        return cls(pool, software)


@define(eq=False)
class BegunStream:
    """A stream that this daemon passed on.

    Parameters
    ----------
    route : str
        Name of its route.
    origin : StreamOrigin
        Where it began.
    lifetime_s : float
        Seconds after the last response began within which it may be taken up.
    begun_at, waiting_since : float
        Boot times of the start of the last response, and from which on the origin is
        to be written.
    is_copied : bool
        Whether another daemon keeps a copy.
    """

    route: str
    origin: StreamOrigin
    lifetime_s: float
    begun_at: float = field(factory=boottime)
    waiting_since: float = field(factory=boottime)
    is_copied: bool = False


def stream_key(workspace: str, request_id: str) -> str:
    """Return the key of a stream, which tells nothing about its caller.

    Parameters
    ----------
    workspace : str
        Workspace of the caller.
    request_id : str
        Id of the attempt that brought the first event.

    Examples
    --------
    >>> stream_key("a", "r1") == stream_key("b", "r1")
    False
    """
    return xxhash.xxh3_128_hexdigest(f"{workspace}\0{request_id}".encode())


@define(eq=False)
class StreamOrigins:
    """Origins of the streams of callers.

    Parameters
    ----------
    store : KeyValueStore
        The store.
    now : callable
        Returns seconds since 1970 by the fleet's clock.
    directory : TargetDirectory
        Targets and their software versions.
    copies : OriginCopies or None
        Copies that other daemons keep; None if there are no others.
    """

    store: KeyValueStore
    now: Callable[[], float]
    directory: TargetDirectory
    copies: OriginCopies | None = None
    _versions: SoftwareVersions = field(init=False)
    _streams: OrderedDict[str, BegunStream] = field(factory=OrderedDict)
    _unwritten: dict[str, BegunStream] = field(factory=dict)
    _lease: int = 0
    _lease_granted_at: float = float("-inf")
    _rewritten_at: float = field(factory=boottime)

    def __attrs_post_init__(self) -> None:
        """Create the record of versions."""
        self._versions = SoftwareVersions(self.store, self.now)

    def begin(
        self, key: str, route: str, origin: StreamOrigin, longest_s: float
    ) -> None:
        """Record where a stream began; call it before its first event is passed on.

        Parameters
        ----------
        key : str
            Key of the stream, see ``stream_key``.
        route : str
            Name of its route.
        origin : StreamOrigin
            Where it began.
        longest_s : float
            Seconds that one response of the stream may last.
        """
        is_confirmed = self._versions.confirm(route, origin.label)
        stream = self._add(key, route, origin, longest_s)
        if not is_confirmed or self._is_mixed(stream):
            self._copy({key: stream})

    def resume(
        self, key: str, route: str, origin: StreamOrigin, longest_s: float
    ) -> None:
        """Record that this daemon goes on with a stream; parameters as for ``begin``.

        Its first daemon may be gone, and its record ends some time later.
        """
        self._versions.confirm(route, origin.label)
        self._add(key, route, origin, longest_s).is_copied = True

    def begin_unknown(self, route: str, candidates: set[StreamOrigin]) -> None:
        """Record that a stream began at one of several origins, nobody knows which."""
        for origin in candidates:
            self._versions.confirm(route, origin.label)

    def end(self, key: str) -> None:
        """Forget a stream that was passed on whole."""
        self._streams.pop(key, None)
        self._unwritten.pop(key, None)

    def find(self, key: str, route: str, longest_s: float) -> StreamOrigin | None:
        """Return where a stream began; None if that is not known for certain.

        Parameters
        ----------
        key : str
            Key of the stream; empty if the caller did not name it.
        route : str
            Name of its route.
        longest_s : float
            Seconds that one response of the stream may last.
        """
        if key in self._streams:
            return self._streams[key].origin
        if key and (origin := self._find_copy(key) or self._read(key)) is not None:
            return origin
        if _lifetime_s(longest_s) > STREAM_LIFETIME_S:
            return None
        versions = self._versions.read(route)
        if not isinstance(versions, Done) or len(versions.value) != 1:
            return None
        origin = self._decode(next(iter(versions.value)))
        # A stream may have begun at another version that could not be recorded.
        return origin if origin is not None and self._is_only(origin) else None

    def run_once(self) -> None:
        """Write origins of streams that are due to the store."""
        self._versions.refresh()
        self._rewrite_long_streams()
        due = self._due()
        keys = list(due)
        starts = range(0, len(keys), MAX_PUTS)
        for start in starts[:MAX_TRANSACTIONS_PER_RUN]:
            group = keys[start : start + MAX_PUTS]
            if not self._write({key: due[key].origin for key in group}):
                self._copy(due)
                return
            for key in group:
                self._unwritten.pop(key, None)

    def _add(
        self, key: str, route: str, origin: StreamOrigin, longest_s: float
    ) -> BegunStream:
        stream = BegunStream(route, origin, _lifetime_s(longest_s))
        # Streams are removed in the order in which they were added.
        self.end(key)
        self._streams[key] = self._unwritten[key] = stream
        self._remove_outdated()
        return stream

    def _due(self) -> dict[str, BegunStream]:
        """Return the streams to write: those of several versions, and later all."""
        oldest = next(iter(self._unwritten.values()), None)
        if oldest and boottime() - oldest.waiting_since >= self._write_delay_s():
            return dict(self._unwritten)
        return {
            key: stream
            for key, stream in self._unwritten.items()
            if self._is_mixed(stream)
        }

    def _write_delay_s(self) -> float:
        daemons = self.copies.daemon_count if self.copies is not None else 1
        return max(MIN_WRITE_DELAY_S, daemons / MAX_WRITES_PER_S)

    def _rewrite_long_streams(self) -> None:
        """Let streams that may outlast their lease be written again."""
        now = boottime()
        if now - self._rewritten_at < REWRITE_INTERVAL_S:
            return
        self._rewritten_at = now
        self._remove_outdated()
        for key, stream in self._streams.items():
            if stream.lifetime_s > STREAM_LIFETIME_S and key not in self._unwritten:
                stream.waiting_since, stream.is_copied = now, False
                self._unwritten[key] = stream

    def _copy(self, streams: dict[str, BegunStream]) -> None:
        """Let other daemons keep the origins of some streams that they lack."""
        not_copied = (entry for entry in streams.items() if not entry[1].is_copied)
        lacking = dict(islice(not_copied, MAX_COPIES_PER_RUN))
        if self.copies is None or not lacking:
            return
        labels = {key: stream.origin.label for key, stream in lacking.items()}
        if self.copies.keep(labels):
            for stream in lacking.values():
                stream.is_copied = True

    def _find_copy(self, key: str) -> StreamOrigin | None:
        label = self.copies.find(key) if self.copies is not None else ""
        return self._decode(label) if label else None

    def _is_only(self, origin: StreamOrigin) -> bool:
        """Return whether no other version may have begun a stream that still lasts."""
        listed = self.directory.software_listed_within(origin.pool, STREAM_LIFETIME_S)
        return not listed - {origin.software}

    def _is_mixed(self, stream: BegunStream) -> bool:
        """Return whether the record of versions may not tell where a stream began."""
        return not self._is_only(stream.origin) or self._versions.is_mixed(stream.route)

    def _write(self, origins: dict[str, StreamOrigin]) -> bool:
        if boottime() - self._lease_granted_at > LEASE_ROTATION_S:
            granted_at, granted = boottime(), self.store.grant_lease(LEASE_TTL_S)
            if not isinstance(granted, Done):
                log(ORIGINS_UNWRITTEN, streams=len(origins), reason=str(granted))
                return False
            self._lease, self._lease_granted_at = granted.value, granted_at
        puts = tuple(
            Put(
                ORIGINS_PREFIX + key,
                origin.label.encode(),
                self._lease,
            )
            for key, origin in origins.items()
        )
        outcome = self.store.commit(Transaction(puts=puts))
        if isinstance(outcome, Done) and isinstance(outcome.value, Committed):
            return True
        log(ORIGINS_UNWRITTEN, streams=len(origins), reason=str(outcome))
        # The lease may have ended.
        self._lease_granted_at = float("-inf")
        return False

    def _read(self, key: str) -> StreamOrigin | None:
        outcome = self.store.read(ORIGINS_PREFIX + key)
        if not isinstance(outcome, Done) or outcome.value is None:
            return None
        return self._decode(outcome.value.value.decode(errors="replace"))

    def _decode(self, label: str) -> StreamOrigin | None:
        try:
            return StreamOrigin.from_label(label)
        except ValueError as error:
            log(ORIGIN_MALFORMED, error=str(error))
            return None

    def _remove_outdated(self) -> None:
        now = boottime()
        while self._streams:
            key, stream = next(iter(self._streams.items()))
            is_outdated = now - stream.begun_at >= stream.lifetime_s
            if not is_outdated and len(self._streams) <= MAX_STREAMS:
                return
            self.end(key)


def _lifetime_s(longest_s: float) -> float:
    return max(STREAM_LIFETIME_S, RESPONSES_PER_STREAM * longest_s)

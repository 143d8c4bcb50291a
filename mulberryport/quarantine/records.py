"""In-memory table of the requests that crashed targets.

Each report of a crash has a random id, under which all daemons know it. Tables are
merged by the union of their reports. A success or an operator clears the reports that
are known to the clearing daemon at that time, by their ids: a cleared report stays
cleared at every daemon, and a report that the clearing daemon did not know still counts
at every daemon. Clocks therefore decide neither which reports are cleared nor whether
two messages describe the same report.
"""

import secrets
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from functools import cached_property, partial
from itertools import islice

from attrs import define, evolve, field, frozen

from ..telemetry import Event, log
from ..telemetry import define as define_event

__all__ = [
    "MAX_CRASHES",
    "MAX_RECORDS",
    "Crash",
    "CrashRecord",
    "CrashTable",
    "Entry",
]

REQUEST_BLOCKED = define_event(
    620,
    "request_blocked",
    "warning",
    "A request crashed several targets and is not sent to targets any more.",
)
BLOCK_LEARNED = define_event(
    621, "request_block_learned", "info", "A peer reported a blocked request."
)
BLOCK_LIFTED = define_event(
    622, "request_block_lifted", "info", "A request is no longer blocked."
)
RECORD_EVICTED = define_event(
    623,
    "crash_record_evicted",
    "warning",
    "The table of crashes is full; a record was removed.",
)

# Crashes that block a request: those of targets that ran no other request, and all.
ALONE_CRASHES_TO_BLOCK = 2
CRASHES_TO_BLOCK = 3
# Several daemons and several copies of a request may report the same crash. A target
# needs longer than this to start again.
SAME_CRASH_S = 2.0
MAX_RECORDS = 1000
MAX_CRASHES = 8
SUSPECT_LIFETIME_S = 86_400.0
# Time for which cleared reports are kept, so that a daemon that missed the clearing
# does not bring them back.
CLEARED_LIFETIME_S = 600.0
# The records are sorted again after this time or after a change, not for each of many
# heartbeats.
EXPORT_LIFETIME_S = 5.0
ID_BITS = 64


@frozen
class Crash:
    """A target that ended while it ran a request, as one daemon reports it.

    Parameters
    ----------
    target : str
        Id of the target.
    at : float
        Boot time of the crash in seconds; that of the clearing if it is cleared.
    alone : bool
        Whether the reporting daemon had no other request at the target.
    id : int
        Identifies the report at all daemons.
    cleared : bool
        Whether it does not count any more.
    """

    target: str
    at: float
    alone: bool
    id: int = field(factory=partial(secrets.randbits, ID_BITS), kw_only=True)
    cleared: bool = field(default=False, kw_only=True)


@frozen
class CrashRecord:
    """The reports about one request, cleared ones included.

    Parameters
    ----------
    identity : bytes
        Result of ``request_identity``.
    route, workspace : str
        For operators.
    crashes : tuple of Crash
        At most ``MAX_CRASHES`` that count and as many cleared ones, in order of id.
    version : int
        Changes with every change of the record in this table; not for other daemons.
    """

    identity: bytes
    route: str
    workspace: str
    crashes: tuple[Crash, ...] = ()
    version: int = field(default=0, eq=False)

    @cached_property
    def live(self) -> list[Crash]:
        """The reports that count."""
        return [crash for crash in self.crashes if not crash.cleared]

    @cached_property
    def distinct(self) -> list[Crash]:
        """One report for each crash that counts."""
        return _distinct(self.live)

    @cached_property
    def last_crash_at(self) -> float:
        """Boot time of the last crash that counts; minus infinity if there is none."""
        return max((crash.at for crash in self.live), default=float("-inf"))


@frozen
class Entry:
    """A suspect or blocked request, for operators."""

    identity: bytes
    route: str
    workspace: str
    blocked: bool
    crashes: int
    targets: tuple[str, ...]
    last_crash_age_s: float


@define(eq=False)
class CrashTable:
    """The crashes that this daemon knows, its own and those that peers reported.

    A request is suspect after its first crash. It is blocked after two crashes of
    targets that ran nothing else, or after three crashes in all. A crash counts as one
    of a target that ran nothing else if every report of it says so and no other request
    is known to have been part of it. Blocked requests stay blocked until they are
    lifted; suspect ones are forgotten a day after their last crash.

    All times are boot times in seconds.

    Parameters
    ----------
    on_change : callable
        Called after each change that other daemons have to know.

    Examples
    --------
    >>> table = CrashTable()
    >>> table.record_crash(b"id", "chat", "w", Crash("t1", 0.0, alone=True))
    >>> table.is_suspect(b"id", 5.0), table.is_blocked(b"id", 5.0)
    (True, False)
    >>> table.record_crash(b"id", "chat", "w", Crash("t2", 5.0, alone=True))
    >>> table.is_blocked(b"id", 5.0)
    True
    """

    on_change: Callable[[], object] = lambda: None
    _records: dict[bytes, CrashRecord] = field(factory=dict)
    # Identities with crashes that count.
    _suspects: set[bytes] = field(factory=set)
    # Times, identities and ids of the crashes that count, by target, in order of time.
    _by_target: dict[str, list[tuple[float, bytes, int]]] = field(factory=dict)
    _version: int = 0
    _exported: list[CrashRecord] = field(factory=list)
    _exported_version: int = 0
    _exported_until: float = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no crash counts for any request."""
        return not self._suspects

    def record_crash(
        self, identity: bytes, route: str, workspace: str, crash: Crash
    ) -> None:
        """Record a crash that this daemon has seen."""
        was_blocked = self.is_blocked(identity, crash.at)
        self._join(CrashRecord(identity, route, workspace, (crash,)), crash.at)
        if not was_blocked and self.is_blocked(identity, crash.at):
            _log(REQUEST_BLOCKED, self._records[identity])
        self.on_change()

    def record_success(self, identity: bytes, now: float) -> None:
        """Record that a request ran to its end at a target; it is no crasher.

        The crashes known here until now are cleared, at all daemons.
        """
        self._clear(identity, now)

    def lift(self, identity: bytes, now: float) -> bool:
        """Clear the crashes of a request by an operator; return whether any counted.

        The crashes known here until now are cleared, at all daemons.
        """
        return self._clear(identity, now)

    def is_suspect(self, identity: bytes, now: float) -> bool:
        """Return whether a request has crashed a target since it was last cleared."""
        record = self._records.get(identity)
        if record is None or not record.live:
            return False
        return not self._is_outdated(record, now)

    def is_blocked(self, identity: bytes, now: float) -> bool:
        """Return whether a request must not be sent to any target."""
        record = self._records.get(identity)
        return record is not None and self._is_blocked(record)

    def entries(self, now: float) -> list[Entry]:
        """Return the suspect and blocked requests, blocked ones and the newest first.

        Parameters
        ----------
        now : float
            Boot time, from which the ages are counted.
        """
        return [
            Entry(
                record.identity,
                record.route,
                record.workspace,
                self._is_blocked(record),
                len(record.distinct),
                tuple(sorted({crash.target for crash in record.live})),
                max(0.0, now - record.last_crash_at),
            )
            for record in self.export(now)
            if record.live
        ]

    def export(self, now: float) -> list[CrashRecord]:
        """Return all records for peers, blocked ones first, then the newest first."""
        if self._exported_version != self._version or now >= self._exported_until:
            self._expire(now)
            self._exported = sorted(
                self._records.values(), key=self._rank, reverse=True
            )
            self._exported_version = self._version
            self._exported_until = now + EXPORT_LIFETIME_S
        return list(self._exported)

    def find(self, identity: bytes) -> CrashRecord | None:
        """Return the record of a request; None if nothing is known about it."""
        return self._records.get(identity)

    def merge(self, records: Iterable[CrashRecord], now: float) -> bool:
        """Merge records of a peer; return whether this table has changed.

        The result does not depend on the order or number of the merges, as long as no
        limit is exceeded. The times of the crashes must be boot times of this daemon.
        """
        changed = False
        for record in records:
            before = self._records.get(record.identity)
            was_blocked = before is not None and self._is_blocked(before)
            if not self._join(record, now):
                continue
            changed = True
            is_blocked = self.is_blocked(record.identity, now)
            if is_blocked and not was_blocked:
                _log(BLOCK_LEARNED, self._records[record.identity])
            elif before is not None and was_blocked and not is_blocked:
                _log(BLOCK_LIFTED, before)
        if changed:
            self.on_change()
        return changed

    def _join(self, record: CrashRecord, now: float) -> bool:
        """Add the reports of a record; return whether this changed the table."""
        known = self._records.get(record.identity)
        by_id = {crash.id: crash for crash in known.crashes} if known else {}
        for crash in record.crashes:
            other = by_id.get(crash.id)
            by_id[crash.id] = crash if other is None else _join_reports(other, crash)
        crashes = _limit(_unexpired(by_id.values(), now))
        joined = evolve(record, crashes=crashes)
        if joined == known or self._is_outdated(joined, now):
            return False
        self._store(joined)
        return self._evict(record.identity)

    def _clear(self, identity: bytes, now: float) -> bool:
        record = self._records.get(identity)
        if record is None or not record.live:
            return False
        was_blocked = self._is_blocked(record)
        crashes = (
            crash if crash.cleared else evolve(crash, at=now, cleared=True)
            for crash in record.crashes
        )
        self._store(evolve(record, crashes=_limit(crashes)))
        if was_blocked:
            _log(BLOCK_LIFTED, record)
        self.on_change()
        return True

    def _store(self, record: CrashRecord) -> None:
        self._remove(record.identity)
        self._version += 1
        self._records[record.identity] = evolve(record, version=self._version)
        for crash in record.live:
            self._suspects.add(record.identity)
            insort(
                self._by_target.setdefault(crash.target, []),
                (crash.at, record.identity, crash.id),
            )

    def _remove(self, identity: bytes) -> None:
        record = self._records.pop(identity, None)
        self._suspects.discard(identity)
        for crash in record.live if record is not None else ():
            of_target = self._by_target[crash.target]
            del of_target[bisect_left(of_target, (crash.at, identity, crash.id))]
            if not of_target:
                del self._by_target[crash.target]

    def _expire(self, now: float) -> None:
        """Remove cleared reports and suspect requests that are too old."""
        for identity, record in list(self._records.items()):
            crashes = tuple(_unexpired(record.crashes, now))
            remaining = evolve(record, crashes=crashes)
            if self._is_outdated(remaining, now):
                self._remove(identity)
            else:
                self._records[identity] = remaining

    def _is_outdated(self, record: CrashRecord, now: float) -> bool:
        """Return whether a record without outdated reports can be forgotten."""
        if not record.live:
            return not record.crashes
        oldest = now - SUSPECT_LIFETIME_S
        return record.last_crash_at <= oldest and not self._is_blocked(record)

    def _evict(self, added: bytes) -> bool:
        """Enforce the limit of records; return whether the added one was kept."""
        if len(self._records) <= MAX_RECORDS:
            return True
        evicted = min(self._records.values(), key=self._rank)
        self._remove(evicted.identity)
        if evicted.identity == added:
            return False
        log(
            RECORD_EVICTED,
            identity=evicted.identity.hex(),
            route=evicted.route,
            workspace=evicted.workspace,
        )
        return True

    def _rank(self, record: CrashRecord) -> tuple[bool, float, bytes]:
        """Return the sort key by which blocked and recent records come last."""
        return self._is_blocked(record), record.last_crash_at, record.identity

    def _is_blocked(self, record: CrashRecord) -> bool:
        if len(record.distinct) >= CRASHES_TO_BLOCK:
            return True
        alone = [crash for crash in record.distinct if crash.alone]
        return len(alone) >= ALONE_CRASHES_TO_BLOCK and (
            sum(not self._is_shared(crash, record) for crash in alone)
            >= ALONE_CRASHES_TO_BLOCK
        )

    def _is_shared(self, crash: Crash, record: CrashRecord) -> bool:
        """Return whether another request is known to have been part of a crash."""
        of_target = self._by_target.get(crash.target, [])
        first = bisect_left(of_target, (crash.at - SAME_CRASH_S, b"", 0))
        for at, identity, _ in islice(of_target, first, None):
            if at - crash.at >= SAME_CRASH_S:
                return False
            if identity != record.identity and crash.at - at < SAME_CRASH_S:
                return True
        return False


def _log(event: Event, record: CrashRecord) -> None:
    log(
        event,
        identity=record.identity.hex(),
        route=record.route,
        workspace=record.workspace,
        crashes=len(record.distinct),
        targets=sorted({crash.target for crash in record.live}),
    )


def _join_reports(one: Crash, other: Crash) -> Crash:
    """Combine two copies of a report; a cleared copy wins over one that counts.

    A report becomes younger by the transfer time with each copy, so the earliest time
    is the most accurate one.
    """
    if one.cleared != other.cleared:
        return one if one.cleared else other
    return evolve(one, at=min(one.at, other.at), alone=one.alone and other.alone)


def _distinct(crashes: Iterable[Crash]) -> list[Crash]:
    """Return one report for each crash of a target, the earliest.

    It says alone only if all reports of the crash do.
    """
    distinct: list[Crash] = []
    last_by_target: dict[str, int] = {}
    for crash in sorted(crashes, key=lambda crash: (crash.at, crash.id)):
        index = last_by_target.get(crash.target)
        if index is None or crash.at - distinct[index].at >= SAME_CRASH_S:
            last_by_target[crash.target] = len(distinct)
            distinct.append(crash)
        elif not crash.alone:
            distinct[index] = evolve(distinct[index], alone=False)
    return distinct


def _unexpired(crashes: Iterable[Crash], now: float) -> list[Crash]:
    oldest = now - CLEARED_LIFETIME_S
    return [crash for crash in crashes if not crash.cleared or crash.at > oldest]


def _limit(crashes: Iterable[Crash]) -> tuple[Crash, ...]:
    """Enforce the limit of reports, without changing whether they block a request.

    Repeated reports of the same crash are removed first, then the oldest reports.
    """
    crashes = list(crashes)
    live = [crash for crash in crashes if not crash.cleared]
    if len(live) > MAX_CRASHES:
        live = _distinct(live)
    cleared = [crash for crash in crashes if crash.cleared]
    kept = [*_newest(live), *_newest(cleared)]
    return tuple(sorted(kept, key=lambda crash: crash.id))


def _newest(crashes: list[Crash]) -> list[Crash]:
    crashes.sort(key=lambda crash: (crash.at, crash.id), reverse=True)
    return crashes[:MAX_CRASHES]

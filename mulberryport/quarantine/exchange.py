"""Exchange of crash records with peers, in heartbeats and in notices between them.

Every daemon passes on all that it knows, so that reports travel over relays, reach
daemons without access to the store and come back to a daemon that has restarted.
"""

import random
from collections.abc import Callable, Iterable

from attrs import define, field

from ..membership import Member, Members
from ..peering import Notices, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .identity import IDENTITY_BYTES
from .records import MAX_CRASHES, Crash, CrashRecord, CrashTable

__all__ = [
    "MAX_RECORDS_PER_MESSAGE",
    "CrashExchange",
    "decode_record",
    "encode_record",
]

RECORDS_MALFORMED = define_event(
    624,
    "crash_records_malformed",
    "warning",
    "A peer sent malformed crash records; they were ignored.",
)

MAX_RECORDS_PER_MESSAGE = 32
# Records that a peer should have already, sent again in each heartbeat in case that the
# message with them was lost.
REPEATED_RECORDS = 2
MAX_TEXT_LENGTH = 256
MAX_AGE_MS = 2**40


def encode_record(record: CrashRecord, now: float) -> peer_pb2.CrashRecord:
    """Return the message for a record, with ages instead of boot times."""
    message = peer_pb2.CrashRecord(
        identity=record.identity,
        route=record.route[:MAX_TEXT_LENGTH],
        workspace=record.workspace[:MAX_TEXT_LENGTH],
    )
    for crash in record.crashes:
        message.reports.add(
            id=crash.id,
            target=crash.target[:MAX_TEXT_LENGTH],
            age_ms=min(MAX_AGE_MS, max(0, int((now - crash.at) * 1000))),
            alone=crash.alone,
            cleared=crash.cleared,
        )
    return message


def decode_record(message: peer_pb2.CrashRecord, now: float) -> CrashRecord:
    """Return the record in a message.

    Raises
    ------
    ValueError
        The message is malformed.
    """
    if len(message.identity) != IDENTITY_BYTES:
        raise ValueError(f"an identity has {len(message.identity)} bytes")
    if len(message.reports) > 2 * MAX_CRASHES:
        raise ValueError(f"a record has {len(message.reports)} reports")
    if len({report.id for report in message.reports}) < len(message.reports):
        raise ValueError("a record has two reports of the same id")
    texts = (message.route, message.workspace, *(r.target for r in message.reports))
    if max(map(len, texts)) > MAX_TEXT_LENGTH:
        raise ValueError(f"a text is longer than {MAX_TEXT_LENGTH} characters")
    oldest_ms = max((report.age_ms for report in message.reports), default=0)
    if oldest_ms > MAX_AGE_MS:
        raise ValueError(f"a report has the age {oldest_ms} ms")
    return CrashRecord(
        message.identity,
        message.route,
        message.workspace,
        tuple(
            Crash(
                report.target,
                now - report.age_ms / 1000,
                report.alone,
                id=report.id,
                cleared=report.cleared,
            )
            for report in message.reports
        ),
    )


@define(eq=False)
class CrashExchange:
    """Sends the crash records of this daemon to its peers and merges theirs.

    A record is sent to a peer whenever it has changed since it was last sent to the
    peer, at once to peers that accept notices. Records that have not changed are
    repeated in random order.

    Parameters
    ----------
    table : CrashTable
        The records; its ``on_change`` is set.
    members : Members
        The members.
    make_sender : callable
        Returns the sender field of a message.
    now : callable
        Returns the boot time in seconds.
    """

    table: CrashTable
    members: Members
    make_sender: Callable[[], peer_pb2.Sender]
    now: Callable[[], float] = boottime
    notices: Notices = field(init=False)
    # Versions of the records that each peer has, by identity.
    _sent: dict[str, dict[bytes, int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Send a notice after each change of the table."""
        self.notices = Notices(self.make_notice, self.apply)
        self.table.on_change = self.notices.send

    def attach(
        self,
        contributors: list[Callable[[peer_pb2.Heartbeat, Member], object]],
        listeners: list[Callable[[peer_pb2.Heartbeat], object]],
    ) -> None:
        """Take part in the heartbeats."""
        contributors.append(self.add)
        listeners.append(self.apply)

    def add(self, heartbeat: peer_pb2.Heartbeat, peer: Member) -> None:
        """Add records to a heartbeat for a peer."""
        if heartbeat.members_complete:
            # A new stream: the peer may have restarted, or messages may be lost.
            known = {member.vm for member in self.members.known()}
            known.discard(peer.vm)
            self._sent = {vm: sent for vm, sent in self._sent.items() if vm in known}
        records = self._take_news(peer.vm)
        chosen = {record.identity for record in records}
        others = [r for r in self.table.export(self.now()) if r.identity not in chosen]
        free = MAX_RECORDS_PER_MESSAGE - len(records)
        count = min(REPEATED_RECORDS, free, len(others))
        self._encode([*records, *random.sample(others, count)], heartbeat)

    def make_notice(self, peer: Member) -> peer_pb2.Heartbeat | None:
        """Return a notice with the records that a peer does not have; None if none."""
        records = self._take_news(peer.vm)
        if not records:
            return None
        notice = peer_pb2.Heartbeat(sender=self.make_sender(), notice=True)
        self._encode(records, notice)
        return notice

    def apply(self, message: peer_pb2.Heartbeat) -> None:
        """Merge the records in a heartbeat or notice of a peer."""
        if not message.crash_records:
            return
        now, vm = self.now(), message.sender.vm
        if len(message.crash_records) > MAX_RECORDS_PER_MESSAGE:
            count = len(message.crash_records)
            log(RECORDS_MALFORMED, peer=vm, error=f"{count} records in one message")
            return
        records = []
        for record_message in message.crash_records:
            try:
                records.append(decode_record(record_message, now))
            except ValueError as error:
                log(RECORDS_MALFORMED, peer=vm, error=str(error))
        self.table.merge(records, now)
        self._record_known(vm, records)

    def _take_news(self, vm: str) -> list[CrashRecord]:
        """Return records that a peer does not have, and regard them as sent."""
        records = self.table.export(self.now())
        sent = self._sent.get(vm, {})
        news = [r for r in records if sent.get(r.identity) != r.version]
        news = news[:MAX_RECORDS_PER_MESSAGE]
        if news:
            current = {r.identity for r in records}
            self._sent[vm] = {i: v for i, v in sent.items() if i in current}
            self._sent[vm].update((r.identity, r.version) for r in news)
        return news

    def _record_known(self, vm: str, records: Iterable[CrashRecord]) -> None:
        """Regard records as sent to the peer that knows just as much of them."""
        for record in records:
            own = self.table.find(record.identity)
            if own is not None and _report_states(own) == _report_states(record):
                self._sent.setdefault(vm, {})[own.identity] = own.version

    def _encode(
        self, records: Iterable[CrashRecord], message: peer_pb2.Heartbeat
    ) -> None:
        now = self.now()
        message.crash_records.extend(encode_record(record, now) for record in records)


def _report_states(record: CrashRecord) -> set[tuple[int, bool]]:
    return {(crash.id, crash.cleared) for crash in record.crashes}

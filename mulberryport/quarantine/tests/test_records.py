"""Tests of the table of crashes."""

from itertools import islice

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from .. import records as records_module
from ..records import (
    CLEARED_LIFETIME_S,
    MAX_CRASHES,
    MAX_RECORDS,
    SAME_CRASH_S,
    SUSPECT_LIFETIME_S,
    Crash,
    CrashRecord,
    CrashTable,
)
from .builders import IDENTITY, OTHER_IDENTITY, crash_targets, make_crash

NOW = 100.0


def identity_of(number: int) -> bytes:
    return number.to_bytes(16, "big")


def content(table: CrashTable) -> list[CrashRecord]:
    return sorted(table.export(NOW), key=lambda record: record.identity)


def merged(*tables: CrashTable) -> CrashTable:
    result = CrashTable()
    for table in tables:
        result.merge(table.export(NOW), NOW)
    return result


# Guards against a crasher that is sent to further targets.
def test_three_crashes_block():
    table = CrashTable()
    crash_targets(table, make_crash("t1", 0.0))
    assert table.is_suspect(IDENTITY, 0.0)
    crash_targets(table, make_crash("t2", 5.0))
    assert not table.is_blocked(IDENTITY, 5.0)
    crash_targets(table, make_crash("t3", 10.0))
    assert table.is_blocked(IDENTITY, 10.0)


# Guards against a crasher that gets a third target though two were not shared.
def test_two_crashes_alone_block():
    table = CrashTable()
    crash_targets(
        table, make_crash("t1", 0.0, alone=True), make_crash("t1", 5.0, alone=True)
    )
    assert table.is_blocked(IDENTITY, 5.0)


# Guards against a crasher that is forgotten while the fleet runs.
def test_block_does_not_expire():
    table = CrashTable()
    crash_targets(table, *(make_crash(f"t{i}", 5.0 * i) for i in range(3)))
    much_later = 1000 * SUSPECT_LIFETIME_S
    assert len(table.export(much_later)) == 1
    assert table.is_suspect(IDENTITY, much_later)
    assert table.is_blocked(IDENTITY, much_later)


# Guards against a request that stays suspect for good after one crash beside it.
def test_suspect_is_forgotten_after_a_day():
    table = CrashTable()
    crash_targets(table, make_crash("t1", 0.0))
    record = table.export(0.0)
    assert not table.is_suspect(IDENTITY, SUSPECT_LIFETIME_S)
    assert table.export(SUSPECT_LIFETIME_S) == []
    assert table.is_empty
    assert not table.merge(record, SUSPECT_LIFETIME_S)


# Guards against one crash that is counted for each daemon or copy that reports it.
def test_reports_within_two_seconds_are_one_crash():
    table = CrashTable()
    for target in ("t1", "t2"):
        crash_targets(table, *(make_crash(target, 0.6 * i) for i in range(3)))
    assert not table.is_blocked(IDENTITY, 3.0)
    crash_targets(table, make_crash("t1", SAME_CRASH_S))
    assert table.is_blocked(IDENTITY, 3.0)


# Guards against blame by a daemon that did not know of another daemon's request there.
def test_crash_counts_as_alone_only_if_all_reports_say_so():
    table = CrashTable()
    crash_targets(
        table,
        make_crash("t1", 0.0, alone=True),
        make_crash("t1", 0.5, alone=False),
        make_crash("t2", 9.0, alone=True),
    )
    assert not table.is_blocked(IDENTITY, 9.0)


# Guards against blame of two requests that two daemons had at the same target.
def test_crash_of_two_requests_is_not_alone():
    table = CrashTable()
    for identity in (IDENTITY, OTHER_IDENTITY):
        crash_targets(
            table,
            make_crash("t1", 0.0, alone=True),
            make_crash("t2", 9.0, alone=True),
            identity=identity,
        )
    assert not table.is_blocked(IDENTITY, 9.0)
    assert not table.is_blocked(OTHER_IDENTITY, 9.0)
    # The other request ran to its end, so that only this one can be the cause.
    table.record_success(OTHER_IDENTITY, 10.0)
    assert table.is_blocked(IDENTITY, 10.0)


# Guards against a request that is blocked for crashes before it ran to its end.
def test_success_clears_for_all_daemons():
    first, second = CrashTable(), CrashTable()
    crash_targets(first, make_crash("t1", 0.0), make_crash("t2", 5.0))
    second.merge(first.export(5.0), 5.0)
    second.record_success(IDENTITY, 6.0)
    assert not second.is_suspect(IDENTITY, 6.0)
    assert second.is_empty
    # The first daemon still reports the crashes.
    assert not second.merge(first.export(6.5), 6.5)
    assert second.is_empty
    first.merge(second.export(7.0), 7.0)
    assert not first.is_suspect(IDENTITY, 7.0)
    crash_targets(first, make_crash("t3", 9.0))
    assert first.is_suspect(IDENTITY, 9.0)
    assert not first.is_blocked(IDENTITY, 9.0)


# Guards against daemons that disagree on a crash close to a success.
def test_crash_that_the_clearing_daemon_did_not_know_counts_everywhere():
    first, second = CrashTable(), CrashTable()
    crash_targets(first, make_crash("t1", 0.0))
    second.merge(first.export(0.0), 0.0)
    crash_targets(first, make_crash("t2", 4.9))
    second.record_success(IDENTITY, 5.0)
    one, other = merged(first, second), merged(second, first)
    assert content(one) == content(other)
    assert [crash.target for crash in content(one)[0].live] == ["t2"]


# Guards against memory of every request that succeeds.
def test_success_of_an_unknown_request_leaves_nothing():
    table = CrashTable()
    table.record_success(IDENTITY, 0.0)
    assert table.export(0.0) == []


# Guards against a table that keeps the cleared reports for good, also if daemons that
# forget them at different times send them to each other.
def test_cleared_reports_expire():
    table = CrashTable()
    crash_targets(table, make_crash("t1", 0.0))
    table.record_success(IDENTITY, 1.0)
    record = table.export(1.0)
    later = 1.0 + CLEARED_LIFETIME_S
    assert table.export(later) == []
    assert not table.merge(record, later)


# Guards against an operator whose lift has no effect at other daemons.
def test_lift_spreads():
    first, second = CrashTable(), CrashTable()
    crash_targets(first, *(make_crash(f"t{i}", 5.0 * i) for i in range(3)))
    second.merge(first.export(10.0), 10.0)
    assert second.is_blocked(IDENTITY, 10.0)
    assert second.lift(IDENTITY, 20.0)
    assert not second.lift(IDENTITY, 20.0)
    first.merge(second.export(21.0), 21.0)
    assert not first.is_suspect(IDENTITY, 21.0)


# Guards against one crash that counts twice because its time changes on the way, and
# against a time that moves with each exchange.
def test_exchange_does_not_age_or_multiply_reports():
    first, second = CrashTable(), CrashTable()
    crash_targets(first, make_crash("t1", 0.0))
    delay_s = 0.9
    for exchange in range(10):
        for source, sink in ((first, second), (second, first)):
            sink.merge(
                (
                    evolve(
                        record,
                        crashes=tuple(
                            evolve(crash, at=crash.at + delay_s)
                            for crash in record.crashes
                        ),
                    )
                    for record in source.export(float(exchange))
                ),
                float(exchange),
            )
    assert [crash.at for crash in content(first)[0].crashes] == [0.0]
    assert [crash.at for crash in content(second)[0].crashes] == [delay_s]


# Guards against many reports of one crash that displace those of the others.
def test_limit_of_reports_keeps_the_block():
    table = CrashTable()
    for target in range(3):
        for report in range(2 * MAX_CRASHES):
            crash_targets(table, make_crash(f"t{target}", 5.0 * target + report / 100))
    assert table.is_blocked(IDENTITY, 20.0)
    for target in range(3, 40):
        crash_targets(table, make_crash(f"t{target}", 5.0 * target))
    assert len(table.export(200.0)[0].crashes) == MAX_CRASHES
    assert table.is_blocked(IDENTITY, 200.0)


# Guards against a flood of suspect requests that displaces the blocked ones.
def test_limit_of_records_evicts_the_oldest_suspects_first():
    table = CrashTable()
    crash_targets(table, *(make_crash(f"t{i}", float(i)) for i in range(3)))
    for number in range(MAX_RECORDS + 5):
        crash_targets(
            table, make_crash("t9", 10.0 + number), identity=identity_of(number)
        )
    now = 2000.0
    assert len(table.export(now)) == MAX_RECORDS
    assert table.is_blocked(IDENTITY, now)
    assert not table.is_suspect(identity_of(5), now)
    assert table.is_suspect(identity_of(6), now)
    # A peer that still has an evicted record does not displace a newer one.
    outdated = CrashRecord(identity_of(0), "chat", "w", (make_crash("t9", 10.0),))
    assert not table.merge([outdated], now)


# Guards against operators who cannot see what is blocked.
def test_entries_name_targets_and_count():
    table = CrashTable()
    crash_targets(table, make_crash("t9", 90.0), identity=OTHER_IDENTITY)
    crash_targets(table, *(make_crash(f"t{i % 2}", 5.0 * i) for i in range(3)))
    blocked, suspect = table.entries(NOW)
    assert (blocked.identity, blocked.blocked, blocked.crashes) == (IDENTITY, True, 3)
    assert blocked.targets == ("t0", "t1")
    assert blocked.last_crash_age_s == 90.0
    assert (suspect.route, suspect.workspace, suspect.blocked) == (
        "chat",
        "research",
        False,
    )


# Guards against peers that are told nothing, or told again and again.
def test_changes_are_announced_once():
    changes = []
    table = CrashTable(lambda: changes.append(1))
    crash_targets(table, make_crash("t1", 0.0))
    assert len(changes) == 1
    table.merge(table.export(0.0), 0.0)
    assert len(changes) == 1
    table.record_success(IDENTITY, 1.0)
    table.record_success(IDENTITY, 2.0)
    assert len(changes) == 2


# At most MAX_CRASHES distinct reports for each request, so that no limit is exceeded.
reports = st.builds(
    lambda number, at, alone, cleared: Crash(
        f"t{number % 3}", at, alone, id=number, cleared=cleared
    ),
    st.integers(0, MAX_CRASHES - 1),
    st.floats(0.0, NOW),
    st.booleans(),
    st.booleans(),
)


@st.composite
def tables(draw):
    table = CrashTable()
    for crash in draw(st.lists(reports, max_size=6)):
        identity = draw(st.sampled_from([IDENTITY, OTHER_IDENTITY]))
        table.merge([CrashRecord(identity, "r", "w", (crash,))], NOW)
    return table


# Guards against daemons that reach different results from the same reports.
@given(tables(), tables(), tables())
def test_merging_is_idempotent_commutative_and_associative(a, b, c):
    assert content(merged(a, a)) == content(a)
    assert content(merged(a, b)) == content(merged(b, a))
    assert content(merged(merged(a, b), c)) == content(merged(a, merged(b, c)))


# Guards against a merge that says it changed nothing although peers must be told.
@given(tables(), tables())
def test_merge_states_whether_it_changed_the_table(a, b):
    before = content(a)
    assert a.merge(b.export(NOW), NOW) == (content(a) != before)


# Guards against a limit that lets a blocked request through.
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 40)), max_size=30))
def test_reports_within_the_limits_never_unblock(events):
    table = CrashTable()
    was_blocked = False
    for target, at in events:
        crash_targets(table, make_crash(f"t{target}", at / 2))
        assert table.is_blocked(IDENTITY, NOW) or not was_blocked
        was_blocked = table.is_blocked(IDENTITY, NOW)


def is_blocked_by_definition(record: CrashRecord, records: list[CrashRecord]) -> bool:
    def is_shared(crash):
        return any(
            other.target == crash.target and abs(other.at - crash.at) < SAME_CRASH_S
            for other_record in records
            if other_record.identity != record.identity
            for other in other_record.live
        )

    alone = [crash for crash in record.distinct if crash.alone]
    return len(record.distinct) >= 3 or sum(not is_shared(c) for c in alone) >= 2


# Guards against an index of the crashes of each target that misses some, or keeps those
# of cleared, merged or evicted records.
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(0, 2),
            st.integers(0, 40),
            st.booleans(),
            st.integers(0, 5),
        ),
        max_size=25,
    )
)
def test_shared_crashes_are_found_after_any_change(events):
    table, peer = CrashTable(), CrashTable()
    for request, target, half_seconds, alone, kind in events:
        identity = identity_of(request)
        crash = make_crash(f"t{target}", half_seconds / 2, alone=alone)
        if kind == 0:
            table.record_success(identity, NOW)
        elif kind == 1:
            crash_targets(peer, crash, identity=identity)
            table.merge(peer.export(NOW), NOW)
            peer.merge(table.export(NOW), NOW)
        else:
            crash_targets(table, crash, identity=identity)
        records = table.export(NOW)
        assert [table.is_blocked(r.identity, NOW) for r in records] == [
            is_blocked_by_definition(r, records) for r in records
        ]
    for request in range(4):
        table.record_success(identity_of(request), NOW)
    assert table.is_empty and not table._by_target


# Guards against a full table in which each crash takes long enough to delay requests,
# because each record is compared with the crashes of all others.
def test_crashes_are_compared_only_with_those_of_the_same_time(monkeypatch):
    visited = 0

    def count_visits(*arguments):
        nonlocal visited
        for item in islice(*arguments):
            visited += 1
            yield item

    monkeypatch.setattr(records_module, "islice", count_visits)
    table = CrashTable()
    count = 200
    for number in range(count):
        for at in (0.0, 5.0 * count):
            crash = make_crash("t", at + 5.0 * number, alone=True)
            table.merge([CrashRecord(identity_of(number), "r", "w", (crash,))], at)
    visited = 0
    assert all(entry.blocked for entry in table.entries(1e4))
    # Each record is examined when it is sorted and when it is described: its two
    # crashes, and the one that follows each.
    assert 0 < visited <= 2 * 4 * count

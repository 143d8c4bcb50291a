"""Tests of usage windows that are frozen in the store and then reported."""

from ...coordination.tests.builders import MemoryStore
from ...leases import LeaseLostError
from ...outcomes import Done, Unknown
from ..counters import CounterKey, UsageAmounts, UsageCounters
from ..ledger import LEDGER_PREFIX, UsageLedger


class Duty:
    """Stand-in for a held duty with a fencing number."""

    def __init__(self, fencing=1):
        self.active, self.fencing = True, fencing


class Reporter:
    """A ledger with its counters and a clock that tests set."""

    def __init__(self, store, vm="vm1", fencing=1, others=()):
        self.time = 100.0
        self.counters = UsageCounters(vm, 1, 5, now=lambda: self.time)
        self.duty = Duty(fencing)
        self.sent = []
        self.answers = []
        self.ledger = UsageLedger(
            store, self.duty, self.counters, lambda first, last: others, self.send
        )

    def send(self, window, counts):
        """Record a report and return the next scripted outcome."""
        answer = self.answers.pop(0) if self.answers else Done(True)
        if isinstance(answer, Exception):
            raise answer
        self.sent.append((window, counts))
        return answer

    def count(self, workspace, at):
        """Count a request that began at the given time."""
        self.counters.add(workspace, "p", requests=1, at=at)


def test_a_window_is_reported_once_after_it_closed():
    reporter = Reporter(MemoryStore())
    for at in (100.1, 104.9, 105.1):
        reporter.count("roads", at)
    reporter.ledger.report_closed_windows()
    assert reporter.sent == []
    reporter.time = 108.5
    reporter.ledger.report_closed_windows()
    reporter.ledger.report_closed_windows()
    assert reporter.sent == [(20, {"roads": 2})]


def test_no_window_is_frozen_before_the_members_are_known():
    # Guards against a restarted holder that freezes a window without the requests of
    # the daemons that it has not heard of yet.
    store, known = MemoryStore(), [False]
    reporter = Reporter(store)
    reporter.ledger.knows_members = lambda: known[0]
    reporter.count("roads", 101.0)
    reporter.time = 108.5
    reporter.ledger.report_closed_windows()
    assert reporter.sent == []
    assert not any(key.startswith(LEDGER_PREFIX) for key in store.items)
    known[0] = True
    reporter.ledger.report_closed_windows()
    assert reporter.sent == [(20, {"roads": 1})]


def test_counters_of_all_daemons_are_merged_and_copies_count_once():
    key = CounterKey("vm2", 1, "roads", "p", 20)
    others = [(key, UsageAmounts(requests=3)), (key, UsageAmounts(requests=2))]
    reporter = Reporter(MemoryStore(), others=others)
    reporter.count("roads", 101.0)
    reporter.ledger.report_closed_windows()
    reporter.time = 109.0
    reporter.ledger.report_closed_windows()
    assert reporter.sent == [(20, {"roads": 4})]


def test_a_successor_resends_the_same_counts():
    # Guards against two reports of one window with different counts.
    store = MemoryStore()
    first = Reporter(store)
    first.count("roads", 101.0)
    first.ledger.report_closed_windows()
    first.time = 109.0
    first.answers = [Unknown("lost")]
    first.ledger.report_closed_windows()
    second = Reporter(store, "vm2", fencing=2)
    second.count("roads", 102.0)
    second.time = 109.5
    second.ledger.report_closed_windows()
    assert (20, {"roads": 1}) in second.sent
    assert all(report != (20, {"roads": 2}) for report in second.sent)


def test_nothing_is_sent_without_the_duty():
    reporter = Reporter(MemoryStore())
    reporter.count("roads", 101.0)
    reporter.duty.active = False
    reporter.time = 120.0
    reporter.ledger.report_closed_windows()
    assert reporter.sent == []
    reporter.duty.active = True
    reporter.answers = [LeaseLostError("lost")]
    reporter.ledger.report_closed_windows()
    assert reporter.sent == []


def test_windows_wait_for_the_store_and_old_ones_are_removed():
    store = MemoryStore()
    reporter = Reporter(store)
    reporter.count("roads", 101.0)
    reporter.ledger.report_closed_windows()
    reporter.time = 110.0
    with store.outage():
        reporter.ledger.report_closed_windows()
        assert reporter.sent == []
    reporter.time = 200.0
    reporter.ledger.report_closed_windows()
    assert reporter.sent[0] == (20, {"roads": 1})
    kept = [key for key in store.items if key.startswith(LEDGER_PREFIX)]
    assert len(kept) == 12

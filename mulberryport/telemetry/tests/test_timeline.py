"""Tests of the time line and the clock that orders it."""

import io

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import HybridClock, configure, define, log
from ..clock import COUNTER_BITS, MAX_LEAD_MS
from ..timeline import merge_entries, read_log_file, render_entry

EVENT = define(2, "test_event", "error", "An event of a test.")


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=60))
def test_cause_comes_before_effect(messages):
    # Guards against a time line in which an answer stands before its request.
    clocks = [HybridClock() for _ in range(3)]
    for sender, receiver in messages:
        sent = clocks[sender].now()
        clocks[receiver].observe(sent)
        assert clocks[receiver].now() > sent


def test_clock_of_a_broken_vm_is_not_followed():
    # Guards against one wrong wall clock that moves the stamps of all others.
    clock = HybridClock()
    now = clock.now()
    clock.observe(now + (10 * MAX_LEAD_MS << COUNTER_BITS))
    assert clock.now() < now + (MAX_LEAD_MS << COUNTER_BITS)


def test_logs_are_merged_and_broken_lines_skipped(tmp_path):
    # Guards against a killed process whose last line hides its whole log.
    stream = io.BytesIO()
    configure("vm1", stream)
    log(EVENT, detail=1)
    log(EVENT, detail=2)
    configure("vm1", io.BytesIO(), "error")
    file = tmp_path / "vm1.log"
    file.write_bytes(stream.getvalue() + b'{"clock": 12, "ev')
    entries = list(merge_entries([read_log_file(str(file))]))
    assert [entry["detail"] for entry in entries] == [1, 2]
    assert "test_event detail=1" in render_entry(entries[0], False)
    assert orjson.loads(render_entry(entries[0], True))["vm"] == "vm1"

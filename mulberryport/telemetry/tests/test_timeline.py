"""Tests of the timeline and of the hybrid logical clock that orders it."""

import io

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import HybridClock, configure_logging, define, log
from ..clock import COUNTER_BITS, MAX_CLOCK_LEAD_MS
from ..timeline import merge_entries, read_log_file, render_entry

EVENT = define(2, "test_event", "error", "An event of a test.")


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=60))
def test_received_messages_are_ordered_after_their_sending(messages):
    # Guards against a timeline that shows a response before its request.
    clocks = [HybridClock() for _ in range(3)]
    for sender, receiver in messages:
        sent_timestamp = clocks[sender].now()
        clocks[receiver].observe(sent_timestamp)
        assert clocks[receiver].now() > sent_timestamp


def test_timestamp_too_far_ahead_is_ignored():
    # Guards against one wrong wall clock that advances the timestamps of all VMs.
    clock = HybridClock()
    now = clock.now()
    clock.observe(now + (10 * MAX_CLOCK_LEAD_MS << COUNTER_BITS))
    assert clock.now() < now + (MAX_CLOCK_LEAD_MS << COUNTER_BITS)


def test_logs_are_merged_and_incomplete_lines_skipped(tmp_path):
    # Guards against losing the whole log of a killed process because its last line is
    # incomplete.
    stream = io.BytesIO()
    configure_logging("vm1", stream)
    log(EVENT, detail=1)
    log(EVENT, detail=2)
    configure_logging("vm1", io.BytesIO(), "error")
    file = tmp_path / "vm1.log"
    file.write_bytes(stream.getvalue() + b'{"clock": 12, "ev')
    entries = list(merge_entries([read_log_file(str(file))]))
    assert [entry["detail"] for entry in entries] == [1, 2]
    assert "test_event detail=1" in render_entry(entries[0], False)
    assert orjson.loads(render_entry(entries[0], True))["vm"] == "vm1"

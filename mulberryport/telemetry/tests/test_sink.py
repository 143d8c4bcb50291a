"""Tests of the non-blocking log stream and of the explanation of log entries."""

import eventlet.patcher

from ..explain import entries_with_id, explain
from ..sink import LogSink
from ..timeline import read_log_file

os = eventlet.patcher.original("os")


def test_stalled_reader_drops_lines_without_blocking():
    # Guards against a daemon that blocks because the reader of its log pipe stalls.
    reader, writer = os.pipe()
    sink = LogSink(writer)
    for _ in range(5000):
        sink.write(b"x" * 99 + b"\n")
    assert sink.dropped_lines > 0
    os.set_blocking(reader, False)
    content = os.read(reader, 1 << 20)
    sink.write(b"after\n")
    content += os.read(reader, 1 << 20)
    lines = content.split(b"\n")
    assert all(line == b"x" * 99 for line in lines[:-3])
    assert b"log_lines_dropped" in lines[-3] and lines[-2] == b"after"


def test_closed_reader_does_not_raise():
    reader, writer = os.pipe()
    sink = LogSink(writer)
    os.close(reader)
    for _ in range(3):
        sink.write(b"line\n")


def test_lines_with_collector_prefix_are_parsed_and_explained(tmp_path):
    file = tmp_path / "log"
    file.write_text(
        ' 1.5 vm1 {"clock": 2, "vm": "vm1", "event": "request_attempt_failed", '
        '"request": "r1", "error": "broke off"}\n'
        '{"clock": 1, "vm": "vm1", "event": "request_served", "request": "r0"}\n'
        ' 1.6 vm1 {"clock": 3, "vm": "vm1", "event": "request_unknown", '
        '"request": "r1", "status": 502, "reason": "broke off"}\n'
        "not a line\n"
    )
    entries = entries_with_id(read_log_file(str(file)), "r1")
    assert len(entries) == 2
    assert explain(entries) == "request_unknown at vm1: status=502 reason=broke off"

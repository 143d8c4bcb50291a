"""Tests of green threads that always have data to read."""

import socket
import time

import eventlet

from ...telemetry import LONG_TURN_SECONDS, recent_entries
from ..event_hub import LOGGED_TURN_S
from ..fairness import yield_if_due
from .builders import longest_gap

RUN_S = 0.4


def test_reads_that_need_not_wait_let_others_run():
    # Guards against a socket that always has data and stops the process.
    left, right = socket.socketpair()
    right.sendall(b"x")
    deadline = time.monotonic() + RUN_S

    def read():
        while time.monotonic() < deadline and left.recv(1, socket.MSG_PEEK):
            pass

    with longest_gap() as gap:
        eventlet.spawn(read).wait()
    assert gap() < RUN_S / 2
    left.close()
    right.close()


def test_a_loop_over_buffered_data_lets_others_run():
    deadline = time.monotonic() + RUN_S

    def parse():
        while time.monotonic() < deadline:
            yield_if_due()

    with longest_gap() as gap:
        eventlet.spawn(parse).wait()
    assert gap() < RUN_S / 2


def test_a_long_turn_is_logged_and_measured():
    # Guards against a process that serves nobody and shows no reason.
    def count():
        return LONG_TURN_SECONDS.get({})["count"]

    LONG_TURN_SECONDS.observe({}, 0.0)
    before = count()

    def hold():
        deadline = time.monotonic() + LOGGED_TURN_S * 1.2
        while time.monotonic() < deadline:
            pass

    eventlet.spawn(hold).wait()
    eventlet.sleep(0)
    assert count() == before + 1
    entries = [e for e in recent_entries() if e["event"] == "turn_too_long"]
    assert entries[-1]["duration_s"] >= LOGGED_TURN_S

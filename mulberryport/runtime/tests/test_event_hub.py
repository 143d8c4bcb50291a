"""Tests of the hub of green threads on the event loop."""

import asyncio
import socket

import eventlet
import eventlet.hubs
import pytest

from ..event_hub import Hub
from ..hub import run_coroutine, run_in_green_thread


def test_hub_is_installed():
    # Guards against the slower hub of the library.
    assert isinstance(eventlet.hubs.get_hub(), Hub)


def test_new_timer_brings_the_next_turn_forward():
    # Guards against a green thread that waits for the timer of another one.
    finished = []
    eventlet.spawn_after(30.0, finished.append, "late").cancel()
    eventlet.spawn_after(0.01, finished.append, "soon")
    with eventlet.Timeout(1.0):
        while not finished:
            eventlet.sleep(0.005)
    assert finished == ["soon"]


def test_ready_file_resumes_its_green_thread():
    # Guards against readiness that is noticed only at the next timer.
    left, right = socket.socketpair()
    reader = eventlet.spawn(left.recv, 10)
    eventlet.sleep(0.01)
    right.sendall(b"data")
    with eventlet.Timeout(1.0):
        assert reader.wait() == b"data"
    left.close()
    right.close()


def test_coroutines_and_green_threads_run_side_by_side():
    # Guards against a turn that starves the event loop, or the reverse.
    async def count():
        total = 0
        for _ in range(50):
            await asyncio.sleep(0)
            total += await run_in_green_thread(lambda: 1)
        return total

    other = eventlet.spawn(run_coroutine, count(), 5.0)
    for _ in range(50):
        eventlet.sleep(0)
    assert other.wait() == 50


def test_exception_of_a_green_thread_does_not_end_the_hub():
    # Guards against a daemon that ends because one green thread failed.
    def fail():
        raise RuntimeError("expected")

    thread = eventlet.spawn(fail)
    with pytest.raises(RuntimeError):
        thread.wait()
    eventlet.spawn_n(fail)
    eventlet.sleep(0.01)

"""Tests of the notices on one stream."""

import pytest

from ...runtime import boottime, run_coroutine
from .. import peer_pb2
from ..notices import MIN_NOTICE_INTERVAL_S, NoticeStream


def run_with_news(count, run_s, make_news_while_sending=0):
    """Return the times of the notices, from the first, of a stream with some news."""
    sent_at = []
    pending = count

    def make():
        nonlocal pending
        if not pending:
            return None
        pending -= 1
        return peer_pb2.Heartbeat(notice=True)

    async def send(notice):
        nonlocal pending, make_news_while_sending
        sent_at.append(boottime())
        while make_news_while_sending:
            pending, make_news_while_sending = 1, make_news_while_sending - 1
            stream.wakeup.set()

    stream = NoticeStream(make, send)
    stream.wakeup.set()
    with pytest.raises(TimeoutError):
        run_coroutine(stream.run(), run_s)
    return [at - sent_at[0] for at in sent_at]


def test_notices_are_limited_and_none_is_lost():
    # Guards against load by notices, and against news that does not fit into the first.
    times = run_with_news(3, 5 * MIN_NOTICE_INTERVAL_S)
    assert len(times) == 3
    assert times[1] >= MIN_NOTICE_INTERVAL_S
    assert times[2] >= 2 * MIN_NOTICE_INTERVAL_S


def test_news_during_a_notice_are_sent_together():
    # Guards against one notice for each of many changes, and against a lost wake-up.
    times = run_with_news(1, 4 * MIN_NOTICE_INTERVAL_S, make_news_while_sending=20)
    assert len(times) == 2


def test_failure_of_the_stream_ends_the_notices():
    # Guards against an exception that nobody reads, and a task that fails again.
    async def fail(notice):
        raise ConnectionResetError("closed")

    stream = NoticeStream(lambda: peer_pb2.Heartbeat(notice=True), fail)
    stream.wakeup.set()
    assert run_coroutine(stream.run(), 5.0) is None

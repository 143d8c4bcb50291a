"""Tests of paces; no network is needed."""

from ..pace import PaceBoard


def play(board, paces, seconds=2.0):
    """Let engines make events at their paces."""
    for name, interval in paces.items():
        for number in range(int(seconds / interval)):
            board.note(name, interval, number * interval)


def test_a_slowed_engine_is_noticed_within_a_few_events():
    # Pattern: one engine of a pool turns 3.4 times slower.
    board = PaceBoard()
    play(board, {"a": 0.04, "b": 0.045, "c": 0.05})
    assert board.slow(2.0) == frozenset()
    events = 0
    while not board.is_slow("a", 2.0):
        events += 1
        board.note("a", 0.136, 2.0)
    assert events <= 8


def test_a_full_engine_is_not_slow():
    # Engines that are full make events half as fast as idle ones.
    board = PaceBoard()
    play(board, {"a": 0.035, "b": 0.035, "c": 0.06})
    assert board.slow(2.0) == frozenset()


def test_a_judgement_without_news_ends():
    # Guards against an engine that is avoided for ever.
    board = PaceBoard()
    play(board, {"a": 0.04, "b": 0.2})
    assert board.slow(2.0) == {"b"}
    for number in range(50):
        board.note("a", 0.04, 2.0 + number * 0.1)
    assert board.slow(7.0) == frozenset()


def test_one_engine_alone_is_never_slow():
    board = PaceBoard()
    play(board, {"a": 0.5})
    assert board.slow(2.0) == frozenset()

"""Guards against speeds of other daemons that are stale, false or endless."""

import pytest

from ...peering import peer_pb2
from ...routing import TargetSpeeds, TargetView
from ...runtime.clock import boottime
from .. import speed_exchange
from ..speed_exchange import MAX_EXCHANGED_SPEEDS, SpeedExchange

TARGETS = [f"t{n}" for n in range(100)]


def _exchange(born: int = 1) -> SpeedExchange:
    """Return the exchange of a daemon that knows the targets of a pool."""
    speeds = TargetSpeeds()
    values = {"address": "127.0.0.1:1", "zone": "a", "kind": "model-engine"}
    views = [TargetView(id=t, pool="p", born=born, **values) for t in TARGETS]
    speeds.update_pool("p", views, boottime())
    return SpeedExchange(speeds)


def _record(exchange, intervals: dict[str, float]) -> None:
    for target, interval_s in intervals.items():
        for _ in range(20):
            exchange.speeds.record_interval(target, interval_s, boottime())


def _send(sender: SpeedExchange, *receivers: SpeedExchange) -> peer_pb2.Heartbeat:
    heartbeat = peer_pb2.Heartbeat()
    sender.add_speeds(heartbeat, None)
    for receiver in receivers:
        receiver.apply_speeds(heartbeat)
    return heartbeat


def _interval(exchange, target="t1") -> float:
    return exchange.speeds.estimate(target, boottime()).event_interval_s


def test_slow_target_of_another_daemon_is_known_and_not_passed_on():
    # Guards against each daemon finding out by itself, and against old news that
    # daemons keep alive among themselves.
    first, second = _exchange(), _exchange()
    _record(first, {"t0": 0.05, "t1": 0.2, "t2": 0.05})
    _record(second, {"t0": 0.05})
    heartbeat = _send(first, second)
    assert [speed.target for speed in heartbeat.target_speeds] == ["t1"]
    assert _interval(second) > 0.15
    assert not _send(second).target_speeds


def test_count_is_bounded_and_the_most_unusual_go_first():
    # Guards against heartbeats that grow with the pool.
    exchange, receiver = _exchange(), _exchange()
    slow = {f"t{n}": 0.05 * (1.3 + 0.01 * n) for n in range(48)}
    _record(exchange, {**dict.fromkeys(TARGETS, 0.05), **slow})
    heartbeat = _send(exchange, receiver)
    assert len(heartbeat.target_speeds) == MAX_EXCHANGED_SPEEDS
    assert heartbeat.target_speeds[0].target == "t47"


def test_old_measurements_count_little_and_are_not_sent():
    # Guards against a slow phase that outlasts itself in the news.
    sender, receiver = _exchange(), _exchange()
    _record(receiver, {"t0": 0.05})
    speed = peer_pb2.TargetSpeed(target="t1", born=1, interval_s=0.2, age=20.0)
    receiver.apply_speeds(peer_pb2.Heartbeat(target_speeds=[speed]))
    assert _interval(receiver) < 0.06
    for target, interval_s in (("t0", 0.05), ("t1", 0.2), ("t2", 0.05)):
        sender.speeds.record_interval(target, interval_s, boottime() - 10.0)
    assert not _send(sender).target_speeds


def test_target_that_was_replaced_is_not_judged_by_what_others_measured_before():
    # Guards against a new target that is avoided because of the one before it.
    old, new = _exchange(born=1), _exchange(born=2)
    _record(old, {"t0": 0.05, "t1": 0.5, "t2": 0.05})
    _record(new, {"t0": 0.05})
    _send(old, new)
    assert _interval(new) < 0.06


@pytest.mark.parametrize(
    "values",
    [
        {"interval_s": float("nan")},
        {"interval_s": -1.0},
        {"interval_s": 1e9},
        {"deviation": float("inf")},
        {"deviation": -1.0},
        {"age": -1e9},
        {"age": float("nan")},
        {"target": "elsewhere"},
    ],
)
def test_malformed_speeds_change_nothing_and_are_logged_once(values, monkeypatch):
    # Guards against one daemon that makes all others leave a target, and against logs
    # that fill.
    logged = []
    monkeypatch.setattr(
        speed_exchange, "log", lambda event, **fields: logged.append(event.name)
    )
    receiver = _exchange()
    _record(receiver, {"t0": 0.05})
    usual = {"target": "t1", "born": 1, "interval_s": 0.5, "deviation": 0.01}
    speed = peer_pb2.TargetSpeed(**{**usual, **values})
    for _ in range(3):
        receiver.apply_speeds(peer_pb2.Heartbeat(target_speeds=[speed] * 2))
    assert abs(_interval(receiver) - 0.05) < 1e-9
    expected = [] if "target" in values else ["remote_speed_malformed"]
    assert logged == expected

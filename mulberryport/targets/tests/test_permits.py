"""Tests of the permits for targets that name a rate limit."""

import eventlet
import pytest

from ...peering import peer_pb2
from ...runtime.clock import boottime
from ..dispatcher import ShedError, WorkRequest
from .builders import PermitFleet, limited_dispatcher, name_limit

SENDERS = ("request", "retry", "item", "scoring")


def allowed(requests_per_s: float, duration_s: float) -> float:
    """Return the requests that a limited target may get, by the users' bound."""
    return 1.5 * requests_per_s * duration_s + 5


def send(dispatcher, sent, **values):
    """Send one request to pool p, which is answered at once."""
    with dispatcher.assign(WorkRequest("p", "w", **values)) as assignment:
        sent.append((boottime(), assignment.id))


def test_all_senders_together_keep_to_the_limit_of_a_target():
    # Guards against senders that ignore the limit that a target has named: callers'
    # requests, retries, items and scoring calls came on as before.
    dispatcher, sent = limited_dispatcher(2.0), []
    deadline = boottime() + 1.5
    for number in range(40):
        eventlet.spawn_n(
            _send_until_deadline, dispatcher, sent, deadline, SENDERS[number % 4]
        )
    while boottime() < deadline:
        dispatcher.dispatch_waiting()
        eventlet.sleep(0.05)
    assert 2 <= len(sent) <= allowed(2.0, 1.5)


def _send_until_deadline(dispatcher, sent, deadline, purpose):
    while boottime() < deadline:
        try:
            send(dispatcher, sent, deadline=deadline, purpose=purpose)
        except ShedError:
            eventlet.sleep(0.05)


def test_a_request_beyond_the_limit_is_refused_at_once_with_a_true_delay():
    # Guards against callers that wait for nothing, and against a refusal that asks them
    # to come back before the target can take them.
    dispatcher, sent = limited_dispatcher(1.0), []
    for _ in range(3):
        eventlet.spawn_n(send, dispatcher, sent, deadline=boottime() + 60)
    eventlet.sleep(0)
    started_at = boottime()
    with pytest.raises(ShedError) as caught:
        send(dispatcher, sent, deadline=started_at + 2.0)
    assert boottime() - started_at < 0.5
    assert caught.value.retry_after >= 1.0


def acquire_until(exchange, deadline, granted):
    """Ask for permits again and again, like a daemon whose queue is never empty."""
    while boottime() < deadline:
        if exchange.acquire("t"):
            granted.append(boottime())
        else:
            eventlet.sleep(0.05)


def run_fleet(fleet, names, duration_s):
    """Return the permits that daemons got within a time."""
    deadline, granted = boottime() + duration_s, []
    threads = [
        eventlet.spawn(acquire_until, fleet.exchanges[name], deadline, granted)
        for name in names
    ]
    for thread in threads:
        thread.wait()
    return granted


def test_a_large_fleet_shares_the_limit_of_one_target():
    # Guards against one request of each of many daemons, which together are too many.
    fleet = PermitFleet(30)
    for exchange in fleet.exchanges.values():
        name_limit(exchange.rate_limits, 4.0, "t")
    granted = run_fleet(fleet, fleet.exchanges, 2.0)
    assert 6 <= len(granted) <= allowed(4.0, 2.0)


def test_the_second_issuer_takes_over_when_the_first_is_silent():
    # Guards against a target that gets nothing after the daemon that issues its permits
    # was killed, and against two issuers that together exceed the limit.
    fleet = PermitFleet(7)
    first = fleet.exchanges["vm-00"].members.owners("permits/t", 1)[0].vm
    fleet.unreachable.add(first)
    for exchange in fleet.exchanges.values():
        name_limit(exchange.rate_limits, 4.0, "t")
    granted = run_fleet(fleet, fleet.exchanges, 2.0)
    assert 6 <= len(granted) <= allowed(4.0, 2.0)


def test_a_daemon_that_hears_nobody_takes_its_part_only():
    # Guards against a daemon that was cut off and takes the whole limit, while the
    # others, which it believes to be gone, share it among them.
    fleet = PermitFleet(7)
    alone = fleet.exchanges["vm-03"]
    name_limit(alone.rate_limits, 7.0, "t")
    fleet.lose_heartbeats_of_others(alone)
    assert len(alone.members.live()) == 1
    granted = run_fleet(fleet, ["vm-03"], 2.0)
    assert len(granted) <= 1 + 2.0 * 7.0 / 7


def test_an_issuer_learns_the_limit_from_who_asks():
    # Guards against an issuer that gives permits without bound, because it never sent a
    # request to the target itself.
    fleet = PermitFleet(7)
    name_limit(fleet.exchanges["vm-05"].rate_limits, 2.0, "t")
    granted = run_fleet(fleet, ["vm-05"], 1.5)
    assert len(granted) <= allowed(2.0, 1.5)


def heartbeat_of(exchange):
    """Return a heartbeat with the reports of an exchange."""
    heartbeat = peer_pb2.Heartbeat()
    exchange.add_reports(heartbeat, None)
    return heartbeat


def test_daemons_learn_limits_and_their_ends_from_heartbeats():
    # Guards against daemons that overload a target in need because they have not sent a
    # request there yet, and against old news that bring back a limit that has ended.
    fleet = PermitFleet(3)
    first, second, third = fleet.exchanges.values()
    name_limit(first.rate_limits, 2.0, "t")
    second.apply_reports(heartbeat_of(first))
    third.apply_reports(heartbeat_of(second))
    assert third.rate_limits.limit("t") == 2.0
    # Longer than the time by which news of others count as older.
    eventlet.sleep(0.5)
    name_limit(first.rate_limits, None, "t")
    second.apply_reports(heartbeat_of(first))
    assert second.rate_limits.limit("t") is None
    second.apply_reports(heartbeat_of(third))
    assert second.rate_limits.limit("t") is None

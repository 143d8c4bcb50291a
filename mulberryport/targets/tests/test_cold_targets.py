"""Tests of cold targets: what daemons know of them, and what reaches them together."""

import eventlet
import pytest

from ...peering import peer_pb2
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables
from .. import cold_targets, permits
from ..cold_targets import ColdTargets
from ..directory import TargetDirectory
from ..dispatcher import Dispatcher, WorkRequest
from ..vm_list import ListedVm
from .builders import PermitFleet, name_limit

RATE, COLD_S = 8.0, 3.0
# Ends a test early in which nothing bounds the permits.
MAX_GRANTED = 200


def allowed_in_a_second(requests_per_s):
    """Return the requests that a cold target may get, by the users' bound."""
    return 1.5 * requests_per_s + 5


def make_directory(**pool_values):
    """Return a directory of target t in zone a, whose pool has cold targets."""
    values = {"cold_rate": RATE, "cold_time": COLD_S, **pool_values}
    pool = Pool(name="p", kind="model-engine", **values)
    directory = TargetDirectory()
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"p": pool})))
    directory.apply_vm_list([ListedVm("t", "127.0.0.1:1", "a", "p", False, False)])
    return directory


def is_cold(directory):
    """Return whether the view of the target says that it is cold."""
    (view,) = directory.views("p")
    assert view.is_cold == (view.requests_per_s == RATE)
    return view.is_cold


def test_target_is_cold_until_it_says_that_it_is_warm():
    # Guards against phases that never end, or that a late report does not renew.
    directory = make_directory()
    cold = directory.rate_limits.cold
    assert not is_cold(directory)
    cold.record_report("t", "p", 2.0)
    assert is_cold(directory)
    cold.record_report("t", "p", 0.0)
    assert not is_cold(directory)


def test_failed_request_makes_a_target_suspect():
    # Guards against full load on a target that restarts, before it has said so.
    directory = make_directory()
    dispatcher = Dispatcher(directory, "a")
    with pytest.raises(OSError), dispatcher.assign(WorkRequest("p", "w")):
        raise OSError("reset")
    assert is_cold(directory)
    # A warm report from before the restart does not end the suspicion.
    directory.rate_limits.cold.record_report("t", "p", 0.0)
    assert is_cold(directory)


def test_targets_are_cold_after_an_evacuation():
    # Guards against full load on a zone that rested and is taken back.
    directory = make_directory()
    directory.apply_evacuations(["a"])
    assert not is_cold(directory)
    directory.apply_evacuations([])
    assert is_cold(directory)


def test_targets_of_pools_without_cold_targets_are_never_suspect():
    # Guards against deployments that are served worse by a rule that they do not have.
    directory = make_directory(cold_rate=0.0, cold_time=0.0)
    directory.record_failure("t")
    directory.rate_limits.cold.record_report("t", "p", 2.0)
    (view,) = directory.views("p")
    assert view.requests_per_s is None and not view.is_cold


@pytest.mark.parametrize("cold_s", [-1.0, 0.0, float("nan"), float("inf"), 1e9])
def test_senseless_news_of_a_peer_changes_nothing(cold_s):
    # Guards against a target that stays cold for ever because a peer says so.
    cold = ColdTargets(lambda pool: (RATE, COLD_S))
    cold.extend("t", "p", cold_s)
    assert cold.rate("t") is None


def test_peer_says_no_more_than_a_target_can_be_cold():
    # Guards against a target that stays slow for minutes after one senseless figure,
    # since its own next report does not end what peers say.
    cold = ColdTargets(lambda pool: (RATE, COLD_S))
    cold.extend("t", "p", 500.0)
    phase = cold.phase("t")
    assert COLD_S < phase.until - boottime() <= COLD_S + cold_targets.NEWS_DELAY_S


def test_many_phases_do_not_displace_those_that_last_longest(monkeypatch):
    # Guards against a cold target that gets full load because others are remembered.
    monkeypatch.setattr(cold_targets, "MAX_PHASES", 3)
    cold = ColdTargets(lambda pool: (RATE, COLD_S))
    cold.record_report("t", "p", COLD_S)
    for number in range(5):
        cold.extend(f"other-{number}", "p", 0.001)
    assert cold.rate("t") == RATE
    assert len(list(cold.current())) <= 3


def test_peer_does_not_change_the_pool_of_a_known_target():
    # Guards against a cold target without a bound because a peer names no known pool.
    cold = ColdTargets({"p": (RATE, COLD_S)}.get)
    cold.record_report("t", "p", COLD_S)
    cold.extend("t", "unknown", COLD_S)
    assert cold.rate("t") == RATE
    cold.extend("new", "unknown", COLD_S)
    cold.suspect("new", "p")
    assert cold.rate("new") == RATE


def make_fleet(size):
    """Return daemons of which only the last knows that target t is cold."""
    fleet = PermitFleet(size)
    for exchange in fleet.exchanges.values():
        exchange.rate_limits.cold.cold_rate_of = lambda pool: (RATE, COLD_S)
    exchange.rate_limits.cold.extend("t", "p", COLD_S)
    return fleet


def acquire_for(exchange, duration_s, granted):
    """Ask for permits like a daemon whose queue is never empty."""
    deadline = boottime() + duration_s
    while boottime() < deadline and len(granted) < MAX_GRANTED:
        if exchange.acquire("t"):
            granted.append(boottime())
        else:
            eventlet.sleep(0.02)


def run(fleet, duration_s):
    """Return when all daemons of a fleet together got permits."""
    granted = []
    threads = [
        eventlet.spawn(acquire_for, exchange, duration_s, granted)
        for exchange in fleet.exchanges.values()
        if exchange.rate_limits.cold.rate("t") is not None
    ]
    for thread in threads:
        thread.wait()
    return sorted(granted)


def most_in_a_second(times):
    """Return the largest number of times within a second."""
    return max(sum(at <= t < at + 1.0 for t in times) for at in times)


def test_one_issuer_bounds_what_all_daemons_send():
    # Guards against a bound that holds for each daemon and not for all of them.
    fleet = make_fleet(5)
    for exchange in fleet.exchanges.values():
        exchange.rate_limits.cold.extend("t", "p", COLD_S)
    granted = run(fleet, 2.0)
    assert len(granted) >= 2.0
    assert most_in_a_second(granted) <= allowed_in_a_second(RATE)


def test_issuer_learns_of_a_cold_target_from_who_asks():
    # Guards against an issuer that has no news of the target and permits everything.
    fleet = make_fleet(5)
    granted = run(fleet, 1.0)
    assert most_in_a_second(granted) <= allowed_in_a_second(RATE)
    issuer = next(iter(fleet.exchanges.values())).members.owners("permits/t", 2)[0].vm
    assert fleet.exchanges[issuer].rate_limits.cold.rate("t") == RATE


def test_issuer_without_a_configuration_permits_nothing():
    # Guards against a daemon that has just started, does not know the pool of a cold
    # target yet, and permits whatever the others ask for.
    fleet = make_fleet(5)
    for exchange in fleet.exchanges.values():
        exchange.rate_limits.cold.extend("t", "p", COLD_S)
    issuer = exchange.members.owners("permits/t", 2)[0].vm
    fleet.exchanges[issuer].rate_limits.cold.cold_rate_of = lambda pool: None
    assert not run(fleet, 0.8)


def test_cold_targets_of_other_pools_keep_their_named_rate_limit():
    # Guards against deployments without cold rates whose targets get no permits because
    # they say that they are cold.
    fleet = make_fleet(5)
    for exchange in fleet.exchanges.values():
        exchange.rate_limits.cold.cold_rate_of = lambda pool: None
        exchange.rate_limits.cold.record_report("t", "p", COLD_S)
        name_limit(exchange.rate_limits, RATE, "t")
    issuer = exchange.members.owners("permits/t", 2)[0].vm
    other = next(e for vm, e in fleet.exchanges.items() if vm != issuer)
    granted = []
    acquire_for(other, 0.8, granted)
    assert granted


def test_less_is_sent_if_the_issuer_is_away():
    # Guards against a target that gets more than its bound while its issuer is lost.
    fleet = make_fleet(5)
    for exchange in fleet.exchanges.values():
        exchange.rate_limits.cold.extend("t", "p", COLD_S)
    some_exchange = next(iter(fleet.exchanges.values()))
    issuer = some_exchange.members.owners("permits/t", 2)[0].vm
    fleet.unreachable.add(issuer)
    granted = run(fleet, 1.5)
    assert most_in_a_second(granted) <= allowed_in_a_second(RATE)


def test_daemons_that_have_just_started_share_one_bound():
    # Guards against a herd of restarted daemons that have not heard of each other yet,
    # each of which issues the permits of a cold target.
    fleet = make_fleet(12)
    for name, exchange in fleet.exchanges.items():
        exchange.rate_limits.cold.extend("t", "p", COLD_S)
        for other in fleet.exchanges:
            exchange.members.forget(other)
        exchange.members.add_seed("seed", "a", "127.0.0.1:5")
        assert exchange.members.owners("permits/t", 2)[0].vm == name
    granted = run(fleet, 1.2)
    assert len(granted) <= allowed_in_a_second(RATE)


def test_heartbeats_spread_news_of_cold_targets():
    # Guards against daemons that learn of a cold target only from its registration.
    fleet = make_fleet(2)
    unaware, aware = fleet.exchanges.values()
    heartbeat = peer_pb2.Heartbeat()
    aware.add_reports(heartbeat, None)
    unaware.apply_reports(heartbeat)
    assert unaware.rate_limits.cold.rate("t") == RATE


def test_news_that_daemons_repeat_does_not_prolong_a_phase(monkeypatch):
    # Guards against a target that stays cold for ever because daemons pass each other's
    # news on, and each takes the time on its way for time that the target is cold.
    now = 100.0
    for module in (cold_targets, permits):
        monkeypatch.setattr(module, "boottime", lambda: now)
    exchanges = list(make_fleet(2).exchanges.values())
    for _ in range(200):
        exchanges.reverse()
        heartbeat = peer_pb2.Heartbeat()
        exchanges[0].add_reports(heartbeat, None)
        now += 0.02
        exchanges[1].apply_reports(heartbeat)
    assert [exchange.rate_limits.cold.rate("t") for exchange in exchanges] == [None] * 2

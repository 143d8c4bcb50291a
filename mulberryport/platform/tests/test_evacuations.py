"""Tests of evacuated zones: nothing reaches their targets until they are taken back."""

from contextlib import ExitStack

import pytest

from ...coordination import Mirror, Put, Transaction
from ...coordination.tests.builders import MemoryStore, until
from ...outcomes import Done
from ...routing import ShedError, WorkRequest
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables
from ...targets import Dispatcher, TargetDirectory
from ...targets import dispatcher as dispatching
from ...targets.vm_list import ListedVm
from .. import evacuations
from ..evacuations import EVACUATIONS_PREFIX, Evacuations
from .builders import make_configuration, running

# The operator's bound, counted from the store's acknowledgement.
EVACUATION_S = 5.0
EVACUATION_SETTING = "evacuation-ms = 5000"


def make_dispatcher(zones):
    """Return a dispatcher of pool p, with a target in each of the zones."""
    directory = TargetDirectory()
    pool = Pool(name="p", kind="plain-service")
    snapshot = Snapshot(1, "c", Tables(pools={"p": pool}))
    directory.apply_snapshot(snapshot)
    directory.apply_vm_list(
        ListedVm(f"t-{zone}", "127.0.0.1:1", zone, "p", False, False) for zone in zones
    )
    dispatcher = Dispatcher(directory, zones[0])
    dispatcher.apply_snapshot(snapshot)
    return dispatcher


def assigned_targets(dispatcher, count=12, **values):
    """Return the targets of requests that hold their slots together."""
    with ExitStack() as stack:
        return {
            stack.enter_context(
                dispatcher.assign(
                    WorkRequest("p", "w", deadline=boottime() + 0.1, **values)
                )
            ).id
            for _ in range(count)
        }


def write(store, zone, value=b"{}"):
    """Write the key of an evacuation, or remove it if the value is None."""
    key = f"{EVACUATIONS_PREFIX}{zone}"
    puts, removes = ((Put(key, value),), ()) if value is not None else ((), (key,))
    assert isinstance(store.commit(Transaction(puts=puts, removes=removes)), Done)


def follow(directory, store):
    """Return the evacuations of a store, followed from now on."""
    followed = Evacuations(Mirror(store, EVACUATIONS_PREFIX), directory)
    followed.start()
    followed.mirror.start()
    assert until(lambda: followed.mirror.loaded)
    return followed


def test_evacuated_zone_gets_nothing_until_it_is_taken_back():
    # Guards against requests, retries and restartable work sent to an evacuated zone.
    store = MemoryStore()
    dispatcher = make_dispatcher(["a", "b"])
    directory = dispatcher.directory
    follow(directory, store)
    assert assigned_targets(dispatcher) == {"t-a", "t-b"}
    write(store, "a")
    assert until(lambda: directory.evacuated_zones == {"a"})
    dispatcher._refresh_pool("p", boottime())
    assert assigned_targets(dispatcher) == {"t-b"}
    assert assigned_targets(dispatcher, restartable=True) == {"t-b"}
    with pytest.raises(ShedError):
        assigned_targets(dispatcher, 1, exclude=frozenset({"t-b"}))
    write(store, "a", None)
    assert until(lambda: not directory.evacuated_zones)
    dispatcher._refresh_pool("p", boottime())
    assert assigned_targets(dispatcher) == {"t-a", "t-b"}


def test_request_is_refused_at_once_if_all_its_zones_are_evacuated(monkeypatch):
    # Guards against callers that wait for targets that get nothing, and against an
    # operator who is told that rate limits are the cause.
    monkeypatch.setattr(dispatching, "RATE_LIMIT_REFUSALS", None)
    dispatcher = make_dispatcher(["a", "b"])
    dispatcher.directory.apply_evacuations(["a", "b"])
    started_at = boottime()
    work = WorkRequest("p", "w", deadline=started_at + 10.0)
    with pytest.raises(ShedError) as refusal, dispatcher.assign(work):
        pass
    assert refusal.value.retry_after is not None
    assert boottime() - started_at < 1.0


def test_evacuation_of_on_demand_targets_leaves_work_to_cheap_ones():
    # Guards against requests that wait for on-demand targets of an evacuated zone.
    dispatcher = make_dispatcher(["a"])
    cheap = ListedVm("cheap", "127.0.0.1:1", "b", "p", True, False)
    kept = ListedVm("t-a", "127.0.0.1:1", "a", "p", False, False)
    dispatcher.directory.apply_vm_list([kept, cheap])
    dispatcher.directory.apply_evacuations(["a"])
    dispatcher._get_or_create_scheduler("p")
    assert assigned_targets(dispatcher, 1) == {"cheap"}


@pytest.mark.parametrize("name", ["", "a/b", "z" * 500])
def test_keys_that_name_no_zone_change_nothing(name):
    # Guards against a malformed key that ends the mirror or evacuates other zones.
    store = MemoryStore()
    write(store, name, b"\xff not json")
    dispatcher = make_dispatcher(["a"])
    follow(dispatcher.directory, store)
    write(store, "unknown")
    assert until(lambda: dispatcher.directory.evacuated_zones == {"unknown"})
    assert assigned_targets(dispatcher) == {"t-a"}


def test_zone_is_not_called_unknown_before_targets_are_listed(monkeypatch):
    # Guards against a warning at each start of a daemon while a zone is evacuated.
    events = []
    monkeypatch.setattr(evacuations, "log", lambda event, **_: events.append(event))
    store, directory = MemoryStore(), TargetDirectory()
    write(store, "a")
    follow(directory, store)
    assert until(lambda: directory.evacuated_zones == {"a"})
    assert not events
    follow(make_dispatcher(["b"]).directory, store)
    assert events == [evacuations.EVACUATION_UNKNOWN_ZONE]


def test_evacuation_is_kept_through_an_outage_of_the_store():
    # Guards against a zone that gets requests again because the store is away.
    store = MemoryStore()
    write(store, "a")
    dispatcher = make_dispatcher(["a", "b"])
    followed = follow(dispatcher.directory, store)
    assert until(lambda: dispatcher.directory.evacuated_zones == {"a"})
    store.down = True
    assert until(lambda: not followed.mirror.connected)
    assert assigned_targets(dispatcher) == {"t-b"}


def test_daemons_keep_an_evacuation_after_a_restart_and_in_an_outage(tmp_path):
    # Guards against daemons that send to an evacuated zone later than the bound, that
    # forget the evacuation when they restart, or that serve before they have read it.
    with running(tmp_path) as platform:
        platform.extra_settings = EVACUATION_SETTING
        for desk, zone in zip(platform.desks, "ab", strict=True):
            platform.register_desk(desk, zone)
        platform.configure(make_configuration())
        for number, vm in enumerate(("vm1", "vm2")):
            platform.start(vm, number)
        evacuated, kept = platform.desks
        platform.store.put(f"{EVACUATIONS_PREFIX}a", {})
        acknowledged_at = boottime()

        def is_in_force():
            before = len(evacuated.requests)
            for vm in platform.processes:
                for _ in range(4):
                    assert platform.call(vm, "POST", "/desk/", b"x")[0] == 200
            return len(evacuated.requests) == before

        assert until(is_in_force, EVACUATION_S)
        assert boottime() - acknowledged_at < EVACUATION_S
        platform.kill("vm2")
        platform.start("vm2", 1)
        platform.store.refusing = True
        assert is_in_force()
        platform.store.refusing = False
        platform.store.remove(f"{EVACUATIONS_PREFIX}a")
        platform.store.remove(f"servers/{kept.id}")
        assert until(lambda: not is_in_force(), 2 * EVACUATION_S)

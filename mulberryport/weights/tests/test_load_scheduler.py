"""Tests of the weight load scheduler, without network."""

import eventlet
import pytest
from attrs import evolve

from ...outcomes import Done, NotDone
from ...routing import TargetView
from ..load_scheduler import WeightLoadScheduler, assign_engines, choose_loads


def engine(name, zone="a", **versions):
    """Return an engine."""
    return TargetView(
        id=name, address="", zone=zone, pool="p", kind="k", versions=versions
    )


class Duty:
    """Stub of a duty that is always held."""

    active = True


def run_scheduler(engines, announced, required=None, rounds=20, failed_orders=0):
    """Run a scheduler over engines that load instantly; return loads and engines."""
    state = {e.id: e for e in engines}
    loads, failures = [], [failed_orders]

    def order(view, load):
        if failures[0]:
            failures[0] -= 1
            return NotDone("lost")
        loads.append((load.target, load.model, load.version))
        versions = {**state[load.target].versions, load.model: load.version}
        state[load.target] = evolve(state[load.target], versions=versions)
        return Done(True)

    scheduler = WeightLoadScheduler(
        Duty(),
        lambda model: [e for e in state.values() if model in e.versions],
        lambda: announced,
        lambda model: (required or {}).get(model, 0),
        order,
    )
    for _ in range(rounds):
        scheduler.run_once()
        eventlet.sleep(0)
    return loads, state


def test_loads_of_one_model_do_not_starve_the_other():
    # Scenario: two models, each with a new version every few seconds.
    engines = [engine(f"e{n}", "abc"[n % 3], m=1, n=1) for n in range(9)]
    loads, _ = run_scheduler(engines, {"m": 3, "n": 3})
    assert {model for _, model, _ in loads[:4]} == {"m", "n"}


def test_every_second_version_is_enough_for_an_engine():
    # Loads beyond one version for each engine of a trainer are charged.
    engines = [engine(f"e{n}", m=1, n=1) for n in range(8)]
    state = {e.id: e for e in engines}
    total = 0
    for version in range(2, 12):
        loads, state = run_scheduler(list(state.values()), {"m": version, "n": version})
        total += len(loads)
        for model in ("m", "n"):
            model_engines = assign_engines(list(state.values()), ["m", "n"])[model]
            assert all(e.versions[model] >= version - 1 for e in model_engines)
    assert total <= 10 * 8


def test_assignments_are_disjoint_spread_over_zones_and_stable():
    engines = [engine(f"e{n}", "abc"[n % 3]) for n in range(9)]
    assigned = assign_engines(engines, ["m", "n"])
    engine_ids = [e.id for model_engines in assigned.values() for e in model_engines]
    assert len(engine_ids) == len(set(engine_ids)) == 9
    assert all(
        len({e.zone for e in model_engines}) == 3 for model_engines in assigned.values()
    )
    reassigned = assign_engines(engines[1:], ["m", "n"])
    moved = sum(
        e not in assigned[model]
        for model, model_engines in reassigned.items()
        for e in model_engines
    )
    assert moved <= 3


def test_models_share_engines_if_there_are_fewer_engines_than_models():
    assigned = assign_engines([engine("e1")], ["m", "n", "o"])
    assert all(
        [e.id for e in model_engines] == ["e1"] for model_engines in assigned.values()
    )
    assert assign_engines([], ["m"]) == {"m": []}


def test_all_engines_load_the_newest_version_if_jobs_require_it():
    engines = [engine("a", m=2), engine("b", m=3)]
    assert [load.target for load in choose_loads(engines, "m", 3, 3)] == ["a"]


def test_lost_order_is_sent_again():
    loads, state = run_scheduler(
        [engine("a", m=1)], {"m": 3}, failed_orders=1, rounds=3
    )
    assert loads == []
    eventlet.sleep(0.6)
    loads, state = run_scheduler(list(state.values()), {"m": 3})
    assert state["a"].versions["m"] == 3


@pytest.mark.parametrize(("count", "max_loading"), [(6, 2), (40, 8)])
def test_concurrent_loads_are_limited(count, max_loading):
    # Guards against loads that slow each other down because too many run, and against
    # a large deployment that falls behind its versions because only two engines load.
    started = []

    def order(view, load):
        started.append(load.target)
        eventlet.sleep(1.0)
        return Done(True)

    engines = [engine(f"e{n}", m=1) for n in range(count)]
    scheduler = WeightLoadScheduler(
        Duty(), lambda model: engines, lambda: {"m": 5}, lambda model: 0, order
    )
    for _ in range(5):
        scheduler.run_once()
        eventlet.sleep(0)
    assert len(started) == max_loading

"""Tests of weights that are loaded by turns; no network is needed."""

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
    """A duty that is held."""

    active = True


def rotate(engines, announced, required=None, turns=20, fail=0):
    """Run turns of a rotation over engines that load at once; return the loads."""
    state = {e.id: e for e in engines}
    loads, failures = [], [fail]

    def order(view, load):
        if failures[0]:
            failures[0] -= 1
            return NotDone("lost")
        loads.append((load.target, load.model, load.version))
        versions = {**state[load.target].versions, load.model: load.version}
        state[load.target] = evolve(state[load.target], versions=versions)
        return Done(True)

    rotation = WeightLoadScheduler(
        Duty(),
        lambda model: [e for e in state.values() if model in e.versions],
        lambda: announced,
        lambda model: (required or {}).get(model, 0),
        order,
    )
    for _ in range(turns):
        rotation.run_once()
        eventlet.sleep(0)
    return loads, state


def test_one_models_versions_do_not_starve_the_other():
    # Pattern: two models, each with a new version every few seconds.
    engines = [engine(f"e{n}", "abc"[n % 3], m=1, n=1) for n in range(9)]
    loads, _ = rotate(engines, {"m": 3, "n": 3})
    assert {model for _, model, _ in loads[:4]} == {"m", "n"}


def test_every_second_version_is_enough_for_an_engine():
    # Pattern: loads are paid beyond one version for each engine of a trainer.
    engines = [engine(f"e{n}", m=1, n=1) for n in range(8)]
    state = {e.id: e for e in engines}
    total = 0
    for version in range(2, 12):
        loads, state = rotate(list(state.values()), {"m": version, "n": version})
        total += len(loads)
        for model in ("m", "n"):
            home = assign_engines(list(state.values()), ["m", "n"])[model]
            assert all(e.versions[model] >= version - 1 for e in home)
    assert total <= 10 * 8


def test_homes_are_disjoint_spread_and_hardly_move():
    engines = [engine(f"e{n}", "abc"[n % 3]) for n in range(9)]
    homes = assign_engines(engines, ["m", "n"])
    names = [e.id for home in homes.values() for e in home]
    assert len(names) == len(set(names)) == 9
    assert all(len({e.zone for e in home}) == 3 for home in homes.values())
    fewer = assign_engines(engines[1:], ["m", "n"])
    moved = sum(e not in homes[model] for model, home in fewer.items() for e in home)
    assert moved <= 3


def test_fewer_engines_than_models_are_shared():
    homes = assign_engines([engine("e1")], ["m", "n", "o"])
    assert all([e.id for e in home] == ["e1"] for home in homes.values())
    assert assign_engines([], ["m"]) == {"m": []}


def test_jobs_that_need_the_newest_version_get_it_on_all_engines():
    engines = [engine("a", m=2), engine("b", m=3)]
    assert [load.target for load in choose_loads(engines, "m", 3, 3)] == ["a"]


def test_a_lost_order_is_given_again():
    loads, state = rotate([engine("a", m=1)], {"m": 3}, fail=1, turns=3)
    assert loads == []
    eventlet.sleep(0.6)
    loads, state = rotate(list(state.values()), {"m": 3})
    assert state["a"].versions["m"] == 3


@pytest.mark.parametrize(("count", "at_once"), [(6, 2), (40, 8)])
def test_few_engines_load_at_the_same_time(count, at_once):
    # Guards against loads that take longer because many run, and against a large
    # deployment that falls behind its versions because only two engines load.
    started = []

    def order(view, load):
        started.append(load.target)
        eventlet.sleep(1.0)
        return Done(True)

    engines = [engine(f"e{n}", m=1) for n in range(count)]
    rotation = WeightLoadScheduler(
        Duty(), lambda model: engines, lambda: {"m": 5}, lambda model: 0, order
    )
    for _ in range(5):
        rotation.run_once()
        eventlet.sleep(0)
    assert len(started) == at_once

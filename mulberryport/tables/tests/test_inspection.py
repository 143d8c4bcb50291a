"""Tests of the inspection and the comparison of tables."""

import pytest
from attrs import evolve

from ..comparison import compare_tables
from ..inspection import CONTRADICTION, NEVER_MATCHES, inspect_tables
from ..model import KeyRecord, Pool, Route, Tables, Workspace
from ..terms import BatchTerms, PoolShare

ROUTE = Route(name="r", path="/a/", pool="p", workspaces=("roads",))
POOL = Pool(name="p", kind="plain-service", zones=("a",), minimum=1, maximum=2)
SOUND = Tables(
    workspaces={"roads": Workspace(name="roads")},
    routes={"r": ROUTE},
    pools={"p": POOL},
    keys={"d" * 64: KeyRecord("d" * 64, "roads")},
)


def with_route(**values):
    """Return sound tables whose route has other values."""
    return evolve(SOUND, routes={"r": evolve(ROUTE, **values)})


def with_pool(**values):
    """Return sound tables whose pool has other values."""
    return evolve(SOUND, pools={"p": evolve(POOL, **values)})


def test_nothing_is_found_in_sound_tables():
    # Guards against a check that operators learn to ignore.
    assert inspect_tables(SOUND) == []
    # Cheap targets keep the minimum within the spending.
    assert inspect_tables(with_pool(spending=0.5, cheap_share=1.0)) == []


@pytest.mark.parametrize(
    ("tables", "kind", "place"),
    [
        (with_route(latency_target=90.0), CONTRADICTION, "route r latency-target"),
        (with_route(resumable=True), CONTRADICTION, "route r resumable"),
        (with_route(batch=BatchTerms(9.0, 5.0)), CONTRADICTION, "route r give-up"),
        (with_route(path="/a"), CONTRADICTION, "route r path"),
        (with_route(split=(PoolShare("p", 0.0),)), NEVER_MATCHES, "route r split"),
        (evolve(SOUND, keys={}), NEVER_MATCHES, "route r workspaces"),
        (with_route(workspaces=()), NEVER_MATCHES, "workspace roads "),
        (with_pool(minimum=3), CONTRADICTION, "pool p minimum"),
        (with_pool(cold_time=3.0), CONTRADICTION, "pool p cold-rate"),
        (with_pool(spending=0.1), CONTRADICTION, "pool p spending"),
        (with_pool(zones=(), cheap_share=0.5), NEVER_MATCHES, "pool p cheap-share"),
        (evolve(SOUND, routes={}), NEVER_MATCHES, "pool p "),
    ],
)
def test_entries_without_effect_and_contradictions_are_found(tables, kind, place):
    # Guards against a configuration that is accepted and does not do what was meant.
    found = [(f.kind, f"{f.section} {f.key}") for f in inspect_tables(tables)]
    assert (kind, place) in found


def test_routes_that_hide_each_other_are_found():
    # Guards against a second route of the same path, which never gets a request.
    twin = evolve(ROUTE, name="twin")
    hidden = inspect_tables(evolve(SOUND, routes={"r": ROUTE, "twin": twin}))
    assert {(f.kind, f.section) for f in hidden} == {
        (NEVER_MATCHES, "route r"),
        (NEVER_MATCHES, "route twin"),
    }
    other_host = evolve(twin, host="b.example")
    found = inspect_tables(evolve(SOUND, routes={"r": ROUTE, "twin": other_host}))
    assert [(f.kind, f.key) for f in found] == [(CONTRADICTION, "host")]


def test_differences_name_entries_and_values_but_no_key():
    # Guards against a change that is overlooked, and against keys in the output.
    new = evolve(with_route(timeout=5.0), pools={"q": evolve(POOL, name="q")}, keys={})
    lines = [str(difference) for difference in compare_tables(SOUND, new)]
    assert lines == [
        "changed: [route r] timeout: 60.0 becomes 5.0",
        "added: [pool q]",
        "removed: [pool p]",
        f"removed: [workspace roads] key {'d' * 12}",
    ]
    assert compare_tables(SOUND, SOUND) == []

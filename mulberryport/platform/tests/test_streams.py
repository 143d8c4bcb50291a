"""Tests of streams that callers take up, with daemons as processes.

Engines of two software versions serve side by side. Their events name the version.
"""

import re
from http.client import IncompleteRead

import orjson
import pytest

from ...coordination.tests.builders import until
from .builders import HOST, Platform, make_configuration, running

ROUTE = {
    "name": "notes",
    "host": HOST,
    "prefix": "/notes/",
    "service": "engines",
    "kind": "streaming",
    "streaming": True,
    "resumable": True,
    "timeout-ms": 8000,
    "latency-target-ms": 500,
    "priority": 1,
    "max-attempts": 2,
    "public": False,
}
EVENT_COUNT, EVENTS_BEFORE_BREAK = 5, 2


def configure(platform: Platform) -> None:
    """Add the route, and let engines of two versions break off new streams."""
    base = make_configuration()
    configuration = make_configuration(2, routes=[*base["routes"], ROUTE])
    platform.configure(configuration)
    for number, engine in enumerate(platform.engines):
        engine.event_count, engine.break_after = EVENT_COUNT, EVENTS_BEFORE_BREAK
        engine.software = f"v{number}"
        register(platform, engine)


def register(platform, engine):
    """Write the registration of an engine with its software version."""
    entry = orjson.loads(entries(platform)[f"servers/{engine.id}"].value)
    platform.store.put(f"servers/{engine.id}", {**entry, "version": engine.software})


def entries(platform):
    """Return the entries of the store by key."""
    return platform.store.entries


def read_stream(platform, vm, request_id, **headers):
    """Return the status of a response, and the version and number of each event."""
    try:
        status, _, body = platform.call(
            vm, "POST", "/notes/x", b"x", X_Request_Id=request_id, **headers
        )
    except IncompleteRead as error:
        status, body = 200, error.partial
    events = re.findall(rb"id: (\d+)\ndata: (v\d):", body)
    return status, [(version.decode(), int(number)) for number, version in events]


def begin_streams(platform, vm, count):
    """Begin streams, which break off, and return their versions by request id."""
    begun = {}
    for number in range(count):
        status, events = read_stream(platform, vm, f"{vm}-r{number}")
        assert status == 200 and len(events) == EVENTS_BEFORE_BREAK
        begun[f"{vm}-r{number}"] = events[0][0]
    return begun


def take_up(platform, vm, request_id, attempt):
    """Take up a stream; return the status and the events."""
    return read_stream(
        platform,
        vm,
        f"{request_id}-again{attempt}",
        Resumes=request_id,
        Last_Event_Id=str(EVENTS_BEFORE_BREAK),
    )


def written_origins(platform):
    """Return the number of origins of streams in the store."""
    return sum(key.startswith("mulberryport/stream/") for key in entries(platform))


@pytest.fixture
def platform(tmp_path):
    """Run two daemons with engines of two versions."""
    with running(tmp_path, "vm1", "vm2") as started:
        configure(started)
        # Both routes and versions are known once a stream of each version has begun.
        for vm in ("vm1", "vm2"):
            assert until(lambda vm=vm: '"revision":2' in started.log(vm), 10.0)
            assert until(lambda vm=vm: '"software":"v1"' in started.log(vm), 10.0)
        yield started


def test_streams_go_on_at_their_version_after_all_daemons_were_killed(platform):
    # Guards against streams that are joined from two software versions: daemons that
    # have all restarted do not know which version began a stream.
    begun = {}
    for vm in ("vm1", "vm2"):
        begun.update(begin_streams(platform, vm, 8))
    assert set(begun.values()) == {"v0", "v1"}
    assert until(lambda: written_origins(platform) >= len(begun), 5.0)
    for number, vm in enumerate(("vm1", "vm2")):
        platform.kill(vm)
        platform.start(vm, number)
    for number, (request_id, version) in enumerate(begun.items()):
        status, events = take_up(platform, f"vm{1 + number % 2}", request_id, 1)
        assert status == 200
        assert events == [(version, n) for n in range(3, EVENT_COUNT + 1)]


def test_a_stream_of_unknown_origin_is_refused_and_not_sent(platform):
    # Guards against a guess, and against a caller that waits until its deadline.
    begin_streams(platform, "vm1", 4)
    started = [len(engine.started_items) for engine in platform.engines]
    assert take_up(platform, "vm2", "nobody-knows", 1)[0] == 503
    status, _ = read_stream(platform, "vm2", "unnamed", Last_Event_Id="2")
    assert status == 503
    assert [len(engine.started_items) for engine in platform.engines] == started


def test_a_stream_whose_version_has_left_is_refused_at_once(platform):
    # Guards against a stream that goes on at the remaining version, and a caller
    # that waits for servers that do not come back.
    begun = begin_streams(platform, "vm1", 8)
    platform.store.remove("servers/e1")
    gone = [request_id for request_id, version in begun.items() if version == "v0"]
    kept = [request_id for request_id, version in begun.items() if version == "v1"]
    assert gone and kept
    assert until(lambda: '"target_unlisted"' in platform.log("vm1"), 10.0)
    assert take_up(platform, "vm1", gone[0], 1)[0] == 503
    status, events = take_up(platform, "vm1", kept[0], 1)
    assert status == 200 and {version for version, _ in events} == {"v1"}

"""Tests of the one reading of a path.

Guards against a request that is authorized for one route and run by the service of
another, because its path can be read in several ways.
"""

import posixpath
from contextlib import closing
from http.client import HTTPConnection
from urllib.parse import unquote_to_bytes

import hypothesis.strategies as st
import pytest
from hypothesis import example, given, settings

from ...tables import Route, Tables
from ..paths import AmbiguousPathError, match_route, path_readings, request_path
from ..refusals import RefusalError
from .builders import running_gateway, scripted_target

PREFIXES = ("/", "/desk/", "/desk/notices/", "/desk/notices/old/", "/once/", "/a%20b/")
PIECES = ["/", "/", "desk", "notices", "old", "once", "a", "b", ".", "..", ";", ";x=1"]
PIECES += ["%2f", "%2F", "%5c", "\\", "%2e", "%252f", "%252E", "%3f", "%23", "#", "%"]
PIECES += ["%00", "%ff", "%c0%af", "+", "%20", "%25", "%zz", "@", ":"]


def make_tables(prefixes):
    """Return tables with a route for each prefix."""
    return Tables(
        routes={
            f"r{n}": Route(name=f"r{n}", path=path, pool="p")
            for n, path in enumerate(prefixes)
        }
    )


def longest_prefix(prefixes, path):
    """Return the longest prefix that begins a path."""
    return max((p for p in prefixes if path.startswith(p)), key=len, default=None)


def other_readings(path):
    """Return what targets of several kinds make of a path, by other code."""
    once = unquote_to_bytes(path).decode("latin-1")
    twice = unquote_to_bytes(once.encode("latin-1")).decode("latin-1")
    for text in (path, once, twice):
        without_query = text.partition("?")[0].partition("#")[0]
        for reading in (text, without_query):
            yield reading
            for slashed in (reading, reading.replace("\\", "/")):
                segments = [part.partition(";")[0] for part in slashed.split("/")]
                for joined in (slashed, "/".join(segments)):
                    yield joined
                    if joined.startswith("/"):
                        is_folder = joined.endswith(("/", "/.", "/.."))
                        resolved = posixpath.normpath(joined).replace("//", "/")
                        yield resolved + ("/" if is_folder and resolved != "/" else "")


@settings(derandomize=True, deadline=None, max_examples=1500)
@given(
    st.lists(st.sampled_from(PIECES), max_size=9).map(lambda p: "/" + "".join(p)),
    st.sets(st.sampled_from(PREFIXES[:-1]), min_size=1),
)
@example("/desk/notices%2F7", {"/desk/", "/desk/notices/"})
@example("/desk/..%2Fonce/x", {"/desk/", "/once/"})
@example("/desk/..;/once/x", {"/desk/", "/once/"})
@example("/desk/%252e%252e/once/x", {"/desk/", "/once/"})
@example("/desk\\..\\once/", {"/", "/once/"})
def test_the_route_that_authorizes_is_that_of_the_path_in_any_reading(path, prefixes):
    try:
        route = match_route(make_tables(prefixes), path)
    except AmbiguousPathError:
        return
    prefix = route.path if route is not None else None
    assert prefix == longest_prefix(prefixes, path)
    if route is not None:
        readings = set(other_readings(path))
        assert {longest_prefix(prefixes, reading) for reading in readings} == {prefix}


@pytest.mark.parametrize(
    "path",
    ["/desk/a", "/desk/a%20b", "/desk/%2F", "/desk/a//b", "/desk/a;v=1", "/desk/a%3Fb"]
    + ["/desk/./a", "/desk/a/../b", "/desk/%e9", "/desk/%C3%A9", "/desk/100%", "/desk/"]
    + ["/desk/a.b-c_d~e", "/desk/notices", "/desk/notices-7", "/desk/%6Eotes"],
)
def test_a_path_of_one_route_in_all_readings_is_forwarded(path):
    # Guards against sound requests that are refused.
    route = match_route(make_tables(PREFIXES[1:]), path)
    assert route is not None and route.path == "/desk/"


@pytest.mark.parametrize(
    "path",
    ["/desk/notices%2F7", "/desk/notices%2f7", "/desk/notices%252F7"]
    + ["/desk/notices%5C7", "/desk/notices\\7", "/desk/%6Eotices/7", "/desk/../once/x"]
    + [
        "/desk/%2e%2e/once/x",
        "/desk/..;/once/x",
        "/desk//notices/7",
        "/desk/..",
        "/desk/;/..",
    ]
    + ["/desk/./notices/7", "/desk/;x/notices/7", "/desk/x/..%5c..%5conce/"],
)
def test_an_ambiguous_path_has_no_route(path):
    with pytest.raises(AmbiguousPathError):
        match_route(make_tables(PREFIXES[1:]), path)


def test_a_route_whose_prefix_is_encoded_serves_its_paths():
    tables = make_tables(PREFIXES)
    assert match_route(tables, "/a%20b/x").path == "/a%20b/"
    assert match_route(tables, "/a%20b/x%20y").path == "/a%20b/"


def test_a_path_with_very_many_readings_is_ambiguous():
    # Guards against a path that takes a daemon long to read.
    with pytest.raises(AmbiguousPathError):
        path_readings("/desk/%" + "25" * 2000 + "2fa")


@pytest.mark.parametrize(
    "path", ["desk/a", "http://h/desk/a", "*", "/desk/\xe9", "/a b"]
)
def test_a_path_that_cannot_be_forwarded_is_refused(path):
    with pytest.raises(RefusalError) as refusal:
        request_path({"RAW_PATH_INFO": path, "PATH_INFO": path})
    assert refusal.value.status == 400


@pytest.mark.parametrize(
    ("path", "status"),
    [("/filing/notices/7", 200), ("/filing/notices%2F7", 400), ("/filing/7", 401)],
)
def test_a_request_without_a_key_reaches_no_target_by_an_encoded_slash(path, status):
    def respond(connection, head):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    with (
        scripted_target(respond) as (address, heads),
        running_gateway(address) as harness,
        closing(HTTPConnection(*harness.address, timeout=5)) as connection,
    ):
        routes = harness.snapshot_holder.snapshot.tables.routes
        notices = Route(name="notices", path="/filing/notices/", pool="desk", open=True)
        harness.change(routes={**routes, "notices": notices})
        connection.request("GET", path)
        assert connection.getresponse().status == status
        assert len(heads) == (status == 200)

"""Tests of what responses' heads say about their targets."""

import pytest
import urllib3

from ...routing import TargetView
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables
from ...targets import TargetDirectory
from ...targets.vm_list import ListedVm
from .. import target_reports
from ..target_reports import record_reports

VIEW = TargetView(
    id="t", address="127.0.0.1:1", zone="a", pool="p", kind="plain-service"
)


def headers(*pairs, request_id="r"):
    """Return the headers of a response to a request."""
    result = urllib3.HTTPHeaderDict(pairs)
    if request_id:
        result.add("X-Request-Id", request_id)
    return result


def limit_after(*responses):
    """Return the limit that is known after responses, given by status and headers."""
    directory = TargetDirectory()
    for status, response_headers in responses:
        record_reports(directory, VIEW, "r", boottime(), status, response_headers)
    return directory.rate_limits.limit("t")


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_every_answer_names_the_limit(status):
    # Guards against limits that are read from successes only.
    assert limit_after((status, headers(("Server-Limit", "2.5")))) == 2.5


@pytest.mark.parametrize(
    "value", ["-1", "nan", "inf", "1e9", "many", "", "1,5", "10000000", "2.5 2.5", "٣"]
)
def test_a_limit_that_is_no_sensible_number_is_ignored(value):
    # Guards against senseless values that lift a limit or set one.
    named = (200, headers(("Server-Limit", "3")))
    assert limit_after((200, headers(("Server-Limit", value)))) is None
    assert limit_after(named, (200, headers(("Server-Limit", value)))) == 3.0


def test_two_limits_in_one_response_are_ignored():
    # Guards against a contradiction that is resolved by chance.
    two = headers(("Server-Limit", "3"), ("Server-Limit", "5"))
    assert limit_after((200, two)) is None


def test_only_answers_to_the_own_request_lift_the_limit():
    # Guards against late copies, answers of another target at the same address, and
    # answers that name no request, which may all be older than the limit.
    named = (200, headers(("Server-Limit", "3")))
    assert limit_after(named, (200, headers(request_id="other"))) == 3.0
    assert limit_after(named, (421, headers())) == 3.0
    assert limit_after(named, (400, headers(request_id=""))) == 3.0
    assert limit_after(named, (503, headers())) is None


def test_a_late_copy_names_no_limit():
    # Guards against a limit, or a load, of an earlier time.
    late = headers(("Server-Limit", "3"), ("X-Server-Load", "9,9,9"), request_id="old")
    assert limit_after((200, late)) is None


def listed_directory(born=7):
    """Return a directory in which target t of pool p is listed."""
    directory = TargetDirectory()
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"p": make_pool()})))
    list_target(directory, born)
    return directory


def make_pool():
    """Return pool p, whose targets come from the list."""
    return Pool(name="p", kind="plain-service", concurrency=4, queue=4)


def list_target(directory, *borns):
    """List target t with the times of its start; none to list no target."""
    directory.apply_vm_list(
        ListedVm("t", "127.0.0.1:1", "a", "p", False, False, born=born)
        for born in borns
    )


def is_selectable(directory):
    """Return whether target t may get requests."""
    return directory.views("p")[0].selectable


def answer_leaving(directory, view, status=200, **values):
    """Record a response that says that its target is leaving."""
    leaving = headers(("Server-Leaving", "1"), **values)
    record_reports(directory, view, "r", boottime(), status, leaving)


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_a_target_that_says_it_leaves_gets_no_new_requests(status):
    # Guards against requests to a leaving target whose entry in the list does not say
    # so yet, or cannot because the store is away.
    directory = listed_directory()
    answer_leaving(directory, directory.views("p")[0], status)
    assert not is_selectable(directory)
    assert directory.is_leaving("t")
    list_target(directory, 7)
    assert not is_selectable(directory)


def test_a_leaving_target_whose_entry_lapses_and_returns_stays_out():
    # Guards against a mark that is lost with the entry, which may lapse in an outage.
    directory = listed_directory()
    answer_leaving(directory, directory.views("p")[0])
    list_target(directory)
    list_target(directory, 7)
    assert not is_selectable(directory)


def test_an_outdated_entry_does_not_bring_a_leaving_target_back():
    # Guards against an entry of an earlier target with the same id, which is written
    # late, that ends the mark of the present one.
    directory = listed_directory()
    answer_leaving(directory, directory.views("p")[0])
    list_target(directory, 5)
    list_target(directory, 7)
    assert not is_selectable(directory)


def test_a_new_target_with_the_id_of_one_that_left_gets_requests():
    # Guards against a mark that outlives its target, also if the last answer of the old
    # target arrives after the new one was listed.
    directory = listed_directory()
    old_view = directory.views("p")[0]
    answer_leaving(directory, old_view)
    list_target(directory, 9)
    assert is_selectable(directory)
    answer_leaving(directory, old_view)
    assert is_selectable(directory)


def test_late_copies_and_other_targets_say_nothing_about_leaving():
    # Guards against a target that is taken out by an answer that is not its own.
    directory = listed_directory()
    view = directory.views("p")[0]
    answer_leaving(directory, view, 421)
    answer_leaving(directory, view, request_id="other")
    assert is_selectable(directory)


@pytest.mark.parametrize("text", ["3,1", "3,1,8,9,9", "a,b,c", "-1,0,8", "1,0,8,0", ""])
def test_malformed_load_is_ignored_alone_and_logged_once(text, monkeypatch):
    # Guards against a header of another build that hides what else a head says, and
    # against one log line for each response.
    logged = []
    monkeypatch.setattr(
        target_reports, "log", lambda event, **fields: logged.append(event)
    )
    directory = TargetDirectory()
    named = headers(("X-Server-Load", text), ("Server-Limit", "2.0"))
    for _ in range(3):
        record_reports(directory, VIEW, "r", boottime(), 200, named)
    assert directory.get_state(VIEW.id) is None
    assert directory.rate_limits.limit(VIEW.id) == 2.0
    assert logged == [target_reports.LOAD_MALFORMED]


def test_load_of_a_target_that_tells_its_speed_is_read():
    # Guards against reports that are dropped because they have a fourth figure.
    directory = TargetDirectory()
    told = headers(("X-Server-Load", "3,1,8,250"))
    record_reports(directory, VIEW, "r", boottime(), 200, told)
    report = directory.get_state(VIEW.id).report
    assert (report.running, report.waiting, report.capacity) == (3, 1, 8)
    assert report.slowdown == 2.5

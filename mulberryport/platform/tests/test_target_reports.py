"""Tests of what responses' heads say about their targets."""

import pytest
import urllib3

from ...routing import TargetView
from ...runtime.clock import boottime
from ...targets import TargetDirectory
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

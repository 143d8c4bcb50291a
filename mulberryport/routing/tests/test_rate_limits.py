"""Tests of the reports of rate limits and of the scheduler's use of them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..model import ShedError
from ..permits import PermitSchedule
from ..queue import QueuedRequest
from ..rate_limits import RateLimitReport, latest_report
from ..scheduler import Grant
from .builders import scheduler, view, work

# What a target that names a limit may get in a window, by the users' bound.
WINDOW_S = 4.0


def allowed_in_window(requests_per_s: float) -> float:
    """Return the requests that a target may get within ``WINDOW_S``."""
    return 1.5 * requests_per_s * WINDOW_S + 5


def limited_view(name: str, requests_per_s: float = 2.0, received_at: float = 0.0):
    """Return the view of a target that names a rate limit."""
    report = RateLimitReport(requests_per_s, received_at - 0.1, received_at)
    return view(name, rate_limit=report)


times = st.floats(0.0, 10.0, allow_nan=False)
values = st.sampled_from([None, 1.0, 3.0])


@given(st.lists(st.tuples(times, times, values), min_size=1, max_size=12))
def test_reports_in_any_order_do_not_override_newer_ones(drawn):
    # Guards against a late copy, an overtaken response or old news of a peer that lifts
    # or changes a limit.
    reports = [
        RateLimitReport(value, min(a, b), max(a, b) + 0.001) for a, b, value in drawn
    ]
    latest = latest_report(reports)
    assert not any(report.is_newer_than(latest) for report in reports)
    if latest.requests_per_s is None:
        assert all(
            latest.is_newer_than(report)
            for report in reports
            if report.requests_per_s is not None
        )


@given(
    st.floats(0.3, 20.0),
    st.lists(st.floats(0.0, 0.6), min_size=1, max_size=300),
)
def test_permits_keep_to_the_limit_in_every_window(requests_per_s, gaps):
    # Guards against bursts: permits that add up while nobody asks, or while many ask.
    schedule, now, used_at = PermitSchedule(), 0.0, []
    for gap in gaps:
        now += gap
        reservation = schedule.reserve("t", requests_per_s, now)
        if reservation.is_granted:
            used_at.append(now + reservation.wait_s)
    used_at.sort()
    for start in used_at:
        in_window = [at for at in used_at if start <= at < start + WINDOW_S]
        assert len(in_window) <= allowed_in_window(requests_per_s)


def test_a_limited_target_is_used_only_with_permits():
    # Guards against a limited target that looks idle and gets every request.
    pool = scheduler([limited_view("a")])
    granted = []
    admissions = [pool.submit(work(deadline=60.0), granted.append, 0.0) for _ in "abc"]
    assert all(isinstance(admission, QueuedRequest) for admission in admissions)
    assert pool.wanted_permits(0.0, ()) == ["a"]
    pool.add_permit("a", 0.1)
    assert len(granted) == 1 and isinstance(granted[0], Grant)
    assert pool.wanted_permits(0.1, ("a",)) == []


def test_other_targets_go_first_and_permits_expire():
    # Guards against limited targets that are used while others are free, and against
    # permits of idle daemons that are used long after they were issued.
    pool = scheduler([limited_view("a"), view("b")])
    pool.add_permit("a", 0.0)
    grants = [pool.submit(work(), print, 0.1) for _ in range(4)]
    assert [grant.candidate.id for grant in grants] == ["b"] * 4
    pool.submit(work(), print, 5.0)
    assert len(pool.queue) == 1


def test_a_request_that_limits_keep_past_its_deadline_is_refused_at_once():
    # Guards against requests that wait until their deadline although it is known that
    # they cannot be served.
    pool = scheduler([limited_view("a", 1.0), limited_view("b", 1.0)])
    for _ in range(4):
        pool.submit(work(deadline=2.1), print, 0.0)
    with pytest.raises(ShedError) as caught:
        pool.submit(work(deadline=2.1), print, 0.0)
    assert caught.value.retry_after == pytest.approx(0.5)
    assert isinstance(
        pool.submit(work(deadline=2.1, is_resubmitted=True), print, 0.0), QueuedRequest
    )


def test_a_limit_that_nobody_confirms_gets_a_request():
    # Guards against a limit that has ended, but is never lifted, because no request
    # goes to its target any more.
    pool = scheduler([limited_view("a"), view("b")])
    pool.submit(work(), print, 2.0)
    assert pool.wanted_permits(2.0, ()) == ["a"]
    pool.add_permit("a", 2.1)
    grant = pool.submit(work(), print, 2.2)
    assert isinstance(grant, Grant) and grant.candidate.id == "a"


def test_the_end_of_a_limit_frees_the_target():
    # Guards against queued requests that wait for permits after the limit has ended.
    pool = scheduler([limited_view("a")])
    granted = []
    pool.submit(work(deadline=60.0), granted.append, 0.0)
    pool.update([view("a", rate_limit=RateLimitReport(None, 0.5, 0.6))], 0.7)
    assert len(granted) == 1


def test_a_probe_of_an_ejected_target_needs_a_permit():
    # Guards against probes that pass the limit, and against an ejected target that is
    # never probed because nobody asks for a permit for it.
    pool = scheduler([view("a"), limited_view("b")])
    pool.ejector.set_targets(["a", "b"])
    for _ in range(10):
        pool.ejector.record_failure("b", 0.0, False)
    pool.update([view("a"), limited_view("b")], 0.0)
    assert pool.ejector.ejected == ["b"] or list(pool.ejector.ejected) == ["b"]
    now = 30.0
    grants = [pool.submit(work(restartable=True), print, now) for _ in range(3)]
    assert {grant.candidate.id for grant in grants} == {"a"}
    assert "b" in pool.wanted_permits(now, ())
    pool.add_permit("b", now)
    grant = pool.submit(work(restartable=True), print, now)
    assert grant.candidate.id == "b" and grant.probe

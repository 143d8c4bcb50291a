"""Tests of permits for cold targets, which crash well above their rate."""

from bisect import bisect_left

from hypothesis import example, given, settings
from hypothesis import strategies as st

from ..model import LoadReport
from ..permits import COLD_PERMIT_LIFETIME_S, COLD_RATE_FRACTION, PermitSchedule
from ..queue import QueuedRequest
from ..rate_limits import RateLimitReport
from ..scheduler import Grant
from .builders import scheduler, view, work

DEPUTY_FRACTION = 0.5


def allowed_in_a_second(requests_per_s: float) -> float:
    """Return the requests that a cold target may get, by the users' bound."""
    return 1.5 * requests_per_s + 5


requests = st.lists(
    st.tuples(
        st.sampled_from(["first", "other first", "deputy"]),
        # Time since the last request, and from the permit until it is used.
        st.floats(0.0, 0.1),
        st.floats(0.0, COLD_PERMIT_LIFETIME_S),
        st.sampled_from([False] * 9 + [True]),
    ),
    max_size=400,
)


def saturating_requests():
    """Return the requests of three issuers for more permits than there are.

    The first permits are used as late as they may be, and the others at once.
    """
    issuers = ["first", "other first", "deputy"]
    return [
        (issuers[n % 3], 0.002, COLD_PERMIT_LIFETIME_S if n < 300 else 0.0, False)
        for n in range(900)
    ]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.floats(0.5, 60.0), requests)
@example(20.0, saturating_requests())
def test_cold_target_never_gets_more_than_its_bound_in_a_second(rate, history):
    # Guards against issuers that do not know of each other, that restart, or whose
    # permits are used late and together.
    schedules = {}
    used_at, now = [], 0.0
    for issuer, pause_s, delay_s, restarts in history:
        now += pause_s
        if restarts:
            schedules.pop(issuer, None)
        schedule = schedules.setdefault(issuer, PermitSchedule())
        fraction = DEPUTY_FRACTION if issuer == "deputy" else 1.0
        reservation = schedule.reserve(
            "t", COLD_RATE_FRACTION * fraction * rate, now, burst_permits=1
        )
        if reservation.is_granted:
            used_at.append(now + reservation.wait_s + delay_s)
    used_at.sort()
    for index, at in enumerate(used_at):
        in_window = bisect_left(used_at, at + 1.0) - index
        assert in_window <= allowed_in_a_second(rate)


def cold_view(name: str, now: float = 0.0):
    """Return the view of a cold target."""
    limit = RateLimitReport(10.0, now, now)
    return view(name, rate_limit=limit, is_cold=True, report=LoadReport(0, 0, 4))


def test_warm_targets_come_before_cold_ones():
    # Guards against a loss of a zone after which the fleet turns to cold targets.
    pool_scheduler = scheduler([cold_view("cold"), view("warm")])
    pool_scheduler.add_permit("cold", 0.0)
    granted = [pool_scheduler.submit(work(), print, 0.0) for _ in range(4)]
    assert {grant.candidate.id for grant in granted} == {"warm"}


def test_cold_target_gets_one_request_for_each_permit():
    # Guards against a herd of requests on a target that came back cold.
    pool_scheduler = scheduler([cold_view("cold")])
    outcomes = []
    for _ in range(6):
        queued = pool_scheduler.submit(work(), outcomes.append, 0.0)
        assert isinstance(queued, QueuedRequest)
    pool_scheduler.add_permit("cold", 0.0)
    assert [type(outcome) for outcome in outcomes] == [Grant]


def test_permit_for_a_cold_target_expires_soon():
    # Guards against permits of several daemons that are kept and used at one moment.
    pool_scheduler = scheduler([cold_view("cold")])
    pool_scheduler.add_permit("cold", 0.0)
    late = COLD_PERMIT_LIFETIME_S + 0.01
    assert isinstance(pool_scheduler.submit(work(), print, late), QueuedRequest)

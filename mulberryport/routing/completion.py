"""Selection of the target at which a request is expected to end first.

Used for pools whose targets tell how long work takes there at the moment. The cost of
a target is a time in seconds: the wait for a slot, the reading of what the target does
not keep of the prompt, the generation, and what the request takes from those that run
there. Functions of candidates and a random number generator, without I/O or state.
"""

import enum
import random
from collections.abc import Collection

from attrs import frozen

from .candidates import Candidate, CandidateSet
from .model import WorkRequest

__all__ = [
    "Choice",
    "Demand",
    "Reason",
    "choose_earliest",
    "completion_time",
    "demand_of",
]

# Reading speed of targets. It is not reported, and at the usual speeds the reading is
# short compared with what the time to the first event varies by.
READING_TOKENS_PER_S = 300_000.0
# Run time of a request about which nothing is known.
DEFAULT_RUN_TIME_S = 0.05
# Fraction by which a full target generates more slowly than an idle one.
FULL_BATCH_SLOWING = 0.05
# A request to another zone takes this much longer.
REMOTE_ZONE_S = 0.003
# Handshake of a new connection, which also occupies a slot for a moment.
NEW_CONNECTION_S = 0.005
# Time lost by a failure, for each unit of the failure penalty.
FAILURE_TIME_S = 1.0
# Fractions of the time of a request: where it would take an on-demand target that
# others need, and, for requests that prefer idle targets, where own requests run. The
# latter is below the smallest penalty of a failure.
ON_DEMAND_FRACTION = 0.1
BUSY_FRACTION = 0.4
# Times that differ by less than this fraction of the run time count as equal, more if
# the news of the load is old, so that daemons do not all choose the same target.
EQUAL_TIME_FRACTION = 0.02
UNCERTAIN_TIME_FRACTION = 0.2
MIN_EQUAL_TIME_S = 0.001
# Fraction of the text that is lost on average when memory runs out.
PREEMPTED_FRACTION = 0.5
# Targets that are compared; in larger pools a sample.
MAX_COMPARED = 64
SAMPLED_AT_RANDOM = 24
SAMPLED_OF_A_KIND = 16
MAX_TIME_S = 1e6


class Reason(enum.Enum):
    """What decided for a target.

    It keeps the beginning of the prompt, it is among the fastest, or the faster ones
    had no room.
    """

    PREFIX = "prefix"
    SPEED = "speed"
    ROOM = "room"


@frozen
class Choice:
    """The target of a request.

    Parameters
    ----------
    candidate : Candidate
        The target.
    kept_tokens : int
        Tokens of the prompt that the target is believed to keep.
    reason : Reason
        What decided for it.
    """

    candidate: Candidate
    kept_tokens: int = 0
    reason: Reason = Reason.ROOM


@frozen
class Demand:
    """What a request needs, the same at all targets of a pool.

    Parameters
    ----------
    work : WorkRequest
        The request.
    prompt_tokens, output_tokens : float
        Tokens of its prompt, and expected tokens of its text.
    mean_run_time_s : float
        Mean run time in seconds of the pool's requests; 0 if not known.
    """

    work: WorkRequest
    prompt_tokens: float
    output_tokens: float
    mean_run_time_s: float


def demand_of(work: WorkRequest, targets: CandidateSet) -> Demand:
    """Return what a request needs at the targets of its pool."""
    return Demand(
        work,
        sum([tokens for _, tokens in work.prompt_parts]),
        targets.prefixes.output_tokens(work.expected_events),
        targets.run_times.mean_s or 0.0,
    )


def expected_wait(
    requests: float, capacity: int, uncertainty: float, run_time_s: float
) -> float:
    """Return the expected wait in seconds for a slot of a target.

    Parameters
    ----------
    requests : float
        Estimated number of requests that run or wait there.
    capacity : int
        Requests that it runs at the same time.
    uncertainty : float
        Uncertainty of the estimate, as a fraction of the capacity.
    run_time_s : float
        Mean run time of the requests there.

    Examples
    --------
    >>> expected_wait(2, 8, 0.0, 1.0), expected_wait(16, 8, 0.0, 1.0)
    (0.0, 1.125)
    """
    excess = requests + 1.0 - capacity
    spread = 1.0 + uncertainty * capacity
    if excess <= -spread:
        return 0.0
    if excess < spread:
        # Mean of the excess, if it is evenly distributed within the spread.
        excess = (excess + spread) ** 2 / (4.0 * spread)
    return excess * run_time_s / capacity


def completion_time(
    candidate: Candidate,
    demand: Demand,
    targets: CandidateSet,
    kept_tokens: int,
    is_connected: bool,
) -> float:
    """Return the expected time in seconds until a request ends at a target.

    It includes what the request takes from those that run there. The result is finite
    and not negative, whatever targets report.

    Parameters
    ----------
    candidate : Candidate
        The target.
    demand : Demand
        What the request needs.
    targets : CandidateSet
        The pool.
    kept_tokens : int
        Tokens of the prompt that the target need not read.
    is_connected : bool
        Whether this daemon has an idle connection to it.
    """
    work, view = demand.work, candidate.view
    duration = candidate.relative_duration
    mean_run_time_s = demand.mean_run_time_s * duration
    run_time_s = (
        work.expected_events * candidate.event_interval_s
        or mean_run_time_s
        or DEFAULT_RUN_TIME_S * duration
    )
    capacity = candidate.capacity
    requests = candidate.own_requests + candidate.remote_requests
    running = requests if requests < capacity else capacity
    time_s = expected_wait(
        requests, capacity, candidate.uncertainty, mean_run_time_s or run_time_s
    )
    # The others generate more slowly by as much as this one does.
    time_s += run_time_s * (1.0 + 2.0 * FULL_BATCH_SLOWING * running / capacity)
    if demand.prompt_tokens:
        missing = max(0.0, demand.prompt_tokens - kept_tokens)
        # The others wait while the prompt is read.
        time_s += missing / READING_TOKENS_PER_S * (1.0 + running)
        needed = missing + demand.output_tokens
        free = targets.prefixes.free_tokens(view.id, candidate.remote_requests)
        if needed > free:
            # The newest request is put back, and its prompt read again.
            again_s = demand.prompt_tokens / READING_TOKENS_PER_S
            again_s += PREEMPTED_FRACTION * run_time_s
            time_s += (needed - free) / needed * again_s
    if view.zone != targets.zone:
        time_s += REMOTE_ZONE_S
    if not is_connected:
        time_s += NEW_CONNECTION_S
    if candidate.failure_penalty:
        time_s += candidate.failure_penalty * (run_time_s + FAILURE_TIME_S)
    if not view.cheap and work.restartable and targets.prefers_cheap:
        time_s += ON_DEMAND_FRACTION * run_time_s
    if work.prefers_idle and candidate.own_requests:
        time_s += BUSY_FRACTION * (run_time_s + FAILURE_TIME_S)
    return time_s if 0.0 <= time_s < MAX_TIME_S else MAX_TIME_S


def choose_earliest(
    targets: CandidateSet, work: WorkRequest, generator: random.Random, now: float
) -> Choice | None:
    """Choose the target at which a request is expected to end first.

    Full targets are used only if no other has room, and targets that name a rate limit
    only if no other can take the request. Of targets with nearly equal times, one that
    keeps the beginning of the prompt is preferred, then the home of the prefix or
    group, then one with an idle connection, and a random one among the rest.

    Parameters
    ----------
    targets : CandidateSet
        Targets of the pool.
    work : WorkRequest
        The request.
    generator : random.Random
        Random number generator.
    now : float
        Boot time.

    Returns
    -------
    Choice or None
        None if no target can take the request now.
    """
    connected = targets.connected()
    exclude = work.exclude
    accepts_all = not work.oldest_version and work.software is None
    fitting = [
        candidate
        for candidate in _compared(targets, work, generator, connected)
        if candidate.view.id not in exclude
        and (accepts_all or work.accepts_versions_of(candidate.view))
        and candidate.free_slots > 0
    ]
    if targets.has_rate_limited:
        unlimited = [c for c in fitting if not c.is_rate_limited]
        fitting = unlimited or fitting
    with_room = [c for c in fitting if c.own_requests + c.remote_requests < c.capacity]
    compared = with_room or fitting
    if not compared:
        return None
    kept = {
        target: targets.prefixes.kept_tokens(target, work.model, work.prompt_parts, now)
        for target in targets.prefixes.holders(work.model, work.prompt_parts)
    }
    demand = demand_of(work, targets)
    times = [
        (
            completion_time(c, demand, targets, kept.get(c.id, 0), c.id in connected),
            c,
        )
        for c in compared
    ]
    earliest_s, earliest = min(times, key=_first)
    margin_s, uncertain_margin_s = _equal_times(earliest, work, targets)
    home = targets.affinity_targets(work)[:1]
    # Old news does not make a kept prompt worth more.
    _, chosen = max(
        (pair for pair in times if pair[0] <= earliest_s + uncertain_margin_s),
        key=lambda pair: (
            kept.get(pair[1].id, 0) if pair[0] <= earliest_s + margin_s else 0,
            pair[1].id in home,
            pair[1].id in connected,
            generator.random(),
        ),
    )
    kept_tokens = kept.get(chosen.id, 0)
    faster_s = chosen.event_interval_s / (1.0 + EQUAL_TIME_FRACTION)
    if kept_tokens:
        reason = Reason.PREFIX
    elif any(c.event_interval_s < faster_s for c in fitting):
        reason = Reason.ROOM
    else:
        reason = Reason.SPEED
    return Choice(chosen, kept_tokens, reason)


def _first(pair: tuple[float, Candidate]) -> float:
    return pair[0]


def _equal_times(
    candidate: Candidate, work: WorkRequest, targets: CandidateSet
) -> tuple[float, float]:
    """Return the differences in seconds below which times count as equal.

    The second one is for the age of the news.
    """
    run_time_s = min(
        work.expected_events * candidate.event_interval_s
        or targets.run_times.mean_s
        or DEFAULT_RUN_TIME_S,
        MAX_TIME_S,
    )
    margin_s = max(MIN_EQUAL_TIME_S, EQUAL_TIME_FRACTION * run_time_s)
    uncertain_s = UNCERTAIN_TIME_FRACTION * candidate.uncertainty * run_time_s
    return margin_s, margin_s + uncertain_s


def _compared(
    targets: CandidateSet,
    work: WorkRequest,
    generator: random.Random,
    connected: Collection[str],
) -> Collection[Candidate]:
    """Return the targets that are compared: all, or a sample of a large pool."""
    eligible = targets.eligible_for(work, local=False)
    if len(eligible) <= MAX_COMPARED:
        return eligible
    local = targets.eligible_for(work, local=True)
    known = set(eligible)
    named = (
        *list(connected)[:SAMPLED_OF_A_KIND],
        *list(targets.prefixes.holders(work.model, work.prompt_parts))[
            :SAMPLED_OF_A_KIND
        ],
        *targets.affinity_targets(work),
    )
    sample = {
        *generator.sample(eligible, SAMPLED_AT_RANDOM),
        *generator.sample(local, min(SAMPLED_OF_A_KIND, len(local))),
        *(c for c in map(targets.get, named) if c in known),
    }
    # A nearly full pool is searched as a whole.
    if not any(c.free_slots > 0 for c in sample):
        return eligible
    return sorted(sample, key=lambda candidate: candidate.id)

"""Selection of the target for a request.

Functions of candidates and a random number generator, without I/O or other state.
"""

import random
from collections.abc import Callable, Collection, Sequence

from .candidates import Candidate, CandidateSet
from .model import WorkRequest

__all__ = ["choose_target", "selection_cost"]

# Random targets that are compared, from the own zone and from the whole pool each
# (Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS
# 2001).
RANDOM_CHOICES = 2
# Fraction of the capacity by which a preferred target of a prefix may be busier than
# the best compared target before the request spills over to the latter.
AFFINITY_LOAD_MARGIN = 0.7
# Fraction of the capacity by which the own zone may be busier than another zone.
REMOTE_ZONE_PENALTY = 0.1
# Fraction of the capacity by which cheap targets may be busier than on-demand targets.
ON_DEMAND_PENALTY = 0.1
# Fraction of the capacity by which a target with an idle connection of this daemon may
# be busier than one without: one request at a target with five slots. A new connection
# occupies a slot there for some time.
NEW_CONNECTION_PENALTY = 0.2
# Fraction of the capacity by which an idle target may be more loaded by others than a
# target with own requests, for requests that prefer idle ones. It is below the penalty
# of a failure, since a target that has just failed is idle as well.
BUSY_PENALTY = 0.4
# Targets with an idle connection that are compared.
CONNECTED_CHOICES = 3
# Largest random cost of an outdated report, as a fraction of the capacity. It keeps
# all daemons from sending their requests to the same apparently idle target.
MAX_UNCERTAINTY_PENALTY = 0.2


def selection_cost(
    candidate: Candidate, work: WorkRequest, targets: CandidateSet, draw: float
) -> float:
    """Return the cost of selecting a target, as a fraction of its capacity.

    Parameters
    ----------
    candidate : Candidate
        The target.
    work : WorkRequest
        The request.
    targets : CandidateSet
        The pool.
    draw : float
        Random number from 0 to 1 that scales the uncertainty of the load.
    """
    cost = candidate.load + MAX_UNCERTAINTY_PENALTY * candidate.uncertainty * draw
    view = candidate.view
    if view.zone != targets.zone:
        cost += REMOTE_ZONE_PENALTY
    if work.restartable and not view.cheap and targets.prefers_cheap:
        cost += ON_DEMAND_PENALTY
    if work.prefers_idle and candidate.own_requests:
        cost += BUSY_PENALTY
    return cost


def choose_target(
    targets: CandidateSet, work: WorkRequest, generator: random.Random
) -> Candidate | None:
    """Choose the target of a request.

    Returns the first preferred target of the request's prefix or group that is not
    much busier than the best of the sampled targets, otherwise that best one. Targets
    that name a rate limit are used only if no other can take the request.

    Parameters
    ----------
    targets : CandidateSet
        Targets of the pool.
    work : WorkRequest
        The request.
    generator : random.Random
        Random number generator.

    Returns
    -------
    Candidate or None
        None if no target can take the request now.
    """
    choice = _choose_among(targets, work, generator, rate_limited=False)
    if choice is None and targets.has_rate_limited:
        choice = _choose_among(targets, work, generator, rate_limited=True)
    return choice


def _choose_among(
    targets: CandidateSet,
    work: WorkRequest,
    generator: random.Random,
    *,
    rate_limited: bool,
) -> Candidate | None:
    connected = targets.connected()

    def fits(candidate: Candidate) -> bool:
        return (
            candidate.is_rate_limited is rate_limited
            and candidate.free_slots > 0
            and candidate.id not in work.exclude
            and work.accepts_versions_of(candidate.view)
        )

    def cost_of(candidate: Candidate, draw: float) -> float:
        is_connected = candidate.id in connected
        cost = selection_cost(candidate, work, targets, draw)
        return cost if is_connected else cost + NEW_CONNECTION_PENALTY

    compared = [
        *_sample_random(targets, work, True, generator, fits),
        *_sample_random(targets, work, False, generator, fits),
        *_sample_connected(targets, work, connected, fits),
    ]
    if not compared:
        return None
    costs = [
        (cost_of(candidate, generator.random()), candidate) for candidate in compared
    ]
    lowest, best = min(costs, key=lambda item: item[0])
    eligible = targets.eligible_for(work, local=False)
    for target in targets.affinity_targets(work):
        candidate = targets.get(target)
        if (
            candidate in eligible
            and fits(candidate)
            and cost_of(candidate, 0.0) <= lowest + AFFINITY_LOAD_MARGIN
        ):
            return candidate
    return best


def _sample_connected(
    targets: CandidateSet,
    work: WorkRequest,
    connected: Collection[str],
    fits: Callable[[Candidate], bool],
) -> list[Candidate]:
    """Return some targets that fit and have an idle connection."""
    eligible = targets.eligible_for(work, local=False)
    found: list[Candidate] = []
    for target in connected:
        candidate = targets.get(target)
        if candidate in eligible and fits(candidate):
            found.append(candidate)
            if len(found) == CONNECTED_CHOICES:
                break
    return found


def _sample_random(
    targets: CandidateSet,
    work: WorkRequest,
    local: bool,
    generator: random.Random,
    fits: Callable[[Candidate], bool],
) -> Sequence[Candidate]:
    """Return some random targets that fit; all, if an idle one is preferred."""
    eligible = targets.eligible_for(work, local)
    if not eligible:
        return ()
    if work.prefers_idle:
        return [c for c in eligible if fits(c)]
    found: list[Candidate] = []
    # Random draws cost the same in a pool of any size. The whole pool is searched
    # only if they find no target, that is, if the pool is nearly full.
    for _ in range(2 * RANDOM_CHOICES):
        candidate = eligible[int(generator.random() * len(eligible))]
        if candidate not in found and fits(candidate):
            found.append(candidate)
            if len(found) == RANDOM_CHOICES:
                return found
    if found:
        return found
    free = [c for c in eligible if fits(c)]
    return generator.sample(free, min(RANDOM_CHOICES, len(free)))

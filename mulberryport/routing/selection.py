"""Selection of a target for a request.

Pure policy: functions of candidates and a random generator, without I/O.
"""

import random
from collections.abc import Collection, Sequence

from .candidates import Candidate, CandidateSet
from .model import WorkRequest

__all__ = ["choose_target", "score"]

# Targets that are compared, of the own zone and of the whole pool (Mitzenmacher,
# "The power of two choices in randomized load balancing", IEEE TPDS 2001).
CHOICES = 2
# Part of the capacity by which an owner of a prefix may be busier than the best
# of the compared targets before the request spills over to another one.
AFFINITY_BOUND = 0.7
# Part of the capacity by which the own zone may be busier than another one.
ZONE_BOUND = 0.1
# Part of the capacity by which cheap targets may be busier than on-demand ones.
CHEAP_BOUND = 0.1
# Part of the capacity by which a target with an idle connection of this daemon may be
# busier than one without: one request at a target with five places. A new connection
# takes a place there for some time.
CONNECTION_BOUND = 0.2
# Targets with an idle connection that are compared.
CONNECTED_CHOICES = 3
# Largest random addition for an old report, as a part of the capacity. It keeps
# daemons from sending all their requests to the same apparently idle target.
UNCERTAINTY = 0.2


def score(
    candidate: Candidate, work: WorkRequest, targets: CandidateSet, draw: float
) -> float:
    """Return how unsuitable a target is, in parts of its capacity.

    Parameters
    ----------
    candidate : Candidate
        The target.
    work : WorkRequest
        The request.
    targets : CandidateSet
        The pool.
    draw : float
        Random number from 0 to 1, for the uncertainty of its load.
    """
    value = candidate.load + UNCERTAINTY * candidate.spread * draw
    view = candidate.view
    if view.zone != targets.zone:
        value += ZONE_BOUND
    if work.restartable and not view.cheap and targets.prefers_cheap:
        value += CHEAP_BOUND
    return value


def choose_target(
    targets: CandidateSet, work: WorkRequest, generator: random.Random
) -> Candidate | None:
    """Choose the target of a request.

    The first owner of its prefix or group that is not much busier than the best
    of some random targets, otherwise that best one.

    Parameters
    ----------
    targets : CandidateSet
        Targets of the pool.
    work : WorkRequest
        The request.
    generator : random.Random
        Source of randomness.

    Returns
    -------
    Candidate or None
        None if no target can take the request now.
    """
    connected = targets.connected()

    def rate(candidate: Candidate, draw: float) -> float:
        known = candidate.id in connected
        value = score(candidate, work, targets, draw)
        return value if known else value + CONNECTION_BOUND

    compared = [
        *_sample(targets, work, True, generator),
        *_sample(targets, work, False, generator),
        *_connected(targets, work, connected),
    ]
    if not compared:
        return None
    rated = [(rate(candidate, generator.random()), candidate) for candidate in compared]
    lowest, best = min(rated, key=lambda item: item[0])
    allowed = targets.for_work(work, local=False)
    for owner in targets.owners(work):
        candidate = targets.get(owner)
        if (
            candidate in allowed
            and _has_place(candidate, work)
            and rate(candidate, 0.0) <= lowest + AFFINITY_BOUND
        ):
            return candidate
    return best


def _has_place(candidate: Candidate, work: WorkRequest) -> bool:
    return (
        candidate.places > 0
        and candidate.id not in work.exclude
        and work.accepts_versions_of(candidate.view)
    )


def _connected(
    targets: CandidateSet, work: WorkRequest, connected: Collection[str]
) -> list[Candidate]:
    """Return some targets with a place and an idle connection."""
    allowed = targets.for_work(work, local=False)
    found: list[Candidate] = []
    for target in connected:
        candidate = targets.get(target)
        if candidate in allowed and _has_place(candidate, work):
            found.append(candidate)
            if len(found) == CONNECTED_CHOICES:
                break
    return found


def _sample(
    targets: CandidateSet, work: WorkRequest, local: bool, generator: random.Random
) -> Sequence[Candidate]:
    """Return some targets with a place, at random."""
    allowed = targets.for_work(work, local)
    if not allowed:
        return ()
    found: list[Candidate] = []
    # Drawing costs the same in a pool of any size; only a nearly full pool is
    # searched.
    for _ in range(2 * CHOICES):
        candidate = allowed[int(generator.random() * len(allowed))]
        if candidate not in found and _has_place(candidate, work):
            found.append(candidate)
            if len(found) == CHOICES:
                return found
    if found:
        return found
    free = [c for c in allowed if _has_place(c, work)]
    return generator.sample(free, min(CHOICES, len(free)))

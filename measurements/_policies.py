"""Pools, baselines and scenarios of the measurement of the routing policy."""

import itertools
from collections.abc import Callable

from attrs import frozen

from mulberryport.routing import (
    Candidate,
    CandidateSet,
    WorkRequest,
    choose_target,
)


@frozen
class Shape:
    """A user's pool: targets over three zones, daemons, and how targets work."""

    name: str
    targets: int
    daemons: int
    engines: bool
    capacity: int = 16
    mean_tokens: float = 200.0
    token_s: float = 0.02
    hit_s: float = 0.1
    miss_s: float = 0.8

    @property
    def work_s(self) -> float:
        """Seconds of one place that a mean request takes at a busy target."""
        return self.miss_s / 2 + self.mean_tokens * self.token_s * 1.35


def service(name: str, targets: int, daemons: int) -> Shape:
    """Return a pool of plain services, whose calls are short."""
    return Shape(name, targets, daemons, False, 4, 40.0, 0.03, 0.02, 0.02)


SHAPES = (
    Shape("litoral engines", 5, 7, True),
    service("litoral services", 3, 7),
    Shape("caribe engines", 4, 8, True),
    service("caribe services", 6, 8),
)


@frozen
class Policy:
    """The policy, or a baseline that differs from it in the named parts."""

    name: str
    choose: Callable[[], Callable[..., Candidate | None]] = lambda: choose_target
    fair: bool = True
    affinity: bool = True
    budget: bool = True
    shares: bool = True
    ejects: bool = True


def places(targets: CandidateSet, work: WorkRequest) -> list[Candidate]:
    """Return the targets that have a place."""
    return [
        c
        for c in targets.eligible_for(work, local=False)
        if c.free_slots > 0 and c.id not in work.exclude
    ]


def choose_random() -> Callable[..., Candidate | None]:
    """Return a selection at random."""
    return lambda t, w, g: g.choice(free) if (free := places(t, w)) else None


def choose_in_turn() -> Callable[..., Candidate | None]:
    """Return a round robin selection."""
    turns = itertools.count()
    return lambda t, w, g: (
        free[next(turns) % len(free)] if (free := places(t, w)) else None
    )


def choose_least_reported() -> Callable[..., Candidate | None]:
    """Return a selection by the lagged load reports alone."""

    def load(candidate: Candidate) -> float:
        report = candidate.view.report
        return (report.running + report.waiting) / report.capacity if report else 0.0

    return lambda t, w, g: min(places(t, w), key=load, default=None)


POLICY = Policy("policy")
RANDOM = Policy("random", choose_random, affinity=False)
IN_TURN = Policy("round robin", choose_in_turn, affinity=False)
LEAST = Policy("least lagged load", choose_least_reported, affinity=False)
NO_AFFINITY = Policy("no affinity", affinity=False)
CACHE_EVENTS = Policy("affinity by cache events")
FIFO = Policy("first in, first out", fair=False, shares=False)
NO_BUDGET = Policy("retries without a budget", budget=False)
NO_SHARES = Policy("daemons do not exchange demand", shares=False)
NO_EJECTION = Policy(
    "random, no budget, no ejection",
    choose_random,
    affinity=False,
    budget=False,
    ejects=False,
)
SCENARIOS = {
    "calm": (POLICY, RANDOM, IN_TURN, LEAST, NO_AFFINITY, CACHE_EVENTS),
    "one target lost": (POLICY, RANDOM, LEAST),
    "half of the pool out": (POLICY, NO_BUDGET, NO_EJECTION),
    "one workspace at ten times its share": (POLICY, FIFO, RANDOM, NO_SHARES),
}

"""Pool shapes, baseline policies and scenarios of the routing policy measurement."""

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
class PoolShape:
    """Size and service times of a user's pool, which spans three zones."""

    name: str
    target_count: int
    daemon_count: int
    has_engines: bool
    capacity: int = 16
    mean_tokens: float = 200.0
    decode_s_per_token: float = 0.02
    prefill_hit_s: float = 0.1
    prefill_miss_s: float = 0.8

    @property
    def mean_service_time_s(self) -> float:
        """Seconds for which a mean request occupies a slot of a busy target."""
        return (
            self.prefill_miss_s / 2 + self.mean_tokens * self.decode_s_per_token * 1.35
        )


def plain_service_pool(name: str, targets: int, daemons: int) -> PoolShape:
    """Return the shape of a pool of plain services with short calls."""
    return PoolShape(name, targets, daemons, False, 4, 40.0, 0.03, 0.02, 0.02)


POOL_SHAPES = (
    PoolShape("litoral engines", 5, 7, True),
    plain_service_pool("litoral services", 3, 7),
    PoolShape("caribe engines", 4, 8, True),
    plain_service_pool("caribe services", 6, 8),
)


@frozen
class Policy:
    """The routing policy, or a baseline with some of its parts disabled."""

    name: str
    make_selector: Callable[[], Callable[..., Candidate | None]] = lambda: choose_target
    fair_queueing: bool = True
    prefix_affinity: bool = True
    limits_retries: bool = True
    exchanges_demand: bool = True
    ejects_targets: bool = True


def candidates_with_free_slots(
    targets: CandidateSet, work: WorkRequest
) -> list[Candidate]:
    """Return the eligible targets that have a free slot."""
    return [
        c
        for c in targets.eligible_for(work, local=False)
        if c.free_slots > 0 and c.id not in work.exclude
    ]


def random_selector() -> Callable[..., Candidate | None]:
    """Return a selector that chooses at random."""
    return lambda t, w, g: (
        g.choice(free) if (free := candidates_with_free_slots(t, w)) else None
    )


def round_robin_selector() -> Callable[..., Candidate | None]:
    """Return a round-robin selector."""
    turn = itertools.count()
    return lambda t, w, g: (
        free[next(turn) % len(free)]
        if (free := candidates_with_free_slots(t, w))
        else None
    )


def least_reported_load_selector() -> Callable[..., Candidate | None]:
    """Return a selector that uses only the delayed load reports."""

    def load(candidate: Candidate) -> float:
        report = candidate.view.report
        return (report.running + report.waiting) / report.capacity if report else 0.0

    return lambda t, w, g: min(candidates_with_free_slots(t, w), key=load, default=None)


POLICY = Policy("policy")
RANDOM = Policy("random", random_selector, prefix_affinity=False)
ROUND_ROBIN = Policy("round robin", round_robin_selector, prefix_affinity=False)
LEAST_LAGGED_LOAD = Policy(
    "least lagged load", least_reported_load_selector, prefix_affinity=False
)
NO_AFFINITY = Policy("no affinity", prefix_affinity=False)
CACHE_EVENTS = Policy("affinity by cache events")
FIFO = Policy("first in, first out", fair_queueing=False, exchanges_demand=False)
NO_RETRY_BUDGET = Policy("retries without a budget", limits_retries=False)
NO_DEMAND_EXCHANGE = Policy("daemons do not exchange demand", exchanges_demand=False)
NO_EJECTION = Policy(
    "random, no budget, no ejection",
    random_selector,
    prefix_affinity=False,
    limits_retries=False,
    ejects_targets=False,
)
SCENARIOS = {
    "calm": (POLICY, RANDOM, ROUND_ROBIN, LEAST_LAGGED_LOAD, NO_AFFINITY, CACHE_EVENTS),
    "one target lost": (POLICY, RANDOM, LEAST_LAGGED_LOAD),
    "half of the pool out": (POLICY, NO_RETRY_BUDGET, NO_EJECTION),
    "one workspace at ten times its share": (POLICY, FIFO, RANDOM, NO_DEMAND_EXCHANGE),
}

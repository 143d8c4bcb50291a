"""The targets of a pool as selection sees them.

Views come from the directory a few times a second; between two of them only the
counts of this daemon's own requests change.
"""

import heapq
import math
from collections.abc import Callable, Collection, Iterable

import xxhash
from attrs import define, field

from .limits import ConcurrencyLimit
from .model import TargetView, WorkRequest

__all__ = ["Candidate", "CandidateSet"]

# A report of this age says as much about its target as the mean of the pool.
REPORT_LIFETIME_S = 10.0
# Requests beyond the reported capacity, as a part of it, so that a place that
# becomes free in the target is filled before the next report. With 0.1, many
# requests found the owner of their prefix full.
CAPACITY_SLACK = 0.3
# Places that a daemon may always use, whatever others have taken. Without them
# a daemon that starts while others fill the pool would never get a place.
FLOOR = 1
# Owners of a prefix beyond the third would rarely have it in their caches.
OWNERS = 3
REMEMBERED_KEYS = 4096


@define(eq=False)
class Candidate:
    """A target and this daemon's own requests there.

    Parameters
    ----------
    view : TargetView
        The newest view.
    limit : ConcurrencyLimit
        Adapts to its latency.
    own : int
        Requests of this daemon that run there.
    others : float
        Estimate of the requests of other daemons there.
    spread : float
        Uncertainty of the estimate, as a part of the capacity.
    suspicion : float
        Added to its load for selection after failures.
    """

    view: TargetView
    limit: ConcurrencyLimit
    own: int = 0
    others: float = 0.0
    spread: float = 0.0
    suspicion: float = 0.0
    _own_at_report: int = 0

    @property
    def id(self) -> str:
        """Id of the target."""
        return self.view.id

    @property
    def capacity(self) -> int:
        """Requests that run there at the same time, whoever sent them."""
        report = self.view.report
        return max(1, report.capacity) if report else self.limit.ceiling

    @property
    def load(self) -> float:
        """Expected load as a part of the capacity."""
        return (self.own + self.others) / self.capacity + self.suspicion

    @property
    def places(self) -> int:
        """Requests of this daemon that may start there now."""
        shared = self.capacity * (1.0 + CAPACITY_SLACK) - self.others
        return min(self.limit.value, max(FLOOR, int(shared))) - self.own

    def reported_others(self) -> float | None:
        """Return the requests of other daemons in the newest report."""
        report = self.view.report
        if report is None:
            return None
        return max(0.0, report.running + report.waiting - self._own_at_report)

    def use_view(self, view: TargetView, now: float) -> None:
        """Take over a newer view."""
        if view.report is not None and view.report is not self.view.report:
            self._own_at_report = self.own
            self.limit.reported(view.report, now)
        self.limit.use_ceiling(view.limit)
        self.view = view

    def age(self, mean: float) -> None:
        """Move the estimate towards the pool's mean as the report ages."""
        reported = self.reported_others()
        if reported is None:
            self.others, self.spread = mean, 1.0
            return
        weight = math.exp(-self.view.report_age / REPORT_LIFETIME_S)
        self.others = mean + (reported - mean) * weight
        self.spread = 1.0 - weight


@define(eq=False)
class CandidateSet:
    """All targets of a pool, and those that may get new work.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    connected : callable
        Returns the ids of the targets to which this daemon has an idle connection.
    usable : list of Candidate
        Healthy, not leaving and not ejected.
    """

    zone: str
    connected: Callable[[], Collection[str]] = frozenset
    usable: list[Candidate] = field(factory=list)
    _all: dict[str, Candidate] = field(factory=dict)
    # Targets that left the pool while requests still ran there; one that comes
    # back keeps its count.
    _departed: dict[str, Candidate] = field(factory=dict)
    _groups: dict[tuple[bool, bool], list[Candidate]] = field(factory=dict)
    _owners: dict[str, tuple[str, ...]] = field(factory=dict)
    _encoded: list[bytes] = field(factory=list)
    _has_on_demand: bool = False
    _has_cheap: bool = False

    def __len__(self) -> int:
        return len(self._all)

    def get(self, target: str) -> Candidate | None:
        """Return a target of the pool."""
        return self._all.get(target)

    @property
    def all(self) -> Iterable[Candidate]:
        """All targets of the pool."""
        return self._all.values()

    @property
    def prefers_cheap(self) -> bool:
        """Whether restartable work should leave on-demand targets free."""
        return self._has_cheap and self._has_on_demand

    def use_views(self, views: Iterable[TargetView], now: float) -> None:
        """Take over the newest views; ``group`` must follow."""
        known = {**self._departed, **self._all}
        current: dict[str, Candidate] = {}
        for view in views:
            candidate = known.get(view.id)
            if candidate is None:
                candidate = Candidate(view, ConcurrencyLimit(view.limit))
                if view.report is not None:
                    candidate.limit.reported(view.report, now)
            else:
                candidate.use_view(view, now)
            current[view.id] = candidate
        if current.keys() != self._all.keys():
            self._owners.clear()
            self._encoded = [target.encode() for target in current]
        self._departed = {
            target: candidate
            for target, candidate in known.items()
            if candidate.own and target not in current
        }
        self._all = current
        reported = [c.reported_others() for c in current.values()]
        counts = [count for count in reported if count is not None]
        mean = sum(counts) / len(counts) if counts else 0.0
        for candidate in current.values():
            candidate.age(mean)

    def group(self, ejected: Iterable[str]) -> None:
        """Sort the targets by whether and for what they may be chosen."""
        out = set(ejected)
        self.usable = [
            c for c in self._all.values() if c.view.selectable and c.id not in out
        ]
        self._has_cheap = any(c.view.cheap for c in self.usable)
        # Whether the on-demand ones can be reached now makes no difference: work
        # that must not be cut off waits for them.
        self._has_on_demand = any(
            not c.view.cheap and not c.view.leaving for c in self._all.values()
        )
        safe = [c for c in self.usable if self._is_safe(c)]
        self._groups = {
            (True, False): self.usable,
            (True, True): [c for c in self.usable if c.view.zone == self.zone],
            (False, False): safe,
            (False, True): [c for c in safe if c.view.zone == self.zone],
        }

    def for_work(self, work: WorkRequest, local: bool) -> list[Candidate]:
        """Return the targets that a request may use, or those of this zone."""
        return self._groups.get((work.restartable, local), [])

    def admits(self, candidate: Candidate, work: WorkRequest) -> bool:
        """Whether a request may run at a target that has a place."""
        if not work.restartable and not self._is_safe(candidate):
            return False
        if not work.accepts_versions_of(candidate.view):
            return False
        return candidate.id not in work.exclude

    def owners(self, work: WorkRequest) -> tuple[str, ...]:
        """Return the targets that share the prefix or group of a request.

        All daemons find the same ones by rendezvous hash on the workspace and
        the key, without talking to each other.
        """
        name = work.affinity or work.prefix
        if not name:
            return ()
        key = f"{work.workspace}\0{name}"
        owners = self._owners.get(key)
        if owners is None:
            # Prompts may hold unpaired surrogates, which JSON allows.
            seed = xxhash.xxh64_intdigest(key.encode(errors="surrogatepass"))
            ranked = heapq.nlargest(
                OWNERS,
                self._encoded,
                key=lambda target: xxhash.xxh64_intdigest(target, seed),
            )
            owners = tuple(target.decode() for target in ranked)
            if len(self._owners) >= REMEMBERED_KEYS:
                del self._owners[next(iter(self._owners))]
            self._owners[key] = owners
        return owners

    def _is_safe(self, candidate: Candidate) -> bool:
        return not (candidate.view.cheap and self._has_on_demand)

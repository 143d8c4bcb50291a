"""Candidates: the targets of a pool with the load estimates that selection uses.

Views come from the directory a few times a second. Between two updates, only the
counts of this daemon's own requests change.
"""

import heapq
import math
import statistics
from collections.abc import Callable, Collection, Iterable

import xxhash
from attrs import define, field

from .limits import ConcurrencyLimit
from .model import TargetView, WorkRequest
from .prefixes import KeptPrefixes
from .room import RunTimes, TargetRoom
from .speeds import TargetSpeeds

__all__ = ["Candidate", "CandidateSet"]

# Time constant with which the estimate of a target's load decays from its last report
# to the mean of the pool.
REPORT_DECAY_S = 10.0
# Requests above the reported capacity, as a fraction of it, so that a slot that
# becomes free in the target is filled before the next report. With 0.1, many
# requests found the preferred target of their prefix full.
CAPACITY_SLACK = 0.3
# Slots that a daemon may always use, however many others have taken. Without them,
# a daemon that starts while others fill the pool would never get a slot.
MIN_SLOTS = 1
# A report of a target that tells how long work takes there decays with the time in
# which the requests that it counts end.
DECAY_RUNS = 4.0
MIN_REPORT_DECAY_S = 0.5
# Targets beyond the third would rarely have the prefix in their caches.
MAX_AFFINITY_TARGETS = 3
# Interval of the events of a pool about which nothing is known yet.
DEFAULT_EVENT_INTERVAL_S = 0.05
# Time constant with which a reported slowdown loses its weight. Other programs on the
# target's machine change it many times a second.
SLOWDOWN_DECAY_S = 0.1
AFFINITY_CACHE_SIZE = 4096


@define(eq=False)
class Candidate:
    """A target, its concurrency limit and the estimate of its load.

    Parameters
    ----------
    view : TargetView
        The newest view of the target.
    limit : ConcurrencyLimit
        Limit on this daemon's requests; follows the latency of the target.
    own_requests : int
        Requests of this daemon that run at the target.
    remote_requests : float
        Estimated number of requests of other daemons at the target.
    uncertainty : float
        Uncertainty of the estimate, as a fraction of the capacity.
    failure_penalty : float
        Added to the load after failures.
    permits : float
        Requests that may be sent within the target's rate limit; infinite if it names
        none.
    permits_expire_at : float
        Boot time after which the permits must not be used.
    event_interval_s : float
        Expected time in seconds between two events of a stream; in uneven pools only.
    relative_duration : float
        How long work takes, relative to the pool; in uneven pools only.
    room : TargetRoom
        Refusals of the target and run times there.
    is_full : bool
        Whether the target has no room, by its report or after a refusal; only known of
        targets that tell how long work takes there.
    """

    view: TargetView
    limit: ConcurrencyLimit
    own_requests: int = 0
    remote_requests: float = 0.0
    uncertainty: float = 0.0
    failure_penalty: float = 0.0
    permits: float = math.inf
    permits_expire_at: float = math.inf
    event_interval_s: float = DEFAULT_EVENT_INTERVAL_S
    relative_duration: float = 1.0
    room: TargetRoom = field(factory=TargetRoom)
    is_full: bool = False
    _own_requests_at_report: int = 0

    def __attrs_post_init__(self) -> None:
        """Start without permits for a target that names a rate limit."""
        self._update_permits()

    @property
    def id(self) -> str:
        """Id of the target."""
        return self.view.id

    @property
    def is_rate_limited(self) -> bool:
        """Whether the target names a rate limit."""
        return self.view.requests_per_s is not None

    @property
    def capacity(self) -> int:
        """Requests of all daemons that the target can run at the same time."""
        report = self.view.report
        return max(1, report.capacity) if report else self.limit.ceiling

    @property
    def load(self) -> float:
        """Estimated load as a fraction of the capacity, plus the failure penalty."""
        return (
            self.own_requests + self.remote_requests
        ) / self.capacity + self.failure_penalty

    @property
    def free_slots(self) -> int:
        """Requests that this daemon may start at the target now."""
        if self.is_full:
            return 0
        available = self.capacity * (1.0 + CAPACITY_SLACK) - self.remote_requests
        slots = min(self.limit.value, max(MIN_SLOTS, int(available)))
        return int(min(slots - self.own_requests, self.permits))

    def reported_remote_requests(self) -> float | None:
        """Return the requests of other daemons according to the newest report."""
        report = self.view.report
        if report is None:
            return None
        return max(0.0, report.running + report.waiting - self._own_requests_at_report)

    def update_view(self, view: TargetView, now: float) -> None:
        """Apply a newer view."""
        if view.report is not None and view.report is not self.view.report:
            self._own_requests_at_report = self.own_requests
            self.limit.record_load_report(view.report, now)
        self.limit.set_ceiling(view.limit)
        self.view = view
        self._update_permits()

    def _update_permits(self) -> None:
        if not self.is_rate_limited:
            self.permits = self.permits_expire_at = math.inf
        elif self.permits == math.inf:
            self.permits = 0

    @property
    def tells_slowdown(self) -> bool:
        """Whether the target tells how long work takes there at the moment."""
        report = self.view.report
        return report is not None and report.slowdown is not None

    def update_room(self, pool_run_s: float, age_s: float, now: float) -> None:
        """Update whether the target has room.

        Parameters
        ----------
        pool_run_s : float
            Mean run time of the pool in seconds.
        age_s : float
            Seconds since the newest report.
        now : float
            Boot time.
        """
        remote = self.reported_remote_requests()
        if remote is None or not self.tells_slowdown:
            self.is_full = False
            return
        tolerated = CAPACITY_SLACK * self.capacity
        surplus = remote + self.own_requests + 1 - self.capacity - tolerated
        self.is_full = self.room.is_full(
            surplus, self.capacity, pool_run_s, reported_at=now - age_s, now=now
        )

    def update_load_estimate(
        self, pool_mean: float, pool_run_s: float = REPORT_DECAY_S
    ) -> None:
        """Move the load estimate towards the mean of the pool as the report ages."""
        reported = self.reported_remote_requests()
        if reported is None:
            self.remote_requests, self.uncertainty = pool_mean, 1.0
            return
        decay_s = REPORT_DECAY_S
        if self.tells_slowdown:
            runs_s = DECAY_RUNS * self.room.run_s(pool_run_s)
            decay_s = min(REPORT_DECAY_S, max(MIN_REPORT_DECAY_S, runs_s))
        weight = math.exp(-self.view.report_age / decay_s)
        self.remote_requests = pool_mean + (reported - pool_mean) * weight
        self.uncertainty = 1.0 - weight


@define(eq=False)
class CandidateSet:
    """All targets of a pool, and those that may receive new requests.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    connected : callable
        Returns the ids of the targets to which this daemon has an idle connection.
    usable : list of Candidate
        Targets that are healthy, not leaving and not ejected.
    speeds : TargetSpeeds
        Measured speeds of the targets.
    prefixes : KeptPrefixes
        What the targets are believed to keep of prompts.
    run_times : RunTimes
        Measured run times of this daemon's requests.
    """

    zone: str
    connected: Callable[[], Collection[str]] = frozenset
    speeds: TargetSpeeds = field(factory=TargetSpeeds)
    prefixes: KeptPrefixes = field(factory=KeptPrefixes)
    run_times: RunTimes = field(factory=RunTimes)
    usable: list[Candidate] = field(factory=list)
    _all: dict[str, Candidate] = field(factory=dict)
    # Targets that left the pool while requests still ran there, so that a target
    # that returns keeps its request count.
    _removed: dict[str, Candidate] = field(factory=dict)
    _eligible: dict[tuple[bool, bool], list[Candidate]] = field(factory=dict)
    _affinity_cache: dict[str, tuple[str, ...]] = field(factory=dict)
    _encoded_ids: list[bytes] = field(factory=list)
    _has_on_demand: bool = False
    _has_cheap: bool = False
    _has_rate_limited: bool = False
    _is_uneven: bool = False
    _updated_at: float = -math.inf
    # Targets that had no room, of which only those are looked at between two updates.
    _full: list[Candidate] = field(factory=list)

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
        """Whether restartable requests should leave on-demand targets free."""
        return self._has_cheap and self._has_on_demand

    @property
    def has_rate_limited(self) -> bool:
        """Whether a target that may be selected names a rate limit."""
        return self._has_rate_limited

    @property
    def is_evacuated(self) -> bool:
        """Whether there are targets, and all that do not leave are evacuated."""
        staying = [c for c in self._all.values() if not c.view.leaving]
        return bool(staying) and all(c.view.evacuated for c in staying)

    @property
    def is_uneven(self) -> bool:
        """Whether targets tell how long work takes there, so that it is weighed."""
        return self._is_uneven

    def update_views(self, views: Iterable[TargetView], now: float) -> None:
        """Apply the newest views; ``update_eligibility`` must be called afterwards."""
        known = {**self._removed, **self._all}
        current: dict[str, Candidate] = {}
        for view in views:
            candidate = known.get(view.id)
            # What is known of a target ends with its process and its address. Requests
            # that still run at the former one keep their own candidate.
            if candidate is None or candidate.view.incarnation != view.incarnation:
                candidate = Candidate(view, ConcurrencyLimit(view.limit))
                if view.report is not None:
                    candidate.limit.record_load_report(view.report, now)
            else:
                candidate.update_view(view, now)
            current[view.id] = candidate
        if current.keys() != self._all.keys():
            self._affinity_cache.clear()
            self._encoded_ids = [target.encode() for target in current]
        self._removed = {
            target: candidate
            for target, candidate in known.items()
            if candidate.own_requests and target not in current
        }
        self._all = current
        self._is_uneven = any(
            c.view.report is not None and c.view.report.slowdown is not None
            for c in current.values()
        )
        reported = [c.reported_remote_requests() for c in current.values()]
        counts = [count for count in reported if count is not None]
        mean = sum(counts) / len(counts) if counts else 0.0
        self._updated_at = now
        for candidate in current.values():
            candidate.update_load_estimate(mean, self.run_times.assumed_s)
        if self._is_uneven:
            self._update_durations(now)
            self._update_prefixes()
        # A pool that is no longer uneven keeps no target full.
        self._full = [c for c in current.values() if self._is_uneven or c.is_full]
        self.update_room(now)

    @property
    def full_count(self) -> int:
        """Number of targets that have no room."""
        return len(self._full)

    def update_room(self, now: float) -> None:
        """Update which of the targets that had no room have some again."""
        since_update_s = max(0.0, now - self._updated_at)
        for candidate in self._full:
            age_s = candidate.view.report_age + since_update_s
            candidate.update_room(self.run_times.assumed_s, age_s, now)
        self._full = [candidate for candidate in self._full if candidate.is_full]

    def record_refusal(self, candidate: Candidate, draw: float, now: float) -> None:
        """Avoid a target that has refused a request because it was full.

        Parameters
        ----------
        candidate : Candidate
            The target.
        draw : float
            Random number from 0 to 1 that spreads the daemons that were refused.
        now : float
            Boot time.
        """
        if not self._is_uneven:
            return
        run_s = self.run_times.assumed_s
        candidate.room.record_refusal(candidate.capacity, run_s, draw, now)
        if candidate not in self._full:
            self._full.append(candidate)
        self.update_room(now)

    def update_eligibility(self, ejected: Iterable[str]) -> None:
        """Update which targets may be selected for which kinds of requests."""
        excluded = set(ejected)
        self.usable = [
            c for c in self._all.values() if c.view.selectable and c.id not in excluded
        ]
        self._has_rate_limited = any(c.is_rate_limited for c in self.usable)
        self._has_cheap = any(c.view.cheap for c in self.usable)
        # On-demand targets count even while they cannot be reached: requests that
        # must not be interrupted wait for them.
        self._has_on_demand = any(
            not (c.view.cheap or c.view.leaving or c.view.evacuated)
            for c in self._all.values()
        )
        accepting = [c for c in self.usable if self._accepts_non_restartable(c)]
        self._eligible = {
            (True, False): self.usable,
            (True, True): [c for c in self.usable if c.view.zone == self.zone],
            (False, False): accepting,
            (False, True): [c for c in accepting if c.view.zone == self.zone],
        }

    def eligible_for(self, work: WorkRequest, local: bool) -> list[Candidate]:
        """Return the targets that a request may use, in this zone only if ``local``."""
        return self._eligible.get((work.restartable, local), [])

    def admits(self, candidate: Candidate, work: WorkRequest) -> bool:
        """Whether a request may run at a target, apart from free slots."""
        if not work.restartable and not self._accepts_non_restartable(candidate):
            return False
        if not work.accepts_versions_of(candidate.view):
            return False
        return candidate.id not in work.exclude

    def affinity_targets(self, work: WorkRequest) -> tuple[str, ...]:
        """Return the preferred targets for the prefix or group of a request.

        All daemons compute the same targets by rendezvous hashing of the workspace
        and the key, without communication.
        """
        affinity_key = work.affinity or work.prefix
        if not affinity_key:
            return ()
        key = f"{work.workspace}\0{affinity_key}"
        preferred = self._affinity_cache.get(key)
        if preferred is None:
            # Prompts may contain unpaired surrogates, which JSON allows.
            seed = xxhash.xxh64_intdigest(key.encode(errors="surrogatepass"))
            ranked = heapq.nlargest(
                MAX_AFFINITY_TARGETS,
                self._encoded_ids,
                key=lambda target: xxhash.xxh64_intdigest(target, seed),
            )
            preferred = tuple(target.decode() for target in ranked)
            if len(self._affinity_cache) >= AFFINITY_CACHE_SIZE:
                del self._affinity_cache[next(iter(self._affinity_cache))]
            self._affinity_cache[key] = preferred
        return preferred

    def _update_durations(self, now: float) -> None:
        """Update how long events and work take at each target."""
        intervals = {}
        for target in self._all:
            estimate = self.speeds.estimate(target, now)
            if estimate is not None and 0.0 < estimate.event_interval_s < math.inf:
                intervals[target] = estimate.event_interval_s
        median_s = statistics.median(intervals.values()) if intervals else 0.0
        for candidate in self._all.values():
            interval_s = intervals.get(candidate.id)
            if interval_s is not None:
                candidate.event_interval_s = interval_s
                candidate.relative_duration = interval_s / median_s
            else:
                duration = _reported_duration(candidate.view)
                typical_s = median_s or DEFAULT_EVENT_INTERVAL_S
                candidate.event_interval_s = typical_s * duration
                candidate.relative_duration = duration

    def _update_prefixes(self) -> None:
        self.prefixes.retain(self._all)
        for candidate in self._all.values():
            self.prefixes.update(candidate.view, candidate.remote_requests)

    def _accepts_non_restartable(self, candidate: Candidate) -> bool:
        return not (candidate.view.cheap and self._has_on_demand)


def _reported_duration(view: TargetView) -> float:
    """Return how long work takes at a target, as far as its report still tells."""
    slowdown = view.report.slowdown if view.report is not None else None
    if slowdown is None:
        return 1.0
    weight = math.exp(-max(0.0, view.report_age) / SLOWDOWN_DECAY_S)
    return 1.0 + (slowdown - 1.0) * weight

"""Cost of targets per unit of delivered service, in a simulation of the two users.

A day is compressed into two hours. Requests and samples arrive at a rate that rises and
falls over the day. The sizing policy of ``mulberryport.orders`` orders the targets of
each zone; they start after a delay and are charged from order to termination. All cheap
targets of a zone are reclaimed together with 5 s notice, and the zone has none to offer
for some minutes afterwards. Only the sizing policy is simulated in detail: target
selection is idealised, and work on a reclaimed target restarts from the beginning.
"""

import heapq
import itertools
import math
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from mulberryport.orders.sizing import (
    DEFAULT_POLICY,
    PoolBounds,
    SizeState,
    TargetCounts,
    needed_targets,
    next_size,
    plan_pool,
)

DAY_LENGTH_S = 7200
SEEDS = (1, 2, 3, 4, 5)
ZONES = ("a", "b", "c")
CAPACITY = 16
START_DELAY_S = 20.0
NOTICE_S = 5
MEAN_RECLAIM_INTERVAL_S = 1500.0
UNAVAILABLE_RANGE_S = (240.0, 720.0)
START_TIMEOUT_S = 30.0
UNAVAILABLE_PERIOD_S = 120.0
PEAK_WINDOW_S = 120
SAMPLE_DEADLINE_S = 420.0
LIVE_QUEUE_TIMEOUT_S = 60.0
QUEUE_CAPACITY = 768
STEP_PERIOD_S = 240

# Goals stated on the design page.
SAVING_GOAL = 0.30
RECOVERY_GOAL_S = 30.0


@frozen
class PoolLoad:
    """Load of one pool at the peak of the day.

    Parameters
    ----------
    target_count : int
        Number of targets that the user runs today.
    live_rate_per_s, mean_live_s : float
        Rate of live requests and their mean duration in seconds.
    non_restartable_share : float
        Share of the live requests that cannot be restarted.
    trainer_count, samples_per_step : int
        Number of trainers, and samples of a step at the peak.
    mean_sample_s : float
        Mean duration of a sample in seconds.
    cheap_share : float
        Share of cheap targets, as in the pool table.
    """

    target_count: int
    live_rate_per_s: float
    mean_live_s: float
    non_restartable_share: float
    trainer_count: int = 0
    samples_per_step: int = 0
    mean_sample_s: float = 30.0
    cheap_share: float = 0.8


USERS = {
    "litoral": (
        PoolLoad(5, 3.0, 5.0, 0.2, trainer_count=3, samples_per_step=96),
        PoolLoad(3, 12.0, 3.0, 0.6, cheap_share=0.8),
    ),
    "caribe": (
        PoolLoad(4, 2.5, 5.0, 0.2, trainer_count=2, samples_per_step=110),
        PoolLoad(6, 24.0, 3.0, 0.6, cheap_share=0.8),
    ),
}


@define(eq=False)
class Target:
    """A target between its order and its termination."""

    zone: str
    is_cheap: bool
    ordered_at: float
    ready_at: float
    is_leaving: bool = False
    gone_at: float | None = None
    running: set["WorkItem"] = field(factory=set)


@define(eq=False)
class WorkItem:
    """A live request or a sample of a training step."""

    is_sample: bool
    is_non_restartable: bool
    duration_s: float
    queued_at: float
    attempt: int = 0
    target: Target | None = None


@define
class DayResult:
    """Totals of one simulated day."""

    cost: float = 0.0
    delivered_s: float = 0.0
    delivered_on_cheap_s: float = 0.0
    late_samples: int = 0
    lost_samples: int = 0
    lost_non_restartable: int = 0
    refused_requests: int = 0
    recovery_times_s: list[float] = field(factory=list)
    sample_times_s: list[float] = field(factory=list)


@define(eq=False)
class DayModel:
    """Simulation of one pool under one policy for one day."""

    load: PoolLoad
    bounds: PoolBounds
    fixed_target_count: int
    keeps_floor: bool
    events: list[tuple[float, str, float]]
    generator: random.Random
    now: float = 0.0
    targets: list[Target] = field(factory=list)
    queue: deque[WorkItem] = field(factory=deque)
    non_restartable_queue: deque[WorkItem] = field(factory=deque)
    completions: list[tuple[float, int, int, WorkItem]] = field(factory=list)
    completion_sequence: Iterator[int] = field(factory=itertools.count)
    size: SizeState = SizeState(0)
    unavailable_until: dict[str, float] = field(factory=dict)
    assumed_unavailable_until: dict[str, float] = field(factory=dict)
    short_since: dict[str, float] = field(factory=dict)
    terminations: list[tuple[float, Target]] = field(factory=list)
    non_restartable_peaks: deque[tuple[float, int]] = field(factory=deque)
    busy_slot_history: deque[int] = field(factory=lambda: deque(maxlen=60))
    recovering: tuple[float, float] | None = None
    unfinished_samples: int = 0
    result: DayResult = field(factory=DayResult)

    def run(self) -> DayResult:
        """Simulate a day and return its totals."""
        for second in range(DAY_LENGTH_S):
            self.now = float(second)
            self._apply_reclaims()
            self._generate_load()
            self._complete_items()
            self._adjust_pool()
            self._assign_items()
            self._record_second()
        # Let the samples of the last steps finish; no new work arrives.
        for second in range(DAY_LENGTH_S, DAY_LENGTH_S + int(SAMPLE_DEADLINE_S) + 1):
            self.now = float(second)
            self._complete_items()
            self._assign_items()
        self.result.lost_samples = self.unfinished_samples
        return self.result

    def _generate_load(self) -> None:
        load_factor = 0.35 + 0.65 * math.sin(math.pi * self.now / DAY_LENGTH_S) ** 2
        rate = self.load.live_rate_per_s * load_factor
        for _ in range(draw_poisson(self.generator, rate)):
            duration = self.generator.expovariate(1 / self.load.mean_live_s)
            non_restartable = self.generator.random() < self.load.non_restartable_share
            self._enqueue(WorkItem(False, non_restartable, duration, self.now))
        for trainer in range(self.load.trainer_count):
            offset = trainer * STEP_PERIOD_S / self.load.trainer_count
            if int(self.now - offset) % STEP_PERIOD_S == 0 and self.now >= offset:
                for _ in range(round(self.load.samples_per_step * load_factor)):
                    # The tail of the lognormal distribution models stragglers.
                    duration = self.load.mean_sample_s * self.generator.lognormvariate(
                        -0.18, 0.6
                    )
                    self.unfinished_samples += 1
                    self._enqueue(WorkItem(True, False, duration, self.now))

    def _enqueue(self, item: WorkItem) -> None:
        if item.is_non_restartable:
            self.non_restartable_queue.append(item)
        elif len(self.queue) < QUEUE_CAPACITY or item.is_sample:
            # Samples wait at the owner of their step and do not count towards the
            # capacity of the queue.
            self.queue.append(item)
        else:
            self.result.refused_requests += 1

    def _complete_items(self) -> None:
        while self.completions and self.completions[0][0] <= self.now:
            at, _, attempt, item = heapq.heappop(self.completions)
            if attempt != item.attempt or item.target is None:
                continue
            item.target.running.discard(item)
            self.result.delivered_s += item.duration_s
            self.result.delivered_on_cheap_s += (
                item.duration_s if item.target.is_cheap else 0.0
            )
            if item.is_sample:
                self.unfinished_samples -= 1
                self.result.sample_times_s.append(at - item.queued_at)
                self.result.late_samples += at - item.queued_at > SAMPLE_DEADLINE_S

    def _apply_reclaims(self) -> None:
        while self.events and self.events[0][0] <= self.now:
            _, zone, unavailable = self.events.pop(0)
            self.unavailable_until[zone] = self.now + unavailable
            reclaimed = [t for t in self.targets if t.zone == zone and t.is_cheap]
            if reclaimed and self.busy_slot_history:
                self.recovering = (self.now, statistics.mean(self.busy_slot_history))
            for target in reclaimed:
                target.is_leaving = True
                self.assumed_unavailable_until[zone] = self.now + UNAVAILABLE_PERIOD_S
                self.terminations.append((self.now + NOTICE_S, target))
                # Restartable work is requeued at the notice.
                for item in [i for i in target.running if not i.is_non_restartable]:
                    self._requeue(item)
        for at, target in list(self.terminations):
            if at <= self.now:
                self.terminations.remove((at, target))
                for item in list(target.running):
                    self.result.lost_non_restartable += 1
                    item.attempt += 1
                target.running.clear()
                self._terminate(target)

    def _requeue(self, item: WorkItem) -> None:
        assert item.target is not None
        item.target.running.discard(item)
        item.attempt += 1
        item.target = None
        self.queue.appendleft(item)

    def _assign_items(self) -> None:
        free = [
            t
            for t in self.targets
            if not t.is_leaving and t.ready_at <= self.now and len(t.running) < CAPACITY
        ]
        self._assign_from_queue(
            self.non_restartable_queue,
            free,
            lambda t: not self.keeps_floor or not t.is_cheap,
        )
        self._assign_from_queue(self.queue, free, lambda t: True)

    def _assign_from_queue(
        self,
        queue: deque[WorkItem],
        free: list[Target],
        allowed: Callable[[Target], bool],
    ) -> None:
        usable = [target for target in free if allowed(target)]
        while queue:
            if (
                not queue[0].is_sample
                and self.now - queue[0].queued_at > LIVE_QUEUE_TIMEOUT_S
            ):
                queue.popleft()
                self.result.refused_requests += 1
                continue
            usable = [t for t in usable if len(t.running) < CAPACITY]
            if not usable:
                return
            item = queue.popleft()
            # Cheap targets first, so that on-demand targets stay free for work that
            # cannot be restarted.
            target = min(usable, key=lambda t: (not t.is_cheap, len(t.running)))
            item.target = target
            target.running.add(item)
            completion = (
                self.now + item.duration_s,
                next(self.completion_sequence),
                item.attempt,
                item,
            )
            heapq.heappush(self.completions, completion)

    def _adjust_pool(self) -> None:
        plan = self._plan_counts()
        for zone in ZONES:
            for cheap, wanted_count in (
                (False, plan[zone].on_demand),
                (True, plan[zone].cheap),
            ):
                self._order_targets(zone, cheap, wanted_count)
        for target in list(self.targets):
            is_terminating = any(t is target for _, t in self.terminations)
            if target.is_leaving and not target.running and not is_terminating:
                self._terminate(target)

    def _plan_counts(self) -> dict[str, TargetCounts]:
        if self.fixed_target_count:
            return {
                zone: TargetCounts((self.fixed_target_count + 2 - index) // 3, 0)
                for index, zone in enumerate(ZONES)
            }
        demand = sum(len(target.running) for target in self.targets) + (
            DEFAULT_POLICY.queue_weight
            * (len(self.queue) + len(self.non_restartable_queue))
        )
        self.size = next_size(self.size, demand, CAPACITY, self.now)
        zones = {
            zone: self.now >= self.assumed_unavailable_until.get(zone, 0.0)
            for zone in ZONES
        }
        return plan_pool(self.bounds, self.size.size, zones, self._needed_on_demand())

    def _needed_on_demand(self) -> int:
        non_restartable = len(self.non_restartable_queue) + sum(
            item.is_non_restartable
            for target in self.targets
            for item in target.running
        )
        while (
            self.non_restartable_peaks
            and self.non_restartable_peaks[-1][1] <= non_restartable
        ):
            self.non_restartable_peaks.pop()
        self.non_restartable_peaks.append((self.now, non_restartable))
        if self.non_restartable_peaks[0][0] < self.now - PEAK_WINDOW_S:
            self.non_restartable_peaks.popleft()
        if not self.keeps_floor:
            return 0
        peak = self.non_restartable_peaks[0][1]
        return needed_targets(peak, CAPACITY, DEFAULT_POLICY.utilisation)

    def _order_targets(self, zone: str, cheap: bool, wanted_count: int) -> None:
        active = [
            t
            for t in self.targets
            if (t.zone, t.is_cheap, t.is_leaving) == (zone, cheap, False)
        ]
        unavailable = cheap and self.now < self.unavailable_until.get(zone, 0.0)
        if len(active) < wanted_count and not unavailable:
            for _ in range(wanted_count - len(active)):
                delay = START_DELAY_S * self.generator.uniform(0.75, 1.25)
                self.targets.append(Target(zone, cheap, self.now, self.now + delay))
        for target in sorted(active, key=lambda t: len(t.running))[
            : max(0, len(active) - wanted_count)
        ]:
            target.is_leaving = True
        if not cheap:
            return
        if len(active) >= wanted_count or not unavailable:
            self.short_since.pop(zone, None)
        elif self.now - self.short_since.setdefault(zone, self.now) > START_TIMEOUT_S:
            self.assumed_unavailable_until[zone] = self.now + UNAVAILABLE_PERIOD_S
            del self.short_since[zone]

    def _terminate(self, target: Target) -> None:
        self.targets.remove(target)
        price = DEFAULT_POLICY.cheap_price if target.is_cheap else 1.0
        self.result.cost += price * (self.now - target.ordered_at)

    def _record_second(self) -> None:
        busy = sum(len(target.running) for target in self.targets)
        if self.recovering is not None:
            since, before = self.recovering
            requested = busy + len(self.queue) + len(self.non_restartable_queue)
            if self.now > since + NOTICE_S and busy >= 0.95 * min(before, requested):
                self.result.recovery_times_s.append(self.now - since)
                self.recovering = None
        self.busy_slot_history.append(busy)
        if self.now == DAY_LENGTH_S - 1:
            for target in self.targets:
                price = DEFAULT_POLICY.cheap_price if target.is_cheap else 1.0
                self.result.cost += price * (self.now + 1 - target.ordered_at)
                target.ordered_at = math.inf
            if self.recovering is not None:
                self.result.recovery_times_s.append(self.now - self.recovering[0])


def draw_poisson(generator: random.Random, mean: float) -> int:
    """Draw a Poisson-distributed number of arrivals."""
    threshold, count, product = math.exp(-mean), 0, generator.random()
    while product > threshold:
        count += 1
        product *= generator.random()
    return count


def draw_reclaims(seed: int) -> list[tuple[float, str, float]]:
    """Draw reclaims as (time, zone, seconds without cheap targets afterwards)."""
    generator = random.Random(f"events/{seed}")
    events, at = [], generator.expovariate(1 / MEAN_RECLAIM_INTERVAL_S)
    while at < DAY_LENGTH_S:
        events.append(
            (at, generator.choice(ZONES), generator.uniform(*UNAVAILABLE_RANGE_S))
        )
        at += generator.expovariate(1 / MEAN_RECLAIM_INTERVAL_S)
    return events


POLICIES = ("floor and cheap", "on-demand only", "fixed size", "no floor")


def run_policy(user: str, policy: str, seed: int) -> DayResult:
    """Simulate both pools of a user for a day and return the summed totals."""
    total = DayResult()
    for number, load in enumerate(USERS[user]):
        share = {"on-demand only": 0.0, "no floor": 1.0}.get(policy, load.cheap_share)
        bounds = PoolBounds(
            minimum=1, maximum=math.ceil(load.target_count / 2), cheap_share=share
        )
        result = DayModel(
            load,
            bounds,
            load.target_count if policy == "fixed size" else 0,
            policy != "no floor",
            draw_reclaims(seed),
            random.Random(f"{user}/{number}/{seed}"),
        ).run()
        total.cost += result.cost
        total.delivered_s += result.delivered_s
        total.delivered_on_cheap_s += result.delivered_on_cheap_s
        total.late_samples += result.late_samples
        total.lost_samples += result.lost_samples
        total.lost_non_restartable += result.lost_non_restartable
        total.refused_requests += result.refused_requests
        total.recovery_times_s += result.recovery_times_s
        total.sample_times_s += result.sample_times_s
    return total


def format_range(values: list[float], format_spec: str) -> str:
    """Return the median of some values with their minimum and maximum."""
    return (
        f"{statistics.median(values):{format_spec}} "
        f"({min(values):{format_spec}} to {max(values):{format_spec}})"
    )


def main(arguments: list[str]) -> int:
    """Print all policies for both users; the optional argument is the seed count."""
    seeds = range(1, int(arguments[0]) + 1) if arguments else SEEDS
    for user in USERS:
        print(f"\n{user}: {len(seeds)} days, median (least to greatest)")
        results = {
            policy: [run_policy(user, policy, seed) for seed in seeds]
            for policy in POLICIES
        }
        for policy, runs in results.items():
            print_policy(policy, runs, results["on-demand only"])
        print_goals(results)
    return 0


def print_policy(
    policy: str, runs: list[DayResult], reference: list[DayResult]
) -> None:
    """Print the figures of one policy compared with the reference."""
    cost_per_1000_s = [1000 * r.cost / r.delivered_s for r in runs]
    saving = [
        1 - (r.cost / r.delivered_s) / (on_demand.cost / on_demand.delivered_s)
        for r, on_demand in zip(runs, reference, strict=True)
    ]
    sample_p99_s = [statistics.quantiles(r.sample_times_s, n=100)[98] for r in runs]
    recovery_times_s = [
        recovery_s for r in runs for recovery_s in r.recovery_times_s
    ] or [0.0]
    print(f"  {policy}")
    print(f"    spent per 1000 s of service     {format_range(cost_per_1000_s, '.1f')}")
    print(f"    below on-demand only            {format_range(saving, '.0%')}")
    print(
        f"    service on cheap targets        "
        f"{format_range([r.delivered_on_cheap_s / r.delivered_s for r in runs], '.0%')}"
    )
    print(
        f"    samples over 7 min              "
        f"{format_range([r.late_samples for r in runs], '.0f')}"
    )
    print(f"    99th percentile of samples, s   {format_range(sample_p99_s, '.0f')}")
    print(
        f"    samples lost                    "
        f"{format_range([r.lost_samples for r in runs], '.0f')}"
    )
    print(
        f"    cut off, not to be run again    "
        f"{format_range([r.lost_non_restartable for r in runs], '.0f')}"
    )
    print(
        f"    refused                         "
        f"{format_range([r.refused_requests for r in runs], '.0f')}"
    )
    if any(r.recovery_times_s for r in runs):
        print(
            f"    throughput back after, s        "
            f"{format_range(recovery_times_s, '.0f')}, "
            f"{sum(len(r.recovery_times_s) for r in runs)} reclaims"
        )


def print_goals(results: dict[str, list[DayResult]]) -> None:
    """Print whether each stated goal is met."""
    runs, reference = results["floor and cheap"], results["on-demand only"]
    saving = statistics.median(
        1 - (r.cost / r.delivered_s) / (on_demand.cost / on_demand.delivered_s)
        for r, on_demand in zip(runs, reference, strict=True)
    )
    additional_late_samples = sum(r.late_samples for r in runs) - sum(
        r.late_samples for r in reference
    )
    slowest_recovery_s = max(
        (recovery_s for r in runs for recovery_s in r.recovery_times_s), default=0.0
    )
    checks = {
        f"at least {SAVING_GOAL:.0%} below on-demand only": saving >= SAVING_GOAL,
        "no additional late sample": additional_late_samples <= 0,
        "no sample lost": not any(r.lost_samples for r in runs),
        "no refusal": not any(r.refused_requests for r in runs),
        f"throughput back within {RECOVERY_GOAL_S:.0f} s": slowest_recovery_s
        <= RECOVERY_GOAL_S,
    }
    for name, is_met in checks.items():
        print(f"  {'met   ' if is_met else 'MISSED'}  {name}")

"""Target spending against service delivered, in a model of the two users.

A day is modelled in two hours. Requests and samples arrive by a day-like curve,
the targets of a zone are ordered by the sizing policy of ``mulberryport.orders``,
start with a delay and are paid from order to end. Cheap targets of a zone are
reclaimed together with 5 s notice and cannot be had for some minutes after that.
The model is of the policy alone: selection is idealised, and work on a reclaimed
target is run again from its start.
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

DAY_S = 7200
SEEDS = (1, 2, 3, 4, 5)
ZONES = ("a", "b", "c")
CAPACITY = 16
START_S = 20.0
NOTICE_S = 5
RECLAIM_MEAN_S = 1500.0
SCARCE_S = (240.0, 720.0)
SHORT_S = 30.0
NOTED_UNAVAILABLE_S = 120.0
FIXED_PEAK_S = 120
SAMPLE_BOUND_S = 420.0
LIVE_PATIENCE_S = 60.0
QUEUE = 768
STEP_PERIOD_S = 240

# Stated targets of the design page.
SAVING_GOAL = 0.30
RECOVERY_GOAL_S = 30.0


@frozen
class Load:
    """Load of one pool at the peak of the day.

    Parameters
    ----------
    targets : int
        Targets that the user has today.
    live_rate, live_s : float
        Requests a second and their mean duration in seconds.
    fixed_share : float
        Part of the requests that cannot be run again.
    trainers, samples : int
        Trainers, and samples of a step at the peak.
    sample_s : float
        Mean duration of a sample.
    cheap_share : float
        From the pool table.
    """

    targets: int
    live_rate: float
    live_s: float
    fixed_share: float
    trainers: int = 0
    samples: int = 0
    sample_s: float = 30.0
    cheap_share: float = 0.8


USERS = {
    "litoral": (
        Load(5, 3.0, 5.0, 0.2, trainers=3, samples=96),
        Load(3, 12.0, 3.0, 0.6, cheap_share=0.8),
    ),
    "caribe": (
        Load(4, 2.5, 5.0, 0.2, trainers=2, samples=110),
        Load(6, 24.0, 3.0, 0.6, cheap_share=0.8),
    ),
}


@define(eq=False)
class Target:
    """A target from its order to its end."""

    zone: str
    cheap: bool
    ordered_at: float
    ready_at: float
    leaving: bool = False
    gone_at: float | None = None
    running: set["Item"] = field(factory=set)


@define(eq=False)
class Item:
    """A request or a sample."""

    sample: bool
    fixed: bool
    duration: float
    opened: float
    attempt: int = 0
    target: Target | None = None


@define
class Result:
    """What a run gave."""

    spent: float = 0.0
    delivered: float = 0.0
    on_cheap: float = 0.0
    late_samples: int = 0
    lost_samples: int = 0
    lost_fixed: int = 0
    refused: int = 0
    recoveries: list[float] = field(factory=list)
    step_times: list[float] = field(factory=list)


@define(eq=False)
class Model:
    """One pool under one policy for one day."""

    load: Load
    bounds: PoolBounds
    fixed_size: int
    floor: bool
    events: list[tuple[float, str, float]]
    random: random.Random
    now: float = 0.0
    targets: list[Target] = field(factory=list)
    queue: deque[Item] = field(factory=deque)
    fixed_queue: deque[Item] = field(factory=deque)
    finishing: list[tuple[float, int, int, Item]] = field(factory=list)
    order: Iterator[int] = field(factory=itertools.count)
    size: SizeState = SizeState(0)
    scarce_until: dict[str, float] = field(factory=dict)
    noted_until: dict[str, float] = field(factory=dict)
    short_since: dict[str, float] = field(factory=dict)
    ending: list[tuple[float, Target]] = field(factory=list)
    fixed_seen: deque[tuple[float, int]] = field(factory=deque)
    busy: deque[int] = field(factory=lambda: deque(maxlen=60))
    recovering: tuple[float, float] | None = None
    samples_open: int = 0
    result: Result = field(factory=Result)

    def run(self) -> Result:
        """Model a day and return what it gave."""
        for second in range(DAY_S):
            self.now = float(second)
            self._reclaim()
            self._arrive()
            self._finish()
            self._control()
            self._assign()
            self._observe()
        # Samples of the last steps may finish; nothing new arrives.
        for second in range(DAY_S, DAY_S + int(SAMPLE_BOUND_S) + 1):
            self.now = float(second)
            self._finish()
            self._assign()
        self.result.lost_samples = self.samples_open
        return self.result

    def _arrive(self) -> None:
        day = 0.35 + 0.65 * math.sin(math.pi * self.now / DAY_S) ** 2
        rate = self.load.live_rate * day
        for _ in range(poisson(self.random, rate)):
            duration = self.random.expovariate(1 / self.load.live_s)
            fixed = self.random.random() < self.load.fixed_share
            self._enqueue(Item(False, fixed, duration, self.now))
        for trainer in range(self.load.trainers):
            offset = trainer * STEP_PERIOD_S / self.load.trainers
            if int(self.now - offset) % STEP_PERIOD_S == 0 and self.now >= offset:
                for _ in range(round(self.load.samples * day)):
                    # Lognormal with a tail of stragglers.
                    duration = self.load.sample_s * self.random.lognormvariate(
                        -0.18, 0.6
                    )
                    self.samples_open += 1
                    self._enqueue(Item(True, False, duration, self.now))

    def _enqueue(self, item: Item) -> None:
        if item.fixed:
            self.fixed_queue.append(item)
        elif len(self.queue) < QUEUE or item.sample:
            # Samples of an open step wait with their owner, not in the queue.
            self.queue.append(item)
        else:
            self.result.refused += 1

    def _finish(self) -> None:
        while self.finishing and self.finishing[0][0] <= self.now:
            at, _, attempt, item = heapq.heappop(self.finishing)
            if attempt != item.attempt or item.target is None:
                continue
            item.target.running.discard(item)
            self.result.delivered += item.duration
            self.result.on_cheap += item.duration if item.target.cheap else 0.0
            if item.sample:
                self.samples_open -= 1
                self.result.step_times.append(at - item.opened)
                self.result.late_samples += at - item.opened > SAMPLE_BOUND_S

    def _reclaim(self) -> None:
        while self.events and self.events[0][0] <= self.now:
            _, zone, scarce = self.events.pop(0)
            self.scarce_until[zone] = self.now + scarce
            reclaimed = [t for t in self.targets if t.zone == zone and t.cheap]
            if reclaimed and self.busy:
                self.recovering = (self.now, statistics.mean(self.busy))
            for target in reclaimed:
                target.leaving = True
                self.noted_until[zone] = self.now + NOTED_UNAVAILABLE_S
                self.ending.append((self.now + NOTICE_S, target))
                # Work that can be run again moves at the notice.
                for item in [i for i in target.running if not i.fixed]:
                    self._restart(item)
        for at, target in list(self.ending):
            if at <= self.now:
                self.ending.remove((at, target))
                for item in list(target.running):
                    self.result.lost_fixed += 1
                    item.attempt += 1
                target.running.clear()
                self._end(target)

    def _restart(self, item: Item) -> None:
        assert item.target is not None
        item.target.running.discard(item)
        item.attempt += 1
        item.target = None
        self.queue.appendleft(item)

    def _assign(self) -> None:
        free = [
            t
            for t in self.targets
            if not t.leaving and t.ready_at <= self.now and len(t.running) < CAPACITY
        ]
        self._drain(self.fixed_queue, free, lambda t: not self.floor or not t.cheap)
        self._drain(self.queue, free, lambda t: True)

    def _drain(
        self, queue: deque[Item], free: list[Target], allowed: Callable[[Target], bool]
    ) -> None:
        usable = [target for target in free if allowed(target)]
        while queue:
            if not queue[0].sample and self.now - queue[0].opened > LIVE_PATIENCE_S:
                queue.popleft()
                self.result.refused += 1
                continue
            usable = [t for t in usable if len(t.running) < CAPACITY]
            if not usable:
                return
            item = queue.popleft()
            # Work that can be run again leaves on-demand targets to the other.
            target = min(usable, key=lambda t: (not t.cheap, len(t.running)))
            item.target = target
            target.running.add(item)
            end = (self.now + item.duration, next(self.order), item.attempt, item)
            heapq.heappush(self.finishing, end)

    def _control(self) -> None:
        plan = self._plan()
        for zone in ZONES:
            for cheap, wanted in (
                (False, plan[zone].on_demand),
                (True, plan[zone].cheap),
            ):
                self._order(zone, cheap, wanted)
        for target in list(self.targets):
            ending = any(t is target for _, t in self.ending)
            if target.leaving and not target.running and not ending:
                self._end(target)

    def _plan(self) -> dict[str, TargetCounts]:
        if self.fixed_size:
            return {
                zone: TargetCounts((self.fixed_size + 2 - index) // 3, 0)
                for index, zone in enumerate(ZONES)
            }
        demand = sum(len(target.running) for target in self.targets) + (
            DEFAULT_POLICY.queue_weight * (len(self.queue) + len(self.fixed_queue))
        )
        self.size = next_size(self.size, demand, CAPACITY, self.now)
        zones = {zone: self.now >= self.noted_until.get(zone, 0.0) for zone in ZONES}
        return plan_pool(self.bounds, self.size.size, zones, self._fixed_needed())

    def _fixed_needed(self) -> int:
        fixed = len(self.fixed_queue) + sum(
            item.fixed for target in self.targets for item in target.running
        )
        while self.fixed_seen and self.fixed_seen[-1][1] <= fixed:
            self.fixed_seen.pop()
        self.fixed_seen.append((self.now, fixed))
        if self.fixed_seen[0][0] < self.now - FIXED_PEAK_S:
            self.fixed_seen.popleft()
        if not self.floor:
            return 0
        peak = self.fixed_seen[0][1]
        return needed_targets(peak, CAPACITY, DEFAULT_POLICY.utilisation)

    def _order(self, zone: str, cheap: bool, wanted: int) -> None:
        live = [
            t
            for t in self.targets
            if (t.zone, t.cheap, t.leaving) == (zone, cheap, False)
        ]
        scarce = cheap and self.now < self.scarce_until.get(zone, 0.0)
        if len(live) < wanted and not scarce:
            for _ in range(wanted - len(live)):
                delay = START_S * self.random.uniform(0.75, 1.25)
                self.targets.append(Target(zone, cheap, self.now, self.now + delay))
        for target in sorted(live, key=lambda t: len(t.running))[
            : max(0, len(live) - wanted)
        ]:
            target.leaving = True
        if not cheap:
            return
        if len(live) >= wanted or not scarce:
            self.short_since.pop(zone, None)
        elif self.now - self.short_since.setdefault(zone, self.now) > SHORT_S:
            self.noted_until[zone] = self.now + NOTED_UNAVAILABLE_S
            del self.short_since[zone]

    def _end(self, target: Target) -> None:
        self.targets.remove(target)
        price = DEFAULT_POLICY.cheap_price if target.cheap else 1.0
        self.result.spent += price * (self.now - target.ordered_at)

    def _observe(self) -> None:
        busy = sum(len(target.running) for target in self.targets)
        if self.recovering is not None:
            since, before = self.recovering
            asked = busy + len(self.queue) + len(self.fixed_queue)
            if self.now > since + NOTICE_S and busy >= 0.95 * min(before, asked):
                self.result.recoveries.append(self.now - since)
                self.recovering = None
        self.busy.append(busy)
        if self.now == DAY_S - 1:
            for target in self.targets:
                price = DEFAULT_POLICY.cheap_price if target.cheap else 1.0
                self.result.spent += price * (self.now + 1 - target.ordered_at)
                target.ordered_at = math.inf
            if self.recovering is not None:
                self.result.recoveries.append(self.now - self.recovering[0])


def poisson(generator: random.Random, mean: float) -> int:
    """Return a number of arrivals."""
    limit, count, product = math.exp(-mean), 0, generator.random()
    while product > limit:
        count += 1
        product *= generator.random()
    return count


def zone_events(seed: int) -> list[tuple[float, str, float]]:
    """Return reclaims as (time, zone, seconds without cheap targets after it)."""
    generator = random.Random(f"events/{seed}")
    events, at = [], generator.expovariate(1 / RECLAIM_MEAN_S)
    while at < DAY_S:
        events.append((at, generator.choice(ZONES), generator.uniform(*SCARCE_S)))
        at += generator.expovariate(1 / RECLAIM_MEAN_S)
    return events


POLICIES = ("floor and cheap", "on-demand only", "fixed size", "no floor")


def run_policy(user: str, policy: str, seed: int) -> Result:
    """Model both pools of a user for a day and return the sums."""
    total = Result()
    for number, load in enumerate(USERS[user]):
        share = {"on-demand only": 0.0, "no floor": 1.0}.get(policy, load.cheap_share)
        bounds = PoolBounds(
            minimum=1, maximum=math.ceil(load.targets / 2), cheap_share=share
        )
        result = Model(
            load,
            bounds,
            load.targets if policy == "fixed size" else 0,
            policy != "no floor",
            zone_events(seed),
            random.Random(f"{user}/{number}/{seed}"),
        ).run()
        total.spent += result.spent
        total.delivered += result.delivered
        total.on_cheap += result.on_cheap
        total.late_samples += result.late_samples
        total.lost_samples += result.lost_samples
        total.lost_fixed += result.lost_fixed
        total.refused += result.refused
        total.recoveries += result.recoveries
        total.step_times += result.step_times
    return total


def spread(values: list[float], form: str) -> str:
    """Return median, least and greatest of some values."""
    return (
        f"{statistics.median(values):{form}} "
        f"({min(values):{form}} to {max(values):{form}})"
    )


def main(arguments: list[str]) -> int:
    """Print all policies for both users; more seeds can be given as a number."""
    seeds = range(1, int(arguments[0]) + 1) if arguments else SEEDS
    for user in USERS:
        print(f"\n{user}: {len(seeds)} days, median (least to greatest)")
        results = {
            policy: [run_policy(user, policy, seed) for seed in seeds]
            for policy in POLICIES
        }
        for policy, runs in results.items():
            print_policy(policy, runs, results["on-demand only"])
        print_verdict(results)
    return 0


def print_policy(policy: str, runs: list[Result], reference: list[Result]) -> None:
    """Print the figures of one policy."""
    price = [1000 * r.spent / r.delivered for r in runs]
    saving = [
        1 - (r.spent / r.delivered) / (base.spent / base.delivered)
        for r, base in zip(runs, reference, strict=True)
    ]
    slowest = [statistics.quantiles(r.step_times, n=100)[98] for r in runs]
    recoveries = [at for r in runs for at in r.recoveries] or [0.0]
    print(f"  {policy}")
    print(f"    spent per 1000 s of service     {spread(price, '.1f')}")
    print(f"    below on-demand only            {spread(saving, '.0%')}")
    print(
        f"    service on cheap targets        "
        f"{spread([r.on_cheap / r.delivered for r in runs], '.0%')}"
    )
    print(
        f"    samples over 7 min              "
        f"{spread([r.late_samples for r in runs], '.0f')}"
    )
    print(f"    99th percentile of samples, s   {spread(slowest, '.0f')}")
    print(
        f"    samples lost                    "
        f"{spread([r.lost_samples for r in runs], '.0f')}"
    )
    print(
        f"    cut off, not to be run again    "
        f"{spread([r.lost_fixed for r in runs], '.0f')}"
    )
    print(
        f"    refused                         "
        f"{spread([r.refused for r in runs], '.0f')}"
    )
    if any(r.recoveries for r in runs):
        print(
            f"    throughput back after, s        {spread(recoveries, '.0f')}, "
            f"{sum(len(r.recoveries) for r in runs)} reclaims"
        )


def print_verdict(results: dict[str, list[Result]]) -> None:
    """Print whether the stated targets are met."""
    runs, reference = results["floor and cheap"], results["on-demand only"]
    saving = statistics.median(
        1 - (r.spent / r.delivered) / (base.spent / base.delivered)
        for r, base in zip(runs, reference, strict=True)
    )
    more_late = sum(r.late_samples for r in runs) - sum(
        r.late_samples for r in reference
    )
    slowest = max((at for r in runs for at in r.recoveries), default=0.0)
    checks = {
        f"at least {SAVING_GOAL:.0%} below on-demand only": saving >= SAVING_GOAL,
        "no additional late sample": more_late <= 0,
        "no sample lost": not any(r.lost_samples for r in runs),
        "no refusal": not any(r.refused for r in runs),
        f"throughput back within {RECOVERY_GOAL_S:.0f} s": slowest <= RECOVERY_GOAL_S,
    }
    for name, met in checks.items():
        print(f"  {'met   ' if met else 'MISSED'}  {name}")

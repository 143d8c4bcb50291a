"""Discrete-event simulation of one pool that runs the real routing policy.

Targets, callers, the delay of load reports and the periodic work of the daemons are
simulated. Network latency between zones is not.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterable, Sequence

from attrs import define, evolve, field

from mulberryport.routing import (
    Candidate,
    CandidateSet,
    Ejector,
    FairQueue,
    Grant,
    LoadReport,
    PoolScheduler,
    Result,
    RetryBudget,
    Shares,
    ShedError,
    TargetView,
    WorkRequest,
    choose_target,
)
from mulberryport.routing.selection import AFFINITY_LOAD_MARGIN

from ._policies import CACHE_EVENTS, Policy, PoolShape, candidates_with_free_slots

DURATION_S, WARM_UP_S = 210.0, 20.0
# Demand, service and latency are measured for requests that arrive between the end of
# the warm-up and this time, so that most of them can be answered before the run ends.
LAST_ARRIVAL_S = 175.0
OUTAGE_INTERVAL_S = (80.0, 140.0)
CANDIDATE_UPDATE_PERIOD_S, LOAD_REPORT_PERIOD_S = 0.25, 1.0
LIVE_TIMEOUT_S, TRAINER_TIMEOUT_S = 30.0, 120.0
STEP_PERIOD_S, GROUP_SIZE = 40.0, 8
POOL_UTILISATION = 0.7
# Two large workspaces with trainers and six small ones. In the overload scenario, w7
# requests ten times its share.
WORKSPACE_WEIGHTS = {f"w{n}": 4.0 if n < 2 else 1.0 for n in range(8)}
OVERLOADING_WORKSPACE = "w7"
PREFIXES_PER_WORKSPACE, CACHED_PREFIXES_PER_TARGET = 60, 48
PREFIX_CUMULATIVE_WEIGHTS = list(
    itertools.accumulate(
        1.0 / rank**0.8 for rank in range(1, PREFIXES_PER_WORKSPACE + 1)
    )
)
CACHE_EVENT_DELAY_S, CACHE_EVENT_LOSS_RATE = 2.0, 0.2


@define(eq=False)
class Request:
    """A live request or a sample of a trainer's step."""

    workspace: str
    tokens: float
    prefix: str
    is_live: bool
    arrived_at: float
    group: str = ""
    attempts: int = 0
    grant: Grant | None = None
    sent_at: float = 0.0
    first_byte_at: float = 0.0


@define(eq=False)
class Target:
    """A model engine with continuous batching, or a plain service."""

    id: str
    zone: str
    shape: PoolShape
    running: dict[Request, "Daemon"] = field(factory=dict)
    waiting: deque = field(factory=deque)
    cache: OrderedDict[str, None] = field(factory=OrderedDict)
    load_report: LoadReport | None = None
    is_failing: bool = False
    is_reachable: bool = True
    busy_s: float = 0.0


@define(eq=False)
class Daemon:
    """A daemon that runs the policy under test."""

    zone: str
    scheduler: PoolScheduler
    views: dict[str, tuple[LoadReport | None, float, bool]] = field(factory=dict)


@define(eq=False)
class PoolModel:
    """One simulation run of a policy in a scenario."""

    shape: PoolShape
    policy: Policy
    scenario: str
    seed: int
    now: float = 0.0
    generator: random.Random = field(init=False)
    answer_counts: Counter = field(factory=Counter)
    attempt_counts: Counter = field(factory=Counter)
    demanded_tokens: Counter = field(factory=Counter)
    served_tokens: Counter = field(factory=Counter)
    latencies_s: dict[str, list[float]] = field(factory=lambda: defaultdict(list))
    prefix_hits: int = 0
    started_requests: int = 0
    targets: list[Target] = field(init=False)
    daemons: list[Daemon] = field(init=False)
    _events: list = field(factory=list)
    _event_sequence: itertools.count = field(factory=itertools.count)
    _cached_prefixes: dict[str, set[str]] = field(factory=lambda: defaultdict(set))

    def __attrs_post_init__(self) -> None:
        """Distribute targets and daemons over three zones."""
        self.generator = random.Random(self.seed)
        count = self.shape.target_count
        self.targets = [
            Target(
                f"t{n}",
                f"z{n % 3}",
                self.shape,
                load_report=self._make_load_report(0, 0),
            )
            for n in range(count)
        ]
        self.daemons = [self._make_daemon(n) for n in range(self.shape.daemon_count)]

    def run(self) -> "PoolModel":
        """Run the simulation and return the model with its counters."""
        for target in self.targets:
            self.schedule(
                self.generator.random() * LOAD_REPORT_PERIOD_S,
                self._publish_load_report,
                target,
            )
        for daemon in self.daemons:
            self.schedule(
                self.generator.random() * LOAD_REPORT_PERIOD_S,
                self._poll_targets,
                daemon,
            )
            self.schedule(0.0, self._update_candidates, daemon)
        self._start_callers()
        if self.scenario == "one target lost":
            self._schedule_outage(self.targets[:1], reachable=False)
        elif self.scenario == "half of the pool out":
            # The harder case: failing targets still answer polls and look healthy.
            half = self.targets[: (len(self.targets) + 1) // 2]
            self._schedule_outage(half, reachable=True)
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self

    def schedule(self, when: float, callback: Callable, *arguments: object) -> None:
        """Schedule a callback at a simulated time."""
        heapq.heappush(
            self._events, (when, next(self._event_sequence), callback, arguments)
        )

    def _make_daemon(self, number: int) -> Daemon:
        policy = self.policy
        choose = (
            self._make_cache_event_selector()
            if policy is CACHE_EVENTS
            else policy.make_selector()
        )
        unlimited = RetryBudget(burst=float("inf"))
        weights = (
            WORKSPACE_WEIGHTS if policy.fair_queueing else defaultdict(lambda: 1.0)
        )
        shares = Shares(weights.__getitem__)
        scheduler = PoolScheduler(
            CandidateSet(f"z{number % 3}"),
            FairQueue(shares.weight, 256),
            shares,
            random.Random(self.seed * 100 + number),
            choose=choose,
            budget=RetryBudget() if policy.limits_retries else unlimited,
            ejector=Ejector(jitter=0.5 * number / self.shape.daemon_count)
            if policy.ejects_targets
            else Ejector(max_ejected_fraction=0.0),
        )
        return Daemon(f"z{number % 3}", scheduler)

    def _make_cache_event_selector(self) -> Callable[..., Candidate | None]:
        def choose(
            targets: CandidateSet, work: WorkRequest, generator: random.Random
        ) -> Candidate | None:
            work_without_prefix = evolve(work, prefix="", affinity="")
            best = choose_target(targets, work_without_prefix, generator)
            free = candidates_with_free_slots(targets, work)
            warm = [c for c in free if work.prefix in self._cached_prefixes[c.id]]
            best_warm = min(warm, key=lambda c: c.load, default=None)
            if (
                best_warm
                and best
                and best_warm.load <= best.load + AFFINITY_LOAD_MARGIN
            ):
                return best_warm
            return best

        return choose

    # Callers

    def _start_callers(self) -> None:
        pool_rate = (
            self.shape.target_count
            * self.shape.capacity
            / self.shape.mean_service_time_s
        )
        weights = sum(WORKSPACE_WEIGHTS.values())
        for workspace, weight in WORKSPACE_WEIGHTS.items():
            rate = POOL_UTILISATION * pool_rate * weight / weights
            if workspace == OVERLOADING_WORKSPACE and self.scenario.startswith(
                "one workspace"
            ):
                rate = 10 * pool_rate * weight / weights
            if weight > 1 and self.shape.has_engines:
                rate /= 2
                group_count = max(1, round(rate * STEP_PERIOD_S / GROUP_SIZE))
                self.schedule(
                    self.generator.random() * 10,
                    self._start_step,
                    workspace,
                    group_count,
                    0,
                )
            self.schedule(
                self.generator.expovariate(rate),
                self._send_live_request,
                workspace,
                rate,
            )

    def _draw_token_count(self) -> float:
        return self.shape.mean_tokens * (0.25 + 0.75 * self.generator.expovariate(1.0))

    def _send_live_request(self, workspace: str, rate: float) -> None:
        rank = self.generator.choices(
            range(PREFIXES_PER_WORKSPACE), cum_weights=PREFIX_CUMULATIVE_WEIGHTS
        )[0]
        request = Request(
            workspace, self._draw_token_count(), f"{workspace}/{rank}", True, self.now
        )
        self._admit(request, self.generator.choice(self.daemons))
        self.schedule(
            self.now + self.generator.expovariate(rate),
            self._send_live_request,
            workspace,
            rate,
        )

    def _start_step(self, workspace: str, group_count: int, number: int) -> None:
        # One daemon owns a step and submits all of its samples.
        owner = self.generator.choice(self.daemons)
        for group in range(group_count):
            prompt = f"{workspace}/step {number}/{group}"
            for _ in range(GROUP_SIZE):
                request = Request(
                    workspace, self._draw_token_count(), prompt, False, self.now, prompt
                )
                self._admit(request, owner)
        self.schedule(
            self.now + STEP_PERIOD_S,
            self._start_step,
            workspace,
            group_count,
            number + 1,
        )

    def _admit(self, request: Request, daemon: Daemon) -> None:
        if self._is_measured(request):
            self.demanded_tokens[request.workspace] += request.tokens
        self._submit(request, daemon, frozenset())

    def _submit(
        self, request: Request, daemon: Daemon, exclude: frozenset[str]
    ) -> None:
        policy = self.policy
        limit = LIVE_TIMEOUT_S if request.is_live else TRAINER_TIMEOUT_S
        work = WorkRequest(
            "p",
            request.workspace if policy.fair_queueing else "",
            priority=5 if request.is_live or not policy.fair_queueing else 3,
            deadline=request.arrived_at + limit,
            prefix=request.prefix if policy.prefix_affinity else "",
            affinity=request.group if policy.prefix_affinity else "",
            restartable=self.shape.has_engines,
            exclude=exclude,
            cost=request.tokens / self.shape.mean_tokens,
        )
        try:
            submission = daemon.scheduler.submit(
                work,
                lambda outcome: self._handle_outcome(request, daemon, outcome),
                self.now,
            )
        except ShedError as error:
            submission = error
        if isinstance(submission, Grant | ShedError):
            self._handle_outcome(request, daemon, submission)

    def _handle_outcome(
        self, request: Request, daemon: Daemon, outcome: object
    ) -> None:
        if not isinstance(outcome, Grant):
            self._record_latency(request, LIVE_TIMEOUT_S)
            return
        request.grant, request.sent_at, request.attempts = (
            outcome,
            self.now,
            request.attempts + 1,
        )
        target = self.targets[int(outcome.candidate.id[1:])]
        if OUTAGE_INTERVAL_S[0] <= self.now < OUTAGE_INTERVAL_S[1]:
            self.attempt_counts["outage"] += 1
        if target.is_failing:
            self.schedule(self.now + 0.05, self._fail_attempt, request, daemon)
        elif len(target.running) < self.shape.capacity:
            self._start_service(target, request, daemon)
        else:
            target.waiting.append((request, daemon))

    # Targets

    def _start_service(self, target: Target, request: Request, daemon: Daemon) -> None:
        shape = self.shape
        hit = request.prefix in target.cache
        target.cache[request.prefix] = None
        target.cache.move_to_end(request.prefix)
        if len(target.cache) > CACHED_PREFIXES_PER_TARGET:
            target.cache.popitem(last=False)
        if self.now >= WARM_UP_S:
            self.prefix_hits += hit
            self.started_requests += 1
        # Each request of a batch slows down as the batch grows.
        slowdown = 1.0 + 0.5 * len(target.running) / shape.capacity
        prefill = (shape.prefill_hit_s if hit else shape.prefill_miss_s) * slowdown
        duration = prefill + request.tokens * shape.decode_s_per_token * slowdown
        request.first_byte_at = self.now + prefill
        target.running[request] = daemon
        target.busy_s += duration
        self.schedule(
            self.now + duration, self._finish_service, target, request, request.attempts
        )

    def _finish_service(self, target: Target, request: Request, attempt: int) -> None:
        if attempt != request.attempts or request not in target.running:
            return
        daemon = target.running.pop(request)
        if target.waiting:
            self._start_service(target, *target.waiting.popleft())
        if OUTAGE_INTERVAL_S[0] <= request.sent_at < OUTAGE_INTERVAL_S[1]:
            self.answer_counts["outage"] += 1
        if self._is_measured(request):
            self.served_tokens[request.workspace] += request.tokens
        self._record_latency(request, request.first_byte_at - request.arrived_at)
        daemon.scheduler.release(
            request.grant,
            Result.SUCCEEDED,
            self.now,
            request.first_byte_at - request.sent_at,
        )

    def _fail_attempt(self, request: Request, daemon: Daemon) -> None:
        target = request.grant.candidate.id
        daemon.scheduler.release(request.grant, Result.FAILED, self.now)
        if request.attempts < 5 and daemon.scheduler.consume_retry_budget(self.now):
            self._submit(request, daemon, frozenset({target}))
        else:
            self._record_latency(request, LIVE_TIMEOUT_S)

    def _record_latency(self, request: Request, latency: float) -> None:
        """Record a latency; callers pass the timeout for an unanswered request."""
        if request.is_live and self._is_measured(request):
            self.latencies_s[request.workspace].append(latency)

    def _is_measured(self, request: Request) -> bool:
        return WARM_UP_S <= request.arrived_at < LAST_ARRIVAL_S

    def _schedule_outage(self, targets: Sequence[Target], reachable: bool) -> None:
        for target in targets:
            self.schedule(OUTAGE_INTERVAL_S[0], self._start_outage, target, reachable)
            self.schedule(OUTAGE_INTERVAL_S[1], self._end_outage, target)

    def _start_outage(self, target: Target, reachable: bool) -> None:
        target.is_failing, target.is_reachable = True, reachable
        lost = [*target.running.items(), *target.waiting]
        target.running.clear()
        target.waiting.clear()
        target.cache.clear()
        for request, daemon in lost:
            self._fail_attempt(request, daemon)

    def _end_outage(self, target: Target) -> None:
        target.is_failing, target.is_reachable = False, True

    # The daemons' view of the targets

    def _make_load_report(self, running: int, waiting: int) -> LoadReport:
        return LoadReport(running, waiting, self.shape.capacity)

    def _publish_load_report(self, target: Target) -> None:
        target.load_report = self._make_load_report(
            len(target.running), len(target.waiting)
        )
        if (
            self.policy is CACHE_EVENTS
            and self.generator.random() > CACHE_EVENT_LOSS_RATE
        ):
            when = self.now + CACHE_EVENT_DELAY_S
            self.schedule(when, self._apply_cache_event, target.id, list(target.cache))
        self.schedule(
            self.now + LOAD_REPORT_PERIOD_S, self._publish_load_report, target
        )

    def _apply_cache_event(self, target: str, prefixes: Iterable[str]) -> None:
        self._cached_prefixes[target] = set(prefixes)

    def _poll_targets(self, daemon: Daemon) -> None:
        for target in self.targets:
            report, at, _ = daemon.views.get(target.id, (None, 0.0, True))
            if target.is_reachable:
                report, at = target.load_report, self.now
            daemon.views[target.id] = (report, at, target.is_reachable)
        demand = daemon.scheduler.demand
        ejection_ages = daemon.scheduler.ejector.ejection_ages(self.now)
        for other in self.daemons:
            if self.policy.exchanges_demand and other is not daemon:
                other.scheduler.shares.update_remote_demand(
                    str(id(daemon)), demand, self.now
                )
                if self.policy.ejects_targets:
                    other.scheduler.ejector.update_remote_ejections(
                        str(id(daemon)), ejection_ages, self.now
                    )
        self.schedule(self.now + LOAD_REPORT_PERIOD_S, self._poll_targets, daemon)

    def _update_candidates(self, daemon: Daemon) -> None:
        views = []
        for target in self.targets:
            report, at, healthy = daemon.views.get(target.id, (None, 0.0, True))
            views.append(
                TargetView(
                    id=target.id,
                    address="",
                    zone=target.zone,
                    pool="p",
                    kind="",
                    report=report,
                    report_age=self.now - at,
                    healthy=healthy,
                    limit=self.shape.capacity,
                )
            )
        daemon.scheduler.update(views, self.now)
        self.schedule(
            self.now + CANDIDATE_UPDATE_PERIOD_S, self._update_candidates, daemon
        )

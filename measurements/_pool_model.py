"""A discrete-event model of one pool, which calls the real routing policy.

Only the targets, the callers, the lag of load reports and the daemons' time are
modelled; the network between zones is left out.
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

from ._policies import CACHE_EVENTS, Policy, Shape, places

DURATION_S, WARM_UP_S = 210.0, 20.0
# Demand, service and latency count for requests that arrive from the warm-up to
# this time, so that most of them can be answered before the end.
LAST_ARRIVAL_S = 175.0
OUTAGE_S = (80.0, 140.0)
UPDATE_S, REPORT_S = 0.25, 1.0
LIVE_DEADLINE_S, TRAINER_DEADLINE_S = 30.0, 120.0
STEP_S, GROUP = 40.0, 8
UTILISATION = 0.7
# Two large workspaces with trainers and six small ones; w7 is the one that asks
# for ten times its share.
WEIGHTS = {f"w{n}": 4.0 if n < 2 else 1.0 for n in range(8)}
GREEDY = "w7"
PREFIXES, CACHE = 60, 48
POPULARITY = list(
    itertools.accumulate(1.0 / rank**0.8 for rank in range(1, PREFIXES + 1))
)
CACHE_EVENT_DELAY_S, CACHE_EVENTS_LOST = 2.0, 0.2


@define(eq=False)
class Job:
    """One request of a caller."""

    workspace: str
    tokens: float
    prefix: str
    live: bool
    arrived: float
    group: str = ""
    attempts: int = 0
    grant: Grant | None = None
    sent: float = 0.0
    first: float = 0.0


@define(eq=False)
class Target:
    """A model engine with continuous batching, or a plain service."""

    id: str
    zone: str
    shape: Shape
    running: dict[Job, "Daemon"] = field(factory=dict)
    waiting: deque = field(factory=deque)
    cache: OrderedDict[str, None] = field(factory=OrderedDict)
    report: LoadReport | None = None
    failing: bool = False
    reachable: bool = True
    busy: float = 0.0


@define(eq=False)
class Daemon:
    """One daemon with the policy under test."""

    zone: str
    policy: PoolScheduler
    views: dict[str, tuple[LoadReport | None, float, bool]] = field(factory=dict)


@define(eq=False)
class Model:
    """One run of a policy in a scenario."""

    shape: Shape
    policy: Policy
    scenario: str
    seed: int
    now: float = 0.0
    generator: random.Random = field(init=False)
    answers: Counter = field(factory=Counter)
    sent: Counter = field(factory=Counter)
    demand: Counter = field(factory=Counter)
    served: Counter = field(factory=Counter)
    latencies: dict[str, list[float]] = field(factory=lambda: defaultdict(list))
    hits: int = 0
    starts: int = 0
    targets: list[Target] = field(init=False)
    daemons: list[Daemon] = field(init=False)
    _events: list = field(factory=list)
    _order: itertools.count = field(factory=itertools.count)
    _cached: dict[str, set[str]] = field(factory=lambda: defaultdict(set))

    def __attrs_post_init__(self) -> None:
        """Make targets and daemons over three zones."""
        self.generator = random.Random(self.seed)
        count = self.shape.targets
        self.targets = [
            Target(f"t{n}", f"z{n % 3}", self.shape, report=self._report_of(0, 0))
            for n in range(count)
        ]
        self.daemons = [self._daemon(n) for n in range(self.shape.daemons)]

    def run(self) -> "Model":
        """Run until the end and return the model for its figures."""
        for target in self.targets:
            self.at(self.generator.random() * REPORT_S, self._report, target)
        for daemon in self.daemons:
            self.at(self.generator.random() * REPORT_S, self._poll, daemon)
            self.at(0.0, self._update, daemon)
        self._start_callers()
        if self.scenario == "one target lost":
            self._plan_outage(self.targets[:1], reachable=False)
        elif self.scenario == "half of the pool out":
            # The harder case: the targets still answer polls.
            half = self.targets[: (len(self.targets) + 1) // 2]
            self._plan_outage(half, reachable=True)
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self

    def at(self, when: float, act: Callable, *arguments: object) -> None:
        """Plan an event."""
        heapq.heappush(self._events, (when, next(self._order), act, arguments))

    def _daemon(self, number: int) -> Daemon:
        policy = self.policy
        choose = self._choose_by_events() if policy is CACHE_EVENTS else policy.choose()
        infinite = RetryBudget(burst=float("inf"))
        weights = WEIGHTS if policy.fair else defaultdict(lambda: 1.0)
        shares = Shares(weights.__getitem__)
        scheduler = PoolScheduler(
            CandidateSet(f"z{number % 3}"),
            FairQueue(shares.weight, 256),
            shares,
            random.Random(self.seed * 100 + number),
            choose=choose,
            budget=RetryBudget() if policy.budget else infinite,
            ejector=Ejector(jitter=0.5 * number / self.shape.daemons)
            if policy.ejects
            else Ejector(max_ejected_fraction=0.0),
        )
        return Daemon(f"z{number % 3}", scheduler)

    def _choose_by_events(self) -> Callable[..., Candidate | None]:
        def choose(
            targets: CandidateSet, work: WorkRequest, generator: random.Random
        ) -> Candidate | None:
            plain = evolve(work, prefix="", affinity="")
            best = choose_target(targets, plain, generator)
            free = places(targets, work)
            warm = [c for c in free if work.prefix in self._cached[c.id]]
            near = min(warm, key=lambda c: c.load, default=None)
            if near and best and near.load <= best.load + AFFINITY_LOAD_MARGIN:
                return near
            return best

        return choose

    # Callers

    def _start_callers(self) -> None:
        total = self.shape.targets * self.shape.capacity / self.shape.work_s
        weights = sum(WEIGHTS.values())
        for workspace, weight in WEIGHTS.items():
            rate = UTILISATION * total * weight / weights
            if workspace == GREEDY and self.scenario.startswith("one workspace"):
                rate = 10 * total * weight / weights
            if weight > 1 and self.shape.engines:
                rate /= 2
                groups = max(1, round(rate * STEP_S / GROUP))
                self.at(self.generator.random() * 10, self._step, workspace, groups, 0)
            self.at(self.generator.expovariate(rate), self._call, workspace, rate)

    def _tokens(self) -> float:
        return self.shape.mean_tokens * (0.25 + 0.75 * self.generator.expovariate(1.0))

    def _call(self, workspace: str, rate: float) -> None:
        rank = self.generator.choices(range(PREFIXES), cum_weights=POPULARITY)[0]
        job = Job(workspace, self._tokens(), f"{workspace}/{rank}", True, self.now)
        self._arrive(job, self.generator.choice(self.daemons))
        self.at(
            self.now + self.generator.expovariate(rate), self._call, workspace, rate
        )

    def _step(self, workspace: str, groups: int, number: int) -> None:
        # The owner of a step is one daemon, which submits all of its samples.
        owner = self.generator.choice(self.daemons)
        for group in range(groups):
            prompt = f"{workspace}/step {number}/{group}"
            for _ in range(GROUP):
                job = Job(workspace, self._tokens(), prompt, False, self.now, prompt)
                self._arrive(job, owner)
        self.at(self.now + STEP_S, self._step, workspace, groups, number + 1)

    def _arrive(self, job: Job, daemon: Daemon) -> None:
        if self._counts(job):
            self.demand[job.workspace] += job.tokens
        self._submit(job, daemon, frozenset())

    def _submit(self, job: Job, daemon: Daemon, exclude: frozenset[str]) -> None:
        policy = self.policy
        limit = LIVE_DEADLINE_S if job.live else TRAINER_DEADLINE_S
        work = WorkRequest(
            "p",
            job.workspace if policy.fair else "",
            priority=5 if job.live or not policy.fair else 3,
            deadline=job.arrived + limit,
            prefix=job.prefix if policy.affinity else "",
            affinity=job.group if policy.affinity else "",
            restartable=self.shape.engines,
            exclude=exclude,
            cost=job.tokens / self.shape.mean_tokens,
        )
        try:
            place = daemon.policy.submit(
                work, lambda outcome: self._resolved(job, daemon, outcome), self.now
            )
        except ShedError as error:
            place = error
        if isinstance(place, Grant | ShedError):
            self._resolved(job, daemon, place)

    def _resolved(self, job: Job, daemon: Daemon, outcome: object) -> None:
        if not isinstance(outcome, Grant):
            self._count(job, LIVE_DEADLINE_S)
            return
        job.grant, job.sent, job.attempts = outcome, self.now, job.attempts + 1
        target = self.targets[int(outcome.candidate.id[1:])]
        if OUTAGE_S[0] <= self.now < OUTAGE_S[1]:
            self.sent["outage"] += 1
        if target.failing:
            self.at(self.now + 0.05, self._fail, job, daemon)
        elif len(target.running) < self.shape.capacity:
            self._start(target, job, daemon)
        else:
            target.waiting.append((job, daemon))

    # Targets

    def _start(self, target: Target, job: Job, daemon: Daemon) -> None:
        shape = self.shape
        hit = job.prefix in target.cache
        target.cache[job.prefix] = None
        target.cache.move_to_end(job.prefix)
        if len(target.cache) > CACHE:
            target.cache.popitem(last=False)
        if self.now >= WARM_UP_S:
            self.hits += hit
            self.starts += 1
        # A larger batch makes each of its requests slower.
        slowdown = 1.0 + 0.5 * len(target.running) / shape.capacity
        prefill = (shape.hit_s if hit else shape.miss_s) * slowdown
        duration = prefill + job.tokens * shape.token_s * slowdown
        job.first = self.now + prefill
        target.running[job] = daemon
        target.busy += duration
        self.at(self.now + duration, self._finish, target, job, job.attempts)

    def _finish(self, target: Target, job: Job, attempt: int) -> None:
        if attempt != job.attempts or job not in target.running:
            return
        daemon = target.running.pop(job)
        if target.waiting:
            self._start(target, *target.waiting.popleft())
        if OUTAGE_S[0] <= job.sent < OUTAGE_S[1]:
            self.answers["outage"] += 1
        if self._counts(job):
            self.served[job.workspace] += job.tokens
        self._count(job, job.first - job.arrived)
        daemon.policy.release(
            job.grant, Result.SUCCEEDED, self.now, job.first - job.sent
        )

    def _fail(self, job: Job, daemon: Daemon) -> None:
        target = job.grant.candidate.id
        daemon.policy.release(job.grant, Result.FAILED, self.now)
        if job.attempts < 5 and daemon.policy.consume_retry_budget(self.now):
            self._submit(job, daemon, frozenset({target}))
        else:
            self._count(job, LIVE_DEADLINE_S)

    def _count(self, job: Job, latency: float) -> None:
        """Count a latency; a request without an answer counts as the deadline."""
        if job.live and self._counts(job):
            self.latencies[job.workspace].append(latency)

    def _counts(self, job: Job) -> bool:
        return WARM_UP_S <= job.arrived < LAST_ARRIVAL_S

    def _plan_outage(self, targets: Sequence[Target], reachable: bool) -> None:
        for target in targets:
            self.at(OUTAGE_S[0], self._break, target, reachable)
            self.at(OUTAGE_S[1], self._mend, target)

    def _break(self, target: Target, reachable: bool) -> None:
        target.failing, target.reachable = True, reachable
        lost = [*target.running.items(), *target.waiting]
        target.running.clear()
        target.waiting.clear()
        target.cache.clear()
        for job, daemon in lost:
            self._fail(job, daemon)

    def _mend(self, target: Target) -> None:
        target.failing, target.reachable = False, True

    # What daemons know

    def _report_of(self, running: int, waiting: int) -> LoadReport:
        return LoadReport(running, waiting, self.shape.capacity)

    def _report(self, target: Target) -> None:
        target.report = self._report_of(len(target.running), len(target.waiting))
        if self.policy is CACHE_EVENTS and self.generator.random() > CACHE_EVENTS_LOST:
            when = self.now + CACHE_EVENT_DELAY_S
            self.at(when, self._cache_event, target.id, list(target.cache))
        self.at(self.now + REPORT_S, self._report, target)

    def _cache_event(self, target: str, prefixes: Iterable[str]) -> None:
        self._cached[target] = set(prefixes)

    def _poll(self, daemon: Daemon) -> None:
        for target in self.targets:
            report, at, _ = daemon.views.get(target.id, (None, 0.0, True))
            if target.reachable:
                report, at = target.report, self.now
            daemon.views[target.id] = (report, at, target.reachable)
        demand = daemon.policy.demand
        news = daemon.policy.ejector.ejection_ages(self.now)
        for other in self.daemons:
            if self.policy.shares and other is not daemon:
                other.policy.shares.update_remote_demand(
                    str(id(daemon)), demand, self.now
                )
                if self.policy.ejects:
                    other.policy.ejector.update_remote_ejections(
                        str(id(daemon)), news, self.now
                    )
        self.at(self.now + REPORT_S, self._poll, daemon)

    def _update(self, daemon: Daemon) -> None:
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
        daemon.policy.update(views, self.now)
        self.at(self.now + UPDATE_S, self._update, daemon)

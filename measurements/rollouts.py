"""Trainer idle time and sample staleness with stragglers and the loss of an engine.

Two trainers run one step each on five engines that are simulated in this process. The
step logic and the dispatcher are those of the daemon. 5% of the streams take 4 to 10
times as long as the others, the weight version rises every second, and one engine is
lost after 0.8 s. For each seed, the policy and the baseline (no hedging, no priority
boost, no migration of attempts, random choice of the engine) run concurrently.

A trainer consumes samples at a fixed rate: the mean rate at which the five engines,
stragglers included, generate samples for it. It is idle while no sample is available.
Within one seed, a stream of the same prompt at the same engine has the same speed under
the policy and the baseline.
"""

import random
import statistics
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
import eventlet.event
import xxhash
from attrs import define, field

from mulberryport.rollouts import GroupSpec, StepId, StepSpec, StepState
from mulberryport.rollouts.attempts import EngineAccess
from mulberryport.rollouts.runner import StepRunner
from mulberryport.rollouts.stragglers import StragglerPolicy
from mulberryport.runtime.clock import boottime
from mulberryport.tables import Pool, Snapshot, Tables, TargetSpec
from mulberryport.targets import (
    Dispatcher,
    LoadReport,
    TargetDirectory,
    TargetView,
    WorkRequest,
)
from mulberryport.targets.engine_client import (
    GenerationRequest,
    NotStartedError,
    StreamError,
    TokenChunk,
)

ENGINE_COUNT, BATCH_SIZE, CONCURRENCY_LIMIT = 5, 8, 12
GROUP_COUNT, SAMPLES_PER_GROUP, TOKENS_PER_SAMPLE, TOKENS_PER_CHUNK = 15, 8, 64, 8
SAMPLE_DURATION_S = 0.25
STRAGGLER_FRACTION = 0.05
VERSION_PERIOD_S = 1.0
ENGINE_LOSS_AT_S = 0.8
POLL_PERIOD_S = 0.1
STALENESS_BOUND = 1
TRAINER_COUNT = 2
MEAN_SLOWDOWN = 1 + STRAGGLER_FRACTION * (7 - 1)
SAMPLE_CONSUMPTION_S = (
    SAMPLE_DURATION_S * MEAN_SLOWDOWN * TRAINER_COUNT / (ENGINE_COUNT * BATCH_SIZE)
)
POLICY = StragglerPolicy()
BASELINE = StragglerPolicy(budget_share=0.0, tail_priority=5, move_attempts=False)


@define(eq=False)
class Engine:
    """A simulated engine with a bounded batch and a priority queue."""

    name: str
    seed: int
    version: int = 1
    is_lost: bool = False
    running: int = 0
    waiting: list[tuple[int, float, Any]] = field(factory=list)
    generated_tokens: int = 0

    def generate(self, request: GenerationRequest) -> Iterator[TokenChunk]:
        """Yield the remaining tokens of a request in chunks."""
        self._raise_if_lost(NotStartedError)
        with self._batch_slot(request.priority):
            offset = request.offset
            slowdown = self._draw_slowdown(request.prompt)
            while offset < request.max_tokens:
                version = self.version
                eventlet.sleep(
                    SAMPLE_DURATION_S * TOKENS_PER_CHUNK / TOKENS_PER_SAMPLE * slowdown
                )
                self._raise_if_lost(StreamError)
                offset += TOKENS_PER_CHUNK
                self.generated_tokens += TOKENS_PER_CHUNK
                yield TokenChunk(("t",) * TOKENS_PER_CHUNK, version)

    def _raise_if_lost(self, error: type[Exception]) -> None:
        if self.is_lost:
            raise error(f"{self.name} is lost")

    def _draw_slowdown(self, prompt: str) -> float:
        generator = random.Random(
            xxhash.xxh64_intdigest(f"{self.seed}/{self.name}/{prompt}".encode())
        )
        slowdown = (
            generator.uniform(4, 10) if generator.random() < STRAGGLER_FRACTION else 1.0
        )
        return slowdown * generator.uniform(0.8, 1.2)

    @contextmanager
    def _batch_slot(self, priority: int) -> Iterator[None]:
        if self.running >= BATCH_SIZE:
            waiter = (-priority, time.monotonic(), eventlet.event.Event())
            self.waiting.append(waiter)
            try:
                waiter[2].wait()
            except BaseException:
                # Cancelled, possibly after the slot was handed to this waiter.
                if waiter in self.waiting:
                    self.waiting.remove(waiter)
                else:
                    self._release_slot()
                raise
        else:
            self.running += 1
        try:
            yield
        finally:
            self._release_slot()

    def _release_slot(self) -> None:
        if self.waiting:
            waiter = min(self.waiting, key=lambda e: e[:2])
            self.waiting.remove(waiter)
            waiter[2].send(True)
        else:
            self.running -= 1


@define(eq=False)
class PolicyRun:
    """One run of all trainers under one straggler policy."""

    seed: int
    policy: StragglerPolicy
    chooses_randomly: bool
    version: int = 1
    idle_s: list[float] = field(factory=list)
    staleness: list[int] = field(factory=list)
    hedge_count: int = 0
    engines: dict[str, Engine] = field(init=False)
    directory: TargetDirectory = field(factory=TargetDirectory)
    generator: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the engines and their pool."""
        self.generator = random.Random(self.seed)
        names = [f"e{number}" for number in range(ENGINE_COUNT)]
        self.engines = {name: Engine(name, self.seed) for name in names}
        pool = Pool(
            name="p",
            kind="model-engine",
            targets=tuple(TargetSpec(name, name, "z") for name in names),
            concurrency=CONCURRENCY_LIMIT,
        )
        self.directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"p": pool})))

    def run(self) -> None:
        """Run the steps of all trainers to completion."""
        background_threads = [
            eventlet.spawn(self._poll_engines),
            eventlet.spawn(self._raise_version),
            eventlet.spawn_after(ENGINE_LOSS_AT_S, self._lose_engine),
        ]
        trainers = [eventlet.spawn(self._run_trainer, n) for n in range(TRAINER_COUNT)]
        for trainer in trainers:
            trainer.wait()
        for thread in background_threads:
            thread.kill()

    def _run_trainer(self, number: int) -> None:
        groups = tuple(
            GroupSpec(f"{number}/{group}", SAMPLES_PER_GROUP, TOKENS_PER_SAMPLE)
            for group in range(GROUP_COUNT)
        )
        step_id = StepId("w", f"trainer{number}", 1)
        spec = StepSpec(step_id, "r", "p", STALENESS_BOUND, self.version, groups)
        step = StepState(spec)
        dispatcher = Dispatcher(self.directory, "z", random.Random(self.seed))
        access = EngineAccess(
            self._assign_randomly if self.chooses_randomly else dispatcher.assign,
            self.directory.views,
            lambda address, request, _: self.engines[address].generate(request),
            lambda address, request_id: None,
        )
        runner = StepRunner(step, access, "p", policy=self.policy)
        runner.start()
        received, idle_s = 0, 0.0
        while step.remaining:
            started = boottime()
            bitmap = received.to_bytes((step.slot_count + 7) // 8, "little")
            samples = step.pull(self.version, bitmap, 1)
            runner.wake()
            if not step.remaining:
                break
            if not samples:
                runner.state_changed.wait(0.5)
                idle_s += boottime() - started
                continue
            (sample,) = samples
            slot_number = step.slot_of(sample)
            assert slot_number is not None
            received |= 1 << slot_number
            self.staleness.append(self.version - sample.oldest_version)
            eventlet.sleep(SAMPLE_CONSUMPTION_S)
        runner.close()
        self.idle_s.append(idle_s)
        self.hedge_count += runner.hedging.started_count

    @contextmanager
    def _assign_randomly(self, work: WorkRequest) -> Iterator[TargetView]:
        while True:
            free = [
                view
                for view in self.directory.views(work.pool)
                if view.selectable
                and view.in_flight < view.limit
                and view.id not in work.exclude
            ]
            if free:
                break
            eventlet.sleep(0.005)
        view = self.generator.choice(free)
        self.directory.request_started(view.id)
        try:
            yield view
        finally:
            self.directory.request_finished(view.id)

    def _poll_engines(self) -> None:
        while True:
            for name, engine in self.engines.items():
                report = LoadReport(
                    engine.running, len(engine.waiting), BATCH_SIZE, engine.version
                )
                if engine.is_lost:
                    self.directory.record_missed_poll(name)
                else:
                    self.directory.record_load(name, report, boottime())
            eventlet.sleep(POLL_PERIOD_S)

    def _raise_version(self) -> None:
        while True:
            eventlet.sleep(VERSION_PERIOD_S)
            self.version += 1
            for engine in self.engines.values():
                engine.version = self.version
                eventlet.sleep(0.02)

    def _lose_engine(self) -> None:
        self.engines["e0"].is_lost = True


def main(arguments: list[str]) -> int:
    """Print medians and ranges over the seeds; return 0 even if the goal is missed.

    The optional argument is the number of seeds.
    """
    seeds = range(1, 1 + int(arguments[0] if arguments else 5))
    results: dict[str, list[PolicyRun]] = {"policy": [], "baseline": []}
    for seed in seeds:
        run_by_name = {
            "policy": PolicyRun(seed, POLICY, False),
            "baseline": PolicyRun(seed, BASELINE, True),
        }
        threads = [eventlet.spawn(run.run) for run in run_by_name.values()]
        for thread in threads:
            thread.wait()
        for name, run in run_by_name.items():
            results[name].append(run)
    for name, runs in results.items():
        idle = [statistics.mean(run.idle_s) for run in runs]
        tokens = [sum(e.generated_tokens for e in run.engines.values()) for run in runs]
        requested_tokens = (
            TRAINER_COUNT * GROUP_COUNT * SAMPLES_PER_GROUP * TOKENS_PER_SAMPLE
        )
        print(
            f"{name:9} idle a step: median {statistics.median(idle):.2f} s "
            f"({min(idle):.2f} to {max(idle):.2f}); staleness mean "
            f"{statistics.mean(s for run in runs for s in run.staleness):.2f}, largest "
            f"{max(s for run in runs for s in run.staleness)}; generated tokens per "
            f"wanted one {statistics.median(tokens) / requested_tokens:.2f}; hedges "
            f"{statistics.median(run.hedge_count for run in runs)}"
        )
    ratios = [
        statistics.mean(policy_run.idle_s) / statistics.mean(baseline_run.idle_s)
        for policy_run, baseline_run in zip(
            results["policy"], results["baseline"], strict=True
        )
    ]
    median = statistics.median(ratios)
    verdict = "met" if median <= 0.5 else "MISSED"
    print(
        f"idle time, policy to baseline of the same seed: median {median:.2f} "
        f"({min(ratios):.2f} to {max(ratios):.2f}); goal at most 0.50: {verdict}"
    )
    return 0

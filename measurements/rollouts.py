"""Trainer idle time and staleness with stragglers and one engine lost.

Two trainers run a step each on five engines in this process. The step logic and the
dispatcher are those of the daemon. 5% of the streams take 4 to 10 times as long as
the others, weights change every second, and one engine is lost after 0.8 s. Each
seed runs the policy and the baseline (no hedging, no raised priority, attempts stay
where they are, random choice of the engine) side by side.

A trainer takes a fixed time for each sample: the mean time in which the five engines,
stragglers included, make one for it. It is idle while it has none. Within
one seed, a stream of the same prompt at the same engine has the same speed in both.
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

ENGINES, BATCH, LIMIT = 5, 8, 12
GROUPS, SAMPLES, TOKENS, CHUNK = 15, 8, 64, 8
SAMPLE_S = 0.25
STRAGGLERS = 0.05
WEIGHTS_PERIOD_S = 1.0
LOSS_AT_S = 0.8
POLL_S = 0.1
BOUND = 1
TRAINERS = 2
MEAN_SLOWNESS = 1 + STRAGGLERS * (7 - 1)
CONSUME_S = SAMPLE_S * MEAN_SLOWNESS * TRAINERS / (ENGINES * BATCH)
POLICY = StragglerPolicy()
BASELINE = StragglerPolicy(budget_share=0.0, tail_priority=5, move_attempts=False)


@define(eq=False)
class Engine:
    """An engine that generates a batch and lets others wait by priority."""

    name: str
    seed: int
    version: int = 1
    lost: bool = False
    running: int = 0
    waiting: list[tuple[int, float, Any]] = field(factory=list)
    generated: int = 0

    def generate(self, request: GenerationRequest) -> Iterator[TokenChunk]:
        """Yield the tokens of one request."""
        self._check(NotStartedError)
        with self._place(request.priority):
            offset = request.offset
            slow = self._slowness(request.prompt)
            while offset < request.max_tokens:
                version = self.version
                eventlet.sleep(SAMPLE_S * CHUNK / TOKENS * slow)
                self._check(StreamError)
                offset += CHUNK
                self.generated += CHUNK
                yield TokenChunk(("t",) * CHUNK, version)

    def _check(self, error: type[Exception]) -> None:
        if self.lost:
            raise error(f"{self.name} is lost")

    def _slowness(self, prompt: str) -> float:
        source = random.Random(
            xxhash.xxh64_intdigest(f"{self.seed}/{self.name}/{prompt}".encode())
        )
        slow = source.uniform(4, 10) if source.random() < STRAGGLERS else 1.0
        return slow * source.uniform(0.8, 1.2)

    @contextmanager
    def _place(self, priority: int) -> Iterator[None]:
        if self.running >= BATCH:
            entry = (-priority, time.monotonic(), eventlet.event.Event())
            self.waiting.append(entry)
            try:
                entry[2].wait()
            except BaseException:
                # Cancelled, perhaps after the place was given to it.
                if entry in self.waiting:
                    self.waiting.remove(entry)
                else:
                    self._pass_on()
                raise
        else:
            self.running += 1
        try:
            yield
        finally:
            self._pass_on()

    def _pass_on(self) -> None:
        if self.waiting:
            entry = min(self.waiting, key=lambda e: e[:2])
            self.waiting.remove(entry)
            entry[2].send(True)
        else:
            self.running -= 1


@define(eq=False)
class Run:
    """One run of all trainers under one policy."""

    seed: int
    policy: StragglerPolicy
    random_choice: bool
    version: int = 1
    idle: list[float] = field(factory=list)
    staleness: list[int] = field(factory=list)
    hedges: int = 0
    engines: dict[str, Engine] = field(init=False)
    directory: TargetDirectory = field(factory=TargetDirectory)
    source: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the engines."""
        self.source = random.Random(self.seed)
        names = [f"e{number}" for number in range(ENGINES)]
        self.engines = {name: Engine(name, self.seed) for name in names}
        pool = Pool(
            name="p",
            kind="model-engine",
            targets=tuple(TargetSpec(name, name, "z") for name in names),
            concurrency=LIMIT,
        )
        self.directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"p": pool})))

    def run(self) -> None:
        """Run the trainers' steps to their ends."""
        events = [
            eventlet.spawn(self._poll),
            eventlet.spawn(self._change_weights),
            eventlet.spawn_after(LOSS_AT_S, self._lose_engine),
        ]
        trainers = [eventlet.spawn(self._train, n) for n in range(TRAINERS)]
        for trainer in trainers:
            trainer.wait()
        for event in events:
            event.kill()

    def _train(self, number: int) -> None:
        groups = tuple(
            GroupSpec(f"{number}/{group}", SAMPLES, TOKENS) for group in range(GROUPS)
        )
        step_id = StepId("w", f"trainer{number}", 1)
        spec = StepSpec(step_id, "r", "p", BOUND, self.version, groups)
        step = StepState(spec)
        dispatcher = Dispatcher(self.directory, "z", random.Random(self.seed))
        access = EngineAccess(
            self._assign_randomly if self.random_choice else dispatcher.assign,
            self.directory.views,
            lambda address, request, _: self.engines[address].generate(request),
            lambda address, request_id: None,
        )
        runner = StepRunner(step, access, "p", policy=self.policy)
        runner.start()
        received, idle = 0, 0.0
        while step.remaining:
            started = boottime()
            bitmap = received.to_bytes((step.slot_count + 7) // 8, "little")
            samples = step.pull(self.version, bitmap, 1)
            runner.wake()
            if not step.remaining:
                break
            if not samples:
                runner.state_changed.wait(0.5)
                idle += boottime() - started
                continue
            (sample,) = samples
            number_of_slot = step.slot_of(sample)
            assert number_of_slot is not None
            received |= 1 << number_of_slot
            self.staleness.append(self.version - sample.oldest_version)
            eventlet.sleep(CONSUME_S)
        runner.close()
        self.idle.append(idle)
        self.hedges += runner.hedging.started_count

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
        view = self.source.choice(free)
        self.directory.request_started(view.id)
        try:
            yield view
        finally:
            self.directory.request_finished(view.id)

    def _poll(self) -> None:
        while True:
            for name, engine in self.engines.items():
                report = LoadReport(
                    engine.running, len(engine.waiting), BATCH, engine.version
                )
                if engine.lost:
                    self.directory.record_missed_poll(name)
                else:
                    self.directory.record_load(name, report, boottime())
            eventlet.sleep(POLL_S)

    def _change_weights(self) -> None:
        while True:
            eventlet.sleep(WEIGHTS_PERIOD_S)
            self.version += 1
            for engine in self.engines.values():
                engine.version = self.version
                eventlet.sleep(0.02)

    def _lose_engine(self) -> None:
        self.engines["e0"].lost = True


def main(arguments: list[str]) -> int:
    """Print medians and spread over the seeds; exit with 0 although a goal is missed.

    The optional argument is the number of seeds.
    """
    seeds = range(1, 1 + int(arguments[0] if arguments else 5))
    results: dict[str, list[Run]] = {"policy": [], "baseline": []}
    for seed in seeds:
        pair = {
            "policy": Run(seed, POLICY, False),
            "baseline": Run(seed, BASELINE, True),
        }
        threads = [eventlet.spawn(run.run) for run in pair.values()]
        for thread in threads:
            thread.wait()
        for name, run in pair.items():
            results[name].append(run)
    for name, runs in results.items():
        idle = [statistics.mean(run.idle) for run in runs]
        tokens = [sum(e.generated for e in run.engines.values()) for run in runs]
        wanted = TRAINERS * GROUPS * SAMPLES * TOKENS
        print(
            f"{name:9} idle a step: median {statistics.median(idle):.2f} s "
            f"({min(idle):.2f} to {max(idle):.2f}); staleness mean "
            f"{statistics.mean(s for run in runs for s in run.staleness):.2f}, largest "
            f"{max(s for run in runs for s in run.staleness)}; generated tokens per "
            f"wanted one {statistics.median(tokens) / wanted:.2f}; hedges "
            f"{statistics.median(run.hedges for run in runs)}"
        )
    ratios = [
        statistics.mean(ours.idle) / statistics.mean(base.idle)
        for ours, base in zip(results["policy"], results["baseline"], strict=True)
    ]
    median = statistics.median(ratios)
    verdict = "met" if median <= 0.5 else "MISSED"
    print(
        f"idle time, policy to baseline of the same seed: median {median:.2f} "
        f"({min(ratios):.2f} to {max(ratios):.2f}); goal at most 0.50: {verdict}"
    )
    return 0

"""Routing policy against its baselines.

``python -m measurements policy [SEEDS]`` runs the real policy in a model of a pool
and prints medians and spread, whether the targets of the design page are met, and
the time that an assignment takes. The figures of the model compare policies; they
do not predict a deployment.
"""

import statistics
import time

from mulberryport.routing import (
    LoadReport,
    WorkRequest,
    max_min_fair_shares,
)
from mulberryport.runtime.clock import boottime
from mulberryport.tables import Pool, Snapshot, Tables, TargetSpec, Workspace
from mulberryport.targets import Dispatcher, TargetDirectory

from ._policies import (
    CACHE_EVENTS,
    IN_TURN,
    LEAST,
    NO_AFFINITY,
    NO_BUDGET,
    POLICY,
    RANDOM,
    SCENARIOS,
    SHAPES,
    Shape,
)
from ._pool_model import GREEDY, WEIGHTS, Model

__all__ = ["main"]

ENGINES_ONLY = (NO_AFFINITY, CACHE_EVENTS, IN_TURN, LEAST, NO_BUDGET, RANDOM)
ASSIGNMENTS = 2000


def figures(model: Model) -> dict[str, float]:
    """Return the measures of one run."""
    due = max_min_fair_shares(
        sum(model.served.values()), model.demand, WEIGHTS.__getitem__
    )
    tails = {
        workspace: statistics.quantiles(values, n=100)[98]
        for workspace, values in model.latencies.items()
    }
    greedy = tails[GREEDY]
    if model.scenario.startswith("one workspace"):
        del tails[GREEDY]
    busy = [target.busy for target in model.targets]
    median = statistics.median(tails.values())
    return {
        "worst share of due": min(model.served[w] / due[w] for w in due),
        "worst p99 s": max(tails.values()),
        "worst / median p99": max(tails.values()) / median,
        "w7 p99 s": greedy,
        "sent / answer": model.sent["outage"] / max(1, model.answers["outage"]),
        "prefix hits": model.hits / max(1, model.starts),
        "max / mean busy": max(busy) / statistics.mean(busy),
    }


def show(name: str, runs: list[dict[str, float]]) -> dict[str, float]:
    """Print one line of a table and return the medians."""
    cells, medians = [], {}
    for measure in runs[0]:
        values = [run[measure] for run in runs]
        medians[measure] = statistics.median(values)
        cells.append(f"{medians[measure]:.2f} ({min(values):.2f}-{max(values):.2f})")
    print(f"| {name} | {' | '.join(cells)} |")
    return medians


def judge(shape: Shape, medians: dict[tuple[str, str], dict[str, float]]) -> list[str]:
    """Return whether the targets of the design page are met."""
    scenarios = list(SCENARIOS)
    greedy = medians[scenarios[3], POLICY.name]
    outage = medians[scenarios[2], POLICY.name]["sent / answer"]
    share, ratio = greedy["worst share of due"], greedy["worst / median p99"]
    checks = [
        ("worst share of due at least 0.90", share >= 0.9, share),
        ("worst p99 at most 1.5 times the median", ratio <= 1.5, ratio),
        ("requests sent per answer at most 1.10", outage <= 1.1, outage),
    ]
    if shape.engines:
        calm, baseline = (medians["calm", p.name] for p in (POLICY, RANDOM))
        times = calm["prefix hits"] / baseline["prefix hits"]
        even = calm["max / mean busy"] <= 1.05 * baseline["max / mean busy"]
        checks += [
            ("prefix hits at least twice those of random", times >= 2, times),
            ("balance within 5% of random", even, calm["max / mean busy"]),
        ]
    return [f"{'met' if ok else 'MISSED':6} {text}: {v:.2f}" for text, ok, v in checks]


def measure_assignment(targets: int) -> str:
    """Return the time of an assignment and its release in a pool, as a line."""
    specs = tuple(
        TargetSpec(f"t{n}", f"127.0.0.1:{n + 1}", "a") for n in range(targets)
    )
    pool = Pool(name="p", kind="model-engine", targets=specs, concurrency=64)
    tables = Tables(workspaces={"w": Workspace(name="w")}, pools={"p": pool})
    directory = TargetDirectory()
    directory.apply_snapshot(Snapshot(1, "change", tables))
    for spec in specs:
        directory.record_load(spec.id, LoadReport(3, 0, 64), boottime())
    dispatcher = Dispatcher(directory, "a")
    times = {}
    for name, prefix in (("no prefix", ""), ("known prefix", "p"), ("new prefix", "n")):
        begun = time.perf_counter()
        for n in range(ASSIGNMENTS):
            key = {"": "", "p": "p", "n": str(n)}[prefix]
            with dispatcher.assign(WorkRequest("p", "w", prefix=key)):
                pass
        times[name] = (time.perf_counter() - begun) / ASSIGNMENTS * 1e6
    cells = ", ".join(f"{name} {value:.0f} us" for name, value in times.items())
    return f"assignment among {targets} targets: {cells}"


def main(arguments: list[str]) -> int:
    """Print tables of medians and spread over seeds; see the module."""
    seeds = int(arguments[0]) if arguments else 2
    begun = time.perf_counter()
    for shape in SHAPES:
        medians = {}
        for scenario, policies in SCENARIOS.items():
            if not shape.engines and scenario == "one target lost":
                continue
            print(f"\n{shape.name}, {scenario}: median (least-most) of {seeds} seeds")
            for number, policy in enumerate(policies):
                if not shape.engines and policy in ENGINES_ONLY:
                    continue
                runs = [
                    figures(Model(shape, policy, scenario, seed).run())
                    for seed in range(1, seeds + 1)
                ]
                if not number:
                    print(f"| policy | {' | '.join(runs[0])} |")
                medians[scenario, policy.name] = show(policy.name, runs)
        print()
        print("\n".join(judge(shape, medians)))
    print()
    for targets in (5, 60, 400):
        print(measure_assignment(targets))
    print(f"\nrun time {time.perf_counter() - begun:.0f} s")
    return 0

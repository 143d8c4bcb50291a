"""Routing policy compared with its baselines.

``python -m measurements policy [SEEDS]`` runs the real policy in a simulated pool
and prints medians and ranges, whether the goals of the design page are met, and the
time of an assignment. The simulation compares policies; it does not predict the
figures of a deployment.
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
    LEAST_LAGGED_LOAD,
    NO_AFFINITY,
    NO_RETRY_BUDGET,
    POLICY,
    POOL_SHAPES,
    RANDOM,
    ROUND_ROBIN,
    SCENARIOS,
    PoolShape,
)
from ._pool_model import OVERLOADING_WORKSPACE, WORKSPACE_WEIGHTS, PoolModel

__all__ = ["main"]

ENGINE_ONLY_POLICIES = (
    NO_AFFINITY,
    CACHE_EVENTS,
    ROUND_ROBIN,
    LEAST_LAGGED_LOAD,
    NO_RETRY_BUDGET,
    RANDOM,
)
ASSIGNMENT_COUNT = 2000


def summarize_run(model: PoolModel) -> dict[str, float]:
    """Return the figures of one run by column."""
    fair_shares = max_min_fair_shares(
        sum(model.served_tokens.values()),
        model.demanded_tokens,
        WORKSPACE_WEIGHTS.__getitem__,
    )
    p99_by_workspace = {
        workspace: statistics.quantiles(values, n=100)[98]
        for workspace, values in model.latencies_s.items()
    }
    overloading_p99 = p99_by_workspace[OVERLOADING_WORKSPACE]
    if model.scenario.startswith("one workspace"):
        del p99_by_workspace[OVERLOADING_WORKSPACE]
    busy = [target.busy_s for target in model.targets]
    median = statistics.median(p99_by_workspace.values())
    return {
        "worst share of due": min(
            model.served_tokens[w] / fair_shares[w] for w in fair_shares
        ),
        "worst p99 s": max(p99_by_workspace.values()),
        "worst / median p99": max(p99_by_workspace.values()) / median,
        "w7 p99 s": overloading_p99,
        "sent / answer": model.attempt_counts["outage"]
        / max(1, model.answer_counts["outage"]),
        "prefix hits": model.prefix_hits / max(1, model.started_requests),
        "max / mean busy": max(busy) / statistics.mean(busy),
    }


def print_row(name: str, runs: list[dict[str, float]]) -> dict[str, float]:
    """Print the table row of one policy and return its medians."""
    cells, medians = [], {}
    for measure in runs[0]:
        values = [run[measure] for run in runs]
        medians[measure] = statistics.median(values)
        cells.append(f"{medians[measure]:.2f} ({min(values):.2f}-{max(values):.2f})")
    print(f"| {name} | {' | '.join(cells)} |")
    return medians


def check_goals(
    shape: PoolShape, medians: dict[tuple[str, str], dict[str, float]]
) -> list[str]:
    """Return one line for each goal of the design page: met or missed."""
    scenarios = list(SCENARIOS)
    overload = medians[scenarios[3], POLICY.name]
    outage = medians[scenarios[2], POLICY.name]["sent / answer"]
    share, ratio = overload["worst share of due"], overload["worst / median p99"]
    checks = [
        ("worst share of due at least 0.90", share >= 0.9, share),
        ("worst p99 at most 1.5 times the median", ratio <= 1.5, ratio),
        ("requests sent per answer at most 1.10", outage <= 1.1, outage),
    ]
    if shape.has_engines:
        calm, baseline = (medians["calm", p.name] for p in (POLICY, RANDOM))
        hit_ratio = calm["prefix hits"] / baseline["prefix hits"]
        is_balanced = calm["max / mean busy"] <= 1.05 * baseline["max / mean busy"]
        checks += [
            ("prefix hits at least twice those of random", hit_ratio >= 2, hit_ratio),
            ("balance within 5% of random", is_balanced, calm["max / mean busy"]),
        ]
    return [f"{'met' if ok else 'MISSED':6} {text}: {v:.2f}" for text, ok, v in checks]


def time_assignment(targets: int) -> str:
    """Return a line with the time to assign and release a target of a pool."""
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
        started = time.perf_counter()
        for n in range(ASSIGNMENT_COUNT):
            key = {"": "", "p": "p", "n": str(n)}[prefix]
            with dispatcher.assign(WorkRequest("p", "w", prefix=key)):
                pass
        times[name] = (time.perf_counter() - started) / ASSIGNMENT_COUNT * 1e6
    cells = ", ".join(f"{name} {value:.0f} us" for name, value in times.items())
    return f"assignment among {targets} targets: {cells}"


def main(arguments: list[str]) -> int:
    """Print tables of medians and ranges over the seeds."""
    seeds = int(arguments[0]) if arguments else 2
    started = time.perf_counter()
    for shape in POOL_SHAPES:
        medians = {}
        for scenario, policies in SCENARIOS.items():
            if not shape.has_engines and scenario == "one target lost":
                continue
            print(f"\n{shape.name}, {scenario}: median (least-most) of {seeds} seeds")
            for number, policy in enumerate(policies):
                if not shape.has_engines and policy in ENGINE_ONLY_POLICIES:
                    continue
                runs = [
                    summarize_run(PoolModel(shape, policy, scenario, seed).run())
                    for seed in range(1, seeds + 1)
                ]
                if not number:
                    print(f"| policy | {' | '.join(runs[0])} |")
                medians[scenario, policy.name] = print_row(policy.name, runs)
        print()
        print("\n".join(check_goals(shape, medians)))
    print()
    for targets in (5, 60, 400):
        print(time_assignment(targets))
    print(f"\nrun time {time.perf_counter() - started:.0f} s")
    return 0

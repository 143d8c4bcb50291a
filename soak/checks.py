"""Checks after a run: records of callers against logs of targets and platform."""

from collections import Counter
from typing import Any

import orjson

from .fleet_run import ENGINES, SERVICES, SoakRun

__all__ = ["check_run"]


def check_run(run: SoakRun) -> None:
    """Compare the records of all processes and record each violation of a promise."""
    service_logs = {name: run.fetch_target_log(name) for name in SERVICES}
    engine_logs = {name: run.fetch_target_log(name) for name in ENGINES}
    requests = [
        request for log in service_logs.values() if log for request in log["requests"]
    ]
    _check_calls(run, requests)
    _check_keys(run, {**service_logs, **engine_logs})
    _check_version_orders(run, engine_logs)
    _check_usage(run)
    _check_events(run)


def _check_calls(run: SoakRun, requests: list[dict[str, Any]]) -> None:
    executions = Counter(request["path"].rpartition("/")[2] for request in requests)
    results: dict[str, set[str]] = {}
    for call in run.calls:
        if call.kind != "generation":
            results.setdefault(call.id, set()).add(call.result)
        if call.result == "wrong":
            run.record_violation(9, f"{call} got the answer to another request")
        if call.result == "unmarked":
            run.record_violation(10, f"{call} was refused without an outcome header")
        if call.kind == "stranger" and call.result == "whole":
            run.record_violation(4, f"{call} ran with the key of another workspace")
    for call_id, seen_results in results.items():
        if executions[call_id] > 1:
            run.record_violation(
                11, f"{call_id} ran {executions[call_id]} times: {seen_results}"
            )
        if seen_results == {"not-run"} and executions[call_id]:
            run.record_violation(10, f"{call_id} was refused as not run, but it ran")
        if "whole" in seen_results and not executions[call_id]:
            run.record_violation(9, f"{call_id} has an answer, but it never ran")


def _check_keys(run: SoakRun, logs: dict[str, dict[str, Any] | None]) -> None:
    for name, log in logs.items():
        log_text = orjson.dumps(log).decode()
        for workspace, key in run.keys.items():
            if key in log_text:
                run.record_violation(5, f"{name} saw the key of {workspace}")
    for daemon in run.fleet.daemons:
        log_text = daemon.log_file.read_text(errors="replace")
        if any(key in log_text for key in run.keys.values()):
            run.record_violation(5, f"the log of {daemon.vm} contains a key")


def _check_version_orders(run: SoakRun, logs: dict[str, dict[str, Any] | None]) -> None:
    for name, log in logs.items():
        newest = 0
        for order in log["orders"] if log else ():
            if order["fencing"] < newest and order["accepted"]:
                run.record_violation(7, f"{name} accepted an order of a former holder")
            newest = max(newest, order["fencing"])


def _check_usage(run: SoakRun) -> None:
    reports = run.fetch_from_platform("/usage-log") or []
    figures_by_window: dict[str, bytes] = {}
    for report in reports:
        content = orjson.dumps(report["figures"], option=orjson.OPT_SORT_KEYS)
        if figures_by_window.setdefault(report["id"], content) != content:
            run.record_violation(
                8, f"window {report['id']} was reported with other figures"
            )
    windows = sorted(
        int(report_id.partition("/")[2]) for report_id in figures_by_window
    )
    if windows and windows != list(range(windows[0], windows[-1] + 1)):
        run.record_violation(8, f"windows are missing in {windows}")


def _check_events(run: SoakRun) -> None:
    for daemon in run.fleet.daemons:
        for line in daemon.log_file.read_bytes().splitlines():
            if b'"invariant_broken"' in line:
                run.record_violation(0, f"{daemon.vm}: {line.decode()}")

"""Checks of a whole run: callers' records against logs of targets and platform."""

from collections import Counter
from typing import Any

import orjson

from .scene import ENGINES, SERVICES, Scene

__all__ = ["check_run"]


def check_run(scene: Scene) -> None:
    """Compare what all sides saw and record what contradicts the promises."""
    service_logs = {name: scene.target_log(name) for name in SERVICES}
    engine_logs = {name: scene.target_log(name) for name in ENGINES}
    requests = [
        request for log in service_logs.values() if log for request in log["requests"]
    ]
    _check_calls(scene, requests)
    _check_keys(scene, {**service_logs, **engine_logs})
    _check_version_orders(scene, engine_logs)
    _check_usage(scene)
    _check_events(scene)


def _check_calls(scene: Scene, requests: list[dict[str, Any]]) -> None:
    runs = Counter(request["path"].rpartition("/")[2] for request in requests)
    results: dict[str, set[str]] = {}
    for call in scene.calls:
        if call.kind != "generation":
            results.setdefault(call.id, set()).add(call.result)
        if call.result == "wrong":
            scene.violate(9, f"{call} got another answer than its own")
        if call.result == "unmarked":
            scene.violate(10, f"{call} was refused without an outcome")
        if call.kind == "stranger" and call.result == "whole":
            scene.violate(4, f"{call} ran with the key of another workspace")
    for call_id, seen in results.items():
        if runs[call_id] > 1:
            scene.violate(11, f"{call_id} ran {runs[call_id]} times: {seen}")
        if seen == {"not-run"} and runs[call_id]:
            scene.violate(10, f"{call_id} was refused as not run, but it ran")
        if "whole" in seen and not runs[call_id]:
            scene.violate(9, f"{call_id} has an answer, but it never ran")


def _check_keys(scene: Scene, logs: dict[str, dict[str, Any] | None]) -> None:
    for name, log in logs.items():
        text = orjson.dumps(log).decode()
        for workspace, key in scene.keys.items():
            if key in text:
                scene.violate(5, f"{name} saw the key of {workspace}")
    for daemon in scene.fleet.daemons:
        text = daemon.log_file.read_text(errors="replace")
        if any(key in text for key in scene.keys.values()):
            scene.violate(5, f"the log of {daemon.vm} contains a key")


def _check_version_orders(scene: Scene, logs: dict[str, dict[str, Any] | None]) -> None:
    for name, log in logs.items():
        newest = 0
        for order in log["orders"] if log else ():
            if order["fencing"] < newest and order["accepted"]:
                scene.violate(7, f"{name} accepted an order of a former holder")
            newest = max(newest, order["fencing"])


def _check_usage(scene: Scene) -> None:
    reports = scene.platform("/usage-log") or []
    figures: dict[str, bytes] = {}
    for report in reports:
        content = orjson.dumps(report["figures"], option=orjson.OPT_SORT_KEYS)
        if figures.setdefault(report["id"], content) != content:
            scene.violate(8, f"window {report['id']} was reported with other figures")
    windows = sorted(int(report_id.partition("/")[2]) for report_id in figures)
    if windows and windows != list(range(windows[0], windows[-1] + 1)):
        scene.violate(8, f"windows are missing in {windows}")


def _check_events(scene: Scene) -> None:
    for daemon in scene.fleet.daemons:
        for line in daemon.log_file.read_bytes().splitlines():
            if b'"invariant_broken"' in line:
                scene.violate(0, f"{daemon.vm}: {line.decode()}")

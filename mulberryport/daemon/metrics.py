"""Gauges of a daemon, taken from its state when they are read."""

from collections.abc import Callable, Mapping
from typing import Any

from ..telemetry.metrics import Gauge, export_metrics

__all__ = ["render_metrics"]

# A daemon that never had a confirmation reports this age in seconds.
NEVER_S = 1e9

_gauges: dict[str, Gauge] = {}


def render_metrics(state: Mapping[str, Any]) -> tuple[bytes, str]:
    """Return all metrics after taking the gauges from a daemon's state.

    Parameters
    ----------
    state : mapping
        As the operator port shows it.
    """
    set_gauge = _set_gauge
    set_gauge("revision", "Revision in force.", state["revision"])
    age = min(state["confirmation_age"], NEVER_S)
    set_gauge("confirmation_age_seconds", "Age of the head's confirmation.", age)
    set_gauge("store_readable", "Whether the store answers.", state["store_readable"])
    set_gauge("keys_usable", "Whether keys are accepted.", state["keys_usable"])
    set_gauge("members", "Live members.", len(state["members"]))
    set_gauge("duties", "Duties held.", len(state["duties"]))
    for name, description, count in (
        ("targets_selectable", "Targets that may get work.", _is_selectable),
        ("targets_leaving", "Targets that are leaving.", lambda t: t["leaving"]),
        ("targets_in_flight", "Requests at targets.", lambda t: t["in_flight"]),
    ):
        for pool, total in _by_pool(state["targets"], count).items():
            set_gauge(name, description, total, pool=pool)
    set_gauge("steps_open", "Steps owned.", len(state["steps"]))
    remaining = sum(step["remaining"] for step in state["steps"])
    set_gauge("step_slots_remaining", "Samples not yet received.", remaining)
    return export_metrics()


def _is_selectable(target: Mapping[str, Any]) -> bool:
    return target["healthy"] and not target["leaving"]


def _by_pool(
    targets: list[dict[str, Any]], count: Callable[[Mapping[str, Any]], float]
) -> dict[str, float]:
    totals: dict[str, float] = {}
    for target in targets:
        pool = target["pool"]
        totals[pool] = totals.get(pool, 0) + count(target)
    return totals


def _set_gauge(name: str, description: str, value: float, **labels: str) -> None:
    gauge = _gauges.get(name)
    if gauge is None:
        gauge = _gauges[name] = Gauge(f"mulberryport_{name}", description)
    gauge.set(labels, float(value))

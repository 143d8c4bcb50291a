"""Gauges of a daemon, computed from its state at each scrape."""

from collections.abc import Callable, Collection, Mapping
from typing import Any

from ..telemetry.metrics import Gauge, export_metrics

__all__ = [
    "render_metrics",
    "set_crash_gauges",
    "set_evacuation_gauges",
    "set_rate_limit_gauges",
]

# Age that a daemon reports before its first confirmation, instead of infinity.
UNCONFIRMED_AGE_S = 1e9

RATE_LIMIT_GAUGE = "target_rate_limit"
RATE_LIMIT_DESCRIPTION = "Requests per second that a target takes; -1 after its limit."
EVACUATION_GAUGE = "zone_evacuated"
EVACUATION_DESCRIPTION = "Whether nothing more is sent to the targets of a zone."
_limited_targets: set[str] = set()
_evacuated_zones: set[str] = set()
_gauges: dict[str, Gauge] = {}


def render_metrics(state: Mapping[str, Any]) -> tuple[bytes, str]:
    """Set the gauges from a daemon's state; return all metrics and the content type.

    Parameters
    ----------
    state : mapping
        The state that the operator port serves at ``/state``.
    """
    set_gauge = _set_gauge
    set_gauge("revision", "Revision in force.", state["revision"])
    age = min(state["confirmation_age"], UNCONFIRMED_AGE_S)
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
        for pool, total in _total_by_pool(state["targets"], count).items():
            set_gauge(name, description, total, pool=pool)
    set_crash_gauges(len(state["blocked_requests"]), len(state["suspect_requests"]))
    set_gauge("steps_open", "Steps owned.", len(state["steps"]))
    remaining = sum(step["remaining"] for step in state["steps"])
    set_gauge("step_slots_remaining", "Samples not yet received.", remaining)
    return export_metrics()


def set_crash_gauges(blocked: int, suspect: int) -> None:
    """Set the gauges of the requests that crashed targets."""
    _set_gauge("blocked_requests", "Requests that are not sent to targets.", blocked)
    _set_gauge("suspect_requests", "Requests after a crash, not blocked.", suspect)


def set_rate_limit_gauges(limits: Mapping[str, float]) -> None:
    """Set the rate limits of targets, in requests per second by target."""
    for target in _limited_targets - limits.keys():
        _set_gauge(RATE_LIMIT_GAUGE, RATE_LIMIT_DESCRIPTION, -1.0, target=target)
    for target, limit in limits.items():
        _set_gauge(RATE_LIMIT_GAUGE, RATE_LIMIT_DESCRIPTION, limit, target=target)
        _limited_targets.add(target)


def set_evacuation_gauges(zones: Collection[str]) -> None:
    """Set which zones are evacuated."""
    for zone in _evacuated_zones | set(zones):
        is_evacuated = zone in zones
        _set_gauge(EVACUATION_GAUGE, EVACUATION_DESCRIPTION, is_evacuated, zone=zone)
    _evacuated_zones.update(zones)


def _is_selectable(target: Mapping[str, Any]) -> bool:
    return target["healthy"] and not target["leaving"]


def _total_by_pool(
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

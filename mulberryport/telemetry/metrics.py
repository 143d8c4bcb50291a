"""Metrics of this process, based on aioprometheus.

Metrics register themselves with the default registry of the library;
``export_metrics`` returns them in the Prometheus text format for the operator port.
Each numbered event is counted under its name in ``mulberryport_events_total``, so that
alerts can be defined on events.
"""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus import render as render_registry

__all__ = [
    "ANSWER_SECONDS",
    "CARRIED_TEXTS",
    "COMPLETE_GROUPS",
    "EVENTS",
    "EXPECTED_KEPT_TOKENS",
    "FULL_TARGET_REFUSALS",
    "HEDGES_HELD_BACK",
    "ITEM_MOVES",
    "LATE_STEPS",
    "LIMITED_TARGET_REQUESTS",
    "LONG_TURN_SECONDS",
    "NO_ROOM_REFUSALS",
    "RATE_LIMIT_REFUSALS",
    "SAMPLE_STALENESS",
    "SPEED_ERROR_RATIO",
    "TARGET_CHOICES",
    "Counter",
    "Gauge",
    "Histogram",
    "export_metrics",
]

EVENTS = Counter("mulberryport_events_total", "Events by name and level.")
ANSWER_SECONDS = Histogram(
    "mulberryport_answer_seconds",
    "Seconds from a request to the end of its answer, by route and outcome.",
    buckets=[0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100],
)
CARRIED_TEXTS = Counter(
    "mulberryport_carried_texts_total",
    "Texts of ended jobs whose items came again, by what became of them: finished, "
    "partial, unfit.",
)
COMPLETE_GROUPS = Counter(
    "mulberryport_complete_groups_total",
    "Groups of batch jobs whose items all have a result, by workspace.",
)
LATE_STEPS = Counter(
    "mulberryport_late_steps_total",
    "Batch jobs whose wanted groups were complete only after their due time, by "
    "workspace.",
)
LONG_TURN_SECONDS = Histogram(
    "mulberryport_long_turn_seconds",
    "Seconds for which green threads kept the event loop from running, from 20 ms.",
    buckets=[0.05, 0.1, 0.25, 0.5, 1, 2.5, 5],
)
LIMITED_TARGET_REQUESTS = Counter(
    "mulberryport_limited_target_requests_total",
    "Requests to targets that name a rate limit, by target and purpose.",
)
RATE_LIMIT_REFUSALS = Counter(
    "mulberryport_rate_limit_refusals_total",
    "Requests refused because of the rate limits of all targets of a pool.",
)
ITEM_MOVES = Counter(
    "mulberryport_item_moves_total",
    "Texts that moved to another engine, by pool and reason.",
)
SPEED_ERROR_RATIO = Histogram(
    "mulberryport_event_interval_ratio",
    "Measured time between two events relative to the expected, by pool.",
    buckets=[0.25, 0.5, 0.7, 0.85, 1, 1.15, 1.4, 2, 4],
)
EXPECTED_KEPT_TOKENS = Counter(
    "mulberryport_expected_kept_tokens_total",
    "Tokens of prompts that the chosen target was expected to keep, by pool.",
)
TARGET_CHOICES = Counter(
    "mulberryport_target_choices_total",
    "Requests to pools of uneven targets, by pool and by what decided for the target: "
    "prefix, speed or room.",
)
FULL_TARGET_REFUSALS = Counter(
    "mulberryport_full_target_refusals_total",
    "Requests that targets refused because they were full, by pool and purpose.",
)
NO_ROOM_REFUSALS = Counter(
    "mulberryport_no_room_refusals_total",
    "Requests refused because no slot was expected before their deadline, by pool.",
)
HEDGES_HELD_BACK = Counter(
    "mulberryport_hedges_held_back_total",
    "Copies of running requests that were not started, by pool.",
)
SAMPLE_STALENESS = Histogram(
    "mulberryport_sample_staleness_versions",
    "Weight versions by which delivered samples were behind, by workspace.",
    buckets=[0, 1, 2, 3, 4, 6, 8],
)


def export_metrics() -> tuple[bytes, str]:
    """Return all metrics in the text format and its content type."""
    content, headers = render_registry(REGISTRY, ["text/plain"])
    return content, headers["Content-Type"]

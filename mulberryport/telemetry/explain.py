"""What the logs say about one request, job or item."""

from collections.abc import Iterable
from typing import Any

__all__ = ["entries_about", "explain"]

# Fields that name what an entry is about.
ID_FIELDS = ("request", "job", "item")
# Events that end a request, an item or a job, the most telling first.
ENDS = (
    "request_refused",
    "request_unknown",
    "request_ended_early",
    "item_given_up",
    "job_not_accepted",
    "job_ownership_lost",
    "job_ended",
    "request_served",
    "results_listed",
)


def entries_about(
    entries: Iterable[dict[str, Any]], identity: str
) -> list[dict[str, Any]]:
    """Return the entries that name an id, in their order.

    Examples
    --------
    >>> entries = [{"event": "a", "request": "r1"}, {"event": "b", "job": "j1"}]
    >>> entries_about(entries, "r1")
    [{'event': 'a', 'request': 'r1'}]
    """
    return [
        entry
        for entry in entries
        if any(entry.get(name) == identity for name in ID_FIELDS)
    ]


def explain(entries: list[dict[str, Any]]) -> str:
    """Return in a line which decision ended a request, and why.

    Parameters
    ----------
    entries : list of dict
        Entries about one id, in order.

    Examples
    --------
    >>> explain([{"event": "request_refused", "vm": "vm1", "status": 503,
    ...           "reason": "the queue of pool desk is full"}])
    'request_refused at vm1: status=503 reason=the queue of pool desk is full'
    >>> explain([])
    'no entry names this id'
    """
    if not entries:
        return "no entry names this id"
    by_event = {entry["event"]: entry for entry in entries}
    name = next((name for name in ENDS if name in by_event), entries[-1]["event"])
    entry = by_event[name]
    shown = ("status", "reason", "error", "target", "listed", "total")
    details = " ".join(f"{key}={entry[key]}" for key in shown if key in entry)
    return f"{name} at {entry.get('vm', '?')}: {details}".rstrip(": ")

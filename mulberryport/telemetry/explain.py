"""Explanation of the outcome of one request, job or item from log entries."""

from collections.abc import Iterable
from typing import Any

__all__ = ["entries_with_id", "explain"]

# Fields with the id of the request, job or item that an entry refers to.
ID_FIELDS = ("request", "job", "item")
# Events that end a request, an item or a job, the most specific first.
FINAL_EVENTS = (
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


def entries_with_id(
    entries: Iterable[dict[str, Any]], entity_id: str
) -> list[dict[str, Any]]:
    """Return the entries that refer to an id, in their order.

    Examples
    --------
    >>> entries = [{"event": "a", "request": "r1"}, {"event": "b", "job": "j1"}]
    >>> entries_with_id(entries, "r1")
    [{'event': 'a', 'request': 'r1'}]
    """
    return [
        entry
        for entry in entries
        if any(entry.get(field) == entity_id for field in ID_FIELDS)
    ]


def explain(entries: list[dict[str, Any]]) -> str:
    """Return one line with the event that ended a request, job or item, and the reason.

    Parameters
    ----------
    entries : list of dict
        Entries that refer to one id, in order.

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
    entries_by_event = {entry["event"]: entry for entry in entries}
    event = next(
        (event for event in FINAL_EVENTS if event in entries_by_event),
        entries[-1]["event"],
    )
    entry = entries_by_event[event]
    detail_fields = ("status", "reason", "error", "target", "listed", "total")
    details = " ".join(f"{key}={entry[key]}" for key in detail_fields if key in entry)
    return f"{event} at {entry.get('vm', '?')}: {details}".rstrip(": ")

"""The timeline: log entries of several processes in causal order."""

import heapq
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import orjson

from .clock import COUNTER_BITS

__all__ = ["merge_entries", "read_log_file", "render_entry"]

NON_DETAIL_FIELDS = ("clock", "vm", "number", "event", "level", "pid")


def read_log_file(path: str) -> list[dict[str, Any]]:
    """Return the entries of a log file, sorted by timestamp.

    Lines that are not complete entries, such as the last line of a killed process,
    are skipped.
    """
    entries = []
    with open(path, "rb") as file:
        for line in file:
            # Log collectors may prefix each line with the time and the VM.
            try:
                entry = orjson.loads(line[max(0, line.find(b"{")) :])
            except orjson.JSONDecodeError:
                continue
            if isinstance(entry, dict) and isinstance(entry.get("clock"), int):
                entries.append(entry)
    return sorted(entries, key=lambda entry: entry["clock"])


def merge_entries(logs: Iterable[Iterable[dict[str, Any]]]) -> Iterator[dict[str, Any]]:
    """Yield the entries of several sorted logs in order of their timestamps.

    Examples
    --------
    >>> logs = [[{"clock": 1}, {"clock": 4}], [{"clock": 2}]]
    >>> [entry["clock"] for entry in merge_entries(logs)]
    [1, 2, 4]
    """
    return heapq.merge(*logs, key=lambda entry: entry["clock"])


def render_entry(entry: dict[str, Any], as_json: bool) -> str:
    """Return an entry as one line of text or JSON."""
    if as_json:
        return orjson.dumps(entry).decode()
    seconds = (entry["clock"] >> COUNTER_BITS) / 1000
    timestamp = datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(
        f"{k}={v}" for k, v in entry.items() if k not in NON_DETAIL_FIELDS
    )
    return f"{timestamp} {entry['vm']:12} {entry['number']:4} {entry['event']} {fields}"

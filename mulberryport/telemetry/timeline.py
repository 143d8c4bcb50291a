"""The time line: events of all processes in causal order."""

import heapq
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import orjson

from .clock import COUNTER_BITS

__all__ = ["merge_entries", "read_log_file", "render_entry"]

SHOWN_FIRST = ("clock", "vm", "number", "event", "level", "pid")


def read_log_file(path: str) -> list[dict[str, Any]]:
    """Return the entries of a log file in order of their clock.

    A line that is not an entry, such as the last one of a killed process, is
    skipped.
    """
    entries = []
    with open(path, "rb") as file:
        for line in file:
            # What collects logs may put the time and the VM before each line.
            try:
                entry = orjson.loads(line[max(0, line.find(b"{")) :])
            except orjson.JSONDecodeError:
                continue
            if isinstance(entry, dict) and isinstance(entry.get("clock"), int):
                entries.append(entry)
    return sorted(entries, key=lambda entry: entry["clock"])


def merge_entries(logs: Iterable[Iterable[dict[str, Any]]]) -> Iterator[dict[str, Any]]:
    """Yield the entries of several logs, each in order, as one time line.

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
    stamp = datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(f"{k}={v}" for k, v in entry.items() if k not in SHOWN_FIRST)
    return f"{stamp} {entry['vm']:12} {entry['number']:4} {entry['event']} {fields}"

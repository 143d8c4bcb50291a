"""The figures of a window: what is frozen, and what is carried from older ones.

A frozen window keeps, beside its report, how much of each counter has been
reported with it. A later window reports only what its counters hold beyond that,
so that late usage is reported once, whoever the reporter is by then. All
functions are pure.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import orjson
import xxhash
from attrs import asdict, astuple, frozen

from .counters import CounterKey, Figures, merge_counters

__all__ = [
    "LATE_WINDOWS",
    "FrozenWindow",
    "counted_so_far",
    "decode_window",
    "encode_window",
    "freeze_window",
    "report_digest",
]

# Usage that arrives this many windows late is still reported. A new reporter
# reads as many frozen windows; 30 of 60 s cover regions that lost contact for
# half an hour.
LATE_WINDOWS = 30


@frozen
class FrozenWindow:
    """A window whose figures do not change any more.

    Parameters
    ----------
    report : bytes
        The report as it is sent.
    digest : str
        Digest of the report.
    counted : mapping of CounterKey to Figures
        How much of each counter was reported up to this window, for the counters
        that it reports.
    """

    report: bytes
    digest: str
    counted: Mapping[CounterKey, Figures]


def report_digest(report: bytes) -> str:
    """Return the digest by which one version of a report is told from another."""
    return xxhash.xxh3_128_hexdigest(report)


def freeze_window(
    shard: int,
    window: int,
    window_length: int,
    counters: Mapping[CounterKey, Figures],
    counted: Mapping[CounterKey, Figures],
) -> FrozenWindow:
    """Return what a window reports.

    Parameters
    ----------
    shard, window : int
        Which window is frozen.
    window_length : int
        Seconds of a window.
    counters : mapping of CounterKey to Figures
        All counters of the shard that are known.
    counted : mapping of CounterKey to Figures
        What the windows before reported, from ``counted_so_far``.
    """
    totals: dict[tuple[int, str, str], Figures] = defaultdict(Figures)
    reported: dict[CounterKey, Figures] = {}
    for key, figures in counters.items():
        if not window - LATE_WINDOWS <= key.window <= window:
            continue
        before = counted.get(key, Figures())
        added = _beyond(figures, before)
        if added != Figures():
            totals[key.window, key.workspace, key.pool] += added
            reported[key] = before + added
    content = {
        "shard": shard,
        "window": window,
        "window_length": window_length,
        "figures": [
            {"workspace": workspace, "pool": pool, **asdict(figures)}
            for (of, workspace, pool), figures in sorted(totals.items())
            if of == window
        ],
        "carried": [
            {"window": of, "workspace": workspace, "pool": pool, **asdict(figures)}
            for (of, workspace, pool), figures in sorted(totals.items())
            if of != window
        ],
    }
    report = orjson.dumps(content)
    return FrozenWindow(report, report_digest(report), reported)


def counted_so_far(windows: Iterable[FrozenWindow]) -> dict[CounterKey, Figures]:
    """Return how much of each counter some frozen windows reported together."""
    counted: dict[CounterKey, Figures] = {}
    for window in windows:
        merge_counters(counted, window.counted.items())
    return counted


def encode_window(window: FrozenWindow) -> bytes:
    """Return a frozen window as it is kept in the store."""
    return orjson.dumps(
        {
            "report": window.report.decode(),
            "digest": window.digest,
            "counted": [
                [*astuple(key), *astuple(figures)]
                for key, figures in window.counted.items()
            ],
        }
    )


def decode_window(content: bytes) -> FrozenWindow:
    """Return a frozen window from its form in the store.

    Raises
    ------
    ValueError
        The content does not have this form.
    """
    try:
        values: dict[str, Any] = orjson.loads(content)
        counted = {
            CounterKey(*entry[:5]): Figures(*entry[5:]) for entry in values["counted"]
        }
        return FrozenWindow(values["report"].encode(), values["digest"], counted)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a frozen usage window: {error!r}") from error


def _beyond(figures: Figures, before: Figures) -> Figures:
    return Figures(
        max(0, figures.requests - before.requests),
        max(0, figures.tokens - before.tokens),
        max(0, figures.samples - before.samples),
    )

"""Frozen usage windows and late usage that is carried over from earlier windows.

A frozen window keeps its report and, for each counter in it, the amounts reported so
far. A later window reports only what its counters hold beyond those amounts, so late
usage is reported exactly once even if the reporter changes. All functions are pure.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import orjson
import xxhash
from attrs import asdict, astuple, frozen

from .counters import CounterKey, UsageAmounts, merge_counters

__all__ = [
    "MAX_LATE_WINDOWS",
    "FrozenWindow",
    "reported_amounts",
    "decode_window",
    "encode_window",
    "freeze_window",
    "report_digest",
]

# Usage that arrives up to this many windows late is still reported. A new reporter
# reads the same number of frozen windows; 30 windows of 60 s cover regions that were
# disconnected for half an hour.
MAX_LATE_WINDOWS = 30


@frozen
class FrozenWindow:
    """A window whose reported amounts are final.

    Parameters
    ----------
    report : bytes
        Serialized report, exactly as it is sent.
    digest : str
        Digest of the report.
    reported : mapping of CounterKey to UsageAmounts
        Amounts reported up to and including this window, for each counter in its
        report.
    """

    report: bytes
    digest: str
    reported: Mapping[CounterKey, UsageAmounts]


def report_digest(report: bytes) -> str:
    """Return the digest that distinguishes versions of a report."""
    return xxhash.xxh3_128_hexdigest(report)


def freeze_window(
    shard: int,
    window: int,
    window_length_s: int,
    counters: Mapping[CounterKey, UsageAmounts],
    previously_reported: Mapping[CounterKey, UsageAmounts],
) -> FrozenWindow:
    """Compute the report of a window.

    Parameters
    ----------
    shard, window : int
        Shard and number of the window.
    window_length_s : int
        Length of a window in seconds.
    counters : mapping of CounterKey to UsageAmounts
        All known counters of the shard.
    previously_reported : mapping of CounterKey to UsageAmounts
        Amounts that earlier windows reported, from ``reported_amounts``.
    """
    totals: dict[tuple[int, str, str], UsageAmounts] = defaultdict(UsageAmounts)
    reported: dict[CounterKey, UsageAmounts] = {}
    for key, amounts in counters.items():
        if not window - MAX_LATE_WINDOWS <= key.window <= window:
            continue
        previous = previously_reported.get(key, UsageAmounts())
        added = _unreported_amounts(amounts, previous)
        if added != UsageAmounts():
            totals[key.window, key.workspace, key.pool] += added
            reported[key] = previous + added
    content = {
        "shard": shard,
        "window": window,
        "window_length": window_length_s,
        "figures": [
            {"workspace": workspace, "pool": pool, **asdict(amounts)}
            for (usage_window, workspace, pool), amounts in sorted(totals.items())
            if usage_window == window
        ],
        "carried": [
            {
                "window": usage_window,
                "workspace": workspace,
                "pool": pool,
                **asdict(amounts),
            }
            for (usage_window, workspace, pool), amounts in sorted(totals.items())
            if usage_window != window
        ],
    }
    report = orjson.dumps(content)
    return FrozenWindow(report, report_digest(report), reported)


def reported_amounts(windows: Iterable[FrozenWindow]) -> dict[CounterKey, UsageAmounts]:
    """Return the amounts of each counter that the given windows reported."""
    counted: dict[CounterKey, UsageAmounts] = {}
    for window in windows:
        merge_counters(counted, window.reported.items())
    return counted


def encode_window(window: FrozenWindow) -> bytes:
    """Serialize a frozen window for the store."""
    return orjson.dumps(
        {
            "report": window.report.decode(),
            "digest": window.digest,
            "counted": [
                [*astuple(key), *astuple(amounts)]
                for key, amounts in window.reported.items()
            ],
        }
    )


def decode_window(content: bytes) -> FrozenWindow:
    """Deserialize a frozen window from the store.

    Raises
    ------
    ValueError
        The content is not a serialized window.
    """
    try:
        values: dict[str, Any] = orjson.loads(content)
        counted = {
            CounterKey(*entry[:5]): UsageAmounts(*entry[5:])
            for entry in values["counted"]
        }
        return FrozenWindow(values["report"].encode(), values["digest"], counted)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a frozen usage window: {error!r}") from error


def _unreported_amounts(amounts: UsageAmounts, previous: UsageAmounts) -> UsageAmounts:
    return UsageAmounts(
        max(0, amounts.requests - previous.requests),
        max(0, amounts.tokens - previous.tokens),
        max(0, amounts.samples - previous.samples),
    )

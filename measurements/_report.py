"""Summary statistics and tables of printed results."""

import statistics
from collections.abc import Iterable, Sequence

__all__ = ["format_median_and_range", "print_table", "quantile"]


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which the given fraction of the values lies.

    Examples
    --------
    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def format_median_and_range(values: Sequence[float]) -> str:
    """Return the median of several runs with their minimum and maximum."""
    return f"{statistics.median(values):.3g} ({min(values):.3g}..{max(values):.3g})"


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows as a Markdown table."""
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)

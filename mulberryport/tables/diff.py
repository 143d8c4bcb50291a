"""Differences between two versions of the tables."""

import difflib

from .model import Tables
from .text import render_tables

__all__ = ["diff_tables"]


def diff_tables(old: Tables, new: Tables, old_name: str, new_name: str) -> list[str]:
    """Return a unified diff of two versions of the tables, without keys.

    Examples
    --------
    >>> diff_tables(Tables(), Tables(), "a", "b")
    []
    """
    lines = difflib.unified_diff(
        render_tables(old).splitlines(),
        render_tables(new).splitlines(),
        old_name,
        new_name,
        lineterm="",
    )
    return list(lines)

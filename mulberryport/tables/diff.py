"""Differences between two versions of the configuration tables."""

import difflib

from .model import Tables
from .text import render_tables

__all__ = ["diff_tables", "withdrawn_keys"]


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


def withdrawn_keys(old: Tables, new: Tables) -> frozenset[str]:
    """Return the digests of keys that were removed or moved to another workspace.

    Examples
    --------
    >>> from .model import KeyRecord
    >>> old = Tables(keys={"aa": KeyRecord("aa", "roads")})
    >>> withdrawn_keys(old, Tables())
    frozenset({'aa'})
    >>> withdrawn_keys(old, old)
    frozenset()
    """
    # The set difference of dictionary views avoids a Python loop over all keys.
    changed = old.keys.items() - new.keys.items()
    return frozenset(digest for digest, _ in changed)

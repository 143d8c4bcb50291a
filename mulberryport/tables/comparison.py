"""Differences between two versions of the tables, entry by entry."""

from collections.abc import Mapping
from typing import Any

from attrs import asdict, frozen

from .model import Tables

__all__ = ["Difference", "compare_tables"]

ADDED, REMOVED, CHANGED = "added", "removed", "changed"
SECTIONS = ("workspaces", "routes", "pools")


@frozen
class Difference:
    """One entry, or one value of an entry, that differs.

    Parameters
    ----------
    kind : {'added', 'removed', 'changed'}
        What happens to it.
    section, key : str
        Place; the key is empty if the whole entry was added or removed.
    before, after : object
        The values; None for whole entries.
    """

    kind: str
    section: str
    key: str = ""
    before: Any = None
    after: Any = None

    def __str__(self) -> str:
        """Return the difference on one line."""
        place = f"[{self.section}] {self.key}".strip()
        if self.kind != CHANGED:
            return f"{self.kind}: {place}"
        return f"{self.kind}: {place}: {self.before!r} becomes {self.after!r}"


def compare_tables(old: Tables, new: Tables) -> list[Difference]:
    """Return what differs in new tables; keys are named by their short ids only.

    Examples
    --------
    >>> from .model import Workspace
    >>> old = Tables(workspaces={"roads": Workspace(name="roads")})
    >>> new = Tables(workspaces={"roads": Workspace(name="roads", weight=2.0)})
    >>> [str(difference) for difference in compare_tables(old, new)]
    ['changed: [workspace roads] weight: 1.0 becomes 2.0']
    """
    differences: list[Difference] = []
    for section in SECTIONS:
        kind = section.removesuffix("s")
        differences += _compare_entries(
            kind, getattr(old, section), getattr(new, section)
        )
    differences += _compare_values("limits", asdict(old.limits), asdict(new.limits))
    for digest in sorted(new.keys.keys() - old.keys.keys()):
        record = new.keys[digest]
        place = f"workspace {record.workspace}"
        differences.append(Difference(ADDED, place, f"key {record.key_id}"))
    for digest in sorted(old.keys.keys() - new.keys.keys()):
        record = old.keys[digest]
        place = f"workspace {record.workspace}"
        differences.append(Difference(REMOVED, place, f"key {record.key_id}"))
    for digest in sorted(old.keys.keys() & new.keys.keys()):
        before, after = old.keys[digest], new.keys[digest]
        if before.workspace != after.workspace:
            place = f"key {after.key_id}"
            differences.append(
                Difference(
                    CHANGED, place, "workspace", before.workspace, after.workspace
                )
            )
    return differences


def _compare_entries(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> list[Difference]:
    differences = [
        *(Difference(ADDED, f"{kind} {name}") for name in new if name not in old),
        *(Difference(REMOVED, f"{kind} {name}") for name in old if name not in new),
    ]
    for name in (name for name in new if name in old):
        before, after = (asdict(entries[name]) for entries in (old, new))
        differences += _compare_values(f"{kind} {name}", before, after)
    return differences


def _compare_values(
    section: str, before: dict[str, Any], after: dict[str, Any]
) -> list[Difference]:
    return [
        Difference(CHANGED, section, key.replace("_", "-"), before[key], value)
        for key, value in after.items()
        if before[key] != value
    ]

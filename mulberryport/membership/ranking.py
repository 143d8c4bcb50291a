"""Rendezvous hashing: a stable ranking of members for each key.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998. When a member leaves, only the keys that it owned change owner.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

import xxhash

__all__ = ["rendezvous_order", "rendezvous_score"]


class HasVm(Protocol):
    """An object with the id of a VM."""

    @property
    def vm(self) -> str:
        """Id of the VM."""


T = TypeVar("T", bound=HasVm)


def rendezvous_score(key: str, name: str) -> int:
    """Return the 64-bit score of a name for a key; the highest score owns the key.

    Examples
    --------
    >>> rendezvous_score("step", "vm1") == rendezvous_score("step", "vm1")
    True
    """
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())


def rendezvous_order(key: str, members: Iterable[T]) -> list[T]:
    """Return members by descending score for a key; the first one owns it."""
    return sorted(
        members, key=lambda member: rendezvous_score(key, member.vm), reverse=True
    )

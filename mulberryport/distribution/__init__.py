"""Distribution of accepted revisions, and whether keys can be trusted here."""

from .cleanup import CLEANUP_PERIOD_S, ShardCleanup
from .freshness import FleetView, keys_usable
from .service import Distribution

__all__ = [
    "CLEANUP_PERIOD_S",
    "Distribution",
    "FleetView",
    "ShardCleanup",
    "keys_usable",
]

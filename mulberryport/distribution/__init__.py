"""Distribution of accepted revisions, and whether keys can be trusted here."""

from .freshness import FleetView, keys_usable
from .service import Distribution

__all__ = ["Distribution", "FleetView", "keys_usable"]

"""Weight versions: announcements by trainers, and orders to engines to load them."""

from .service import WeightService

__all__ = ["WeightService"]

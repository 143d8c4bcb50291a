"""Weight versions: announcements by trainers and load orders to engines."""

from .service import WeightService

__all__ = ["WeightService"]

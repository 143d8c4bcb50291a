"""Target orders: sizing policy, intents in the store and orders to the platform."""

from .demand import DemandBoard
from .plan import Planner
from .service import OrderService

__all__ = ["DemandBoard", "OrderService", "Planner"]

"""Target orders: sizing policy, stored intents and orders to the platform."""

from .demand import DemandTracker
from .plan import CapacityPlanner
from .service import OrderService

__all__ = ["DemandTracker", "OrderService", "CapacityPlanner"]

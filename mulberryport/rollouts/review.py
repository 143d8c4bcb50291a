"""What changes of the tables, and silence of a trainer, mean for open steps."""

from ..runtime.clock import boottime
from ..tables import Tables
from ..tables.model import ALL_WORKSPACES
from .model import StepSpec
from .owned import OwnedSteps

__all__ = ["review_steps", "route_pool"]

# A trainer's optimiser step between two pulls takes minutes; this is well above.
ABANDONED_AFTER_S = 900.0


def review_steps(steps: OwnedSteps, tables: Tables) -> None:
    """Close abandoned steps and those of withdrawn routes; follow pool changes."""
    for owned in steps.all():
        spec = owned.step.spec
        pool = route_pool(spec, tables)
        if pool is None:
            steps.close(spec.id, f"route {spec.route} was withdrawn")
        elif boottime() - owned.step.touched_at > ABANDONED_AFTER_S:
            steps.close(spec.id, "abandoned by its trainer")
        else:
            owned.runner.pool = pool


def route_pool(spec: StepSpec, tables: Tables) -> str | None:
    """Return the pool that a step's route has now, None if it was withdrawn."""
    route = tables.routes.get(spec.route)
    if route is None or route.pool not in tables.pools:
        return None
    admitted = route.open or ALL_WORKSPACES in route.workspaces
    if not admitted and spec.id.workspace not in route.workspaces:
        return None
    return route.pool

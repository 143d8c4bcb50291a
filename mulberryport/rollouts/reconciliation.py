"""Reconciliation of open steps with the tables, and closing of abandoned steps."""

from ..runtime.clock import boottime
from ..tables import Tables
from ..tables.model import ALL_WORKSPACES
from .model import StepSpec
from .owned import OwnedSteps

__all__ = ["reconcile_steps", "route_pool"]

# Well above the minutes that a trainer's optimizer step between two pulls takes.
ABANDONED_AFTER_S = 900.0


def reconcile_steps(steps: OwnedSteps, tables: Tables) -> None:
    """Close abandoned steps and those of withdrawn routes; apply pool changes."""
    for owned_step in steps.all():
        spec = owned_step.step.spec
        pool = route_pool(spec, tables)
        if pool is None:
            steps.close(spec.id, f"route {spec.route} was withdrawn")
        elif boottime() - owned_step.step.last_activity_at > ABANDONED_AFTER_S:
            steps.close(spec.id, "abandoned by its trainer")
        else:
            owned_step.runner.pool = pool


def route_pool(spec: StepSpec, tables: Tables) -> str | None:
    """Return the current pool of a step's route, or None if access was withdrawn."""
    route = tables.routes.get(spec.route)
    if route is None or route.pool not in tables.pools:
        return None
    is_open_to_all = route.open or ALL_WORKSPACES in route.workspaces
    if not is_open_to_all and spec.id.workspace not in route.workspaces:
        return None
    return route.pool

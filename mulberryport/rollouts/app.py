"""HTTP interface for trainers on the caller port.

``PUT /v1/steps/<trainer>/<step>`` opens a step, ``POST .../pull`` returns samples,
``DELETE`` closes it, and ``POST /v1/weights/<pool>`` announces a weight version.
"""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import define

from ..gateway.access import Access, authorize
from ..gateway.credentials import find_credential
from ..gateway.headers import request_headers
from ..gateway.refusals import OutcomeUnknownError, RefusalError
from ..outcomes import Done, NotDone
from ..runtime.wsgi import BadRequestError, StartResponse, read_json, respond
from ..tables import MODEL_ENGINE, PLAIN_SERVICE, SnapshotHolder, Tables
from ..weights import WeightService
from .messages import sample_to_json
from .model import StepId, StepSpec
from .requests import (
    parse_pull,
    parse_received,
    parse_spec,
    parse_step_id,
    parse_version,
    require_object,
)
from .service import RolloutService
from .step import InvalidPullError

__all__ = ["TrainerInterface"]


@define(eq=False)
class TrainerInterface:
    """WSGI application for trainers; raises refusals that the gateway answers."""

    holder: SnapshotHolder
    rollouts: RolloutService
    weights: WeightService
    keys_usable: Callable[[], bool]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        try:
            match (method, parts):
                case ("PUT", ["v1", "steps", trainer, step]):
                    handle = self._open
                case ("POST", ["v1", "steps", trainer, step, "pull"]):
                    handle = self._pull
                case ("DELETE", ["v1", "steps", trainer, step]):
                    handle = self._close
                case ("POST", ["v1", "weights", pool]):
                    body = require_object(read_json(environ))
                    status, result = self._announce(environ, body, pool)
                    return respond(start_response, status, result)
                case _:
                    raise RefusalError(404, "no such path in the trainers' interface")
            body = require_object(read_json(environ))
            access = self._authorize(environ, body)
            step_id = parse_step_id(access.workspace, trainer, step)
            status, result = handle(body, access, step_id)
            return respond(start_response, status, result)
        except (BadRequestError, InvalidPullError) as error:
            raise RefusalError(400, f"malformed request: {error}") from error

    def _open(
        self, body: dict[str, Any], access: Access, step_id: StepId
    ) -> tuple[int, Any]:
        spec = self._parse_step_spec(body, access, step_id)
        outcome = self.rollouts.open(spec, parse_received(body))
        if isinstance(outcome, NotDone):
            raise RefusalError(503, outcome.reason)
        if not isinstance(outcome, Done):
            raise OutcomeUnknownError(502, outcome.reason)
        if outcome.value.conflict:
            raise RefusalError(
                409, f"step {step_id.key} is open with another specification"
            )
        return 200, {"slots": spec.slot_count}

    def _parse_step_spec(
        self, body: dict[str, Any], access: Access, step_id: StepId
    ) -> StepSpec:
        tables = self.holder.snapshot.tables
        pool = tables.pools[access.route.pool]
        if pool.kind != MODEL_ENGINE:
            raise RefusalError(400, f"route {access.route.name} has no model engines")
        spec = parse_spec(body, step_id, access.route.name, pool.name)
        if spec.scoring_route:
            scoring = tables.routes.get(spec.scoring_route)
            if scoring is None:
                raise RefusalError(
                    400, f"scoring route {spec.scoring_route!r} does not exist"
                )
            if tables.pools[scoring.pool].kind != PLAIN_SERVICE:
                raise RefusalError(
                    400, f"scoring route {scoring.name} has no plain service"
                )
            self._check_route_access(tables, access, scoring.name)
        return spec

    def _check_route_access(
        self, tables: Tables, access: Access, route_name: str
    ) -> None:
        """Raise a refusal if the workspace has no access to another route."""
        route = tables.routes[route_name]
        if not (
            route.open
            or "*" in route.workspaces
            or access.workspace in route.workspaces
        ):
            raise RefusalError(
                403, f"the key's workspace has no access to {route.name}"
            )

    def _pull(
        self, body: dict[str, Any], access: Access, step_id: StepId
    ) -> tuple[int, Any]:
        request = parse_pull(body)
        outcome = self.rollouts.pull(
            step_id,
            request.weight_version,
            request.received,
            request.wait,
            request.limit,
        )
        if not isinstance(outcome, Done):
            # A pull is idempotent, so it can always be retried after a lost response.
            raise RefusalError(503, outcome.reason)
        result = outcome.value
        if result.superseded:
            raise RefusalError(503, "a newer pull of the step took its place")
        return 200 if result.known else 404, {
            "known": result.known,
            "remaining": result.remaining,
            "samples": [sample_to_json(sample) for sample in result.samples],
        }

    def _close(
        self, body: dict[str, Any], access: Access, step_id: StepId
    ) -> tuple[int, Any]:
        self.rollouts.close(step_id)
        return 200, {}

    def _announce(
        self, environ: dict[str, Any], body: dict[str, Any], pool: str
    ) -> tuple[int, Any]:
        access = self._authorize(environ, body)
        if access.route.pool != pool:
            raise RefusalError(403, f"route {access.route.name} has another pool")
        version = parse_version(body, "version")
        if not version:
            raise BadRequestError("weight versions start with 1")
        outcome = self.weights.announce(pool, version)
        if isinstance(outcome, NotDone):
            raise RefusalError(503, outcome.reason)
        if not isinstance(outcome, Done):
            raise OutcomeUnknownError(502, outcome.reason)
        return 200, {"version": outcome.value}

    def _authorize(self, environ: dict[str, Any], body: dict[str, Any]) -> Access:
        route_name = body.get("route")
        if not isinstance(route_name, str):
            raise BadRequestError("route must be text")
        if not self.holder.snapshot.revision:
            raise RefusalError(503, "no configuration was received yet")
        tables: Tables = self.holder.snapshot.tables
        route = tables.routes.get(route_name)
        if route is None:
            raise RefusalError(404, f"route {route_name[:80]!r} does not exist")
        query = environ.get("QUERY_STRING", "")
        key = find_credential(request_headers(environ), query)
        access = authorize(tables, route, key, self.keys_usable())
        if not access.workspace:
            raise RefusalError(401, "trainers need a key")
        return access

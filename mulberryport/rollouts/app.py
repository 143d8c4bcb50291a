"""The trainers' interface on the caller port.

``PUT /v1/steps/<trainer>/<step>`` opens a step, ``POST .../pull`` returns samples,
``DELETE`` closes it, and ``POST /v1/weights/<pool>`` announces a weight version.
"""

import base64
import binascii
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define

from ..gateway.access import Access, authorize
from ..gateway.credentials import find_credential
from ..gateway.headers import request_headers
from ..gateway.refusals import OutcomeUnknownError, RefusalError
from ..outcomes import Done, NotDone
from ..runtime.wsgi import BadRequestError, StartResponse, read_json, respond
from ..tables import MODEL_ENGINE, SnapshotHolder, Tables
from ..weights import WeightService
from .messages import sample_to_json
from .model import GroupSpec, StepId, StepSpec
from .service import RolloutService

__all__ = ["TrainerInterface"]

MAX_SLOTS = 65536
DEFAULT_LIMIT = 256


@define(eq=False)
class TrainerInterface:
    """Serves trainers; errors are raised as refusals for the gateway."""

    holder: SnapshotHolder
    rollouts: RolloutService
    weights: WeightService
    keys_usable: Callable[[], bool]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        try:
            match (method, parts):
                case ("PUT", ["v1", "steps", trainer, step]):
                    return self._open(environ, start_response, trainer, int(step))
                case ("POST", ["v1", "steps", trainer, step, "pull"]):
                    return self._pull(environ, start_response, trainer, int(step))
                case ("DELETE", ["v1", "steps", trainer, step]):
                    return self._close(environ, start_response, trainer, int(step))
                case ("POST", ["v1", "weights", pool]):
                    return self._announce(environ, start_response, pool)
        except (BadRequestError, KeyError, TypeError, ValueError) as error:
            raise RefusalError(400, f"malformed request: {error!r}") from error
        raise RefusalError(404, "no such path in the trainers' interface")

    def _open(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        trainer: str,
        step: int,
    ) -> Iterable[bytes]:
        body = read_json(environ)
        access = self._authorize(environ, str(body["route"]))
        spec = self._spec(body, access, StepId(access.workspace, trainer, step))
        outcome = self.rollouts.open(spec)
        if isinstance(outcome, NotDone):
            raise RefusalError(503, outcome.reason)
        if not isinstance(outcome, Done):
            raise OutcomeUnknownError(502, outcome.reason)
        return respond(start_response, 200, {"slots": spec.slots})

    def _spec(self, body: dict[str, Any], access: Access, step_id: StepId) -> StepSpec:
        pool = self.holder.snapshot.tables.pools[access.route.pool]
        if pool.kind != MODEL_ENGINE:
            raise RefusalError(400, f"route {access.route.name} has no model engines")
        groups = tuple(
            GroupSpec(str(g["prompt"]), int(g["samples"]), int(g["max_tokens"]))
            for g in body["groups"]
        )
        spec = StepSpec(
            id=step_id,
            route=access.route.name,
            pool=pool.name,
            staleness_bound=int(body["staleness_bound"]),
            weight_version=int(body["weight_version"]),
            groups=groups,
            scoring_route=str(body.get("scoring_route", "")),
        )
        if not 0 < spec.slots <= MAX_SLOTS or any(g.samples < 1 for g in groups):
            raise BadRequestError(f"a step has from 1 to {MAX_SLOTS} samples")
        return spec

    def _pull(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        trainer: str,
        step: int,
    ) -> Iterable[bytes]:
        body = read_json(environ)
        access = self._authorize(environ, str(body["route"]))
        try:
            received = base64.b64decode(body.get("received", ""), validate=True)
        except binascii.Error as error:
            raise BadRequestError(f"received is not base64: {error}") from error
        outcome = self.rollouts.pull(
            StepId(access.workspace, trainer, step),
            int(body["weight_version"]),
            received,
            float(body.get("wait", 0.0)),
            int(body.get("limit", DEFAULT_LIMIT)),
        )
        if not isinstance(outcome, Done):
            # A pull changes nothing, so its loss is always safe to repeat.
            raise RefusalError(503, outcome.reason)
        result = outcome.value
        return respond(
            start_response,
            200 if result.known else 404,
            {
                "known": result.known,
                "remaining": result.remaining,
                "samples": [sample_to_json(sample) for sample in result.samples],
            },
        )

    def _close(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        trainer: str,
        step: int,
    ) -> Iterable[bytes]:
        body = read_json(environ)
        access = self._authorize(environ, str(body["route"]))
        self.rollouts.close(StepId(access.workspace, trainer, step))
        return respond(start_response, 200, {})

    def _announce(
        self, environ: dict[str, Any], start_response: StartResponse, pool: str
    ) -> Iterable[bytes]:
        body = read_json(environ)
        access = self._authorize(environ, str(body["route"]))
        if access.route.pool != pool:
            raise RefusalError(403, f"route {access.route.name} has another pool")
        outcome = self.weights.announce(pool, int(body["version"]))
        if isinstance(outcome, NotDone):
            raise RefusalError(503, outcome.reason)
        if not isinstance(outcome, Done):
            raise OutcomeUnknownError(502, outcome.reason)
        return respond(start_response, 200, {"version": outcome.value})

    def _authorize(self, environ: dict[str, Any], route_name: str) -> Access:
        tables: Tables = self.holder.snapshot.tables
        route = tables.routes.get(route_name)
        if route is None:
            raise RefusalError(404, f"route {route_name!r} does not exist")
        query = environ.get("QUERY_STRING", "")
        key = find_credential(request_headers(environ), query)
        access = authorize(tables, route, key, self.keys_usable())
        if not access.workspace:
            raise RefusalError(401, "trainers need a key")
        return access

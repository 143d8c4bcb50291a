"""The HTTP interface for operators: health, readiness, metrics, state and events."""

import hmac
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

from ..quarantine import parse_identity
from ..runtime.wsgi import BadRequestError, StartResponse, read_json, respond
from ..telemetry import recent_entries
from .metrics import render_metrics

__all__ = ["OperatorInterface"]


@define(eq=False)
class OperatorInterface:
    """WSGI application for operators, who must present the operator token.

    Parameters
    ----------
    token : str
        The operator token.
    not_ready_reasons : callable
        Returns the reasons why the daemon is not ready; empty if it is ready.
    state : callable
        Returns the daemon's state, which must be serializable as JSON.
    lift_block : callable
        Lifts the block of the request with an identity; returns False if no crash of
        the request is known.
    """

    token: str = field(repr=False)
    not_ready_reasons: Callable[[], list[str]]
    state: Callable[[], dict[str, Any]]
    lift_block: Callable[[bytes], bool]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        required = f"Bearer {self.token}"
        if not hmac.compare_digest(authorization.encode(), required.encode()):
            return respond(start_response, 401, {"error": "operator token required"})
        match environ["PATH_INFO"]:
            case "/healthz":
                return respond(start_response, 200, {"healthy": True})
            case "/readyz":
                reasons = self.not_ready_reasons()
                status = 503 if reasons else 200
                body = {"ready": not reasons, "reasons": reasons}
                return respond(start_response, status, body)
            case "/metrics":
                content, content_type = render_metrics(self.state())
                start_response("200 OK", [("Content-Type", content_type)])
                return [content]
            case "/state":
                return respond(start_response, 200, self.state())
            case "/events":
                return respond(start_response, 200, {"events": recent_entries()})
            case "/blocked/lift":
                return self._lift_block(environ, start_response)
        return respond(start_response, 404, {"error": "no such path"})

    def _lift_block(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] != "POST":
            return respond(start_response, 405, {"error": "use POST"})
        try:
            body = read_json(environ)
            identity = parse_identity(
                str(body.get("identity")) if isinstance(body, dict) else str(body)
            )
        except (BadRequestError, ValueError) as error:
            return respond(start_response, 400, {"error": str(error)})
        if not self.lift_block(identity):
            error_text = "no crash of this request is known here"
            return respond(start_response, 404, {"error": error_text})
        return respond(start_response, 200, {"lifted": identity.hex()})

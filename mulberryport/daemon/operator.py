"""The HTTP interface for operators: health, readiness, metrics, state and events."""

import hmac
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

from ..runtime.wsgi import StartResponse, respond
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
    """

    token: str = field(repr=False)
    not_ready_reasons: Callable[[], list[str]]
    state: Callable[[], dict[str, Any]]

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
        return respond(start_response, 404, {"error": "no such path"})

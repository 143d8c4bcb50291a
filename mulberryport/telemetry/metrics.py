"""Metrics of this process, by aioprometheus.

Metrics register themselves with the library's default registry; ``render``
returns them in the Prometheus text format for the operator port.
"""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus import render as render_registry

__all__ = ["Counter", "Gauge", "Histogram", "render"]


def render() -> tuple[bytes, str]:
    """Return all metrics and their content type."""
    content, headers = render_registry(REGISTRY, ["text/plain"])
    return content, headers["Content-Type"]

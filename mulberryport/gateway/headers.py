"""Headers of WSGI requests."""

from typing import Any

__all__ = ["request_headers"]


def request_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the headers of a WSGI request, with names in their usual case."""
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return headers

"""Headers of WSGI requests and of targets' responses."""

from collections.abc import Iterable
from typing import Any

__all__ = ["ALWAYS_END_TO_END", "end_to_end", "header_values", "request_headers"]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authentication-info",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that are forwarded even if the header Connection names them: they frame the
# body or select the site.
ALWAYS_END_TO_END = frozenset({"content-length", "host"})

Headers = Iterable[tuple[str, str]]


def request_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the headers of a WSGI request as they were received.

    Headers with an underscore in their names are dropped: many targets treat them
    like the name with a hyphen, so they could bypass the checks of the gateway.
    """
    raw = environ.get("headers_raw")
    if raw is not None:
        return [(n, " ".join(v.split("\r\n"))) for n, v in raw if "_" not in n]
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return headers


def header_values(headers: Headers, wanted: str) -> list[str]:
    """Return all values of a header, in order.

    Examples
    --------
    >>> header_values([("A", "1"), ("b", "2"), ("a", "3")], "a")
    ['1', '3']
    """
    return [value for name, value in headers if name.lower() == wanted]


def end_to_end(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers that may be forwarded, without hop-by-hop headers.

    Examples
    --------
    >>> end_to_end([("Connection", "X-Once"), ("x-once", "1"), ("Accept", "*/*")])
    [('Accept', '*/*')]
    """
    connection_options = {
        item.strip().lower()
        for value in header_values(headers, "connection")
        for item in value.split(",")
    }
    dropped = HOP_BY_HOP | (connection_options - ALWAYS_END_TO_END)
    return [(name, value) for name, value in headers if name.lower() not in dropped]

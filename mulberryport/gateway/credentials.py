"""Keys in requests: where they are found, and their removal before forwarding."""

from collections.abc import Iterable
from http.cookies import CookieError, SimpleCookie
from urllib.parse import parse_qsl, urlencode

__all__ = ["find_credential", "forwardable_headers", "forwardable_query"]

KEY_HEADER = "x-api-key"
KEY_PARAMETER = "api_key"
BEARER = "bearer "
# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

Headers = Iterable[tuple[str, str]]


def find_credential(headers: Headers, query: str) -> str | None:
    """Return the key that came with a request, or None.

    Parameters
    ----------
    headers : iterable of (str, str)
        Request headers.
    query : str
        Query string.

    Examples
    --------
    >>> find_credential([("Authorization", "Bearer abc")], "")
    'abc'
    >>> find_credential([("Cookie", "a=1; api_key=abc")], "")
    'abc'
    >>> find_credential([], "x=1&api_key=abc")
    'abc'
    """
    for name, value in headers:
        lower = name.lower()
        if lower == "authorization" and value.lower().startswith(BEARER):
            return value[len(BEARER) :].strip()
        if lower == KEY_HEADER:
            return value.strip()
        if lower == "cookie":
            morsel = _parse_cookie(value).get(KEY_PARAMETER)
            if morsel is not None:
                return morsel.value
    for name, value in parse_qsl(query, keep_blank_values=True):
        if name.lower() == KEY_PARAMETER:
            return value
    return None


def forwardable_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers that a target may see: no key, nothing hop-by-hop.

    Examples
    --------
    >>> forwardable_headers([("X-Api-Key", "abc"), ("Accept", "*/*")])
    [('Accept', '*/*')]
    >>> forwardable_headers([("Cookie", "a=1; api_key=abc; b=2")])
    [('Cookie', 'a=1; b=2')]
    """
    listed = {
        item.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for item in value.split(",")
    }
    result = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in listed:
            continue
        if lower in ("authorization", KEY_HEADER, "host", "content-length"):
            continue
        if lower == "cookie":
            value = _strip_cookie(value)
            if not value:
                continue
        result.append((name, value))
    return result


def forwardable_query(query: str) -> str:
    """Return the query string without a key.

    Examples
    --------
    >>> forwardable_query("a=1&api_key=abc&b=")
    'a=1&b='
    """
    pairs = parse_qsl(query, keep_blank_values=True)
    if not any(name.lower() == KEY_PARAMETER for name, _ in pairs):
        return query
    return urlencode([pair for pair in pairs if pair[0].lower() != KEY_PARAMETER])


def _parse_cookie(value: str) -> SimpleCookie:
    cookie: SimpleCookie = SimpleCookie()
    try:
        cookie.load(value)
    except CookieError:
        return SimpleCookie()
    return cookie


def _strip_cookie(value: str) -> str:
    parts = [part.strip() for part in value.split(";")]
    return "; ".join(
        part
        for part in parts
        if part and part.partition("=")[0].strip().lower() != KEY_PARAMETER
    )

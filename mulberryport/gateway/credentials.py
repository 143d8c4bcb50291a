"""Keys in requests: where they are found, and their removal before forwarding.

A key is accepted in one of four forms. It is removed wherever it appears: in all
four forms, and in any other header, query parameter or cookie that contains it or
contains another issued key.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from urllib.parse import unquote_plus

from ..tables import Tables, find_key
from ..tables.keys import KEY_PREFIX
from .headers import end_to_end
from .refusals import RefusalError

__all__ = [
    "find_credential",
    "forwardable_headers",
    "forwardable_query",
    "secret_finder",
]

KEY_HEADER = "x-api-key"
KEY_PARAMETER = "api_key"
BEARER = "bearer "
# Headers that this system answers or replaces itself.
REPLACED = frozenset({"authorization", KEY_HEADER, "host", "content-length", "expect"})
# Three rounds undo the encodings of a value that was encoded once too often.
DECODING_ROUNDS = 3
# A shorter value is only removed where it stands alone: it may be part of a word.
SHORTEST_SUBSTRING = 16
ISSUED_KEY = re.compile(re.escape(KEY_PREFIX) + r"[A-Za-z0-9_-]{43}")

Headers = Iterable[tuple[str, str]]
SecretFinder = Callable[[str], bool]


def find_credential(headers: Headers, query: str) -> str | None:
    """Return the key that came with a request, or None.

    Parameters
    ----------
    headers : iterable of (str, str)
        Request headers.
    query : str
        Query string.

    Raises
    ------
    RefusalError
        The request carries two different keys.

    Examples
    --------
    >>> find_credential([("Authorization", "Bearer abc")], "")
    'abc'
    >>> find_credential([("Cookie", "a=1; api_key=abc")], "x=1&api_key=abc")
    'abc'
    """
    keys = {key for key in _credentials(headers, query) if key}
    if len(keys) > 1:
        raise RefusalError(400, "the request carries different keys")
    return keys.pop() if keys else None


def _credentials(headers: Headers, query: str) -> Iterator[str]:
    for name, value in headers:
        lower = name.lower()
        if lower == "authorization" and value.lower().startswith(BEARER):
            yield value[len(BEARER) :].strip()
        elif lower == KEY_HEADER:
            yield value.strip()
        elif lower == "cookie":
            for cookie in value.split(";"):
                cookie_name, _, cookie_value = cookie.partition("=")
                if cookie_name.strip().lower() == KEY_PARAMETER:
                    yield cookie_value.strip().strip('"')
    for part in query.split("&"):
        parameter, _, value = part.partition("=")
        if unquote_plus(parameter).strip().lower() == KEY_PARAMETER:
            yield unquote_plus(value)


def secret_finder(presented: str | None, tables: Tables) -> SecretFinder:
    """Return a function that tells whether a text contains a key.

    Parameters
    ----------
    presented : str or None
        The key that came with the request, valid or not.
    tables : Tables
        Tables whose issued keys are recognised by their form and digest.

    Examples
    --------
    >>> secret_finder("a-presented-key-value", Tables())("x=a-presented%2Dkey-value")
    True
    """

    def contains(text: str) -> bool:
        for decoded in _decodings(text):
            if presented and (
                decoded.strip(' "') == presented
                or (len(presented) >= SHORTEST_SUBSTRING and presented in decoded)
            ):
                return True
            if any(find_key(tables, key) for key in ISSUED_KEY.findall(decoded)):
                return True
        return False

    return contains


def forwardable_headers(headers: Headers, is_secret: SecretFinder) -> list:
    """Return the headers that a target may see: no key, nothing hop-by-hop.

    Parameters
    ----------
    headers : iterable of (str, str)
        Request headers.
    is_secret : callable
        Tells whether a text contains a key.

    Examples
    --------
    >>> forwardable_headers([("X-Api-Key", "abc"), ("Accept", "*/*")], "abc".__eq__)
    [('Accept', '*/*')]
    >>> forwardable_headers([("Cookie", "a=1; api_key=abc; b=2")], "abc".__eq__)
    [('Cookie', 'a=1; b=2')]
    """
    result = []
    for name, value in end_to_end(list(headers)):
        lower = name.lower()
        if lower in REPLACED or is_secret(name):
            continue
        if lower == "cookie":
            value = _strip(value, ";", is_secret, "; ")
            if not value:
                continue
        elif is_secret(value):
            continue
        result.append((name, value))
    return result


def forwardable_query(query: str, is_secret: SecretFinder) -> str:
    """Return the query string without keys, all else unchanged.

    Examples
    --------
    >>> forwardable_query("a=1&api%5Fkey=abc&b=&c=abc", "abc".__eq__)
    'a=1&b='
    """
    return _strip(query, "&", is_secret, "&")


def _strip(text: str, separator: str, is_secret: SecretFinder, joint: str) -> str:
    kept = (part.strip() for part in text.split(separator))
    return joint.join(p for p in kept if p and not _is_key(p, is_secret))


def _is_key(part: str, is_secret: SecretFinder) -> bool:
    """Return whether a ``name=value`` names the key's parameter or contains a key.

    Some targets separate parameters by a semicolon or cookies by a comma, so these
    are looked into as well.
    """
    for piece in re.split(r"[;,&]", part):
        name, _, value = piece.partition("=")
        if any(
            text.strip(' "').lower().replace("-", "_") == KEY_PARAMETER
            for text in _decodings(name)
        ):
            return True
        if is_secret(value.strip(' "')) or is_secret(name.strip()):
            return True
    return is_secret(part)


def _decodings(text: str) -> Iterator[str]:
    """Yield a text as it is and after each round of percent-decoding."""
    yield text
    for _ in range(DECODING_ROUNDS):
        decoded = unquote_plus(text)
        if decoded == text:
            return
        yield decoded
        text = decoded

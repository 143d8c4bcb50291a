"""Extraction of API keys from requests, and their removal before forwarding.

A key is accepted in one of four places: the headers Authorization and X-Api-Key, the
cookie ``api_key`` and the query parameter ``api_key``. It is removed from all four, and
every other header, query parameter or cookie is dropped that contains it or another
issued key.
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
# Headers that the gateway handles or replaces itself.
REPLACED_HEADERS = frozenset(
    {"authorization", KEY_HEADER, "host", "content-length", "expect"}
)
# Three rounds also decode values that were percent-encoded more often than necessary.
MAX_DECODING_ROUNDS = 3
# A shorter key is removed only where it is a whole value, since it may occur within
# an unrelated word.
MIN_SUBSTRING_LENGTH = 16
ISSUED_KEY = re.compile(re.escape(KEY_PREFIX) + r"[A-Za-z0-9_-]{43}")

Headers = Iterable[tuple[str, str]]
SecretFinder = Callable[[str], bool]


def find_credential(headers: Headers, query: str) -> str | None:
    """Return the key of a request, or None if it has no key.

    Parameters
    ----------
    headers : iterable of (str, str)
        Request headers.
    query : str
        Query string.

    Raises
    ------
    RefusalError
        The request contains different keys.

    Examples
    --------
    >>> find_credential([("Authorization", "Bearer abc")], "")
    'abc'
    >>> find_credential([("Cookie", "a=1; api_key=abc")], "x=1&api_key=abc")
    'abc'
    """
    keys = {key for key in _iter_credentials(headers, query) if key}
    if len(keys) > 1:
        raise RefusalError(400, "the request carries different keys")
    return keys.pop() if keys else None


def _iter_credentials(headers: Headers, query: str) -> Iterator[str]:
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
    """Return a function that returns whether a text contains a key.

    Parameters
    ----------
    presented : str or None
        Key that came with the request, valid or not.
    tables : Tables
        Tables with the issued keys, which are recognised by their format and digest.

    Examples
    --------
    >>> secret_finder("a-presented-key-value", Tables())("x=a-presented%2Dkey-value")
    True
    """

    def contains_key(text: str) -> bool:
        for decoded in _decodings(text):
            if presented and (
                decoded.strip(' "') == presented
                or (len(presented) >= MIN_SUBSTRING_LENGTH and presented in decoded)
            ):
                return True
            if any(find_key(tables, key) for key in ISSUED_KEY.findall(decoded)):
                return True
        return False

    return contains_key


def forwardable_headers(headers: Headers, is_secret: SecretFinder) -> list:
    """Return the headers to forward, without keys and hop-by-hop headers.

    Parameters
    ----------
    headers : iterable of (str, str)
        Request headers.
    is_secret : callable
        Returns whether a text contains a key.

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
        if lower in REPLACED_HEADERS or is_secret(name):
            continue
        if lower == "cookie":
            value = _remove_keys(value, ";", is_secret, "; ")
            if not value:
                continue
        elif is_secret(value):
            continue
        result.append((name, value))
    return result


def forwardable_query(query: str, is_secret: SecretFinder) -> str:
    """Return the query string without parameters that contain a key.

    Examples
    --------
    >>> forwardable_query("a=1&api%5Fkey=abc&b=&c=abc", "abc".__eq__)
    'a=1&b='
    """
    return _remove_keys(query, "&", is_secret, "&")


def _remove_keys(
    text: str, separator: str, is_secret: SecretFinder, joiner: str
) -> str:
    parts = (part.strip() for part in text.split(separator))
    return joiner.join(p for p in parts if p and not _contains_key(p, is_secret))


def _contains_key(part: str, is_secret: SecretFinder) -> bool:
    """Return whether a ``name=value`` is named ``api_key`` or contains a key.

    Some targets also separate parameters by semicolons or cookies by commas, so the
    text is split at all of these separators.
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
    """Yield a text unchanged and after each round of percent-decoding."""
    yield text
    for _ in range(MAX_DECODING_ROUNDS):
        decoded = unquote_plus(text)
        if decoded == text:
            return
        yield decoded
        text = decoded

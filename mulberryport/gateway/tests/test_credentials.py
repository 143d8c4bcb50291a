"""Tests of the extraction and removal of API keys."""

from urllib.parse import quote, unquote_plus

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...tables import KeyRecord, Tables, key_digest
from ..credentials import (
    find_credential,
    forwardable_headers,
    forwardable_query,
    secret_finder,
)
from ..headers import request_headers
from ..refusals import RefusalError
from .builders import KEY, OTHER_KEY

TABLES = Tables(
    keys={key_digest(k): KeyRecord(key_digest(k), "roads") for k in (KEY, OTHER_KEY)}
)
words = st.text("abcdefghijkl", min_size=1, max_size=8)


@st.composite
def random_case(draw, text):
    """Return a text with each character in upper or lower case."""
    flags = draw(st.lists(st.booleans(), min_size=len(text), max_size=len(text)))
    return "".join(
        c.upper() if f else c.lower() for c, f in zip(text, flags, strict=True)
    )


@st.composite
def percent_encoded(draw, text):
    """Return a text with some characters percent-encoded, up to twice."""
    for _ in range(draw(st.integers(0, 2))):
        text = "".join(
            f"%{ord(c):02{draw(st.sampled_from('xX'))}}" if draw(st.booleans()) else c
            for c in text
        )
    return text


@st.composite
def request_parts(draw):
    """Return headers, a query, and whether these contain no key."""
    key = draw(st.sampled_from([KEY, KEY, OTHER_KEY]))
    word = draw(words)
    form = draw(
        st.sampled_from(["bearer", "header", "cookie", "query", "other", "noise"])
    )
    name = draw(random_case("api_key"))
    match form:
        case "bearer":
            scheme = draw(random_case("bearer"))
            return [(draw(random_case("authorization")), f"{scheme}  {key}")], "", False
        case "header":
            return [(draw(random_case("x-api-key")), key)], "", False
        case "cookie":
            quoted = draw(st.sampled_from(['"%s"', "%s"])) % draw(percent_encoded(key))
            return [("Cookie", f"{word}=1; {name}={quoted};x=2")], "", False
        case "query":
            return (
                [],
                f"{draw(percent_encoded(name))}={draw(percent_encoded(key))}",
                False,
            )
        case "other":
            place = draw(st.sampled_from(["X-Copy", "Referer", "Cookie", ""]))
            value = f"{word}={draw(percent_encoded(key))}"
            return ([(place, value)], "", False) if place else ([], value, False)
    return [(f"X-{word}", word)], f"{word}={quote(word)}", True


@given(st.lists(request_parts(), max_size=6))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_no_form_of_a_key_is_forwarded(parts):
    # Guards against a key that is forwarded because it stands in a second place, in
    # another case or encoding or under another name, and against the loss of harmless
    # headers and parameters.
    headers = [header for part in parts for header in part[0]]
    query = "&".join(part[1] for part in parts if part[1])
    is_secret = secret_finder(KEY, TABLES)
    kept = forwardable_headers(headers, is_secret)
    kept_query = forwardable_query(query, is_secret)
    text = "\n".join([*(f"{n}:{v}" for n, v in kept), kept_query])
    for _ in range(3):
        assert KEY not in text and OTHER_KEY not in text
        assert "api_key" not in text.lower()
        text = unquote_plus(text)
    for noise_headers, noise_query, harmless in parts:
        if harmless:
            assert set(noise_headers) <= set(kept)
            assert noise_query in kept_query.split("&")


@pytest.mark.parametrize(
    ("headers", "query"),
    [
        ([("AUTHORIZATION", f"BEARER {KEY}")], ""),
        ([("x-API-key", KEY)], ""),
        ([("Cookie", f'a="1; API_KEY="{KEY}"')], ""),
        ([], f"a=1&API%5FKEY={quote(KEY)}"),
        ([("X-Api-Key", KEY), ("X-Api-Key", KEY)], f"api_key={KEY}"),
    ],
)
def test_key_is_found_in_all_forms(headers, query):
    # Guards against forms of a key that are removed but not accepted.
    assert find_credential(headers, query) == KEY


def test_different_keys_are_refused():
    # Guards against a request that is authorized by one key and runs with another.
    with pytest.raises(RefusalError) as caught:
        find_credential([("Cookie", f"api_key={OTHER_KEY}")], f"api_key={KEY}")
    assert caught.value.status == 400
    assert KEY not in str(caught.value) and OTHER_KEY not in str(caught.value)


def test_header_names_with_underscores_are_not_forwarded():
    # Guards against forwarding of X_Api_Key, which many targets treat as X-Api-Key.
    environ = {"headers_raw": (("X_Api_Key", "abc"), ("Accept", "a"), ("Accept", "b"))}
    assert request_headers(environ) == [("Accept", "a"), ("Accept", "b")]

"""Tests of responses that are not well-formed HTTP.

Guards against bytes that are no response and reach callers, trainers or this program as
one: with another status, cut to a length that does not hold, with chunk sizes in the
body, or without the headers that follow a malformed line.
"""

import pytest

from ...outcomes import Done, Unknown
from ...runtime.guarded import call_json_guarded
from ...runtime.http import call_json
from ..store import PlatformStore
from .test_cut_heads import answering, generate, score, whole_responses
from .test_resets import forwarded

FIELDS = (
    b"X-Request-Id: job1-0\r\nX-Server-Stamp: 3e1b.07.5a2.600\r\n"
    b"X-Weight-Versions: 5\r\n"
)
EVENT = b"id: 3\ndata: c\n\n"
LENGTH = b"Content-Length: 15\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"f\r\n" + EVENT + b"\r\n0\r\n\r\n"


def make_response(
    status=b"200", *, version=b"HTTP/1.1", fields=LENGTH, body=EVENT, after=b" OK"
):
    """Return the bytes of a response, with parts of it changed."""
    start = version + b" " + status + after + b"\r\n"
    return start + FIELDS + fields + b"\r\n" + body


STATUS_LINES = [
    *(make_response(status) for status in (b"000", b"00", b"0", b"099", b"2_00")),
    *(make_response(status) for status in (b"+200", b"0200", b"20", b"600", b"999")),
    *(make_response(status) for status in (b"-200", b"\xb2\xb2\xb2", b"199", b"103")),
    make_response(b" 200"),
    make_response(b"\t200"),
    make_response(after=b"OK"),
    make_response(after=b" \x00"),
    *(make_response(version=v) for v in (b"HTTP/1.x", b"HTTP/2.0", b"http/1.1")),
    *(make_response(version=v) for v in (b"HTTP/11", b"HTTP/1.12", b"HTTPS/1.1")),
]
HEADER_LINES = [
    make_response(fields=line + LENGTH)
    for line in (
        b"no colon\r\n",
        b"X-Odd : 1\r\n",
        b": 1\r\n",
        b"X-Odd: 1\rX-Other: 2\r\n",
        b"X-Odd: \x00\r\n",
        b" folded: 1\r\n",
        b"X-\xe9: 1\r\n",
    )
]
FRAMINGS = [
    make_response(fields=CHUNKED + b"Content-Length: 4\r\n", body=CHUNKS),
    make_response(fields=b"Content-Length: 15\r\nContent-Length: 14\r\n"),
    make_response(fields=LENGTH + LENGTH),
    make_response(fields=b"Transfer-Encoding: gzip, chunked\r\n", body=CHUNKS),
    make_response(fields=b"Transfer-Encoding: xchunked\r\n", body=CHUNKS),
    make_response(fields=b"Transfer-Encoding: gzip\r\n"),
    make_response(fields=CHUNKED + CHUNKED, body=CHUNKS),
    make_response(version=b"HTTP/1.0", fields=CHUNKED, body=CHUNKS),
    *(
        make_response(fields=b"Content-Length: " + length + b"\r\n")
        for length in (b"+15", b"15, 15", b"0_15", b"-1", b"\xb2", b"15.0", b"0xf", b"")
    ),
    make_response(fields=b"Content-Length: " + b"0" * 5000 + b"15\r\n"),
]
CHUNK_SIZES = [
    make_response(fields=CHUNKED, body=size + b"\r\n" + EVENT + b"\r\n0\r\n\r\n")
    for size in (b"0xf", b"+f", b"0_f", b" f", b"-f", b"", b"f ; \x00", b"f" * 17)
]
CHUNK_ENDS = [
    make_response(fields=CHUNKED, body=b"f\r\n" + EVENT + b"xx0\r\n\r\n"),
    make_response(fields=CHUNKED, body=b"f\r\n" + EVENT + b"\r\n0\r\nno colon\r\n\r\n"),
]
MALFORMED = [*STATUS_LINES, *HEADER_LINES, *FRAMINGS, *CHUNK_SIZES, *CHUNK_ENDS]
WELL_FORMED = [
    make_response(),
    make_response(after=b""),
    make_response(after=b" "),
    make_response(after=b" Everything is \xe9\t!"),
    make_response(version=b"HTTP/1.0"),
    make_response(fields=b"X-Empty:\r\nX-Tab:\t1\t\r\n" + LENGTH),
    make_response(fields=CHUNKED.upper(), body=CHUNKS),
    make_response(fields=CHUNKED, body=b"000F;a=b\r\n" + CHUNKS[3:]),
    make_response(fields=CHUNKED, body=CHUNKS[:-2] + b"X-Sum: 1\r\n\r\n"),
]


@pytest.mark.parametrize("read", [forwarded, generate, score])
def test_a_malformed_response_is_taken_by_no_reader(read):
    assert whole_responses(MALFORMED, read) == []


@pytest.mark.parametrize("read", [forwarded, generate, score])
def test_a_well_formed_response_is_taken_by_all_readers(read):
    assert whole_responses(WELL_FORMED, read) == WELL_FORMED


def test_the_body_of_a_well_formed_response_is_unchanged():
    for content in WELL_FORMED:
        with answering(content) as address:
            assert forwarded(address) == EVENT


def outcomes(address):
    """Return the outcomes of control calls to an address."""
    url = f"http://{address}/"
    return (
        call_json("GET", url, timeout=2),
        call_json_guarded("POST", url, {}, guard=lambda: None, timeout=2),
        PlatformStore(address).read("a"),
    )


@pytest.mark.parametrize("content", MALFORMED, ids=map(str, range(len(MALFORMED))))
def test_a_control_call_with_a_malformed_response_has_an_unknown_outcome(content):
    with answering(content.replace(EVENT, b'{"a": 1, "b":2}')) as address:
        assert all(isinstance(outcome, Unknown) for outcome in outcomes(address))


@pytest.mark.parametrize("body", [b"", b"1"])
def test_a_control_call_whose_response_is_cut_off_has_an_unknown_outcome(body):
    # A part of a body may be valid JSON, and none counts as a response without a body.
    with answering(make_response(body=body)) as address:
        assert all(isinstance(outcome, Unknown) for outcome in outcomes(address))
    whole = b"[" + b" " * 13 + b"]"
    with answering(make_response(body=whole)) as address:
        assert all(isinstance(o, Done) for o in outcomes(address)[:2])

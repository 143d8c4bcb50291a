"""Tests of the HTTP interface for operators."""

from io import BytesIO

import orjson
import pytest

from ..operator import OperatorInterface

STATE = {
    "revision": 3,
    "confirmation_age": float("inf"),
    "store_readable": True,
    "keys_usable": False,
    "members": ["vm1"],
    "duties": [],
    "targets": [{"pool": "p", "healthy": True, "leaving": False, "in_flight": 2}],
    "steps": [{"step": "w/t/1", "remaining": 5}],
    "blocked_requests": [{"identity": "00"}],
    "suspect_requests": [{"identity": "01"}, {"identity": "02"}],
}
BLOCKED = b"b" * 16
LIFT_PATH = "/blocked/lift"


def request(path, token="token", reasons=(), method="GET", content=b"", lifted=None):
    """Send a request and return the status and the body of the response."""

    def lift_block(identity):
        if lifted is not None:
            lifted.append(identity)
        return identity == BLOCKED

    interface = OperatorInterface(
        "token", lambda: list(reasons), lambda: STATE, lift_block
    )
    statuses = []
    environ = {
        "PATH_INFO": path,
        "HTTP_AUTHORIZATION": f"Bearer {token}",
        "REQUEST_METHOD": method,
        "wsgi.input": BytesIO(content),
    }
    body = interface(environ, lambda status, headers: statuses.append(status))
    return int(statuses[0].split()[0]), b"".join(body)


def test_requests_without_the_operator_token_are_rejected():
    # Guards against callers without the token reading state or metrics.
    for path in ("/state", "/metrics", "/events", "/readyz", "/healthz", LIFT_PATH):
        assert request(path, "other")[0] == 401


def test_readiness_reports_its_reasons():
    assert request("/readyz")[0] == 200
    status, body = request("/readyz", reasons=["keys cannot be checked"])
    assert status == 503
    assert b"keys cannot be checked" in body


def test_metrics_contain_gauges_of_the_state():
    status, body = request("/metrics")
    assert status == 200
    assert b"mulberryport_revision 3" in body
    assert b'mulberryport_targets_in_flight{pool="p"} 2' in body
    assert b"mulberryport_blocked_requests 1" in body
    assert b"mulberryport_suspect_requests 2" in body


def test_block_is_lifted():
    # Guards against a response that says lifted for a request that is not known.
    content = orjson.dumps({"identity": BLOCKED.hex()})
    lifted = []
    status, body = request(LIFT_PATH, method="POST", content=content, lifted=lifted)
    assert (status, orjson.loads(body)) == (200, {"lifted": BLOCKED.hex()})
    assert lifted == [BLOCKED]
    other = orjson.dumps({"identity": "00" * 16})
    status, body = request(LIFT_PATH, method="POST", content=other)
    assert status == 404 and b"no crash of this request" in body


@pytest.mark.parametrize(
    ("method", "token", "status", "content"),
    [
        ("GET", "token", 405, b""),
        ("POST", "other", 401, orjson.dumps({"identity": BLOCKED.hex()})),
        ("POST", "token", 400, b""),
        ("POST", "token", 400, b"{"),
        ("POST", "token", 400, b"[1]"),
        ("POST", "token", 400, b'{"identity": "00"}'),
        ("POST", "token", 400, b'{"identity": 7}'),
    ],
)
def test_malformed_or_unauthorized_lift_changes_nothing(method, token, status, content):
    # Guards against lifting by a reader's request or without the operator token.
    lifted = []
    assert (
        request(LIFT_PATH, token, method=method, content=content, lifted=lifted)[0]
        == status
    )
    assert lifted == []

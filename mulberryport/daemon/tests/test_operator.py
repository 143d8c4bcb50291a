"""Tests of the HTTP interface for operators."""

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
}


def request(path, token="token", reasons=()):
    """Send a request and return the status and the body of the response."""
    interface = OperatorInterface("token", lambda: list(reasons), lambda: STATE)
    statuses = []
    environ = {"PATH_INFO": path, "HTTP_AUTHORIZATION": f"Bearer {token}"}
    body = interface(environ, lambda status, headers: statuses.append(status))
    return int(statuses[0].split()[0]), b"".join(body)


def test_requests_without_the_operator_token_are_rejected():
    # Guards against callers without the token reading state or metrics.
    for path in ("/state", "/metrics", "/events", "/readyz", "/healthz"):
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
